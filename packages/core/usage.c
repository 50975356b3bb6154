#include "core/usage.h"

/* A team exceeds its share if its running cost is more than EXCESS_FACTOR
 * times the share plus EXCESS_SLACK_SHARE of all running cost. The second term
 * keeps a single long request of a small team from counting as excess. */
#define EXCESS_FACTOR 1.5
#define EXCESS_SLACK_SHARE 0.15
/* Below this running cost of a service, in engine seconds, no team exceeds its
 * share. */
#define RUNNING_COST_MIN 8.0

cq_usage_t *
cq_usage_of(const cq_request_t *request)
{
    GArray *usage = request->service->usage;
    guint team = (guint)request->team;
    if (usage->len <= team) {
        g_array_set_size(usage, team + 1);
    }
    return &g_array_index(usage, cq_usage_t, team);
}

void
cq_usage_open(const cq_request_t *request)
{
    cq_usage_of(request)->open++;
}

void
cq_usage_close(const cq_request_t *request)
{
    cq_usage_t *usage = cq_usage_of(request);
    g_assert(usage->open > 0);
    usage->open--;
}

void
cq_usage_start(const cq_request_t *request)
{
    cq_usage_of(request)->cost += request->cost;
    request->service->running_cost += request->cost;
}

void
cq_usage_stop(const cq_request_t *request)
{
    cq_usage_of(request)->cost -= request->cost;
    request->service->running_cost -= request->cost;
}

static double
weight_of(const cq_rules_t *rules, guint team)
{
    if (team >= rules->teams->len) {
        return 1;
    }
    return (double)g_array_index(rules->teams, cq_team_rule_t, team).weight;
}

gboolean
cq_usage_exceeds_share(const cq_request_t *request)
{
    const cq_service_t *service = request->service;
    if (service->running_cost < RUNNING_COST_MIN) {
        return FALSE;
    }
    double weights_sum = 0;
    for (guint i = 0; i < service->usage->len; i++) {
        if (g_array_index(service->usage, cq_usage_t, i).open > 0) {
            weights_sum += weight_of(service->rules, i);
        }
    }
    double own_weight = weight_of(service->rules, (guint)request->team);
    double fair_cost =
        service->running_cost * own_weight / MAX(weights_sum, own_weight);
    double allowed_cost =
        EXCESS_FACTOR * fair_cost + EXCESS_SLACK_SHARE * service->running_cost;
    return cq_usage_of(request)->cost > allowed_cost;
}
