/**
 * DOC: outboundstate
 *
 * Calls of relay mode and their connections; see outbound. Private to
 * outbound.c and outconn.c.
 */
#ifndef CQ_OUTBOUNDSTATE_H
#define CQ_OUTBOUNDSTATE_H

#include "base/list.h"
#include "http/sock.h"
#include "platform/headers.h"
#include "router/events.h"
#include "router/outbound.h"

/** typedef cq_outcall_t - one attempt */
typedef struct cq_outcall cq_outcall_t;

/**
 * struct cq_outconn_t - a connection
 * @complete: the answer to its call has been read, and end_call() is due
 */
typedef struct {
    cq_list_t link;
    cq_outbound_t *outbound;
    cq_sock_t *sock;
    cq_h1_t *reader;
    guint64 upstream;
    guint64 incarnation;
    gboolean to_peer;
    cq_outcall_t *call;
    gint64 idle_until_us;
    gboolean complete;
    gboolean closed;
    guint refs;
} cq_outconn_t;

/**
 * struct cq_outcall - one attempt. It is kept until the core has answered the
 *   request, also if its connection has ended before
 * @on_kept_conn: the connection was kept from an earlier request
 * @to_peer: the call is to another entry host, not to an upstream
 * @runs_once: the request must not be repeated
 * @conditional: the caller names a condition
 * @events: the answer as a stream; its @whole is the body of any other one
 * @older: an earlier attempt of the request that goes on beside it, or NULL
 */
struct cq_outcall {
    guint64 request;
    guint32 attempt;
    guint64 upstream;
    guint64 incarnation;
    cq_outconn_t *conn;
    cq_outbound_t *outbound;
    char *attempt_id;
    cq_h1_head_t head;
    cq_response_fields_t reply;
    gboolean head_received;
    gboolean sent;
    gboolean ended;
    gboolean on_kept_conn;
    gboolean to_peer;
    gboolean runs_once;
    gboolean conditional;
    cq_events_t events;
    cq_outcall_t *older;
};

struct cq_outbound {
    cq_outbound_ops_t ops;
    GHashTable *by_request;
    cq_list_t idle;
    cq_list_t busy;
    gsize buffered; /* bytes of bodies that are no streams */
};

/** cq_outconn_unref() - drop a reference to @conn */
void
cq_outconn_unref(cq_outconn_t *conn);

/** cq_outconn_close() - abort @conn, if that has not happened yet */
void
cq_outconn_close(cq_outconn_t *conn);

/** cq_outconn_keep_or_close() - make @conn, whose @call is complete, idle if
 * it can carry another call, or close it */
void
cq_outconn_keep_or_close(cq_outconn_t *conn, const cq_outcall_t *call);

/** cq_outconn_reuse_idle() - Return: an idle connection for @spec, now busy,
 * or NULL */
cq_outconn_t *
cq_outconn_reuse_idle(cq_outbound_t *outbound, const cq_outbound_call_t *spec);

/** cq_outconn_close_all() - close the connections in the list @conns */
void
cq_outconn_close_all(cq_list_t *conns);

#endif
