#include "core/order.h"

#include <string.h>

#include "core/lease.h"
#include "core/place.h"
#include "core/table.h"
#include "core/usable.h"

void
cq_order_report(cq_core_t *core, const cq_ev_load_t *report)
{
    cq_upstream_t *upstream = cq_table_upstream(core, report->upstream);
    if (upstream == NULL || report->at_us < upstream->models_reported_us) {
        return;
    }
    upstream->models_reported_us = report->at_us;
    upstream->loading_model = report->loading;
    if (upstream->models_len != report->models_len) {
        core->placement_due = TRUE;
    }
    upstream->models_len = MIN(report->models_len, CQ_ENGINE_MODELS_MAX);
    memcpy(upstream->models, report->models,
           upstream->models_len * sizeof *upstream->models);
    if (report->at_us > upstream->ordered_us + CQ_ORDER_PENDING_US) {
        upstream->ordered_model = 0;
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
    if (event->outdated && event->fence == core->lease.fence) {
        cq_lease_lost(core);
    }
}

gboolean
cq_order_has_model(const cq_upstream_t *upstream, guint64 model)
{
    for (guint i = 0; i < upstream->models_len; i++) {
        if (upstream->models[i] == model) {
            return TRUE;
        }
    }
    return FALSE;
}

/* An order that no report shows yet counts as a load in progress. */
static gboolean
is_loading(const cq_upstream_t *upstream)
{
    return upstream->loading_model != 0 || upstream->ordered_model != 0;
}

static gboolean
has_or_will_load(const cq_upstream_t *upstream, guint64 model)
{
    return cq_order_has_model(upstream, model) ||
           upstream->loading_model == model ||
           upstream->ordered_model == model;
}

/**
 * struct replica_plan_t - engines that have a model, and the next to load it
 * @model: hash of the model
 * @replicas_found: engines that have it loaded, load it or were ordered to
 * @best: the engine that should load it next, or NULL
 * @best_rank: its rank; the lowest is best
 */
typedef struct {
    guint64 model;
    guint replicas_found;
    cq_upstream_t *best;
    guint64 best_rank;
} replica_plan_t;

static void
scan_engines(cq_core_t *core, const GPtrArray *upstreams, replica_plan_t *plan)
{
    for (guint i = 0; i < upstreams->len; i++) {
        cq_upstream_t *upstream = g_ptr_array_index(upstreams, i);
        if (!cq_usable_now(core, upstream)) {
            continue;
        }
        if (has_or_will_load(upstream, plan->model)) {
            plan->replicas_found++;
            continue;
        }
        guint64 rank = cq_place_mix(upstream->id ^ plan->model);
        gboolean full = upstream->models_len == CQ_ENGINE_MODELS_MAX;
        if (is_loading(upstream) || full ||
            upstream->models_reported_us == 0) {
            continue;
        }
        if (plan->best == NULL || rank < plan->best_rank) {
            plan->best = upstream;
            plan->best_rank = rank;
        }
    }
}

static void
send_order(cq_core_t *core, cq_upstream_t *upstream, const char *model,
           guint64 fence)
{
    upstream->ordered_model = cq_ident_hash(model);
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
count_loads(const GPtrArray *upstreams)
{
    guint count = 0;
    for (guint i = 0; i < upstreams->len; i++) {
        count += is_loading(g_ptr_array_index(upstreams, i));
    }
    return count;
}

static guint
loads_in_progress(const cq_core_t *core)
{
    guint sum = 0;
    for (guint i = 0; i < core->services->len; i++) {
        const cq_service_t *service = g_ptr_array_index(core->services, i);
        sum += count_loads(service->local) + count_loads(service->remote);
    }
    return sum;
}

static void
order_for_service(cq_core_t *core, const cq_service_t *service)
{
    const cq_rules_t *rules = service->rules;
    for (guint i = 0; i < rules->models->len; i++) {
        const cq_model_rule_t *model =
            &g_array_index(rules->models, cq_model_rule_t, i);
        replica_plan_t plan = {.model = cq_ident_hash(model->name)};
        scan_engines(core, service->local, &plan);
        scan_engines(core, service->remote, &plan);
        guint64 fence = cq_lease_fence(core);
        gboolean needs_replica = plan.replicas_found < (guint)model->replicas;
        if (needs_replica && plan.best != NULL && fence != 0 &&
            loads_in_progress(core) < CQ_MODEL_LOADS_MAX) {
            send_order(core, plan.best, model->name, fence);
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
        if (service->rules != NULL &&
            cq_rules_orders_model_loads(service->rules)) {
            order_for_service(core, service);
        }
    }
}
