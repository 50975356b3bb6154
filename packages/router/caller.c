#include "router/caller.h"

#include <string.h>

#include "config/json.h"
#include "router/refusal.h"

#define DATA_PREFIX "data: "
#define DONE_EVENT "[DONE]"

struct cq_caller {
    guint refs;
    cq_caller_options_t options;
    char *method;
    char *path;
    char *content_type;
    char *key;
    SoupServerMessage *message;
    GSource *hangup_watch;
    gboolean stream_started;
    gboolean answered;
    gboolean hung_up;
    gboolean over_limit;
    gboolean event_ignored;
    gsize unwritten_bytes;
    GString *collected_text;
    cq_caller_notify_t finished;
};

static void
unref(cq_caller_t *caller)
{
    if (--caller->refs > 0) {
        return;
    }
    g_clear_pointer(&caller->options.body, g_bytes_unref);
    g_string_free(caller->collected_text, TRUE);
    g_free(caller->method);
    g_free(caller->path);
    g_free(caller->content_type);
    g_free(caller->key);
    g_free(caller);
}

static void
stop_hangup_watch(cq_caller_t *caller)
{
    if (caller->hangup_watch != NULL) {
        g_source_destroy(caller->hangup_watch);
        g_source_unref(caller->hangup_watch);
        caller->hangup_watch = NULL;
    }
}

static void
report_hangup(cq_caller_t *caller)
{
    if (caller->hung_up || caller->answered) {
        return;
    }
    caller->hung_up = TRUE;
    caller->refs++;
    caller->options.hangup(caller, caller->options.data);
    unref(caller);
}

/* libsoup does not read from a connection while its message is paused, so the
 * end of the connection is detected here. */
static gboolean
on_readable(GSocket *socket, GIOCondition condition, gpointer data)
{
    (void)condition;
    cq_caller_t *caller = data;
    char byte;
    GInputVector vector = {&byte, 1};
    gint flags = G_SOCKET_MSG_PEEK;
    gssize got = g_socket_receive_message(socket, NULL, &vector, 1, NULL, NULL,
                                          &flags, NULL, NULL);
    stop_hangup_watch(caller);
    if (got <= 0) {
        report_hangup(caller);
    }
    return G_SOURCE_REMOVE;
}

static void
watch_hangup(cq_caller_t *caller)
{
    GSocket *socket = soup_server_message_get_socket(caller->message);
    if (socket == NULL) {
        return;
    }
    caller->hangup_watch =
        g_socket_create_source(socket, G_IO_IN | G_IO_HUP | G_IO_ERR, NULL);
    g_source_set_callback(caller->hangup_watch, G_SOURCE_FUNC(on_readable),
                          caller, NULL);
    g_source_attach(caller->hangup_watch, NULL);
}

static void
on_finished(SoupServerMessage *message, gpointer data)
{
    cq_caller_t *caller = data;
    stop_hangup_watch(caller);
    report_hangup(caller);
    if (caller->finished != NULL) {
        caller->finished(caller, caller->options.data);
        caller->finished = NULL;
    }
    g_signal_handlers_disconnect_by_data(message, caller);
    caller->message = NULL;
    unref(caller);
}

static void
on_wrote(SoupServerMessage *message, guint len, gpointer data)
{
    (void)message;
    cq_caller_t *caller = data;
    caller->unwritten_bytes -= MIN(caller->unwritten_bytes, len);
    if (caller->over_limit &&
        caller->unwritten_bytes < CQ_CALLER_BUFFER_BYTES_MAX / 2) {
        caller->over_limit = FALSE;
        if (!caller->answered) {
            caller->options.writable(caller, caller->options.data);
        }
    }
}

cq_caller_t *
cq_caller_new(SoupServerMessage *message, const cq_caller_options_t *options)
{
    cq_caller_t *caller = g_new0(cq_caller_t, 1);
    caller->refs = 2;
    caller->options = *options;
    caller->method = g_strdup(options->method);
    caller->path = g_strdup(options->path);
    caller->content_type = g_strdup(options->content_type);
    caller->key = g_strdup(options->key);
    caller->options.body = g_bytes_ref(options->body);
    caller->message = message;
    caller->collected_text = g_string_new("");
    char id[32];
    g_snprintf(id, sizeof id, "%016" G_GINT64_MODIFIER "x", options->id);
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, "X-Request-Id", id);
    g_signal_connect(message, "finished", G_CALLBACK(on_finished), caller);
    g_signal_connect(message, "wrote-body-data", G_CALLBACK(on_wrote), caller);
    soup_server_message_pause(message);
    watch_hangup(caller);
    return caller;
}

void
cq_caller_unref(cq_caller_t *caller)
{
    unref(caller);
}

guint64
cq_caller_id(const cq_caller_t *caller)
{
    return caller->options.id;
}

gpointer
cq_caller_table_key(cq_caller_t *caller)
{
    return &caller->options.id;
}

void
cq_caller_spec(const cq_caller_t *caller, cq_call_spec_t *spec)
{
    spec->method = caller->method;
    spec->path = caller->path;
    spec->content_type = caller->content_type;
    spec->key = caller->key;
    spec->body = caller->options.body;
    spec->model = caller->options.model;
}

/* Logs the first event of an answer that can't be read. */
static void
note_event_ignored(cq_caller_t *caller, const cq_error_t *error)
{
    if (!caller->event_ignored) {
        caller->event_ignored = TRUE;
        cq_app_log(caller->options.app, "event_ignored", "why=\"%s\"",
                   error->text);
    }
}

/* Appends the text in a stream event to the answer sent in one piece. */
static void
collect_event(cq_caller_t *caller, const char *json)
{
    JsonParser *parser = json_parser_new();
    cq_error_t error = {0};
    JsonNode *root = cq_json_parse(parser, json, strlen(json), &error);
    JsonNode *found = NULL;
    if (root != NULL && JSON_NODE_HOLDS_OBJECT(root)) {
        found =
            json_path_query(caller->options.chat ? "$.choices[0].delta.content"
                                                 : "$.choices[0].text",
                            root, NULL);
    }
    if (found != NULL) {
        JsonArray *matches = json_node_get_array(found);
        if (json_array_get_length(matches) > 0) {
            const char *text = json_array_get_string_element(matches, 0);
            g_string_append(caller->collected_text, text != NULL ? text : "");
        }
        json_node_unref(found);
    }
    if (root == NULL) {
        note_event_ignored(caller, &error);
    }
    g_object_unref(parser);
}

static void
collect_events(cq_caller_t *caller, GBytes *bytes)
{
    gsize len;
    const char *data = g_bytes_get_data(bytes, &len);
    char *copy = g_strndup(data, len);
    char **events = g_strsplit(copy, "\n\n", -1);
    for (guint i = 0; events[i] != NULL; i++) {
        const char *event = events[i];
        if (!g_str_has_prefix(event, DATA_PREFIX)) {
            continue;
        }
        const char *json = event + strlen(DATA_PREFIX);
        if (strcmp(json, DONE_EVENT) != 0) {
            collect_event(caller, json);
        }
    }
    g_strfreev(events);
    g_free(copy);
}

static void
start_stream(cq_caller_t *caller)
{
    caller->stream_started = TRUE;
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(caller->message);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(headers, "Content-Type", "text/event-stream");
    soup_server_message_set_status(caller->message, 200, NULL);
    SoupMessageBody *body =
        soup_server_message_get_response_body(caller->message);
    soup_message_body_set_accumulate(body, FALSE);
}

static void
append_body(cq_caller_t *caller, GBytes *bytes)
{
    SoupMessageBody *body =
        soup_server_message_get_response_body(caller->message);
    caller->unwritten_bytes += g_bytes_get_size(bytes);
    soup_message_body_append_bytes(body, bytes);
    soup_server_message_unpause(caller->message);
}

gboolean
cq_caller_write(cq_caller_t *caller, GBytes *bytes)
{
    if (caller->message == NULL || g_bytes_get_size(bytes) == 0) {
        return FALSE;
    }
    if (!caller->options.stream) {
        collect_events(caller, bytes);
        return FALSE;
    }
    if (!caller->stream_started) {
        start_stream(caller);
    }
    append_body(caller, bytes);
    caller->over_limit = caller->unwritten_bytes > CQ_CALLER_BUFFER_BYTES_MAX;
    return caller->over_limit;
}

void
cq_caller_send_error(SoupServerMessage *message, int status, const char *code,
                     cq_ran_t ran, gint64 retry_after_us, const char *remedy)
{
    char *text = cq_refusal_json(code, ran, retry_after_us, remedy);
    if (retry_after_us > 0) {
        gint64 rounded_us = retry_after_us + CQ_SECOND_US - 1;
        char seconds[32];
        g_snprintf(seconds, sizeof seconds, "%" G_GINT64_FORMAT,
                   rounded_us / CQ_SECOND_US);
        SoupMessageHeaders *headers =
            soup_server_message_get_response_headers(message);
        soup_message_headers_replace(headers, "Retry-After", seconds);
    }
    soup_server_message_set_status(message, (guint)status, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_TAKE, text, strlen(text));
}

/* Ends a stream. Its status has been sent already, so an error is sent as a
 * last event, `event: error`; the caller then gets no `[DONE]` event. */
static void
end_stream(cq_caller_t *caller, const cq_ac_answer_t *answer)
{
    if (answer->outcome != CQ_OUTCOME_DONE) {
        char *json = cq_refusal_json(cq_outcome_code(answer->outcome),
                                     answer->ran, answer->retry_after_us,
                                     cq_outcome_remedy(answer->outcome));
        char *event = g_strdup_printf("event: error\ndata: %s\n\n", json);
        GBytes *bytes = g_bytes_new_take(event, strlen(event));
        append_body(caller, bytes);
        g_bytes_unref(bytes);
        g_free(json);
    }
    SoupMessageBody *body =
        soup_server_message_get_response_body(caller->message);
    soup_message_body_complete(body);
}

static void
send_model_answer(cq_caller_t *caller)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "object");
    json_builder_add_string_value(
        builder, caller->options.chat ? "chat.completion" : "text_completion");
    json_builder_set_member_name(builder, "choices");
    json_builder_begin_array(builder);
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "index");
    json_builder_add_int_value(builder, 0);
    if (caller->options.chat) {
        json_builder_set_member_name(builder, "message");
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "role");
        json_builder_add_string_value(builder, "assistant");
        json_builder_set_member_name(builder, "content");
        json_builder_add_string_value(builder, caller->collected_text->str);
        json_builder_end_object(builder);
    }
    else {
        json_builder_set_member_name(builder, "text");
        json_builder_add_string_value(builder, caller->collected_text->str);
    }
    json_builder_end_object(builder);
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    soup_server_message_set_status(caller->message, 200, NULL);
    soup_server_message_set_response(caller->message, "application/json",
                                     SOUP_MEMORY_TAKE, text, strlen(text));
    json_node_unref(root);
    g_object_unref(builder);
}

static void
send_plain_answer(cq_caller_t *caller, const cq_call_result_t *result)
{
    gsize len;
    const char *data = g_bytes_get_data(result->body, &len);
    soup_server_message_set_status(caller->message, (guint)result->status,
                                   NULL);
    if (len == 0) {
        return;
    }
    const char *type = result->content_type;
    soup_server_message_set_response(
        caller->message, type != NULL ? type : "application/octet-stream",
        SOUP_MEMORY_COPY, data, len);
}

void
cq_caller_answer(cq_caller_t *caller, const cq_ac_answer_t *answer,
                 const cq_call_result_t *result, cq_caller_notify_t finished)
{
    caller->answered = TRUE;
    stop_hangup_watch(caller);
    if (caller->message == NULL) {
        finished(caller, caller->options.data);
        return;
    }
    caller->finished = finished;
    if (caller->stream_started) {
        end_stream(caller, answer);
    }
    else if (answer->outcome != CQ_OUTCOME_DONE) {
        cq_caller_send_error(caller->message, answer->status,
                             cq_outcome_code(answer->outcome), answer->ran,
                             answer->retry_after_us,
                             cq_outcome_remedy(answer->outcome));
    }
    else if (result != NULL) {
        send_plain_answer(caller, result);
    }
    else {
        send_model_answer(caller);
    }
    soup_server_message_unpause(caller->message);
}
