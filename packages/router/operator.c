#include "router/operator.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "router/http.h"

struct cq_operator {
    cq_app_t *app;
    SoupServer *server;
};

static void
reply(SoupServerMessage *message, guint status, const char *type, char *text)
{
    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, type, SOUP_MEMORY_TAKE, text,
                                     strlen(text));
}

static void
reply_json(SoupServerMessage *message, JsonBuilder *builder)
{
    JsonNode *root = json_builder_get_root(builder);
    reply(message, 200, "application/json", json_to_string(root, FALSE));
    json_node_unref(root);
    g_object_unref(builder);
}

static void
add_number(JsonBuilder *builder, const char *key, gint64 number)
{
    json_builder_set_member_name(builder, key);
    json_builder_add_int_value(builder, number);
}

static void
add_text(JsonBuilder *builder, const char *key, const char *text)
{
    json_builder_set_member_name(builder, key);
    json_builder_add_string_value(builder, text);
}

static void
serve_health(cq_operator_t *oper, SoupServerMessage *message,
             GHashTable *query)
{
    (void)oper;
    (void)query;
    reply(message, 200, "text/plain", g_strdup("ok\n"));
}

static void
serve_ready(cq_operator_t *oper, SoupServerMessage *message, GHashTable *query)
{
    (void)query;
    if (cq_app_draining(oper->app)) {
        reply(message, 503, "text/plain", g_strdup("draining\n"));
        return;
    }
    if (!cq_app_ready(oper->app)) {
        reply(message, 503, "text/plain", g_strdup("no configuration\n"));
        return;
    }
    reply(message, 200, "text/plain", g_strdup("ready\n"));
}

static void
serve_metrics(cq_operator_t *oper, SoupServerMessage *message,
              GHashTable *query)
{
    (void)query;
    cq_core_t *core = cq_app_core(oper->app);
    cq_core_stats_t stats = cq_core_stats(core);
    GString *out = g_string_new("");
    cq_counters_render(cq_core_counters(core), out);
    g_string_append_printf(out, "cuminquay_requests_open %u\n",
                           stats.requests);
    g_string_append_printf(out, "cuminquay_requests_queued %u\n",
                           stats.queued);
    g_string_append_printf(out, "cuminquay_reservations_open %u\n",
                           stats.reserved);
    g_string_append_printf(out, "cuminquay_upstreams %u\n", stats.upstreams);
    g_string_append_printf(out, "cuminquay_peers_heard %u\n", stats.peers);
    g_string_append_printf(out, "cuminquay_peers_sought %u\n",
                           cq_app_peer_count(oper->app));
    reply(message, 200, "text/plain; version=0.0.4",
          g_string_free(out, FALSE));
}

static void
serve_status(cq_operator_t *oper, SoupServerMessage *message,
             GHashTable *query)
{
    (void)query;
    const cq_settings_t *settings = cq_app_settings(oper->app);
    cq_core_stats_t stats = cq_core_stats(cq_app_core(oper->app));
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    add_text(builder, "host", settings->host);
    add_text(builder, "zone", settings->zone);
    add_number(builder, "incarnation", (gint64)cq_app_incarnation(oper->app));
    json_builder_set_member_name(builder, "draining");
    json_builder_add_boolean_value(builder, cq_app_draining(oper->app));
    add_number(builder, "requests_open", stats.requests);
    add_number(builder, "requests_queued", stats.queued);
    add_number(builder, "reservations_open", stats.reserved);
    add_number(builder, "upstreams", stats.upstreams);
    add_number(builder, "peers_heard", stats.peers);
    add_number(builder, "services", stats.services);
    json_builder_end_object(builder);
    reply_json(message, builder);
}

static void
serve_config(cq_operator_t *oper, SoupServerMessage *message,
             GHashTable *query)
{
    (void)query;
    cq_record_t record = cq_fold_checkpoint(cq_app_fold(oper->app));
    reply(message, 200, "application/json", cq_record_encode(&record));
    cq_record_clear(&record);
}

static void
add_event(JsonBuilder *builder, const char *host, const cq_ring_event_t *event)
{
    char request[32];
    g_snprintf(request, sizeof request, "%016" G_GINT64_MODIFIER "x",
               event->request);
    json_builder_begin_object(builder);
    add_number(builder, "wall_us", event->hlc.wall_us);
    add_number(builder, "logical", event->hlc.logical);
    add_text(builder, "host", host);
    add_text(builder, "request", request);
    add_number(builder, "attempt", event->attempt);
    add_text(builder, "kind", event->kind);
    add_text(builder, "fields", event->text);
    json_builder_end_object(builder);
}

/* Serves the time line; with the query request=HEX, only the events of that
 * request. */
static void
serve_timeline(cq_operator_t *oper, SoupServerMessage *message,
               GHashTable *query)
{
    const char *text =
        query != NULL ? g_hash_table_lookup(query, "request") : NULL;
    guint64 filter = text != NULL ? g_ascii_strtoull(text, NULL, 16) : 0;
    const cq_ring_t *ring = cq_core_ring(cq_app_core(oper->app));
    const char *host = cq_app_settings(oper->app)->host;
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_array(builder);
    for (guint64 i = cq_ring_first(ring); i < ring->count; i++) {
        const cq_ring_event_t *event = cq_ring_at(ring, i);
        if (filter == 0 || event->request == filter) {
            add_event(builder, host, event);
        }
    }
    json_builder_end_array(builder);
    reply_json(message, builder);
}

static void
serve_drain(cq_operator_t *oper, SoupServerMessage *message, GHashTable *query)
{
    (void)query;
    if (soup_server_message_get_method(message) != SOUP_METHOD_POST) {
        reply(message, 405, "text/plain", g_strdup("use POST\n"));
        return;
    }
    if (!cq_app_draining(oper->app)) {
        cq_app_drain(oper->app);
    }
    reply(message, 200, "text/plain", g_strdup("draining\n"));
}

typedef struct {
    const char *path;
    void (*serve)(cq_operator_t *oper, SoupServerMessage *message,
                  GHashTable *query);
} page_t;

static const page_t pages[] = {
    {"/healthz", serve_health},  {"/readyz", serve_ready},
    {"/metrics", serve_metrics}, {"/status", serve_status},
    {"/config", serve_config},   {"/timeline", serve_timeline},
    {"/drain", serve_drain},
};

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, gpointer data)
{
    (void)server;
    for (guint i = 0; i < G_N_ELEMENTS(pages); i++) {
        if (strcmp(pages[i].path, path) == 0) {
            pages[i].serve(data, message, query);
            return;
        }
    }
    reply(message, 404, "text/plain",
          g_strdup("use /healthz /readyz /metrics /status /config /timeline "
                   "or /drain\n"));
}

cq_operator_t *
cq_operator_new(cq_app_t *app)
{
    cq_operator_t *oper = g_new0(cq_operator_t, 1);
    oper->app = app;
    oper->server = soup_server_new("server-header", "cuminquay", NULL);
    soup_server_add_handler(oper->server, NULL, on_request, oper, NULL);
    return oper;
}

gboolean
cq_operator_listen(cq_operator_t *oper, const char *addr, cq_error_t *error)
{
    return cq_http_listen(oper->server, "listen.operators", addr, error);
}

void
cq_operator_free(cq_operator_t *oper)
{
    soup_server_disconnect(oper->server);
    g_object_unref(oper->server);
    g_free(oper);
}
