#include "core/order.h"

#include <string.h>

#include "core/lease.h"
#include "core/place.h"
#include "core/table.h"

void
cq_order_report(cq_core_t *core, const cq_ev_load_t *report)
{
    cq_upstream_t *upstream = cq_table_upstream(core, report->upstream);
    if (upstream == NULL || report->at_us < upstream->models_at_us) {
        return;
    }
    upstream->models_at_us = report->at_us;
    upstream->loading = report->loading;
    if (upstream->models_len != report->models_len) {
        core->placeable = TRUE;
    }
    upstream->models_len = MIN(report->models_len, CQ_ENGINE_MODELS_MAX);
    memcpy(upstream->models, report->models,
           upstream->models_len * sizeof *upstream->models);
    if (report->at_us > upstream->ordered_us + CQ_ORDER_PENDING_US) {
        upstream->ordered = 0;
    }
}

void
cq_order_answer(cq_core_t *core, const cq_ev_ordered_t *event)
{
    cq_upstream_t *upstream = cq_table_upstream(core, event->upstream);
    cq_ring_add(&core->ring, core->now_us, 0, 0, "ordered",
                "upstream=%s fence=%" G_GUINT64_FORMAT " accepted=%s",
                upstream != NULL ? upstream->name : "-", event->fence,
                event->accepted ? "yes" : "no");
    if (!event->accepted && event->fence == core->lease.fence) {
        cq_lease_lost(core);
    }
}

gboolean
cq_order_has(const cq_upstream_t *upstream, guint64 model)
{
    for (guint i = 0; i < upstream->models_len; i++) {
        if (upstream->models[i] == model) {
            return TRUE;
        }
    }
    return FALSE;
}

/* An order that was given and not yet seen in a report counts as a load. */
static gboolean
busy(const cq_upstream_t *upstream)
{
    return upstream->loading != 0 || upstream->ordered != 0;
}

static gboolean
will_have(const cq_upstream_t *upstream, guint64 model)
{
    return cq_order_has(upstream, model) || upstream->loading == model ||
           upstream->ordered == model;
}

typedef struct {
    guint64 model;
    guint have;
    cq_upstream_t *best;
    guint64 best_rank;
} survey_t;

static void
look_at(cq_core_t *core, const GPtrArray *upstreams, survey_t *survey)
{
    for (guint i = 0; i < upstreams->len; i++) {
        cq_upstream_t *upstream = g_ptr_array_index(upstreams, i);
        if (!cq_place_usable(core, upstream)) {
            continue;
        }
        if (will_have(upstream, survey->model)) {
            survey->have++;
            continue;
        }
        guint64 rank = cq_place_mix(upstream->id ^ survey->model);
        gboolean full = upstream->models_len == CQ_ENGINE_MODELS_MAX;
        if (busy(upstream) || full || upstream->models_at_us == 0) {
            continue;
        }
        if (survey->best == NULL || rank < survey->best_rank) {
            survey->best = upstream;
            survey->best_rank = rank;
        }
    }
}

static void
give(cq_core_t *core, cq_upstream_t *upstream, const char *model,
     guint64 fence)
{
    upstream->ordered = cq_ident_hash(model);
    upstream->ordered_us = core->now_us;
    cq_counters_add(&core->counters, CQ_N_ORDERS, 1);
    cq_ring_add(&core->ring, core->now_us, 0, 0, "order",
                "upstream=%s load=%s fence=%" G_GUINT64_FORMAT, upstream->name,
                model, fence);
    cq_action_t action = {
        .kind = CQ_AC_ORDER,
        .order = {.upstream = upstream->id, .fence = fence},
    };
    g_strlcpy(action.order.model, model, sizeof action.order.model);
    cq_actions_add(core->actions, &action);
}

static guint
loads_of(const GPtrArray *upstreams)
{
    guint loads = 0;
    for (guint i = 0; i < upstreams->len; i++) {
        loads += busy(g_ptr_array_index(upstreams, i));
    }
    return loads;
}

static guint
loads(const cq_core_t *core)
{
    guint sum = 0;
    for (guint i = 0; i < core->services->len; i++) {
        const cq_service_t *service = g_ptr_array_index(core->services, i);
        sum += loads_of(service->nearby) + loads_of(service->remote);
    }
    return sum;
}

static void
order_service(cq_core_t *core, const cq_service_t *service)
{
    const cq_rules_t *rules = service->rules;
    for (guint i = 0; i < rules->models->len; i++) {
        const cq_model_rule_t *model =
            &g_array_index(rules->models, cq_model_rule_t, i);
        survey_t survey = {.model = cq_ident_hash(model->name)};
        look_at(core, service->nearby, &survey);
        look_at(core, service->remote, &survey);
        guint64 fence = cq_lease_fence(core);
        gboolean wanted = survey.have < (guint)model->replicas;
        if (wanted && survey.best != NULL && fence != 0 &&
            loads(core) < CQ_MODEL_LOADS_MAX) {
            give(core, survey.best, model->name, fence);
        }
    }
}

void
cq_order_tick(cq_core_t *core)
{
    if (cq_lease_fence(core) == 0) {
        return;
    }
    for (guint i = 0; i < core->services->len; i++) {
        const cq_service_t *service = g_ptr_array_index(core->services, i);
        if (service->rules != NULL && cq_rules_orders_loads(service->rules)) {
            order_service(core, service);
        }
    }
}
