/**
 * DOC: batchplace
 *
 * Places the requests of BATCH services. Short prompts are packed on few
 * engines, so that whole engines stay free for long ones, which several
 * engines prefill in parallel. A stream's gap limit is the longest allowed
 * time between its events. A placement must not make an engine's passes so
 * long that a stream exceeds its limit, except that a long prompt that would
 * otherwise be late may make a few streams exceed theirs.
 */
#ifndef CQ_BATCHPLACE_H
#define CQ_BATCHPLACE_H

#include "core/task.h"

G_BEGIN_DECLS

/**
 * cq_batchplace_choose() - choose engines for @request
 * @core: the core
 * @request: the request
 * @late: its first token may come after its target time, up to its deadline
 * @plan: gets the engines
 *
 * Return: whether there are engines for it now.
 */
gboolean
cq_batchplace_choose(cq_core_t *core, const cq_request_t *request,
                     gboolean late, cq_task_plan_t *plan);

/** cq_batchplace_takes_one() - Return: whether one engine is enough for
 * @request */
gboolean
cq_batchplace_takes_one(const cq_request_t *request);

/** cq_batchplace_any_waits() - Return: whether a request of @service that can
 * be on time waits for engines, which precedes late ones */
gboolean
cq_batchplace_any_waits(const cq_core_t *core, const cq_service_t *service);

/** cq_batchplace_queued() - place as many waiting requests of @service as
 * possible, and start booked ones that are due */
void
cq_batchplace_queued(cq_core_t *core, cq_service_t *service);

G_END_DECLS

#endif
