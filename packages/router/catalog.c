#include "router/catalog.h"

#include "platform/records.h"
#include "router/emptying.h"

struct cq_catalog {
    cq_app_t *app;
    cq_partstore_t *partstore;
    cq_topicmap_t *maps[CQ_TOPIC_COUNT];
    cq_routes_t *routes;
    cq_store_record_t config; /* from which routes was parsed */
    cq_emptying_t emptying;
    gboolean rows_changed; /* since the last HOSTS event */
};

static void
log_left_out(const cq_catalog_t *catalog, const cq_routes_t *routes)
{
    for (guint i = 0; i < routes->left_out->len; i++) {
        cq_app_log(catalog->app, "record_part_ignored",
                   "topic=config version=%" G_GUINT64_FORMAT
                   " part=%u of=%u why=\"%s\"",
                   routes->version, i + 1, routes->left_out_count,
                   (const char *)g_ptr_array_index(routes->left_out, i));
    }
}

/* Ignores a configuration whose version is not newer than the current one. */
static void
apply_config(cq_catalog_t *catalog, const cq_store_record_t *record)
{
    cq_error_t error = {0};
    gsize len;
    const char *text = g_bytes_get_data(record->value, &len);
    cq_routes_t *routes = cq_records_parse_routes(text, len, &error);
    if (routes == NULL) {
        cq_topicmap_log_invalid(catalog->maps[CQ_TOPIC_CONFIG], record,
                                &error);
        return;
    }
    cq_topicmap_note_valid(catalog->maps[CQ_TOPIC_CONFIG], record->key);
    if (catalog->routes != NULL &&
        routes->version <= catalog->routes->version) {
        cq_routes_free(routes);
        return;
    }
    cq_routes_t *old = catalog->routes;
    catalog->routes = routes;
    cq_store_record_clear(&catalog->config);
    cq_store_record_copy(&catalog->config, record);
    cq_app_set_routes(catalog->app, routes);
    for (guint i = 0; i < routes->rules->len; i++) {
        cq_event_t event = {.kind = CQ_EV_RULES,
                            .rules = g_ptr_array_index(routes->rules, i)};
        cq_app_post(catalog->app, &event);
    }
    cq_app_log(catalog->app, "config",
               "version=%" G_GUINT64_FORMAT
               " routes=%u offset=%" G_GUINT64_FORMAT,
               routes->version, routes->all->len, record->offset);
    log_left_out(catalog, routes);
    if (old != NULL) {
        cq_routes_free(old);
    }
}

static void
apply_part(cq_catalog_t *catalog, const cq_store_record_t *record)
{
    cq_topicmap_t *map = catalog->maps[CQ_TOPIC_HOSTS];
    cq_error_t error = {0};
    if (cq_partstore_apply(catalog->partstore, record, &error)) {
        cq_topicmap_note_valid(map, record->key);
    }
    else {
        cq_topicmap_log_invalid(map, record, &error);
    }
}

static void
post_rows(cq_catalog_t *catalog, GArray *rows, gint64 lapsed_until_us)
{
    cq_topicmap_sort_hosts(rows);
    cq_event_t event = {.kind = CQ_EV_HOSTS};
    event.hosts.rows = (const cq_host_row_t *)(const void *)rows->data;
    event.hosts.len = rows->len;
    event.hosts.lapsed_until_us = lapsed_until_us;
    cq_app_post(catalog->app, &event);
}

cq_catalog_t *
cq_catalog_new(cq_app_t *app, cq_partstore_t *partstore)
{
    cq_catalog_t *catalog = g_new0(cq_catalog_t, 1);
    catalog->app = app;
    catalog->partstore = partstore;
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        catalog->maps[i] = cq_topicmap_new(app, (cq_topic_t)i);
    }
    cq_emptying_init(&catalog->emptying, app, catalog->maps[CQ_TOPIC_CONFIG]);
    return catalog;
}

void
cq_catalog_free(cq_catalog_t *catalog)
{
    cq_emptying_clear(&catalog->emptying);
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        cq_topicmap_free(catalog->maps[i]);
    }
    if (catalog->routes != NULL) {
        cq_routes_free(catalog->routes);
    }
    cq_store_record_clear(&catalog->config);
    g_free(catalog);
}

gboolean
cq_catalog_has_routes(const cq_catalog_t *catalog)
{
    return catalog->routes != NULL;
}

const cq_store_record_t *
cq_catalog_config(const cq_catalog_t *catalog)
{
    return catalog->routes != NULL ? &catalog->config : NULL;
}

guint64
cq_catalog_config_version(const cq_catalog_t *catalog)
{
    return catalog->routes != NULL ? catalog->routes->version : 0;
}

void
cq_catalog_apply_config(cq_catalog_t *catalog, const cq_store_record_t *record)
{
    if (cq_records_is_routes_key(record->key) && record->value != NULL) {
        apply_config(catalog, record);
    }
}

void
cq_catalog_apply(cq_catalog_t *catalog, cq_topic_t topic,
                 const cq_store_record_t *record, cq_record_source_t source)
{
    cq_topicmap_t *map = catalog->maps[topic];
    if (!cq_topicmap_is_new(map, record, source)) {
        return;
    }
    if (topic == CQ_TOPIC_CONFIG) {
        cq_catalog_apply_config(catalog, record);
    }
    if (topic == CQ_TOPIC_HOSTS && cq_partstore_owns(record->key)) {
        apply_part(catalog, record);
    }
    if (cq_topicmap_add(map, record, source)) {
        catalog->rows_changed = TRUE;
    }
    if (topic == CQ_TOPIC_CONFIG && cq_emptying_owns(record->key)) {
        cq_emptying_update(&catalog->emptying);
    }
}

/* Keys of a topic may have been dropped; @dropped: ones that were listed. */
static void
note_dropped(cq_catalog_t *catalog, cq_topic_t topic, gboolean dropped)
{
    if (dropped) {
        catalog->rows_changed = TRUE;
    }
    if (topic == CQ_TOPIC_CONFIG) {
        cq_emptying_update(&catalog->emptying);
    }
}

gboolean
cq_catalog_apply_claim(cq_catalog_t *catalog, cq_topic_t topic,
                       const cq_topicmap_claim_t *claim)
{
    gboolean dropped = FALSE;
    gboolean known =
        cq_topicmap_add_claim(catalog->maps[topic], claim, &dropped);
    note_dropped(catalog, topic, dropped);
    return known;
}

cq_topicmap_t *
cq_catalog_map(const cq_catalog_t *catalog, cq_topic_t topic)
{
    return catalog->maps[topic];
}

/* An entry that is merely missing may have expired in an outage of the store.
 * So upstreams that left on notice, with both records read at once, are first
 * listed as leaving. */
void
cq_catalog_post(cq_catalog_t *catalog, gint64 lapsed_until_us)
{
    if (!catalog->rows_changed) {
        return;
    }
    catalog->rows_changed = FALSE;
    cq_topicmap_t *upstreams = catalog->maps[CQ_TOPIC_UPSTREAMS];
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(cq_host_row_t));
    cq_topicmap_list_hosts(upstreams, rows);
    cq_topicmap_list_hosts(catalog->maps[CQ_TOPIC_HOSTS], rows);
    GArray *left = g_array_new(FALSE, TRUE, sizeof(cq_host_row_t));
    cq_topicmap_list_left(upstreams, left);
    if (left->len > 0) {
        g_array_append_vals(left, rows->data, rows->len);
        post_rows(catalog, left, lapsed_until_us);
    }
    post_rows(catalog, rows, lapsed_until_us);
    cq_app_connect_peers(catalog->app);
    g_array_unref(left);
    g_array_unref(rows);
}

void
cq_catalog_end_snapshot(cq_catalog_t *catalog, cq_topic_t topic)
{
    note_dropped(catalog, topic,
                 cq_topicmap_end_snapshot(catalog->maps[topic]));
}

void
cq_catalog_begin_era(cq_catalog_t *catalog)
{
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        cq_topicmap_begin_era(catalog->maps[i]);
    }
}

void
cq_catalog_end_era(cq_catalog_t *catalog)
{
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        note_dropped(catalog, (cq_topic_t)i,
                     cq_topicmap_end_era(catalog->maps[i]));
    }
    cq_catalog_post(catalog, 0);
}
