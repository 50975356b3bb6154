#include "config/fold.h"

#include <string.h>

#include "config/service.h"

struct cq_fold {
    GHashTable *entries;
    cq_fold_applied_t applied;
    void *data;
};

static void
free_entry(gpointer data)
{
    cq_config_entry_t *entry = data;
    g_free(entry->body);
    g_free(entry);
}

static cq_config_entry_t *
copy_entry(const cq_config_entry_t *entry)
{
    cq_config_entry_t *copy = g_memdup2(entry, sizeof *entry);
    copy->body = g_strdup(entry->body);
    return copy;
}

cq_fold_t *
cq_fold_new(cq_fold_applied_t applied, void *data)
{
    cq_fold_t *fold = g_new0(cq_fold_t, 1);
    fold->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    fold->applied = applied;
    fold->data = data;
    return fold;
}

void
cq_fold_free(cq_fold_t *fold)
{
    g_hash_table_unref(fold->entries);
    g_free(fold);
}

/* Return: FALSE if the body of @entry is not a valid file of its service. */
static gboolean
put_in_force(cq_fold_t *fold, const cq_config_entry_t *entry)
{
    cq_error_t error = {0};
    cq_rules_t *rules = cq_service_parse(entry->body, entry->service, &error);
    if (rules == NULL) {
        return FALSE;
    }
    if (strcmp(rules->name, entry->service) != 0) {
        cq_rules_unref(rules);
        return FALSE;
    }
    rules->version = entry->version;
    cq_config_entry_t *copy = copy_entry(entry);
    g_hash_table_replace(fold->entries, copy->service, copy);
    if (fold->applied != NULL) {
        fold->applied(rules, fold->data);
    }
    cq_rules_unref(rules);
    return TRUE;
}

cq_fold_result_t
cq_fold_apply(cq_fold_t *fold, const cq_config_entry_t *entry)
{
    const cq_config_entry_t *held = cq_fold_get(fold, entry->service);
    guint64 version = held != NULL ? held->version : 0;
    if (held != NULL && strcmp(held->id, entry->id) == 0) {
        return CQ_FOLD_DUPLICATE;
    }
    if (entry->base != version || entry->version != version + 1) {
        return CQ_FOLD_CONFLICT;
    }
    return put_in_force(fold, entry) ? CQ_FOLD_APPLIED : CQ_FOLD_INVALID;
}

gboolean
cq_fold_merge(cq_fold_t *fold, const cq_config_entry_t *entry)
{
    const cq_config_entry_t *held = cq_fold_get(fold, entry->service);
    if (held != NULL && entry->version < held->version) {
        return FALSE;
    }
    if (held != NULL && entry->version == held->version &&
        strcmp(entry->hash, held->hash) <= 0) {
        return FALSE;
    }
    return put_in_force(fold, entry);
}

void
cq_fold_merge_all(cq_fold_t *fold, const cq_record_t *checkpoint)
{
    const GArray *entries = checkpoint->checkpoint;
    for (guint i = 0; i < entries->len; i++) {
        cq_fold_merge(fold, &g_array_index(entries, cq_config_entry_t, i));
    }
}

const cq_config_entry_t *
cq_fold_get(const cq_fold_t *fold, const char *service)
{
    return g_hash_table_lookup(fold->entries, service);
}

static gint
by_service(gconstpointer a, gconstpointer b)
{
    const cq_config_entry_t *x = a;
    const cq_config_entry_t *y = b;
    return strcmp(x->service, y->service);
}

cq_record_t
cq_fold_checkpoint(const cq_fold_t *fold)
{
    cq_record_t record = {.kind = CQ_RECORD_CHECKPOINT};
    record.checkpoint = cq_record_entries_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fold->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        cq_config_entry_t entry = *(cq_config_entry_t *)value;
        entry.body = g_strdup(entry.body);
        g_array_append_val(record.checkpoint, entry);
    }
    g_array_sort(record.checkpoint, by_service);
    return record;
}

/* Adds up the hashes of the entries, as a sum doesn't depend on the order in
 * which the hash table is iterated. */
guint64
cq_fold_digest(const cq_fold_t *fold)
{
    guint64 sum = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fold->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const cq_config_entry_t *entry = value;
        char *text =
            g_strdup_printf("%s %" G_GUINT64_FORMAT " %s", entry->service,
                            entry->version, entry->hash);
        sum += cq_ident_hash(text);
        g_free(text);
    }
    return sum;
}

guint
cq_fold_size(const cq_fold_t *fold)
{
    return g_hash_table_size(fold->entries);
}
