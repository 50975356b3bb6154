/**
 * DOC: event
 *
 * The core's input: one tagged union. The core borrows the pointers in an
 * event for the duration of the step. All times are in microseconds;
 * points in time are on the clock of cq_core_step's now_us.
 */
#ifndef CQ_EVENT_H
#define CQ_EVENT_H

#include <glib.h>

#include "base/claim.h"
#include "base/ident.h"
#include "base/lease.h"
#include "base/limits.h"
#include "base/memory.h"
#include "base/parts.h"
#include "base/rate.h"
#include "base/rules.h"

G_BEGIN_DECLS

/** enum cq_event_kind_t - which member of the union is set */
typedef enum {
    CQ_EV_TICK,        /* time has passed */
    CQ_EV_REQUEST,     /* a caller's request arrived */
    CQ_EV_HANGUP,      /* the caller closed its connection */
    CQ_EV_PAUSED,      /* the answer is not read, since the caller is slow */
    CQ_EV_RESUMED,     /* the answer is read again */
    CQ_EV_SENT,        /* a byte may have been sent to the upstream */
    CQ_EV_TOKENS,      /* tokens of an answer arrived */
    CQ_EV_DONE,        /* the whole answer was received */
    CQ_EV_FAILED,      /* an attempt ended without an answer */
    CQ_EV_UPSTREAM,    /* an upstream said something of itself in an answer */
    CQ_EV_RESERVED,    /* an engine answered RESERVE */
    CQ_EV_PROBED,      /* an upstream answered PROBE, or failed to */
    CQ_EV_LOAD,        /* an engine sent a load report */
    CQ_EV_CACHE,       /* an engine cached or evicted a prefix */
    CQ_EV_HOSTS,       /* the platform's host list was read */
    CQ_EV_SUMMARY,     /* a peer sent a summary */
    CQ_EV_TASKS,       /* a peer sent changes of its tasks */
    CQ_EV_PARTS,       /* a peer sent reports on parts of prompts */
    CQ_EV_SPARE,       /* another zone offers idle engines or wants offers */
    CQ_EV_PEER_LINKED, /* a new connection to a peer was made */
    CQ_EV_RULES,       /* the rules of a service were published */
    CQ_EV_CLAIM,       /* a claim record was read from the log */
    CQ_EV_LEASE,       /* a lease record was read from the log */
    CQ_EV_ORDERED,     /* an engine answered ORDER */
    CQ_EV_LOG,         /* the log became reachable or unreachable */
    CQ_EV_DRAIN,       /* this process is to stop */
    CQ_EV_REACHED,     /* a connection opened by REACH did or did not open */
    CQ_EV_INSPECTED,   /* an engine answered INSPECT, or failed to */
    CQ_EV_EMPTIED,     /* operators want a zone emptied, or no longer */
} cq_event_kind_t;

/**
 * struct cq_prefix_t - one prefix of a prompt
 * @hash: hash of the prefix's text
 * @tokens: its length in tokens
 */
typedef struct {
    guint64 hash;
    gint64 tokens;
} cq_prefix_t;

/**
 * struct cq_ev_request_t - a caller's request
 * @id: its id, never used again
 * @service: service name
 * @team: team name
 * @model: model name, or "" for a plain service
 * @key: idempotency key; all 0: none
 * @repeatable: whether the service's rules let it run more than once
 * @prompt_tokens: length of the prompt in tokens
 * @output_tokens: longest answer in tokens, or 0 when unknown
 * @timeout_us: the caller's time limit, or 0 for the service's default
 * @target_us: target time to the first token or, for a plain service, to the
 *   answer; 0: the deadline
 * @gap_max_us: target for the longest time between events of the stream
 * @attempts_max: upstreams that may run it; 0: as the service's rules say
 * @resumable: whether another upstream can continue its stream
 * @parts: parts of the prompt that other prompts may contain too
 * @fingerprint: hash of all that makes another request the same one, or 0
 * @kind: hash of what its run time depends on besides the service, or 0
 * @handed: a peer that is cut off from the upstreams passed it on
 * @prefixes: prefixes of the prompt, the shortest first
 * @prefixes_len: number of @prefixes
 */
typedef struct {
    guint64 id;
    const char *service;
    const char *team;
    const char *model;
    cq_idempotency_key_t key;
    gboolean repeatable;
    gint64 prompt_tokens;
    gint64 output_tokens;
    gint64 timeout_us;
    gint64 target_us;
    gint64 gap_max_us;
    guint attempts_max;
    gboolean resumable;
    cq_parts_t parts;
    guint64 fingerprint;
    guint64 kind;
    gboolean handed;
    cq_prefix_t prefixes[CQ_PREFIX_LEVELS];
    guint prefixes_len;
} cq_ev_request_t;

/** enum cq_failure_t - how an attempt ended without an answer */
typedef enum {
    CQ_FAIL_CONNECT,     /* no byte was sent to the upstream */
    CQ_FAIL_REFUSED,     /* the upstream states that it did not run */
    CQ_FAIL_LEAVING,     /* the same, because the upstream is leaving */
    CQ_FAIL_BROKEN,      /* the connection ended early; it may have run */
    CQ_FAIL_FAULT,       /* the upstream answered with a server error */
    CQ_FAIL_MISDIRECTED, /* refused: it isn't the upstream that was named */
    CQ_FAIL_NO_ROOM,     /* it ran, and this host can't hold its answer now */
} cq_failure_t;

/** enum cq_probe_t - an upstream's answer to a probe of an attempt */
typedef enum {
    CQ_PROBE_SILENT,  /* no answer on a new connection */
    CQ_PROBE_ALIVE,   /* answers, but cannot report single attempts */
    CQ_PROBE_UNKNOWN, /* answers, and does not know the attempt */
    CQ_PROBE_RUNNING, /* the attempt runs there */
} cq_probe_t;

/**
 * struct cq_ev_attempt_t - what happened to one attempt
 * @request: the request
 * @attempt: the attempt's number
 * @tokens: TOKENS: new tokens; PROBED: tokens that the upstream has sent
 * @unnumbered: TOKENS: some of them have no id to resume after
 * @status: DONE: HTTP status
 * @failure: FAILED: how it ended
 * @on_kept_conn: SENT, FAILED: its connection was kept from an earlier request
 * @at_fault: FAILED: address of the helper engine that the upstream names as
 *   the cause, or ""
 * @probe: PROBED: the upstream's answer
 */
typedef struct {
    guint64 request;
    guint32 attempt;
    gint64 tokens;
    gboolean unnumbered;
    int status;
    cq_failure_t failure;
    gboolean on_kept_conn;
    char at_fault[CQ_ADDR_BYTES];
    cq_probe_t probe;
} cq_ev_attempt_t;

/**
 * struct cq_ev_reserved_t - an engine's answer to a RESERVE action
 * @request: the request for which memory was to be reserved
 * @upstream: the engine's id
 * @granted: whether the memory is reserved
 */
typedef struct {
    guint64 request;
    guint64 upstream;
    gboolean granted;
} cq_ev_reserved_t;

/**
 * struct cq_holding_t - a memory reservation that an engine reports
 * @request: the request for which the memory is reserved
 * @tokens: size of the reservation
 */
typedef struct {
    guint64 request;
    gint64 tokens;
} cq_holding_t;

/**
 * struct cq_ev_load_t - an engine's load report
 * @upstream: the engine's id
 * @at_us: when the engine made the report
 * @streams: running and waiting requests
 * @prefill_tokens: prompt tokens not yet computed
 * @kv_tokens: memory in use
 * @holdings: reservations
 * @holdings_len: number of @holdings
 * @models: hashes of the models that it has loaded
 * @models_len: number of @models
 * @loading: hash of the model that it is loading, or 0
 */
typedef struct {
    guint64 upstream;
    gint64 at_us;
    gint64 streams;
    gint64 prefill_tokens;
    gint64 kv_tokens;
    const cq_holding_t *holdings;
    guint holdings_len;
    const guint64 *models;
    guint models_len;
    guint64 loading;
} cq_ev_load_t;

/**
 * struct cq_ev_ordered_t - an engine's answer to an ORDER action
 * @upstream: the engine's id
 * @fence: the order's fencing number
 * @accepted: the engine carries it out
 * @outdated: the engine has seen a higher fencing number
 */
typedef struct {
    guint64 upstream;
    guint64 fence;
    gboolean accepted;
    gboolean outdated;
} cq_ev_ordered_t;

/**
 * struct cq_ev_lease_t - a lease record that was read from the log
 * @record: the record
 * @offset: its offset in the log
 */
typedef struct {
    cq_lease_t record;
    guint64 offset;
} cq_ev_lease_t;

/**
 * struct cq_ev_cache_t - an engine's cache event
 * @upstream: the engine's id
 * @prefix: the prefix's hash
 * @present: TRUE: now cached; FALSE: evicted
 */
typedef struct {
    guint64 upstream;
    guint64 prefix;
    gboolean present;
} cq_ev_cache_t;

/**
 * struct cq_host_row_t - one row of the platform's host list
 * @name: the host
 * @addr: `ip:port`
 * @zone: availability zone
 * @service: service of an upstream; "" for an entry host
 * @incarnation: increases with each restart
 * @leaving: whether it is leaving
 * @cold_us: how much longer an upstream was cold when it stated that; below 0:
 *   it states nothing
 * @read_us: when this host learned of the row
 * @callers: an entry host's `ip:port` for callers, or ""
 */
typedef struct {
    char name[CQ_NAME_BYTES];
    char addr[CQ_ADDR_BYTES];
    char callers[CQ_ADDR_BYTES];
    char zone[CQ_NAME_BYTES];
    char service[CQ_NAME_BYTES];
    guint64 incarnation;
    gboolean leaving;
    gint64 cold_us;
    gint64 read_us;
} cq_host_row_t;

/**
 * struct cq_ev_hosts_t - the whole host list
 * @rows: its rows
 * @len: number of @rows
 * @lapsed_until_us: upstreams that the last list had and this one lacks count
 *   as present until then, as their entries may have lapsed in an outage of
 * the store; 0: they are gone
 */
typedef struct {
    const cq_host_row_t *rows;
    guint len;
    gint64 lapsed_until_us;
} cq_ev_hosts_t;

/**
 * struct cq_share_t - what one process has placed on one engine
 * @upstream: the engine's id
 * @placed_us: total prefill time placed since the process started: for each
 *   length class, the time of that class and of shorter ones; never decreases
 * @streams: its running requests there
 * @kv_tokens: memory that its requests hold there
 */
typedef struct {
    guint64 upstream;
    gint64 placed_us[4];
    gint64 streams;
    gint64 kv_tokens;
} cq_share_t;

/**
 * struct cq_leaving_t - an upstream that is leaving
 * @upstream: its id
 * @incarnation: the leaving incarnation
 */
typedef struct {
    guint64 upstream;
    guint64 incarnation;
} cq_leaving_t;

/**
 * struct cq_rate_row_t - what a process knows of the rate limit of an upstream
 * @upstream: its id
 * @incarnation: the incarnation that stated it
 * @version: number of the statement
 * @limited: it has a limit
 * @per_s: the limit in requests a second
 */
typedef struct {
    guint64 upstream;
    guint64 incarnation;
    guint64 version;
    gboolean limited;
    double per_s;
} cq_rate_row_t;

/**
 * struct cq_summary_t - the load summary that a process sends to its peers
 * @host: sender's host id
 * @incarnation: sender's incarnation
 * @draining: whether the sender is shutting down
 * @cut_off: whether the sender can't open connections to any upstream
 * @shares: the sender's shares that changed since its last summary
 * @shares_len: number of @shares
 * @leaving: upstreams that are leaving
 * @leaving_len: number of @leaving
 * @rates: rate limits of upstreams
 * @rates_len: number of @rates
 */
typedef struct {
    guint32 host;
    guint64 incarnation;
    gboolean draining;
    gboolean cut_off;
    cq_share_t shares[CQ_UPSTREAM_SUBSET_MAX];
    guint shares_len;
    cq_leaving_t leaving[8];
    guint leaving_len;
    cq_rate_row_t rates[CQ_SUMMARY_RATES_MAX];
    guint rates_len;
} cq_summary_t;

/** enum cq_task_kind_t - how a task of a peer changed. A task is a request
 * that was placed on engines of a BATCH service */
typedef enum {
    CQ_TASK_RESET,    /* drop all tasks of the host; its current ones follow */
    CQ_TASK_PLACED,   /* the task is new, or was placed anew */
    CQ_TASK_DECODING, /* its prefill is done and decoding begins */
    CQ_TASK_ENDED,    /* it ended */
} cq_task_kind_t;

/**
 * struct cq_task_update_t - a change of one task, sent to peers
 * @kind: how it changed; CQ_TASK_RESET uses no other member,
 *   CQ_TASK_DECODING and CQ_TASK_ENDED only @request
 * @request: id of the request
 * @tokens: tokens of prompt and longest answer that the first engine holds
 * @part_us: prefill time on each engine
 * @gap_max_us: longest allowed time between events of its stream, or 0
 * @age_us: time since the start of its prefill; negative while it is booked
 * @wait_us: time from that start until the slowest engine begins its part
 * @decoding: whether its prefill is done
 * @cross_zone: hosts of other zones place on its engines too, so it is sent to
 * them
 * @engines: ids of the engines that prefill it; the first one also decodes
 * @engines_len: number of @engines
 */
typedef struct {
    cq_task_kind_t kind;
    guint64 request;
    gint64 tokens;
    gint64 part_us;
    gint64 gap_max_us;
    gint64 age_us;
    gint64 wait_us;
    gboolean decoding;
    gboolean cross_zone;
    guint64 engines[CQ_PREFILL_GROUP_MAX];
    guint engines_len;
} cq_task_update_t;

/**
 * struct cq_ev_upstream_t - what an upstream says of itself in an answer
 * @upstream: its id
 * @incarnation: the incarnation to which the request was sent
 * @request: the request that it answers
 * @leaving: it is leaving
 * @pause_us: how long it wants no requests of this host, or 0
 * @rate: what it says of its rate limit
 */
typedef struct {
    guint64 upstream;
    guint64 incarnation;
    guint64 request;
    gboolean leaving;
    gint64 pause_us;
    cq_rate_statement_t rate;
} cq_ev_upstream_t;

/**
 * struct cq_ev_tasks_t - changes of a peer's tasks, in order
 * @host: the peer's host id
 * @rows: the changes
 * @len: number of @rows
 */
typedef struct {
    guint32 host;
    const cq_task_update_t *rows;
    guint len;
} cq_ev_tasks_t;

/**
 * struct cq_spare_t - idle engines that one zone offers to another, or the
 *   request for such offers
 * @wanted: it is a request; it has no engines
 * @zone: as an action: the zone that gets the offer; as an event: the zone of
 *   the peer that sent it
 * @engines: ids of the engines
 * @len: number of @engines
 */
typedef struct {
    gboolean wanted;
    char zone[CQ_NAME_BYTES];
    guint64 engines[CQ_UPSTREAM_SUBSET_MAX];
    guint len;
} cq_spare_t;

/** enum cq_part_report_kind_t - what is reported of a part of prompts, or of a
 * whole request */
typedef enum {
    CQ_PART_CRASHED,   /* an upstream crashed under a request that has it */
    CQ_PART_ANSWERED,  /* an answer has begun to a request that has it */
    CQ_PART_RETRACTED, /* a CRASHED was taken back */
    CQ_PART_CONFIRMED, /* the sender saw a RETRACTED crash too */
} cq_part_report_kind_t;

/**
 * struct cq_part_report_t - a report on a part of prompts, or on a whole
 * request, sent to peers
 * @kind: what is reported
 * @service: hash of the name of the request's service
 * @part: id of the part, or the request's fingerprint
 * @whole: @part is a fingerprint
 * @team: all but ANSWERED: hash of the name of the request's team
 * @crash: all but ANSWERED: hash of the upstream and its incarnation
 * @age_us: CRASHED, CONFIRMED: time since the crash; RETRACTED: since it was
 *   taken back
 */
typedef struct {
    cq_part_report_kind_t kind;
    guint64 service;
    guint64 part;
    gboolean whole;
    guint64 team;
    guint64 crash;
    gint64 age_us;
} cq_part_report_t;

/**
 * struct cq_part_record_t - what outlasts the hosts of a blocked part or
 * request
 * @service: hash of the name of the service
 * @part: id of the part, or the request's fingerprint
 * @crashes: the crashes that accuse it; their @kind is CRASHED
 * @len: number of @crashes; 0: it is no longer blocked
 */
typedef struct {
    guint64 service;
    guint64 part;
    cq_part_report_t crashes[CQ_PART_CRASHES_MAX];
    guint len;
} cq_part_record_t;

/**
 * struct cq_ev_parts_t - reports of a peer on parts of prompts
 * @rows: the reports, in order
 * @len: number of @rows
 */
typedef struct {
    const cq_part_report_t *rows;
    guint len;
} cq_ev_parts_t;

/**
 * struct cq_ev_inspected_t - result of INSPECT
 * @request: the request for which the memory is reserved
 * @upstream: the engine's id
 * @report: its answer
 */
typedef struct {
    guint64 request;
    guint64 upstream;
    cq_memory_report_t report;
} cq_ev_inspected_t;

/** enum cq_reach_purpose_t - why a connection to an upstream is opened */
typedef enum {
    CQ_REACH_CUT,   /* to see whether this host is cut off */
    CQ_REACH_ALIVE, /* to see whether that upstream is alive */
} cq_reach_purpose_t;

/**
 * struct cq_ev_reached_t - result of REACH
 * @upstream: the upstream's id
 * @opened: a connection to it opened in time
 * @timed_out: it did not even refuse the connection in time
 * @purpose: that of the REACH
 */
typedef struct {
    guint64 upstream;
    gboolean opened;
    gboolean timed_out;
    cq_reach_purpose_t purpose;
} cq_ev_reached_t;

/**
 * struct cq_ev_emptied_t - whether the upstreams of a zone get new work
 * @zone: the zone
 * @emptied: they get none
 */
typedef struct {
    char zone[CQ_NAME_BYTES];
    gboolean emptied;
} cq_ev_emptied_t;

/**
 * struct cq_ev_drain_t - a planned stop
 * @notice_us: how long from now new requests are still accepted
 * @limit_us: how long from now until every remaining request is answered
 */
typedef struct {
    gint64 notice_us;
    gint64 limit_us;
} cq_ev_drain_t;

/**
 * struct cq_event_t - one event
 * @kind: which member is set; SENT, TOKENS, DONE, FAILED, PROBED and HANGUP
 *   use @attempt; TICK and PEER_LINKED use none
 * @summary: borrowed, for SUMMARY
 * @spare: borrowed, for SPARE
 * @rules: borrowed, for RULES
 * @log_up: LOG: whether the log answers
 */
typedef struct {
    cq_event_kind_t kind;
    union {
        cq_ev_request_t request;
        cq_ev_attempt_t attempt;
        cq_ev_upstream_t upstream;
        cq_ev_reserved_t reserved;
        cq_ev_load_t load;
        cq_ev_cache_t cache;
        cq_ev_hosts_t hosts;
        const cq_summary_t *summary;
        cq_rules_t *rules;
        cq_claim_t claim;
        cq_ev_lease_t lease;
        cq_ev_ordered_t ordered;
        gboolean log_up;
        cq_ev_drain_t drain;
        cq_ev_reached_t reached;
        cq_ev_inspected_t inspected;
        cq_ev_tasks_t tasks;
        cq_ev_parts_t parts;
        const cq_spare_t *spare;
        cq_ev_emptied_t emptied;
    };
} cq_event_t;

G_END_DECLS

#endif
