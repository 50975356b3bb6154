#include "core/usage.h"

/* A team may run this much above its share, and this part of all besides,
 * so that one long request of a small team is no excess. */
#define EXCESS 1.5
#define SLACK 0.15
#define RUNNING_MIN 8.0

static cq_usage_t *
usage_of(const cq_request_t *request)
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
    usage_of(request)->open++;
}

void
cq_usage_close(const cq_request_t *request)
{
    cq_usage_t *usage = usage_of(request);
    g_assert(usage->open > 0);
    usage->open--;
}

void
cq_usage_start(const cq_request_t *request)
{
    usage_of(request)->cost += request->cost;
    request->service->running += request->cost;
}

void
cq_usage_stop(const cq_request_t *request)
{
    usage_of(request)->cost -= request->cost;
    request->service->running -= request->cost;
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
cq_usage_exceeds(const cq_request_t *request)
{
    const cq_service_t *service = request->service;
    if (service->running < RUNNING_MIN) {
        return FALSE;
    }
    double weights = 0;
    for (guint i = 0; i < service->usage->len; i++) {
        if (g_array_index(service->usage, cq_usage_t, i).open > 0) {
            weights += weight_of(service->rules, i);
        }
    }
    double own = weight_of(service->rules, (guint)request->team);
    double fair = service->running * own / MAX(weights, own);
    double allowed = EXCESS * fair + SLACK * service->running;
    return usage_of(request)->cost > allowed;
}
