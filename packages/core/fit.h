/**
 * DOC: fit
 *
 * Places the requests of BATCH services. Short prompts are packed on few
 * engines, so that whole engines stay free for long ones, which several
 * engines read together. No placement makes a pass longer than the pause that
 * the streams of an engine allow.
 */
#ifndef CQ_FIT_H
#define CQ_FIT_H

#include "core/task.h"

G_BEGIN_DECLS

/**
 * cq_fit_choose() - choose engines for @request
 * @core: the core
 * @request: the request
 * @late: its first token may come after its aim
 * @plan: gets the engines
 *
 * Return: whether there are such engines now.
 */
gboolean
cq_fit_choose(cq_core_t *core, const cq_request_t *request, gboolean late,
              cq_task_plan_t *plan);

/** cq_fit_place() - place what waits for @service, as far as it fits */
void
cq_fit_place(cq_core_t *core, cq_service_t *service);

G_END_DECLS

#endif
