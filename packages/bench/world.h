/**
 * DOC: world
 *
 * The emulator's tables. Private to the package.
 */
#ifndef CQ_WORLD_H
#define CQ_WORLD_H

#include "bench/sim.h"

G_BEGIN_DECLS

#define CQ_WORLD_HOP_US 500
#define CQ_WORLD_APPEND_US (3 * CQ_MS_US)
#define CQ_WORLD_READ_US (20 * CQ_MS_US)
#define CQ_WORLD_LIST_US CQ_SECOND_US
#define CQ_WORLD_LOAD_US CQ_SECOND_US
#define CQ_WORLD_CACHE_LAG_US (2 * CQ_SECOND_US)
#define CQ_WORLD_MODEL_US (5 * CQ_SECOND_US)
#define CQ_WORLD_PLAIN_US (5 * CQ_MS_US)

/**
 * struct cq_world_host_t - a serving process
 */
typedef struct {
    cq_sim_t *sim;
    guint index;
    char name[CQ_NAME_BYTES];
    guint zone;
    cq_core_t *core;
    cq_fold_t *fold;
    cq_actions_t actions;
    GQueue waiting;
    gboolean stepping;
    gboolean stopped;
    guint64 incarnation;
    guint64 asked;
    gint64 frozen_until_us;
    gint64 log_next;
    gint64 appended;
    gint64 looked_us;
    gint64 read_us;
    GQueue appends;
    gboolean appending;
} cq_world_host_t;

/**
 * struct cq_world_upstream_t - an engine or a replica of the plain service
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
    guint64 fence;
} cq_world_upstream_t;

/**
 * struct cq_world_try_t - one attempt between a host and an upstream
 * @ask: what the caller asked
 * @silent: its connection delivers nothing any more
 * @sent: bytes have left the host
 * @arrived: the upstream has the request
 * @over: nothing more comes of it
 */
typedef struct {
    cq_sim_t *sim;
    guint host;
    guint64 host_incarnation;
    guint upstream;
    guint64 request;
    guint32 attempt;
    int priority;
    gint64 resume_from;
    guint group[CQ_GROUP_MAX];
    guint group_len;
    cq_run_t *run;
    cq_sim_ask_t ask;
    gboolean silent;
    gboolean sent;
    gboolean arrived;
    gboolean over;
    gint64 used_us;
    guint references;
} cq_world_try_t;

/**
 * struct cq_world_ask_t - a caller's open request
 */
typedef struct {
    cq_sim_ask_t ask;
    guint64 id;
    guint64 host_incarnation;
} cq_world_ask_t;

/**
 * struct cq_world_record_t - one record of the log
 */
typedef struct {
    cq_record_kind_t kind;
    cq_claim_t claim;
    cq_lease_t lease;
    cq_config_entry_t config;
} cq_world_record_t;

struct cq_sim {
    cq_sim_options_t options;
    cq_heap_t heap;
    GRand *rand;
    cq_world_host_t hosts[CQ_SIM_HOSTS_MAX];
    cq_world_upstream_t upstreams[CQ_SIM_UPSTREAMS_MAX];
    guint upstreams_len;
    gboolean cut[CQ_SIM_ZONES_MAX][CQ_SIM_ZONES_MAX];
    GHashTable *asks;
    GHashTable *tries;
    GHashTable *upstream_by_id;
    GPtrArray *log;
    gboolean log_down;
    gboolean list_down;
    guint lose_appends;
    gint64 order_delay_us;
    guint loads;
    GHashTable *runs_by_key;
    GHashTable *runs_by_request;
    GArray *list;
    cq_sim_totals_t totals;
};

/** cq_world_now() - Return: virtual time in microseconds */
gint64
cq_world_now(const cq_sim_t *sim);

/** cq_world_host_index() - Return: index of the host named @name */
guint
cq_world_host_index(const cq_sim_t *sim, const char *name);

/** cq_world_post() - give @event to host @host now, or when it thaws */
void
cq_world_post(cq_sim_t *sim, guint host, const cq_event_t *event);

/** cq_world_thaw() - the process @host, if it is still @incarnation, takes the
 * events that came while it was frozen */
void
cq_world_thaw(void *world, void *host, guint64 incarnation);

/** cq_world_reachable() - Return: whether zones @a and @b are joined */
gboolean
cq_world_reachable(const cq_sim_t *sim, guint a, guint b);

/** cq_world_platform() - Return: whether host @host reaches the platform */
gboolean
cq_world_platform(const cq_sim_t *sim, guint host);

/** cq_world_start_try() - carry out a SEND */
void
cq_world_start_try(cq_sim_t *sim, cq_world_host_t *host,
                   const cq_ac_send_t *send);

/** cq_world_stop_try() - carry out a STOP */
void
cq_world_stop_try(cq_sim_t *sim, const cq_ac_attempt_t *attempt);

/** cq_world_probe() - carry out a PROBE */
void
cq_world_probe(cq_sim_t *sim, cq_world_host_t *host,
               const cq_ac_attempt_t *attempt);

/** cq_world_memory() - carry out a RESERVE or RELEASE */
void
cq_world_memory(cq_sim_t *sim, cq_world_host_t *host, cq_action_kind_t kind,
                const cq_ac_memory_t *memory);

/** cq_world_try_free() - give up the table's reference to an attempt */
void
cq_world_try_free(gpointer data);

/** cq_world_drop_tries() - connections of @host end with its process */
void
cq_world_drop_tries(cq_sim_t *sim, guint host);

/** cq_world_break_tries() - connections to @upstream end with it */
void
cq_world_break_tries(cq_sim_t *sim, guint upstream);

/** cq_world_engine_options() - Return: options of upstream @upstream */
cq_engine_options_t
cq_world_engine_options(cq_sim_t *sim, cq_world_upstream_t *upstream);

/** cq_world_append() - carry out a CLAIM or a LEASE; @record is copied */
void
cq_world_append(cq_world_host_t *host, const cq_world_record_t *record);

/** cq_world_order() - carry out an ORDER */
void
cq_world_order(cq_world_host_t *host, const cq_ac_order_t *order);

/** cq_world_tell() - give @event to @host after @us, if its process lives */
void
cq_world_tell(cq_world_host_t *host, const cq_event_t *event, gint64 us);

/** cq_world_record_free() - free a record of the log */
void
cq_world_record_free(gpointer data);

/** cq_world_start_plat() - start the log, the list and the load reports */
void
cq_world_start_plat(cq_sim_t *sim);

/** cq_world_start_reader() - @host begins to read the log */
void
cq_world_start_reader(cq_sim_t *sim, cq_world_host_t *host);

G_END_DECLS

#endif
