#include "router/topicmap.h"

#include <string.h>

#include "platform/records.h"
#include "router/partstore.h"

/*
 * The newest record of a key.
 * valid: listed was parsed from the record
 * told: cq_topicmap_list_hosts() has given listed
 * left: the key was deleted before listed, which says that the upstream is
 *   leaving, was told
 * seen: the key is part of the snapshot being read
 */
typedef struct {
    cq_store_record_t record;
    gboolean valid;
    cq_host_row_t listed;
    gboolean told;
    gboolean left;
    gboolean seen;
} entry_t;

struct cq_topicmap {
    cq_app_t *app;
    cq_topic_t topic;
    GHashTable *entries;
};

static void
free_entry(gpointer data)
{
    entry_t *entry = data;
    g_free(entry->record.key);
    g_clear_pointer(&entry->record.value, g_bytes_unref);
    g_free(entry);
}

static gboolean
listed_equal(const cq_host_row_t *a, const cq_host_row_t *b)
{
    return strcmp(a->addr, b->addr) == 0 && strcmp(a->zone, b->zone) == 0 &&
           strcmp(a->service, b->service) == 0 &&
           a->incarnation == b->incarnation && a->leaving == b->leaving;
}

/* Upstreams rewrite their entries often and mostly unchanged, so most records
 * change nothing. */
static gboolean
entry_equal(const entry_t *a, const entry_t *b)
{
    return a != NULL && a->valid == b->valid &&
           (!a->valid || listed_equal(&a->listed, &b->listed));
}

static void
parse_entry(const cq_topicmap_t *map, entry_t *entry)
{
    cq_error_t error = {0};
    if (entry->record.value != NULL) {
        gsize len;
        const char *text = g_bytes_get_data(entry->record.value, &len);
        gboolean upstream = map->topic == CQ_TOPIC_UPSTREAMS;
        entry->valid =
            upstream ? cq_records_parse_upstream(entry->record.key, text, len,
                                                 &entry->listed, &error)
                     : cq_records_parse_host(entry->record.key, text, len,
                                             &entry->listed, &error);
        if (!entry->valid) {
            cq_topicmap_log_invalid(map, &entry->record, &error);
        }
    }
}

/* Keeps what the entry said last if it was deleted before that was told. */
static void
keep_notice(entry_t *entry, const entry_t *old)
{
    gboolean said_leaving = old != NULL && !old->told &&
                            (old->left || (old->valid && old->listed.leaving));
    if (entry->record.value == NULL && said_leaving) {
        entry->listed = old->listed;
        entry->left = TRUE;
    }
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(((const cq_host_row_t *)a)->name,
                  ((const cq_host_row_t *)b)->name);
}

cq_topicmap_t *
cq_topicmap_new(cq_app_t *app, cq_topic_t topic)
{
    cq_topicmap_t *map = g_new0(cq_topicmap_t, 1);
    map->app = app;
    map->topic = topic;
    map->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    return map;
}

void
cq_topicmap_free(cq_topicmap_t *map)
{
    g_hash_table_unref(map->entries);
    g_free(map);
}

void
cq_topicmap_log_invalid(const cq_topicmap_t *map,
                        const cq_store_record_t *record,
                        const cq_error_t *error)
{
    cq_app_log(map->app, "record_ignored",
               "topic=%s key=%s offset=%" G_GUINT64_FORMAT " why=\"%s\"",
               cq_topic_name(map->topic), record->key, record->offset,
               error->text);
}

gboolean
cq_topicmap_is_new(cq_topicmap_t *map, const cq_store_record_t *record)
{
    entry_t *old = g_hash_table_lookup(map->entries, record->key);
    if (old == NULL || old->record.offset < record->offset) {
        return TRUE;
    }
    /* An entry that a snapshot dropped has no value any more. */
    gboolean was_dropped = old->record.value == NULL && record->value != NULL;
    if (old->record.offset == record->offset && was_dropped) {
        return TRUE;
    }
    old->seen = TRUE;
    return FALSE;
}

gboolean
cq_topicmap_add(cq_topicmap_t *map, const cq_store_record_t *record)
{
    entry_t *old = g_hash_table_lookup(map->entries, record->key);
    gboolean changed = FALSE;
    entry_t *entry = g_new0(entry_t, 1);
    entry->seen = TRUE;
    entry->record.key = g_strdup(record->key);
    entry->record.offset = record->offset;
    if (record->value != NULL) {
        entry->record.value = g_bytes_ref(record->value);
    }
    if (map->topic != CQ_TOPIC_CONFIG && !cq_partstore_owns(record->key)) {
        parse_entry(map, entry);
        keep_notice(entry, old);
        gboolean never_valid = old == NULL && !entry->valid;
        changed = !never_valid && !entry_equal(old, entry);
        entry->told = old != NULL && old->told && !changed;
    }
    g_hash_table_replace(map->entries, entry->record.key, entry);
    return changed;
}

void
cq_topicmap_list_hosts(cq_topicmap_t *map, GArray *rows)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, map->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_t *entry = value;
        if (entry->valid) {
            g_array_append_val(rows, entry->listed);
            entry->told = TRUE;
        }
    }
}

void
cq_topicmap_list_left(cq_topicmap_t *map, GArray *rows)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, map->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_t *entry = value;
        if (entry->left) {
            g_array_append_val(rows, entry->listed);
            entry->left = FALSE;
        }
    }
}

void
cq_topicmap_sort_hosts(GArray *rows)
{
    g_array_sort(rows, compare_names);
}

void
cq_topicmap_begin_snapshot(cq_topicmap_t *map)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, map->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((entry_t *)value)->seen = FALSE;
    }
}

gboolean
cq_topicmap_end_snapshot(cq_topicmap_t *map, guint64 end)
{
    gboolean dropped = FALSE;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, map->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_t *entry = value;
        if (!entry->seen && entry->record.offset < end && entry->valid) {
            entry->valid = FALSE;
            g_clear_pointer(&entry->record.value, g_bytes_unref);
            dropped = TRUE;
        }
    }
    return dropped;
}

void
cq_topicmap_visit_from(const cq_topicmap_t *map, guint64 from,
                       cq_topicmap_visit_t visit, void *data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, map->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const entry_t *entry = value;
        if (entry->record.offset >= from) {
            visit(map->topic, &entry->record, data);
        }
    }
}
