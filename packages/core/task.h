/**
 * DOC: task
 *
 * The table of tasks: every request of a BATCH service that this process or a
 * peer has placed on engines. Each change is sent to all peers at once, so
 * that hosts that share engines place requests by the same state.
 */
#ifndef CQ_TASK_H
#define CQ_TASK_H

#include "core/state.h"

G_BEGIN_DECLS

/**
 * struct cq_task_plan_t - engines chosen for a request. Times are relative to
 *   now
 * @engines: those that prefill its prompt, each a part; the first one also
 *   decodes
 * @engines_len: number of @engines
 * @holders: engines besides the first that must hold part of the prompt
 * @holders_len: number of @holders
 * @part_us: prefill time on each engine
 * @start_delay_us: time until all engines can begin; the request is sent then
 * @wait_us: time from the sending until the slowest engine begins its part
 * @first_token_us: time until its first token is expected
 */
typedef struct {
    cq_upstream_t *engines[CQ_PREFILL_GROUP_MAX];
    guint engines_len;
    cq_upstream_t *holders[CQ_PREFILL_GROUP_MAX];
    guint holders_len;
    gint64 part_us;
    gint64 start_delay_us;
    gint64 wait_us;
    gint64 first_token_us;
} cq_task_plan_t;

/** cq_task_open() - enter a task for @request as @plan says */
void
cq_task_open(cq_core_t *core, cq_request_t *request,
             const cq_task_plan_t *plan);

/** cq_task_start() - note that the booked @request is sent now */
void
cq_task_start(cq_core_t *core, cq_request_t *request);

/** cq_task_slack_us() - Return: time to leave free beyond the estimate of the
 * first token of @request; see slack.h */
gint64
cq_task_slack_us(const cq_request_t *request);

/** cq_task_first_token() - note that prefill of @request is done */
void
cq_task_first_token(cq_core_t *core, cq_request_t *request);

/** cq_task_close() - remove the task of @request, if it has one */
void
cq_task_close(cq_core_t *core, cq_request_t *request);

/** cq_task_apply_updates() - apply changes that a peer sent */
void
cq_task_apply_updates(cq_core_t *core, const cq_ev_tasks_t *event);

/** cq_task_broadcast_all() - send all tasks of this process to the peers */
void
cq_task_broadcast_all(cq_core_t *core);

/** cq_task_tick() - drop expired tasks of peers; broadcast all own tasks
 * from time to time */
void
cq_task_tick(cq_core_t *core);

G_END_DECLS

#endif
