/**
 * DOC: retraction
 *
 * Which crashes have been taken back lately, by this host or by others. A host
 * that missed it, or hears of the crash by a longer way, tells of the crash
 * again.
 */
#ifndef CQ_RETRACTION_H
#define CQ_RETRACTION_H

#include "core/event.h"

G_BEGIN_DECLS

/**
 * struct cq_retractions_t - the table
 * @rows: hash of the part and the crash to the retraction
 */
typedef struct {
    GHashTable *rows;
} cq_retractions_t;

/** cq_retractions_init() - make @retractions empty */
void
cq_retractions_init(cq_retractions_t *retractions);

/** cq_retractions_clear() - free what @retractions holds */
void
cq_retractions_clear(cq_retractions_t *retractions);

/** cq_retractions_note() - the crash of @row was taken back at @at_us; the
 * oldest one is forgotten if there is no room */
void
cq_retractions_note(cq_retractions_t *retractions, const cq_part_report_t *row,
                    gint64 at_us);

/** cq_retractions_hold() - Return: whether the crash of @row, which was at
 * @crash_us, was taken back after that */
gboolean
cq_retractions_hold(const cq_retractions_t *retractions,
                    const cq_part_report_t *row, gint64 crash_us);

/** cq_retractions_forget() - the crash of @row counts again */
void
cq_retractions_forget(cq_retractions_t *retractions,
                      const cq_part_report_t *row);

/** cq_retractions_list() - append to @reports, which gets at most
 * CQ_PART_REPORTS_MAX, what a new peer needs to know */
void
cq_retractions_list(const cq_retractions_t *retractions, gint64 now_us,
                    GArray *reports);

/** cq_retractions_sweep() - forget old ones */
void
cq_retractions_sweep(cq_retractions_t *retractions, gint64 now_us);

G_END_DECLS

#endif
