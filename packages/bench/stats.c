#include "bench/stats.h"

/* Calls before this moment meet cold caches and are left out. */
#define WARM_US (15 * CQ_SECOND_US)
#define TARGET_S 2.0

static gint
by_value(gconstpointer a, gconstpointer b)
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
    g_array_sort(values, by_value);
    guint at = (guint)((double)(values->len - 1) * percent / 100.0 + 0.5);
    return g_array_index(values, double, at);
}

static const cq_work_call_t *
call_at(const cq_work_t *work, guint i)
{
    return &g_array_index(work->calls, cq_work_call_t, i);
}

static double
first_token_s(const cq_work_call_t *call)
{
    if (call->first_us < 0) {
        return (double)call->ask.timeout_us / 1e6;
    }
    return (double)(call->first_us - call->at_us) / 1e6;
}

GArray *
cq_stats_first_token(const cq_work_t *work, int class, int but_team)
{
    GArray *values = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < work->calls->len; i++) {
        const cq_work_call_t *call = call_at(work, i);
        gboolean other = class >= 0 && call->class != (guint)class;
        gboolean left_out = (int)call->team == but_team;
        if (call->at_us < WARM_US || other || left_out) {
            continue;
        }
        double value = first_token_s(call);
        g_array_append_val(values, value);
    }
    return values;
}

static GArray *
whole_answer(const cq_work_t *work, guint class)
{
    GArray *values = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < work->calls->len; i++) {
        const cq_work_call_t *call = call_at(work, i);
        if (call->at_us < WARM_US || call->class != class) {
            continue;
        }
        gint64 end_us = call->done_us < 0
                            ? call->at_us + call->ask.timeout_us
                            : call->done_us;
        double value = (double)(end_us - call->at_us) / 1e6;
        g_array_append_val(values, value);
    }
    return values;
}

static void
line(GString *out, const char *prefix, const char *name, const char *class,
     double value, const char *unit)
{
    g_string_append_printf(out, "%s.%s%s%s %.4g %s\n", prefix, name,
                           class != NULL ? "." : "",
                           class != NULL ? class : "", value, unit);
}

static void
print_first_token(GString *out, const char *prefix, const cq_work_t *work)
{
    static const int percents[] = {50, 95, 99};
    for (int class = -1; class < CQ_WORK_CLASSES; class ++) {
        GArray *values = cq_stats_first_token(work, class, -1);
        const char *name =
            class < 0 ? "all" : cq_work_class_name((guint) class);
        for (guint i = 0; i < G_N_ELEMENTS(percents); i++) {
            char metric[32];
            g_snprintf(metric, sizeof metric, "ttft_p%d", percents[i]);
            line(out, prefix, metric, name,
                 cq_stats_percentile(values, percents[i]), "s");
        }
        g_array_unref(values);
    }
}

typedef struct {
    guint calls;
    guint in_target;
    guint alone_late;
    guint done;
    guint refused;
    guint expired;
    guint admitted_giants;
    guint done_giants;
    GArray *over_limit;
} sums_t;

static void
add_call(sums_t *sums, const cq_work_call_t *call)
{
    double first = first_token_s(call);
    double alone = cq_work_alone_s(call);
    double ratio = first / alone;
    sums->calls++;
    sums->in_target += first <= TARGET_S;
    sums->alone_late += alone > TARGET_S;
    sums->done += call->done_us >= 0;
    sums->refused += call->refused_first;
    sums->expired += call->expired;
    g_array_append_val(sums->over_limit, ratio);
    if (call->class == CQ_WORK_CLASSES - 1) {
        sums->admitted_giants += call->done_us >= 0 || call->expired;
        sums->done_giants += call->done_us >= 0;
    }
}

static double
share(guint part, guint whole)
{
    return whole > 0 ? (double)part / whole : 1;
}

static double
come_back_peak(const cq_work_t *work)
{
    guint most = 0;
    for (guint i = 0; i < work->come_backs->len; i++) {
        most = MAX(most, g_array_index(work->come_backs, guint, i));
    }
    return most;
}

static double
slowdown(GArray *mixed, GArray *alone)
{
    double base = cq_stats_percentile(alone, 95);
    double ratio = base > 0 ? cq_stats_percentile(mixed, 95) / base : 0;
    g_array_unref(mixed);
    g_array_unref(alone);
    return ratio;
}

static void
print_sums(GString *out, const char *prefix, const cq_work_t *work)
{
    sums_t sums = {0};
    sums.over_limit = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < work->calls->len; i++) {
        if (call_at(work, i)->at_us >= WARM_US) {
            add_call(&sums, call_at(work, i));
        }
    }
    line(out, prefix, "calls", NULL, sums.calls, "requests");
    line(out, prefix, "ttft_within_2s", NULL,
         share(sums.in_target, sums.calls), "share");
    line(out, prefix, "alone_misses_2s", NULL,
         share(sums.alone_late, sums.calls), "share");
    line(out, prefix, "finished_in_time", NULL, share(sums.done, sums.calls),
         "share");
    line(out, prefix, "refused_at_once", NULL,
         share(sums.refused, sums.calls), "share");
    line(out, prefix, "admitted_missed_deadline", NULL, sums.expired,
         "requests");
    line(out, prefix, "long_finished", NULL,
         share(sums.done_giants, sums.admitted_giants), "share");
    line(out, prefix, "ratio_to_limit_p50", NULL,
         cq_stats_percentile(sums.over_limit, 50), "ratio");
    line(out, prefix, "ratio_to_limit_p95", NULL,
         cq_stats_percentile(sums.over_limit, 95), "ratio");
    g_array_unref(sums.over_limit);
}

void
cq_stats_print(GString *out, const char *prefix, cq_work_t *work,
               cq_work_t *short_alone, const cq_sim_totals_t *totals,
               double rate)
{
    print_first_token(out, prefix, work);
    print_sums(out, prefix, work);
    line(out, prefix, "itl_p50", NULL, cq_stats_percentile(work->gaps, 50),
         "s");
    line(out, prefix, "itl_p95", NULL, cq_stats_percentile(work->gaps, 95),
         "s");
    line(out, prefix, "short_slowdown_p95", NULL,
         slowdown(cq_stats_first_token(work, 0, -1),
                  cq_stats_first_token(short_alone, 0, -1)),
         "ratio");
    line(out, prefix, "short_finish_slowdown_p95", NULL,
         slowdown(whole_answer(work, 0), whole_answer(short_alone, 0)),
         "ratio");
    line(out, prefix, "wasted", NULL, (double)totals->wasted_us / 1e6,
         "engine_s");
    line(out, prefix, "used", NULL, (double)totals->used_us / 1e6,
         "engine_s");
    line(out, prefix, "come_back_peak", NULL, come_back_peak(work) / rate,
         "ratio");
}
