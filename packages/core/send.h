/**
 * DOC: send
 *
 * The life of an attempt: started, sent, tokens, done or failed, retried.
 */
#ifndef CQ_SEND_H
#define CQ_SEND_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_send_start() - start an attempt of @request at @upstream */
void
cq_send_start(cq_core_t *core, cq_request_t *request, cq_upstream_t *upstream);

/** cq_send_abandon() - end the running attempt, if any, from our side */
void
cq_send_abandon(cq_core_t *core, cq_request_t *request);

/** cq_send_event() - take SENT, TOKENS, DONE, FAILED or HANGUP */
void
cq_send_event(cq_core_t *core, const cq_event_t *event);

/** cq_send_fail() - the running attempt of @request ended with @failure */
void
cq_send_fail(cq_core_t *core, cq_request_t *request, cq_failure_t failure);

G_END_DECLS

#endif
