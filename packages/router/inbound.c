#include "router/inboundstate.h"

#include <string.h>
#include <unistd.h>

#include "base/limits.h"
#include "http/sock.h"
#include "router/heads.h"
#include "router/idlelimit.h"

/* While a request is answered, reading stops when more than this many bytes of
 * further requests have arrived. */
#define PIPELINED_BYTES_MAX (64 * 1024)
/* Time from the end of a request's head to the end of its body. */
#define BODY_TIMEOUT_US (10 * CQ_SECOND_US)
/* Idle connections are kept a little longer than the configured timeout: they
 * are closed after this percentage of it. */
#define IDLE_TIMEOUT_PERCENT 120
/* Bytes of the bodies of all requests together. Each is kept for as long as
 * its request may be sent again, beside what an upstream has not yet read. */
#define ALL_BODIES_BYTES_MAX (24 * 1024 * 1024)
/* Callers' connections leave this share of the descriptors to those to
 * upstreams and peers. */
#define UPSTREAM_SHARE 8

static void
parse_requests(cq_inbound_conn_t *conn);

static void
drop_body(cq_exchange_t *exchange)
{
    exchange->conn->inbound->buffered -= exchange->body->len;
    g_byte_array_unref(exchange->body);
    exchange->body = g_byte_array_new();
}

static void
exchange_free(cq_exchange_t *exchange)
{
    drop_body(exchange);
    exchange->conn->exchange = NULL;
    cq_h1_clear_head(&exchange->head);
    g_byte_array_unref(exchange->body);
    g_free(exchange);
}

static void
conn_unref(cq_inbound_conn_t *conn)
{
    if (--conn->refs > 0) {
        return;
    }
    cq_h1_free(conn->reader);
    g_byte_array_unref(conn->unparsed);
    g_free(conn);
}

void
cq_inbound_remove_conn(cq_inbound_conn_t *conn)
{
    if (conn->closed) {
        return;
    }
    conn->closed = TRUE;
    conn->state = CQ_INBOUND_CLOSING;
    if (conn->exchange != NULL) {
        exchange_free(conn->exchange);
    }
    cq_list_remove(&conn->link);
    conn_unref(conn);
}

static void
set_state(cq_inbound_conn_t *conn, cq_inbound_state_t state)
{
    conn->state = state;
    conn->state_since_us = g_get_monotonic_time();
    conn->overdue = FALSE;
    conn->idle_timeout_us = cq_idle_limit_timeout(&conn->inbound->idle_limit,
                                                  conn->state_since_us);
}

/* Ends a connection in order (RFC 9112, 9.6): once all is written the sending
 * side is shut down, and the connection is closed when the caller has closed
 * its side, or at a limit. If it were closed with unread bytes, it would be
 * reset, and its last answer might be lost. */
static void
start_closing(cq_inbound_conn_t *conn)
{
    gboolean written = cq_sock_unwritten_bytes(conn->sock) == 0;
    set_state(conn, CQ_INBOUND_CLOSING);
    if (conn->exchange != NULL) {
        exchange_free(conn->exchange);
    }
    cq_sock_pause_reading(conn->sock, !written);
    if (written) {
        cq_sock_shut_sending(conn->sock);
    }
}

static void
finish_closing(cq_inbound_conn_t *conn)
{
    cq_sock_close_when_written(conn->sock);
    cq_inbound_remove_conn(conn);
}

/* A request that is on its way to an idle connection is left unread, so that
 * its caller learns by a reset that it may send the request again. */
static void
close_idle(cq_inbound_conn_t *conn)
{
    if (cq_sock_undelivered_bytes(conn->sock) > 0) {
        start_closing(conn);
        return;
    }
    finish_closing(conn);
}

/* Answers an invalid or late request and closes the connection. */
static void
reject(cq_inbound_conn_t *conn, int status, const char *text)
{
    GString *out = g_string_new("");
    cq_heads_append_local(out, status, "", strlen(text), FALSE);
    g_string_append(out, text);
    cq_sock_write(conn->sock, out->str, out->len);
    g_string_free(out, TRUE);
    start_closing(conn);
}

static void
on_head(void *data, const cq_h1_head_t *head)
{
    cq_inbound_conn_t *conn = data;
    cq_exchange_t *exchange = g_new0(cq_exchange_t, 1);
    exchange->conn = conn;
    cq_h1_copy_head(&exchange->head, head);
    cq_heads_to_origin_form(&exchange->head);
    exchange->body = g_byte_array_new();
    conn->exchange = exchange;
    set_state(conn, CQ_INBOUND_BODY);
    if (head->expects_continue) {
        const char *interim = "HTTP/1.1 100 Continue\r\n\r\n";
        cq_sock_write(conn->sock, interim, strlen(interim));
    }
}

static void
on_body(void *data, const char *bytes, gsize len)
{
    cq_inbound_conn_t *conn = data;
    cq_exchange_t *exchange = conn->exchange;
    cq_inbound_t *inbound = conn->inbound;
    exchange->body_len += len;
    if (exchange->body_len > inbound->body_bytes_max) {
        exchange->too_long = TRUE;
        return;
    }
    if (inbound->buffered + len >
        MAX(ALL_BODIES_BYTES_MAX, inbound->body_bytes_max)) {
        exchange->no_room = TRUE;
        drop_body(exchange);
    }
    /* The rest is read, so that the caller reads the refusal. */
    if (exchange->no_room) {
        return;
    }
    inbound->buffered += len;
    g_byte_array_append(exchange->body, (const guint8 *)bytes, (guint)len);
}

static void
on_done(void *data)
{
    cq_inbound_conn_t *conn = data;
    cq_exchange_t *exchange = conn->exchange;
    set_state(conn, CQ_INBOUND_ANSWERING);
    if (exchange->too_long) {
        return;
    }
    exchange->dispatched = TRUE;
    conn->inbound->ops.request_complete(exchange, conn->inbound->ops.data);
}

/* Parses the received bytes, one request at a time. */
static void
parse_requests(cq_inbound_conn_t *conn)
{
    if (conn->parsing) {
        return;
    }
    conn->parsing = TRUE;
    conn->refs++;
    while (!conn->closed && conn->unparsed->len > 0 &&
           conn->state < CQ_INBOUND_ANSWERING) {
        if (conn->state == CQ_INBOUND_IDLE) {
            set_state(conn, CQ_INBOUND_HEAD);
        }
        /* The parser's callbacks may change conn->unparsed. */
        GByteArray *bytes = conn->unparsed;
        conn->unparsed = g_byte_array_new();
        gsize consumed =
            cq_h1_feed(conn->reader, (const char *)bytes->data, bytes->len);
        int status = 0;
        const char *text = NULL;
        if (!conn->closed && conn->state != CQ_INBOUND_CLOSING) {
            text = cq_heads_rejection(
                cq_h1_error(conn->reader),
                conn->exchange != NULL && conn->exchange->too_long, &status);
        }
        if (text != NULL) {
            reject(conn, status, text);
        }
        else if (consumed < bytes->len) {
            g_byte_array_prepend(conn->unparsed, bytes->data + consumed,
                                 bytes->len - (guint)consumed);
        }
        g_byte_array_unref(bytes);
    }
    conn->parsing = FALSE;
    conn_unref(conn);
}

static void
on_received(void *data, const char *bytes, gsize len)
{
    cq_inbound_conn_t *conn = data;
    if (conn->state == CQ_INBOUND_CLOSING) {
        conn->dropped_bytes += len;
        if (conn->dropped_bytes > CQ_CLOSING_BYTES_MAX) {
            finish_closing(conn);
        }
        return;
    }
    g_byte_array_append(conn->unparsed, (const guint8 *)bytes, (guint)len);
    if (conn->state == CQ_INBOUND_ANSWERING &&
        conn->unparsed->len > PIPELINED_BYTES_MAX) {
        cq_sock_pause_reading(conn->sock, TRUE);
    }
    parse_requests(conn);
}

static void
on_ended(void *data, cq_sock_end_t how)
{
    cq_inbound_conn_t *conn = data;
    cq_inbound_t *inbound = conn->inbound;
    if (conn->state == CQ_INBOUND_CLOSING && how == CQ_SOCK_EOF) {
        finish_closing(conn);
        return;
    }
    conn->refs++;
    if (conn->exchange != NULL && conn->exchange->dispatched) {
        inbound->ops.caller_gone(conn->exchange, inbound->ops.data);
    }
    cq_sock_abort(conn->sock);
    cq_inbound_remove_conn(conn);
    conn_unref(conn);
}

static void
on_writable(void *data)
{
    cq_inbound_conn_t *conn = data;
    if (conn->state == CQ_INBOUND_CLOSING) {
        start_closing(conn);
    }
    if (conn->exchange != NULL && conn->exchange->started) {
        conn->inbound->ops.writable(conn->exchange, conn->inbound->ops.data);
    }
}

static void
on_accepted(int fd, void *data)
{
    cq_inbound_t *inbound = data;
    guint descriptors = cq_sock_descriptors();
    if (fd < 0 || (guint)fd >= descriptors - descriptors / UPSTREAM_SHARE) {
        if (fd >= 0) {
            close(fd);
        }
        inbound->refused++;
        return;
    }
    cq_inbound_conn_t *conn = g_new0(cq_inbound_conn_t, 1);
    conn->inbound = inbound;
    conn->refs = 1;
    conn->unparsed = g_byte_array_new();
    cq_list_init(&conn->link);
    cq_list_append(&inbound->conns, &conn->link);
    cq_h1_options_t options = {
        .head_bytes_max = inbound->head_bytes_max,
        .ops = {.head = on_head,
                .body = on_body,
                .done = on_done,
                .data = conn},
    };
    conn->reader = cq_h1_new(&options);
    cq_sock_ops_t ops = {
        .received = on_received,
        .ended = on_ended,
        .drained = on_writable,
        .data = conn,
    };
    set_state(conn, CQ_INBOUND_IDLE);
    conn->sock = cq_sock_from_fd(fd, &ops);
}

void
cq_inbound_end_exchange(cq_exchange_t *exchange)
{
    cq_inbound_conn_t *conn = exchange->conn;
    gboolean kept = exchange->kept;
    exchange_free(exchange);
    if (!kept) {
        start_closing(conn);
        return;
    }
    set_state(conn, CQ_INBOUND_IDLE);
    cq_sock_pause_reading(conn->sock, FALSE);
    parse_requests(conn);
}

cq_inbound_t *
cq_inbound_new(const cq_inbound_ops_t *ops)
{
    cq_inbound_t *inbound = g_new0(cq_inbound_t, 1);
    inbound->ops = *ops;
    cq_list_init(&inbound->conns);
    cq_routes_t *defaults = cq_routes_new();
    cq_inbound_set_limits(inbound, defaults);
    cq_routes_free(defaults);
    return inbound;
}

gboolean
cq_inbound_listen(cq_inbound_t *inbound, const char *addr, cq_error_t *error)
{
    inbound->listener = cq_sock_listen(addr, on_accepted, inbound, error);
    return inbound->listener != 0;
}

void
cq_inbound_stop_listening(cq_inbound_t *inbound)
{
    if (inbound->listener != 0) {
        g_source_remove(inbound->listener);
        inbound->listener = 0;
    }
}

void
cq_inbound_free(cq_inbound_t *inbound)
{
    cq_inbound_stop_listening(inbound);
    while (!cq_list_empty(&inbound->conns)) {
        cq_inbound_conn_t *conn =
            CQ_ENTRY(inbound->conns.next, cq_inbound_conn_t, link);
        if (conn->exchange == NULL) {
            finish_closing(conn);
            continue;
        }
        cq_sock_abort(conn->sock);
        cq_inbound_remove_conn(conn);
    }
    g_free(inbound);
}

void
cq_inbound_set_limits(cq_inbound_t *inbound, const cq_routes_t *routes)
{
    inbound->head_bytes_max = routes->head_bytes_max;
    inbound->body_bytes_max = routes->body_bytes_max;
    inbound->head_timeout_us = routes->head_timeout_us;
    cq_idle_limit_change(&inbound->idle_limit, routes, g_get_monotonic_time());
    cq_list_t *link = inbound->conns.next;
    for (; link != &inbound->conns; link = link->next) {
        cq_inbound_conn_t *conn = CQ_ENTRY(link, cq_inbound_conn_t, link);
        conn->idle_timeout_us =
            MAX(conn->idle_timeout_us, routes->idle_timeout_us);
    }
}

void
cq_inbound_drain(cq_inbound_t *inbound)
{
    inbound->draining = TRUE;
}

void
cq_inbound_close_idle(cq_inbound_t *inbound)
{
    cq_list_t *link = inbound->conns.next;
    while (link != &inbound->conns) {
        cq_inbound_conn_t *conn = CQ_ENTRY(link, cq_inbound_conn_t, link);
        link = link->next;
        if (conn->state == CQ_INBOUND_IDLE &&
            !cq_sock_has_unread(conn->sock)) {
            close_idle(conn);
        }
    }
}

/* Return: whether the connection has been in its state for more than
 * @limit_us. What has arrived by then is read before that is acted on, once.
 */
static gboolean
is_too_late(cq_inbound_conn_t *conn, gint64 now_us, gint64 limit_us)
{
    if (now_us - conn->state_since_us <= limit_us) {
        return FALSE;
    }
    gboolean read_first = !conn->overdue && cq_sock_has_unread(conn->sock);
    conn->overdue = TRUE;
    return !read_first;
}

static void
check_timeout(cq_inbound_conn_t *conn, gint64 now_us)
{
    switch (conn->state) {
    case CQ_INBOUND_IDLE:
        if (is_too_late(conn, now_us,
                        conn->idle_timeout_us * IDLE_TIMEOUT_PERCENT / 100)) {
            close_idle(conn);
        }
        break;
    case CQ_INBOUND_HEAD:
        if (is_too_late(conn, now_us, conn->inbound->head_timeout_us)) {
            reject(conn, 408, "{\"code\":\"head_too_slow\",\"ran\":\"no\"}");
        }
        break;
    case CQ_INBOUND_BODY:
        if (is_too_late(conn, now_us, BODY_TIMEOUT_US)) {
            reject(conn, 408, "{\"code\":\"body_too_slow\",\"ran\":\"no\"}");
        }
        break;
    case CQ_INBOUND_CLOSING:
        if (cq_sock_undelivered_bytes(conn->sock) == 0 &&
            now_us - conn->state_since_us > CQ_CLOSING_TIMEOUT_US) {
            finish_closing(conn);
        }
        break;
    case CQ_INBOUND_ANSWERING:
        break;
    }
}

void
cq_inbound_check_timeouts(cq_inbound_t *inbound)
{
    gint64 now_us = g_get_monotonic_time();
    cq_list_t *link = inbound->conns.next;
    while (link != &inbound->conns) {
        cq_inbound_conn_t *conn = CQ_ENTRY(link, cq_inbound_conn_t, link);
        link = link->next;
        check_timeout(conn, now_us);
    }
}

guint
cq_inbound_unfinished(const cq_inbound_t *inbound)
{
    guint unfinished = 0;
    const cq_list_t *link = inbound->conns.next;
    for (; link != &inbound->conns; link = link->next) {
        const cq_inbound_conn_t *conn =
            CQ_ENTRY(link, cq_inbound_conn_t, link);
        gboolean open =
            conn->state > CQ_INBOUND_IDLE && conn->state < CQ_INBOUND_CLOSING;
        gboolean waits =
            conn->state == CQ_INBOUND_IDLE && cq_sock_has_unread(conn->sock);
        if (open || waits || cq_sock_undelivered_bytes(conn->sock) > 0) {
            unfinished++;
        }
    }
    return unfinished;
}

guint64
cq_inbound_refused(const cq_inbound_t *inbound)
{
    return inbound->refused;
}
