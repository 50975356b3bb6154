/**
 * DOC: memuse
 *
 * Whether the memory that a request has reserved is in use. A reservation is
 * renewed as long as its request is open, also if the engine that decodes
 * never began with the request, or has ended it and its answer was lost. So
 * while no token comes, the engines are asked what they hold for the request.
 * Memory that is not used is released, and the prompt placed on other engines.
 *
 * Load: prompts that need the memory of several engines, some of which take
 * requests that they never begin, or whose answers get lost.
 */
#ifndef CQ_MEMUSE_H
#define CQ_MEMUSE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_memuse_begin() - the engines in request->group are asked to reserve */
void
cq_memuse_begin(const cq_core_t *core, cq_request_t *request);

/** cq_memuse_check() - ask the engines in request->group, if it is time;
 * Return: whether the memory was given up, after which @request may be gone */
gboolean
cq_memuse_check(cq_core_t *core, cq_request_t *request);

/** cq_memuse_apply() - process the result of INSPECT; memory that is not in
 * use is given up */
void
cq_memuse_apply(cq_core_t *core, const cq_ev_inspected_t *event);

G_END_DECLS

#endif
