/**
 * DOC: relay
 *
 * Relay mode: requests are routed by host and path and forwarded to upstreams
 * with their bodies unchanged. Posts the callers' requests (inbound) to the
 * core and executes the core's actions by calls to upstreams (outbound).
 */
#ifndef CQ_RELAY_H
#define CQ_RELAY_H

#include "config/routes.h"
#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_relay cq_relay_t;

/** cq_relay_new() - Return: a relay that does not listen yet */
cq_relay_t *
cq_relay_new(cq_app_t *app);

/** cq_relay_listen() - accept callers' connections at @addr, `ip:port`;
 * Return: FALSE and @error on failure */
gboolean
cq_relay_listen(cq_relay_t *relay, const char *addr, cq_error_t *error);

/** cq_relay_free() - abort every connection and free */
void
cq_relay_free(cq_relay_t *relay);

/** cq_relay_set_routes() - route new requests by @routes, which is borrowed
 * until this function is called again */
void
cq_relay_set_routes(cq_relay_t *relay, const cq_routes_t *routes);

/** cq_relay_send() - start an attempt at an upstream */
void
cq_relay_send(cq_relay_t *relay, const cq_ac_send_t *send);

/** cq_relay_hand() - start an attempt at a peer, which gets the request as its
 * caller sent it */
void
cq_relay_hand(cq_relay_t *relay, const cq_ac_hand_t *hand);

/** cq_relay_stop() - abort an attempt and its connection */
void
cq_relay_stop(cq_relay_t *relay, const cq_ac_attempt_t *attempt);

/** cq_relay_reservation() - reserve KV memory at an engine or, as @kind says,
 * release it or ask whether it is in use */
void
cq_relay_reservation(cq_relay_t *relay, cq_action_kind_t kind,
                     const cq_ac_memory_t *order);

/** cq_relay_forward() - forward the stream events received so far to the
 * caller */
void
cq_relay_forward(cq_relay_t *relay, const cq_ac_attempt_t *attempt);

/** cq_relay_answer() - complete the caller's answer and forget the request */
void
cq_relay_answer(cq_relay_t *relay, const cq_ac_answer_t *answer);

/** cq_relay_drain() - send `Connection: close` with each answer from now on */
void
cq_relay_drain(cq_relay_t *relay);

/** cq_relay_stop_listening() - refuse new connections of callers */
void
cq_relay_stop_listening(cq_relay_t *relay);

/** cq_relay_close_idle_callers() - close callers' connections that have no
 * request open */
void
cq_relay_close_idle_callers(cq_relay_t *relay);

/** cq_relay_unfinished() - Return: number of callers' connections on which a
 * request arrives, is unanswered, or has an answer that its caller has not got
 * whole, plus number of reservations not yet released */
guint
cq_relay_unfinished(const cq_relay_t *relay);

/** cq_relay_close_idle_upstreams() - close idle connections to upstreams,
 * which may have been closed at the other end while this process was
 * suspended */
void
cq_relay_close_idle_upstreams(cq_relay_t *relay);

G_END_DECLS

#endif
