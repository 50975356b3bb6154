/**
 * DOC: trial
 *
 * One benchmark run: a load and its faults under one scheduling policy.
 */
#ifndef CQ_TRIAL_H
#define CQ_TRIAL_H

#include "bench/workload.h"

G_BEGIN_DECLS

/**
 * struct cq_scenario_t - a load with its faults
 * @name: name in the output
 * @rate: requests per second
 * @burst_calls: number of calls in an extra burst of one second, or 0
 * @flood_team: index of a team that sends far above its share, or -1
 * @report_lag_us: age of load reports on arrival
 * @first_token_weight: the service's setting first_token_weight
 * @no_baselines: skip the baseline policies
 * @faults: adds the faults to the event queue, or NULL
 */
typedef struct {
    const char *name;
    double rate;
    guint burst_calls;
    int flood_team;
    gint64 report_lag_us;
    int first_token_weight;
    gboolean no_baselines;
    void (*faults)(cq_heap_t *heap);
} cq_scenario_t;

/**
 * struct cq_trial_t - one run; the caller sets the first four members
 * @scenario: the load and its faults
 * @policy: the scheduling policy
 * @seed: seed of the run
 * @short_only: leave out all calls but those of the shortest class
 * @workload: the calls and their outcomes; cq_trial_clear() frees it
 * @totals: sums over the run
 * @attempts: attempts at engines
 * @requests: requests admitted
 * @reserved_tokens: KV memory that is still reserved at the end
 */
typedef struct {
    const cq_scenario_t *scenario;
    cq_policy_t policy;
    guint32 seed;
    gboolean short_only;
    cq_workload_t *workload;
    cq_sim_totals_t totals;
    guint64 attempts;
    guint64 requests;
    gint64 reserved_tokens;
} cq_trial_t;

/** cq_trial_run() - execute the run and fill in its results */
void
cq_trial_run(cq_trial_t *run);

/** cq_trial_clear() - free the results of the run */
void
cq_trial_clear(cq_trial_t *run);

/** cq_trial_scenarios() - Return: number of scenarios; @first is set to the
 * first of an array */
guint
cq_trial_scenarios(const cq_scenario_t **first);

/** cq_trial_scenario() - Return: the scenario called @name, or NULL */
const cq_scenario_t *
cq_trial_scenario(const char *name);

/** cq_trial_bytes_per_host() - Return: summary bytes per second that a host
 * sends to one peer, averaged over the run */
double
cq_trial_bytes_per_host(const cq_trial_t *run);

G_END_DECLS

#endif
