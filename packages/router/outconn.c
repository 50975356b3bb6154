#include "base/limits.h"
#include "router/outboundstate.h"

/* An idle connection is closed this long before the end of the keep-alive time
 * announced by the upstream, so that no request meets a closing connection. */
#define KEEP_ALIVE_MARGIN_US (1500 * CQ_MS_US)
/* How long an idle connection is kept if the upstream announces no time. */
#define KEEP_ALIVE_DEFAULT_US (4 * CQ_SECOND_US)
/* Longest time that an idle connection to a peer is kept: a peer may close the
 * connections of its callers at any time, for example when it leaves. */
#define PEER_IDLE_MAX_US (2 * CQ_SECOND_US)
void
cq_outconn_unref(cq_outconn_t *conn)
{
    if (--conn->refs > 0) {
        return;
    }
    cq_h1_free(conn->reader);
    g_free(conn);
}

void
cq_outconn_close(cq_outconn_t *conn)
{
    if (conn->closed) {
        return;
    }
    conn->closed = TRUE;
    if (conn->call != NULL) {
        conn->call->conn = NULL;
        conn->call = NULL;
    }
    cq_list_remove(&conn->link);
    cq_sock_abort(conn->sock);
    cq_outconn_unref(conn);
}

void
cq_outconn_keep_or_close(cq_outconn_t *conn, const cq_outcall_t *call)
{
    gint64 idle_max_us = KEEP_ALIVE_DEFAULT_US;
    if (call->reply.keep_alive_us > 0) {
        idle_max_us = call->reply.keep_alive_us - KEEP_ALIVE_MARGIN_US;
    }
    if (call->to_peer) {
        idle_max_us = call->runs_once ? 0 : MIN(idle_max_us, PEER_IDLE_MAX_US);
    }
    gboolean request_sent = cq_sock_unwritten_bytes(conn->sock) == 0;
    if (!call->head.keep_alive || !call->head.has_framing ||
        idle_max_us <= 0 || !request_sent) {
        cq_outconn_close(conn);
        return;
    }
    conn->idle_until_us = g_get_monotonic_time() + idle_max_us;
    cq_list_remove(&conn->link);
    cq_list_prepend(&conn->outbound->idle, &conn->link);
}

cq_outconn_t *
cq_outconn_reuse_idle(cq_outbound_t *outbound, const cq_outbound_call_t *spec)
{
    gint64 now_us = g_get_monotonic_time();
    cq_list_t *link = outbound->idle.next;
    for (; link != &outbound->idle; link = link->next) {
        cq_outconn_t *conn = CQ_ENTRY(link, cq_outconn_t, link);
        if (conn->upstream == spec->upstream &&
            conn->incarnation == spec->incarnation &&
            conn->to_peer == spec->to_peer && conn->idle_until_us > now_us) {
            cq_list_remove(&conn->link);
            cq_list_append(&outbound->busy, &conn->link);
            return conn;
        }
    }
    return NULL;
}

void
cq_outconn_close_all(cq_list_t *conns)
{
    while (!cq_list_empty(conns)) {
        cq_outconn_close(CQ_ENTRY(conns->next, cq_outconn_t, link));
    }
}

void
cq_outbound_close_expired(cq_outbound_t *outbound)
{
    gint64 now_us = g_get_monotonic_time();
    cq_list_t *link = outbound->idle.next;
    while (link != &outbound->idle) {
        cq_outconn_t *conn = CQ_ENTRY(link, cq_outconn_t, link);
        link = link->next;
        if (conn->idle_until_us <= now_us) {
            cq_outconn_close(conn);
        }
    }
}

void
cq_outbound_close_idle(cq_outbound_t *outbound)
{
    cq_outconn_close_all(&outbound->idle);
}
