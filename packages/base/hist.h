/**
 * DOC: hist
 *
 * A histogram of times with fixed buckets, and its output as metrics.
 */
#ifndef CQ_HIST_H
#define CQ_HIST_H

#include <glib.h>

G_BEGIN_DECLS

/* Number of buckets that have an upper bound. One further bucket counts the
 * times above the last bound. */
#define CQ_HIST_BOUNDS 16

/**
 * struct cq_hist_t - a histogram; zero-initialize it
 * @count: number of observations in each bucket, not cumulative
 * @sum_us: sum of all observations in microseconds
 */
typedef struct {
    guint64 count[CQ_HIST_BOUNDS + 1];
    guint64 sum_us;
} cq_hist_t;

/** cq_hist_add() - add an observation of @us microseconds; a negative one
 * counts as 0 */
void
cq_hist_add(cq_hist_t *hist, gint64 us);

/**
 * cq_hist_render() - append the lines of the metric @name to @out
 *
 * The format is Prometheus text format 0.0.4: buckets are cumulative, and
 * their bounds are in seconds.
 */
void
cq_hist_render(const cq_hist_t *hist, const char *name, GString *out);

G_END_DECLS

#endif
