/**
 * DOC: flow
 *
 * Weighted fair queueing of teams within a length class, by cost: start-time
 * fair queueing (Goyal, Vin and Cheng, 1996). A flow is the queue of one team
 * in one class. Also measures how fast each class drains, to estimate waiting
 * times and retry times.
 */
#ifndef CQ_FLOW_H
#define CQ_FLOW_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_flow_push() - queue @request at the end of its flow or, if it was queued
 * before (@requeued), at the front */
void
cq_flow_push(cq_core_t *core, cq_request_t *request, gboolean requeued);

/** cq_flow_remove() - remove @request from its queue, if it is in one, without
 * serving it */
void
cq_flow_remove(cq_request_t *request);

/** cq_flow_dequeue() - remove @request from its queue to serve it */
void
cq_flow_dequeue(cq_request_t *request);

/**
 * cq_flow_next() - the next request of a class queue in fair order
 * @queue: the class queue
 * @after: the finish tag of the request must exceed this; -1 for the first
 * @now_us: requests whose ready_us is later are passed over
 *
 * Return: a request at the head of its flow, or NULL.
 */
cq_request_t *
cq_flow_next(const cq_class_queue_t *queue, double after, gint64 now_us);

/** cq_flow_queued_count() - Return: number of waiting requests of @service */
guint
cq_flow_queued_count(const cq_service_t *service);

/** cq_flow_wait_us() - Return: expected time in queue of the new @request:
 * behind all requests of its class, or behind those of its own team at the
 * share of the team, whichever is less */
gint64
cq_flow_wait_us(const cq_core_t *core, const cq_request_t *request);

/** cq_flow_retry_after_us() - Return: time after which the refused @request
 * should be retried; its cost counts as deferred from now on */
gint64
cq_flow_retry_after_us(cq_core_t *core, const cq_request_t *request);

/** cq_flow_end_window() - end a measuring window of @seconds: update drain
 * rates, deferred costs and demand */
void
cq_flow_end_window(cq_core_t *core, cq_service_t *service, double seconds);

G_END_DECLS

#endif
