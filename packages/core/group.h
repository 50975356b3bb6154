/**
 * DOC: group
 *
 * Prompts larger than one engine's memory. All engines of a group grant
 * memory, or all of it is released and the request tries again after a
 * random pause: nobody waits while holding, so giants cannot deadlock.
 */
#ifndef CQ_GROUP_H
#define CQ_GROUP_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_group_part() - Return: memory that each engine of the group holds for
 * @request, in tokens */
gint64
cq_group_part(const cq_request_t *request);

/** cq_group_begin() - ask the engines in request->group for memory */
void
cq_group_begin(cq_core_t *core, cq_request_t *request);

/** cq_group_event() - take an engine's answer */
void
cq_group_event(cq_core_t *core, const cq_ev_reserved_t *event);

/** cq_group_release() - release all memory asked for @request */
void
cq_group_release(cq_core_t *core, cq_request_t *request);

/** cq_group_back_off() - release all, and queue @request for a later try */
void
cq_group_back_off(cq_core_t *core, cq_request_t *request);

G_END_DECLS

#endif
