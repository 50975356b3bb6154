/**
 * DOC: trial
 *
 * One load with its faults under one policy.
 */
#ifndef CQ_TRIAL_H
#define CQ_TRIAL_H

#include "bench/work.h"

G_BEGIN_DECLS

/**
 * struct cq_scenario_t - a load with its faults
 * @name: its name
 * @rate: requests a second
 * @wake_calls: callers that wake within one second, or 0
 * @flood_team: team that sends far above its share, or -1
 * @report_lag_us: age of load reports
 * @first_token_weight: of the service
 * @ours_only: not for the baselines
 * @faults: puts the faults on the agenda, or NULL
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
} cq_scenario_t;

/**
 * struct cq_trial_t - one scenario under one policy
 * @scenario: set before
 * @policy: set before
 * @seed: set before
 * @short_only: set before: leave every longer call out
 * @work: what callers saw
 * @totals: sums over the run
 * @attempts: attempts at engines
 * @requests: requests admitted
 * @held: memory held at the end, in tokens
 */
typedef struct {
    const cq_scenario_t *scenario;
    cq_policy_t policy;
    guint32 seed;
    gboolean short_only;
    cq_work_t *work;
    cq_sim_totals_t totals;
    guint64 attempts;
    guint64 requests;
    gint64 held;
} cq_trial_t;

/** cq_trial_run() - make the run */
void
cq_trial_run(cq_trial_t *run);

/** cq_trial_clear() - free what the run kept */
void
cq_trial_clear(cq_trial_t *run);

/** cq_trial_scenarios() - Return: number of scenarios; @first gets the first
 */
guint
cq_trial_scenarios(const cq_scenario_t **first);

/** cq_trial_scenario() - Return: scenario @name, or NULL */
const cq_scenario_t *
cq_trial_scenario(const char *name);

/** cq_trial_bytes_per_host() - Return: summary bytes a second that a host
 * sends to one peer */
double
cq_trial_bytes_per_host(const cq_trial_t *run);

G_END_DECLS

#endif
