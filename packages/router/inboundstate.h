/**
 * DOC: inboundstate
 *
 * State of the server for callers, shared by its connections (inbound.c) and
 * the answers that they carry (exchange.c). Private to these two.
 */
#ifndef CQ_INBOUNDSTATE_H
#define CQ_INBOUNDSTATE_H

#include "base/list.h"
#include "http/sock.h"
#include "router/idlelimit.h"
#include "router/inbound.h"

G_BEGIN_DECLS

/**
 * enum cq_inbound_state_t - state of a connection
 * @CQ_INBOUND_IDLE: no byte of a request received
 * @CQ_INBOUND_HEAD: head partly received
 * @CQ_INBOUND_BODY: head complete, body not
 * @CQ_INBOUND_ANSWERING: request complete, answer not
 * @CQ_INBOUND_CLOSING: last answer passed to the socket, input is dropped
 */
typedef enum {
    CQ_INBOUND_IDLE,
    CQ_INBOUND_HEAD,
    CQ_INBOUND_BODY,
    CQ_INBOUND_ANSWERING,
    CQ_INBOUND_CLOSING,
} cq_inbound_state_t;

/**
 * struct cq_inbound_conn_t - a caller's connection
 * @overdue: the time limit of the state has been found exceeded
 * @idle_timeout_us: the longest one since the connection became idle
 */
typedef struct {
    cq_list_t link;
    cq_inbound_t *inbound;
    cq_sock_t *sock;
    cq_h1_t *reader;
    cq_inbound_state_t state;
    gint64 state_since_us;
    gboolean overdue;
    gint64 idle_timeout_us;
    gsize dropped_bytes;
    GByteArray *unparsed;
    cq_exchange_t *exchange;
    gboolean parsing;
    gboolean closed;
    guint refs;
} cq_inbound_conn_t;

/**
 * struct cq_exchange - a request and its answer
 * @body_len: bytes of the body received, kept or not
 * @no_room: its body is dropped, as the bodies of all have reached their bound
 */
struct cq_exchange {
    cq_inbound_conn_t *conn;
    cq_h1_head_t head;
    GByteArray *body;
    gsize body_len;
    gboolean too_long;
    gboolean no_room;
    gboolean chunked;
    gboolean started;
    gboolean dispatched;
    gboolean kept;
    void *owner;
};

/**
 * struct cq_inbound - the server
 * @buffered: bytes of the bodies of all requests whose answer is not complete
 * @refused: connections that were closed at once for want of a descriptor
 */
struct cq_inbound {
    cq_inbound_ops_t ops;
    cq_list_t conns;
    guint listener;
    gboolean draining;
    gsize head_bytes_max;
    gsize body_bytes_max;
    gint64 head_timeout_us;
    cq_idle_limit_t idle_limit;
    gsize buffered;
    guint64 refused;
};

/** cq_inbound_remove_conn() - remove a connection and free its exchange; its
 * socket must already be closed or closing */
void
cq_inbound_remove_conn(cq_inbound_conn_t *conn);

/** cq_inbound_end_exchange() - called when the whole answer has been passed to
 * the socket: go on with the next request, or close the connection; the
 * exchange is freed */
void
cq_inbound_end_exchange(cq_exchange_t *exchange);

G_END_DECLS

#endif
