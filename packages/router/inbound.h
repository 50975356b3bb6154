/**
 * DOC: inbound
 *
 * Callers' connections: requests as they come, one at a time a connection,
 * and their answers. A connection is closed only between requests, unless an
 * answer has to be cut.
 */
#ifndef CQ_INBOUND_H
#define CQ_INBOUND_H

#include "base/error.h"
#include "config/routes.h"
#include "http/h1.h"

G_BEGIN_DECLS

typedef struct cq_inbound cq_inbound_t;

/** typedef cq_exchange_t - a caller's request that has no full answer yet */
typedef struct cq_exchange cq_exchange_t;

/**
 * struct cq_inbound_ops_t - who hears of exchanges
 * @asked: a request is complete
 * @left: the caller left before its answer was complete; the exchange is
 *   freed after it
 * @drained: a slow caller has taken what was written
 * @data: passed to each
 */
typedef struct {
    void (*asked)(cq_exchange_t *exchange, void *data);
    void (*left)(cq_exchange_t *exchange, void *data);
    void (*drained)(cq_exchange_t *exchange, void *data);
    void *data;
} cq_inbound_ops_t;

/** cq_inbound_new() - Return: no connections yet, with default limits */
cq_inbound_t *
cq_inbound_new(const cq_inbound_ops_t *ops);

/** cq_inbound_listen() - accept callers at @addr; FALSE and @error when it is
 * taken */
gboolean
cq_inbound_listen(cq_inbound_t *inbound, const char *addr, cq_error_t *error);

/** cq_inbound_free() - cut every connection and free */
void
cq_inbound_free(cq_inbound_t *inbound);

/** cq_inbound_limits() - take the limits of @routes from the next request on
 */
void
cq_inbound_limits(cq_inbound_t *inbound, const cq_routes_t *routes);

/** cq_inbound_leave() - announce the end of each connection with its next
 * answer */
void
cq_inbound_leave(cq_inbound_t *inbound);

/** cq_inbound_close_idle() - close connections that have no request */
void
cq_inbound_close_idle(cq_inbound_t *inbound);

/** cq_inbound_check() - end connections that are idle or slow for too long;
 * to be called some times a second */
void
cq_inbound_check(cq_inbound_t *inbound);

/** cq_inbound_busy() - Return: exchanges whose answer is not yet written */
guint
cq_inbound_busy(const cq_inbound_t *inbound);

/** cq_exchange_head() - Return: the request's head; borrowed */
const cq_h1_head_t *
cq_exchange_head(const cq_exchange_t *exchange);

/** cq_exchange_body() - Return: the request's body; borrowed */
const GByteArray *
cq_exchange_body(const cq_exchange_t *exchange);

/** cq_exchange_set() - keep @owner with the exchange */
void
cq_exchange_set(cq_exchange_t *exchange, void *owner);

/** cq_exchange_owner() - Return: what cq_exchange_set() was given */
void *
cq_exchange_owner(const cq_exchange_t *exchange);

/** cq_exchange_answer() - give a whole answer, with the end-to-end fields of
 * @head */
void
cq_exchange_answer(cq_exchange_t *exchange, const cq_h1_head_t *head,
                   const void *body, gsize len);

/** cq_exchange_refuse() - give an answer of our own: @extra is whole header
 * lines, @text is JSON */
void
cq_exchange_refuse(cq_exchange_t *exchange, int status, const char *extra,
                   const char *text);

/** cq_exchange_begin() - begin an answer whose length is not known */
void
cq_exchange_begin(cq_exchange_t *exchange, const cq_h1_head_t *head);

/** cq_exchange_write() - write part of an answer that was begun; Return: bytes
 * that the caller has not taken yet */
gsize
cq_exchange_write(cq_exchange_t *exchange, const void *bytes, gsize len);

/** cq_exchange_end() - the answer that was begun is complete */
void
cq_exchange_end(cq_exchange_t *exchange);

/** cq_exchange_cut() - reset the connection, so that the answer does not look
 * complete */
void
cq_exchange_cut(cq_exchange_t *exchange);

G_END_DECLS

#endif
