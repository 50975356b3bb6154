#include "router/engines.h"

#include <string.h>

#include "config/json.h"
#include "router/http.h"

#define CALL_TIMEOUT_MS 2000
/* Longest answer of an engine: a load report with its reservations, or a page
 * of cache events. */
#define ANSWER_BYTES_MAX (1024 * 1024)
/* Higher numbers in reports are reduced to this value. */
#define REPORTED_MAX G_GINT64_CONSTANT(1000000000000)
#define POLLED_ENGINES_MAX (CQ_SERVICES_MAX * CQ_UPSTREAM_SUBSET_MAX)

struct cq_engines {
    cq_app_t *app;
    SoupSession *session;
    GHashTable *cache_next; /* by engine: next cache event to read */
    GHashTable *unreadable; /* engines whose last answer was not readable */
    guint timer;
    guint next_engine;
    guint open_calls;
    gboolean stopped;
};

typedef struct {
    cq_engines_t *engines;
    guint64 upstream;
    guint64 request;
    guint64 fence;
    gboolean reserve;
} engine_call_t;

static void
free_if_idle(cq_engines_t *engines)
{
    if (!engines->stopped || engines->open_calls > 0) {
        return;
    }
    g_hash_table_unref(engines->cache_next);
    g_hash_table_unref(engines->unreadable);
    g_object_unref(engines->session);
    g_free(engines);
}

/* Return: the member's number, within 0 and REPORTED_MAX. */
static gint64
int_member(JsonObject *object, const char *key)
{
    JsonNode *node = json_object_get_member(object, key);
    if (node == NULL || json_node_get_value_type(node) != G_TYPE_INT64) {
        return 0;
    }
    return CLAMP(json_node_get_int(node), 0, REPORTED_MAX);
}

static guint64
hex_member(JsonObject *object, const char *key)
{
    return g_ascii_strtoull(cq_json_text(object, key), NULL, 16);
}

static void
end_call(engine_call_t *call)
{
    cq_engines_t *engines = call->engines;
    engines->open_calls--;
    g_free(call);
    free_if_idle(engines);
}

static guint
read_models(JsonObject *object, guint64 models[CQ_ENGINE_MODELS_MAX])
{
    JsonArray *names = cq_json_array(object, "models");
    guint listed = names != NULL ? json_array_get_length(names) : 0;
    guint len = 0;
    for (guint i = 0; i < listed && len < CQ_ENGINE_MODELS_MAX; i++) {
        JsonNode *name = json_array_get_element(names, i);
        if (json_node_get_value_type(name) == G_TYPE_STRING) {
            models[len++] = cq_ident_hash(json_node_get_string(name));
        }
    }
    return len;
}

static void
handle_load(cq_engines_t *engines, guint64 upstream, JsonObject *object)
{
    GArray *holdings = g_array_new(FALSE, FALSE, sizeof(cq_holding_t));
    JsonArray *rows = cq_json_array(object, "holdings");
    for (guint i = 0; rows != NULL && i < json_array_get_length(rows); i++) {
        JsonObject *row = cq_json_element(rows, i);
        if (row != NULL) {
            cq_holding_t holding = {.request = hex_member(row, "request"),
                                    .tokens = int_member(row, "tokens")};
            g_array_append_val(holdings, holding);
        }
    }
    guint64 models[CQ_ENGINE_MODELS_MAX];
    cq_event_t event = {.kind = CQ_EV_LOAD};
    event.load.models = models;
    event.load.models_len = read_models(object, models);
    const char *loading = cq_json_text(object, "loading");
    event.load.loading = loading[0] != '\0' ? cq_ident_hash(loading) : 0;
    event.load.upstream = upstream;
    event.load.at_us =
        cq_app_now_us(engines->app) - int_member(object, "age_ms") * CQ_MS_US;
    event.load.streams =
        int_member(object, "running") + int_member(object, "waiting");
    event.load.prefill_tokens = int_member(object, "prefill_tokens");
    event.load.kv_tokens = int_member(object, "kv_tokens");
    event.load.holdings = (cq_holding_t *)(void *)holdings->data;
    event.load.holdings_len = holdings->len;
    cq_app_post(engines->app, &event);
    g_array_unref(holdings);
}

/* Logs the first unreadable answer of the engine in a row. Return: the object
 * in @body, or NULL. */
static JsonObject *
read_answer(const engine_call_t *call, JsonParser *parser, GBytes *body)
{
    cq_engines_t *engines = call->engines;
    cq_error_t error = {0};
    JsonObject *object = cq_http_parse_object(parser, body, &error);
    if (object != NULL) {
        g_hash_table_remove(engines->unreadable, &call->upstream);
    }
    else if (g_hash_table_add(
                 engines->unreadable,
                 g_memdup2(&call->upstream, sizeof call->upstream))) {
        cq_app_log(engines->app, "report_ignored",
                   "upstream=%" G_GINT64_MODIFIER "x why=\"%s\"",
                   call->upstream, error.text);
    }
    return object;
}

static void
on_load(int status, GBytes *body, void *data)
{
    engine_call_t *call = data;
    cq_engines_t *engines = call->engines;
    JsonParser *parser = json_parser_new();
    JsonObject *object = NULL;
    if (status == 200) {
        object = read_answer(call, parser, body);
    }
    if (object != NULL && !engines->stopped) {
        cq_app_count(engines->app, CQ_N_CONTROL_BYTES, g_bytes_get_size(body));
        handle_load(engines, call->upstream, object);
    }
    g_object_unref(parser);
    end_call(call);
}

static void
set_cache_next(cq_engines_t *engines, guint64 upstream, gint64 next)
{
    gint64 *key = g_memdup2(&upstream, sizeof upstream);
    gint64 *value = g_memdup2(&next, sizeof next);
    g_hash_table_replace(engines->cache_next, key, value);
}

static void
handle_cache(cq_engines_t *engines, guint64 upstream, JsonObject *object)
{
    set_cache_next(engines, upstream, int_member(object, "next"));
    JsonArray *rows = cq_json_array(object, "events");
    for (guint i = 0; rows != NULL && i < json_array_get_length(rows); i++) {
        JsonObject *row = cq_json_element(rows, i);
        if (row == NULL) {
            continue;
        }
        cq_event_t event = {.kind = CQ_EV_CACHE};
        event.cache.upstream = upstream;
        event.cache.prefix = hex_member(row, "prefix");
        event.cache.present =
            json_object_get_boolean_member_with_default(row, "present", TRUE);
        cq_app_post(engines->app, &event);
    }
}

static void
on_cache(int status, GBytes *body, void *data)
{
    engine_call_t *call = data;
    cq_engines_t *engines = call->engines;
    JsonParser *parser = json_parser_new();
    JsonObject *object = NULL;
    if (status == 200) {
        object = read_answer(call, parser, body);
    }
    if (object != NULL && !engines->stopped) {
        cq_app_count(engines->app, CQ_N_CONTROL_BYTES, g_bytes_get_size(body));
        handle_cache(engines, call->upstream, object);
    }
    g_object_unref(parser);
    end_call(call);
}

static void
start_get(cq_engines_t *engines, const char *url, guint64 upstream,
          cq_http_done_t done)
{
    engine_call_t *call = g_new0(engine_call_t, 1);
    call->engines = engines;
    call->upstream = upstream;
    engines->open_calls++;
    cq_http_call_t http_call = {.method = "GET",
                                .url = url,
                                .answer_bytes_max = ANSWER_BYTES_MAX,
                                .timeout_ms = CALL_TIMEOUT_MS,
                                .done = done,
                                .data = call};
    cq_http_call(engines->session, &http_call);
}

static void
poll_engine(cq_engines_t *engines, guint64 id)
{
    cq_upstream_view_t view;
    if (!cq_core_upstream(cq_app_core(engines->app), id, &view)) {
        return;
    }
    char *url = g_strdup_printf("http://%s/load", view.addr);
    start_get(engines, url, id, on_load);
    g_free(url);
    gint64 *next = g_hash_table_lookup(engines->cache_next, &id);
    url = g_strdup_printf("http://%s/cache-events?from=%" G_GINT64_FORMAT,
                          view.addr, next != NULL ? *next : 0);
    start_get(engines, url, id, on_cache);
    g_free(url);
}

/* Polls the next few engines, as many as CQ_LOAD_BYTES_PER_S allows. Placement
 * depends on the load reports only while an expected peer sends no summaries;
 * then all engines are polled each time. */
static gboolean
on_timer(gpointer data)
{
    cq_engines_t *engines = data;
    cq_core_t *core = cq_app_core(engines->app);
    guint64 *ids = g_new(guint64, POLLED_ENGINES_MAX);
    guint len = cq_core_polled_engines(core, ids, POLLED_ENGINES_MAX);
    guint per_turn = CQ_LOAD_BYTES_PER_S * CQ_LOAD_POLL_US / CQ_SECOND_US /
                     CQ_LOAD_REPORT_BYTES;
    guint count = cq_core_peer_missing(core) ? len : MIN(per_turn, len);
    for (guint i = 0; i < count; i++) {
        poll_engine(engines, ids[engines->next_engine++ % len]);
    }
    g_free(ids);
    return G_SOURCE_CONTINUE;
}

cq_engines_t *
cq_engines_new(cq_app_t *app)
{
    cq_engines_t *engines = g_new0(cq_engines_t, 1);
    engines->app = app;
    engines->session = cq_http_new_session();
    engines->cache_next =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    engines->unreadable =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    engines->timer =
        g_timeout_add(CQ_LOAD_POLL_US / CQ_MS_US, on_timer, engines);
    return engines;
}

void
cq_engines_free(cq_engines_t *engines)
{
    engines->stopped = TRUE;
    g_source_remove(engines->timer);
    soup_session_abort(engines->session);
    free_if_idle(engines);
}

static void
on_memory(int status, GBytes *body, void *data)
{
    (void)body;
    engine_call_t *call = data;
    cq_engines_t *engines = call->engines;
    if (call->reserve && !engines->stopped) {
        cq_event_t event = {.kind = CQ_EV_RESERVED};
        event.reserved.request = call->request;
        event.reserved.upstream = call->upstream;
        event.reserved.granted = status == 200;
        cq_app_post(engines->app, &event);
    }
    end_call(call);
}

/* Posts @text to the engine of @call; takes ownership of both. */
static void
start_post(engine_call_t *call, const char *path, char *text,
           cq_http_done_t done)
{
    cq_engines_t *engines = call->engines;
    cq_upstream_view_t view;
    if (!cq_core_upstream(cq_app_core(engines->app), call->upstream, &view)) {
        g_free(text);
        g_free(call);
        return;
    }
    char *url = g_strdup_printf("http://%s%s", view.addr, path);
    GBytes *body = g_bytes_new_take(text, strlen(text));
    engines->open_calls++;
    cq_http_call_t http_call = {.method = "POST",
                                .url = url,
                                .body = body,
                                .answer_bytes_max = ANSWER_BYTES_MAX,
                                .timeout_ms = CALL_TIMEOUT_MS,
                                .done = done,
                                .data = call};
    cq_http_call(engines->session, &http_call);
    g_bytes_unref(body);
    g_free(url);
}

void
cq_engines_order_memory(cq_engines_t *engines, cq_action_kind_t kind,
                        const cq_ac_memory_t *memory)
{
    g_assert(kind == CQ_AC_RESERVE || kind == CQ_AC_RELEASE);
    char *text = g_strdup_printf("{\"request\":\"%016" G_GINT64_MODIFIER
                                 "x\",\"tokens\":%" G_GINT64_FORMAT
                                 ",\"expiry_ms\":%" G_GINT64_FORMAT "}",
                                 memory->request, memory->tokens,
                                 memory->expiry_us / CQ_MS_US);
    engine_call_t *call = g_new0(engine_call_t, 1);
    call->engines = engines;
    call->upstream = memory->upstream;
    call->request = memory->request;
    call->reserve = kind == CQ_AC_RESERVE;
    start_post(call, call->reserve ? "/kv/reserve" : "/kv/release", text,
               on_memory);
}

static void
on_order(int status, GBytes *body, void *data)
{
    (void)body;
    engine_call_t *call = data;
    cq_engines_t *engines = call->engines;
    if (status != 0 && !engines->stopped) {
        cq_event_t event = {.kind = CQ_EV_ORDERED};
        event.ordered.upstream = call->upstream;
        event.ordered.fence = call->fence;
        event.ordered.accepted = status == 200;
        event.ordered.outdated = status == 409;
        cq_app_post(engines->app, &event);
    }
    end_call(call);
}

void
cq_engines_order_model(cq_engines_t *engines, const cq_ac_order_t *order)
{
    char *text =
        g_strdup_printf("{\"model\":\"%s\",\"fence\":%" G_GUINT64_FORMAT "}",
                        order->model, order->fence);
    engine_call_t *call = g_new0(engine_call_t, 1);
    call->engines = engines;
    call->upstream = order->upstream;
    call->fence = order->fence;
    start_post(call, "/order", text, on_order);
}
