#include "router/partstore.h"

#include <stdio.h>
#include <string.h>

#include "base/list.h"
#include "wire/codec.h"

#define KEY_PREFIX "part/"
#define RETRY_MS 1000
/* Further records are dropped while this many wait for the store. */
#define WAITING_MAX 256

/* A record to write; text is NULL to delete it. */
typedef struct {
    cq_list_t link;
    char *key;
    char *text;
} waiting_t;

/*
 * waiting: list of waiting_t; the first one is being written, or is written
 *   again by the timer
 */
struct cq_partstore {
    cq_app_t *app;
    cq_store_t *store;
    cq_list_t waiting;
    guint waiting_len;
    guint timer;
};

static void
write_first(cq_partstore_t *partstore);

static void
drop_first(cq_partstore_t *partstore)
{
    waiting_t *first = CQ_ENTRY(partstore->waiting.next, waiting_t, link);
    cq_list_remove(&first->link);
    partstore->waiting_len--;
    g_free(first->key);
    g_free(first->text);
    g_free(first);
}

static gboolean
on_timer(gpointer data)
{
    cq_partstore_t *partstore = data;
    partstore->timer = 0;
    write_first(partstore);
    return G_SOURCE_REMOVE;
}

static void
on_written(const cq_store_page_t *page, void *data)
{
    cq_partstore_t *partstore = data;
    if (page->outcome != CQ_STORE_DONE) {
        partstore->timer = g_timeout_add(RETRY_MS, on_timer, partstore);
        return;
    }
    drop_first(partstore);
    if (!cq_list_empty(&partstore->waiting)) {
        write_first(partstore);
    }
}

static void
write_first(cq_partstore_t *partstore)
{
    const waiting_t *first =
        CQ_ENTRY(partstore->waiting.next, waiting_t, link);
    cq_store_write(partstore->store, CQ_TOPIC_HOSTS, first->key, first->text,
                   on_written, partstore);
}

cq_partstore_t *
cq_partstore_new(cq_app_t *app, cq_store_t *store)
{
    cq_partstore_t *partstore = g_new0(cq_partstore_t, 1);
    partstore->app = app;
    partstore->store = store;
    cq_list_init(&partstore->waiting);
    return partstore;
}

void
cq_partstore_free(cq_partstore_t *partstore)
{
    if (partstore->timer != 0) {
        g_source_remove(partstore->timer);
    }
    while (!cq_list_empty(&partstore->waiting)) {
        drop_first(partstore);
    }
    g_free(partstore);
}

void
cq_partstore_write(cq_partstore_t *partstore, const cq_part_record_t *record)
{
    if (partstore->waiting_len >= WAITING_MAX) {
        cq_app_log(partstore->app, "part_unwritten",
                   "part=%" G_GINT64_MODIFIER "x why=\"%u others wait\"",
                   record->part, partstore->waiting_len);
        return;
    }
    waiting_t *added = g_new0(waiting_t, 1);
    cq_list_init(&added->link);
    added->key = g_strdup_printf(KEY_PREFIX "%016" G_GINT64_MODIFIER
                                            "x-%" G_GINT64_MODIFIER "x",
                                 record->service, record->part);
    if (record->len > 0) {
        added->text = cq_codec_format_part_record(record, g_get_real_time());
    }
    cq_list_append(&partstore->waiting, &added->link);
    partstore->waiting_len++;
    if (partstore->waiting_len == 1) {
        write_first(partstore);
    }
}

void
cq_partstore_resume(cq_partstore_t *partstore)
{
    if (!cq_list_empty(&partstore->waiting) && partstore->timer == 0) {
        write_first(partstore);
    }
}

gboolean
cq_partstore_owns(const char *key)
{
    return g_str_has_prefix(key, KEY_PREFIX);
}

static void
post_rows(cq_partstore_t *partstore, const GArray *rows)
{
    cq_event_t event = {.kind = CQ_EV_PARTS};
    event.parts.rows = (const cq_part_report_t *)(const void *)rows->data;
    event.parts.len = rows->len;
    cq_app_post(partstore->app, &event);
}

/* Return: whether @key names a part, of which an answer is then reported. */
static gboolean
add_answered(const char *key, GArray *rows)
{
    cq_part_report_t row = {.kind = CQ_PART_ANSWERED};
    if (sscanf(key,
               KEY_PREFIX "%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
               &row.service, &row.part) != 2) {
        return FALSE;
    }
    g_array_append_val(rows, row);
    return TRUE;
}

gboolean
cq_partstore_apply(cq_partstore_t *partstore, const cq_store_record_t *record,
                   cq_error_t *error)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
    gboolean valid;
    if (record->value == NULL) {
        valid = add_answered(record->key, rows);
    }
    else {
        gsize len;
        const char *text = g_bytes_get_data(record->value, &len);
        valid = cq_codec_parse_part_record(text, len, g_get_real_time(), rows);
    }
    if (valid) {
        post_rows(partstore, rows);
    }
    g_array_unref(rows);
    return valid || cq_error_set(error, CQ_ERROR_VALUE,
                                 "no record of a part; delete it");
}
