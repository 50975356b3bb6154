#include "router/outbound.h"

#include <string.h>

#include "base/limits.h"
#include "base/list.h"
#include "http/sock.h"
#include "platform/headers.h"
#include "router/events.h"

/* An idle connection is closed this long before the end of the keep-alive time
 * announced by the upstream, so that no request meets a closing connection. */
#define KEEP_ALIVE_MARGIN_US (1500 * CQ_MS_US)
/* How long an idle connection is kept if the upstream announces no time. */
#define KEEP_ALIVE_DEFAULT_US (4 * CQ_SECOND_US)
/* Longest time that an idle connection to a peer is kept: a peer may close the
 * connections of its callers at any time, for example when it leaves. */
#define PEER_IDLE_MAX_US (2 * CQ_SECOND_US)
/* Longest body of an answer that is not a stream. Such an answer is buffered
 * completely before it is forwarded. */
#define BODY_BYTES_MAX (16 * 1024 * 1024)
/* Bytes of all such bodies together; the answer that exceeds it is broken off.
 * Buffers grow to twice that, which the smallest host can hold. */
#define ALL_BODIES_BYTES_MAX (48 * 1024 * 1024)

/* HTTP status of a success that has no body, whatever type it states. */
#define NO_CONTENT 204

typedef struct call call_t;

/* complete: the answer to its call has been read, and end_call() is due */
typedef struct {
    cq_list_t link;
    cq_outbound_t *outbound;
    cq_sock_t *sock;
    cq_h1_t *reader;
    guint64 upstream;
    guint64 incarnation;
    gboolean to_peer;
    call_t *call;
    gint64 idle_until_us;
    gboolean complete;
    gboolean closed;
    guint refs;
} conn_t;

/* One attempt. It is kept until the core has answered the request, also if its
 * connection has ended before.
 * on_kept_conn: the connection was kept from an earlier request
 * to_peer: the call is to another entry host, not to an upstream
 * runs_once: the request must not be repeated
 * conditional: the caller names a condition
 * events: the answer as a stream; its @whole is the body of any other one */
struct call {
    guint64 request;
    guint32 attempt;
    guint64 upstream;
    guint64 incarnation;
    conn_t *conn;
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
};

struct cq_outbound {
    cq_outbound_ops_t ops;
    GHashTable *by_request;
    cq_list_t idle;
    cq_list_t busy;
    gsize buffered; /* bytes of bodies that are no streams */
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
conn_close(conn_t *conn)
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
    conn_unref(conn);
}

static gboolean
is_stream(const call_t *call)
{
    return call->reply.stream && cq_h1_is_success(&call->head) &&
           call->head.status != NO_CONTENT;
}

static void
call_free(gpointer data)
{
    call_t *call = data;
    if (call->conn != NULL) {
        conn_close(call->conn);
    }
    if (!is_stream(call)) {
        call->outbound->buffered -= call->events.whole->len;
    }
    cq_h1_clear_head(&call->head);
    g_byte_array_unref(call->events.unparsed);
    g_byte_array_unref(call->events.whole);
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

/* Ends @call and detaches its connection. Return: the connection, or NULL if
 * @call had none any more. */
static conn_t *
detach(call_t *call)
{
    conn_t *conn = call->conn;
    call->ended = TRUE;
    if (conn != NULL) {
        conn->call = NULL;
        call->conn = NULL;
    }
    return conn;
}

/* Ends @call and closes its connection, if it has one. */
static void
abort_call(call_t *call)
{
    conn_t *conn = detach(call);
    if (conn != NULL) {
        conn_close(conn);
    }
}

static void
fail(call_t *call, cq_failure_t failure)
{
    if (call->ended) {
        return;
    }
    abort_call(call);
    cq_event_t event = {
        .attempt = {.failure = failure, .on_kept_conn = call->on_kept_conn},
    };
    post(call, CQ_EV_FAILED, &event);
}

/* Reports that the upstream did not run the request. If a helper was the
 * cause, reply->at_fault is its address. */
static void
fail_refused(call_t *call, const cq_response_fields_t *reply)
{
    abort_call(call);
    cq_event_t event = {.attempt = {.failure = CQ_FAIL_REFUSED}};
    if (reply->misdirected && !call->conditional) {
        event.attempt.failure = CQ_FAIL_MISDIRECTED;
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
    cq_event_t event = {.attempt = {.on_kept_conn = call->on_kept_conn}};
    post(call, CQ_EV_SENT, &event);
}

/* Reported before the answer itself, so that a retry avoids the upstream. */
static void
report_upstream(const call_t *call, const cq_response_fields_t *reply)
{
    /* After 421 the address belongs to another upstream. */
    if (!reply->misdirected && (reply->leaving || reply->pause_us > 0 ||
                                reply->rate.kind != CQ_RATE_UNSTATED)) {
        cq_event_t event = {.kind = CQ_EV_UPSTREAM};
        event.upstream.upstream = call->upstream;
        event.upstream.incarnation = call->incarnation;
        event.upstream.leaving = reply->leaving;
        event.upstream.request = call->request;
        event.upstream.pause_us = reply->pause_us;
        event.upstream.rate = reply->rate;
        call->outbound->ops.post(&event, call->outbound->ops.data);
    }
}

/* An answer without an id on a kept connection may be for an earlier request;
 * on a new connection there is none. A peer's own refusals have no id. */
static gboolean
answers_call(const call_t *call, const cq_response_fields_t *reply)
{
    if (call->attempt_id == NULL || reply->attempt_id == NULL) {
        return !call->on_kept_conn || call->to_peer;
    }
    return strcmp(call->attempt_id, reply->attempt_id) == 0;
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
    if (!answers_call(call, &reply)) {
        fail(call, CQ_FAIL_BROKEN);
        return;
    }
    /* A peer's refusal is its answer to the caller, and says nothing of an
     * upstream of this host. */
    if (!call->to_peer) {
        report_upstream(call, &reply);
        if (reply.misdirected || reply.not_run) {
            fail_refused(call, &reply);
            return;
        }
    }
    if (cq_h1_is_success(head) && (!reply.sealed || reply.content_encoded)) {
        fail(call, CQ_FAIL_BROKEN);
        return;
    }
    if (call->runs_once && !call->to_peer && reply.unproven) {
        fail(call, CQ_FAIL_BROKEN);
        return;
    }
    cq_h1_copy_head(&call->head, head);
    call->head_received = TRUE;
    call->reply = reply;
    call->reply.attempt_id = NULL;
}

/* Passes whole events on. */
static void
forward_events(call_t *call)
{
    cq_events_split_t split = cq_events_split(&call->events);
    if (split.count > 0) {
        cq_event_t event = {
            .attempt = {.tokens = split.count, .unnumbered = split.unnumbered},
        };
        post(call, CQ_EV_TOKENS, &event);
    }
    if (split.unfit ||
        call->events.unparsed->len > CQ_STREAM_EVENT_BYTES_MAX) {
        fail(call, CQ_FAIL_BROKEN);
    }
}

static void
on_body(void *data, const char *bytes, gsize len)
{
    conn_t *conn = data;
    call_t *call = conn->call;
    if (call == NULL || !call->head_received) {
        return;
    }
    if (is_stream(call)) {
        g_byte_array_append(call->events.unparsed, (const guint8 *)bytes,
                            (guint)len);
        forward_events(call);
        return;
    }
    cq_outbound_t *outbound = call->outbound;
    if (call->events.whole->len + len > BODY_BYTES_MAX ||
        outbound->buffered + len > ALL_BODIES_BYTES_MAX) {
        fail(call, CQ_FAIL_BROKEN);
        return;
    }
    outbound->buffered += len;
    g_byte_array_append(call->events.whole, (const guint8 *)bytes, (guint)len);
}

static void
keep_or_close(conn_t *conn, const call_t *call)
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
        conn_close(conn);
        return;
    }
    conn->idle_until_us = g_get_monotonic_time() + idle_max_us;
    cq_list_remove(&conn->link);
    cq_list_prepend(&conn->outbound->idle, &conn->link);
}

static void
on_done(void *data)
{
    conn_t *conn = data;
    conn->complete = TRUE;
}

/* Called when an answer is complete. A connection on which more bytes have
 * arrived isn't kept: they would answer the next request. */
static void
end_call(conn_t *conn, gboolean more_bytes)
{
    call_t *call = conn->call;
    conn->complete = FALSE;
    if (call == NULL || !call->head_received) {
        return;
    }
    gboolean cannot_resume = call->events.resumes && !is_stream(call);
    if (call->events.unparsed->len > 0 || cannot_resume) {
        fail(call, CQ_FAIL_BROKEN);
        return;
    }
    detach(call);
    if (more_bytes) {
        conn_close(conn);
    }
    else {
        keep_or_close(conn, call);
    }
    cq_event_t event = {.attempt = {.status = call->head.status}};
    if (call->head.status >= 500 && !call->to_peer) {
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
    while (len > 0 && !conn->closed) {
        if (conn->call == NULL) {
            /* No call is open: these bytes answer no request. */
            conn_close(conn);
            break;
        }
        gsize consumed = cq_h1_feed(conn->reader, bytes, len);
        bytes += consumed;
        len -= consumed;
        if (conn->complete) {
            end_call(conn, len > 0);
        }
        if (cq_h1_error(conn->reader) != CQ_H1_OK) {
            if (conn->call != NULL) {
                fail(conn->call, CQ_FAIL_BROKEN);
            }
            conn_close(conn);
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
    if (conn->complete) {
        end_call(conn, FALSE);
    }
    if (conn->call != NULL) {
        gboolean not_connected = how == CQ_SOCK_REFUSED && !conn->call->sent;
        fail(conn->call, not_connected ? CQ_FAIL_CONNECT : CQ_FAIL_BROKEN);
    }
    conn_close(conn);
    conn_unref(conn);
}

static conn_t *
open_conn(cq_outbound_t *outbound, const cq_outbound_call_t *spec)
{
    conn_t *conn = g_new0(conn_t, 1);
    conn->outbound = outbound;
    conn->upstream = spec->upstream;
    conn->incarnation = spec->incarnation;
    conn->to_peer = spec->to_peer;
    conn->refs = 1;
    cq_list_init(&conn->link);
    cq_list_append(&outbound->busy, &conn->link);
    cq_h1_options_t options = {
        .parse_responses = TRUE,
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
    conn->sock = cq_sock_connect(spec->addr, &ops);
    return conn;
}

static conn_t *
reuse_idle(cq_outbound_t *outbound, const cq_outbound_call_t *spec)
{
    gint64 now_us = g_get_monotonic_time();
    cq_list_t *link = outbound->idle.next;
    for (; link != &outbound->idle; link = link->next) {
        conn_t *conn = CQ_ENTRY(link, conn_t, link);
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

static void
close_all(cq_list_t *conns)
{
    while (!cq_list_empty(conns)) {
        conn_close(CQ_ENTRY(conns->next, conn_t, link));
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
    close_all(&outbound->idle);
    close_all(&outbound->busy);
    g_free(outbound);
}

void
cq_outbound_send(cq_outbound_t *outbound, const cq_outbound_call_t *spec)
{
    call_t *call = g_new0(call_t, 1);
    call->request = spec->request;
    call->attempt = spec->attempt;
    call->outbound = outbound;
    call->attempt_id = g_strdup(spec->attempt_id);
    call->events.unparsed = g_byte_array_new();
    call->events.whole = g_byte_array_new();
    call->upstream = spec->upstream;
    call->incarnation = spec->incarnation;
    call->events.last = spec->last_event;
    call->events.resumes = spec->last_event >= 0;
    call->to_peer = spec->to_peer;
    call->runs_once = spec->fresh;
    call->conditional = spec->conditional;
    g_hash_table_replace(outbound->by_request, &call->request, call);
    gboolean may_reuse = !spec->fresh && spec->attempt_id != NULL;
    conn_t *conn = may_reuse ? reuse_idle(outbound, spec) : NULL;
    call->on_kept_conn = conn != NULL;
    if (conn == NULL) {
        conn = open_conn(outbound, spec);
    }
    conn->call = call;
    call->conn = conn;
    cq_h1_set_request_method(conn->reader, spec->method);
    cq_sock_write(conn->sock, spec->head->str, spec->head->len);
    if (spec->body->len > 0) {
        cq_sock_write(conn->sock, spec->body->data, spec->body->len);
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
    abort_call(call);
}

gboolean
cq_outbound_answer(cq_outbound_t *outbound, guint64 request,
                   cq_outbound_answer_t *answer)
{
    call_t *call = find(outbound, request);
    if (call == NULL) {
        return FALSE;
    }
    answer->head = call->head_received ? &call->head : NULL;
    answer->body = call->events.whole;
    answer->last_event = call->events.last;
    return TRUE;
}

void
cq_outbound_remove(cq_outbound_t *outbound, guint64 request)
{
    g_hash_table_remove(outbound->by_request, &request);
}

void
cq_outbound_pause(cq_outbound_t *outbound, guint64 request, gboolean paused)
{
    call_t *call = find(outbound, request);
    if (call != NULL && call->conn != NULL) {
        cq_sock_pause_reading(call->conn->sock, paused);
    }
}

void
cq_outbound_close_expired(cq_outbound_t *outbound)
{
    gint64 now_us = g_get_monotonic_time();
    cq_list_t *link = outbound->idle.next;
    while (link != &outbound->idle) {
        conn_t *conn = CQ_ENTRY(link, conn_t, link);
        link = link->next;
        if (conn->idle_until_us <= now_us) {
            conn_close(conn);
        }
    }
}

void
cq_outbound_close_idle(cq_outbound_t *outbound)
{
    close_all(&outbound->idle);
}
