/**
 * DOC: outbound
 *
 * Connections to upstreams that speak the platform's protocol: the core's
 * SEND and STOP as calls, and what comes back as events. An answer counts
 * only when it is whole and names the attempt that was sent.
 */
#ifndef CQ_OUTBOUND_H
#define CQ_OUTBOUND_H

#include "core/action.h"
#include "http/h1.h"

G_BEGIN_DECLS

typedef struct cq_outbound cq_outbound_t;

/**
 * struct cq_outbound_ops_t - where news of calls go
 * @post: takes each event
 * @data: passed to it
 */
typedef struct {
    void (*post)(const cq_event_t *event, void *data);
    void *data;
} cq_outbound_ops_t;

/**
 * struct cq_outbound_call_t - a call to start
 * @request: the request
 * @attempt: the attempt's number
 * @upstream: the upstream's id
 * @addr: its address
 * @incarnation: its incarnation
 * @fresh: on a new connection
 * @attempt_id: id that the answer must echo, or NULL
 * @method: HTTP method
 * @head: the head, whole
 * @body: the body
 * @last_event: id of the last event that the caller has, or -1
 */
typedef struct {
    guint64 request;
    guint32 attempt;
    guint64 upstream;
    const char *addr;
    guint64 incarnation;
    gboolean fresh;
    const char *attempt_id;
    const char *method;
    const GString *head;
    const GByteArray *body;
    gint64 last_event;
} cq_outbound_call_t;

/**
 * struct cq_outbound_answer_t - what a call has received; borrowed
 * @head: the answer's head, or NULL
 * @body: body so far, but for what was taken
 * @last_event: id of the last whole event, or -1
 */
typedef struct {
    const cq_h1_head_t *head;
    GByteArray *body;
    gint64 last_event;
} cq_outbound_answer_t;

/** cq_outbound_new() - Return: no connections yet */
cq_outbound_t *
cq_outbound_new(const cq_outbound_ops_t *ops);

/** cq_outbound_free() - cut every connection and free */
void
cq_outbound_free(cq_outbound_t *outbound);

/** cq_outbound_send() - start @call */
void
cq_outbound_send(cq_outbound_t *outbound, const cq_outbound_call_t *call);

/** cq_outbound_stop() - cut the call of @request, if it is @attempt */
void
cq_outbound_stop(cq_outbound_t *outbound, guint64 request, guint32 attempt);

/** cq_outbound_answer() - Return: whether @request has a call; fills @answer
 */
gboolean
cq_outbound_answer(cq_outbound_t *outbound, guint64 request,
                   cq_outbound_answer_t *answer);

/** cq_outbound_drop() - forget the call of @request */
void
cq_outbound_drop(cq_outbound_t *outbound, guint64 request);

/** cq_outbound_hold() - stop or go on reading for @request */
void
cq_outbound_hold(cq_outbound_t *outbound, guint64 request, gboolean hold);

/** cq_outbound_check() - close connections that were idle for long enough */
void
cq_outbound_check(cq_outbound_t *outbound);

/** cq_outbound_forget_idle() - close every idle connection: after a pause
 * none of them can be trusted */
void
cq_outbound_forget_idle(cq_outbound_t *outbound);

G_END_DECLS

#endif
