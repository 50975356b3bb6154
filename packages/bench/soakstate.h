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
#define CQ_SOAK_PLAIN_UPSTREAMS 3
#define CQ_SOAK_UPSTREAMS (CQ_SOAK_ENGINES + CQ_SOAK_PLAIN_UPSTREAMS)

/**
 * struct cq_soak_request_t - one request and its answer
 * @id: its id, 0 if the host was down
 * @spec: what the caller sent
 * @received_us: when its entry host received it, or the end of the freeze if
 *   the host was frozen
 * @answered: it has its final answer, @answer
 * @lost: its entry host died or was down
 * @tokens: tokens received
 */
typedef struct {
    guint64 id;
    cq_sim_request_t spec;
    gint64 received_us;
    gboolean answered;
    gboolean lost;
    cq_ac_answer_t answer;
    gint64 tokens;
} cq_soak_request_t;

/**
 * struct cq_soak_t - state of a run
 * @requests: array of cq_soak_request_t, indexed by tag
 * @frozen_until_us: by host: end of its latest freeze
 * @highest_versions: by host: highest configuration version since its start
 * @draining_since_us: by host: when its drain began, or 0
 * @published: number of publications so far
 */
typedef struct {
    const cq_soak_options_t *options;
    cq_soak_report_t *report;
    cq_sim_t *sim;
    GRand *rand;
    GArray *requests;
    gint64 frozen_until_us[CQ_SOAK_HOSTS];
    guint64 highest_versions[CQ_SOAK_HOSTS];
    gint64 draining_since_us[CQ_SOAK_HOSTS];
    guint published;
} cq_soak_t;

/** cq_soak_now() - Return: virtual time in microseconds */
gint64
cq_soak_now(const cq_soak_t *soak);

/** cq_soak_violation() - record a violated invariant; only the first is kept
 */
void
cq_soak_violation(cq_soak_t *soak, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/** cq_soak_request() - Return: the request with @tag; valid until the next one
 * is sent */
cq_soak_request_t *
cq_soak_request(cq_soak_t *soak, guint64 tag);

/** cq_soak_kill_host() - kill the process on @host and start another after
 * @down_us */
void
cq_soak_kill_host(cq_soak_t *soak, guint host, gint64 down_us);

/** cq_soak_rules() - Return: TOML configurations of the services,
 * NULL-terminated */
const char *const *
cq_soak_rules(void);

/** cq_soak_inject() - inject a random fault; Return: its name */
const char *
cq_soak_inject(cq_soak_t *soak);

#endif
