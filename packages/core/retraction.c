#include "core/retraction.h"

#include "core/place.h"

/* How long a crash that was taken back is remembered: as long as a part is
 * blocked at first by hosts that missed it. */
#define RETRACTION_KEEP_US (600 * CQ_SECOND_US)
#define RETRACTIONS_MAX 4096

/* key: hash of the part and the crash; row.age_us is not used */
typedef struct {
    guint64 key;
    cq_part_report_t row;
    gint64 at_us;
} retraction_t;

static guint64
key_of(const cq_part_report_t *row)
{
    guint64 part = cq_place_mix(row->part ^ cq_place_mix(row->service));
    return cq_place_mix(row->crash ^ part);
}

static retraction_t *
find(const cq_retractions_t *retractions, const cq_part_report_t *row)
{
    guint64 key = key_of(row);
    return g_hash_table_lookup(retractions->rows, &key);
}

static void
forget_oldest(cq_retractions_t *retractions)
{
    const retraction_t *oldest = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, retractions->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const retraction_t *retraction = value;
        if (oldest == NULL || retraction->at_us < oldest->at_us) {
            oldest = retraction;
        }
    }
    if (oldest != NULL) {
        g_hash_table_remove(retractions->rows, &oldest->key);
    }
}

void
cq_retractions_init(cq_retractions_t *retractions)
{
    retractions->rows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

void
cq_retractions_clear(cq_retractions_t *retractions)
{
    g_hash_table_unref(retractions->rows);
}

void
cq_retractions_note(cq_retractions_t *retractions, const cq_part_report_t *row,
                    gint64 at_us)
{
    retraction_t *known = find(retractions, row);
    if (known != NULL) {
        known->at_us = MAX(known->at_us, at_us);
        return;
    }
    if (g_hash_table_size(retractions->rows) >= RETRACTIONS_MAX) {
        forget_oldest(retractions);
    }
    retraction_t *retraction = g_new0(retraction_t, 1);
    retraction->key = key_of(row);
    retraction->row = *row;
    retraction->row.kind = CQ_PART_RETRACTED;
    retraction->at_us = at_us;
    g_hash_table_insert(retractions->rows, &retraction->key, retraction);
}

gboolean
cq_retractions_hold(const cq_retractions_t *retractions,
                    const cq_part_report_t *row, gint64 crash_us)
{
    const retraction_t *known = find(retractions, row);
    return known != NULL && crash_us <= known->at_us;
}

void
cq_retractions_forget(cq_retractions_t *retractions,
                      const cq_part_report_t *row)
{
    guint64 key = key_of(row);
    g_hash_table_remove(retractions->rows, &key);
}

void
cq_retractions_list(const cq_retractions_t *retractions, gint64 now_us,
                    GArray *reports)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, retractions->rows);
    while (reports->len < CQ_PART_REPORTS_MAX &&
           g_hash_table_iter_next(&iter, NULL, &value)) {
        const retraction_t *retraction = value;
        cq_part_report_t row = retraction->row;
        row.age_us = now_us - retraction->at_us;
        g_array_append_val(reports, row);
    }
}

void
cq_retractions_sweep(cq_retractions_t *retractions, gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, retractions->rows);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const retraction_t *retraction = value;
        if (now_us - retraction->at_us > RETRACTION_KEEP_US) {
            g_hash_table_iter_remove(&iter);
        }
    }
}
