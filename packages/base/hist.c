#include "base/hist.h"

/* Upper bounds of the buckets, from a round trip on loopback up to a minute,
 * which is the default time limit of a request. Relative to their
 * bounds, the buckets are narrowest around the target times of requests. */
static const gint64 bounds_ms[CQ_HIST_BOUNDS] = {
    5,    10,   20,   50,   100,  200,   300,   500,
    1000, 1500, 2000, 3000, 5000, 10000, 20000, 60000,
};

void
cq_hist_add(cq_hist_t *hist, gint64 us)
{
    guint bucket = 0;
    us = MAX(us, 0);
    while (bucket < CQ_HIST_BOUNDS && us > bounds_ms[bucket] * 1000) {
        bucket++;
    }
    hist->count[bucket]++;
    hist->sum_us += (guint64)us;
}

void
cq_hist_render(const cq_hist_t *hist, const char *name, GString *out)
{
    guint64 count = 0;
    for (guint i = 0; i < CQ_HIST_BOUNDS; i++) {
        count += hist->count[i];
        g_string_append_printf(
            out,
            "%s_bucket{le=\"%" G_GINT64_FORMAT ".%03" G_GINT64_FORMAT
            "\"} %" G_GUINT64_FORMAT "\n",
            name, bounds_ms[i] / 1000, bounds_ms[i] % 1000, count);
    }
    count += hist->count[CQ_HIST_BOUNDS];
    g_string_append_printf(
        out, "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n", name, count);
    g_string_append_printf(
        out, "%s_sum %" G_GUINT64_FORMAT ".%06" G_GUINT64_FORMAT "\n", name,
        hist->sum_us / G_USEC_PER_SEC, hist->sum_us % G_USEC_PER_SEC);
    g_string_append_printf(out, "%s_count %" G_GUINT64_FORMAT "\n", name,
                           count);
}
