#include "bench/stats.h"

/* Calls sent before this time are not counted, since the caches are cold. */
#define WARMUP_US (15 * CQ_SECOND_US)
#define FIRST_TOKEN_TARGET_S 2.0

static const int percentiles[CQ_STATS_PERCENTILES] = {50, 95, 99};

static gint
compare_values(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return x < y ? -1 : x > y;
}

double
cq_stats_percentile(GArray *values, double percent)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_values);
    guint index = (guint)((double)(values->len - 1) * percent / 100.0 + 0.5);
    return g_array_index(values, double, index);
}

static const cq_workload_call_t *
call_at(const cq_workload_t *workload, guint i)
{
    return &g_array_index(workload->calls, cq_workload_call_t, i);
}

static double
first_token_s(const cq_workload_call_t *call)
{
    if (call->first_us < 0) {
        return (double)call->request.timeout_us / 1e6;
    }
    return (double)(call->first_us - call->at_us) / 1e6;
}

static double
whole_answer_s(const cq_workload_call_t *call)
{
    if (call->done_us < 0) {
        return (double)call->request.timeout_us / 1e6;
    }
    return (double)(call->done_us - call->at_us) / 1e6;
}

static GArray *
collect(const cq_workload_t *workload, int klass, int excluded_team,
        double (*measure)(const cq_workload_call_t *call))
{
    GArray *values = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < workload->calls->len; i++) {
        const cq_workload_call_t *call = call_at(workload, i);
        gboolean other_class = klass >= 0 && call->klass != (guint)klass;
        gboolean excluded_call = (int)call->team == excluded_team;
        if (call->at_us >= WARMUP_US && !other_class && !excluded_call) {
            double value = measure(call);
            g_array_append_val(values, value);
        }
    }
    return values;
}

GArray *
cq_stats_first_token(const cq_workload_t *workload, int klass,
                     int excluded_team)
{
    return collect(workload, klass, excluded_team, first_token_s);
}

static void
fill_first_token(cq_figures_t *figures, const cq_workload_t *workload)
{
    for (int klass = 0; klass <= CQ_WORKLOAD_CLASSES; klass++) {
        int wanted = klass < CQ_WORKLOAD_CLASSES ? klass : -1;
        GArray *values = cq_stats_first_token(workload, wanted, -1);
        for (guint i = 0; i < CQ_STATS_PERCENTILES; i++) {
            figures->ttft_s[klass][i] =
                cq_stats_percentile(values, percentiles[i]);
        }
        g_array_unref(values);
    }
}

typedef struct {
    guint within_target;
    guint late_on_idle;
    guint done;
    guint refused;
    guint longest_admitted;
    guint longest_done;
    GArray *ratio_to_limit;
} sums_t;

static void
add_call(cq_figures_t *figures, sums_t *sums, const cq_workload_call_t *call)
{
    double first_s = first_token_s(call);
    double idle_s = cq_workload_idle_first_token_s(call);
    double ratio = first_s / idle_s;
    figures->calls++;
    figures->expired[call->klass] += call->expired;
    figures->refused[call->klass] += call->refused_first;
    sums->within_target += first_s <= FIRST_TOKEN_TARGET_S;
    sums->late_on_idle += idle_s > FIRST_TOKEN_TARGET_S;
    sums->done += call->done_us >= 0;
    sums->refused += call->refused_first;
    g_array_append_val(sums->ratio_to_limit, ratio);
    if (call->klass == CQ_WORKLOAD_CLASSES - 1) {
        sums->longest_admitted += call->done_us >= 0 || call->expired;
        sums->longest_done += call->done_us >= 0;
    }
}

static double
share(guint part, guint whole)
{
    return whole > 0 ? (double)part / whole : 1;
}

static void
fill_shares(cq_figures_t *figures, const cq_workload_t *workload)
{
    sums_t sums = {0};
    sums.ratio_to_limit = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < workload->calls->len; i++) {
        if (call_at(workload, i)->at_us >= WARMUP_US) {
            add_call(figures, &sums, call_at(workload, i));
        }
    }
    figures->ttft_within_2s = share(sums.within_target, figures->calls);
    figures->alone_misses_2s = share(sums.late_on_idle, figures->calls);
    figures->finished_in_time = share(sums.done, figures->calls);
    figures->refused_at_once = share(sums.refused, figures->calls);
    figures->long_finished = share(sums.longest_done, sums.longest_admitted);
    for (guint i = 0; i < G_N_ELEMENTS(figures->ratio_to_limit); i++) {
        figures->ratio_to_limit[i] =
            cq_stats_percentile(sums.ratio_to_limit, percentiles[i]);
    }
    g_array_unref(sums.ratio_to_limit);
}

static double
slowdown(const cq_workload_t *mixed, const cq_workload_t *short_only,
         double (*measure)(const cq_workload_call_t *call))
{
    GArray *mixed_s = collect(mixed, 0, -1, measure);
    GArray *short_only_s = collect(short_only, 0, -1, measure);
    double short_only_p95_s = cq_stats_percentile(short_only_s, 95);
    double ratio = short_only_p95_s > 0
                       ? cq_stats_percentile(mixed_s, 95) / short_only_p95_s
                       : 0;
    g_array_unref(mixed_s);
    g_array_unref(short_only_s);
    return ratio;
}

static double
peak_retries(const cq_workload_t *workload)
{
    guint peak = 0;
    for (guint i = 0; i < workload->retries_by_second->len; i++) {
        peak = MAX(peak, g_array_index(workload->retries_by_second, guint, i));
    }
    return peak;
}

cq_figures_t
cq_stats_figures(const cq_workload_t *workload,
                 const cq_workload_t *short_only,
                 const cq_sim_totals_t *totals, double rate)
{
    cq_figures_t figures = {0};
    fill_first_token(&figures, workload);
    fill_shares(&figures, workload);
    for (guint i = 0; i < G_N_ELEMENTS(figures.gap_s); i++) {
        figures.gap_s[i] = cq_stats_percentile(workload->gaps, percentiles[i]);
    }
    figures.short_slowdown = slowdown(workload, short_only, first_token_s);
    figures.short_finish_slowdown =
        slowdown(workload, short_only, whole_answer_s);
    figures.wasted_s = (double)totals->wasted_us / 1e6;
    figures.used_s = (double)totals->engine_time_us / 1e6;
    figures.retry_rate_peak = peak_retries(workload) / rate;
    return figures;
}

static void
append_figure(GString *out, const char *prefix, const char *name,
              const char *klass, double value, const char *unit)
{
    g_string_append_printf(out, "%s.%s%s%s %.4g %s\n", prefix, name,
                           klass != NULL ? "." : "",
                           klass != NULL ? klass : "", value, unit);
}

static void
print_first_token(GString *out, const char *prefix,
                  const cq_figures_t *figures)
{
    for (guint klass = 0; klass <= CQ_WORKLOAD_CLASSES; klass++) {
        const char *name = klass < CQ_WORKLOAD_CLASSES
                               ? cq_workload_class_name(klass)
                               : "all";
        for (guint i = 0; i < CQ_STATS_PERCENTILES; i++) {
            char metric[32];
            g_snprintf(metric, sizeof metric, "ttft_p%d", percentiles[i]);
            append_figure(out, prefix, metric, name, figures->ttft_s[klass][i],
                          "s");
        }
    }
}

static void
print_by_class(GString *out, const char *prefix, const cq_figures_t *figures)
{
    for (guint i = 0; i < CQ_WORKLOAD_CLASSES; i++) {
        const char *name = cq_workload_class_name(i);
        append_figure(out, prefix, "admitted_missed_deadline", name,
                      figures->expired[i], "requests");
        append_figure(out, prefix, "refused_first", name, figures->refused[i],
                      "requests");
    }
}

void
cq_stats_print(GString *out, const char *prefix, const cq_figures_t *figures)
{
    print_first_token(out, prefix, figures);
    append_figure(out, prefix, "calls", NULL, figures->calls, "requests");
    append_figure(out, prefix, "ttft_within_2s", NULL, figures->ttft_within_2s,
                  "share");
    append_figure(out, prefix, "alone_misses_2s", NULL,
                  figures->alone_misses_2s, "share");
    append_figure(out, prefix, "finished_in_time", NULL,
                  figures->finished_in_time, "share");
    append_figure(out, prefix, "refused_at_once", NULL,
                  figures->refused_at_once, "share");
    print_by_class(out, prefix, figures);
    append_figure(out, prefix, "long_finished", NULL, figures->long_finished,
                  "share");
    append_figure(out, prefix, "ratio_to_limit_p50", NULL,
                  figures->ratio_to_limit[0], "ratio");
    append_figure(out, prefix, "ratio_to_limit_p95", NULL,
                  figures->ratio_to_limit[1], "ratio");
    append_figure(out, prefix, "itl_p50", NULL, figures->gap_s[0], "s");
    append_figure(out, prefix, "itl_p95", NULL, figures->gap_s[1], "s");
    append_figure(out, prefix, "short_slowdown_p95", NULL,
                  figures->short_slowdown, "ratio");
    append_figure(out, prefix, "short_finish_slowdown_p95", NULL,
                  figures->short_finish_slowdown, "ratio");
    append_figure(out, prefix, "wasted", NULL, figures->wasted_s, "engine_s");
    append_figure(out, prefix, "used", NULL, figures->used_s, "engine_s");
    append_figure(out, prefix, "come_back_peak", NULL,
                  figures->retry_rate_peak, "ratio");
}
