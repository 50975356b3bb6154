/**
 * DOC: group
 *
 * Requests that need the memory of several engines. Either all engines of the
 * group reserve memory, or all reservations are released and the request tries
 * again after a random time. No request waits while it holds memory, so such
 * requests cannot deadlock each other.
 */
#ifndef CQ_GROUP_H
#define CQ_GROUP_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_group_part_tokens() - Return: memory that each engine of the group
 * reserves for @request, in tokens */
gint64
cq_group_part_tokens(const cq_request_t *request);

/** cq_group_index() - Return: index of the engine in request->group, or -1 */
int
cq_group_index(const cq_request_t *request, guint64 upstream);

/** cq_group_reserve() - ask the engines in request->group to reserve memory */
void
cq_group_reserve(cq_core_t *core, cq_request_t *request);

/** cq_group_reserved() - process an engine's answer to a reservation: starts
 * the request once all engines have granted it, and backs off if one refuses
 */
void
cq_group_reserved(cq_core_t *core, const cq_ev_reserved_t *event);

/** cq_group_release() - release all memory that was requested for @request
 */
void
cq_group_release(cq_core_t *core, cq_request_t *request);

/** cq_group_back_off() - release all memory, and queue @request for a later
 * try */
void
cq_group_back_off(cq_core_t *core, cq_request_t *request);

/** cq_group_leave_emptied() - give up the reservations that include an engine
 * of a zone which is emptied; their requests are placed anew at once */
void
cq_group_leave_emptied(cq_core_t *core);

G_END_DECLS

#endif
