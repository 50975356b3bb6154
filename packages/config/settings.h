/**
 * DOC: settings
 *
 * The settings of one serving process, from its TOML file.
 */
#ifndef CQ_SETTINGS_H
#define CQ_SETTINGS_H

#include <glib.h>

#include "base/error.h"
#include "base/limits.h"

G_BEGIN_DECLS

#define CQ_SEEDS_MAX 64

/**
 * struct cq_settings_t - settings
 * @host: name of this host, unique in the fleet
 * @zone: its availability zone
 * @callers: address for callers, `ip:port`
 * @operators: address for operators
 * @peers: address for other serving processes
 * @seeds: peers' addresses to begin with
 * @seeds_len: number of @seeds
 * @peer_key: secret shared by the processes; "" allows loopback only
 * @log: address of the platform's log service
 * @hosts: address of the platform's host list
 * @store: address of the platform's store, which holds configuration,
 *   upstreams and hosts; "" when @log and @hosts are used
 * @retry_burst: retries that all hosts together may save up
 * @retry_share: retries as a share of first attempts, as written
 * @retry_percent: the same in hundredths
 * @notice_ms: new requests are still taken for so long after SIGTERM
 * @limit_ms: after so long every remaining request is answered
 * @seed: of the random number generator; 0 takes one from the clock
 * @log_level: "debug", "info", "warn" or "error"
 */
typedef struct {
    char host[CQ_NAME_BYTES];
    char zone[CQ_NAME_BYTES];
    char callers[CQ_ADDR_BYTES];
    char operators[CQ_ADDR_BYTES];
    char peers[CQ_ADDR_BYTES];
    char seeds[CQ_SEEDS_MAX][CQ_ADDR_BYTES];
    guint seeds_len;
    char peer_key[256];
    char log[CQ_ADDR_BYTES];
    char hosts[CQ_ADDR_BYTES];
    char store[CQ_ADDR_BYTES];
    gint64 retry_burst;
    char retry_share[16];
    gint64 retry_percent;
    gint64 notice_ms;
    gint64 limit_ms;
    gint64 seed;
    int log_level;
} cq_settings_t;

/**
 * cq_settings_parse() - read settings
 * @text: TOML text
 * @file: its name, for messages
 * @settings: gets them, with defaults for what is absent
 * @error: gets the first fault: file, line, key, what was found and what to
 *   write instead
 *
 * Return: whether all is right.
 */
gboolean
cq_settings_parse(const char *text, const char *file, cq_settings_t *settings,
                  cq_error_t *error);

/** cq_settings_level_name() - Return: the name of log level @level */
const char *
cq_settings_level_name(int level);

G_END_DECLS

#endif
