/**
 * DOC: event
 *
 * What enters the core: one tagged union. Pointers in an event are borrowed
 * for the one step. All times are in microseconds of the caller's clock.
 */
#ifndef CQ_EVENT_H
#define CQ_EVENT_H

#include <glib.h>

#include "base/claim.h"
#include "base/ident.h"
#include "base/lease.h"
#include "base/limits.h"
#include "base/rules.h"

G_BEGIN_DECLS

/** enum cq_event_kind_t - which member of the union is set */
typedef enum {
    CQ_EV_TICK,
    CQ_EV_REQUEST,
    CQ_EV_HANGUP,
    CQ_EV_SENT,
    CQ_EV_TOKENS,
    CQ_EV_DONE,
    CQ_EV_FAILED,
    CQ_EV_RESERVED,
    CQ_EV_PROBED,
    CQ_EV_LOAD,
    CQ_EV_CACHE,
    CQ_EV_HOSTS,
    CQ_EV_SUMMARY,
    CQ_EV_TASKS,
    CQ_EV_PEER_LINKED,
    CQ_EV_RULES,
    CQ_EV_CLAIM,
    CQ_EV_LEASE,
    CQ_EV_ORDERED,
    CQ_EV_LOG,
    CQ_EV_DRAIN,
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
 * @id: its id, unique for good
 * @service: service name
 * @team: team name
 * @model: model name, or "" for a plain service
 * @key: idempotency key; all 0: none
 * @repeatable: whether the service's rules let it run more than once
 * @prompt_tokens: length of the prompt in tokens
 * @output_tokens: largest answer in tokens, or 0 when unknown
 * @timeout_us: the caller's limit, or 0 for the service's default
 * @aim_us: time within which the first token, or the answer of a plain
 *   service, is worth most; 0: not told
 * @gap_us: longest pause between events of a stream that is on time
 * @attempts_max: upstreams that may run it; 0: as the service's rules say
 * @resumable: whether another upstream can go on with its stream
 * @prefixes: ascending prefixes of the prompt
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
    gint64 aim_us;
    gint64 gap_us;
    guint attempts_max;
    gboolean resumable;
    cq_prefix_t prefixes[CQ_PREFIX_LEVELS];
    guint prefixes_len;
} cq_ev_request_t;

/** enum cq_failure_t - how an attempt ended without an answer */
typedef enum {
    CQ_FAIL_CONNECT, /* no byte left for the upstream */
    CQ_FAIL_REFUSED, /* the upstream says that it did not run */
    CQ_FAIL_LEAVING, /* the same, because the upstream is leaving */
    CQ_FAIL_BROKEN,  /* the connection ended; it may have run */
    CQ_FAIL_FAULT,   /* the upstream answered with its own fault */
} cq_failure_t;

/** enum cq_probe_t - what an upstream says of an attempt */
typedef enum {
    CQ_PROBE_SILENT,  /* no answer on a fresh connection */
    CQ_PROBE_ALIVE,   /* answers, but keeps no record of single attempts */
    CQ_PROBE_UNKNOWN, /* answers, and does not have the attempt */
    CQ_PROBE_RUNNING, /* has the attempt */
} cq_probe_t;

/**
 * struct cq_ev_attempt_t - news of one attempt
 * @request: the request
 * @attempt: the attempt's number
 * @tokens: TOKENS: new tokens; PROBED: tokens the upstream has sent
 * @status: DONE: HTTP status
 * @failure: FAILED: how
 * @at_fault: FAILED: address of the upstream that another one names as the
 *   cause, or ""
 * @probe: PROBED: what the upstream says
 */
typedef struct {
    guint64 request;
    guint32 attempt;
    gint64 tokens;
    int status;
    cq_failure_t failure;
    char at_fault[CQ_ADDR_BYTES];
    cq_probe_t probe;
} cq_ev_attempt_t;

/**
 * struct cq_ev_reserved_t - an engine's answer to a reservation
 * @request: the holder
 * @upstream: the engine's id
 * @granted: whether the memory is held
 */
typedef struct {
    guint64 request;
    guint64 upstream;
    gboolean granted;
} cq_ev_reserved_t;

/**
 * struct cq_holding_t - memory an engine says that it holds
 * @request: the holder
 * @tokens: how much
 */
typedef struct {
    guint64 request;
    gint64 tokens;
} cq_holding_t;

/**
 * struct cq_ev_load_t - an engine's load report
 * @upstream: the engine's id
 * @at_us: when the engine made it
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
 * struct cq_ev_ordered_t - an engine's answer to an order
 * @upstream: the engine's id
 * @fence: the order's fencing number
 * @accepted: FALSE: the engine has seen a newer one
 */
typedef struct {
    guint64 upstream;
    guint64 fence;
    gboolean accepted;
} cq_ev_ordered_t;

/**
 * struct cq_ev_lease_t - a lease record
 * @record: the record
 * @offset: where it stands in the log
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
 * @incarnation: counts restarts
 * @leaving: whether it is leaving
 */
typedef struct {
    char name[CQ_NAME_BYTES];
    char addr[CQ_ADDR_BYTES];
    char zone[CQ_NAME_BYTES];
    char service[CQ_NAME_BYTES];
    guint64 incarnation;
    gboolean leaving;
} cq_host_row_t;

/**
 * struct cq_ev_hosts_t - the whole host list
 * @rows: its rows
 * @len: number of @rows
 */
typedef struct {
    const cq_host_row_t *rows;
    guint len;
} cq_ev_hosts_t;

/**
 * struct cq_share_t - what one process has placed on one engine
 * @upstream: the engine's id
 * @placed_us: prefill time ever placed, one sum a length class and the
 *   classes below it; only grows
 * @streams: its running requests there
 * @kv_tokens: memory its requests hold there
 */
typedef struct {
    guint64 upstream;
    gint64 placed_us[4];
    gint64 streams;
    gint64 kv_tokens;
} cq_share_t;

/**
 * struct cq_leaving_t - an upstream known to leave
 * @upstream: its id
 * @incarnation: the leaving incarnation
 */
typedef struct {
    guint64 upstream;
    guint64 incarnation;
} cq_leaving_t;

/**
 * struct cq_summary_t - what a process tells its peers
 * @host: sender's host id
 * @incarnation: sender's incarnation
 * @draining: whether the sender is shutting down
 * @shares: the engines whose entries changed
 * @shares_len: number of @shares
 * @leaving: upstreams known to leave
 * @leaving_len: number of @leaving
 */
typedef struct {
    guint32 host;
    guint64 incarnation;
    gboolean draining;
    cq_share_t shares[CQ_UPSTREAM_SUBSET_MAX];
    guint shares_len;
    cq_leaving_t leaving[8];
    guint leaving_len;
} cq_summary_t;

/** enum cq_task_kind_t - what became of a piece of work on engines */
typedef enum {
    CQ_TASK_RESET,    /* the host has none but those that follow */
    CQ_TASK_PLACED,   /* a request was sent to engines */
    CQ_TASK_DECODING, /* its prompt is read */
    CQ_TASK_ENDED,    /* it is over */
} cq_task_kind_t;

/**
 * struct cq_task_update_t - news of one request on engines
 * @kind: what became of it; RESET uses no other member, WRITING and ENDED
 *   only @request
 * @request: its id
 * @tokens: prompt and longest answer
 * @part_us: time that each engine reads
 * @gap_us: longest pause between its events
 * @age_us: time since its reading began; negative while it is booked
 * @wait_us: time between that and its turn at the slowest engine
 * @writing: whether its prompt is read
 * @engines: ids of the engines that read it; the first one writes
 * @engines_len: number of @engines
 */
typedef struct {
    cq_task_kind_t kind;
    guint64 request;
    gint64 tokens;
    gint64 part_us;
    gint64 gap_us;
    gint64 age_us;
    gint64 wait_us;
    gboolean writing;
    guint64 engines[CQ_GROUP_MAX];
    guint engines_len;
} cq_task_update_t;

/**
 * struct cq_ev_tasks_t - news from a peer, in order
 * @host: the peer's host id
 * @rows: the news
 * @len: number of @rows
 */
typedef struct {
    guint32 host;
    const cq_task_update_t *rows;
    guint len;
} cq_ev_tasks_t;

/**
 * struct cq_ev_drain_t - a planned stop
 * @notice_us: how long new requests are still taken
 * @limit_us: when every remaining request is answered
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
 * @rules: borrowed, for RULES
 * @log_up: LOG: whether the log answers
 */
typedef struct {
    cq_event_kind_t kind;
    union {
        cq_ev_request_t request;
        cq_ev_attempt_t attempt;
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
        cq_ev_tasks_t tasks;
    };
} cq_event_t;

G_END_DECLS

#endif
