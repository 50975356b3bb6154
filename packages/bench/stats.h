/**
 * DOC: stats
 *
 * Statistics of a benchmark run, printed as `name value unit`.
 */
#ifndef CQ_STATS_H
#define CQ_STATS_H

#include "bench/workload.h"

G_BEGIN_DECLS

#define CQ_STATS_PERCENTILES 3

/**
 * struct cq_figures_t - statistics of one run, without its warm-up
 * @ttft_s: time to first token in seconds, by length class (the last row: all
 *   calls) and percentile 50, 95, 99; a call without a token counts with its
 *   timeout
 * @calls: number of calls
 * @ttft_within_2s: share of calls with the first token within 2 s
 * @alone_misses_2s: share of calls whose first token takes over 2 s even when
 *   the call is alone on idle engines
 * @finished_in_time: share of calls that completed
 * @refused_at_once: share of calls that were refused when first sent
 * @expired: number of calls that missed the deadline after admission, by class
 * @refused: number of calls that were refused when first sent, by class
 * @long_finished: of the admitted calls above 100k tokens, the share that
 *   completed
 * @ratio_to_limit: time to first token divided by the lower limit, the time
 *   that the call would take alone on idle engines; percentiles 50 and 95
 * @gap_s: seconds between tokens, percentiles 50 and 95
 * @short_slowdown: p95 time to first token of the shortest class, divided by
 *   that of the same calls in a run without other classes
 * @short_finish_slowdown: the same for the complete answer
 * @wasted_s: engine seconds spent on attempts that did not complete
 * @used_s: engine seconds spent on all attempts
 * @retry_rate_peak: highest number of retries in a second, divided by the
 *   steady rate of requests
 */
typedef struct {
    double ttft_s[CQ_WORKLOAD_CLASSES + 1][CQ_STATS_PERCENTILES];
    guint calls;
    double ttft_within_2s;
    double alone_misses_2s;
    double finished_in_time;
    double refused_at_once;
    guint expired[CQ_WORKLOAD_CLASSES];
    guint refused[CQ_WORKLOAD_CLASSES];
    double long_finished;
    double ratio_to_limit[2];
    double gap_s[2];
    double short_slowdown;
    double short_finish_slowdown;
    double wasted_s;
    double used_s;
    double retry_rate_peak;
} cq_figures_t;

/** cq_stats_percentile() - Return: the @percent percentile of @values, an
 * array of double that is sorted in place; 0 if it is empty */
double
cq_stats_percentile(GArray *values, double percent);

/** cq_stats_first_token() - Return: new array of double, seconds to the first
 * token of the calls of @klass (-1: all) without those of team @excluded_team
 * (-1: none) */
GArray *
cq_stats_first_token(const cq_workload_t *workload, int klass,
                     int excluded_team);

/** cq_stats_figures() - Return: the statistics of @workload; @short_only is
 * the run of the same load with the shortest class alone, @rate the steady
 * rate of requests per second */
cq_figures_t
cq_stats_figures(const cq_workload_t *workload,
                 const cq_workload_t *short_only,
                 const cq_sim_totals_t *totals, double rate);

/** cq_stats_print() - append one line per figure to @out, named `prefix.name`
 */
void
cq_stats_print(GString *out, const char *prefix, const cq_figures_t *figures);

G_END_DECLS

#endif
