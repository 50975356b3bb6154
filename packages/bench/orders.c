/* Orders to load a model, and the engines that carry them out. */
#include "bench/simstate.h"

typedef struct {
    guint host;
    guint64 incarnation;
    guint upstream;
    cq_ac_order_t order;
} order_delivery_t;

static void
on_model_loaded(void *context, void *data, guint64 incarnation)
{
    cq_sim_t *sim = context;
    cq_sim_upstream_t *upstream = data;
    sim->model_loads_running--;
    if (upstream->incarnation != incarnation || upstream->loading == 0) {
        return;
    }
    upstream->models[upstream->models_len++] = upstream->loading;
    upstream->loading = 0;
}

static gboolean
has_or_is_loading(const cq_sim_upstream_t *upstream, guint64 model)
{
    for (guint i = 0; i < upstream->models_len; i++) {
        if (upstream->models[i] == model) {
            return TRUE;
        }
    }
    return upstream->loading == model;
}

static void
start_model_load(cq_sim_t *sim, cq_sim_upstream_t *upstream, guint64 model)
{
    gboolean has_room = upstream->models_len < CQ_ENGINE_MODELS_MAX;
    if (has_or_is_loading(upstream, model) || upstream->loading != 0 ||
        !has_room) {
        return;
    }
    upstream->loading = model;
    sim->model_loads_running++;
    sim->totals.model_loads++;
    sim->totals.model_loads_peak =
        MAX(sim->totals.model_loads_peak, sim->model_loads_running);
    cq_heap_add(&sim->heap, cq_sim_now(sim) + CQ_SIM_MODEL_LOAD_US,
                on_model_loaded, upstream, upstream->incarnation);
}

static void
on_order(void *context, void *data, guint64 number)
{
    (void)number;
    cq_sim_t *sim = context;
    order_delivery_t *delivery = data;
    cq_sim_upstream_t *upstream = &sim->upstreams[delivery->upstream];
    cq_sim_host_t *host = &sim->hosts[delivery->host];
    gboolean reachable =
        upstream->up && cq_sim_reachable(sim, host->zone, upstream->zone);
    if (reachable) {
        gboolean stale = delivery->order.fence < upstream->highest_fence;
        cq_event_t event = {.kind = CQ_EV_ORDERED};
        event.ordered.upstream = upstream->id;
        event.ordered.fence = delivery->order.fence;
        event.ordered.accepted = !stale || !upstream->checks_fence;
        event.ordered.outdated = !event.ordered.accepted;
        if (event.ordered.accepted) {
            start_model_load(sim, upstream,
                             cq_ident_hash(delivery->order.model));
        }
        sim->totals.stale_orders += stale;
        sim->totals.stale_orders_refused += stale && upstream->checks_fence;
        upstream->highest_fence =
            MAX(upstream->highest_fence, delivery->order.fence);
        if (host->core != NULL && host->incarnation == delivery->incarnation) {
            cq_sim_post_event_after(host, &event, CQ_SIM_HOP_US);
        }
    }
    g_free(delivery);
}

void
cq_sim_send_order(cq_sim_host_t *host, const cq_ac_order_t *order)
{
    cq_sim_t *sim = host->sim;
    order_delivery_t *delivery = g_new0(order_delivery_t, 1);
    delivery->host = host->index;
    delivery->incarnation = host->incarnation;
    delivery->order = *order;
    delivery->upstream = GPOINTER_TO_UINT(
        g_hash_table_lookup(sim->upstream_by_id, &order->upstream));
    gint64 delay_us = CQ_SIM_HOP_US + sim->order_delay_us;
    cq_heap_add(&sim->heap, cq_sim_now(sim) + delay_us, on_order, delivery, 0);
}

void
cq_sim_delay_orders(cq_sim_t *sim, gint64 us)
{
    sim->order_delay_us = us;
}

guint
cq_sim_engines_with_model(const cq_sim_t *sim, const char *model)
{
    guint64 hash = cq_ident_hash(model);
    guint loaded = 0;
    for (guint i = 0; i < sim->upstreams_len; i++) {
        const cq_sim_upstream_t *upstream = &sim->upstreams[i];
        loaded += upstream->up && upstream->loading != hash &&
                  has_or_is_loading(upstream, hash);
    }
    return loaded;
}
