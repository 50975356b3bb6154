/**
 * DOC: simstate
 *
 * The emulator's state and its internal functions. Private to the package.
 */
#ifndef CQ_SIMSTATE_H
#define CQ_SIMSTATE_H

#include "bench/sim.h"

G_BEGIN_DECLS

/* One-way network delay. */
#define CQ_SIM_HOP_US 500
/* Time of an append to the log. */
#define CQ_SIM_APPEND_US (3 * CQ_MS_US)
/* How often a host looks for new records of the log. */
#define CQ_SIM_LOG_POLL_US (20 * CQ_MS_US)
/* How often the platform sends the host list. */
#define CQ_SIM_LIST_PERIOD_US CQ_SECOND_US
/* How often an engine reports its load. */
#define CQ_SIM_REPORT_PERIOD_US CQ_SECOND_US
/* Age of an engine's cache events on arrival. */
#define CQ_SIM_CACHE_LAG_US (2 * CQ_SECOND_US)
/* Time that an engine takes to load a model. */
#define CQ_SIM_MODEL_LOAD_US (5 * CQ_SECOND_US)
/* Minimum duration of a plain call. */
#define CQ_SIM_PLAIN_CALL_US (5 * CQ_MS_US)

/**
 * struct cq_sim_host_t - a host and its process
 * @core: the scheduling core; NULL while the process is down
 * @fold: its configuration; NULL while the process is down
 * @actions: actions of the current step
 * @deferred_events: events that arrived while it was frozen; owned copies
 * @stepping: a step is running; steps must not nest
 * @stopped: the process has completed a drain
 * @incarnation: number of times the process was started
 * @requests_sent: requests that callers sent to it
 * @frozen_until_us: it is frozen until then
 * @log_offset: offset of the next record of the log to read
 * @appended_end: length of the log after this host's latest append
 * @last_poll_us: when it last looked at the log
 * @last_read_us: when a read was last counted in cq_sim_totals_t.log_reads
 * @appends: records that wait to be appended; owned
 * @appending: an append is under way
 */
typedef struct {
    cq_sim_t *sim;
    guint index;
    char name[CQ_NAME_BYTES];
    guint zone;
    cq_core_t *core;
    cq_fold_t *fold;
    cq_actions_t actions;
    GQueue deferred_events;
    gboolean stepping;
    gboolean stopped;
    guint64 incarnation;
    guint64 requests_sent;
    gint64 frozen_until_us;
    gint64 log_offset;
    gint64 appended_end;
    gint64 last_poll_us;
    gint64 last_read_us;
    GQueue appends;
    gboolean appending;
} cq_sim_host_t;

/**
 * struct cq_sim_upstream_t - an engine or a replica of the plain service
 * @engine: the emulated engine; NULL for a plain replica
 * @arrivals: attempts that reached it
 * @models: models that an engine has loaded, as hashes of their names
 * @loading: hash of the model that it is loading, or 0
 * @checks_fence: it refuses orders with a stale fencing number
 * @highest_fence: highest fencing number of its orders
 */
typedef struct {
    cq_sim_t *sim;
    guint index;
    char name[CQ_NAME_BYTES];
    guint zone;
    cq_engine_t *engine;
    guint64 id;
    guint64 incarnation;
    gboolean up;
    gboolean leaving;
    gint64 frozen_until_us;
    guint64 arrivals;
    guint64 models[CQ_ENGINE_MODELS_MAX];
    guint models_len;
    guint64 loading;
    gboolean checks_fence;
    guint64 highest_fence;
} cq_sim_upstream_t;

/**
 * struct cq_sim_attempt_t - one attempt of a request at an upstream
 * @key: key in the table of attempts
 * @host_incarnation: incarnation of the host that sent it
 * @resume_from: tokens of the answer that the caller already has
 * @group: upstreams that share the prompt, of which the first decodes
 * @run: its run on the engine; NULL before and after
 * @spec: the caller's request
 * @silent: its connection no longer delivers anything
 * @sent: bytes have left the host
 * @arrived: the upstream has the request
 * @ended: it has no further effect
 * @cancelled_runs_us: engine time of its cancelled runs
 */
typedef struct {
    cq_sim_t *sim;
    guint host;
    guint64 host_incarnation;
    guint upstream;
    guint64 request;
    guint32 attempt_number;
    guint64 key;
    int priority;
    gint64 resume_from;
    guint group[CQ_PREFILL_GROUP_MAX];
    guint group_len;
    cq_engine_run_t *run;
    cq_sim_request_t spec;
    gboolean silent;
    gboolean sent;
    gboolean arrived;
    gboolean ended;
    gint64 cancelled_runs_us;
    guint reference_count;
} cq_sim_attempt_t;

/**
 * struct cq_sim_open_request_t - a request that is not answered yet
 */
typedef struct {
    cq_sim_request_t spec;
    guint64 id;
    guint64 host_incarnation;
} cq_sim_open_request_t;

/**
 * struct cq_sim_record_t - one record of the log; @kind tells which member is
 * set
 */
typedef struct {
    cq_record_kind_t kind;
    cq_claim_t claim;
    cq_lease_t lease;
    cq_config_entry_t config;
} cq_sim_record_t;

/**
 * struct cq_sim - the emulated deployment
 * @cut: by pair of zones: the network between them is cut
 * @open_requests: cq_sim_open_request_t by request id; owned
 * @attempts: the latest cq_sim_attempt_t by request id; holds a reference
 * @upstream_by_id: index in @upstreams by id
 * @log: cq_sim_record_t by offset; owned
 * @append_replies_to_lose: number of further appends whose replies are lost
 * @order_delay_us: added to the network delay of orders
 * @model_loads_running: engines that are loading a model
 * @runs_by_key: how often a plain call ran, by idempotency key
 * @runs_by_request: how often a plain call ran, by request id
 */
struct cq_sim {
    cq_sim_options_t options;
    cq_heap_t heap;
    GRand *rand;
    cq_sim_host_t hosts[CQ_SIM_HOSTS_MAX];
    cq_sim_upstream_t upstreams[CQ_SIM_UPSTREAMS_MAX];
    guint upstreams_len;
    gboolean cut[CQ_SIM_ZONES_MAX][CQ_SIM_ZONES_MAX];
    GHashTable *open_requests;
    GHashTable *attempts;
    GHashTable *upstream_by_id;
    GPtrArray *log;
    gboolean log_down;
    gboolean list_down;
    guint append_replies_to_lose;
    gint64 order_delay_us;
    guint model_loads_running;
    GHashTable *runs_by_key;
    GHashTable *runs_by_request;
    GArray *list;
    cq_sim_totals_t totals;
};

/** cq_sim_now() - Return: virtual time in microseconds */
gint64
cq_sim_now(const cq_sim_t *sim);

/** cq_sim_host_index() - Return: index of the host named @name, which must
 * exist */
guint
cq_sim_host_index(const cq_sim_t *sim, const char *name);

/** cq_sim_post_event() - step the core of @host with @event, or keep a copy
 * until the host is no longer frozen */
void
cq_sim_post_event(cq_sim_t *sim, guint host, const cq_event_t *event);

/** cq_sim_resume_host() - callback at the end of a freeze: process the
 * deferred events of @host if its process is still @incarnation */
void
cq_sim_resume_host(void *context, void *host, guint64 incarnation);

/** cq_sim_reachable() - Return: whether the network connects zones @a and @b
 */
gboolean
cq_sim_reachable(const cq_sim_t *sim, guint a, guint b);

/** cq_sim_platform_reachable() - Return: whether @host can reach the
 * platform */
gboolean
cq_sim_platform_reachable(const cq_sim_t *sim, guint host);

/** cq_sim_start_attempt() - carry out a SEND action */
void
cq_sim_start_attempt(cq_sim_t *sim, cq_sim_host_t *host,
                     const cq_ac_send_t *send);

/** cq_sim_stop_attempt() - carry out a STOP action */
void
cq_sim_stop_attempt(cq_sim_t *sim, const cq_ac_attempt_t *attempt);

/** cq_sim_probe() - carry out a PROBE action */
void
cq_sim_probe(cq_sim_t *sim, cq_sim_host_t *host,
             const cq_ac_attempt_t *attempt);

/** cq_sim_hand() - carry out a HAND action: the emulated hosts have no
 * addresses for callers, so the connection is refused */
void
cq_sim_hand(cq_sim_host_t *host, const cq_ac_hand_t *hand);

/** cq_sim_reach() - carry out a REACH action */
void
cq_sim_reach(cq_sim_t *sim, cq_sim_host_t *host, const cq_ac_reach_t *reach);

/** cq_sim_change_reservation() - carry out a RESERVE or RELEASE action */
void
cq_sim_change_reservation(cq_sim_t *sim, cq_sim_host_t *host,
                          cq_action_kind_t kind, const cq_ac_memory_t *memory);

/** cq_sim_attempt_free() - drop the table's reference to an attempt */
void
cq_sim_attempt_free(gpointer data);

/** cq_sim_drop_attempts() - close the connections of @host, whose process
 * ended */
void
cq_sim_drop_attempts(cq_sim_t *sim, guint host);

/** cq_sim_break_attempts() - close the connections to @upstream, which crashed
 */
void
cq_sim_break_attempts(cq_sim_t *sim, guint upstream);

/** cq_sim_engine_options() - Return: options of the engine of @upstream */
cq_engine_options_t
cq_sim_engine_options(cq_sim_t *sim, cq_sim_upstream_t *upstream);

/** cq_sim_append() - carry out a CLAIM or LEASE action; @record is copied */
void
cq_sim_append(cq_sim_host_t *host, const cq_sim_record_t *record);

/** cq_sim_send_order() - carry out an ORDER action */
void
cq_sim_send_order(cq_sim_host_t *host, const cq_ac_order_t *order);

/** cq_sim_post_event_after() - post a copy of @event to @host after @delay_us,
 * unless its process has ended or restarted by then */
void
cq_sim_post_event_after(cq_sim_host_t *host, const cq_event_t *event,
                        gint64 delay_us);

/** cq_sim_record_free() - free a record of the log */
void
cq_sim_record_free(gpointer data);

/** cq_sim_start_platform() - start the host list, the load reports and the
 * hosts' exchange of configuration */
void
cq_sim_start_platform(cq_sim_t *sim);

/** cq_sim_start_log_reader() - start to read the log on @host, from its
 * beginning */
void
cq_sim_start_log_reader(cq_sim_t *sim, cq_sim_host_t *host);

G_END_DECLS

#endif
