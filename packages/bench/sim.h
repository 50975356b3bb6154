/**
 * DOC: sim
 *
 * The emulated deployment: hosts that run the real core, emulated engines and
 * plain services behind them, the platform's log and host list, and the
 * network between them, with injected faults. All in virtual time and in one
 * thread; a run is determined by its options and seed.
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
/* Zone index that stands for the platform in cq_sim_cut(). */
#define CQ_SIM_PLATFORM (CQ_SIM_ZONES_MAX - 1)

typedef struct cq_sim cq_sim_t;

/**
 * struct cq_sim_request_t - a caller's request
 * @host: index of the entry host
 * @service: name of the service
 * @team: name of the team
 * @model: name of the model, or NULL for "m"
 * @key: idempotency key, or 0
 * @repeatable: the service's configuration allows to run it more than once
 * @prompt_tokens: length of the prompt; 0 for a plain call
 * @output_tokens: length of the answer
 * @max_tokens: limit on the answer that the caller sets, 0 for none
 * @prefix: hash of the shared prefix of its prompt, or 0
 * @prefix_tokens: length of the shared prefix
 * @timeout_us: the caller's time limit
 * @tag: chosen by the caller; passed to the callbacks
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
} cq_sim_request_t;

/**
 * struct cq_sim_options_t - parameters of a deployment
 * @zones: number of availability zones
 * @hosts: number of hosts; host i is in zone i modulo @zones
 * @engines: number of engines, spread over zones in the same way
 * @plain_upstreams: number of replicas of the plain service, likewise
 * @policy: policy of every core
 * @seed: seed of every random draw
 * @report_lag_us: age of load reports on arrival
 * @list_lag_us: age of the host list on arrival
 * @rules: TOML configurations of the services, NULL-terminated
 * @tokens: called when a caller gets tokens; may be NULL
 * @answered: called when a caller gets the final answer
 * @lost: called when the entry host of an open request dies; may be NULL
 * @data: passed to the callbacks
 */
typedef struct {
    guint zones;
    guint hosts;
    guint engines;
    guint plain_upstreams;
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
 * @wasted_us: engine time spent on attempts that did not complete
 * @engine_time_us: engine time spent on all attempts
 * @summary_bytes: size of all summary frames that cores emitted, each counted
 *   once however many peers get it
 * @steps: steps of all cores
 * @log_reads: reads of the log; a long poll that waits counts as one
 * @model_loads: model loads that engines began
 * @model_loads_peak: highest number of loads at one time
 * @stale_orders: orders that arrived after one with a higher fencing number
 * @stale_orders_refused: those of them that the engine refused
 */
typedef struct {
    gint64 wasted_us;
    gint64 engine_time_us;
    guint64 summary_bytes;
    guint64 steps;
    guint64 log_reads;
    guint model_loads;
    guint model_loads_peak;
    guint stale_orders;
    guint stale_orders_refused;
} cq_sim_totals_t;

/** cq_sim_new() - Return: a deployment at time 0; free it with cq_sim_free()
 */
cq_sim_t *
cq_sim_new(const cq_sim_options_t *options);

/** cq_sim_free() - free @sim */
void
cq_sim_free(cq_sim_t *sim);

/** cq_sim_heap() - Return: the event queue, to which callers may add */
cq_heap_t *
cq_sim_heap(cq_sim_t *sim);

/** cq_sim_run() - run all events that are due by @until_us */
void
cq_sim_run(cq_sim_t *sim, gint64 until_us);

/** cq_sim_send_request() - send a copy of @request now
 *
 * Return: its id, or 0 if the host is down.
 */
guint64
cq_sim_send_request(cq_sim_t *sim, const cq_sim_request_t *request);

/** cq_sim_core() - Return: the core of @host, or NULL while it is down */
cq_core_t *
cq_sim_core(cq_sim_t *sim, guint host);

/** cq_sim_fold() - Return: the configuration that @host has applied, or NULL
 * while it is down */
cq_fold_t *
cq_sim_fold(cq_sim_t *sim, guint host);

/** cq_sim_totals() - Return: the sums so far */
cq_sim_totals_t
cq_sim_totals(const cq_sim_t *sim);

/** cq_sim_reserved_tokens() - Return: KV memory reserved on all engines */
gint64
cq_sim_reserved_tokens(cq_sim_t *sim);

/** cq_sim_key_runs() - Return: how many plain calls with @key ran */
guint
cq_sim_key_runs(const cq_sim_t *sim, guint64 key);

/** cq_sim_request_runs() - Return: how often plain replicas ran request
 * @id */
guint
cq_sim_request_runs(const cq_sim_t *sim, guint64 id);

/** cq_sim_publish() - append to the log a publication of @body as the
 * configuration of @service that follows version @base */
void
cq_sim_publish(cq_sim_t *sim, const char *service, const char *body,
               guint64 base, const char *id);

/** cq_sim_kill_host() - kill the process on @host */
void
cq_sim_kill_host(cq_sim_t *sim, guint host);

/** cq_sim_start_host() - start a process without saved state on @host */
void
cq_sim_start_host(cq_sim_t *sim, guint host);

/** cq_sim_freeze_host() - suspend the process on @host for @us */
void
cq_sim_freeze_host(cq_sim_t *sim, guint host, gint64 us);

/** cq_sim_drain_host() - begin a planned stop of @host: it accepts new
 * requests for another @notice_us and ends all open ones by @limit_us from now
 */
void
cq_sim_drain_host(cq_sim_t *sim, guint host, gint64 notice_us,
                  gint64 limit_us);

/** cq_sim_host_stopped() - Return: whether @host has completed a drain */
gboolean
cq_sim_host_stopped(const cq_sim_t *sim, guint host);

/** cq_sim_kill_upstream() - crash upstream @index */
void
cq_sim_kill_upstream(cq_sim_t *sim, guint index);

/** cq_sim_start_upstream() - start upstream @index again */
void
cq_sim_start_upstream(cq_sim_t *sim, guint index);

/** cq_sim_freeze_upstream() - upstream @index accepts no connections and
 * answers no probes for @us */
void
cq_sim_freeze_upstream(cq_sim_t *sim, guint index, gint64 us);

/** cq_sim_leave_upstream() - mark upstream @index as leaving: it refuses new
 * attempts and the host list says so */
void
cq_sim_leave_upstream(cq_sim_t *sim, guint index);

/** cq_sim_silence_connections() - the open connections of @host to @upstream
 * deliver nothing from now on, without an error; new ones work */
void
cq_sim_silence_connections(cq_sim_t *sim, guint host, guint upstream);

/** cq_sim_cut() - cut (or, with @cut FALSE, restore) the network between two
 * zones or a zone and CQ_SIM_PLATFORM */
void
cq_sim_cut(cq_sim_t *sim, guint a, guint b, gboolean cut);

/** cq_sim_set_log_down() - make the log unavailable or available */
void
cq_sim_set_log_down(cq_sim_t *sim, gboolean down);

/** cq_sim_lose_append_replies() - the next @n appends to the log take effect
 * but their replies are lost
 */
void
cq_sim_lose_append_replies(cq_sim_t *sim, guint n);

/** cq_sim_truncate_log() - delete all but the first @keep records of the log
 */
void
cq_sim_truncate_log(cq_sim_t *sim, guint keep);

/** cq_sim_set_list_down() - make the host list unavailable or available */
void
cq_sim_set_list_down(cq_sim_t *sim, gboolean down);

/** cq_sim_delay_orders() - add @us to the network delay of later orders */
void
cq_sim_delay_orders(cq_sim_t *sim, gint64 us);

/** cq_sim_engines_with_model() - Return: number of running engines that have
 * loaded @model */
guint
cq_sim_engines_with_model(const cq_sim_t *sim, const char *model);

/** cq_sim_upstream_name() - Return: name of upstream @index */
const char *
cq_sim_upstream_name(const cq_sim_t *sim, guint index);

/** cq_sim_arrivals() - Return: number of attempts that reached upstream
 * @index */
guint64
cq_sim_arrivals(const cq_sim_t *sim, guint index);

G_END_DECLS

#endif
