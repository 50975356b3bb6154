#include "router/follower.h"

#include <string.h>

#include "platform/records.h"
#include "router/links.h"
#include "router/relay.h"

/* Long-poll time of a read: how long the store holds it while there is no new
 * record. If the answer is lost, it takes that long until this process reads
 * again. Meanwhile peers send it new upstreams and configurations, and hosts
 * that start dial their peers. */
static const guint read_wait_ms[CQ_TOPIC_COUNT] = {
    [CQ_TOPIC_CONFIG] = 10000,
    [CQ_TOPIC_UPSTREAMS] = 5000,
    [CQ_TOPIC_HOSTS] = 30000,
};
/* Delay before the next read after a new record, so that upstreams and hosts
 * that start or stop together are read together. */
#define BATCH_DELAY_MS 200
#define RETRY_MIN_MS 200
#define RETRY_MAX_MS 1000
/* A peer that can read the store itself lags by at most this time. */
#define PEER_LAG_MAX_US (1500 * CQ_MS_US)

/*
 * The newest record of a key.
 * valid: listed was parsed from the record
 * seen: the key is part of the snapshot being read
 */
typedef struct {
    cq_store_record_t record;
    gboolean valid;
    cq_host_row_t listed;
    gboolean seen;
} entry_t;

/*
 * The copy of a topic.
 * current: received from the store or a peer since the last suspension
 * snapshot_complete: a snapshot has been read completely
 * failing: the last read failed
 */
typedef struct {
    cq_follower_t *follower;
    cq_topic_t topic;
    GHashTable *entries;
    guint64 next;         /* offset after the last record known */
    guint64 next_sampled; /* next as it was at sampled_us */
    guint64 snapshot_end; /* end offset that the first page gave */
    gboolean current;
    gboolean snapshot_complete;
    gboolean failing;
    guint retry_ms;
    guint timer;
    gint64 sampled_us;
    gint64 read_started_us;
} table_t;

struct cq_follower {
    cq_app_t *app;
    cq_store_t *store;
    table_t tables[CQ_TOPIC_COUNT];
    cq_routes_t *routes;
    gboolean rows_changed; /* since the last HOSTS event */
    guint write_timer;
    gboolean writing;
    gboolean deregistered;
    gboolean store_state_posted; /* a LOG event has been posted */
};

static void
start_read(table_t *table);

static void
free_entry(gpointer data)
{
    entry_t *entry = data;
    g_free(entry->record.key);
    g_clear_pointer(&entry->record.value, g_bytes_unref);
    g_free(entry);
}

static void
log_invalid(const table_t *table, const cq_store_record_t *record,
            const cq_error_t *error)
{
    cq_app_log(table->follower->app, "record_ignored",
               "topic=%s key=%s offset=%" G_GUINT64_FORMAT " why=\"%s\"",
               cq_topic_name(table->topic), record->key, record->offset,
               error->text);
}

/* Ignores a configuration whose version is not newer than the current one. */
static void
apply_config(table_t *table, const cq_store_record_t *record)
{
    cq_follower_t *follower = table->follower;
    cq_error_t error = {0};
    gsize len;
    const char *text = g_bytes_get_data(record->value, &len);
    cq_routes_t *routes = cq_records_parse_routes(text, len, &error);
    if (routes == NULL) {
        log_invalid(table, record, &error);
        return;
    }
    if (follower->routes != NULL &&
        routes->version <= follower->routes->version) {
        cq_routes_free(routes);
        return;
    }
    cq_routes_t *old = follower->routes;
    follower->routes = routes;
    cq_app_set_routes(follower->app, routes);
    for (guint i = 0; i < routes->rules->len; i++) {
        cq_event_t event = {.kind = CQ_EV_RULES,
                            .rules = g_ptr_array_index(routes->rules, i)};
        cq_app_post(follower->app, &event);
    }
    cq_app_log(follower->app, "config",
               "version=%" G_GUINT64_FORMAT
               " routes=%u offset=%" G_GUINT64_FORMAT,
               routes->version, routes->all->len, record->offset);
    if (old != NULL) {
        cq_routes_free(old);
    }
}

static gboolean
listed_equal(const cq_host_row_t *a, const cq_host_row_t *b)
{
    return strcmp(a->addr, b->addr) == 0 && strcmp(a->zone, b->zone) == 0 &&
           strcmp(a->service, b->service) == 0 &&
           a->incarnation == b->incarnation && a->leaving == b->leaving;
}

/* Upstreams rewrite their entries often and mostly unchanged, so most records
 * need no event. */
static gboolean
entry_equal(const entry_t *a, const entry_t *b)
{
    return a != NULL && a->valid == b->valid &&
           (!a->valid || listed_equal(&a->listed, &b->listed));
}

static void
parse_entry(table_t *table, entry_t *entry)
{
    cq_error_t error = {0};
    if (entry->record.value != NULL) {
        gsize len;
        const char *text = g_bytes_get_data(entry->record.value, &len);
        gboolean upstream = table->topic == CQ_TOPIC_UPSTREAMS;
        entry->valid =
            upstream ? cq_records_parse_upstream(entry->record.key, text, len,
                                                 &entry->listed, &error)
                     : cq_records_parse_host(entry->record.key, text, len,
                                             &entry->listed, &error);
        if (!entry->valid) {
            log_invalid(table, &entry->record, &error);
        }
    }
}

static void
apply_record(table_t *table, const cq_store_record_t *record)
{
    cq_follower_t *follower = table->follower;
    entry_t *old = g_hash_table_lookup(table->entries, record->key);
    if (old != NULL && old->record.offset > record->offset) {
        old->seen = TRUE;
        return;
    }
    if (table->topic == CQ_TOPIC_CONFIG &&
        cq_records_is_routes_key(record->key) && record->value != NULL) {
        apply_config(table, record);
    }
    entry_t *entry = g_new0(entry_t, 1);
    entry->seen = TRUE;
    entry->record.key = g_strdup(record->key);
    entry->record.offset = record->offset;
    if (record->value != NULL) {
        entry->record.value = g_bytes_ref(record->value);
    }
    if (table->topic != CQ_TOPIC_CONFIG) {
        parse_entry(table, entry);
        gboolean never_valid = old == NULL && !entry->valid;
        if (!never_valid && !entry_equal(old, entry)) {
            follower->rows_changed = TRUE;
        }
    }
    g_hash_table_replace(table->entries, entry->record.key, entry);
}

static void
append_valid(const table_t *table, GArray *rows)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const entry_t *entry = value;
        if (entry->valid) {
            g_array_append_val(rows, entry->listed);
        }
    }
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(((const cq_host_row_t *)a)->name,
                  ((const cq_host_row_t *)b)->name);
}

static void
post_hosts(cq_follower_t *follower)
{
    if (!follower->rows_changed) {
        return;
    }
    follower->rows_changed = FALSE;
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(cq_host_row_t));
    append_valid(&follower->tables[CQ_TOPIC_UPSTREAMS], rows);
    append_valid(&follower->tables[CQ_TOPIC_HOSTS], rows);
    g_array_sort(rows, compare_names);
    cq_event_t event = {.kind = CQ_EV_HOSTS};
    event.hosts.rows = (const cq_host_row_t *)(const void *)rows->data;
    event.hosts.len = rows->len;
    cq_app_post(follower->app, &event);
    cq_app_connect_peers(follower->app);
    g_array_unref(rows);
}

/* Keys that are missing from a complete snapshot were deleted. Records written
 * after its first page was read are kept. */
static void
invalidate_unseen(table_t *table)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_t *entry = value;
        if (!entry->seen && entry->record.offset < table->snapshot_end &&
            entry->valid) {
            entry->valid = FALSE;
            g_clear_pointer(&entry->record.value, g_bytes_unref);
            table->follower->rows_changed = TRUE;
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
any_failing(const cq_follower_t *follower)
{
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        if (follower->tables[i].failing) {
            return TRUE;
        }
    }
    return FALSE;
}

/* The store counts as unreachable while the last read of at least one topic
 * has failed. A LOG event tells the core the first state and each change. */
static void
set_failing(table_t *table, gboolean failing)
{
    cq_follower_t *follower = table->follower;
    gboolean was_failing = any_failing(follower);
    table->failing = failing;
    gboolean is_failing = any_failing(follower);
    if (was_failing != is_failing || !follower->store_state_posted) {
        follower->store_state_posted = TRUE;
        cq_event_t event = {.kind = CQ_EV_LOG, .log_up = !is_failing};
        cq_app_post(follower->app, &event);
    }
}

static gboolean
on_read_timer(gpointer data)
{
    table_t *table = data;
    table->timer = 0;
    start_read(table);
    return G_SOURCE_REMOVE;
}

static void
schedule_read(table_t *table, guint ms)
{
    if (table->timer == 0) {
        table->timer = g_timeout_add(ms, on_read_timer, table);
    }
}

static void
retry_read(table_t *table)
{
    set_failing(table, TRUE);
    table->retry_ms = CLAMP(table->retry_ms * 2, RETRY_MIN_MS, RETRY_MAX_MS);
    schedule_read(table, table->retry_ms);
}

/* Return: delay before the next read. An empty answer should come only after
 * the long-poll time, so the next read can start at once; RETRY_MIN_MS avoids
 * a tight loop if the store did not hold the read. */
static guint
next_read_delay_ms(const table_t *table, gboolean got_records)
{
    if (!got_records) {
        gint64 elapsed_us =
            cq_app_now_us(table->follower->app) - table->read_started_us;
        return elapsed_us < RETRY_MIN_MS * CQ_MS_US ? RETRY_MIN_MS : 0;
    }
    return table->topic == CQ_TOPIC_CONFIG ? 0 : BATCH_DELAY_MS;
}

static void
apply_page(table_t *table, const cq_store_page_t *page)
{
    for (guint i = 0; i < page->records->len; i++) {
        apply_record(table,
                     &g_array_index(page->records, cq_store_record_t, i));
    }
}

static void
read_succeeded(table_t *table)
{
    table->retry_ms = 0;
    set_failing(table, FALSE);
    post_hosts(table->follower);
}

static void
on_snapshot_page(const cq_store_page_t *page, void *data)
{
    table_t *table = data;
    if (page->outcome != CQ_STORE_DONE) {
        table->snapshot_complete = FALSE;
        retry_read(table);
        return;
    }
    if (table->snapshot_end == 0) {
        table->snapshot_end = page->end;
    }
    apply_page(table, page);
    if (page->more && page->records->len > 0) {
        const cq_store_record_t *last = &g_array_index(
            page->records, cq_store_record_t, page->records->len - 1);
        cq_store_read_newest(table->follower->store, table->topic, last->key,
                             on_snapshot_page, table);
        return;
    }
    invalidate_unseen(table);
    /* Records may have been written while the pages were read, so reading
     * goes on at the end offset that the first page gave. */
    table->next = MAX(table->next, table->snapshot_end);
    table->snapshot_complete = TRUE;
    table->current = TRUE;
    read_succeeded(table);
    schedule_read(table, 0);
}

static void
on_read(const cq_store_page_t *page, void *data)
{
    table_t *table = data;
    switch (page->outcome) {
    case CQ_STORE_FAILED:
        retry_read(table);
        return;
    case CQ_STORE_EXPIRED:
        table->snapshot_complete = FALSE;
        schedule_read(table, 0);
        return;
    case CQ_STORE_DONE:
        break;
    }
    apply_page(table, page);
    table->next = MAX(table->next, page->next);
    table->current = TRUE;
    read_succeeded(table);
    schedule_read(table, next_read_delay_ms(table, page->records->len > 0));
}

static void
start_read(table_t *table)
{
    cq_follower_t *follower = table->follower;
    table->read_started_us = cq_app_now_us(follower->app);
    if (!table->snapshot_complete) {
        table->snapshot_end = 0;
        mark_unseen(table);
        cq_store_read_newest(follower->store, table->topic, NULL,
                             on_snapshot_page, table);
        return;
    }
    cq_store_read(follower->store, table->topic, table->next,
                  table->current ? read_wait_ms[table->topic] : 0, on_read,
                  table);
}

static gboolean
on_write_timer(gpointer data);

static void
on_written(const cq_store_page_t *page, void *data)
{
    cq_follower_t *follower = data;
    follower->writing = FALSE;
    if (page->outcome != CQ_STORE_DONE && !follower->deregistered) {
        follower->write_timer =
            g_timeout_add(RETRY_MAX_MS, on_write_timer, follower);
    }
}

static void
write_entry(cq_follower_t *follower)
{
    const cq_settings_t *settings = cq_app_settings(follower->app);
    cq_host_row_t listed = {.incarnation = cq_app_incarnation(follower->app)};
    g_strlcpy(listed.addr, settings->peers, sizeof listed.addr);
    g_strlcpy(listed.zone, settings->zone, sizeof listed.zone);
    char *text = cq_records_format_host(&listed);
    follower->writing = TRUE;
    cq_store_write(follower->store, CQ_TOPIC_HOSTS, settings->host, text,
                   on_written, follower);
    g_free(text);
}

static gboolean
on_write_timer(gpointer data)
{
    cq_follower_t *follower = data;
    follower->write_timer = 0;
    if (!follower->deregistered) {
        write_entry(follower);
    }
    return G_SOURCE_REMOVE;
}

cq_follower_t *
cq_follower_new(cq_app_t *app)
{
    cq_follower_t *follower = g_new0(cq_follower_t, 1);
    follower->app = app;
    follower->store = cq_store_new(cq_app_settings(app)->store);
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        table_t *table = &follower->tables[i];
        table->follower = follower;
        table->topic = (cq_topic_t)i;
        table->entries =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
        start_read(table);
    }
    write_entry(follower);
    return follower;
}

void
cq_follower_free(cq_follower_t *follower)
{
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        table_t *table = &follower->tables[i];
        if (table->timer != 0) {
            g_source_remove(table->timer);
        }
        g_hash_table_unref(table->entries);
    }
    if (follower->write_timer != 0) {
        g_source_remove(follower->write_timer);
    }
    cq_store_free(follower->store);
    if (follower->routes != NULL) {
        cq_routes_free(follower->routes);
    }
    g_free(follower);
}

gboolean
cq_follower_ready(const cq_follower_t *follower)
{
    return follower->routes != NULL &&
           follower->tables[CQ_TOPIC_UPSTREAMS].current;
}

static void
on_deregistered(const cq_store_page_t *page, void *data)
{
    (void)page;
    (void)data;
}

void
cq_follower_deregister(cq_follower_t *follower)
{
    follower->deregistered = TRUE;
    cq_store_write(follower->store, CQ_TOPIC_HOSTS,
                   cq_app_settings(follower->app)->host, NULL, on_deregistered,
                   follower);
}

void
cq_follower_reread(cq_follower_t *follower)
{
    /* Answers to earlier reads are discarded: they may be out of date. */
    cq_store_reset(follower->store);
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        table_t *table = &follower->tables[i];
        table->current = FALSE;
        if (table->timer != 0) {
            g_source_remove(table->timer);
            table->timer = 0;
        }
        start_read(table);
    }
    if (follower->deregistered) {
        cq_follower_deregister(follower);
    }
    else if (follower->writing) {
        write_entry(follower);
    }
}

guint64
cq_follower_offset(const cq_follower_t *follower, cq_topic_t topic)
{
    return follower->tables[topic].next;
}

gboolean
cq_follower_list_missing(cq_follower_t *follower, cq_topic_t topic, guint64 at,
                         cq_follower_visit_t visit, void *data)
{
    table_t *table = &follower->tables[topic];
    gint64 now_us = cq_app_now_us(follower->app);
    if (now_us - table->sampled_us > PEER_LAG_MAX_US) {
        table->sampled_us = now_us;
        table->next_sampled = table->next;
        return FALSE;
    }
    if (at >= table->next_sampled) {
        return FALSE;
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const entry_t *entry = value;
        if (entry->record.offset >= at) {
            visit(topic, &entry->record, data);
        }
    }
    return TRUE;
}

void
cq_follower_add_record(cq_follower_t *follower, cq_topic_t topic,
                       const cq_store_record_t *record)
{
    apply_record(&follower->tables[topic], record);
}

void
cq_follower_set_offset(cq_follower_t *follower, cq_topic_t topic, guint64 at)
{
    table_t *table = &follower->tables[topic];
    table->next = MAX(table->next, at);
    table->current = TRUE;
    post_hosts(follower);
}
