/**
 * DOC: soakstate
 *
 * The state of one randomised run. Private to the package.
 */
#ifndef CQ_SOAKSTATE_H
#define CQ_SOAKSTATE_H

#include "bench/sim.h"
#include "bench/soak.h"

#define CQ_SOAK_ZONES 3
#define CQ_SOAK_HOSTS 4
#define CQ_SOAK_ENGINES 6
#define CQ_SOAK_PLAINS 3
#define CQ_SOAK_UPSTREAMS (CQ_SOAK_ENGINES + CQ_SOAK_PLAINS)

/**
 * struct cq_soak_ask_t - one request and its answer
 * @at_us: when its entry host could take it in
 */
typedef struct {
    guint64 id;
    cq_sim_ask_t ask;
    gint64 at_us;
    gboolean answered;
    gboolean lost;
    cq_ac_answer_t answer;
    gint64 tokens;
} cq_soak_ask_t;

/**
 * struct cq_soak_t - one run
 * @thawed_us: by host: until when it is frozen
 * @versions: by host: highest configuration version seen
 * @stopping_us: by host: since when it drains, or 0
 * @published: publications so far
 */
typedef struct {
    const cq_soak_options_t *options;
    cq_soak_report_t *report;
    cq_sim_t *sim;
    GRand *rand;
    GArray *asks;
    gint64 thawed_us[CQ_SOAK_HOSTS];
    guint64 versions[CQ_SOAK_HOSTS];
    gint64 stopping_us[CQ_SOAK_HOSTS];
    guint published;
} cq_soak_t;

/** cq_soak_now() - Return: virtual time in microseconds */
gint64
cq_soak_now(const cq_soak_t *soak);

/** cq_soak_broken() - record a broken promise; the first one is kept */
void
cq_soak_broken(cq_soak_t *soak, const char *format, ...) G_GNUC_PRINTF(2, 3);

/** cq_soak_ask() - Return: the request with @tag */
cq_soak_ask_t *
cq_soak_ask(cq_soak_t *soak, guint64 tag);

/** cq_soak_kill_host() - end a process and start another after @down_us */
void
cq_soak_kill_host(cq_soak_t *soak, guint host, gint64 down_us);

/** cq_soak_rules() - Return: TOML of the services, NULL-terminated */
const char *const *
cq_soak_rules(void);

/** cq_soak_inject() - inject a random fault; Return: its name */
const char *
cq_soak_inject(cq_soak_t *soak);

#endif
