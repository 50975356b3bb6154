/* Benchmark: runs the scheduler's policy and two baselines on the same loads.
 */
#include <stdio.h>
#include <string.h>

#include "bench/slopes.h"
#include "bench/spread.h"
#include "bench/stats.h"
#include "bench/trial.h"

#define THREADS 4

static const char *const policy_names[] = {"ours", "round_robin",
                                           "least_requests"};

/* The flood scenario needs two_thirds, the same load without the flood. */
static gboolean
is_selected(const cq_scenario_t *scenario, const char *name)
{
    gboolean is_flood_base = strcmp(name, "flood") == 0 &&
                             strcmp(scenario->name, "two_thirds") == 0;
    return is_flood_base || strcmp(name, "all") == 0 ||
           strcmp(name, scenario->name) == 0;
}

/* Each run with all calls is followed by the same run with short calls only.
 */
static GArray *
list_runs(const char *name, guint32 seed)
{
    GArray *runs = g_array_new(FALSE, TRUE, sizeof(cq_trial_t));
    const cq_scenario_t *scenarios;
    guint len = cq_trial_scenarios(&scenarios);
    for (guint i = 0; i < len; i++) {
        guint policies =
            scenarios[i].no_baselines ? 1 : G_N_ELEMENTS(policy_names);
        for (guint p = 0; is_selected(&scenarios[i], name) && p < policies;
             p++) {
            cq_trial_t run = {.scenario = &scenarios[i],
                              .policy = (cq_policy_t)p,
                              .seed = seed};
            g_array_append_val(runs, run);
            run.short_only = TRUE;
            g_array_append_val(runs, run);
        }
    }
    return runs;
}

static void
execute_run(gpointer data, gpointer unused)
{
    (void)unused;
    cq_trial_run(data);
}

static void
execute_runs(GArray *runs)
{
    GThreadPool *pool =
        g_thread_pool_new(execute_run, NULL, THREADS, FALSE, NULL);
    for (guint i = 0; i < runs->len; i++) {
        g_thread_pool_push(pool, &g_array_index(runs, cq_trial_t, i), NULL);
    }
    g_thread_pool_free(pool, FALSE, TRUE);
}

static const cq_trial_t *
find_run(const GArray *runs, const char *scenario, cq_policy_t policy)
{
    for (guint i = 0; i < runs->len; i += 2) {
        const cq_trial_t *run = &g_array_index(runs, cq_trial_t, i);
        if (run->policy == policy &&
            strcmp(run->scenario->name, scenario) == 0) {
            return run;
        }
    }
    return NULL;
}

/* Prints how much longer the other teams wait while one sends far above its
 * share. */
static void
print_flood(GString *out, const GArray *runs, const cq_trial_t *run)
{
    const cq_trial_t *unflooded_run =
        find_run(runs, "two_thirds", run->policy);
    if (unflooded_run == NULL || run->scenario->flood_team < 0) {
        return;
    }
    GArray *flooded_s =
        cq_stats_first_token(run->workload, -1, run->scenario->flood_team);
    GArray *unflooded_s = cq_stats_first_token(unflooded_run->workload, -1,
                                               run->scenario->flood_team);
    double growth = cq_stats_percentile(flooded_s, 95) /
                    cq_stats_percentile(unflooded_s, 95);
    g_string_append_printf(out, "flood.%s.others_ttft_p95_growth %.4g ratio\n",
                           policy_names[run->policy], growth);
    g_array_unref(flooded_s);
    g_array_unref(unflooded_s);
}

static void
print_run(GString *out, const GArray *runs, const cq_trial_t *run,
          const cq_trial_t *short_only_run)
{
    char prefix[64];
    g_snprintf(prefix, sizeof prefix, "%s.%s", run->scenario->name,
               policy_names[run->policy]);
    cq_figures_t figures =
        cq_stats_figures(run->workload, short_only_run->workload, &run->totals,
                         run->scenario->rate);
    cq_stats_print(out, prefix, &figures);
    double attempts = (double)run->attempts / (double)MAX(run->requests, 1);
    g_string_append_printf(out, "%s.attempts_per_request %.4g ratio\n", prefix,
                           attempts);
    g_string_append_printf(out, "%s.leaked_kv %" G_GINT64_FORMAT " tokens\n",
                           prefix, run->reserved_tokens);
    g_string_append_printf(out, "%s.summary_bytes_per_peer %.4g B/s\n", prefix,
                           cq_trial_bytes_per_host(run));
    print_flood(out, runs, run);
}

static void
print_runs(GArray *runs)
{
    GString *out = g_string_new("");
    for (guint i = 0; i + 1 < runs->len; i += 2) {
        print_run(out, runs, &g_array_index(runs, cq_trial_t, i),
                  &g_array_index(runs, cq_trial_t, i + 1));
    }
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
    for (guint i = 0; i < runs->len; i++) {
        cq_trial_clear(&g_array_index(runs, cq_trial_t, i));
    }
}

int
main(int argc, char **argv)
{
    const char *name = argc > 1 ? argv[1] : "all";
    guint32 seed = argc > 2 ? (guint32)g_ascii_strtoull(argv[2], NULL, 10) : 1;
    if (strcmp(name, "slopes") == 0) {
        cq_slopes_print();
        return 0;
    }
    if (strcmp(name, "spread") == 0) {
        cq_spread_print();
        return 0;
    }
    GArray *runs = list_runs(name, seed);
    if (runs->len == 0) {
        fprintf(stderr,
                "bench: no scenario %s; expected one of: all slopes "
                "spread",
                name);
        const cq_scenario_t *scenarios;
        guint len = cq_trial_scenarios(&scenarios);
        for (guint i = 0; i < len; i++) {
            fprintf(stderr, " %s", scenarios[i].name);
        }
        fprintf(stderr, "\n");
        g_array_unref(runs);
        return 2;
    }
    execute_runs(runs);
    print_runs(runs);
    g_array_unref(runs);
    if (strcmp(name, "all") == 0) {
        cq_slopes_print();
        cq_spread_print();
    }
    return 0;
}
