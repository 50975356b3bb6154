#include "router/outbound.h"

#include <string.h>

#include "base/limits.h"
#include "router/outboundstate.h"

/* From this length on an answer counts as large. */
#define LARGE_ANSWER_BYTES (64 * 1024)

/* HTTP status of a success that has no body, whatever type it states. */
#define NO_CONTENT 204

static gboolean
is_stream(const cq_outcall_t *call)
{
    return call->reply.stream && cq_h1_is_success(&call->head) &&
           call->head.status != NO_CONTENT;
}

static void
call_free(gpointer data)
{
    cq_outcall_t *call = data;
    if (call->older != NULL) {
        call_free(call->older);
    }
    if (call->conn != NULL) {
        cq_outconn_close(call->conn);
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
post(const cq_outcall_t *call, cq_event_kind_t kind, cq_event_t *event)
{
    event->kind = kind;
    event->attempt.request = call->request;
    event->attempt.attempt = call->attempt;
    call->outbound->ops.post(event, call->outbound->ops.data);
}

/* Ends @call and detaches its connection. Return: the connection, or NULL if
 * @call had none any more. */
static cq_outconn_t *
detach(cq_outcall_t *call)
{
    cq_outconn_t *conn = call->conn;
    call->ended = TRUE;
    if (conn != NULL) {
        conn->call = NULL;
        call->conn = NULL;
    }
    return conn;
}

/* Ends @call and closes its connection, if it has one. */
static void
abort_call(cq_outcall_t *call)
{
    cq_outconn_t *conn = detach(call);
    if (conn != NULL) {
        cq_outconn_close(conn);
    }
}

static void
fail(cq_outcall_t *call, cq_failure_t failure)
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
fail_refused(cq_outcall_t *call, const cq_response_fields_t *reply)
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
post_sent(cq_outcall_t *call)
{
    call->sent = TRUE;
    cq_event_t event = {.attempt = {.on_kept_conn = call->on_kept_conn}};
    post(call, CQ_EV_SENT, &event);
}

/* Reported before the answer itself, so that a retry avoids the upstream. */
static void
report_upstream(const cq_outcall_t *call, const cq_response_fields_t *reply)
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
answers_call(const cq_outcall_t *call, const cq_response_fields_t *reply)
{
    if (call->attempt_id == NULL || reply->attempt_id == NULL) {
        return !call->on_kept_conn || call->to_peer;
    }
    return strcmp(call->attempt_id, reply->attempt_id) == 0;
}

/* A buffer of the stated length isn't copied as it grows. */
static void
reserve_body(cq_outcall_t *call)
{
    const char *length = cq_h1_get_field(&call->head, "Content-Length");
    gint64 len = length != NULL ? g_ascii_strtoll(length, NULL, 10) : 0;
    if (len > LARGE_ANSWER_BYTES && len <= CQ_ANSWER_BYTES_MAX &&
        !is_stream(call) && call->events.whole->len == 0) {
        g_byte_array_unref(call->events.whole);
        call->events.whole = g_byte_array_sized_new((guint)len);
    }
}

static void
on_head(void *data, const cq_h1_head_t *head)
{
    cq_outconn_t *conn = data;
    cq_outcall_t *call = conn->call;
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
    reserve_body(call);
}

/* Passes whole events on. Those of one read go together: each post is a step
 * of the core, and an upstream may send any number of small chunks. */
static void
forward_events(cq_outcall_t *call)
{
    if (call->ended || !is_stream(call)) {
        return;
    }
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

/* Whether @len more bytes of the answer can be held. Answers that wait for
 * slow callers take room as well; small ones always find some. */
static gboolean
has_room(const cq_outcall_t *call, gsize len)
{
    gsize all_len = call->outbound->buffered + len;
    if (call->events.whole->len + len > LARGE_ANSWER_BYTES) {
        all_len += cq_sock_all_unwritten_bytes();
    }
    return all_len <= CQ_ALL_ANSWERS_BYTES_MAX;
}

static void
on_body(void *data, const char *bytes, gsize len)
{
    cq_outconn_t *conn = data;
    cq_outcall_t *call = conn->call;
    if (call == NULL || !call->head_received) {
        return;
    }
    if (is_stream(call)) {
        g_byte_array_append(call->events.unparsed, (const guint8 *)bytes,
                            (guint)len);
        return;
    }
    cq_outbound_t *outbound = call->outbound;
    if (call->events.whole->len + len > CQ_ANSWER_BYTES_MAX) {
        fail(call, CQ_FAIL_BROKEN);
        return;
    }
    if (!has_room(call, len)) {
        fail(call, CQ_FAIL_NO_ROOM);
        return;
    }
    outbound->buffered += len;
    g_byte_array_append(call->events.whole, (const guint8 *)bytes, (guint)len);
}

static void
on_done(void *data)
{
    cq_outconn_t *conn = data;
    conn->complete = TRUE;
}

/* Called when an answer is complete. A connection on which more bytes have
 * arrived isn't kept: they would answer the next request. */
static void
end_call(cq_outconn_t *conn, gboolean more_bytes)
{
    cq_outcall_t *call = conn->call;
    conn->complete = FALSE;
    if (call == NULL || !call->head_received) {
        return;
    }
    gboolean cannot_resume = call->events.resumes && !is_stream(call);
    if (cq_events_is_torn(&call->events) || cannot_resume) {
        fail(call, CQ_FAIL_BROKEN);
        return;
    }
    detach(call);
    if (more_bytes) {
        cq_outconn_close(conn);
    }
    else {
        cq_outconn_keep_or_close(conn, call);
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
    cq_outconn_t *conn = data;
    if (conn->call != NULL && !conn->call->sent) {
        post_sent(conn->call);
    }
}

static void
on_received(void *data, const char *bytes, gsize len)
{
    cq_outconn_t *conn = data;
    conn->refs++;
    while (len > 0 && !conn->closed) {
        if (conn->call == NULL) {
            /* No call is open: these bytes answer no request. */
            cq_outconn_close(conn);
            break;
        }
        gsize consumed = cq_h1_feed(conn->reader, bytes, len);
        bytes += consumed;
        len -= consumed;
        if (conn->call != NULL && conn->call->head_received) {
            forward_events(conn->call);
        }
        if (conn->complete) {
            end_call(conn, len > 0);
        }
        if (cq_h1_error(conn->reader) != CQ_H1_OK) {
            if (conn->call != NULL) {
                fail(conn->call, CQ_FAIL_BROKEN);
            }
            cq_outconn_close(conn);
        }
    }
    cq_outconn_unref(conn);
}

static void
on_ended(void *data, cq_sock_end_t how)
{
    cq_outconn_t *conn = data;
    conn->refs++;
    if (how == CQ_SOCK_EOF && conn->call != NULL) {
        cq_h1_connection_closed(conn->reader);
    }
    if (conn->complete) {
        end_call(conn, FALSE);
    }
    if (conn->call != NULL) {
        gboolean not_connected = how == CQ_SOCK_REFUSED && !conn->call->sent;
        cq_failure_t failure =
            not_connected ? CQ_FAIL_CONNECT : CQ_FAIL_BROKEN;
        /* A lack of descriptors says nothing of the upstream. */
        fail(conn->call, how == CQ_SOCK_UNOPENED ? CQ_FAIL_REFUSED : failure);
    }
    cq_outconn_close(conn);
    cq_outconn_unref(conn);
}

static cq_outconn_t *
open_conn(cq_outbound_t *outbound, const cq_outbound_call_t *spec)
{
    cq_outconn_t *conn = g_new0(cq_outconn_t, 1);
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
    cq_outconn_close_all(&outbound->idle);
    cq_outconn_close_all(&outbound->busy);
    g_free(outbound);
}

static cq_outcall_t *
find(cq_outbound_t *outbound, guint64 request, guint32 attempt)
{
    cq_outcall_t *call = g_hash_table_lookup(outbound->by_request, &request);
    while (call != NULL && call->attempt != attempt) {
        call = call->older;
    }
    return call;
}

/* Enters @call as the newest one of its request; frees those that ended. */
static void
add_call(cq_outbound_t *outbound, cq_outcall_t *call)
{
    gpointer older = NULL;
    g_hash_table_steal_extended(outbound->by_request, &call->request, NULL,
                                &older);
    call->older = older;
    for (cq_outcall_t **at = &call->older; *at != NULL;) {
        cq_outcall_t *ended = *at;
        if (!ended->ended) {
            at = &ended->older;
            continue;
        }
        *at = ended->older;
        ended->older = NULL;
        call_free(ended);
    }
    g_hash_table_insert(outbound->by_request, &call->request, call);
}

void
cq_outbound_send(cq_outbound_t *outbound, const cq_outbound_call_t *spec)
{
    cq_outcall_t *call = g_new0(cq_outcall_t, 1);
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
    add_call(outbound, call);
    gboolean may_reuse = !spec->fresh && spec->attempt_id != NULL;
    cq_outconn_t *conn =
        may_reuse ? cq_outconn_reuse_idle(outbound, spec) : NULL;
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

void
cq_outbound_stop(cq_outbound_t *outbound, guint64 request, guint32 attempt)
{
    cq_outcall_t *call = find(outbound, request, attempt);
    if (call != NULL) {
        abort_call(call);
    }
}

gboolean
cq_outbound_answer(cq_outbound_t *outbound, guint64 request, guint32 attempt,
                   cq_outbound_answer_t *answer)
{
    cq_outcall_t *call = find(outbound, request, attempt);
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
    cq_outcall_t *call = g_hash_table_lookup(outbound->by_request, &request);
    for (; call != NULL; call = call->older) {
        if (call->conn != NULL) {
            cq_sock_pause_reading(call->conn->sock, paused);
        }
    }
    cq_event_t event = {.kind = paused ? CQ_EV_PAUSED : CQ_EV_RESUMED};
    event.attempt.request = request;
    outbound->ops.post(&event, outbound->ops.data);
}
