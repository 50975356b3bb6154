/**
 * DOC: sim
 *
 * The emulated world: serving processes that are real cores, engines and
 * plain services behind them, the platform's log and host list, and what
 * lies between, with faults. One seed gives one course of events.
 */
#ifndef CQ_SIM_H
#define CQ_SIM_H

#include "bench/engine.h"
#include "bench/heap.h"
#include "config/fold.h"
#include "core/core.h"

G_BEGIN_DECLS

#define CQ_SIM_HOSTS_MAX 400
#define CQ_SIM_UPSTREAMS_MAX 512
#define CQ_SIM_ZONES_MAX 16
/* Index of the platform among the zones, for cuts. */
#define CQ_SIM_PLATFORM (CQ_SIM_ZONES_MAX - 1)

typedef struct cq_sim cq_sim_t;

/**
 * struct cq_sim_ask_t - a caller's request
 * @host: index of the entry host
 * @service: name of the service
 * @team: team
 * @model: model, or NULL for "m"
 * @key: idempotency key, or 0
 * @repeatable: by the service's rules
 * @prompt_tokens: length of the prompt
 * @output_tokens: length of the answer
 * @max_tokens: what the caller says of the answer, 0: nothing
 * @prefix: hash of its shared prefix, or 0
 * @prefix_tokens: its length
 * @timeout_us: the caller's limit
 * @tag: the caller's own number for it
 */
typedef struct {
    guint host;
    const char *service;
    const char *team;
    const char *model;
    guint64 key;
    gboolean repeatable;
    gint64 prompt_tokens;
    gint64 output_tokens;
    gint64 max_tokens;
    guint64 prefix;
    gint64 prefix_tokens;
    gint64 timeout_us;
    guint64 tag;
} cq_sim_ask_t;

/**
 * struct cq_sim_options_t - how to make a world
 * @zones: number of zones
 * @hosts: serving processes; host i is in zone i modulo @zones
 * @engines: engines, spread over zones
 * @plains: replicas of the plain service, spread over zones
 * @policy: policy of every core
 * @seed: of everything random
 * @report_lag_us: age of load reports on arrival
 * @list_lag_us: age of the host list
 * @rules: TOML of the services, NULL-terminated
 * @tokens: a caller got tokens; may be NULL
 * @answered: a caller got its answer
 * @lost: a caller's entry host went away; may be NULL
 * @data: for the callbacks
 */
typedef struct {
    guint zones;
    guint hosts;
    guint engines;
    guint plains;
    cq_policy_t policy;
    guint32 seed;
    gint64 report_lag_us;
    gint64 list_lag_us;
    const char *const *rules;
    void (*tokens)(cq_sim_t *sim, guint64 tag, gint64 tokens, void *data);
    void (*answered)(cq_sim_t *sim, guint64 tag, const cq_ac_answer_t *answer,
                     void *data);
    void (*lost)(cq_sim_t *sim, guint64 tag, void *data);
    void *data;
} cq_sim_options_t;

/**
 * struct cq_sim_totals_t - sums over a run
 * @wasted_us: engine time spent on attempts that were not answered
 * @used_us: engine time spent in all
 * @summary_bytes: bytes of summaries sent
 * @steps: steps of the cores
 * @loads: models that engines began to load
 * @loads_at_once: most of them at one time
 * @old_orders: orders that came after one with a newer fencing number
 * @old_orders_refused: those of them that the engine refused
 * @log_reads: reads of the log, a waiting read counted once
 */
typedef struct {
    gint64 wasted_us;
    gint64 used_us;
    guint64 summary_bytes;
    guint64 steps;
    guint64 log_reads;
    guint loads;
    guint loads_at_once;
    guint old_orders;
    guint old_orders_refused;
} cq_sim_totals_t;

/** cq_sim_new() - Return: a world at time 0 */
cq_sim_t *
cq_sim_new(const cq_sim_options_t *options);

/** cq_sim_free() - free @sim */
void
cq_sim_free(cq_sim_t *sim);

/** cq_sim_heap() - Return: the agenda, for callers' own events */
cq_heap_t *
cq_sim_heap(cq_sim_t *sim);

/** cq_sim_run() - let events happen until @until_us */
void
cq_sim_run(cq_sim_t *sim, gint64 until_us);

/** cq_sim_ask() - send a request now; Return: its id, 0 when the host is
 * down */
guint64
cq_sim_ask(cq_sim_t *sim, const cq_sim_ask_t *ask);

/** cq_sim_core() - Return: the core of host @host, or NULL while it is down
 */
cq_core_t *
cq_sim_core(cq_sim_t *sim, guint host);

/** cq_sim_fold() - Return: the configuration of host @host, or NULL */
cq_fold_t *
cq_sim_fold(cq_sim_t *sim, guint host);

/** cq_sim_totals() - Return: sums so far */
cq_sim_totals_t
cq_sim_totals(const cq_sim_t *sim);

/** cq_sim_held() - Return: memory reserved on all engines, in tokens */
gint64
cq_sim_held(cq_sim_t *sim);

/** cq_sim_runs() - Return: how often the plain service ran key @key */
guint
cq_sim_runs(const cq_sim_t *sim, guint64 key);

/** cq_sim_request_runs() - Return: how often request @id ran on a plain
 * service */
guint
cq_sim_request_runs(const cq_sim_t *sim, guint64 id);

/** cq_sim_publish() - append a publication of @body for @service on top of
 * @base */
void
cq_sim_publish(cq_sim_t *sim, const char *service, const char *body,
               guint64 base, const char *id);

/** cq_sim_kill_host() - end the process on @host at once */
void
cq_sim_kill_host(cq_sim_t *sim, guint host);

/** cq_sim_start_host() - start a process on @host, with nothing kept */
void
cq_sim_start_host(cq_sim_t *sim, guint host);

/** cq_sim_freeze_host() - the process on @host does nothing for @us */
void
cq_sim_freeze_host(cq_sim_t *sim, guint host, gint64 us);

/** cq_sim_drain_host() - begin a planned stop of @host */
void
cq_sim_drain_host(cq_sim_t *sim, guint host, gint64 notice_us,
                  gint64 limit_us);

/** cq_sim_host_stopped() - Return: whether @host has stopped by itself */
gboolean
cq_sim_host_stopped(const cq_sim_t *sim, guint host);

/** cq_sim_kill_upstream() - upstream @index crashes */
void
cq_sim_kill_upstream(cq_sim_t *sim, guint index);

/** cq_sim_start_upstream() - upstream @index starts again */
void
cq_sim_start_upstream(cq_sim_t *sim, guint index);

/** cq_sim_freeze_upstream() - upstream @index answers nothing new for @us */
void
cq_sim_freeze_upstream(cq_sim_t *sim, guint index, gint64 us);

/** cq_sim_leave_upstream() - the list says that @index is leaving */
void
cq_sim_leave_upstream(cq_sim_t *sim, guint index);

/** cq_sim_silence() - open connections of @host to @upstream go silent for
 * good; new ones work */
void
cq_sim_silence(cq_sim_t *sim, guint host, guint upstream);

/** cq_sim_cut() - cut or join two zones, or a zone and CQ_SIM_PLATFORM */
void
cq_sim_cut(cq_sim_t *sim, guint a, guint b, gboolean cut);

/** cq_sim_log_down() - the log answers nothing until it is up again */
void
cq_sim_log_down(cq_sim_t *sim, gboolean down);

/** cq_sim_lose_appends() - the next @n appends take effect, unanswered */
void
cq_sim_lose_appends(cq_sim_t *sim, guint n);

/** cq_sim_truncate_log() - the log keeps its first @keep records only */
void
cq_sim_truncate_log(cq_sim_t *sim, guint keep);

/** cq_sim_list_down() - the host list answers nothing until it is up */
void
cq_sim_list_down(cq_sim_t *sim, gboolean down);

/** cq_sim_delay_orders() - orders are on their way for @us more */
void
cq_sim_delay_orders(cq_sim_t *sim, gint64 us);

/** cq_sim_loaded() - Return: engines that have @model */
guint
cq_sim_loaded(const cq_sim_t *sim, const char *model);

/** cq_sim_upstream_name() - Return: name of upstream @index */
const char *
cq_sim_upstream_name(const cq_sim_t *sim, guint index);

/** cq_sim_arrivals() - Return: attempts that reached upstream @index */
guint64
cq_sim_arrivals(const cq_sim_t *sim, guint index);

G_END_DECLS

#endif
