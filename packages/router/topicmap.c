#include "router/topicmap.h"

#include <string.h>

#include "platform/records.h"
#include "platform/rows.h"
#include "router/partstore.h"

/* How much the ends that an upstream's records state for one cold spell may
 * differ, by the time that the records take. */
#define COLD_NOISE_US (500 * CQ_MS_US)

/*
 * The newest record of a key.
 * valid: listed was parsed from the record
 * told: cq_topicmap_list_hosts() has given listed
 * left: the key was deleted before listed, which says that the upstream is
 *   leaving, was told
 * seen: the key is part of the snapshot being read
 * carried: the record is of an earlier era of the store
 * doubted: a record of this era that lists an upstream or host which had left
 *   in the earlier one; its key is NULL if there is none
 */
typedef struct {
    cq_store_record_t record;
    gboolean valid;
    cq_host_row_t listed;
    gboolean told;
    gboolean left;
    gboolean seen;
    gboolean carried;
    cq_store_record_t doubted;
} entry_t;

/*
 * entries: by key
 * ignored: by key whose newest record is invalid: hash of the reason
 * end: offset after the last record known
 * deletions_from: all records from this offset up to end are known, deletions
 *   too; of older ones only what is left
 * in_snapshot: a page of the snapshot being read has come
 * snapshot_end: end of the topic when the store read the first page
 * page_end: the same of the page that is being added
 */
struct cq_topicmap {
    cq_app_t *app;
    cq_topic_t topic;
    GHashTable *entries;
    GHashTable *ignored;
    guint64 end;
    guint64 deletions_from;
    gboolean in_snapshot;
    guint64 snapshot_end;
    guint64 page_end;
};

static void
free_entry(gpointer data)
{
    entry_t *entry = data;
    cq_store_record_clear(&entry->record);
    cq_store_record_clear(&entry->doubted);
    g_free(entry);
}

/* An upstream that is cold states how much longer in each record. */
static gboolean
is_cold_longer(const cq_host_row_t *old, const cq_host_row_t *row)
{
    return row->cold_us > 0 && row->read_us + row->cold_us >
                                   old->read_us + old->cold_us + COLD_NOISE_US;
}

static gboolean
listed_equal(const cq_host_row_t *a, const cq_host_row_t *b)
{
    return strcmp(a->addr, b->addr) == 0 && strcmp(a->zone, b->zone) == 0 &&
           strcmp(a->service, b->service) == 0 &&
           strcmp(a->callers, b->callers) == 0 &&
           a->incarnation == b->incarnation && a->leaving == b->leaving &&
           !is_cold_longer(a, b);
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
parse_entry(cq_topicmap_t *map, entry_t *entry)
{
    cq_error_t error = {0};
    if (entry->record.value != NULL) {
        gsize len;
        const char *text = g_bytes_get_data(entry->record.value, &len);
        gboolean upstream = map->topic == CQ_TOPIC_UPSTREAMS;
        entry->valid =
            upstream ? cq_rows_parse_upstream(entry->record.key, text, len,
                                              &entry->listed, &error)
                     : cq_rows_parse_host(entry->record.key, text, len,
                                          &entry->listed, &error);
        entry->listed.read_us = map->app != NULL ? cq_app_now_us(map->app) : 0;
        if (!entry->valid) {
            cq_topicmap_log_invalid(map, &entry->record, &error);
        }
    }
    if (entry->valid || entry->record.value == NULL) {
        cq_topicmap_note_valid(map, entry->record.key);
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
    map->ignored =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return map;
}

void
cq_topicmap_free(cq_topicmap_t *map)
{
    g_hash_table_unref(map->entries);
    g_hash_table_unref(map->ignored);
    g_free(map);
}

void
cq_topicmap_log_invalid(cq_topicmap_t *map, const cq_store_record_t *record,
                        const cq_error_t *error)
{
    guint64 why = cq_ident_hash(error->text);
    const guint64 *told = g_hash_table_lookup(map->ignored, record->key);
    if (told != NULL && *told == why) {
        return;
    }
    g_hash_table_replace(map->ignored, g_strdup(record->key),
                         g_memdup2(&why, sizeof why));
    char *key = g_strescape(record->key, NULL);
    char *reason = g_strescape(error->text, NULL);
    cq_app_log(map->app, "record_ignored",
               "topic=%s key=%s offset=%" G_GUINT64_FORMAT " why=\"%s\"",
               cq_topic_name(map->topic), key, record->offset, reason);
    g_free(reason);
    g_free(key);
}

void
cq_topicmap_note_valid(cq_topicmap_t *map, const char *key)
{
    g_hash_table_remove(map->ignored, key);
}

/* An older copy of the store has upstreams and hosts that have left since. A
 * record of one that had left, of the same start, is kept apart until they
 * have had time to write again. Return: whether @record is doubted. */
static gboolean
doubt(cq_topicmap_t *map, entry_t *old, const cq_store_record_t *record)
{
    if (map->topic == CQ_TOPIC_CONFIG || old->record.value != NULL ||
        record->value == NULL) {
        return FALSE;
    }
    entry_t said = {.record = *record};
    if (!cq_partstore_owns(record->key)) {
        parse_entry(map, &said);
    }
    if (said.valid && said.listed.incarnation > old->listed.incarnation) {
        return FALSE;
    }
    cq_store_record_clear(&old->doubted);
    cq_store_record_copy(&old->doubted, record);
    return TRUE;
}

guint64
cq_topicmap_end(const cq_topicmap_t *map)
{
    return map->end;
}

/* Whether the key may have been deleted after @record without a trace in the
 * map: a peer that lags, or an answer of the store that comes late, may still
 * have it. */
static gboolean
may_be_deleted(const cq_topicmap_t *map, const cq_store_record_t *record,
               cq_record_source_t source)
{
    gboolean is_late =
        source != CQ_SOURCE_SNAPSHOT || map->page_end < map->deletions_from;
    return is_late && record->offset < map->deletions_from;
}

gboolean
cq_topicmap_is_new(cq_topicmap_t *map, const cq_store_record_t *record,
                   cq_record_source_t source)
{
    entry_t *old = g_hash_table_lookup(map->entries, record->key);
    if (old != NULL && source == CQ_SOURCE_SNAPSHOT) {
        old->seen = TRUE;
    }
    if (may_be_deleted(map, record, source)) {
        return FALSE;
    }
    if (old != NULL && old->carried) {
        gboolean is_older =
            old->doubted.key != NULL && record->offset <= old->doubted.offset;
        return !is_older && !doubt(map, old, record);
    }
    if (old == NULL || old->record.offset < record->offset) {
        return TRUE;
    }
    /* An entry that a snapshot dropped has no value any more. */
    gboolean was_dropped = old->record.value == NULL && record->value != NULL;
    return old->record.offset == record->offset && was_dropped;
}

gboolean
cq_topicmap_add(cq_topicmap_t *map, const cq_store_record_t *record,
                cq_record_source_t source)
{
    entry_t *old = g_hash_table_lookup(map->entries, record->key);
    gboolean changed = FALSE;
    entry_t *entry = g_new0(entry_t, 1);
    entry->seen = source == CQ_SOURCE_SNAPSHOT || (old != NULL && old->seen);
    cq_store_record_copy(&entry->record, record);
    if (record->value == NULL && old != NULL) {
        entry->listed = old->listed;
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
    map->in_snapshot = FALSE;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, map->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((entry_t *)value)->seen = FALSE;
    }
}

void
cq_topicmap_begin_page(cq_topicmap_t *map, guint64 end)
{
    if (!map->in_snapshot) {
        map->in_snapshot = TRUE;
        map->snapshot_end = end;
    }
    map->page_end = end;
}

/* Return: whether this changes what cq_topicmap_list_hosts() gives. */
static gboolean
drop(entry_t *entry)
{
    gboolean changed = entry->valid;
    entry->valid = FALSE;
    g_clear_pointer(&entry->record.value, g_bytes_unref);
    return changed;
}

/* Drops what is known of a key of this era if it is older than @end. A
 * configuration stays in force until there is a newer one. Return: whether
 * this changes what cq_topicmap_list_hosts() gives. */
static gboolean
drop_before(const cq_topicmap_t *map, entry_t *entry, guint64 end)
{
    if (map->topic == CQ_TOPIC_CONFIG &&
        cq_records_is_routes_key(entry->record.key)) {
        return FALSE;
    }
    if (entry->carried) {
        if (entry->doubted.offset < end) {
            cq_store_record_clear(&entry->doubted);
        }
        return FALSE;
    }
    return entry->record.offset < end && drop(entry);
}

gboolean
cq_topicmap_end_snapshot(cq_topicmap_t *map)
{
    gboolean dropped = FALSE;
    /* A peer has meanwhile told what is left at a later offset. */
    gboolean is_older = map->snapshot_end < map->deletions_from;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, map->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_t *entry = value;
        if (!entry->seen && !is_older) {
            dropped |= drop_before(map, entry, map->snapshot_end);
        }
    }
    /* Records may have been written while the pages were read, so reading
     * goes on at the end that the first page gave. */
    if (map->end < map->snapshot_end) {
        map->end = map->snapshot_end;
        map->deletions_from = map->snapshot_end;
    }
    return dropped;
}

void
cq_topicmap_add_page(cq_topicmap_t *map, guint64 next)
{
    map->end = MAX(map->end, next);
}

static gboolean
drop_all_but(cq_topicmap_t *map, const cq_topicmap_claim_t *claim)
{
    gboolean dropped = FALSE;
    GHashTable *live = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (gsize i = 0; i < claim->live_len; i++) {
        g_hash_table_add(live, (gpointer)&claim->live[i]);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, map->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_t *entry = value;
        guint64 key = cq_ident_hash(entry->record.key);
        if (!g_hash_table_contains(live, &key)) {
            dropped |= drop_before(map, entry, claim->at);
        }
    }
    g_hash_table_unref(live);
    return dropped;
}

gboolean
cq_topicmap_add_claim(cq_topicmap_t *map, const cq_topicmap_claim_t *claim,
                      gboolean *dropped)
{
    if (!claim->has_deletions) {
        return FALSE;
    }
    if (claim->from <= map->end) {
        map->end = MAX(map->end, claim->at);
        return TRUE;
    }
    gboolean is_exact =
        map->topic != CQ_TOPIC_CONFIG || claim->live_has_operators;
    if (!claim->complete || !is_exact || claim->rows_from > map->end) {
        return FALSE;
    }
    if (claim->at > map->end) {
        *dropped = drop_all_but(map, claim);
        map->end = claim->at;
        map->deletions_from = claim->at;
    }
    return TRUE;
}

/* Return: the newest record of the key in this era of the store, or NULL. */
static const cq_store_record_t *
record_of_era(const entry_t *entry)
{
    if (!entry->carried) {
        return &entry->record;
    }
    return entry->doubted.key != NULL ? &entry->doubted : NULL;
}

static void
list_live(const cq_topicmap_t *map, GArray *keys)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, map->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const cq_store_record_t *record = record_of_era(value);
        if (record != NULL && record->value != NULL) {
            guint64 key = cq_ident_hash(record->key);
            g_array_append_val(keys, key);
        }
    }
}

cq_topicmap_claim_t
cq_topicmap_get_claim(const cq_topicmap_t *map, guint64 at, GArray *live)
{
    cq_topicmap_claim_t claim = {
        .from = at, .at = map->end, .has_deletions = TRUE, .rows_from = at};
    if (at < map->deletions_from) {
        list_live(map, live);
        claim.from = map->deletions_from;
        claim.complete = TRUE;
        claim.live = (const guint64 *)(const void *)live->data;
        claim.live_len = live->len;
        claim.live_has_operators = TRUE;
    }
    return claim;
}

void
cq_topicmap_visit_from(const cq_topicmap_t *map, guint64 from,
                       cq_topicmap_visit_t visit, void *data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, map->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const cq_store_record_t *record = record_of_era(value);
        if (record != NULL && record->offset >= from) {
            visit(map->topic, record, data);
        }
    }
}

void
cq_topicmap_visit_held(const cq_topicmap_t *map, cq_topicmap_visit_t visit,
                       void *data)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, map->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const entry_t *entry = value;
        if (entry->record.value != NULL) {
            visit(map->topic, &entry->record, data);
        }
    }
}

void
cq_topicmap_begin_era(cq_topicmap_t *map)
{
    map->end = 0;
    map->deletions_from = 0;
    map->in_snapshot = FALSE;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, map->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        entry_t *entry = value;
        entry->carried = TRUE;
        cq_store_record_clear(&entry->doubted);
    }
}

/* Ends the exception for an entry of an earlier era: takes over the doubted
 * record, or drops the entry, as nobody has written it again. Return: whether
 * this changes the list. */
static gboolean
settle(cq_topicmap_t *map, entry_t *entry)
{
    entry->carried = FALSE;
    entry->record.offset = 0;
    if (entry->doubted.key == NULL || cq_partstore_owns(entry->record.key)) {
        return drop(entry);
    }
    /* Adding the record frees the entry. */
    cq_store_record_t record = entry->doubted;
    entry->doubted = (cq_store_record_t){0};
    gboolean changed = cq_topicmap_add(map, &record, CQ_SOURCE_LOG);
    cq_store_record_clear(&record);
    return changed;
}

gboolean
cq_topicmap_end_era(cq_topicmap_t *map)
{
    gboolean changed = FALSE;
    GPtrArray *carried = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, map->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((const entry_t *)value)->carried) {
            g_ptr_array_add(carried, value);
        }
    }
    for (guint i = 0; i < carried->len; i++) {
        changed |= settle(map, g_ptr_array_index(carried, i));
    }
    g_ptr_array_unref(carried);
    return changed;
}
