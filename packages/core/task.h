/**
 * DOC: task
 *
 * The ledger of BATCH services: every request that this process or a peer has
 * on engines. Peers are told of each change at once, so that hosts which
 * share engines place as one.
 */
#ifndef CQ_TASK_H
#define CQ_TASK_H

#include "core/state.h"

G_BEGIN_DECLS

/**
 * struct cq_task_plan_t - where a request goes
 * @engines: those that read its prompt; the first one writes
 * @engines_len: number of @engines
 * @holders: engines besides the first that must hold part of the prompt
 * @holders_len: number of @holders
 * @part_us: time that each engine reads
 * @start_us: time until all engines can begin to read; the request is sent
 *   then
 * @wait_us: time from there until the slowest engine begins
 * @first_us: time until its first token is expected
 */
typedef struct {
    cq_upstream_t *engines[CQ_GROUP_MAX];
    guint engines_len;
    cq_upstream_t *holders[CQ_GROUP_MAX];
    guint holders_len;
    gint64 part_us;
    gint64 start_us;
    gint64 wait_us;
    gint64 first_us;
} cq_task_plan_t;

/** cq_task_open() - enter @request as @plan says */
void
cq_task_open(cq_core_t *core, cq_request_t *request,
             const cq_task_plan_t *plan);

/** cq_task_start() - @request, which was booked, is sent now */
void
cq_task_start(cq_core_t *core, cq_request_t *request);

/** cq_task_first_token() - the prompt of @request is read */
void
cq_task_first_token(cq_core_t *core, cq_request_t *request);

/** cq_task_close() - @request left its engines; harmless without an entry */
void
cq_task_close(cq_core_t *core, cq_request_t *request);

/** cq_task_news() - take a peer's news */
void
cq_task_news(cq_core_t *core, const cq_ev_tasks_t *event);

/** cq_task_tell_all() - tell peers every task of this process */
void
cq_task_tell_all(cq_core_t *core);

/** cq_task_tick() - forget tasks whose end was never told */
void
cq_task_tick(cq_core_t *core);

G_END_DECLS

#endif
