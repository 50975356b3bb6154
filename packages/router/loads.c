#include "router/loads.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "router/http.h"

#define CALL_TIMEOUT_MS 2000
#define WATCHED_MAX (CQ_SERVICES_MAX * CQ_UPSTREAM_SUBSET_MAX)

struct cq_loads {
    cq_app_t *app;
    SoupSession *session;
    GHashTable *cache_next;
    guint timer;
    guint next;
    guint calls;
    gboolean stopped;
};

typedef struct {
    cq_loads_t *loads;
    guint64 upstream;
    guint64 request;
    guint64 fence;
    gboolean reserve;
} asked_t;

static void
free_if_idle(cq_loads_t *loads)
{
    if (!loads->stopped || loads->calls > 0) {
        return;
    }
    g_hash_table_unref(loads->cache_next);
    g_object_unref(loads->session);
    g_free(loads);
}

static gint64
number(JsonObject *object, const char *key)
{
    return json_object_get_int_member_with_default(object, key, 0);
}

static guint64
hex(JsonObject *object, const char *key)
{
    const char *text =
        json_object_get_string_member_with_default(object, key, "0");
    return g_ascii_strtoull(text, NULL, 16);
}

static void
end(asked_t *asked)
{
    cq_loads_t *loads = asked->loads;
    loads->calls--;
    g_free(asked);
    free_if_idle(loads);
}

static guint
take_models(JsonObject *object, guint64 models[CQ_ENGINE_MODELS_MAX])
{
    if (!json_object_has_member(object, "models")) {
        return 0;
    }
    JsonArray *names = json_object_get_array_member(object, "models");
    guint len = MIN(json_array_get_length(names), CQ_ENGINE_MODELS_MAX);
    for (guint i = 0; i < len; i++) {
        models[i] = cq_ident_hash(json_array_get_string_element(names, i));
    }
    return len;
}

static void
take_load(cq_loads_t *loads, guint64 upstream, JsonObject *object)
{
    GArray *holdings = g_array_new(FALSE, FALSE, sizeof(cq_holding_t));
    if (json_object_has_member(object, "holdings")) {
        JsonArray *rows = json_object_get_array_member(object, "holdings");
        for (guint i = 0; i < json_array_get_length(rows); i++) {
            JsonObject *row = json_array_get_object_element(rows, i);
            cq_holding_t holding = {.request = hex(row, "request"),
                                    .tokens = number(row, "tokens")};
            g_array_append_val(holdings, holding);
        }
    }
    guint64 models[CQ_ENGINE_MODELS_MAX];
    cq_event_t event = {.kind = CQ_EV_LOAD};
    event.load.models = models;
    event.load.models_len = take_models(object, models);
    const char *loading =
        json_object_get_string_member_with_default(object, "loading", "");
    event.load.loading = loading[0] != '\0' ? cq_ident_hash(loading) : 0;
    event.load.upstream = upstream;
    event.load.at_us =
        cq_app_now_us(loads->app) - number(object, "age_ms") * CQ_MS_US;
    event.load.streams = number(object, "running") + number(object, "waiting");
    event.load.prefill_tokens = number(object, "prefill_tokens");
    event.load.kv_tokens = number(object, "kv_tokens");
    event.load.holdings = (cq_holding_t *)(void *)holdings->data;
    event.load.holdings_len = holdings->len;
    cq_app_post(loads->app, &event);
    g_array_unref(holdings);
}

static void
on_load(int status, GBytes *body, void *data)
{
    asked_t *asked = data;
    cq_loads_t *loads = asked->loads;
    JsonParser *parser = json_parser_new();
    JsonObject *object = NULL;
    if (status == 200) {
        object = cq_http_object(parser, body);
    }
    if (object != NULL && !loads->stopped) {
        cq_app_count(loads->app, CQ_N_CONTROL_BYTES, g_bytes_get_size(body));
        take_load(loads, asked->upstream, object);
    }
    g_object_unref(parser);
    end(asked);
}

static void
remember_next(cq_loads_t *loads, guint64 upstream, gint64 next)
{
    gint64 *key = g_memdup2(&upstream, sizeof upstream);
    gint64 *value = g_memdup2(&next, sizeof next);
    g_hash_table_replace(loads->cache_next, key, value);
}

static void
take_cache(cq_loads_t *loads, guint64 upstream, JsonObject *object)
{
    remember_next(loads, upstream, number(object, "next"));
    if (!json_object_has_member(object, "events")) {
        return;
    }
    JsonArray *rows = json_object_get_array_member(object, "events");
    for (guint i = 0; i < json_array_get_length(rows); i++) {
        JsonObject *row = json_array_get_object_element(rows, i);
        cq_event_t event = {.kind = CQ_EV_CACHE};
        event.cache.upstream = upstream;
        event.cache.prefix = hex(row, "prefix");
        event.cache.present =
            json_object_get_boolean_member_with_default(row, "present", TRUE);
        cq_app_post(loads->app, &event);
    }
}

static void
on_cache(int status, GBytes *body, void *data)
{
    asked_t *asked = data;
    cq_loads_t *loads = asked->loads;
    JsonParser *parser = json_parser_new();
    JsonObject *object = NULL;
    if (status == 200) {
        object = cq_http_object(parser, body);
    }
    if (object != NULL && !loads->stopped) {
        cq_app_count(loads->app, CQ_N_CONTROL_BYTES, g_bytes_get_size(body));
        take_cache(loads, asked->upstream, object);
    }
    g_object_unref(parser);
    end(asked);
}

static void
ask(cq_loads_t *loads, const char *url, guint64 upstream, cq_http_done_t done)
{
    asked_t *asked = g_new0(asked_t, 1);
    asked->loads = loads;
    asked->upstream = upstream;
    loads->calls++;
    cq_http_call(loads->session, "GET", url, NULL, CALL_TIMEOUT_MS, done,
                 asked);
}

static void
ask_one(cq_loads_t *loads, guint64 id)
{
    cq_upstream_view_t view;
    if (!cq_core_upstream(cq_app_core(loads->app), id, &view)) {
        return;
    }
    char *url = g_strdup_printf("http://%s/load", view.addr);
    ask(loads, url, id, on_load);
    g_free(url);
    gint64 *next = g_hash_table_lookup(loads->cache_next, &id);
    url = g_strdup_printf("http://%s/cache-events?from=%" G_GINT64_FORMAT,
                          view.addr, next != NULL ? *next : 0);
    ask(loads, url, id, on_cache);
    g_free(url);
}

/* Asks a few engines a turn, within the byte budget. Placement needs reports
 * only while a peer is not heard; then every engine is asked each turn. */
static gboolean
on_timer(gpointer data)
{
    cq_loads_t *loads = data;
    cq_core_t *core = cq_app_core(loads->app);
    guint64 *ids = g_new(guint64, WATCHED_MAX);
    guint len = cq_core_polled_engines(core, ids, WATCHED_MAX);
    guint turn = CQ_LOAD_BYTES_PER_S * CQ_LOAD_POLL_US / CQ_SECOND_US /
                 CQ_LOAD_REPORT_BYTES;
    guint count = cq_core_peer_missing(core) ? len : MIN(turn, len);
    for (guint i = 0; i < count; i++) {
        ask_one(loads, ids[loads->next++ % len]);
    }
    g_free(ids);
    return G_SOURCE_CONTINUE;
}

cq_loads_t *
cq_loads_new(cq_app_t *app)
{
    cq_loads_t *loads = g_new0(cq_loads_t, 1);
    loads->app = app;
    loads->session = cq_http_session();
    loads->cache_next =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    loads->timer = g_timeout_add(CQ_LOAD_POLL_US / CQ_MS_US, on_timer, loads);
    return loads;
}

void
cq_loads_free(cq_loads_t *loads)
{
    loads->stopped = TRUE;
    g_source_remove(loads->timer);
    soup_session_abort(loads->session);
    free_if_idle(loads);
}

static void
on_memory(int status, GBytes *body, void *data)
{
    (void)body;
    asked_t *asked = data;
    cq_loads_t *loads = asked->loads;
    if (asked->reserve && !loads->stopped) {
        cq_event_t event = {.kind = CQ_EV_RESERVED};
        event.reserved.request = asked->request;
        event.reserved.upstream = asked->upstream;
        event.reserved.granted = status == 200;
        cq_app_post(loads->app, &event);
    }
    end(asked);
}

/* Tells the engine of @asked something; takes @text. */
static void
tell(asked_t *asked, const char *path, char *text, cq_http_done_t done)
{
    cq_loads_t *loads = asked->loads;
    cq_upstream_view_t view;
    if (!cq_core_upstream(cq_app_core(loads->app), asked->upstream, &view)) {
        g_free(text);
        g_free(asked);
        return;
    }
    char *url = g_strdup_printf("http://%s%s", view.addr, path);
    GBytes *body = g_bytes_new_take(text, strlen(text));
    loads->calls++;
    cq_http_call(loads->session, "POST", url, body, CALL_TIMEOUT_MS, done,
                 asked);
    g_bytes_unref(body);
    g_free(url);
}

void
cq_loads_memory(cq_loads_t *loads, cq_action_kind_t kind,
                const cq_ac_memory_t *memory)
{
    char *text = g_strdup_printf("{\"request\":\"%016" G_GINT64_MODIFIER
                                 "x\",\"tokens\":%" G_GINT64_FORMAT
                                 ",\"expiry_ms\":%" G_GINT64_FORMAT "}",
                                 memory->request, memory->tokens,
                                 memory->expiry_us / CQ_MS_US);
    asked_t *asked = g_new0(asked_t, 1);
    asked->loads = loads;
    asked->upstream = memory->upstream;
    asked->request = memory->request;
    asked->reserve = kind == CQ_AC_RESERVE;
    tell(asked, asked->reserve ? "/kv/reserve" : "/kv/release", text,
         on_memory);
}

static void
on_order(int status, GBytes *body, void *data)
{
    (void)body;
    asked_t *asked = data;
    cq_loads_t *loads = asked->loads;
    if (status != 0 && !loads->stopped) {
        cq_event_t event = {.kind = CQ_EV_ORDERED};
        event.ordered.upstream = asked->upstream;
        event.ordered.fence = asked->fence;
        event.ordered.accepted = status == 200;
        cq_app_post(loads->app, &event);
    }
    end(asked);
}

void
cq_loads_order(cq_loads_t *loads, const cq_ac_order_t *order)
{
    char *text =
        g_strdup_printf("{\"model\":\"%s\",\"fence\":%" G_GUINT64_FORMAT "}",
                        order->model, order->fence);
    asked_t *asked = g_new0(asked_t, 1);
    asked->loads = loads;
    asked->upstream = order->upstream;
    asked->fence = order->fence;
    tell(asked, "/order", text, on_order);
}
