#include "router/follow.h"

#include <string.h>

#include "platform/records.h"
#include "router/links.h"
#include "router/relay.h"

/* How long a read waits for news: an answer that is lost is noticed as much
 * later. Peers tell of upstreams and configurations meanwhile, and hosts that
 * start dial theirs. */
static const guint wait_ms[CQ_TOPIC_COUNT] = {
    [CQ_TOPIC_CONFIG] = 10000,
    [CQ_TOPIC_UPSTREAMS] = 5000,
    [CQ_TOPIC_HOSTS] = 30000,
};
/* Upstreams and hosts that come or go together are read together. */
#define BURST_MS 200
#define RETRY_MIN_MS 200
#define RETRY_MAX_MS 1000
/* A peer that reads the store itself is never further behind than this. */
#define LAG_US (1500 * CQ_MS_US)

/* The newest record of a key, and what it says. */
typedef struct {
    cq_store_record_t record;
    gboolean usable;
    cq_host_row_t row;
    gboolean seen;
} entry_t;

typedef struct {
    cq_follow_t *follow;
    cq_topic_t topic;
    GHashTable *entries;
    guint64 next;      /* offset after the newest record known */
    guint64 next_old;  /* the same, some time ago */
    guint64 end_first; /* of the first page of a snapshot */
    gboolean known;
    gboolean whole;
    gboolean failing;
    guint retry_ms;
    guint timer;
    gint64 sampled_us;
    gint64 read_us;
} table_t;

struct cq_follow {
    cq_app_t *app;
    cq_store_t *store;
    table_t tables[CQ_TOPIC_COUNT];
    cq_routes_t *routes;
    gboolean rows_changed;
    guint write_timer;
    gboolean writing;
    gboolean left;
    gboolean told; /* the core knows whether the store answers */
};

static void
read_on(table_t *table);

static void
free_entry(gpointer data)
{
    entry_t *entry = data;
    g_free(entry->record.key);
    g_clear_pointer(&entry->record.value, g_bytes_unref);
    g_free(entry);
}

static void
note_bad(const table_t *table, const cq_store_record_t *record,
         const cq_error_t *error)
{
    cq_app_log(table->follow->app, "record_ignored",
               "topic=%s key=%s offset=%" G_GUINT64_FORMAT " why=\"%s\"",
               cq_topic_name(table->topic), record->key, record->offset,
               error->text);
}

/* An older version never replaces a newer one. */
static void
take_config(table_t *table, const cq_store_record_t *record)
{
    cq_follow_t *follow = table->follow;
    cq_error_t error = {0};
    gsize len;
    const char *text = g_bytes_get_data(record->value, &len);
    cq_routes_t *routes = cq_records_parse_routes(text, len, &error);
    if (routes == NULL) {
        note_bad(table, record, &error);
        return;
    }
    if (follow->routes != NULL && routes->version <= follow->routes->version) {
        cq_routes_free(routes);
        return;
    }
    cq_routes_t *old = follow->routes;
    follow->routes = routes;
    cq_app_routes(follow->app, routes);
    for (guint i = 0; i < routes->rules->len; i++) {
        cq_event_t event = {.kind = CQ_EV_RULES,
                            .rules = g_ptr_array_index(routes->rules, i)};
        cq_app_post(follow->app, &event);
    }
    cq_app_log(follow->app, "config",
               "version=%" G_GUINT64_FORMAT
               " routes=%u offset=%" G_GUINT64_FORMAT,
               routes->version, routes->all->len, record->offset);
    if (old != NULL) {
        cq_routes_free(old);
    }
}

static gboolean
same_listed(const cq_host_row_t *a, const cq_host_row_t *b)
{
    return strcmp(a->addr, b->addr) == 0 && strcmp(a->zone, b->zone) == 0 &&
           strcmp(a->service, b->service) == 0 &&
           a->incarnation == b->incarnation && a->leaving == b->leaving;
}

/* Upstreams write their entries often, and mostly the same again. */
static gboolean
same_row(const entry_t *a, const entry_t *b)
{
    return a != NULL && a->usable == b->usable &&
           (!a->usable || same_listed(&a->row, &b->row));
}

static void
take_row(table_t *table, entry_t *entry)
{
    cq_error_t error = {0};
    if (entry->record.value != NULL) {
        gsize len;
        const char *text = g_bytes_get_data(entry->record.value, &len);
        gboolean upstream = table->topic == CQ_TOPIC_UPSTREAMS;
        entry->usable =
            upstream ? cq_records_parse_upstream(entry->record.key, text, len,
                                                 &entry->row, &error)
                     : cq_records_parse_host(entry->record.key, text, len,
                                             &entry->row, &error);
        if (!entry->usable) {
            note_bad(table, &entry->record, &error);
        }
    }
}

static void
take_record(table_t *table, const cq_store_record_t *record)
{
    cq_follow_t *follow = table->follow;
    entry_t *old = g_hash_table_lookup(table->entries, record->key);
    if (old != NULL && old->record.offset > record->offset) {
        old->seen = TRUE;
        return;
    }
    if (table->topic == CQ_TOPIC_CONFIG &&
        cq_records_is_routes_key(record->key) && record->value != NULL) {
        take_config(table, record);
    }
    entry_t *entry = g_new0(entry_t, 1);
    entry->seen = TRUE;
    entry->record.key = g_strdup(record->key);
    entry->record.offset = record->offset;
    if (record->value != NULL) {
        entry->record.value = g_bytes_ref(record->value);
    }
    if (table->topic != CQ_TOPIC_CONFIG) {
        take_row(table, entry);
        gboolean none = old == NULL && !entry->usable;
        if (!none && !same_row(old, entry)) {
            follow->rows_changed = TRUE;
        }
    }
    g_hash_table_replace(table->entries, entry->record.key, entry);
}

static void
add_rows(const table_t *table, GArray *rows)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const entry_t *entry = value;
        if (entry->usable) {
            g_array_append_val(rows, entry->row);
        }
    }
}

static gint
by_name(gconstpointer a, gconstpointer b)
{
    return strcmp(((const cq_host_row_t *)a)->name,
                  ((const cq_host_row_t *)b)->name);
}

static void
post_rows(cq_follow_t *follow)
{
    if (!follow->rows_changed) {
        return;
    }
    follow->rows_changed = FALSE;
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(cq_host_row_t));
    add_rows(&follow->tables[CQ_TOPIC_UPSTREAMS], rows);
    add_rows(&follow->tables[CQ_TOPIC_HOSTS], rows);
    g_array_sort(rows, by_name);
    cq_event_t event = {.kind = CQ_EV_HOSTS};
    event.hosts.rows = (const cq_host_row_t *)(const void *)rows->data;
    event.hosts.len = rows->len;
    cq_app_post(follow->app, &event);
    cq_app_link_peers(follow->app);
    g_array_unref(rows);
}

/* Keys that a whole snapshot does not have were dropped unseen. */
static void
drop_unseen(table_t *table)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_t *entry = value;
        if (!entry->seen && entry->record.offset < table->end_first &&
            entry->usable) {
            entry->usable = FALSE;
            g_clear_pointer(&entry->record.value, g_bytes_unref);
            table->follow->rows_changed = TRUE;
        }
    }
}

static void
mark_unseen(table_t *table)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((entry_t *)value)->seen = FALSE;
    }
}

static gboolean
any_failing(const cq_follow_t *follow)
{
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        if (follow->tables[i].failing) {
            return TRUE;
        }
    }
    return FALSE;
}

/* The store counts as away from the first call of any topic that fails to
 * the first one that is answered. */
static void
set_failing(table_t *table, gboolean failing)
{
    cq_follow_t *follow = table->follow;
    gboolean was = any_failing(follow);
    table->failing = failing;
    gboolean is = any_failing(follow);
    if (was != is || !follow->told) {
        follow->told = TRUE;
        cq_event_t event = {.kind = CQ_EV_LOG, .log_up = !is};
        cq_app_post(follow->app, &event);
    }
}

static gboolean
on_again(gpointer data)
{
    table_t *table = data;
    table->timer = 0;
    read_on(table);
    return G_SOURCE_REMOVE;
}

static void
read_after(table_t *table, guint ms)
{
    if (table->timer == 0) {
        table->timer = g_timeout_add(ms, on_again, table);
    }
}

static void
retry(table_t *table)
{
    set_failing(table, TRUE);
    table->retry_ms = CLAMP(table->retry_ms * 2, RETRY_MIN_MS, RETRY_MAX_MS);
    read_after(table, table->retry_ms);
}

/* A read without news has waited; a store that does not wait is not asked
 * without end. */
static guint
pause_ms(const table_t *table, gboolean news)
{
    if (!news) {
        gint64 took_us = cq_app_now_us(table->follow->app) - table->read_us;
        return took_us < RETRY_MIN_MS * CQ_MS_US ? RETRY_MIN_MS : 0;
    }
    return table->topic == CQ_TOPIC_CONFIG ? 0 : BURST_MS;
}

static void
take_page(table_t *table, const cq_store_page_t *page)
{
    for (guint i = 0; i < page->records->len; i++) {
        take_record(table,
                    &g_array_index(page->records, cq_store_record_t, i));
    }
}

static void
answered(table_t *table)
{
    table->retry_ms = 0;
    set_failing(table, FALSE);
    post_rows(table->follow);
}

static void
on_newest(const cq_store_page_t *page, void *data)
{
    table_t *table = data;
    if (page->outcome != CQ_STORE_DONE) {
        table->whole = FALSE;
        retry(table);
        return;
    }
    if (table->end_first == 0) {
        table->end_first = page->end;
    }
    take_page(table, page);
    if (page->more && page->records->len > 0) {
        const cq_store_record_t *last = &g_array_index(
            page->records, cq_store_record_t, page->records->len - 1);
        cq_store_read_newest(table->follow->store, table->topic, last->key,
                             on_newest, table);
        return;
    }
    drop_unseen(table);
    /* Pages are read one after the other: what was written meanwhile is read
     * again from the end as the first one told it. */
    table->next = MAX(table->next, table->end_first);
    table->whole = TRUE;
    table->known = TRUE;
    answered(table);
    read_after(table, 0);
}

static void
on_read(const cq_store_page_t *page, void *data)
{
    table_t *table = data;
    switch (page->outcome) {
    case CQ_STORE_FAILED:
        retry(table);
        return;
    case CQ_STORE_EXPIRED:
        table->whole = FALSE;
        read_after(table, 0);
        return;
    case CQ_STORE_DONE:
        break;
    }
    take_page(table, page);
    table->next = MAX(table->next, page->next);
    table->known = TRUE;
    answered(table);
    read_after(table, pause_ms(table, page->records->len > 0));
}

static void
read_on(table_t *table)
{
    cq_follow_t *follow = table->follow;
    table->read_us = cq_app_now_us(follow->app);
    if (!table->whole) {
        table->end_first = 0;
        mark_unseen(table);
        cq_store_read_newest(follow->store, table->topic, NULL, on_newest,
                             table);
        return;
    }
    cq_store_read(follow->store, table->topic, table->next,
                  table->known ? wait_ms[table->topic] : 0, on_read, table);
}

static gboolean
on_write_again(gpointer data);

static void
on_written(const cq_store_page_t *page, void *data)
{
    cq_follow_t *follow = data;
    follow->writing = FALSE;
    if (page->outcome != CQ_STORE_DONE && !follow->left) {
        follow->write_timer =
            g_timeout_add(RETRY_MAX_MS, on_write_again, follow);
    }
}

static void
write_entry(cq_follow_t *follow)
{
    const cq_settings_t *settings = cq_app_settings(follow->app);
    cq_host_row_t row = {.incarnation = cq_app_incarnation(follow->app)};
    g_strlcpy(row.addr, settings->peers, sizeof row.addr);
    g_strlcpy(row.zone, settings->zone, sizeof row.zone);
    char *text = cq_records_format_host(&row);
    follow->writing = TRUE;
    cq_store_write(follow->store, CQ_TOPIC_HOSTS, settings->host, text,
                   on_written, follow);
    g_free(text);
}

static gboolean
on_write_again(gpointer data)
{
    cq_follow_t *follow = data;
    follow->write_timer = 0;
    if (!follow->left) {
        write_entry(follow);
    }
    return G_SOURCE_REMOVE;
}

cq_follow_t *
cq_follow_new(cq_app_t *app)
{
    cq_follow_t *follow = g_new0(cq_follow_t, 1);
    follow->app = app;
    follow->store = cq_store_new(cq_app_settings(app)->store);
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        table_t *table = &follow->tables[i];
        table->follow = follow;
        table->topic = (cq_topic_t)i;
        table->entries =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
        read_on(table);
    }
    write_entry(follow);
    return follow;
}

void
cq_follow_free(cq_follow_t *follow)
{
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        table_t *table = &follow->tables[i];
        if (table->timer != 0) {
            g_source_remove(table->timer);
        }
        g_hash_table_unref(table->entries);
    }
    if (follow->write_timer != 0) {
        g_source_remove(follow->write_timer);
    }
    cq_store_free(follow->store);
    if (follow->routes != NULL) {
        cq_routes_free(follow->routes);
    }
    g_free(follow);
}

gboolean
cq_follow_ready(const cq_follow_t *follow)
{
    return follow->routes != NULL && follow->tables[CQ_TOPIC_UPSTREAMS].known;
}

static void
on_left(const cq_store_page_t *page, void *data)
{
    (void)page;
    (void)data;
}

void
cq_follow_leave(cq_follow_t *follow)
{
    follow->left = TRUE;
    cq_store_write(follow->store, CQ_TOPIC_HOSTS,
                   cq_app_settings(follow->app)->host, NULL, on_left, follow);
}

void
cq_follow_distrust(cq_follow_t *follow)
{
    /* An answer on its way was given before. */
    cq_store_reset(follow->store);
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        table_t *table = &follow->tables[i];
        table->known = FALSE;
        if (table->timer != 0) {
            g_source_remove(table->timer);
            table->timer = 0;
        }
        read_on(table);
    }
    if (follow->left) {
        cq_follow_leave(follow);
    }
    else if (follow->writing) {
        write_entry(follow);
    }
}

guint64
cq_follow_at(const cq_follow_t *follow, cq_topic_t topic)
{
    return follow->tables[topic].next;
}

gboolean
cq_follow_lacks(cq_follow_t *follow, cq_topic_t topic, guint64 at,
                cq_follow_tell_t tell, void *data)
{
    table_t *table = &follow->tables[topic];
    gint64 now_us = cq_app_now_us(follow->app);
    if (now_us - table->sampled_us > LAG_US) {
        table->sampled_us = now_us;
        table->next_old = table->next;
        return FALSE;
    }
    if (at >= table->next_old) {
        return FALSE;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const entry_t *entry = value;
        if (entry->record.offset >= at) {
            tell(topic, &entry->record, data);
        }
    }
    return TRUE;
}

void
cq_follow_take(cq_follow_t *follow, cq_topic_t topic,
               const cq_store_record_t *record)
{
    take_record(&follow->tables[topic], record);
}

void
cq_follow_reached(cq_follow_t *follow, cq_topic_t topic, guint64 at)
{
    table_t *table = &follow->tables[topic];
    table->next = MAX(table->next, at);
    table->known = TRUE;
    post_rows(follow);
}
