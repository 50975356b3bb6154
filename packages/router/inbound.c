#include "router/inbound.h"

#include <string.h>

#include "base/limits.h"
#include "base/list.h"
#include "http/sock.h"

/* Bytes of further requests kept while one is being answered. */
#define AHEAD_BYTES_MAX (64 * 1024)
/* A body must have arrived within so long after its head. */
#define BODY_TIMEOUT_US (10 * CQ_SECOND_US)
/* An idle connection is kept a little longer than promised. */
#define IDLE_PERCENT 120

typedef enum {
    STATE_IDLE,    /* no byte of a request has come */
    STATE_HEAD,    /* part of a head has come */
    STATE_BODY,    /* the head is complete */
    STATE_ASKED,   /* the request is complete, the answer is not */
    STATE_CLOSING, /* nothing more is read */
} state_t;

typedef struct {
    cq_list_t link;
    cq_inbound_t *inbound;
    cq_sock_t *sock;
    cq_h1_t *reader;
    state_t state;
    gint64 since_us;
    GByteArray *ahead;
    cq_exchange_t *exchange;
    gboolean feeding;
    gboolean gone;
    guint refs;
} conn_t;

struct cq_exchange {
    conn_t *conn;
    cq_h1_head_t head;
    GByteArray *body;
    gboolean too_long;
    gboolean chunked;
    gboolean begun;
    gboolean asked;
    void *owner;
};

struct cq_inbound {
    cq_inbound_ops_t ops;
    cq_list_t conns;
    guint listener;
    guint busy;
    gboolean leaving;
    gsize head_bytes_max;
    gsize body_bytes_max;
    gint64 head_timeout_us;
    gint64 idle_timeout_us;
};

static void
feed(conn_t *conn);

static void
exchange_free(cq_exchange_t *exchange)
{
    exchange->conn->exchange = NULL;
    if (exchange->asked) {
        exchange->conn->inbound->busy--;
    }
    cq_h1_clear_head(&exchange->head);
    g_byte_array_unref(exchange->body);
    g_free(exchange);
}

static void
conn_unref(conn_t *conn)
{
    if (--conn->refs > 0) {
        return;
    }
    cq_h1_free(conn->reader);
    g_byte_array_unref(conn->ahead);
    g_free(conn);
}

/* Forgets a connection whose socket is already being closed. */
static void
conn_drop(conn_t *conn)
{
    if (conn->gone) {
        return;
    }
    conn->gone = TRUE;
    conn->state = STATE_CLOSING;
    if (conn->exchange != NULL) {
        exchange_free(conn->exchange);
    }
    cq_list_remove(&conn->link);
    conn_unref(conn);
}

static void
set_state(conn_t *conn, state_t state)
{
    conn->state = state;
    conn->since_us = g_get_monotonic_time();
}

static void
close_after_writing(conn_t *conn)
{
    cq_sock_close_when_written(conn->sock);
    conn_drop(conn);
}

static void
add_own_head(GString *out, int status, const char *extra, gsize len,
             gboolean keep)
{
    g_string_append_printf(out,
                           "HTTP/1.1 %d %s\r\n%sContent-Type: "
                           "application/json\r\nContent-Length: %zu\r\n%s\r\n",
                           status, cq_h1_reason_phrase(status), extra, len,
                           keep ? "" : "Connection: close\r\n");
}

/* Answers what is no proper request, and closes. */
static void
reject(conn_t *conn, int status, const char *text)
{
    GString *out = g_string_new("");
    add_own_head(out, status, "", strlen(text), FALSE);
    g_string_append(out, text);
    cq_sock_write(conn->sock, out->str, out->len);
    g_string_free(out, TRUE);
    close_after_writing(conn);
}

static void
on_head(void *data, const cq_h1_head_t *head)
{
    conn_t *conn = data;
    cq_exchange_t *exchange = g_new0(cq_exchange_t, 1);
    exchange->conn = conn;
    cq_h1_copy_head(&exchange->head, head);
    exchange->body = g_byte_array_new();
    conn->exchange = exchange;
    set_state(conn, STATE_BODY);
    if (head->expects) {
        const char *go_on = "HTTP/1.1 100 Continue\r\n\r\n";
        cq_sock_write(conn->sock, go_on, strlen(go_on));
    }
}

static void
on_body(void *data, const char *bytes, gsize len)
{
    conn_t *conn = data;
    cq_exchange_t *exchange = conn->exchange;
    if (exchange->body->len + len > conn->inbound->body_bytes_max) {
        exchange->too_long = TRUE;
        return;
    }
    g_byte_array_append(exchange->body, (const guint8 *)bytes, (guint)len);
}

static void
on_done(void *data)
{
    conn_t *conn = data;
    cq_exchange_t *exchange = conn->exchange;
    set_state(conn, STATE_ASKED);
    if (exchange->too_long) {
        return;
    }
    exchange->asked = TRUE;
    conn->inbound->busy++;
    conn->inbound->ops.asked(exchange, conn->inbound->ops.data);
}

static const char *
fault_of(conn_t *conn, int *status)
{
    cq_h1_error_t fault = cq_h1_error(conn->reader);
    if (fault == CQ_H1_HEAD_TOO_LONG) {
        *status = 431;
        return "{\"code\":\"head_too_long\",\"ran\":\"no\"}";
    }
    if (fault == CQ_H1_SYNTAX) {
        *status = 400;
        return "{\"code\":\"bad_request\",\"ran\":\"no\"}";
    }
    if (conn->exchange != NULL && conn->exchange->too_long) {
        *status = 413;
        return "{\"code\":\"body_too_long\",\"ran\":\"no\"}";
    }
    return NULL;
}

/* Reads what has come, one request at a time. */
static void
feed(conn_t *conn)
{
    if (conn->feeding) {
        return;
    }
    conn->feeding = TRUE;
    conn->refs++;
    while (!conn->gone && conn->ahead->len > 0 && conn->state < STATE_ASKED) {
        if (conn->state == STATE_IDLE) {
            set_state(conn, STATE_HEAD);
        }
        /* The reader may be asked for more by what it calls. */
        GByteArray *bytes = conn->ahead;
        conn->ahead = g_byte_array_new();
        gsize used =
            cq_h1_feed(conn->reader, (const char *)bytes->data, bytes->len);
        int status = 0;
        const char *text = conn->gone ? NULL : fault_of(conn, &status);
        if (text != NULL) {
            reject(conn, status, text);
        }
        else if (used < bytes->len) {
            g_byte_array_prepend(conn->ahead, bytes->data + used,
                                 bytes->len - (guint)used);
        }
        g_byte_array_unref(bytes);
    }
    conn->feeding = FALSE;
    conn_unref(conn);
}

static void
on_received(void *data, const char *bytes, gsize len)
{
    conn_t *conn = data;
    g_byte_array_append(conn->ahead, (const guint8 *)bytes, (guint)len);
    if (conn->state == STATE_ASKED && conn->ahead->len > AHEAD_BYTES_MAX) {
        cq_sock_pause_reading(conn->sock, TRUE);
    }
    feed(conn);
}

static void
on_ended(void *data, cq_sock_end_t how)
{
    (void)how;
    conn_t *conn = data;
    cq_inbound_t *inbound = conn->inbound;
    conn->refs++;
    if (conn->exchange != NULL && conn->exchange->asked) {
        inbound->ops.left(conn->exchange, inbound->ops.data);
    }
    cq_sock_abort(conn->sock);
    conn_drop(conn);
    conn_unref(conn);
}

static void
on_drained(void *data)
{
    conn_t *conn = data;
    if (conn->exchange != NULL && conn->exchange->begun) {
        conn->inbound->ops.drained(conn->exchange, conn->inbound->ops.data);
    }
}

static void
on_accepted(int fd, void *data)
{
    cq_inbound_t *inbound = data;
    conn_t *conn = g_new0(conn_t, 1);
    conn->inbound = inbound;
    conn->refs = 1;
    conn->ahead = g_byte_array_new();
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
        .drained = on_drained,
        .data = conn,
    };
    set_state(conn, STATE_IDLE);
    conn->sock = cq_sock_from_fd(fd, &ops);
}

/* The answer is written: the next request, or the end of the connection. */
static void
finish(cq_exchange_t *exchange)
{
    conn_t *conn = exchange->conn;
    gboolean keep = exchange->head.keep && !conn->inbound->leaving;
    exchange_free(exchange);
    if (!keep) {
        close_after_writing(conn);
        return;
    }
    set_state(conn, STATE_IDLE);
    cq_sock_pause_reading(conn->sock, FALSE);
    feed(conn);
}

static void
add_fields(const cq_exchange_t *exchange, GString *out,
           const cq_h1_head_t *head)
{
    g_string_append_printf(out, "HTTP/1.1 %d %s\r\n", head->status,
                           cq_h1_reason_phrase(head->status));
    for (guint i = 0; i < head->fields->len; i++) {
        const cq_h1_field_t *field =
            &g_array_index(head->fields, cq_h1_field_t, i);
        if (!cq_h1_is_hop_by_hop(head, field->name) &&
            g_ascii_strcasecmp(field->name, "Content-Length") != 0) {
            g_string_append_printf(out, "%s: %s\r\n", field->name,
                                   field->value);
        }
    }
    if (!exchange->head.keep || exchange->conn->inbound->leaving) {
        g_string_append(out, "Connection: close\r\n");
    }
}

cq_inbound_t *
cq_inbound_new(const cq_inbound_ops_t *ops)
{
    cq_inbound_t *inbound = g_new0(cq_inbound_t, 1);
    inbound->ops = *ops;
    cq_list_init(&inbound->conns);
    cq_routes_t *defaults = cq_routes_new();
    cq_inbound_limits(inbound, defaults);
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
cq_inbound_free(cq_inbound_t *inbound)
{
    if (inbound->listener != 0) {
        g_source_remove(inbound->listener);
    }
    while (!cq_list_empty(&inbound->conns)) {
        conn_t *conn = CQ_ENTRY(inbound->conns.next, conn_t, link);
        cq_sock_abort(conn->sock);
        conn_drop(conn);
    }
    g_free(inbound);
}

void
cq_inbound_limits(cq_inbound_t *inbound, const cq_routes_t *routes)
{
    inbound->head_bytes_max = routes->head_bytes_max;
    inbound->body_bytes_max = routes->body_bytes_max;
    inbound->head_timeout_us = routes->head_timeout_us;
    inbound->idle_timeout_us = routes->idle_timeout_us;
}

void
cq_inbound_leave(cq_inbound_t *inbound)
{
    inbound->leaving = TRUE;
}

void
cq_inbound_close_idle(cq_inbound_t *inbound)
{
    cq_list_t *link = inbound->conns.next;
    while (link != &inbound->conns) {
        conn_t *conn = CQ_ENTRY(link, conn_t, link);
        link = link->next;
        if (conn->state == STATE_IDLE) {
            close_after_writing(conn);
        }
    }
}

static void
check(conn_t *conn, gint64 now_us)
{
    const cq_inbound_t *inbound = conn->inbound;
    gint64 passed_us = now_us - conn->since_us;
    switch (conn->state) {
    case STATE_IDLE:
        if (passed_us > inbound->idle_timeout_us * IDLE_PERCENT / 100) {
            close_after_writing(conn);
        }
        break;
    case STATE_HEAD:
        if (passed_us > inbound->head_timeout_us) {
            reject(conn, 408, "{\"code\":\"head_too_slow\",\"ran\":\"no\"}");
        }
        break;
    case STATE_BODY:
        if (passed_us > BODY_TIMEOUT_US) {
            reject(conn, 408, "{\"code\":\"body_too_slow\",\"ran\":\"no\"}");
        }
        break;
    case STATE_ASKED:
    case STATE_CLOSING:
        break;
    }
}

void
cq_inbound_check(cq_inbound_t *inbound)
{
    gint64 now_us = g_get_monotonic_time();
    cq_list_t *link = inbound->conns.next;
    while (link != &inbound->conns) {
        conn_t *conn = CQ_ENTRY(link, conn_t, link);
        link = link->next;
        check(conn, now_us);
    }
}

guint
cq_inbound_busy(const cq_inbound_t *inbound)
{
    return inbound->busy;
}

const cq_h1_head_t *
cq_exchange_head(const cq_exchange_t *exchange)
{
    return &exchange->head;
}

const GByteArray *
cq_exchange_body(const cq_exchange_t *exchange)
{
    return exchange->body;
}

void
cq_exchange_set(cq_exchange_t *exchange, void *owner)
{
    exchange->owner = owner;
}

void *
cq_exchange_owner(const cq_exchange_t *exchange)
{
    return exchange->owner;
}

static gboolean
bodiless(const cq_exchange_t *exchange, int status)
{
    return strcmp(exchange->head.method, "HEAD") == 0 || status == 204 ||
           status == 304;
}

void
cq_exchange_answer(cq_exchange_t *exchange, const cq_h1_head_t *head,
                   const void *body, gsize len)
{
    GString *out = g_string_new("");
    add_fields(exchange, out, head);
    gboolean bare = bodiless(exchange, head->status);
    if (!bare || len > 0) {
        g_string_append_printf(out, "Content-Length: %zu\r\n", len);
    }
    g_string_append(out, "\r\n");
    if (!bare) {
        g_string_append_len(out, body, (gssize)len);
    }
    cq_sock_write(exchange->conn->sock, out->str, out->len);
    g_string_free(out, TRUE);
    finish(exchange);
}

void
cq_exchange_refuse(cq_exchange_t *exchange, int status, const char *extra,
                   const char *text)
{
    gboolean keep = exchange->head.keep && !exchange->conn->inbound->leaving;
    GString *out = g_string_new("");
    add_own_head(out, status, extra, strlen(text), keep);
    if (!bodiless(exchange, status)) {
        g_string_append(out, text);
    }
    cq_sock_write(exchange->conn->sock, out->str, out->len);
    g_string_free(out, TRUE);
    finish(exchange);
}

void
cq_exchange_begin(cq_exchange_t *exchange, const cq_h1_head_t *head)
{
    exchange->begun = TRUE;
    GString *out = g_string_new("");
    add_fields(exchange, out, head);
    /* To an HTTP/1.0 caller the end of the connection ends the body. */
    exchange->chunked = !exchange->head.old;
    g_string_append(out, exchange->chunked
                             ? "Transfer-Encoding: chunked\r\n\r\n"
                             : "\r\n");
    cq_sock_write(exchange->conn->sock, out->str, out->len);
    g_string_free(out, TRUE);
}

gsize
cq_exchange_write(cq_exchange_t *exchange, const void *bytes, gsize len)
{
    cq_sock_t *sock = exchange->conn->sock;
    if (!exchange->chunked) {
        cq_sock_write(sock, bytes, len);
        return cq_sock_unwritten_bytes(sock);
    }
    GString *out = g_string_new("");
    cq_h1_append_chunk(out, bytes, len);
    cq_sock_write(sock, out->str, out->len);
    g_string_free(out, TRUE);
    return cq_sock_unwritten_bytes(sock);
}

void
cq_exchange_end(cq_exchange_t *exchange)
{
    const char *last = "0\r\n\r\n";
    if (exchange->chunked) {
        cq_sock_write(exchange->conn->sock, last, strlen(last));
    }
    finish(exchange);
}

void
cq_exchange_cut(cq_exchange_t *exchange)
{
    conn_t *conn = exchange->conn;
    cq_sock_abort(conn->sock);
    conn_drop(conn);
}
