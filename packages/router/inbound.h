/**
 * DOC: inbound
 *
 * HTTP/1.1 server for callers in relay mode. A connection serves one request
 * at a time; pipelined ones wait. A connection is closed only between
 * requests, unless the request is invalid or late, or an answer that has begun
 * must be aborted.
 */
#ifndef CQ_INBOUND_H
#define CQ_INBOUND_H

#include "base/error.h"
#include "config/routes.h"
#include "http/h1.h"

G_BEGIN_DECLS

typedef struct cq_inbound cq_inbound_t;

/** typedef cq_exchange_t - a caller's request whose answer is not complete */
typedef struct cq_exchange cq_exchange_t;

/**
 * struct cq_inbound_ops_t - callbacks
 * @request_complete: head and body of a request have arrived
 * @caller_gone: the caller closed its connection before its answer was
 *   complete; the exchange is freed when the callback returns
 * @writable: all bytes written to the caller so far have been sent
 * @data: passed to each callback
 */
typedef struct {
    void (*request_complete)(cq_exchange_t *exchange, void *data);
    void (*caller_gone)(cq_exchange_t *exchange, void *data);
    void (*writable)(cq_exchange_t *exchange, void *data);
    void *data;
} cq_inbound_ops_t;

/** cq_inbound_new() - Return: a server with default limits that does not
 * listen yet; @ops is copied */
cq_inbound_t *
cq_inbound_new(const cq_inbound_ops_t *ops);

/** cq_inbound_listen() - accept connections at @addr, `ip:port`; Return: FALSE
 * and @error on failure */
gboolean
cq_inbound_listen(cq_inbound_t *inbound, const char *addr, cq_error_t *error);

/** cq_inbound_stop_listening() - refuse new connections from now on */
void
cq_inbound_stop_listening(cq_inbound_t *inbound);

/** cq_inbound_free() - close every connection and free; those with an
 * incomplete answer are reset */
void
cq_inbound_free(cq_inbound_t *inbound);

/** cq_inbound_set_limits() - use the size limits and timeouts of @routes;
 * the size limit of heads applies to connections accepted from now on, and a
 * lowered idle timeout to those that become idle CQ_IDLE_NOTICE_US later */
void
cq_inbound_set_limits(cq_inbound_t *inbound, const cq_routes_t *routes);

/** cq_inbound_drain() - send `Connection: close` with each answer from now on
 * and close the connection after it */
void
cq_inbound_drain(cq_inbound_t *inbound);

/** cq_inbound_close_idle() - close connections that have no request open */
void
cq_inbound_close_idle(cq_inbound_t *inbound);

/** cq_inbound_check_timeouts() - close connections that were idle for too
 * long, and answer 408 to requests that arrive too slowly; to be called
 * several times a second */
void
cq_inbound_check_timeouts(cq_inbound_t *inbound);

/** cq_inbound_unfinished() - Return: number of connections on which a request
 * arrives, is unanswered, or has an answer that its caller has not got whole
 */
guint
cq_inbound_unfinished(const cq_inbound_t *inbound);

/** cq_inbound_refused() - Return: number of connections so far that were
 * closed at once, as there was no descriptor for them */
guint64
cq_inbound_refused(const cq_inbound_t *inbound);

/** cq_exchange_head() - Return: the request's head; borrowed */
const cq_h1_head_t *
cq_exchange_head(const cq_exchange_t *exchange);

/** cq_exchange_body() - Return: the request's body; borrowed */
const GByteArray *
cq_exchange_body(const cq_exchange_t *exchange);

/** cq_exchange_dropped() - Return: length of the request's body if it was
 * dropped, as the bodies of all requests together had reached their bound;
 * else 0. Such a request can only be refused. */
gsize
cq_exchange_dropped(const cq_exchange_t *exchange);

/** cq_exchange_set_owner() - attach @owner, or NULL, to the exchange */
void
cq_exchange_set_owner(cq_exchange_t *exchange, void *owner);

/** cq_exchange_owner() - Return: the pointer last given to
 * cq_exchange_set_owner(), or NULL */
void *
cq_exchange_owner(const cq_exchange_t *exchange);

/** cq_exchange_close_after() - close the connection after the answer: what
 * follows an invalid request may be a part of it */
void
cq_exchange_close_after(cq_exchange_t *exchange);

/** cq_exchange_answer() - send a complete answer with the end-to-end header
 * fields of @head; the exchange is freed */
void
cq_exchange_answer(cq_exchange_t *exchange, const cq_h1_head_t *head,
                   const void *body, gsize len);

/** cq_exchange_refuse() - send an answer made by this process: @extra is ""
 * or header lines that end in CRLF, @text is a JSON body; the exchange is
 * freed */
void
cq_exchange_refuse(cq_exchange_t *exchange, int status, const char *extra,
                   const char *text);

/** cq_exchange_begin() - send the head of an answer of unknown length */
void
cq_exchange_begin(cq_exchange_t *exchange, const cq_h1_head_t *head);

/** cq_exchange_write() - send part of the body after cq_exchange_begin();
 * Return: number of bytes written so far that the socket has not yet taken */
gsize
cq_exchange_write(cq_exchange_t *exchange, const void *bytes, gsize len);

/** cq_exchange_end() - end the body after cq_exchange_begin(); the exchange is
 * freed */
void
cq_exchange_end(cq_exchange_t *exchange);

/** cq_exchange_abort() - reset the connection, so that the caller can tell
 * that the answer is incomplete; the exchange is freed */
void
cq_exchange_abort(cq_exchange_t *exchange);

G_END_DECLS

#endif
