/**
 * DOC: workload
 *
 * The callers of a benchmark run: Poisson arrivals from a seed, prompts of 1k
 * to 1M tokens. Callers retry when the answer says so, go to another host
 * when theirs dies, and record latencies and outcomes.
 */
#ifndef CQ_WORKLOAD_H
#define CQ_WORKLOAD_H

#include "bench/sim.h"

G_BEGIN_DECLS

#define CQ_WORKLOAD_CLASSES 4

/**
 * struct cq_workload_call_t - one call, with its retries, and its outcome
 * @at_us: when it is first sent
 * @request: the request
 * @klass: length class of the prompt, 0 for the shortest
 * @team: index of its team
 * @in_burst: part of the burst of cq_workload_options_t.burst_calls
 * @sends: times it was sent
 * @first_us: time of the first token, or -1
 * @last_us: time of the latest token
 * @done_us: time of the complete answer, or -1
 * @refused_first: it was refused when first sent
 * @expired: it missed its deadline after it was admitted
 * @tokens: tokens received since it was last sent
 */
typedef struct {
    gint64 at_us;
    cq_sim_request_t request;
    guint klass;
    guint team;
    gboolean in_burst;
    guint sends;
    gint64 first_us;
    gint64 last_us;
    gint64 done_us;
    gboolean refused_first;
    gboolean expired;
    gint64 tokens;
} cq_workload_call_t;

/**
 * struct cq_workload_options_t - parameters of the load
 * @seed: seed of arrivals, sizes and teams
 * @rate: requests per second
 * @seconds: length of the load
 * @hosts: number of entry hosts
 * @burst_at_s: when an extra burst of calls begins, which lasts one second
 * @burst_calls: number of calls in the burst, or 0
 * @flood_team: index of a team that sends @flood_factor times its share, or -1
 * @flood_factor: the factor
 * @short_only: leave out all calls but those of the shortest class
 */
typedef struct {
    guint32 seed;
    double rate;
    guint seconds;
    guint hosts;
    guint burst_at_s;
    guint burst_calls;
    int flood_team;
    guint flood_factor;
    gboolean short_only;
} cq_workload_options_t;

/**
 * struct cq_workload_t - the callers of one run
 * @calls: array of cq_workload_call_t; a call's index is its tag
 * @gaps: array of double, seconds between tokens
 * @retries_by_second: array of guint, retries in each second of the run
 * @hosts: number of entry hosts
 * @total_sends: requests sent, with retries
 */
typedef struct {
    GArray *calls;
    GArray *gaps;
    GArray *retries_by_second;
    guint hosts;
    GRand *rand;
    guint64 total_sends;
} cq_workload_t;

/** cq_workload_new() - Return: a workload with all arrivals drawn */
cq_workload_t *
cq_workload_new(const cq_workload_options_t *options);

/** cq_workload_free() - free @workload */
void
cq_workload_free(cq_workload_t *workload);

/** cq_workload_set_callbacks() - set the callbacks in @options to @workload */
void
cq_workload_set_callbacks(cq_workload_t *workload, cq_sim_options_t *options);

/** cq_workload_start() - add all arrivals to the event queue of @sim */
void
cq_workload_start(cq_workload_t *workload, cq_sim_t *sim);

/** cq_workload_class_name() - Return: name of length class @klass */
const char *
cq_workload_class_name(guint klass);

/** cq_workload_idle_first_token_s() - Return: seconds to the first token of
 * @call alone on idle engines with its prefix cached */
double
cq_workload_idle_first_token_s(const cq_workload_call_t *call);

G_END_DECLS

#endif
