/**
 * DOC: outbound
 *
 * HTTP/1.1 client of relay mode, for upstreams that use the platform's
 * headers: carries out the core's SEND and STOP as calls and reports their
 * outcomes as events. An answer is accepted only if it is complete and does
 * not echo the id of another attempt; on a connection that was kept from an
 * earlier request it has to echo the id. A call may also be to another entry
 * host, which answers this host as it answers its callers: a complete answer
 * of any status is DONE, and its own refusals have no id.
 */
#ifndef CQ_OUTBOUND_H
#define CQ_OUTBOUND_H

#include "core/action.h"
#include "http/h1.h"

G_BEGIN_DECLS

typedef struct cq_outbound cq_outbound_t;

/**
 * struct cq_outbound_ops_t - receiver of events
 * @post: called with each event
 * @data: passed to @post
 */
typedef struct {
    void (*post)(const cq_event_t *event, void *data);
    void *data;
} cq_outbound_ops_t;

/**
 * struct cq_outbound_call_t - a call to start
 * @request: the request
 * @attempt: the attempt's number
 * @upstream: the upstream's id; of a call to another entry host, its id
 * @to_peer: the call is to another entry host
 * @addr: its address
 * @incarnation: its incarnation; idle connections to another incarnation at
 * the same address are not used
 * @fresh: use a new connection, not an idle one: the request may run once
 * @conditional: the caller names a condition: 421 is the answer to that, and
 * not a sign that another upstream now has the address
 * @attempt_id: the attempt's id in @head; an answer with another attempt id
 * is rejected. NULL: none, and the call gets a new connection
 * @method: HTTP method
 * @head: the complete head, with its blank line
 * @body: the body
 * @last_event: id of the last stream event sent to the caller, or -1
 */
typedef struct {
    guint64 request;
    guint32 attempt;
    guint64 upstream;
    gboolean to_peer;
    const char *addr;
    guint64 incarnation;
    gboolean fresh;
    gboolean conditional;
    const char *attempt_id;
    const char *method;
    const GString *head;
    const GByteArray *body;
    gint64 last_event;
} cq_outbound_call_t;

/**
 * struct cq_outbound_answer_t - what a call has received; all borrowed
 * @head: the answer's head, or NULL
 * @body: body received and not yet forwarded; to be emptied by whoever
 *   forwards a part of a stream
 * @last_event: id of the last complete stream event, or -1
 */
typedef struct {
    const cq_h1_head_t *head;
    GByteArray *body;
    gint64 last_event;
} cq_outbound_answer_t;

/** cq_outbound_new() - Return: a client without connections; @ops is copied */
cq_outbound_t *
cq_outbound_new(const cq_outbound_ops_t *ops);

/** cq_outbound_free() - abort every connection and free */
void
cq_outbound_free(cq_outbound_t *outbound);

/** cq_outbound_send() - start the call @spec, on an idle connection if there
 * is one. Older calls of the request go on until they are stopped */
void
cq_outbound_send(cq_outbound_t *outbound, const cq_outbound_call_t *spec);

/** cq_outbound_stop() - abort the call of @request if it is for @attempt */
void
cq_outbound_stop(cq_outbound_t *outbound, guint64 request, guint32 attempt);

/** cq_outbound_answer() - Return: whether @request has a call for @attempt; if
 * so, @answer is filled */
gboolean
cq_outbound_answer(cq_outbound_t *outbound, guint64 request, guint32 attempt,
                   cq_outbound_answer_t *answer);

/** cq_outbound_remove() - abort the calls of @request and free them */
void
cq_outbound_remove(cq_outbound_t *outbound, guint64 request);

/** cq_outbound_pause() - pause reading the answers to @request, or resume it;
 * reported as PAUSED or RESUMED */
void
cq_outbound_pause(cq_outbound_t *outbound, guint64 request, gboolean paused);

/** cq_outbound_close_expired() - close connections whose keep-alive time has
 * passed */
void
cq_outbound_close_expired(cq_outbound_t *outbound);

/** cq_outbound_close_idle() - close every idle connection; used after this
 * process was suspended, when the upstreams may have closed them */
void
cq_outbound_close_idle(cq_outbound_t *outbound);

G_END_DECLS

#endif
