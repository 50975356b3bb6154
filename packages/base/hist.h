/**
 * DOC: hist
 *
 * A histogram of times with fixed buckets, rendered as metrics text.
 */
#ifndef CQ_HIST_H
#define CQ_HIST_H

#include <glib.h>

G_BEGIN_DECLS

/* Buckets with an upper bound; one more takes what is above all of them. */
#define CQ_HIST_BOUNDS 16

/**
 * struct cq_hist_t - how many times fell into each bucket
 * @count: observations a bucket, not cumulative
 * @sum_us: all observations added up
 */
typedef struct {
    guint64 count[CQ_HIST_BOUNDS + 1];
    guint64 sum_us;
} cq_hist_t;

/** cq_hist_add() - count @us; a negative time counts as 0 */
void
cq_hist_add(cq_hist_t *hist, gint64 us);

/**
 * cq_hist_render() - append the lines of @name to @out
 *
 * Buckets are cumulative and their bounds in seconds, as the Prometheus text
 * format 0.0.4 has them.
 */
void
cq_hist_render(const cq_hist_t *hist, const char *name, GString *out);

G_END_DECLS

#endif
