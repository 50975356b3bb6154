/* A model engine. Token N of an answer is "TAG:N ", where the prompt begins
 * with "#TAG ", so that a test can tell whose answer it is and whether it is
 * whole. */
#include <string.h>

#include "standin.h"

#define TAG_BYTES 32
#define OUTPUT_TOKENS 20
#define BYTES_PER_TOKEN 4
#define LOADING_MS 300

typedef struct {
    SoupServerMessage *message;
    char id[64];
    char tag[TAG_BYTES];
    int next;
    int end;
    int stall_at;
    int die_at;
    gint64 prefill_tokens;
    gboolean prefilled;
    guint timer;
} run_t;

typedef struct {
    gint64 tokens;
    gint64 expires_us;
} holding_t;

static const standin_options_t *options;
static GHashTable *runs;     /* id to run_t */
static GHashTable *holdings; /* request to holding_t */
static GPtrArray *models;
static char *loading;
static gint64 fence;
static int loads;
static int arrived;
static int completed;
static int cancelled;

static void
forget(run_t *run)
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
        cancelled++;
    }
    forget(run);
}

/* Ends a run by closing its connection. */
static void
cut(run_t *run)
{
    SoupServerMessage *message = run->message;
    g_signal_handlers_disconnect_by_func(message, on_finished, run);
    forget(run);
    standin_close(message);
}

static void
emit(run_t *run, const char *text)
{
    SoupMessageBody *body =
        soup_server_message_get_response_body(run->message);
    soup_message_body_append(body, SOUP_MEMORY_COPY, text, strlen(text));
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
        cut(run);
        return G_SOURCE_REMOVE;
    }
    char event[256];
    g_snprintf(event, sizeof event,
               "data: {\"choices\":[{\"index\":0,\"text\":\"%s:%d \","
               "\"delta\":{\"content\":\"%s:%d \"}}]}\n\n",
               run->tag, run->next, run->tag, run->next);
    emit(run, event);
    run->next++;
    gboolean more = run->next < run->end;
    if (!more) {
        emit(run, "data: [DONE]\n\n");
        soup_message_body_complete(
            soup_server_message_get_response_body(run->message));
        completed++;
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
read_body(run_t *run, SoupServerMessage *message)
{
    char *text = standin_body(message);
    JsonNode *root = json_from_string(text, NULL);
    g_strlcpy(run->tag, "t", sizeof run->tag);
    run->end = OUTPUT_TOKENS;
    if (root != NULL && JSON_NODE_HOLDS_OBJECT(root)) {
        JsonObject *object = json_node_get_object(root);
        run->end = (int)json_object_get_int_member_with_default(
            object, "max_tokens", OUTPUT_TOKENS);
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
header(SoupServerMessage *message, const char *name, const char *otherwise)
{
    const char *value = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
    return value != NULL ? value : otherwise;
}

static void
refuse(SoupServerMessage *message, const char *mark)
{
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, mark, "1");
    standin_reply(message, 503, g_strdup("{}"));
}

static void
begin(run_t *run, SoupServerMessage *message)
{
    g_snprintf(run->id, sizeof run->id, "%s-%s",
               header(message, "X-Request-Id", "none"),
               header(message, "X-Attempt", "0"));
    run->next =
        (int)g_ascii_strtoll(header(message, "X-Resume-From", "0"), NULL, 10);
    if (standin_fault_take("stall_next")) {
        run->stall_at = MAX(standin_fault("stall_at"), 1);
    }
    if (standin_fault_take("die_next")) {
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
    arrived++;
    if (standin_fault("leaving") > 0) {
        refuse(message, "X-Leaving");
        return;
    }
    if (standin_fault_take("refuse_next")) {
        refuse(message, "X-Not-Run");
        return;
    }
    if (standin_fault_take("error_next")) {
        standin_reply(message, 500, g_strdup("{}"));
        return;
    }
    if (standin_fault_take("close_next")) {
        standin_close(message);
        return;
    }
    run_t *run = g_new0(run_t, 1);
    run->message = message;
    read_body(run, message);
    begin(run, message);
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
expire_holdings(void)
{
    gint64 now_us = g_get_monotonic_time();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, holdings);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((holding_t *)value)->expires_us <= now_us) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static gint64
held_tokens(void)
{
    gint64 sum = 0;
    GHashTableIter iter;
    gpointer value;
    expire_holdings();
    g_hash_table_iter_init(&iter, holdings);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        sum += ((holding_t *)value)->tokens;
    }
    return sum;
}

static void
on_memory(SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
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
        g_hash_table_remove(holdings, request);
    }
    else if (held_tokens() + tokens > options->kv_tokens) {
        status = 409;
    }
    else {
        holding_t *holding = g_new0(holding_t, 1);
        holding->tokens = tokens;
        holding->expires_us = g_get_monotonic_time() + ms * 1000;
        g_hash_table_replace(holdings, g_strdup(request), holding);
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

/* POST /order {"model":NAME,"fence":N}: states a model that the engine should
 * have. This engine refuses a fencing number below the highest seen. */
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
    gint64 number = json_object_get_int_member(object, "fence");
    guint status = number < fence ? 409 : 200;
    gboolean has =
        g_ptr_array_find_with_equal_func(models, model, g_str_equal, NULL);
    if (status == 200 && !has && loading == NULL) {
        loading = g_strdup(model);
        loads++;
        g_timeout_add(LOADING_MS, on_loaded, loading);
    }
    fence = MAX(fence, number);
    json_node_unref(root);
    standin_reply(message, status, g_strdup("{}"));
}

static void
add_models(GString *text)
{
    g_string_append(text, "\"models\":[");
    for (guint i = 0; i < models->len; i++) {
        g_string_append_printf(text, "%s\"%s\"", i > 0 ? "," : "",
                               (char *)g_ptr_array_index(models, i));
    }
    g_string_append_printf(text, "],\"loading\":\"%s\",",
                           loading != NULL ? loading : "");
}

static void
on_load(SoupServer *server, SoupServerMessage *message, const char *path,
        GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    expire_holdings();
    GString *text = g_string_new("");
    gint64 prefill = 0;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, runs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const run_t *run = value;
        prefill += run->prefilled ? 0 : run->prefill_tokens;
    }
    g_string_append(text, "{");
    add_models(text);
    g_string_append_printf(text,
                           "\"age_ms\":0,\"running\":%u,\"waiting\":0,"
                           "\"prefill_tokens\":%" G_GINT64_FORMAT
                           ",\"kv_tokens\":%" G_GINT64_FORMAT
                           ",\"holdings\":[",
                           g_hash_table_size(runs), prefill, held_tokens());
    g_hash_table_iter_init(&iter, holdings);
    const char *comma = "";
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        g_string_append_printf(
            text, "%s{\"request\":\"%s\",\"tokens\":%" G_GINT64_FORMAT "}",
            comma, (char *)key, ((holding_t *)value)->tokens);
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
    standin_reply(message, 200, g_strdup("{\"next\":0,\"events\":[]}"));
}

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
        cancelled++;
        cut(run);
    }
    g_free(id);
    json_node_unref(root);
    standin_reply(message, 200, g_strdup("{}"));
}

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
                        arrived, completed, cancelled, loads,
                        g_hash_table_size(runs), held_tokens()));
}

void
standin_engine(SoupServer *server, const standin_options_t *from)
{
    options = from;
    models = g_ptr_array_new();
    runs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    holdings = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    soup_server_add_handler(server, "/v1", on_completion, NULL, NULL);
    soup_server_add_handler(server, "/requests", on_request, NULL, NULL);
    soup_server_add_handler(server, "/kv", on_memory, NULL, NULL);
    soup_server_add_handler(server, "/order", on_order, NULL, NULL);
    soup_server_add_handler(server, "/load", on_load, NULL, NULL);
    soup_server_add_handler(server, "/cache-events", on_cache, NULL, NULL);
    soup_server_add_handler(server, "/cancel", on_cancel, NULL, NULL);
    soup_server_add_handler(server, "/counters", on_counters, NULL, NULL);
}
