/**
 * DOC: action
 *
 * What leaves the core: one tagged union an action, in the order in which
 * they are to be carried out.
 */
#ifndef CQ_ACTION_H
#define CQ_ACTION_H

#include "core/event.h"

G_BEGIN_DECLS

/** enum cq_action_kind_t - which member of the union is set */
typedef enum {
    CQ_AC_SEND,
    CQ_AC_STOP,
    CQ_AC_FORWARD,
    CQ_AC_ANSWER,
    CQ_AC_RESERVE,
    CQ_AC_RELEASE,
    CQ_AC_PROBE,
    CQ_AC_CLAIM,
    CQ_AC_LEASE,
    CQ_AC_ORDER,
    CQ_AC_SUMMARY,
    CQ_AC_TASK,
    CQ_AC_STOPPED,
} cq_action_kind_t;

/** enum cq_ran_t - whether a request ran */
typedef enum {
    CQ_RAN_NO,
    CQ_RAN_YES,
    CQ_RAN_UNKNOWN,
} cq_ran_t;

/** enum cq_outcome_t - how a request ended */
typedef enum {
    CQ_OUT_DONE,         /* the upstream's answer was passed on whole */
    CQ_OUT_UNKNOWN_NAME, /* no such service, model or team */
    CQ_OUT_TOO_LONG,     /* the prompt exceeds what engines can hold */
    CQ_OUT_OVERLOADED,   /* can't finish in time; come back later */
    CQ_OUT_NO_UPSTREAM,  /* no upstream takes work */
    CQ_OUT_NO_LOG,       /* a keyed call can't be claimed now */
    CQ_OUT_IN_PROGRESS,  /* another request holds the key */
    CQ_OUT_ALREADY_RAN,  /* an earlier request with the key ran */
    CQ_OUT_EXPIRED,      /* its time is over */
    CQ_OUT_BROKEN,       /* the upstream failed and no retry is allowed */
    CQ_OUT_DRAINING,     /* this process is stopping */
    CQ_OUT_HUNG_UP,      /* the caller left */
    CQ_OUT_COUNT,
} cq_outcome_t;

/**
 * struct cq_ac_send_t - start an attempt
 * @request: the request
 * @attempt: the attempt's number
 * @upstream: the upstream's id
 * @priority: 0 is the most urgent
 * @resume_from: tokens that the caller already has
 * @fresh: open a new connection and never repeat by itself
 * @group: ids of all engines that hold or read the prompt, or empty
 * @group_len: number of @group
 */
typedef struct {
    guint64 request;
    guint32 attempt;
    guint64 upstream;
    int priority;
    gint64 resume_from;
    gboolean fresh;
    guint64 group[CQ_GROUP_MAX];
    guint group_len;
} cq_ac_send_t;

/**
 * struct cq_ac_answer_t - the one final answer of a request
 * @request: the request
 * @outcome: how it ended
 * @ran: whether it ran
 * @status: HTTP status
 * @retry_after_us: when to come back, or 0
 */
typedef struct {
    guint64 request;
    cq_outcome_t outcome;
    cq_ran_t ran;
    int status;
    gint64 retry_after_us;
} cq_ac_answer_t;

/**
 * struct cq_ac_memory_t - order over an engine's memory
 * @request: the holder
 * @upstream: the engine's id
 * @tokens: RESERVE: how much
 * @expiry_us: RESERVE: how long the engine may hold it unasked
 */
typedef struct {
    guint64 request;
    guint64 upstream;
    gint64 tokens;
    gint64 expiry_us;
} cq_ac_memory_t;

/**
 * struct cq_ac_attempt_t - order over an attempt
 * @request: the request
 * @attempt: the attempt's number
 * @upstream: the upstream's id
 * @tokens: FORWARD: tokens to pass on
 */
typedef struct {
    guint64 request;
    guint32 attempt;
    guint64 upstream;
    gint64 tokens;
} cq_ac_attempt_t;

/**
 * struct cq_ac_order_t - tell an engine which model it should have
 * @upstream: the engine's id
 * @fence: fencing number of the lease under which it is given
 * @model: the model
 */
typedef struct {
    guint64 upstream;
    guint64 fence;
    char model[CQ_NAME_BYTES];
} cq_ac_order_t;

/**
 * struct cq_action_t - one action
 * @kind: which member is set; STOP, FORWARD and PROBE use @attempt, RESERVE
 *   and RELEASE use @memory, CLAIM and LEASE are records to append, TASK is
 *   news for every peer
 */
typedef struct {
    cq_action_kind_t kind;
    union {
        cq_ac_send_t send;
        cq_ac_attempt_t attempt;
        cq_ac_answer_t answer;
        cq_ac_memory_t memory;
        cq_claim_t claim;
        cq_lease_t lease;
        cq_ac_order_t order;
        cq_summary_t *summary;
        cq_task_update_t task;
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

/** cq_outcome_code() - Return: the error code callers see */
const char *
cq_outcome_code(cq_outcome_t outcome);

/** cq_outcome_remedy() - Return: what the caller can do */
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
