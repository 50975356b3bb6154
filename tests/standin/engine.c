/* A model engine. For a prompt that begins with "#TAG ", token N of the answer
 * is "TAG:N ", so that a test can check that an answer belongs to its request
 * and is complete.
 *
 * Faults of completions, set with POST /fault; N is the fault's value:
 *   leaving     if N is above 0, refuses all with X-Leaving
 *   refuse_next refuses the next N with X-Not-Run
 *   error_next  answers the next N with 500
 *   close_next  closes the connections of the next N without an answer
 *   stall_next  the next N send nothing from token "stall_at" on
 *   die_next    the next N close the connection at token "die_at"
 *   endless_next  the next N send an event without an end in place of tokens
 */
#include <string.h>

#include "standin.h"

#define TAG_BYTES_MAX 32
#define DEFAULT_OUTPUT_TOKENS 20
#define BYTES_PER_TOKEN 4
#define MODEL_LOAD_MS 300
/* What a completion without an end sends in place of a token. */
#define ENDLESS_PART_BYTES (64 * 1024)

/* A completion in progress. */
typedef struct {
    SoupServerMessage *message;
    char id[64]; /* REQUEST-ATTEMPT */
    char tag[TAG_BYTES_MAX];
    int next;         /* index of the next token */
    int end;          /* index after the last token */
    int stall_at;     /* sends nothing from this token on; 0: never */
    int die_at;       /* closes the connection before this token; 0: never */
    gboolean endless; /* sends an event that never ends */
    gint64 prefill_tokens;
    gboolean prefilled;
    guint timer;
} run_t;

/* KV-cache memory reserved for a request until it is released or expires. */
typedef struct {
    gint64 tokens;
    gint64 expires_us;
} reservation_t;

static const standin_options_t *options;
static GHashTable *runs;         /* id to run_t */
static GHashTable *reservations; /* request to reservation_t */
static GPtrArray *models;        /* names of the loaded models */
static char *loading;            /* model that is being loaded, or NULL */
static gint64 highest_fence;     /* highest fencing number of an order */
static char *report;             /* answers /load and /cache-events, or NULL */
static int loads_started;        /* since the process started */
static int arrived_count;        /* completion requests received */
static int completed_count;      /* all tokens sent */
static int cancelled_count;      /* ended by a disconnect or a POST /cancel */

static void
remove_run(run_t *run)
{
    if (run->timer != 0) {
        g_source_remove(run->timer);
    }
    g_hash_table_remove(runs, run->id);
}

static void
on_finished(SoupServerMessage *message, gpointer data)
{
    (void)message;
    run_t *run = data;
    if (run->next < run->end) {
        cancelled_count++;
    }
    remove_run(run);
}

/* Closes the run's connection without finishing the answer. */
static void
abort_run(run_t *run)
{
    SoupServerMessage *message = run->message;
    g_signal_handlers_disconnect_by_func(message, on_finished, run);
    remove_run(run);
    standin_close(message);
}

static void
append_text(run_t *run, const char *text)
{
    SoupMessageBody *body =
        soup_server_message_get_response_body(run->message);
    soup_message_body_append(body, SOUP_MEMORY_COPY, text, strlen(text));
}

static void
append_endless(run_t *run)
{
    char part[ENDLESS_PART_BYTES];
    memset(part, 'x', sizeof part - 1);
    part[sizeof part - 1] = '\0';
    append_text(run, part);
    soup_server_message_unpause(run->message);
}

static gboolean
on_step(gpointer data)
{
    run_t *run = data;
    if (run->stall_at > 0 && run->next >= run->stall_at) {
        return G_SOURCE_CONTINUE;
    }
    if (run->die_at > 0 && run->next >= run->die_at) {
        run->timer = 0;
        abort_run(run);
        return G_SOURCE_REMOVE;
    }
    if (run->endless) {
        append_endless(run);
        return G_SOURCE_CONTINUE;
    }
    char event[256];
    g_snprintf(event, sizeof event,
               "data: {\"choices\":[{\"index\":0,\"text\":\"%s:%d \","
               "\"delta\":{\"content\":\"%s:%d \"}}]}\n\n",
               run->tag, run->next, run->tag, run->next);
    append_text(run, event);
    run->next++;
    gboolean more = run->next < run->end;
    if (!more) {
        append_text(run, "data: [DONE]\n\n");
        soup_message_body_complete(
            soup_server_message_get_response_body(run->message));
        completed_count++;
        run->timer = 0;
    }
    soup_server_message_unpause(run->message);
    return more ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

static gboolean
on_prefilled(gpointer data)
{
    run_t *run = data;
    run->prefilled = TRUE;
    run->timer = g_timeout_add((guint)options->step_ms, on_step, run);
    return G_SOURCE_REMOVE;
}

static void
read_prompt(run_t *run, SoupServerMessage *message)
{
    char *text = standin_body(message);
    JsonNode *root = json_from_string(text, NULL);
    g_strlcpy(run->tag, "t", sizeof run->tag);
    run->end = DEFAULT_OUTPUT_TOKENS;
    if (root != NULL && JSON_NODE_HOLDS_OBJECT(root)) {
        JsonObject *object = json_node_get_object(root);
        run->end = (int)json_object_get_int_member_with_default(
            object, "max_tokens", DEFAULT_OUTPUT_TOKENS);
        const char *prompt =
            json_object_get_string_member_with_default(object, "prompt", "");
        if (prompt[0] == '#') {
            gsize len = strcspn(prompt + 1, " ");
            g_strlcpy(run->tag, prompt + 1, MIN(len + 1, sizeof run->tag));
        }
    }
    run->prefill_tokens = (gint64)strlen(text) / BYTES_PER_TOKEN;
    g_clear_pointer(&root, json_node_unref);
    g_free(text);
}

static const char *
request_header(SoupServerMessage *message, const char *name,
               const char *fallback)
{
    const char *value = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
    return value != NULL ? value : fallback;
}

static void
refuse(SoupServerMessage *message, const char *header_name)
{
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, header_name, "1");
    standin_reply(message, 503, g_strdup("{}"));
}

static void
init_run(run_t *run, SoupServerMessage *message)
{
    g_snprintf(run->id, sizeof run->id, "%s-%s",
               request_header(message, "X-Request-Id", "none"),
               request_header(message, "X-Attempt", "0"));
    run->next = (int)g_ascii_strtoll(
        request_header(message, "X-Resume-From", "0"), NULL, 10);
    if (standin_fault_consume("stall_next")) {
        run->stall_at = MAX(standin_fault("stall_at"), 1);
    }
    run->endless = standin_fault_consume("endless_next");
    if (standin_fault_consume("die_next")) {
        run->die_at = MAX(standin_fault("die_at"), 1);
    }
}

static void
on_completion(SoupServer *server, SoupServerMessage *message, const char *path,
              GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    arrived_count++;
    if (standin_fault("leaving") > 0) {
        refuse(message, "X-Leaving");
        return;
    }
    if (standin_fault_consume("refuse_next")) {
        refuse(message, "X-Not-Run");
        return;
    }
    if (standin_fault_consume("error_next")) {
        standin_reply(message, 500, g_strdup("{}"));
        return;
    }
    if (standin_fault_consume("close_next")) {
        standin_close(message);
        return;
    }
    run_t *run = g_new0(run_t, 1);
    run->message = message;
    read_prompt(run, message);
    init_run(run, message);
    g_hash_table_replace(runs, run->id, run);
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(message);
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_headers_replace(headers, "Content-Type", "text/event-stream");
    soup_server_message_set_status(message, 200, NULL);
    g_signal_connect(message, "finished", G_CALLBACK(on_finished), run);
    soup_server_message_pause(message);
    gint64 ms = run->prefill_tokens * 1000 / options->prefill_tokens_per_s;
    run->timer = g_timeout_add((guint)ms, on_prefilled, run);
}

/* GET /requests/ID: answers with the index of the run's next token. */
static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, gpointer data)
{
    (void)server;
    (void)query;
    (void)data;
    run_t *run = g_hash_table_lookup(runs, path + strlen("/requests/"));
    if (run == NULL) {
        standin_reply(message, 404, g_strdup("{}"));
        return;
    }
    standin_reply(message, 200, g_strdup_printf("%d", run->next));
}

static void
remove_expired(void)
{
    gint64 now_us = g_get_monotonic_time();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, reservations);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((reservation_t *)value)->expires_us <= now_us) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static gint64
reserved_tokens(void)
{
    gint64 sum = 0;
    GHashTableIter iter;
    gpointer value;
    remove_expired();
    g_hash_table_iter_init(&iter, reservations);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        sum += ((reservation_t *)value)->tokens;
    }
    return sum;
}

/* POST /kv/reserve or /kv/release {"request":ID,"tokens":N,"expiry_ms":N}:
 * answers 409 when less than N tokens of KV cache are left. */
static void
on_reserve_or_release(SoupServer *server, SoupServerMessage *message,
                      const char *path, GHashTable *query, gpointer data)
{
    (void)server;
    (void)query;
    (void)data;
    JsonNode *root = standin_json(message);
    JsonObject *object = json_node_get_object(root);
    const char *request = json_object_get_string_member(object, "request");
    gint64 tokens = json_object_get_int_member(object, "tokens");
    gint64 ms = json_object_get_int_member(object, "expiry_ms");
    guint status = 200;
    if (g_str_has_suffix(path, "/release")) {
        g_hash_table_remove(reservations, request);
    }
    else if (reserved_tokens() + tokens > options->kv_tokens) {
        status = 409;
    }
    else {
        reservation_t *reservation = g_new0(reservation_t, 1);
        reservation->tokens = tokens;
        reservation->expires_us = g_get_monotonic_time() + ms * 1000;
        g_hash_table_replace(reservations, g_strdup(request), reservation);
    }
    standin_reply(message, status, g_strdup("{}"));
    json_node_unref(root);
}

static gboolean
on_loaded(gpointer data)
{
    g_ptr_array_add(models, data);
    loading = NULL;
    return G_SOURCE_REMOVE;
}

/* POST /order {"model":NAME,"fence":N}: starts to load the model, unless it is
 * loaded or a load is in progress. Only answers 409 if the fencing number is
 * below the highest seen. */
static void
on_order(SoupServer *server, SoupServerMessage *message, const char *path,
         GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    JsonNode *root = standin_json(message);
    JsonObject *object = json_node_get_object(root);
    const char *model = json_object_get_string_member(object, "model");
    gint64 fence = json_object_get_int_member(object, "fence");
    guint status = fence < highest_fence ? 409 : 200;
    gboolean loaded =
        g_ptr_array_find_with_equal_func(models, model, g_str_equal, NULL);
    if (status == 200 && !loaded && loading == NULL) {
        loading = g_strdup(model);
        loads_started++;
        g_timeout_add(MODEL_LOAD_MS, on_loaded, loading);
    }
    highest_fence = MAX(highest_fence, fence);
    json_node_unref(root);
    standin_reply(message, status, g_strdup("{}"));
}

static void
append_models(GString *text)
{
    g_string_append(text, "\"models\":[");
    for (guint i = 0; i < models->len; i++) {
        g_string_append_printf(text, "%s\"%s\"", i > 0 ? "," : "",
                               (char *)g_ptr_array_index(models, i));
    }
    g_string_append_printf(text, "],\"loading\":\"%s\",",
                           loading != NULL ? loading : "");
}

/* GET /load: models, queue lengths and reservations. */
static void
on_load(SoupServer *server, SoupServerMessage *message, const char *path,
        GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    if (report != NULL) {
        standin_reply(message, 200, g_strdup(report));
        return;
    }
    remove_expired();
    GString *text = g_string_new("");
    gint64 prefill_tokens = 0;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const run_t *run = value;
        prefill_tokens += run->prefilled ? 0 : run->prefill_tokens;
    }
    g_string_append(text, "{");
    append_models(text);
    g_string_append_printf(
        text,
        "\"age_ms\":0,\"running\":%u,\"waiting\":0,"
        "\"prefill_tokens\":%" G_GINT64_FORMAT
        ",\"kv_tokens\":%" G_GINT64_FORMAT ",\"holdings\":[",
        g_hash_table_size(runs), prefill_tokens, reserved_tokens());
    g_hash_table_iter_init(&iter, reservations);
    const char *comma = "";
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        g_string_append_printf(
            text, "%s{\"request\":\"%s\",\"tokens\":%" G_GINT64_FORMAT "}",
            comma, (char *)key, ((reservation_t *)value)->tokens);
        comma = ",";
    }
    g_string_append(text, "]}");
    standin_reply(message, 200, g_string_free(text, FALSE));
}

static void
on_cache(SoupServer *server, SoupServerMessage *message, const char *path,
         GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    if (report != NULL) {
        standin_reply(message, 200, g_strdup(report));
        return;
    }
    standin_reply(message, 200, g_strdup("{\"next\":0,\"events\":[]}"));
}

/* POST /cancel {"request_id":ID,"attempt":N}: aborts the run, if any. */
static void
on_cancel(SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    JsonNode *root = standin_json(message);
    JsonObject *object = json_node_get_object(root);
    char *id = g_strdup_printf(
        "%s-%d", json_object_get_string_member(object, "request_id"),
        (int)json_object_get_int_member(object, "attempt"));
    run_t *run = g_hash_table_lookup(runs, id);
    if (run != NULL) {
        cancelled_count++;
        abort_run(run);
    }
    g_free(id);
    json_node_unref(root);
    standin_reply(message, 200, g_strdup("{}"));
}

/* GET /counters: counts since the start, runs in progress and reserved tokens,
 * for the test scripts. */
static void
on_counters(SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    standin_reply(
        message, 200,
        g_strdup_printf("{\"arrived\":%d,\"completed\":%d,"
                        "\"cancelled\":%d,\"loads\":%d,\"running\":%u,"
                        "\"held\":%" G_GINT64_FORMAT "}",
                        arrived_count, completed_count, cancelled_count,
                        loads_started, g_hash_table_size(runs),
                        reserved_tokens()));
}

/* POST /report: the body answers all calls to /load and /cache-events; an
 * empty one ends this. */
static void
on_report(SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    g_clear_pointer(&report, g_free);
    if (body->length > 0) {
        report = g_strndup(body->data, (gsize)body->length);
    }
    standin_reply(message, 200, g_strdup("{}"));
}

void
standin_engine(SoupServer *server, const standin_options_t *command_line)
{
    options = command_line;
    models = g_ptr_array_new();
    runs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    reservations =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    soup_server_add_handler(server, "/v1", on_completion, NULL, NULL);
    soup_server_add_handler(server, "/requests", on_request, NULL, NULL);
    soup_server_add_handler(server, "/kv", on_reserve_or_release, NULL, NULL);
    soup_server_add_handler(server, "/order", on_order, NULL, NULL);
    soup_server_add_handler(server, "/load", on_load, NULL, NULL);
    soup_server_add_handler(server, "/cache-events", on_cache, NULL, NULL);
    soup_server_add_handler(server, "/report", on_report, NULL, NULL);
    soup_server_add_handler(server, "/cancel", on_cancel, NULL, NULL);
    soup_server_add_handler(server, "/counters", on_counters, NULL, NULL);
}
