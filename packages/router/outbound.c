#include "router/outbound.h"

#include <string.h>

#include "base/limits.h"
#include "base/list.h"
#include "http/sock.h"
#include "platform/headers.h"

/* Kept back from the time that an upstream says it keeps a connection. */
#define KEEP_MARGIN_US (1500 * CQ_MS_US)
/* How long a connection is kept when its upstream does not say. */
#define KEEP_US (4 * CQ_SECOND_US)
/* An answer of a plain call is held whole before it goes on. */
#define ANSWER_BYTES_MAX (16 * 1024 * 1024)
#define EVENT_END "\n\n"
#define EVENT_ID "id:"

typedef struct call call_t;

typedef struct {
    cq_list_t link;
    cq_outbound_t *outbound;
    cq_sock_t *sock;
    cq_h1_t *reader;
    guint64 upstream;
    guint64 incarnation;
    call_t *call;
    gint64 idle_until_us;
    gboolean used;
    gboolean gone;
    guint refs;
} conn_t;

/* One attempt. It stays after its connection for the core's answer. */
struct call {
    guint64 request;
    guint32 attempt;
    conn_t *conn;
    cq_outbound_t *outbound;
    char *attempt_id;
    cq_h1_head_t head;
    cq_response_fields_t reply;
    gboolean headed;
    gboolean sent;
    gboolean over;
    GByteArray *partial;
    GByteArray *body;
    gint64 last_event;
    gint64 events;
};

struct cq_outbound {
    cq_outbound_ops_t ops;
    GHashTable *by_request;
    cq_list_t idle;
    cq_list_t busy;
};

static void
conn_unref(conn_t *conn)
{
    if (--conn->refs > 0) {
        return;
    }
    cq_h1_free(conn->reader);
    g_free(conn);
}

static void
conn_drop(conn_t *conn)
{
    if (conn->gone) {
        return;
    }
    conn->gone = TRUE;
    if (conn->call != NULL) {
        conn->call->conn = NULL;
        conn->call = NULL;
    }
    cq_list_remove(&conn->link);
    cq_sock_abort(conn->sock);
    conn_unref(conn);
}

static void
call_free(gpointer data)
{
    call_t *call = data;
    if (call->conn != NULL) {
        conn_drop(call->conn);
    }
    cq_h1_clear_head(&call->head);
    g_byte_array_unref(call->partial);
    g_byte_array_unref(call->body);
    g_free(call->attempt_id);
    g_free(call);
}

static void
post(const call_t *call, cq_event_kind_t kind, cq_event_t *event)
{
    event->kind = kind;
    event->attempt.request = call->request;
    event->attempt.attempt = call->attempt;
    call->outbound->ops.post(event, call->outbound->ops.data);
}

/* The connection of a call that is over is no longer its own. */
static conn_t *
detach(call_t *call)
{
    conn_t *conn = call->conn;
    call->over = TRUE;
    if (conn != NULL) {
        conn->call = NULL;
        call->conn = NULL;
    }
    return conn;
}

/* Ends a call and the connection that it still has. */
static void
cut(call_t *call)
{
    conn_t *conn = detach(call);
    if (conn != NULL) {
        conn_drop(conn);
    }
}

static void
fail(call_t *call, cq_failure_t failure)
{
    if (call->over) {
        return;
    }
    cut(call);
    cq_event_t event = {.attempt = {.failure = failure}};
    post(call, CQ_EV_FAILED, &event);
}

/* The upstream did not run it, because of itself or of one that helps it. */
static void
refused(call_t *call, const cq_response_fields_t *reply)
{
    cut(call);
    cq_event_t event = {.attempt = {.failure = CQ_FAIL_REFUSED}};
    if (reply->stranger) {
        event.attempt.failure = CQ_FAIL_LEAVING;
    }
    if (reply->at_fault != NULL) {
        g_strlcpy(event.attempt.at_fault, reply->at_fault,
                  sizeof event.attempt.at_fault);
    }
    post(call, CQ_EV_FAILED, &event);
}

static void
post_sent(call_t *call)
{
    call->sent = TRUE;
    cq_event_t event = {.attempt = {.tokens = 0}};
    post(call, CQ_EV_SENT, &event);
}

static gboolean
succeeds(const cq_h1_head_t *head)
{
    return head->status >= 200 && head->status < 300;
}

static void
on_head(void *data, const cq_h1_head_t *head)
{
    conn_t *conn = data;
    call_t *call = conn->call;
    if (call == NULL) {
        return;
    }
    cq_response_fields_t reply = cq_headers_parse_response(head);
    gboolean ours = call->attempt_id == NULL || reply.attempt_id == NULL ||
                    strcmp(call->attempt_id, reply.attempt_id) == 0;
    if (!ours) {
        /* An answer to an earlier request on this connection. */
        fail(call, CQ_FAIL_BROKEN);
        return;
    }
    if (reply.stranger || reply.not_run) {
        refused(call, &reply);
        return;
    }
    if (succeeds(head) && (!reply.sealed || reply.coded)) {
        fail(call, CQ_FAIL_BROKEN);
        return;
    }
    cq_h1_copy_head(&call->head, head);
    call->headed = TRUE;
    call->reply = reply;
    call->reply.attempt_id = NULL;
}

static gint64
event_id(const char *event, gsize len)
{
    const char *end = event + len;
    while (event < end) {
        if (g_str_has_prefix(event, EVENT_ID)) {
            return g_ascii_strtoll(event + strlen(EVENT_ID), NULL, 10);
        }
        const char *line = memchr(event, '\n', (gsize)(end - event));
        event = line != NULL ? line + 1 : end;
    }
    return -1;
}

/* Takes whole events only: what a broken stream leaves torn is never passed
 * on, and its next run begins with the event after the last whole one. */
static void
take_events(call_t *call)
{
    gint64 taken = 0;
    GByteArray *partial = call->partial;
    /* Ends the text for the searches. */
    g_byte_array_append(partial, (const guint8 *)"", 1);
    const char *at = (const char *)partial->data;
    const char *end = strstr(at, EVENT_END);
    while (end != NULL) {
        gsize len = (gsize)(end - at) + strlen(EVENT_END);
        gint64 id = event_id(at, len);
        if (id < 0 || id > call->last_event) {
            g_byte_array_append(call->body, (const guint8 *)at, (guint)len);
            call->last_event = MAX(id, call->last_event);
            taken++;
        }
        at += len;
        end = strstr(at, EVENT_END);
    }
    gsize whole = (gsize)(at - (const char *)partial->data);
    g_byte_array_set_size(partial, partial->len - 1);
    g_byte_array_remove_range(partial, 0, (guint)whole);
    if (taken > 0) {
        call->events += taken;
        cq_event_t event = {.attempt = {.tokens = taken}};
        post(call, CQ_EV_TOKENS, &event);
    }
}

static gboolean
streams(const call_t *call)
{
    return call->reply.stream && succeeds(&call->head);
}

static void
on_body(void *data, const char *bytes, gsize len)
{
    conn_t *conn = data;
    call_t *call = conn->call;
    if (call == NULL || !call->headed) {
        return;
    }
    if (streams(call)) {
        g_byte_array_append(call->partial, (const guint8 *)bytes, (guint)len);
        take_events(call);
        return;
    }
    if (call->body->len + len > ANSWER_BYTES_MAX) {
        fail(call, CQ_FAIL_BROKEN);
        return;
    }
    g_byte_array_append(call->body, (const guint8 *)bytes, (guint)len);
}

static void
keep(conn_t *conn, const call_t *call)
{
    gint64 keep_us = KEEP_US;
    if (call->reply.keep_us > 0) {
        keep_us = call->reply.keep_us - KEEP_MARGIN_US;
    }
    gboolean whole = cq_sock_unwritten_bytes(conn->sock) == 0;
    if (!call->head.keep || !call->head.sized || keep_us <= 0 || !whole) {
        conn_drop(conn);
        return;
    }
    conn->idle_until_us = g_get_monotonic_time() + keep_us;
    cq_list_remove(&conn->link);
    cq_list_prepend(&conn->outbound->idle, &conn->link);
}

static void
on_done(void *data)
{
    conn_t *conn = data;
    call_t *call = conn->call;
    if (call == NULL || !call->headed) {
        return;
    }
    if (call->partial->len > 0) {
        fail(call, CQ_FAIL_BROKEN);
        return;
    }
    detach(call);
    keep(conn, call);
    cq_event_t event = {.attempt = {.status = call->head.status}};
    if (call->head.status >= 500) {
        event.attempt.failure = CQ_FAIL_FAULT;
        post(call, CQ_EV_FAILED, &event);
        return;
    }
    post(call, CQ_EV_DONE, &event);
}

static void
on_opened(void *data)
{
    conn_t *conn = data;
    if (conn->call != NULL && !conn->call->sent) {
        post_sent(conn->call);
    }
}

static void
on_received(void *data, const char *bytes, gsize len)
{
    conn_t *conn = data;
    conn->refs++;
    while (len > 0 && !conn->gone) {
        if (conn->call == NULL) {
            /* Nothing was asked: these bytes belong to no request. */
            conn_drop(conn);
            break;
        }
        gsize used = cq_h1_feed(conn->reader, bytes, len);
        bytes += used;
        len -= used;
        if (cq_h1_error(conn->reader) != CQ_H1_OK) {
            if (conn->call != NULL) {
                fail(conn->call, CQ_FAIL_BROKEN);
            }
            conn_drop(conn);
        }
    }
    conn_unref(conn);
}

static void
on_ended(void *data, cq_sock_end_t how)
{
    conn_t *conn = data;
    conn->refs++;
    if (how == CQ_SOCK_EOF && conn->call != NULL) {
        cq_h1_connection_closed(conn->reader);
    }
    if (conn->call != NULL) {
        gboolean unsent = how == CQ_SOCK_REFUSED && !conn->call->sent;
        fail(conn->call, unsent ? CQ_FAIL_CONNECT : CQ_FAIL_BROKEN);
    }
    conn_drop(conn);
    conn_unref(conn);
}

static conn_t *
dial(cq_outbound_t *outbound, const cq_outbound_call_t *call)
{
    conn_t *conn = g_new0(conn_t, 1);
    conn->outbound = outbound;
    conn->upstream = call->upstream;
    conn->incarnation = call->incarnation;
    conn->refs = 1;
    cq_list_init(&conn->link);
    cq_list_append(&outbound->busy, &conn->link);
    cq_h1_options_t options = {
        .answers = TRUE,
        .ops = {.head = on_head,
                .body = on_body,
                .done = on_done,
                .data = conn},
    };
    conn->reader = cq_h1_new(&options);
    cq_sock_ops_t ops = {
        .opened = on_opened,
        .received = on_received,
        .ended = on_ended,
        .data = conn,
    };
    conn->sock = cq_sock_connect(call->addr, &ops);
    return conn;
}

static conn_t *
idle_conn(cq_outbound_t *outbound, const cq_outbound_call_t *call)
{
    gint64 now_us = g_get_monotonic_time();
    cq_list_t *link = outbound->idle.next;
    for (; link != &outbound->idle; link = link->next) {
        conn_t *conn = CQ_ENTRY(link, conn_t, link);
        if (conn->upstream == call->upstream &&
            conn->incarnation == call->incarnation &&
            conn->idle_until_us > now_us) {
            cq_list_remove(&conn->link);
            cq_list_append(&outbound->busy, &conn->link);
            return conn;
        }
    }
    return NULL;
}

static void
drop_all(cq_list_t *conns)
{
    while (!cq_list_empty(conns)) {
        conn_drop(CQ_ENTRY(conns->next, conn_t, link));
    }
}

cq_outbound_t *
cq_outbound_new(const cq_outbound_ops_t *ops)
{
    cq_outbound_t *outbound = g_new0(cq_outbound_t, 1);
    outbound->ops = *ops;
    outbound->by_request =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, call_free);
    cq_list_init(&outbound->idle);
    cq_list_init(&outbound->busy);
    return outbound;
}

void
cq_outbound_free(cq_outbound_t *outbound)
{
    g_hash_table_unref(outbound->by_request);
    drop_all(&outbound->idle);
    drop_all(&outbound->busy);
    g_free(outbound);
}

void
cq_outbound_send(cq_outbound_t *outbound, const cq_outbound_call_t *from)
{
    call_t *call = g_new0(call_t, 1);
    call->request = from->request;
    call->attempt = from->attempt;
    call->outbound = outbound;
    call->attempt_id = g_strdup(from->attempt_id);
    call->partial = g_byte_array_new();
    call->body = g_byte_array_new();
    call->last_event = from->last_event;
    g_hash_table_replace(outbound->by_request, &call->request, call);
    conn_t *conn = from->fresh ? NULL : idle_conn(outbound, from);
    if (conn == NULL) {
        conn = dial(outbound, from);
    }
    conn->call = call;
    call->conn = conn;
    cq_h1_set_request_method(conn->reader, from->method);
    cq_sock_write(conn->sock, from->head->str, from->head->len);
    if (from->body->len > 0) {
        cq_sock_write(conn->sock, from->body->data, from->body->len);
    }
    if (cq_sock_is_open(conn->sock)) {
        post_sent(call);
    }
}

static call_t *
find(cq_outbound_t *outbound, guint64 request)
{
    return g_hash_table_lookup(outbound->by_request, &request);
}

void
cq_outbound_stop(cq_outbound_t *outbound, guint64 request, guint32 attempt)
{
    call_t *call = find(outbound, request);
    if (call == NULL || call->attempt != attempt) {
        return;
    }
    cut(call);
}

gboolean
cq_outbound_answer(cq_outbound_t *outbound, guint64 request,
                   cq_outbound_answer_t *answer)
{
    call_t *call = find(outbound, request);
    if (call == NULL) {
        return FALSE;
    }
    answer->head = call->headed ? &call->head : NULL;
    answer->body = call->body;
    answer->last_event = call->last_event;
    return TRUE;
}

void
cq_outbound_drop(cq_outbound_t *outbound, guint64 request)
{
    g_hash_table_remove(outbound->by_request, &request);
}

void
cq_outbound_hold(cq_outbound_t *outbound, guint64 request, gboolean hold)
{
    call_t *call = find(outbound, request);
    if (call != NULL && call->conn != NULL) {
        cq_sock_pause_reading(call->conn->sock, hold);
    }
}

void
cq_outbound_check(cq_outbound_t *outbound)
{
    gint64 now_us = g_get_monotonic_time();
    cq_list_t *link = outbound->idle.next;
    while (link != &outbound->idle) {
        conn_t *conn = CQ_ENTRY(link, conn_t, link);
        link = link->next;
        if (conn->idle_until_us <= now_us) {
            conn_drop(conn);
        }
    }
}

void
cq_outbound_forget_idle(cq_outbound_t *outbound)
{
    drop_all(&outbound->idle);
}
