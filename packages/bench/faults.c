/* The faults that the emulated world can have. */
#include "bench/world.h"

static GPtrArray *
asks_of_host(cq_sim_t *sim, guint index)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, sim->asks);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        cq_world_ask_t *ask = value;
        if (ask->ask.host == index) {
            g_ptr_array_add(found, ask);
        }
    }
    return found;
}

static gint
by_id(gconstpointer a, gconstpointer b)
{
    const cq_world_ask_t *x = *(cq_world_ask_t *const *)a;
    const cq_world_ask_t *y = *(cq_world_ask_t *const *)b;
    return x->id < y->id ? -1 : x->id > y->id;
}

static void
lose_asks(cq_sim_t *sim, guint index)
{
    GPtrArray *asks = asks_of_host(sim, index);
    g_ptr_array_sort(asks, by_id);
    for (guint i = 0; i < asks->len; i++) {
        cq_world_ask_t *ask = g_ptr_array_index(asks, i);
        guint64 tag = ask->ask.tag;
        g_hash_table_remove(sim->asks, &ask->id);
        if (sim->options.lost != NULL) {
            sim->options.lost(sim, tag, sim->options.data);
        }
    }
    g_ptr_array_unref(asks);
}

void
cq_sim_kill_host(cq_sim_t *sim, guint index)
{
    cq_world_host_t *host = &sim->hosts[index];
    if (host->core == NULL) {
        return;
    }
    cq_core_free(host->core);
    cq_fold_free(host->fold);
    host->core = NULL;
    host->fold = NULL;
    host->appending = FALSE;
    g_queue_clear_full(&host->waiting, g_free);
    g_queue_clear_full(&host->appends, g_free);
    cq_world_drop_tries(sim, index);
    lose_asks(sim, index);
}

void
cq_sim_freeze_host(cq_sim_t *sim, guint index, gint64 us)
{
    cq_world_host_t *host = &sim->hosts[index];
    if (host->core == NULL) {
        return;
    }
    host->frozen_until_us = cq_world_now(sim) + us;
    cq_heap_add(&sim->heap, host->frozen_until_us, cq_world_thaw, host,
                host->incarnation);
}

void
cq_sim_drain_host(cq_sim_t *sim, guint index, gint64 notice_us,
                  gint64 limit_us)
{
    if (sim->hosts[index].core == NULL) {
        return;
    }
    cq_event_t event = {.kind = CQ_EV_DRAIN};
    event.drain.notice_us = notice_us;
    event.drain.limit_us = limit_us;
    cq_world_post(sim, index, &event);
}

gboolean
cq_sim_host_stopped(const cq_sim_t *sim, guint index)
{
    return sim->hosts[index].stopped;
}

void
cq_sim_kill_upstream(cq_sim_t *sim, guint index)
{
    cq_world_upstream_t *upstream = &sim->upstreams[index];
    if (!upstream->up) {
        return;
    }
    cq_world_break_tries(sim, index);
    upstream->up = FALSE;
    if (upstream->engine != NULL) {
        cq_engine_reset(upstream->engine);
        upstream->models_len = 0;
        upstream->loading = 0;
        upstream->fence = 0;
    }
}

void
cq_sim_start_upstream(cq_sim_t *sim, guint index)
{
    cq_world_upstream_t *upstream = &sim->upstreams[index];
    if (upstream->up) {
        return;
    }
    upstream->up = TRUE;
    upstream->leaving = FALSE;
    upstream->frozen_until_us = 0;
    upstream->incarnation++;
    (void)sim;
}

void
cq_sim_freeze_upstream(cq_sim_t *sim, guint index, gint64 us)
{
    sim->upstreams[index].frozen_until_us = cq_world_now(sim) + us;
}

void
cq_sim_leave_upstream(cq_sim_t *sim, guint index)
{
    sim->upstreams[index].leaving = TRUE;
}

void
cq_sim_cut(cq_sim_t *sim, guint a, guint b, gboolean cut)
{
    sim->cut[a][b] = cut;
    sim->cut[b][a] = cut;
}

void
cq_sim_log_down(cq_sim_t *sim, gboolean down)
{
    sim->log_down = down;
}

void
cq_sim_lose_appends(cq_sim_t *sim, guint n)
{
    sim->lose_appends = n;
}

void
cq_sim_list_down(cq_sim_t *sim, gboolean down)
{
    sim->list_down = down;
}
