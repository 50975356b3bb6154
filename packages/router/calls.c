#include "router/calls.h"

#include <string.h>

#include "router/http.h"

#define READ_BYTES (16 * 1024)
#define CONTROL_TIMEOUT_MS 2000
/* Longest answer to a cancellation or a probe. */
#define CONTROL_BYTES_MAX (64 * 1024)
#define DATA_PREFIX "data: "
#define EVENT_END "\n\n"
#define DONE_EVENT "data: [DONE]"

/*
 * buffered: bytes of the answers of plain services that are being received or
 *   have not been taken
 */
struct cq_calls {
    cq_app_t *app;
    SoupSession *session;
    GHashTable *by_request;
    gsize buffered;
};

/*
 * One attempt. It is freed once it has been removed from by_request and its
 * last callback has run.
 * received: bytes not yet split into stream events
 * pending: complete stream events not yet taken by cq_calls_take_events()
 * body: the complete answer of a plain service, or NULL
 * buffered: its share of the calls' buffered bytes
 * older: an earlier attempt of the request that goes on beside it, or NULL
 */
typedef struct call {
    cq_calls_t *calls;
    guint64 request;
    guint32 attempt;
    gboolean model;
    gboolean ended;
    gboolean sent;
    gboolean paused;
    gboolean reading;
    gboolean stream_complete;
    SoupMessage *message;
    GCancellable *cancellable;
    GInputStream *stream;
    GByteArray *received;
    GByteArray *pending;
    GBytes *body;
    gsize buffered;
    guint refs;
    struct call *older;
} call_t;

static void
read_more(call_t *call);

static void
call_unref(call_t *call)
{
    if (--call->refs > 0) {
        return;
    }
    g_clear_object(&call->stream);
    g_clear_object(&call->message);
    g_clear_object(&call->cancellable);
    g_clear_pointer(&call->body, g_bytes_unref);
    g_byte_array_unref(call->received);
    g_byte_array_unref(call->pending);
    g_free(call);
}

static call_t *
newest(cq_calls_t *calls, guint64 request)
{
    return g_hash_table_lookup(calls->by_request, &request);
}

static call_t *
find(cq_calls_t *calls, guint64 request, guint32 attempt)
{
    call_t *call = newest(calls, request);
    while (call != NULL && call->attempt != attempt) {
        call = call->older;
    }
    return call;
}

static void
cancel_call(call_t *call)
{
    if (call->ended) {
        return;
    }
    call->ended = TRUE;
    g_cancellable_cancel(call->cancellable);
}

/* Cancels @data and its older attempts. */
static void
free_call(gpointer data)
{
    call_t *call = data;
    while (call != NULL) {
        call_t *older = call->older;
        call->older = NULL;
        cancel_call(call);
        call->calls->buffered -= call->buffered;
        call_unref(call);
        call = older;
    }
}

static void
post(call_t *call, cq_event_t *event)
{
    if (call->ended) {
        return;
    }
    event->attempt.request = call->request;
    event->attempt.attempt = call->attempt;
    cq_app_post(call->calls->app, event);
}

static void
post_failed(call_t *call, cq_failure_t failure)
{
    cq_event_t event = {.kind = CQ_EV_FAILED};
    event.attempt.failure = failure;
    post(call, &event);
    cancel_call(call);
}

static void
post_done(call_t *call)
{
    cq_event_t event = {.kind = CQ_EV_DONE};
    event.attempt.status = (int)soup_message_get_status(call->message);
    post(call, &event);
    cancel_call(call);
}

/* From here on the upstream may receive bytes of the request. */
static void
on_starting(SoupMessage *message, gpointer data)
{
    (void)message;
    call_t *call = data;
    call->sent = TRUE;
    cq_event_t event = {.kind = CQ_EV_SENT};
    post(call, &event);
}

/* Moves complete stream events from received to pending. Return: number of
 * tokens in them, counted as one per event. */
static gint64
split_events(call_t *call)
{
    gint64 tokens = 0;
    gsize consumed = 0;
    const char *data = (const char *)call->received->data;
    gsize len = call->received->len;
    for (;;) {
        const char *event_start = data + consumed;
        const char *event_end =
            g_strstr_len(event_start, (gssize)(len - consumed), EVENT_END);
        if (event_end == NULL) {
            break;
        }
        if (strncmp(event_start, DONE_EVENT, strlen(DONE_EVENT)) == 0) {
            call->stream_complete = TRUE;
        }
        else if (strncmp(event_start, DATA_PREFIX, strlen(DATA_PREFIX)) == 0) {
            tokens++;
        }
        consumed = (gsize)(event_end - data) + strlen(EVENT_END);
    }
    g_byte_array_append(call->pending, call->received->data, (guint)consumed);
    if (consumed > 0) {
        g_byte_array_remove_range(call->received, 0, (guint)consumed);
    }
    return tokens;
}

static void
on_model_bytes(call_t *call)
{
    gint64 tokens = split_events(call);
    if (tokens > 0 || call->pending->len > 0) {
        cq_event_t event = {.kind = CQ_EV_TOKENS};
        event.attempt.tokens = tokens;
        post(call, &event);
    }
    if (call->stream_complete) {
        post_done(call);
    }
    else if (call->received->len > CQ_STREAM_EVENT_BYTES_MAX) {
        post_failed(call, CQ_FAIL_BROKEN);
    }
}

/* An answer that is too long, or has no end, is broken off. */
static void
on_plain_bytes(call_t *call, gsize len)
{
    cq_calls_t *calls = call->calls;
    call->buffered += len;
    calls->buffered += len;
    if (call->buffered > CQ_ANSWER_BYTES_MAX) {
        cq_app_count(calls->app, CQ_N_BODIES_TOO_LONG, 1);
        post_failed(call, CQ_FAIL_BROKEN);
    }
    else if (calls->buffered > CQ_ALL_ANSWERS_BYTES_MAX) {
        post_failed(call, CQ_FAIL_NO_ROOM);
    }
}

static void
on_body_end(call_t *call)
{
    guint status = soup_message_get_status(call->message);
    /* The stream ended without `[DONE]`, or the engine reported an error. */
    if (call->model && (status == 200 || status >= 500)) {
        post_failed(call, CQ_FAIL_BROKEN);
        return;
    }
    call->body = g_byte_array_free_to_bytes(call->received);
    call->received = g_byte_array_new();
    post_done(call);
}

static void
on_read(GObject *source, GAsyncResult *result, gpointer data)
{
    call_t *call = data;
    GInputStream *stream = G_INPUT_STREAM(source);
    GBytes *bytes = g_input_stream_read_bytes_finish(stream, result, NULL);
    call->reading = FALSE;
    if (bytes == NULL || call->ended) {
        post_failed(call, CQ_FAIL_BROKEN);
    }
    else if (g_bytes_get_size(bytes) == 0) {
        on_body_end(call);
    }
    else {
        gsize len;
        const void *chunk = g_bytes_get_data(bytes, &len);
        g_byte_array_append(call->received, chunk, (guint)len);
        gboolean model = call->model;
        if (model && soup_message_get_status(call->message) == 200) {
            on_model_bytes(call);
        }
        else {
            on_plain_bytes(call, len);
        }
    }
    g_clear_pointer(&bytes, g_bytes_unref);
    read_more(call);
    call_unref(call);
}

static void
read_more(call_t *call)
{
    if (call->ended || call->paused || call->reading) {
        return;
    }
    call->reading = TRUE;
    call->refs++;
    g_input_stream_read_bytes_async(call->stream, READ_BYTES,
                                    G_PRIORITY_DEFAULT, call->cancellable,
                                    on_read, call);
}

static gboolean
has_header(call_t *call, const char *name)
{
    SoupMessageHeaders *headers =
        soup_message_get_response_headers(call->message);
    return soup_message_headers_get_one(headers, name) != NULL;
}

static void
on_head(GObject *source, GAsyncResult *result, gpointer data)
{
    call_t *call = data;
    SoupSession *session = SOUP_SESSION(source);
    call->stream = soup_session_send_finish(session, result, NULL);
    if (call->stream == NULL) {
        post_failed(call, call->sent ? CQ_FAIL_BROKEN : CQ_FAIL_CONNECT);
    }
    else if (has_header(call, "X-Leaving")) {
        post_failed(call, CQ_FAIL_LEAVING);
    }
    else if (has_header(call, "X-Not-Run")) {
        post_failed(call, CQ_FAIL_REFUSED);
    }
    else {
        read_more(call);
    }
    call_unref(call);
}

static void
set_header(SoupMessage *message, const char *name, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

static void
set_header(SoupMessage *message, const char *name, const char *format, ...)
{
    char value[CQ_PREFILL_GROUP_MAX * (CQ_NAME_BYTES + 1)];
    va_list args;
    va_start(args, format);
    g_vsnprintf(value, sizeof value, format, args);
    va_end(args);
    SoupMessageHeaders *headers = soup_message_get_request_headers(message);
    soup_message_headers_replace(headers, name, value);
}

static void
set_group_header(cq_calls_t *calls, SoupMessage *message,
                 const cq_ac_send_t *send)
{
    if (send->group_len == 0) {
        return;
    }
    GString *names = g_string_new("");
    for (guint i = 0; i < send->group_len; i++) {
        cq_upstream_view_t view;
        if (cq_core_upstream(cq_app_core(calls->app), send->group[i], &view)) {
            g_string_append_printf(names, "%s%s", i > 0 ? "," : "", view.name);
        }
    }
    set_header(message, "X-Group", "%s", names->str);
    g_string_free(names, TRUE);
}

static SoupMessage *
make_message(cq_calls_t *calls, const cq_ac_send_t *send,
             const cq_upstream_view_t *upstream, const cq_call_spec_t *spec)
{
    char *url = g_strdup_printf("http://%s%s", upstream->addr, spec->path);
    SoupMessage *message = soup_message_new(spec->method, url);
    g_free(url);
    if (message == NULL) {
        return NULL;
    }
    /* Each call gets a new connection: on a reused one libsoup retries some
     * calls by itself, but only the core may decide on retries. */
    soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION |
                                        SOUP_MESSAGE_NO_REDIRECT);
    if (spec->body != NULL && g_bytes_get_size(spec->body) > 0) {
        const char *type = spec->content_type;
        soup_message_set_request_body_from_bytes(
            message, type != NULL ? type : "application/octet-stream",
            spec->body);
    }
    set_header(message, "X-Request-Id", "%016" G_GINT64_MODIFIER "x",
               send->request);
    /* No later call will use this connection. */
    set_header(message, "Connection", "close");
    set_header(message, "X-Attempt", "%u", send->attempt);
    if (spec->key != NULL) {
        set_header(message, "Idempotency-Key", "%s", spec->key);
    }
    if (spec->model) {
        set_header(message, "X-Priority", "%d", send->priority);
        set_header(message, "X-Resume-From", "%" G_GINT64_FORMAT,
                   send->resume_from);
        set_group_header(calls, message, send);
    }
    return message;
}

cq_calls_t *
cq_calls_new(cq_app_t *app)
{
    cq_calls_t *calls = g_new0(cq_calls_t, 1);
    calls->app = app;
    calls->session = cq_http_new_session();
    calls->by_request =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_call);
    return calls;
}

void
cq_calls_free(cq_calls_t *calls)
{
    g_hash_table_unref(calls->by_request);
    g_object_unref(calls->session);
    g_free(calls);
}

void
cq_calls_send(cq_calls_t *calls, const cq_ac_send_t *send,
              const cq_upstream_view_t *upstream, const cq_call_spec_t *spec)
{
    call_t *call = g_new0(call_t, 1);
    call->calls = calls;
    call->request = send->request;
    call->attempt = send->attempt;
    call->model = spec->model;
    call->refs = 1;
    call->cancellable = g_cancellable_new();
    call->received = g_byte_array_new();
    call->pending = g_byte_array_new();
    gpointer older = NULL;
    g_hash_table_steal_extended(calls->by_request, &call->request, NULL,
                                &older);
    call->older = older;
    g_hash_table_insert(calls->by_request, &call->request, call);
    call->message = make_message(calls, send, upstream, spec);
    if (call->message == NULL) {
        post_failed(call, CQ_FAIL_CONNECT);
        return;
    }
    g_signal_connect(call->message, "starting", G_CALLBACK(on_starting), call);
    call->refs++;
    soup_session_send_async(calls->session, call->message, G_PRIORITY_DEFAULT,
                            call->cancellable, on_head, call);
}

void
cq_calls_stop(cq_calls_t *calls, const cq_ac_attempt_t *attempt,
              const cq_upstream_view_t *upstream)
{
    call_t *call = find(calls, attempt->request, attempt->attempt);
    if (call == NULL) {
        return;
    }
    gboolean notify_engine =
        call->model && call->sent && !call->stream_complete;
    cancel_call(call);
    if (!notify_engine || upstream == NULL) {
        return;
    }
    char *url = g_strdup_printf("http://%s/cancel", upstream->addr);
    char *text =
        g_strdup_printf("{\"request_id\":\"%016" G_GINT64_MODIFIER "x\","
                        "\"attempt\":%u}",
                        attempt->request, attempt->attempt);
    GBytes *body = g_bytes_new_take(text, strlen(text));
    cq_http_call_t control = {.method = "POST",
                              .url = url,
                              .body = body,
                              .answer_bytes_max = CONTROL_BYTES_MAX,
                              .timeout_ms = CONTROL_TIMEOUT_MS};
    cq_http_call(calls->session, &control);
    g_bytes_unref(body);
    g_free(url);
}

typedef struct {
    cq_app_t *app;
    cq_ac_attempt_t attempt;
    gboolean model;
} probe_t;

static void
on_probed(int status, GBytes *body, void *data)
{
    probe_t *probe = data;
    cq_event_t event = {.kind = CQ_EV_PROBED};
    event.attempt.request = probe->attempt.request;
    event.attempt.attempt = probe->attempt.attempt;
    event.attempt.probe = CQ_PROBE_SILENT;
    if (status != 0) {
        event.attempt.probe = CQ_PROBE_ALIVE;
    }
    if (probe->model && status == 404) {
        event.attempt.probe = CQ_PROBE_UNKNOWN;
    }
    if (probe->model && status == 200) {
        gsize len;
        const char *text = g_bytes_get_data(body, &len);
        char *copy = g_strndup(text, len);
        event.attempt.probe = CQ_PROBE_RUNNING;
        event.attempt.tokens = g_ascii_strtoll(copy, NULL, 10);
        g_free(copy);
    }
    cq_app_post(probe->app, &event);
    g_free(probe);
}

void
cq_calls_probe(cq_calls_t *calls, const cq_ac_attempt_t *attempt,
               const cq_upstream_view_t *upstream, gboolean model)
{
    probe_t *probe = g_new0(probe_t, 1);
    probe->app = calls->app;
    probe->attempt = *attempt;
    probe->model = model;
    char *url;
    if (model) {
        url = g_strdup_printf(
            "http://%s/requests/%016" G_GINT64_MODIFIER "x-%u", upstream->addr,
            attempt->request, attempt->attempt);
    }
    else {
        url = g_strdup_printf("http://%s/healthz", upstream->addr);
    }
    cq_http_call_t control = {.method = "GET",
                              .url = url,
                              .answer_bytes_max = CONTROL_BYTES_MAX,
                              .timeout_ms = CONTROL_TIMEOUT_MS,
                              .done = on_probed,
                              .data = probe};
    cq_http_call(calls->session, &control);
    g_free(url);
}

GBytes *
cq_calls_take_events(cq_calls_t *calls, const cq_ac_attempt_t *attempt)
{
    call_t *call = find(calls, attempt->request, attempt->attempt);
    if (call == NULL) {
        return g_bytes_new(NULL, 0);
    }
    GBytes *bytes = g_bytes_new(call->pending->data, call->pending->len);
    g_byte_array_set_size(call->pending, 0);
    return bytes;
}

gboolean
cq_calls_result(cq_calls_t *calls, const cq_ac_answer_t *answer,
                cq_call_result_t *result)
{
    call_t *call = find(calls, answer->request, answer->attempt);
    if (call == NULL || call->body == NULL) {
        return FALSE;
    }
    SoupMessageHeaders *headers =
        soup_message_get_response_headers(call->message);
    result->status = (int)soup_message_get_status(call->message);
    result->content_type =
        soup_message_headers_get_one(headers, "Content-Type");
    result->body = call->body;
    return TRUE;
}

void
cq_calls_remove(cq_calls_t *calls, guint64 request)
{
    g_hash_table_remove(calls->by_request, &request);
}

void
cq_calls_refuse_hand(cq_calls_t *calls, const cq_ac_hand_t *hand)
{
    cq_app_log(calls->app, "not_handed",
               "request=%016" G_GINT64_MODIFIER "x try=%u addr=%s",
               hand->request, hand->attempt, hand->addr);
    cq_event_t event = {.kind = CQ_EV_FAILED};
    event.attempt.request = hand->request;
    event.attempt.attempt = hand->attempt;
    event.attempt.failure = CQ_FAIL_CONNECT;
    cq_app_post(calls->app, &event);
}

void
cq_calls_pause(cq_calls_t *calls, guint64 request, gboolean paused)
{
    for (call_t *call = newest(calls, request); call != NULL;
         call = call->older) {
        gboolean resumes = call->paused && !paused && call->stream != NULL;
        call->paused = paused;
        if (resumes) {
            read_more(call);
        }
    }
    cq_event_t event = {.kind = paused ? CQ_EV_PAUSED : CQ_EV_RESUMED};
    event.attempt.request = request;
    cq_app_post(calls->app, &event);
}
