#include "bench/trial.h"

#include <string.h>

#define ZONES 3
#define HOSTS 4
#define ENGINES 20
/* Requests per second. */
#define PEAK_RATE (0.75 * ENGINES)
#define LOAD_S 120
/* Time after the load in which the last calls and their retries end. */
#define SETTLE_S 320
#define BURST_AT_S 30
#define BURST_CALLS 600
#define FAULT_AT_S 50
#define REPAIR_AT_S 80
#define FLOOD_TEAM 9
#define FLOOD_FACTOR 20

static const char rules_format[] =
    "[service]\nname = \"modelo\"\nkind = \"model\"\nauth = \"none\"\n"
    "[requests]\nfirst_token_weight = %d\ntimeout_max_ms = 600000\n"
    "[engines]\ngroup_max = 8\nresume = true\nstreams_max = 12\n"
    "[[model]]\nname = \"m\"\n"
    "[[team]]\nname = \"t0\"\nweight = 30\n"
    "[[team]]\nname = \"t1\"\nweight = 20\n"
    "[[team]]\nname = \"t2\"\nweight = 12\n"
    "[[team]]\nname = \"t3\"\nweight = 9\n"
    "[[team]]\nname = \"t4\"\nweight = 7\n"
    "[[team]]\nname = \"t5\"\nweight = 6\n"
    "[[team]]\nname = \"t6\"\nweight = 5\n"
    "[[team]]\nname = \"t7\"\nweight = 4\n"
    "[[team]]\nname = \"t8\"\nweight = 4\n"
    "[[team]]\nname = \"t9\"\nweight = 3\n";

static void
on_kill_engines(void *context, void *data, guint64 number)
{
    (void)data;
    (void)number;
    for (guint i = 0; i < ENGINES / 4; i++) {
        cq_sim_kill_upstream(context, i * 4);
    }
}

static void
on_start_engines(void *context, void *data, guint64 number)
{
    (void)data;
    (void)number;
    for (guint i = 0; i < ENGINES / 4; i++) {
        cq_sim_start_upstream(context, i * 4);
    }
}

static void
on_kill_host(void *context, void *data, guint64 number)
{
    (void)data;
    cq_sim_kill_host(context, (guint)number);
}

static void
schedule_engine_loss(cq_heap_t *heap)
{
    cq_heap_add(heap, FAULT_AT_S * CQ_SECOND_US, on_kill_engines, NULL, 0);
    cq_heap_add(heap, REPAIR_AT_S * CQ_SECOND_US, on_start_engines, NULL, 0);
}

static void
schedule_host_loss(cq_heap_t *heap)
{
    cq_heap_add(heap, FAULT_AT_S * CQ_SECOND_US, on_kill_host, NULL, 1);
}

static const cq_scenario_t scenarios[] = {
    {"steady", PEAK_RATE, 0, -1, CQ_SECOND_US, 75, FALSE, NULL},
    {"two_thirds", PEAK_RATE * 2 / 3, 0, -1, CQ_SECOND_US, 75, FALSE, NULL},
    {"wake", PEAK_RATE / 2, BURST_CALLS, -1, CQ_SECOND_US, 75, FALSE, NULL},
    {"engines_lost", PEAK_RATE, 0, -1, CQ_SECOND_US, 75, FALSE,
     schedule_engine_loss},
    {"host_lost", PEAK_RATE, 0, -1, CQ_SECOND_US, 75, FALSE,
     schedule_host_loss},
    {"late_reports", PEAK_RATE, 0, -1, 10 * CQ_SECOND_US, 75, FALSE, NULL},
    {"flood", PEAK_RATE * 2 / 3, 0, FLOOD_TEAM, CQ_SECOND_US, 75, FALSE, NULL},
    {"weight_25", PEAK_RATE, 0, -1, CQ_SECOND_US, 25, TRUE, NULL},
    {"weight_25_lost", PEAK_RATE, 0, -1, CQ_SECOND_US, 25, TRUE,
     schedule_engine_loss},
};

static void
sum_counters(cq_trial_t *run, cq_sim_t *sim)
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

void
cq_trial_run(cq_trial_t *run)
{
    const cq_scenario_t *scenario = run->scenario;
    cq_workload_options_t load = {
        .seed = run->seed,
        .rate = scenario->rate,
        .seconds = LOAD_S,
        .hosts = HOSTS,
        .burst_at_s = BURST_AT_S,
        .burst_calls = scenario->burst_calls,
        .flood_team = scenario->flood_team,
        .flood_factor = FLOOD_FACTOR,
        .short_only = run->short_only,
    };
    run->workload = cq_workload_new(&load);
    char *rules = g_strdup_printf(rules_format, scenario->first_token_weight);
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
    cq_workload_set_callbacks(run->workload, &options);
    cq_sim_t *sim = cq_sim_new(&options);
    if (scenario->faults != NULL) {
        scenario->faults(cq_sim_heap(sim));
    }
    cq_workload_start(run->workload, sim);
    cq_sim_run(sim, (LOAD_S + SETTLE_S) * CQ_SECOND_US);
    run->totals = cq_sim_totals(sim);
    run->reserved_tokens = cq_sim_reserved_tokens(sim);
    sum_counters(run, sim);
    cq_sim_free(sim);
    g_free(rules);
}

guint
cq_trial_scenarios(const cq_scenario_t **first)
{
    *first = scenarios;
    return G_N_ELEMENTS(scenarios);
}

const cq_scenario_t *
cq_trial_scenario(const char *name)
{
    for (guint i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        if (strcmp(scenarios[i].name, name) == 0) {
            return &scenarios[i];
        }
    }
    return NULL;
}

void
cq_trial_clear(cq_trial_t *run)
{
    cq_workload_free(run->workload);
    run->workload = NULL;
}

double
cq_trial_bytes_per_host(const cq_trial_t *run)
{
    double bytes = (double)run->totals.summary_bytes;
    return bytes / HOSTS / (LOAD_S + SETTLE_S);
}
