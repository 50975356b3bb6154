/* Orders on their way to engines, and engines that load models. */
#include "bench/world.h"

typedef struct {
    guint host;
    guint64 incarnation;
    guint upstream;
    cq_ac_order_t order;
} sent_t;

static void
on_loaded(void *world, void *data, guint64 incarnation)
{
    cq_sim_t *sim = world;
    cq_world_upstream_t *upstream = data;
    sim->loads--;
    if (upstream->incarnation != incarnation || upstream->loading == 0) {
        return;
    }
    upstream->models[upstream->models_len++] = upstream->loading;
    upstream->loading = 0;
}

static gboolean
has(const cq_world_upstream_t *upstream, guint64 model)
{
    for (guint i = 0; i < upstream->models_len; i++) {
        if (upstream->models[i] == model) {
            return TRUE;
        }
    }
    return upstream->loading == model;
}

static void
load(cq_sim_t *sim, cq_world_upstream_t *upstream, guint64 model)
{
    gboolean room = upstream->models_len < CQ_ENGINE_MODELS_MAX;
    if (has(upstream, model) || upstream->loading != 0 || !room) {
        return;
    }
    upstream->loading = model;
    sim->loads++;
    sim->totals.loads++;
    sim->totals.loads_at_once = MAX(sim->totals.loads_at_once, sim->loads);
    cq_heap_add(&sim->heap, cq_world_now(sim) + CQ_WORLD_MODEL_US, on_loaded,
                upstream, upstream->incarnation);
}

static void
on_order(void *world, void *data, guint64 number)
{
    (void)number;
    cq_sim_t *sim = world;
    sent_t *sent = data;
    cq_world_upstream_t *upstream = &sim->upstreams[sent->upstream];
    cq_world_host_t *host = &sim->hosts[sent->host];
    gboolean reach =
        upstream->up && cq_world_reachable(sim, host->zone, upstream->zone);
    if (reach) {
        gboolean old = sent->order.fence < upstream->fence;
        cq_event_t event = {.kind = CQ_EV_ORDERED};
        event.ordered.upstream = upstream->id;
        event.ordered.fence = sent->order.fence;
        event.ordered.accepted = !old || !upstream->checks_fence;
        if (event.ordered.accepted) {
            load(sim, upstream, cq_ident_hash(sent->order.model));
        }
        sim->totals.old_orders += old;
        sim->totals.old_orders_refused += old && upstream->checks_fence;
        upstream->fence = MAX(upstream->fence, sent->order.fence);
        if (host->core != NULL && host->incarnation == sent->incarnation) {
            cq_world_tell(host, &event, CQ_WORLD_HOP_US);
        }
    }
    g_free(sent);
}

void
cq_world_order(cq_world_host_t *host, const cq_ac_order_t *order)
{
    cq_sim_t *sim = host->sim;
    sent_t *sent = g_new0(sent_t, 1);
    sent->host = host->index;
    sent->incarnation = host->incarnation;
    sent->order = *order;
    sent->upstream = GPOINTER_TO_UINT(
        g_hash_table_lookup(sim->upstream_by_id, &order->upstream));
    gint64 us = CQ_WORLD_HOP_US + sim->order_delay_us;
    cq_heap_add(&sim->heap, cq_world_now(sim) + us, on_order, sent, 0);
}

void
cq_sim_delay_orders(cq_sim_t *sim, gint64 us)
{
    sim->order_delay_us = us;
}

guint
cq_sim_loaded(const cq_sim_t *sim, const char *model)
{
    guint64 hash = cq_ident_hash(model);
    guint loaded = 0;
    for (guint i = 0; i < sim->upstreams_len; i++) {
        const cq_world_upstream_t *upstream = &sim->upstreams[i];
        loaded +=
            upstream->up && upstream->loading != hash && has(upstream, hash);
    }
    return loaded;
}
