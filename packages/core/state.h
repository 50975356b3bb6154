/**
 * DOC: state
 *
 * The rows of the core's tables. Private to the package. Members that end in
 * `_us` and hold a point in time are on the clock of cq_core_step's now_us.
 */
#ifndef CQ_STATE_H
#define CQ_STATE_H

#include "base/list.h"
#include "core/core.h"
#include "core/logstate.h"
#include "core/pacestate.h"
#include "core/reachstate.h"
#include "core/slack.h"

#define CQ_CLASSES 4

/** enum cq_class_t - length classes of prompts; CQ_CLASS_SHORT_TOKENS_MAX and
 * so on are their limits, and longer prompts are giant */
typedef enum {
    CQ_CLASS_SHORT,
    CQ_CLASS_MIDDLE,
    CQ_CLASS_LONG,
    CQ_CLASS_GIANT,
} cq_class_t;

/** enum cq_phase_t - states of a request */
typedef enum {
    CQ_PHASE_CLAIMING, /* its claim record is not yet read back from the log */
    CQ_PHASE_QUEUED,   /* waits for an upstream */
    CQ_PHASE_RESERVING, /* waits for engines to reserve memory */
    CQ_PHASE_RUNNING,   /* an attempt runs at an upstream */
    CQ_PHASE_HANDED,    /* it is passed on to a peer */
} cq_phase_t;

/**
 * struct cq_load_t - work on one engine
 * @prefill_done_us: per class: when prefill of this class and of the classes
 *   for shorter prompts is done
 * @placed_us: per class: total prefill time placed since the process
 *   started; never decreases
 * @streams: running requests
 * @kv_tokens: memory held
 */
typedef struct {
    gint64 prefill_done_us[CQ_CLASSES];
    gint64 placed_us[CQ_CLASSES];
    gint64 streams;
    gint64 kv_tokens;
} cq_load_t;

/**
 * struct cq_task_t - a request placed on engines of a BATCH service, by this
 *   process or by a peer
 * @request: id of the request; of a second attempt beside a running one, its
 *   complement
 * @host: id of the host that placed it
 * @engines: those that prefill its prompt, each a part of it; the first one
 *   also decodes the answer
 * @engines_len: number of @engines
 * @kv_tokens: tokens of prompt and answer that the first engine holds
 * @part_us: prefill time of one part
 * @gap_max_us: longest allowed time between events of its stream, or 0
 * @prefill_start_us: when its prefill begins or began
 * @prefill_done_us: when its prefill is expected to be done
 * @first_token_us: when its first token is expected
 * @expires_us: when a peer's task is dropped if no end was received
 * @decoding: its prefill is done
 */
typedef struct {
    guint64 request;
    guint32 host;
    struct cq_upstream *engines[CQ_PREFILL_GROUP_MAX];
    guint engines_len;
    gint64 kv_tokens;
    gint64 part_us;
    gint64 gap_max_us;
    gint64 prefill_start_us;
    gint64 prefill_done_us;
    gint64 first_token_us;
    gint64 expires_us;
    gboolean decoding;
} cq_task_t;

/**
 * struct cq_rate_t - the rate limit that an upstream has named, or has while
 *   it is cold
 * @limited: it has named one
 * @per_s: if so, the requests a second that it takes from all hosts together
 * @version: number of the statement; higher ones replace lower ones, whichever
 *   host received them; 0: none yet
 * @learned_us: when this process learned of the statement
 * @confirmed_us: when an answer to this process last stated the rate
 * @cold: it is cold, and its service states a rate for that
 * @cold_per_s: the requests a second that it takes meanwhile
 * @cold_until_us: until when it is, as far as this process knows
 * @share_per_s: this host's share of the lowest limit; 0: it has none
 * @is_first: this host has the lowest rank of those that have a share
 * @spaced_from_us: the next request is sent the time of one request at
 *   @share_per_s after this
 */
typedef struct {
    gboolean limited;
    double per_s;
    guint64 version;
    gint64 learned_us;
    gint64 confirmed_us;
    gboolean cold;
    double cold_per_s;
    gint64 cold_until_us;
    double share_per_s;
    gboolean is_first;
    gint64 spaced_from_us;
} cq_rate_t;

/**
 * struct cq_upstream_t - an upstream
 * @link: in its service's list
 * @id: hash of @name
 * @incarnation: newest incarnation seen
 * @leaving: the newest incarnation is leaving
 * @leaving_since_us: when this process learned that it is leaving
 * @listed: it is in the platform's newest host list
 * @was_listed: it was in the previous host list
 * @suspect_until_us: gets no new work before then, since this host's calls
 *   failed there
 * @pause_until_us: gets no new work before then, since it asked for that
 * @candidate_index: index in its service's candidate array, or -1
 * @same_zone: it is in this host's availability zone
 * @load: prefill time placed by this process and its peers
 * @own_*: this process's part of the load
 * @peer_*: the peers' part, from their summaries
 * @reported_*: the last load report
 * @released_us: when this process last released memory there
 * @models: hashes of the models that its last report names
 * @models_len: number of @models
 * @loading_model: hash of the model that it is loading, or 0
 * @models_reported_us: when the engine made that report
 * @ordered_model: hash of the model that it was last ordered to load, or 0
 *   once a report that was made more than CQ_ORDER_PENDING_US after the order
 *   has arrived
 * @ordered_us: when that order was given
 * @cached_prefixes: hashes of prefixes that it is assumed to have cached, to
 *   the time at which each was last sent there or reported
 * @share_changed: this process's part changed since the last summary
 * @tasks: array of cq_task_t*: those that it prefills or decodes
 * @pass_start_us: when its current pass began, as observed or estimated
 * @offered_until_us: until when the hosts of its zone offer it to this zone
 * @broken_streak: attempts in a row whose connection ended early; those that
 *   ran at the same time count as one
 * @broken_us: when @broken_streak was last raised
 * @lapsed_until_us: until when it counts as present though the host list lacks
 *   it
 * @rate: its rate limit
 * @zone_emptied: its zone is emptied, so it gets nothing new
 * @pace: how much of it is used after it has started or recovered
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
    gint64 leaving_since_us;
    gboolean listed;
    gboolean was_listed;
    gint64 suspect_until_us;
    gint64 pause_until_us;
    int candidate_index;
    gboolean same_zone;
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
    guint64 loading_model;
    gint64 models_reported_us;
    guint64 ordered_model;
    gint64 ordered_us;
    GHashTable *cached_prefixes;
    gboolean share_changed;
    GPtrArray *tasks;
    gint64 pass_start_us;
    gint64 offered_until_us;
    guint broken_streak;
    gint64 broken_us;
    gint64 lapsed_until_us;
    cq_rate_t rate;
    gboolean zone_emptied;
    cq_pace_t pace;
} cq_upstream_t;

/**
 * struct cq_flow_t - waiting requests of one team in one length class
 * @active_link: in its class queue's list of flows that have requests
 * @requests: list of cq_request_t in order of service
 * @finish_tag: virtual finish time of the request queued last
 * @backlog_cost: cost of @requests
 * @weight: the team's weight
 */
typedef struct {
    cq_list_t active_link;
    cq_list_t requests;
    double finish_tag;
    double backlog_cost;
    gint64 weight;
} cq_flow_t;

/**
 * struct cq_usage_t - what a team has running in this process
 * @cost: cost of its running requests
 * @open: its requests without an answer
 * @comeback_us: latest time to come back that was given to its requests while
 *   all upstreams were limited
 */
typedef struct {
    double cost;
    guint open;
    gint64 comeback_us;
} cq_usage_t;

/**
 * struct cq_class_queue_t - waiting requests of one length class. Costs are
 *   in engine seconds
 * @active_flows: list of the cq_flow_t that have requests
 * @virtual_time: start tag of the request that was dequeued last
 * @backlog_cost: cost of the waiting requests
 * @drain_rate: cost dequeued per second while requests wait; 0: not known
 * @dequeued_cost: cost dequeued in the current window
 * @backlogged: whether requests waited throughout the current window
 * @deferred_cost: cost of refused requests whose retry is not yet due
 * @count: number of waiting requests
 */
typedef struct {
    cq_list_t active_flows;
    double virtual_time;
    double backlog_cost;
    double drain_rate;
    double dequeued_cost;
    gboolean backlogged;
    double deferred_cost;
    guint count;
} cq_class_queue_t;

/**
 * struct cq_service_t - a service
 * @id: hash of @name
 * @rules: its rules, or NULL before the first ones arrive
 * @upstreams: list of cq_upstream_t
 * @local: candidate array: cq_upstream_t* in this host's zone
 * @remote: candidate array: cq_upstream_t* in other zones
 * @guests: in cells, cq_upstream_t* in other zones whose guest zone is this
 *   host's
 * @giant_len: how many entries at the start of @local take giant prompts
 * @class_queues: waiting requests by length class
 * @flows: array of cq_flow_t*, CQ_CLASSES for each team
 * @usage: array of cq_usage_t, one for each team
 * @running_cost: cost of all running requests
 * @retry_tokens: retries that the budget still allows
 * @demand: by class: memory needed times run time of recent requests, with
 *   exponential decay
 * @output_tokens_high: estimated length that few answers exceed
 * @usual_answer_us: usual time from the start of an attempt to the first event
 *   or byte of its answer; 0: none has been answered
 * @candidates_stale: the candidate arrays need rebuilding
 * @round_robin_next: next position of the round-robin policy
 * @slack: how late the first tokens of short prompts came
 */
typedef struct cq_service {
    char name[CQ_NAME_BYTES];
    guint64 id;
    cq_rules_t *rules;
    cq_list_t upstreams;
    GPtrArray *local;
    GPtrArray *remote;
    GPtrArray *guests;
    guint giant_len;
    cq_class_queue_t class_queues[CQ_CLASSES];
    GPtrArray *flows;
    GArray *usage;
    double running_cost;
    double retry_tokens;
    double demand[CQ_CLASSES];
    double output_tokens_high;
    double usual_answer_us;
    gboolean candidates_stale;
    guint round_robin_next;
    cq_slack_t slack;
} cq_service_t;

/**
 * struct cq_standby_t - an attempt that goes on beside the running one: its
 *   upstream is silent, and nobody has begun to answer in its place. Members
 *   have the meaning that they have in cq_request_t
 */
typedef struct {
    guint32 attempt;
    cq_phase_t phase;
    cq_upstream_t *upstream;
    gboolean sent;
    gint64 forwarded_at_start;
    gint64 phase_start_us;
    gint64 progress_us;
    gint64 probed_us;
    guint probes_unanswered;
    gint64 entered_kv_tokens;
    gint64 entered_prefill_us;
    gint64 placed_at_start_us;
    cq_task_t *task;
} cq_standby_t;

/**
 * struct cq_request_t - a request without a final answer
 * @link: in the core's list
 * @queue_link: in the list of its flow
 * @team: index of its team in the service's rules
 * @team_id: hash of the name of its team
 * @length_class: its length class
 * @priority_class: the class by which engines order its prefill:
 *   @length_class, or the last class for a team above its share
 * @phase: its state
 * @model: hash of the model that an engine must have loaded, or 0
 * @key: its idempotency key; all 0: none
 * @claimed: a claim record was written for @key
 * @repeatable: it may run more than once
 * @output_tokens: longest answer; an assumed length unless @output_known
 * @suspects: what crashes of its upstreams accuse: the parts of its prompt
 * that other prompts may contain too and, last, its fingerprint
 * @suspects_len: number of @suspects
 * @fingerprint: hash of all that makes another request the same one, or 0
 * @is_trial: it is sent although one of @suspects is blocked
 * @prefixes: prefixes of its prompt, ascending
 * @started_us: when its first attempt began, or 0
 * @phase_start_us: when @phase was entered
 * @ready_us: it is not placed before this time
 * @cost: engine seconds that it is expected to take
 * @start_tag: virtual start time in fair queueing
 * @finish_tag: virtual finish time in fair queueing
 * @attempt: number of the running or last attempt
 * @attempts: number of attempts so far, which is also that of the newest one
 * @standby: an attempt beside the running one; its number is 0 if there is
 *   none
 * @upstream: upstream of the running attempt, or NULL
 * @earmark: engine on which its memory is set aside while it waits, or NULL
 * @earmark_until_us: when the earmark ends
 * @last_failed: id of the upstream of the last failed attempt, which is not
 *   used again; 0: none, or no other one is usable in time
 * @sent: a byte of the running attempt may have been sent
 * @possible_runs: attempts that may have run: a byte of them may have been
 *   sent, and the upstream did not refuse them
 * @forwarded: tokens that were forwarded to the caller
 * @forwarded_at_start: @forwarded when the running attempt started
 * @progress_us: when the running attempt last made progress
 * @probed_us: when the upstream was last probed about it
 * @probes_unanswered: probes in a row that got no answer
 * @move_checked_us: when another upstream was last looked for
 * @entered_kv_tokens: memory entered for the running attempt in the load
 *   ledger
 * @entered_prefill_us: prefill time entered there, 0 once prefill is done
 * @placed_at_start_us: the upstream's placed_us for @priority_class just
 *   after the attempt was entered
 * @group: engines asked to reserve memory
 * @group_granted: which of them granted it
 * @group_len: number of @group
 * @granted: how many of them granted it
 * @backoffs: times that a reservation failed
 * @reserved_us: when @group was last asked to reserve memory
 * @inspected_us: when @group was last asked whether the memory is in use
 * @memory_use: what each of @group last said to that
 * @unused_since_us: from when on, as far as known, the memory was not in use;
 *   @reserved_us if it never was, and 0 if it is
 * @target_us: target time of its first token or, in a plain service, of its
 *   answer
 * @gap_max_us: longest allowed time between events of its stream, or 0
 * @paused: its answer is not read, since the caller is slow
 * @attempts_max: upstreams that may run it
 * @resumable: another upstream can continue its stream
 * @connect_failures: attempts that never reached their upstream
 * @task: its task, or NULL; a queued request that has one is booked: its
 *   engines are reserved for a later start
 * @holders_len: number of engines in @group that a booked request will ask for
 *   memory
 * @longest_gap_us: longest time between its events so far
 * @handed: a peer passed it on to this host
 * @hands: number of times that it was passed on to a peer
 * @hand_host: host id of the peer to which it was last passed on, or 0
 * @kind: hash of what its run time depends on, its route
 * @failed_helper: id of the engine that the upstream named as the cause of a
 *   failure, or 0
 */
typedef struct {
    cq_list_t link;
    cq_list_t queue_link;
    guint64 id;
    cq_service_t *service;
    cq_flow_t *flow;
    int team;
    guint64 team_id;
    cq_class_t length_class;
    cq_class_t priority_class;
    cq_phase_t phase;
    guint64 model;
    cq_idempotency_key_t key;
    gboolean claimed;
    gboolean repeatable;
    gint64 prompt_tokens;
    gint64 output_tokens;
    gboolean output_known;
    guint64 suspects[CQ_PROMPT_PARTS_MAX + 1];
    guint suspects_len;
    guint64 fingerprint;
    gboolean is_trial;
    cq_prefix_t prefixes[CQ_PREFIX_LEVELS];
    guint prefixes_len;
    gint64 arrived_us;
    gint64 started_us;
    gint64 deadline_us;
    gint64 phase_start_us;
    gint64 ready_us;
    double cost;
    double start_tag;
    double finish_tag;
    guint32 attempt;
    guint32 attempts;
    cq_standby_t standby;
    cq_upstream_t *upstream;
    cq_upstream_t *earmark;
    gint64 earmark_until_us;
    guint64 last_failed;
    gboolean sent;
    guint possible_runs;
    gint64 forwarded;
    gint64 forwarded_at_start;
    gint64 progress_us;
    gint64 probed_us;
    guint probes_unanswered;
    gint64 move_checked_us;
    gint64 entered_kv_tokens;
    gint64 entered_prefill_us;
    gint64 placed_at_start_us;
    cq_upstream_t *group[CQ_PREFILL_GROUP_MAX];
    gboolean group_granted[CQ_PREFILL_GROUP_MAX];
    guint group_len;
    guint granted;
    guint backoffs;
    gint64 reserved_us;
    gint64 inspected_us;
    cq_memory_use_t memory_use[CQ_PREFILL_GROUP_MAX];
    gint64 unused_since_us[CQ_PREFILL_GROUP_MAX];
    gint64 target_us;
    gint64 gap_max_us;
    gboolean paused;
    guint attempts_max;
    gboolean resumable;
    guint connect_failures;
    cq_task_t *task;
    guint holders_len;
    gint64 longest_gap_us;
    gboolean handed;
    guint64 kind;
    guint hands;
    guint32 hand_host;
    guint64 failed_helper;
} cq_request_t;

/**
 * struct cq_peer_t - another serving process
 * @host: its host id
 * @incarnation: newest incarnation seen
 * @last_summary_us: when its last summary arrived
 * @draining: it is shutting down
 * @cut_off: it can't open connections to any upstream
 * @shares: engine id to cq_share_t*, as last received
 */
typedef struct {
    guint32 host;
    guint64 incarnation;
    gint64 last_summary_us;
    gboolean draining;
    gboolean cut_off;
    GHashTable *shares;
} cq_peer_t;

/** struct cq_quarantine_t - parts of prompts under which upstreams crash */
typedef struct cq_quarantine cq_quarantine_t;

/**
 * struct cq_core - the whole state
 * @requests: list of cq_request_t in order of arrival
 * @entry_hosts: host ids of the other entry hosts on the host list, to the
 *   names of their zones
 * @zones: zone name to cq_zone_t*
 * @finds_pace: the pace of upstreams that have started is to be found
 * @emptied_zones: set of the names of the zones that operators want emptied
 * @host_list_received: a host list has arrived
 * @peers: array of cq_host_row_t: the entry hosts to keep links to
 * @has_cells: the fleet is divided into cells, so this host places requests of
 *   BATCH services on the engines of its own zone
 * @cell_hosts: in cells, the number of entry hosts of this zone, with this one
 * @cell_zones: set of the names of the zones that have entry hosts
 * @offers_wanted: names of zones that asked for offers of idle engines, to the
 *   time until which they get them
 * @offered_us: when idle engines were last offered to other zones
 * @offers_requested_us: when this process last asked other zones for offers
 * @follows_log: whether this process reads the log continuously
 * @claims: key to cq_claim_entry_t*
 * @tasks: request id to cq_task_t*
 * @reach: whether this host can open connections to upstreams
 * @tasks_checked_us: when expired tasks were last looked for
 * @tasks_broadcast_us: when all tasks of this process were last sent to peers
 * @reservations: reservations without a release
 * @log_up: the platform's log answers
 * @runs: run times of the kinds of requests, see core/stop.c
 * @drain_notice_us: until when new requests are accepted while draining
 * @drain_limit_us: when every remaining request is answered
 * @window_start_us: when the current window of the drain rates began
 * @summary_due_us: the next summary is not sent before then
 * @summary_sent_us: when the last one was sent
 * @summary_credit_bytes: unspent part of the byte budget; negative: overspent
 * @summary_needed: some share changed that no summary contains yet
 * @rates_checked_us: when the shares of rate limits were last worked out
 * @now_us: time of the current step
 * @placement_due: something changed that may let a waiting request be placed
 * @actions: where the current step appends its actions; borrowed
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
    gboolean finds_pace;
    GHashTable *emptied_zones;
    gboolean host_list_received;
    GArray *peers;
    gboolean has_cells;
    guint cell_hosts;
    GHashTable *cell_zones;
    GHashTable *offers_wanted;
    gint64 offered_us;
    gint64 offers_requested_us;
    gboolean follows_log;
    GHashTable *claims;
    cq_lease_state_t lease;
    GHashTable *tasks;
    cq_quarantine_t *quarantine;
    cq_reach_t reach;
    gint64 tasks_checked_us;
    gint64 tasks_broadcast_us;
    guint reservations;
    gboolean log_up;
    GHashTable *runs;
    gboolean draining;
    gint64 drain_notice_us;
    gint64 drain_limit_us;
    gboolean stopped;
    gint64 window_start_us;
    gint64 summary_due_us;
    gint64 summary_sent_us;
    gint64 summary_credit_bytes;
    gboolean summary_needed;
    gint64 last_sweep_us;
    gint64 rates_checked_us;
    gint64 started_us;
    gint64 now_us;
    gboolean placement_due;
    cq_actions_t *actions;
};

#endif
