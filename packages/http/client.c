#include "http/client.h"

#include <string.h>

#include "base/limits.h"
#include "base/list.h"
#include "http/arrival.h"
#include "http/h1.h"
#include "http/sock.h"

/* A connection that has been idle for this time is not reused: the other side
 * may have closed it without this side having noticed. */
#define IDLE_MAX_US (8 * CQ_SECOND_US)
/* Longest response body, unless the call states less. */
#define BODY_BYTES_MAX (64 * 1024 * 1024)

/* A connection, with the call that it carries while it is busy. */
typedef struct {
    cq_list_t link;
    cq_client_t *client;
    char addr[CQ_ADDR_BYTES];
    cq_sock_t *sock;
    cq_h1_t *reader;
    GByteArray *body;
    gsize body_bytes_max;
    gboolean too_long; /* the body is longer than that */
    gboolean busy;
    gboolean keep_alive;
    gboolean closed;
    int status;
    cq_client_head_t head;
    cq_client_done_t done;
    void *data;
    GDestroyNotify data_free;
    guint timer;
    guint stall_ms;
    gint64 ends_us; /* end of the total time limit */
    cq_arrival_t arrival;
    gint64 idle_since_us;
    guint refs;
} conn_t;

struct cq_client {
    cq_list_t conns;
};

static void
conn_unref(conn_t *conn)
{
    if (--conn->refs > 0) {
        return;
    }
    cq_h1_free(conn->reader);
    g_byte_array_unref(conn->body);
    g_free(conn);
}

static void
conn_close(conn_t *conn)
{
    if (conn->closed) {
        return;
    }
    conn->closed = TRUE;
    if (conn->timer != 0) {
        g_source_remove(conn->timer);
    }
    if (conn->busy && conn->data_free != NULL) {
        conn->data_free(conn->data);
    }
    cq_list_remove(&conn->link);
    cq_sock_abort(conn->sock);
    conn_unref(conn);
}

/* Ends the call: makes the connection idle and calls back with @status and the
 * response body. */
static void
finish_call(conn_t *conn, int status)
{
    if (!conn->busy) {
        return;
    }
    conn->busy = FALSE;
    if (conn->timer != 0) {
        g_source_remove(conn->timer);
        conn->timer = 0;
    }
    conn->idle_since_us = g_get_monotonic_time();
    /* The callback may start another call on this connection, so the fields of
     * the completed call are copied first. */
    GByteArray *body = conn->body;
    GDestroyNotify data_free = conn->data_free;
    void *data = conn->data;
    conn->body = g_byte_array_new();
    conn->done(status, body, data);
    if (data_free != NULL) {
        data_free(data);
    }
    g_byte_array_unref(body);
}

static void
on_head(void *data, const cq_h1_head_t *head)
{
    conn_t *conn = data;
    conn->status = head->status;
    conn->keep_alive = head->keep_alive;
    if (conn->busy && conn->head != NULL) {
        conn->head(head, conn->data);
    }
}

static void
on_body(void *data, const char *bytes, gsize len)
{
    conn_t *conn = data;
    if (conn->body->len + len > conn->body_bytes_max) {
        conn->too_long = TRUE;
        return;
    }
    g_byte_array_append(conn->body, (const guint8 *)bytes, (guint)len);
}

static void
on_done(void *data)
{
    conn_t *conn = data;
    finish_call(conn, conn->too_long ? 0 : conn->status);
}

static void
on_received(void *data, const char *bytes, gsize len)
{
    conn_t *conn = data;
    conn->refs++;
    cq_arrival_add(&conn->arrival, len, g_get_monotonic_time());
    gsize used = conn->busy ? cq_h1_feed(conn->reader, bytes, len) : 0;
    gboolean unusable = !conn->busy && !conn->keep_alive;
    if (used < len || unusable || conn->too_long ||
        cq_h1_error(conn->reader) != CQ_H1_OK) {
        finish_call(conn, 0);
        conn_close(conn);
    }
    conn_unref(conn);
}

static void
on_ended(void *data, cq_sock_end_t how)
{
    conn_t *conn = data;
    conn->refs++;
    if (how == CQ_SOCK_EOF) {
        cq_h1_connection_closed(conn->reader);
    }
    finish_call(conn, 0);
    conn_close(conn);
    conn_unref(conn);
}

/* Return: for how long the call may go on unless more of the response
 * arrives. */
static gint64
time_left_us(const conn_t *conn)
{
    gint64 now_us = g_get_monotonic_time();
    if (conn->stall_ms == 0 || conn->arrival.heard_us == 0) {
        return 0;
    }
    gint64 stalled_us = conn->arrival.heard_us + conn->stall_ms * CQ_MS_US;
    return MIN(stalled_us, conn->ends_us) - now_us;
}

static gboolean
on_timeout(gpointer data)
{
    conn_t *conn = data;
    gint64 left_us = time_left_us(conn);
    if (left_us > 0) {
        guint ms = (guint)(left_us / CQ_MS_US) + 1;
        conn->timer = g_timeout_add(ms, on_timeout, conn);
        return G_SOURCE_REMOVE;
    }
    conn->timer = 0;
    conn->refs++;
    finish_call(conn, 0);
    conn_close(conn);
    conn_unref(conn);
    return G_SOURCE_REMOVE;
}

static conn_t *
conn_new(cq_client_t *client, const char *addr)
{
    conn_t *conn = g_new0(conn_t, 1);
    conn->client = client;
    conn->refs = 1;
    conn->keep_alive = TRUE;
    g_strlcpy(conn->addr, addr, sizeof conn->addr);
    conn->body = g_byte_array_new();
    cq_list_init(&conn->link);
    cq_list_append(&client->conns, &conn->link);
    cq_h1_options_t options = {
        .parse_responses = TRUE,
        .ops = {.head = on_head,
                .body = on_body,
                .done = on_done,
                .data = conn},
    };
    conn->reader = cq_h1_new(&options);
    cq_sock_ops_t ops = {
        .received = on_received,
        .ended = on_ended,
        .data = conn,
    };
    conn->sock = cq_sock_connect(addr, &ops);
    return conn;
}

/* Return: an idle connection to @addr, or a new one. Closes idle connections
 * that are too old. */
static conn_t *
get_conn(cq_client_t *client, const char *addr)
{
    gint64 now_us = g_get_monotonic_time();
    cq_list_t *link = client->conns.next;
    while (link != &client->conns) {
        conn_t *conn = CQ_ENTRY(link, conn_t, link);
        link = link->next;
        if (conn->busy || !conn->keep_alive) {
            continue;
        }
        if (now_us - conn->idle_since_us >= IDLE_MAX_US) {
            conn_close(conn);
        }
        else if (strcmp(conn->addr, addr) == 0) {
            return conn;
        }
    }
    return conn_new(client, addr);
}

cq_client_t *
cq_client_new(void)
{
    cq_client_t *client = g_new0(cq_client_t, 1);
    cq_list_init(&client->conns);
    return client;
}

void
cq_client_free(cq_client_t *client)
{
    while (!cq_list_empty(&client->conns)) {
        conn_close(CQ_ENTRY(client->conns.next, conn_t, link));
    }
    g_free(client);
}

void
cq_client_call(cq_client_t *client, const cq_client_call_t *call)
{
    conn_t *conn = get_conn(client, call->addr);
    conn->busy = TRUE;
    conn->status = 0;
    conn->head = call->head;
    conn->done = call->done;
    conn->data = call->data;
    conn->data_free = call->data_free;
    g_byte_array_set_size(conn->body, 0);
    conn->body_bytes_max =
        call->body_bytes_max > 0 ? call->body_bytes_max : BODY_BYTES_MAX;
    conn->too_long = FALSE;
    conn->timer = g_timeout_add(call->timeout_ms, on_timeout, conn);
    conn->stall_ms = call->stall_ms;
    conn->ends_us = g_get_monotonic_time() + call->total_ms * CQ_MS_US;
    conn->arrival = (cq_arrival_t){0};
    GString *out = g_string_new("");
    g_string_append_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", call->method,
                           call->path, call->addr);
    if (call->type != NULL) {
        g_string_append_printf(out, "Content-Type: %s\r\n", call->type);
    }
    if (call->body != NULL) {
        g_string_append_printf(out, "Content-Length: %zu\r\n", call->body_len);
    }
    g_string_append(out, "\r\n");
    g_string_append_len(out, call->body, (gssize)call->body_len);
    cq_sock_write(conn->sock, out->str, out->len);
    g_string_free(out, TRUE);
}

gint64
cq_client_heard_ago_us(const cq_client_t *client, cq_client_match_t match,
                       const void *data)
{
    gint64 now_us = g_get_monotonic_time();
    gint64 ago_us = G_MAXINT64;
    for (cq_list_t *link = client->conns.next; link != &client->conns;
         link = link->next) {
        const conn_t *conn = CQ_ENTRY(link, conn_t, link);
        gint64 heard_us = conn->arrival.heard_us;
        if (conn->busy && heard_us != 0 && match(conn->data, data)) {
            ago_us = MIN(ago_us, now_us - heard_us);
        }
    }
    return ago_us;
}

void
cq_client_cancel(cq_client_t *client, cq_client_match_t match,
                 const void *data)
{
    cq_list_t *link = client->conns.next;
    while (link != &client->conns) {
        conn_t *conn = CQ_ENTRY(link, conn_t, link);
        link = link->next;
        if (conn->busy && match(conn->data, data)) {
            conn_close(conn);
        }
    }
}
