/**
 * DOC: state
 *
 * The core's tables. Private to the package.
 */
#ifndef CQ_STATE_H
#define CQ_STATE_H

#include "base/list.h"
#include "core/core.h"

#define CQ_CLASSES 4

/** enum cq_class_t - length classes of prompts */
typedef enum {
    CQ_CLASS_SHORT,
    CQ_CLASS_MIDDLE,
    CQ_CLASS_LONG,
    CQ_CLASS_GIANT,
} cq_class_t;

/** enum cq_phase_t - states of a request */
typedef enum {
    CQ_PHASE_CLAIMING,  /* its claim is on its way through the log */
    CQ_PHASE_QUEUED,    /* waits for an upstream */
    CQ_PHASE_RESERVING, /* asks several engines for memory */
    CQ_PHASE_RUNNING,   /* an attempt is out */
} cq_phase_t;

/**
 * struct cq_load_t - work on one engine
 * @busy_us: per class: when prefill of this class and those below is done
 * @placed_us: per class: sum of prefill time ever placed; only grows
 * @streams: running requests
 * @kv_tokens: memory held
 */
typedef struct {
    gint64 busy_us[CQ_CLASSES];
    gint64 placed_us[CQ_CLASSES];
    gint64 streams;
    gint64 kv_tokens;
} cq_load_t;

/**
 * struct cq_task_t - a request on engines, of this process or of a peer
 * @request: its id
 * @host: who sent it
 * @engines: those that read its prompt; the first one writes
 * @engines_len: number of @engines
 * @tokens: prompt and longest answer, held by the first engine
 * @part_us: time that each engine reads
 * @gap_us: longest pause between its events, or 0
 * @placed_us: when its reading begins or began
 * @read_us: when its reading is expected to be done
 * @first_us: when its first token is expected
 * @until_us: when it is forgotten if its end is never told
 * @writing: its prompt is read
 */
typedef struct {
    guint64 request;
    guint32 host;
    struct cq_upstream *engines[CQ_GROUP_MAX];
    guint engines_len;
    gint64 tokens;
    gint64 part_us;
    gint64 gap_us;
    gint64 placed_us;
    gint64 read_us;
    gint64 first_us;
    gint64 until_us;
    gboolean writing;
} cq_task_t;

/**
 * struct cq_upstream_t - an upstream
 * @link: in its service's list
 * @id: hash of @name
 * @incarnation: newest incarnation seen
 * @leaving: the newest incarnation is leaving
 * @leaving_us: when this process heard of it
 * @listed: the platform's list has it
 * @was_listed: the list before had it
 * @suspect_until_us: gets no new work before then
 * @near: it is in this host's zone
 * @slot: index within its service's candidate array, or -1
 * @load: combined work of this process and its peers
 * @own: this process's part of it
 * @reported_*: the last load report
 * @released_us: when this process last released memory there
 * @models: hashes of the models that its last report names
 * @loading: hash of the model that it is loading, or 0
 * @ordered: hash of the model of an order that no report shows yet, or 0
 * @beliefs: prefix hash to the time at which it was last sent
 * @touched: own share changed since the last summary
 * @tasks: array of cq_task_t*: what is read or written there
 * @pass_us: when its pass began, as seen or expected
 * @strikes: calls that it broke in a row
 * @unlisted_us: when the list lost it
 */
typedef struct cq_upstream {
    cq_list_t link;
    guint64 id;
    char name[CQ_NAME_BYTES];
    char addr[CQ_ADDR_BYTES];
    char zone[CQ_NAME_BYTES];
    struct cq_service *service;
    guint64 incarnation;
    gboolean leaving;
    gint64 leaving_us;
    gboolean listed;
    gboolean was_listed;
    gint64 suspect_until_us;
    int slot;
    gboolean near;
    cq_load_t load;
    gint64 own_placed_us[CQ_CLASSES];
    gint64 own_streams;
    gint64 own_kv_tokens;
    gint64 peer_streams;
    gint64 peer_kv_tokens;
    gint64 reported_at_us;
    gint64 reported_streams;
    gint64 reported_kv_tokens;
    gint64 released_us;
    guint64 models[CQ_ENGINE_MODELS_MAX];
    guint models_len;
    guint64 loading;
    gint64 models_at_us;
    guint64 ordered;
    gint64 ordered_us;
    GHashTable *beliefs;
    gboolean touched;
    GPtrArray *tasks;
    gint64 pass_us;
    guint strikes;
    gint64 unlisted_us;
} cq_upstream_t;

/**
 * struct cq_flow_t - waiting requests of one team in one length class
 * @active: in the service's list of flows that wait
 * @requests: requests by arrival
 * @finish: virtual finish time of the last one queued
 * @backlog: cost waiting
 * @weight: the team's share
 */
typedef struct {
    cq_list_t active;
    cq_list_t requests;
    double finish;
    double backlog;
    gint64 weight;
} cq_flow_t;

/**
 * struct cq_usage_t - what a team has running here
 * @cost: cost of its running requests
 * @open: its requests without an answer
 */
typedef struct {
    double cost;
    guint open;
} cq_usage_t;

/**
 * struct cq_lane_t - waiting work of one length class
 * @active: flows that wait
 * @virtual_time: start tag of the last request taken
 * @backlog: cost waiting, in engine seconds
 * @drain: cost taken per second while work waits
 * @taken: cost taken in the current window
 * @waited: whether work waited throughout the current window
 * @booked: cost refused and told to come back, not yet due
 * @count: requests waiting
 */
typedef struct {
    cq_list_t active;
    double virtual_time;
    double backlog;
    double drain;
    double taken;
    gboolean waited;
    double booked;
    guint count;
} cq_lane_t;

/**
 * struct cq_service_t - a service
 * @rules: its rules, or NULL before the first ones arrive
 * @upstreams: list of cq_upstream_t
 * @nearby: array of cq_upstream_t* in this zone that this process watches
 * @remote: array of cq_upstream_t* in other zones
 * @shared_len: first entries of @nearby that take giant prompts
 * @lanes: waiting work by class
 * @flows: array of cq_flow_t*, CQ_CLASSES a team
 * @usage: array of cq_usage_t, one a team
 * @running: cost of all running requests
 * @retry_tokens: retries that the budget still allows
 * @demand: recent demand for memory over time, by class
 * @output_high: tokens that hardly any answer exceeds
 * @stale: the candidate arrays need rebuilding
 * @turn: round robin position
 */
typedef struct cq_service {
    char name[CQ_NAME_BYTES];
    cq_rules_t *rules;
    cq_list_t upstreams;
    GPtrArray *nearby;
    GPtrArray *remote;
    guint shared_len;
    cq_lane_t lanes[CQ_CLASSES];
    GPtrArray *flows;
    GArray *usage;
    double running;
    double retry_tokens;
    double demand[CQ_CLASSES];
    double output_high;
    gboolean stale;
    guint turn;
} cq_service_t;

/**
 * struct cq_request_t - a request without a final answer
 * @link: in the core's list
 * @queue: in its flow
 * @model: hash of the model that an engine must have, or 0
 * @output_tokens: longest answer, guessed unless @output_known
 * @klass: its length class
 * @rank: the class by which engines order its prefill; the last one for a
 *   team above its share
 * @upstream: of the running attempt, or NULL
 * @sent: a byte of the running attempt may have left
 * @sends: attempts of which a byte may have left and that were not refused
 * @forwarded: tokens that the caller has
 * @group: engines asked for memory; @granted counts those that agreed
 * @aim_us: when its first token, or its answer, is worth most
 * @gap_us: longest pause between its events
 * @unsent: attempts that never reached their upstream
 * @task: its entry in the ledger of engines; with it, a queued request is
 *   booked
 * @blamed: id of the engine because of which the attempt did not run, or 0
 * @pause_us: longest pause between its events so far
 * @holders_len: engines of @group that a booked request asks for memory
 */
typedef struct {
    cq_list_t link;
    cq_list_t queue;
    guint64 id;
    cq_service_t *service;
    cq_flow_t *flow;
    int team;
    cq_class_t klass;
    cq_class_t rank;
    cq_phase_t phase;
    guint64 model;
    cq_idempotency_key_t key;
    gboolean claimed;
    gboolean repeatable;
    gint64 prompt_tokens;
    gint64 output_tokens;
    gboolean output_known;
    cq_prefix_t prefixes[CQ_PREFIX_LEVELS];
    guint prefixes_len;
    gint64 arrived_us;
    gint64 deadline_us;
    gint64 phase_us;
    gint64 ready_us;
    double cost;
    double start_tag;
    double finish_tag;
    guint32 attempt;
    cq_upstream_t *upstream;
    cq_upstream_t *earmark;
    gint64 earmark_until_us;
    guint64 last_failed;
    gboolean sent;
    guint sends;
    gint64 forwarded;
    gint64 progress_us;
    gint64 probed_us;
    guint unanswered;
    gint64 charged_kv;
    gint64 charged_us;
    gint64 placed_mark;
    cq_upstream_t *group[CQ_GROUP_MAX];
    gboolean group_granted[CQ_GROUP_MAX];
    guint group_len;
    guint granted;
    guint backoffs;
    gint64 aim_us;
    gint64 gap_us;
    guint attempts_max;
    gboolean resumable;
    guint unsent;
    cq_task_t *task;
    guint holders_len;
    gint64 pause_us;
    guint64 blamed;
} cq_request_t;

/**
 * struct cq_peer_t - another serving process
 * @host: its host id
 * @shares: engine id to cq_share_t*, as last heard
 */
typedef struct {
    guint32 host;
    guint64 incarnation;
    gint64 heard_us;
    gboolean draining;
    GHashTable *shares;
} cq_peer_t;

/**
 * struct cq_claim_entry_t - what the log says of a key
 */
typedef struct {
    cq_claim_t claim;
    gint64 seen_us;
} cq_claim_entry_t;

/**
 * struct cq_lease_state_t - the lease as the log tells it
 * @fence: fencing number in force; only grows
 * @host: its holder
 * @incarnation: the holder's incarnation
 * @released: the holder gave it up
 * @seen_us: when this process read the last renewal
 * @until_us: as the holder: when this process stops giving orders
 * @asked_us: when this process last wrote a lease record
 */
typedef struct {
    guint64 fence;
    guint32 host;
    guint64 incarnation;
    gboolean released;
    gint64 seen_us;
    gint64 until_us;
    gint64 asked_us;
} cq_lease_state_t;

/**
 * struct cq_zone_t - another availability zone, as seen from here
 * @failed_us: when one of its upstreams could not be reached
 * @upstream: the id of that one
 * @suspect_until_us: its upstreams get no work before then
 */
typedef struct {
    gint64 failed_us;
    guint64 upstream;
    gint64 suspect_until_us;
} cq_zone_t;

/**
 * struct cq_core - the whole state
 * @entry_hosts: host ids of the other entry hosts on the list, to zones
 * @zones: zone name to cq_zone_t*
 * @listed: a host list has come
 * @peers: array of cq_host_row_t: those that this process keeps links to
 * @reads_log: whether this process follows the log all the time
 * @claims: key to cq_claim_entry_t*
 * @tasks: request id to cq_task_t*
 * @tasks_looked_us: when tasks were last looked for that are to be forgotten
 * @tasks_told_us: when peers were last told all tasks of this process
 * @log_back_us: when the platform's log last answered again
 * @reserved: reservations without a release
 * @touched: a share changed since the last summary
 */
struct cq_core {
    char host_name[CQ_NAME_BYTES];
    char zone[CQ_NAME_BYTES];
    guint32 host;
    guint64 incarnation;
    cq_policy_t policy;
    GRand *rand;
    cq_counters_t counters;
    cq_ring_t ring;
    cq_list_t requests;
    GHashTable *request_by_id;
    GHashTable *upstream_by_id;
    GHashTable *service_by_name;
    GPtrArray *services;
    GHashTable *peer_by_host;
    GHashTable *entry_hosts;
    GHashTable *zones;
    gboolean listed;
    GArray *peers;
    gboolean reads_log;
    GHashTable *claims;
    cq_lease_state_t lease;
    GHashTable *tasks;
    gint64 tasks_looked_us;
    gint64 tasks_told_us;
    guint reserved;
    gboolean log_up;
    gint64 log_back_us;
    gboolean draining;
    gint64 drain_notice_us;
    gint64 drain_limit_us;
    gboolean stopped;
    gint64 window_us;
    gint64 summary_us;
    gint64 summary_sent_us;
    gint64 summary_credit;
    gboolean touched;
    gint64 sweep_us;
    gint64 started_us;
    gint64 now_us;
    gboolean placeable;
    cq_actions_t *actions;
};

#endif
