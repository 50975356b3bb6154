/**
 * DOC: action
 *
 * The core's output: a list of actions, each a tagged union, in the order in
 * which they must be carried out.
 */
#ifndef CQ_ACTION_H
#define CQ_ACTION_H

#include "core/event.h"

G_BEGIN_DECLS

/** enum cq_action_kind_t - which member of the union is set */
typedef enum {
    CQ_AC_SEND,    /* start an attempt */
    CQ_AC_STOP,    /* stop an attempt */
    CQ_AC_FORWARD, /* forward tokens to the caller */
    CQ_AC_ANSWER,  /* end a request */
    CQ_AC_RESERVE, /* reserve an engine's memory */
    CQ_AC_RELEASE, /* release reserved memory */
    CQ_AC_INSPECT, /* ask an engine whether reserved memory is in use */
    CQ_AC_PROBE,   /* ask an upstream about an attempt */
    CQ_AC_CLAIM,   /* append a claim record to the log */
    CQ_AC_LEASE,   /* append a lease record to the log */
    CQ_AC_ORDER,   /* order an engine to load a model */
    CQ_AC_SUMMARY, /* send a summary to every peer */
    CQ_AC_TASK,    /* send a change of a task to the peers of this zone and, if
                      it crosses zones, of the other zones */
    CQ_AC_PART,    /* send a report on a part of prompts to the peers */
    CQ_AC_PART_RECORD, /* store the record of a part, or delete it */
    CQ_AC_HAND,        /* pass a request on to a peer */
    CQ_AC_REACH,       /* see whether a connection to an upstream opens */
    CQ_AC_SPARE, /* offer idle engines to the peers of another zone, or ask all
                    other zones for offers */
    CQ_AC_STOPPED, /* everything is answered: the process may exit */
} cq_action_kind_t;

/** enum cq_ran_t - whether an upstream ran a request */
typedef enum {
    CQ_RAN_NO,
    CQ_RAN_YES,
    CQ_RAN_UNKNOWN,
} cq_ran_t;

/** enum cq_outcome_t - how a request ended */
typedef enum {
    CQ_OUTCOME_DONE,         /* the upstream's whole answer was forwarded */
    CQ_OUTCOME_UNKNOWN_NAME, /* no such service, model or team */
    CQ_OUTCOME_TOO_LONG,     /* the prompt exceeds what engines can hold */
    CQ_OUTCOME_OVERLOADED,   /* can't finish in time; retry later */
    CQ_OUTCOME_NO_UPSTREAM,  /* no upstream accepts work */
    CQ_OUTCOME_NO_LOG,      /* the log is down: the key can't be claimed now */
    CQ_OUTCOME_IN_PROGRESS, /* another request holds the idempotency key */
    CQ_OUTCOME_ALREADY_RAN, /* an earlier request with the same key ran */
    CQ_OUTCOME_EXPIRED,     /* its deadline has passed */
    CQ_OUTCOME_BROKEN,      /* the upstream failed and no retry is allowed */
    CQ_OUTCOME_DRAINING,    /* this process is stopping */
    CQ_OUTCOME_PART_BLOCKED, /* upstreams crash under a part of the prompt */
    CQ_OUTCOME_REQUEST_BLOCKED, /* upstreams crash under this very request */
    CQ_OUTCOME_RATE_LIMITED, /* only upstreams at their rate limit are left */
    CQ_OUTCOME_HUNG_UP,      /* the caller closed its connection */
    CQ_OUTCOME_COUNT,
} cq_outcome_t;

/**
 * struct cq_ac_send_t - start an attempt
 * @request: the request
 * @attempt: the attempt's number
 * @upstream: the upstream's id
 * @priority: length class by which the engine orders prefill; 0 is first
 * @resume_from: tokens that the caller already has
 * @fresh: open a new connection, and do not retry within the HTTP client
 * @group: ids of all engines that hold or prefill the prompt, or empty
 * @group_len: number of @group
 */
typedef struct {
    guint64 request;
    guint32 attempt;
    guint64 upstream;
    int priority;
    gint64 resume_from;
    gboolean fresh;
    guint64 group[CQ_PREFILL_GROUP_MAX];
    guint group_len;
} cq_ac_send_t;

/**
 * struct cq_ac_hand_t - pass a request on to a peer, as a caller of the peer;
 *   SENT, TOKENS, DONE and FAILED report on it like on an attempt at an
 *   upstream. A complete answer of any status is DONE
 * @request: the request
 * @attempt: the attempt's number
 * @peer: key for connections to this peer
 * @incarnation: the peer's incarnation
 * @addr: its address for callers
 * @fresh: use a new connection
 */
typedef struct {
    guint64 request;
    guint32 attempt;
    guint64 peer;
    guint64 incarnation;
    char addr[CQ_ADDR_BYTES];
    gboolean fresh;
} cq_ac_hand_t;

/**
 * struct cq_ac_reach_t - open a connection to an upstream, and close it again;
 *   answered by REACHED within @timeout_us
 * @upstream: the upstream's id
 * @timeout_us: time limit for it to open
 * @purpose: echoed by REACHED
 */
typedef struct {
    guint64 upstream;
    gint64 timeout_us;
    cq_reach_purpose_t purpose;
} cq_ac_reach_t;

/**
 * struct cq_ac_answer_t - the one final answer of a request
 * @request: the request
 * @attempt: number of the attempt whose answer is forwarded, or 0
 * @outcome: how it ended
 * @ran: whether it ran
 * @status: HTTP status
 * @retry_after_us: time from now after which to retry, or 0
 */
typedef struct {
    guint64 request;
    guint32 attempt;
    cq_outcome_t outcome;
    cq_ran_t ran;
    int status;
    gint64 retry_after_us;
} cq_ac_answer_t;

/**
 * struct cq_ac_memory_t - reserve or release an engine's memory, or ask of it
 * @request: the request for which it is reserved
 * @upstream: the engine's id
 * @tokens: RESERVE: how much
 * @expiry_us: RESERVE: time from now after which the engine releases it by
 *   itself
 */
typedef struct {
    guint64 request;
    guint64 upstream;
    gint64 tokens;
    gint64 expiry_us;
} cq_ac_memory_t;

/**
 * struct cq_ac_attempt_t - stop or probe an attempt, or forward its tokens
 * @request: the request
 * @attempt: the attempt's number
 * @upstream: the upstream's id
 * @tokens: FORWARD: number of tokens to forward to the caller
 */
typedef struct {
    guint64 request;
    guint32 attempt;
    guint64 upstream;
    gint64 tokens;
} cq_ac_attempt_t;

/**
 * struct cq_ac_order_t - order an engine to load a model
 * @upstream: the engine's id
 * @fence: fencing number of the lease under which the order is given
 * @model: the model
 */
typedef struct {
    guint64 upstream;
    guint64 fence;
    char model[CQ_NAME_BYTES];
} cq_ac_order_t;

/**
 * struct cq_action_t - one action
 * @kind: which member is set; STOP, FORWARD and PROBE use @attempt, RESERVE,
 *   RELEASE and INSPECT use @memory, CLAIM and LEASE are records to append to
 *   the log, TASK is a change to send to every peer, STOPPED uses none
 * @summary: SUMMARY: to send to every peer; freed by cq_actions_reset()
 */
typedef struct {
    cq_action_kind_t kind;
    union {
        cq_ac_send_t send;
        cq_ac_hand_t hand;
        cq_ac_reach_t reach;
        cq_ac_attempt_t attempt;
        cq_ac_answer_t answer;
        cq_ac_memory_t memory;
        cq_claim_t claim;
        cq_lease_t lease;
        cq_ac_order_t order;
        cq_summary_t *summary;
        cq_task_update_t task;
        cq_part_report_t part;
        cq_part_record_t part_record;
        cq_spare_t spare;
    };
} cq_action_t;

/**
 * struct cq_actions_t - the actions of one step
 * @items: array of cq_action_t
 */
typedef struct {
    GArray *items;
} cq_actions_t;

/** cq_actions_init() - make @actions empty */
void
cq_actions_init(cq_actions_t *actions);

/** cq_actions_reset() - drop every action */
void
cq_actions_reset(cq_actions_t *actions);

/** cq_actions_clear() - free what @actions holds */
void
cq_actions_clear(cq_actions_t *actions);

/** cq_actions_at() - Return: action number @i */
const cq_action_t *
cq_actions_at(const cq_actions_t *actions, guint i);

/** cq_actions_add() - append a copy of @action */
void
cq_actions_add(cq_actions_t *actions, const cq_action_t *action);

/** cq_outcome_code() - Return: the error code that callers get */
const char *
cq_outcome_code(cq_outcome_t outcome);

/** cq_outcome_remedy() - Return: advice to the caller; "" when there is none
 */
const char *
cq_outcome_remedy(cq_outcome_t outcome);

/** cq_outcome_status() - Return: the HTTP status */
int
cq_outcome_status(cq_outcome_t outcome);

/** cq_ran_text() - Return: "no", "yes" or "unknown" */
const char *
cq_ran_text(cq_ran_t ran);

G_END_DECLS

#endif
