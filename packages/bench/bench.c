/* Measures our policy and two baselines on the same seeded load. */
#include <stdio.h>
#include <string.h>

#include "bench/slopes.h"
#include "bench/stats.h"

#define ZONES 3
#define HOSTS 4
#define ENGINES 20
#define PEAK_RATE (0.75 * ENGINES)
#define LOAD_S 120
#define TAIL_S 320
#define WAKE_AT_S 30
#define WAKE_CALLS 600
#define FAULT_AT_S 50
#define REPAIR_AT_S 80
#define FLOOD_TEAM 9
#define FLOOD_FACTOR 20
#define THREADS 4

static const char rules_format[] =
    "[service]\nname = \"modelo\"\nkind = \"model\"\nauth = \"none\"\n"
    "[requests]\nfirst_token_weight = %d\ntimeout_max_ms = 600000\n"
    "[engines]\ngroup_max = 8\nresume = true\nstreams_max = 12\n"
    "[[model]]\nname = \"m\"\n"
    "[[team]]\nname = \"t0\"\n[[team]]\nname = \"t1\"\n"
    "[[team]]\nname = \"t2\"\n[[team]]\nname = \"t3\"\n"
    "[[team]]\nname = \"t4\"\n[[team]]\nname = \"t5\"\n"
    "[[team]]\nname = \"t6\"\n[[team]]\nname = \"t7\"\n"
    "[[team]]\nname = \"t8\"\n[[team]]\nname = \"t9\"\n";

/**
 * struct scenario_t - one load with its faults
 */
typedef struct {
    const char *name;
    double rate;
    guint wake_calls;
    int flood_team;
    gint64 report_lag_us;
    int first_token_weight;
    gboolean ours_only;
    void (*faults)(cq_heap_t *heap);
} scenario_t;

static void
on_kill_engines(void *world, void *data, guint64 number)
{
    (void)data;
    (void)number;
    for (guint i = 0; i < ENGINES / 4; i++) {
        cq_sim_kill_upstream(world, i * 4);
    }
}

static void
on_start_engines(void *world, void *data, guint64 number)
{
    (void)data;
    (void)number;
    for (guint i = 0; i < ENGINES / 4; i++) {
        cq_sim_start_upstream(world, i * 4);
    }
}

static void
on_kill_host(void *world, void *data, guint64 number)
{
    (void)data;
    cq_sim_kill_host(world, (guint)number);
}

static void
lose_engines(cq_heap_t *heap)
{
    cq_heap_add(heap, FAULT_AT_S * CQ_SECOND_US, on_kill_engines, NULL, 0);
    cq_heap_add(heap, REPAIR_AT_S * CQ_SECOND_US, on_start_engines, NULL, 0);
}

static void
lose_host(cq_heap_t *heap)
{
    cq_heap_add(heap, FAULT_AT_S * CQ_SECOND_US, on_kill_host, NULL, 1);
}

static const scenario_t scenarios[] = {
    {"steady", PEAK_RATE, 0, -1, CQ_SECOND_US, 75, FALSE, NULL},
    {"two_thirds", PEAK_RATE * 2 / 3, 0, -1, CQ_SECOND_US, 75, FALSE, NULL},
    {"wake", PEAK_RATE / 2, WAKE_CALLS, -1, CQ_SECOND_US, 75, FALSE, NULL},
    {"engines_lost", PEAK_RATE, 0, -1, CQ_SECOND_US, 75, FALSE, lose_engines},
    {"host_lost", PEAK_RATE, 0, -1, CQ_SECOND_US, 75, FALSE, lose_host},
    {"late_reports", PEAK_RATE, 0, -1, 10 * CQ_SECOND_US, 75, FALSE, NULL},
    {"flood", PEAK_RATE * 2 / 3, 0, FLOOD_TEAM, CQ_SECOND_US, 75, FALSE,
     NULL},
    {"weight_25", PEAK_RATE, 0, -1, CQ_SECOND_US, 25, TRUE, NULL},
};

static const char *const policy_names[] = {"ours", "round_robin",
                                           "least_requests"};

/**
 * struct run_t - one scenario under one policy
 */
typedef struct {
    const scenario_t *scenario;
    cq_policy_t policy;
    guint32 seed;
    gboolean short_only;
    cq_work_t *work;
    cq_sim_totals_t totals;
    guint64 attempts;
    guint64 requests;
    gint64 held;
} run_t;

static void
sum_counters(run_t *run, cq_sim_t *sim)
{
    for (guint i = 0; i < HOSTS; i++) {
        cq_core_t *core = cq_sim_core(sim, i);
        if (core != NULL) {
            const cq_counters_t *counters = cq_core_counters(core);
            run->attempts += counters->value[CQ_N_ATTEMPTS];
            run->requests += counters->value[CQ_N_ADMITTED];
        }
    }
}

static void
make_run(gpointer data, gpointer unused)
{
    (void)unused;
    run_t *run = data;
    const scenario_t *scenario = run->scenario;
    cq_work_options_t load = {
        .seed = run->seed,
        .rate = scenario->rate,
        .seconds = LOAD_S,
        .hosts = HOSTS,
        .wake_at_s = WAKE_AT_S,
        .wake_calls = scenario->wake_calls,
        .flood_team = scenario->flood_team,
        .flood_factor = FLOOD_FACTOR,
        .short_only = run->short_only,
    };
    run->work = cq_work_new(&load);
    char *rules =
        g_strdup_printf(rules_format, scenario->first_token_weight);
    const char *const texts[] = {rules, NULL};
    cq_sim_options_t options = {
        .zones = ZONES,
        .hosts = HOSTS,
        .engines = ENGINES,
        .policy = run->policy,
        .seed = run->seed,
        .report_lag_us = scenario->report_lag_us,
        .list_lag_us = 5 * CQ_SECOND_US / 5,
        .rules = texts,
    };
    cq_work_hook(run->work, &options);
    cq_sim_t *sim = cq_sim_new(&options);
    if (scenario->faults != NULL) {
        scenario->faults(cq_sim_heap(sim));
    }
    cq_work_start(run->work, sim);
    cq_sim_run(sim, (LOAD_S + TAIL_S) * CQ_SECOND_US);
    run->totals = cq_sim_totals(sim);
    run->held = cq_sim_held(sim);
    sum_counters(run, sim);
    cq_sim_free(sim);
    g_free(rules);
}

static gboolean
wanted(const scenario_t *scenario, const char *name)
{
    return strcmp(name, "all") == 0 || strcmp(name, scenario->name) == 0;
}

static GArray *
plan_runs(const char *name, guint32 seed)
{
    GArray *runs = g_array_new(FALSE, TRUE, sizeof(run_t));
    for (guint i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        guint policies =
            scenarios[i].ours_only ? 1 : G_N_ELEMENTS(policy_names);
        for (guint p = 0; wanted(&scenarios[i], name) && p < policies; p++) {
            run_t run = {.scenario = &scenarios[i],
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
make_runs(GArray *runs)
{
    GThreadPool *pool =
        g_thread_pool_new(make_run, NULL, THREADS, FALSE, NULL);
    for (guint i = 0; i < runs->len; i++) {
        g_thread_pool_push(pool, &g_array_index(runs, run_t, i), NULL);
    }
    g_thread_pool_free(pool, FALSE, TRUE);
}

static const run_t *
find_run(const GArray *runs, const char *scenario, cq_policy_t policy)
{
    for (guint i = 0; i < runs->len; i += 2) {
        const run_t *run = &g_array_index(runs, run_t, i);
        if (run->policy == policy &&
            strcmp(run->scenario->name, scenario) == 0) {
            return run;
        }
    }
    return NULL;
}

/* How much longer the other teams wait while one sends too much. */
static void
print_flood(GString *out, const GArray *runs, const run_t *run)
{
    const run_t *calm = find_run(runs, "two_thirds", run->policy);
    if (calm == NULL || run->scenario->flood_team < 0) {
        return;
    }
    GArray *flooded =
        cq_stats_first_token(run->work, -1, run->scenario->flood_team);
    GArray *before =
        cq_stats_first_token(calm->work, -1, run->scenario->flood_team);
    double growth = cq_stats_percentile(flooded, 95) /
                    cq_stats_percentile(before, 95);
    g_string_append_printf(out, "flood.%s.others_ttft_p95_growth %.4g ratio\n",
                           policy_names[run->policy], growth);
    g_array_unref(flooded);
    g_array_unref(before);
}

static void
print_run(GString *out, const GArray *runs, const run_t *run,
          const run_t *short_alone)
{
    char prefix[64];
    g_snprintf(prefix, sizeof prefix, "%s.%s", run->scenario->name,
               policy_names[run->policy]);
    cq_stats_print(out, prefix, run->work, short_alone->work, &run->totals,
                   run->scenario->rate);
    double attempts = (double)run->attempts / (double)MAX(run->requests, 1);
    g_string_append_printf(out, "%s.attempts_per_request %.4g ratio\n",
                           prefix, attempts);
    g_string_append_printf(out, "%s.leaked_kv %" G_GINT64_FORMAT " tokens\n",
                           prefix, run->held);
    double bytes = (double)run->totals.summary_bytes;
    g_string_append_printf(out, "%s.summary_bytes_per_host %.4g B/s\n",
                           prefix, bytes / HOSTS / (LOAD_S + TAIL_S));
    print_flood(out, runs, run);
}

static void
print_runs(GArray *runs)
{
    GString *out = g_string_new("");
    for (guint i = 0; i + 1 < runs->len; i += 2) {
        print_run(out, runs, &g_array_index(runs, run_t, i),
                  &g_array_index(runs, run_t, i + 1));
    }
    fputs(out->str, stdout);
    g_string_free(out, TRUE);
    for (guint i = 0; i < runs->len; i++) {
        cq_work_free(g_array_index(runs, run_t, i).work);
    }
}

int
main(int argc, char **argv)
{
    const char *name = argc > 1 ? argv[1] : "all";
    guint32 seed =
        argc > 2 ? (guint32)g_ascii_strtoull(argv[2], NULL, 10) : 1;
    if (strcmp(name, "slopes") == 0) {
        cq_slopes_print();
        return 0;
    }
    GArray *runs = plan_runs(name, seed);
    if (runs->len == 0) {
        fprintf(stderr, "bench: no scenario %s; write one of: all slopes",
                name);
        for (guint i = 0; i < G_N_ELEMENTS(scenarios); i++) {
            fprintf(stderr, " %s", scenarios[i].name);
        }
        fprintf(stderr, "\n");
        g_array_unref(runs);
        return 2;
    }
    make_runs(runs);
    print_runs(runs);
    g_array_unref(runs);
    if (strcmp(name, "all") == 0) {
        cq_slopes_print();
    }
    return 0;
}
