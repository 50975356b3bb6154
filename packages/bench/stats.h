/**
 * DOC: stats
 *
 * Figures of a run, printed as `name value unit`.
 */
#ifndef CQ_STATS_H
#define CQ_STATS_H

#include "bench/work.h"

G_BEGIN_DECLS

#define CQ_STATS_PERCENTS 3

/**
 * struct cq_figures_t - what callers saw in one run
 * @ttft_s: seconds to the first token, by class (the last row: all) and by
 *   percentile 50, 95, 99; a call without one counts with its whole timeout
 * @calls: calls counted
 * @ttft_within_2s: share of calls
 * @alone_misses_2s: share that can't meet 2 s even alone on idle engines
 * @finished_in_time: share of calls
 * @refused_at_once: share of calls whose first try was refused
 * @expired: admitted calls that missed their deadline, by class
 * @refused: calls whose first try was refused, by class
 * @long_finished: share of the admitted above 100k tokens that finished
 * @over_limit: time to first token over that alone, percentiles 50 and 95
 * @gap_s: seconds between tokens, percentiles 50 and 95
 * @short_slowdown: p95 to first token of the shortest class over that of the
 *   same calls with no longer ones
 * @short_finish_slowdown: the same, to the whole answer
 * @wasted_s: engine seconds spent on attempts without an answer
 * @used_s: engine seconds spent
 * @come_back_peak: most come-backs in a second over the steady rate
 */
typedef struct {
    double ttft_s[CQ_WORK_CLASSES + 1][CQ_STATS_PERCENTS];
    guint calls;
    double ttft_within_2s;
    double alone_misses_2s;
    double finished_in_time;
    double refused_at_once;
    guint expired[CQ_WORK_CLASSES];
    guint refused[CQ_WORK_CLASSES];
    double long_finished;
    double over_limit[2];
    double gap_s[2];
    double short_slowdown;
    double short_finish_slowdown;
    double wasted_s;
    double used_s;
    double come_back_peak;
} cq_figures_t;

/** cq_stats_percentile() - Return: the @percent percentile of @values (array
 * of double, sorted in place), 0 when it is empty */
double
cq_stats_percentile(GArray *values, double percent);

/** cq_stats_first_token() - Return: array of seconds to the first token of
 * calls of @klass (-1: all) and not of team @but_team (-1: none) */
GArray *
cq_stats_first_token(const cq_work_t *work, int klass, int but_team);

/** cq_stats_figures() - Return: the figures of @work; @short_alone is the
 * same load without longer calls; @rate is the steady rate */
cq_figures_t
cq_stats_figures(const cq_work_t *work, const cq_work_t *short_alone,
                 const cq_sim_totals_t *totals, double rate);

/** cq_stats_print() - append every figure, its name behind @prefix */
void
cq_stats_print(GString *out, const char *prefix, const cq_figures_t *figures);

G_END_DECLS

#endif
