/**
 * DOC: handoff
 *
 * Passes requests on to a peer while this host is cut off from upstreams or,
 * in cells, while its zone is emptied. The peer treats such a request like a
 * caller's: it authenticates it, places it, counts its retries, and its
 * refusals are final here too. It doesn't pass it on again.
 */
#ifndef CQ_HANDOFF_H
#define CQ_HANDOFF_H

#include "core/state.h"

G_BEGIN_DECLS

/**
 * cq_handoff_start() - pass @request on to a peer, if this host can't place
 * it, the request may be run again, and a peer takes it
 * @core: the core
 * @request: a request without a running attempt; it leaves its queue
 *
 * Return: whether it is passed on.
 */
gboolean
cq_handoff_start(cq_core_t *core, cq_request_t *request);

/** cq_handoff_queued() - pass on the waiting requests, and those whose
 * attempts show no answer if this host is cut off */
void
cq_handoff_queued(cq_core_t *core);

/** cq_handoff_event() - process SENT, TOKENS, DONE or FAILED of a request that
 * was passed on */
void
cq_handoff_event(cq_core_t *core, cq_request_t *request,
                 const cq_event_t *event);

/** cq_handoff_check() - end the attempt at a peer that is gone */
void
cq_handoff_check(cq_core_t *core, cq_request_t *request);

G_END_DECLS

#endif
