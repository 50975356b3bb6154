/**
 * DOC: attempt
 *
 * Attempts: one run of a request at an upstream, from start to end, and the
 * decision whether a failed one is retried.
 */
#ifndef CQ_ATTEMPT_H
#define CQ_ATTEMPT_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_attempt_begin() - note that the next attempt of @request begins, in
 * @phase */
void
cq_attempt_begin(const cq_core_t *core, cq_request_t *request,
                 cq_phase_t phase);

/** cq_attempt_start() - start an attempt of @request at @upstream */
void
cq_attempt_start(cq_core_t *core, cq_request_t *request,
                 cq_upstream_t *upstream);

/** cq_attempt_abandon() - stop the running attempt of @request, if it has one
 */
void
cq_attempt_abandon(cq_core_t *core, cq_request_t *request);

/** cq_attempt_stop() - have the connection of the running attempt of @request
 * closed, to an upstream or a peer */
void
cq_attempt_stop(cq_core_t *core, const cq_request_t *request);

/** cq_attempt_repeatable() - Return: whether @request may be run again after
 * an attempt that may have run */
gboolean
cq_attempt_repeatable(const cq_request_t *request);

/** cq_attempt_event() - process SENT, TOKENS, DONE, FAILED or HANGUP; events
 * of an attempt that is not running any more are dropped */
void
cq_attempt_event(cq_core_t *core, const cq_event_t *event);

/** cq_attempt_fail() - end the running attempt of @request, which failed with
 * @failure: queue the request again, or answer it */
void
cq_attempt_fail(cq_core_t *core, cq_request_t *request, cq_failure_t failure);

/** cq_attempt_sent() - a byte of the running attempt of @request may have been
 * sent, to an upstream or a peer */
void
cq_attempt_sent(cq_core_t *core, cq_request_t *request);

/** cq_attempt_forward() - forward new events of the answer to the caller, from
 * an upstream or a peer */
void
cq_attempt_forward(cq_core_t *core, cq_request_t *request,
                   const cq_ev_attempt_t *event);

/** cq_attempt_retry_allowed() - Return: whether the limit on attempts and the
 * retry budget allow @request another attempt that is sent */
gboolean
cq_attempt_retry_allowed(const cq_request_t *request);

G_END_DECLS

#endif
