/**
 * DOC: relay
 *
 * Requests that are routed by host and path and passed on as they came: joins
 * callers' exchanges to the core's requests and to calls of upstreams.
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

/** cq_relay_listen() - accept callers at @addr; FALSE and @error when it is
 * taken */
gboolean
cq_relay_listen(cq_relay_t *relay, const char *addr, cq_error_t *error);

/** cq_relay_free() - cut every connection and free */
void
cq_relay_free(cq_relay_t *relay);

/** cq_relay_routes() - route requests by @routes from now on; borrowed */
void
cq_relay_routes(cq_relay_t *relay, const cq_routes_t *routes);

/** cq_relay_send() - start an attempt */
void
cq_relay_send(cq_relay_t *relay, const cq_ac_send_t *send);

/** cq_relay_stop() - cut an attempt */
void
cq_relay_stop(cq_relay_t *relay, const cq_ac_attempt_t *attempt);

/** cq_relay_memory() - reserve or release an engine's memory */
void
cq_relay_memory(cq_relay_t *relay, cq_action_kind_t kind,
                const cq_ac_memory_t *order);

/** cq_relay_forward() - pass on what has come of a stream */
void
cq_relay_forward(cq_relay_t *relay, const cq_ac_attempt_t *attempt);

/** cq_relay_answer() - give the final answer */
void
cq_relay_answer(cq_relay_t *relay, const cq_ac_answer_t *answer);

/** cq_relay_drain() - announce the end of each caller's connection */
void
cq_relay_drain(cq_relay_t *relay);

/** cq_relay_close_idle() - close callers' connections without a request */
void
cq_relay_close_idle(cq_relay_t *relay);

/** cq_relay_open() - Return: exchanges without a whole answer, and
 * reservations not yet released */
guint
cq_relay_open(const cq_relay_t *relay);

/** cq_relay_distrust() - this process stood still: what idle connections it
 * holds are worth nothing */
void
cq_relay_distrust(cq_relay_t *relay);

G_END_DECLS

#endif
