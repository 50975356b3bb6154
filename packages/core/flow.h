/**
 * DOC: flow
 *
 * Weighted fair queueing of teams within a length class, in cost: start-time
 * fair queueing (Goyal, Vin and Cheng, 1996). Also measures how fast each
 * class drains, for deadlines and for times to come back.
 */
#ifndef CQ_FLOW_H
#define CQ_FLOW_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_flow_push() - queue @request; @again: it was queued before and goes to
 * the front of its team */
void
cq_flow_push(cq_core_t *core, cq_request_t *request, gboolean again);

/** cq_flow_drop() - take @request out of its queue without serving it */
void
cq_flow_drop(cq_request_t *request);

/** cq_flow_take() - take @request out of its queue to be served */
void
cq_flow_take(cq_request_t *request);

/**
 * cq_flow_next() - the next request of a lane in fair order
 * @lane: the lane
 * @after: finish tag that the request must exceed; -1 for the first
 * @now_us: requests that are not ready yet are passed over
 *
 * Return: a request at the head of its flow, or NULL.
 */
cq_request_t *
cq_flow_next(const cq_lane_t *lane, double after, gint64 now_us);

/** cq_flow_wait_us() - Return: expected time in queue of the new @request:
 * behind all that waits in its class, or behind its own team at the team's
 * share, whichever is less */
gint64
cq_flow_wait_us(const cq_core_t *core, const cq_request_t *request);

/** cq_flow_come_back_us() - Return: when the refused @request should come
 * back */
gint64
cq_flow_come_back_us(cq_core_t *core, const cq_request_t *request);

/** cq_flow_window() - close a window of @seconds and update the drain */
void
cq_flow_window(cq_core_t *core, cq_service_t *service, double seconds);

G_END_DECLS

#endif
