/**
 * DOC: settings
 *
 * Parses the settings file of one serving process, in TOML.
 */
#ifndef CQ_SETTINGS_H
#define CQ_SETTINGS_H

#include <glib.h>

#include "base/error.h"
#include "base/limits.h"

G_BEGIN_DECLS

#define CQ_SEEDS_MAX 64

/**
 * struct cq_settings_t - settings of a serving process
 * @host: name of this host, unique in the fleet
 * @zone: its availability zone
 * @callers: address to listen at for callers, `ip:port`
 * @operators: address to listen at for operators
 * @peers: address to listen at for other serving processes
 * @seeds: addresses of the peers to connect to at start
 * @seeds_len: number of @seeds
 * @peer_key: secret shared by the processes; if "", @peers must be a loopback
 *   address
 * @log: address of the platform's log service
 * @hosts: address of the platform's host list
 * @store: address of the platform's store, which holds configuration,
 *   upstreams and hosts; "" when @log and @hosts are used
 * @retry_burst: maximum number of retries that the retry budget of all hosts
 *   together can hold
 * @retry_share: retries allowed per first attempt, 0 to 1, as a string; "" if
 *   not stated
 * @retry_percent: the same as a percentage
 * @notice_ms: time after SIGTERM during which new requests are still accepted
 * @limit_ms: time after SIGTERM at which all requests still open are answered
 * @find_pace: upstreams that have started or recovered get work at the pace
 *   that their answers show
 * @seed: seed of the random number generator; 0: seed from the clock
 * @log_level: index of "debug", "info", "warn" or "error"
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
    gboolean find_pace;
    gint64 seed;
    int log_level;
} cq_settings_t;

/**
 * cq_settings_parse() - parse a settings file
 * @text: TOML text
 * @file: its name, for messages
 * @settings: the result, with defaults for absent keys
 * @error: gets the first error: file, line, key, what was found and what to
 *   write instead
 *
 * Return: whether the file is valid.
 */
gboolean
cq_settings_parse(const char *text, const char *file, cq_settings_t *settings,
                  cq_error_t *error);

/** cq_settings_reload() - take over into @settings those settings of @changed
 * that can change while a process runs */
void
cq_settings_reload(cq_settings_t *settings, const cq_settings_t *changed);

/** cq_settings_level_name() - Return: the name of log level @level */
const char *
cq_settings_level_name(int level);

G_END_DECLS

#endif
