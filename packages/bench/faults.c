/* The faults of the emulated deployment. */
#include "bench/simstate.h"

static GPtrArray *
open_requests_of_host(cq_sim_t *sim, guint index)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, sim->open_requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        cq_sim_open_request_t *open_request = value;
        if (open_request->spec.host == index) {
            g_ptr_array_add(found, open_request);
        }
    }
    return found;
}

static gint
compare_ids(gconstpointer a, gconstpointer b)
{
    const cq_sim_open_request_t *x = *(cq_sim_open_request_t *const *)a;
    const cq_sim_open_request_t *y = *(cq_sim_open_request_t *const *)b;
    return x->id < y->id ? -1 : x->id > y->id;
}

static void
lose_open_requests(cq_sim_t *sim, guint index)
{
    GPtrArray *open_requests = open_requests_of_host(sim, index);
    g_ptr_array_sort(open_requests, compare_ids);
    for (guint i = 0; i < open_requests->len; i++) {
        cq_sim_open_request_t *open_request =
            g_ptr_array_index(open_requests, i);
        guint64 tag = open_request->spec.tag;
        g_hash_table_remove(sim->open_requests, &open_request->id);
        if (sim->options.lost != NULL) {
            sim->options.lost(sim, tag, sim->options.data);
        }
    }
    g_ptr_array_unref(open_requests);
}

void
cq_sim_kill_host(cq_sim_t *sim, guint index)
{
    cq_sim_host_t *host = &sim->hosts[index];
    if (host->core == NULL) {
        return;
    }
    cq_core_free(host->core);
    cq_fold_free(host->fold);
    host->core = NULL;
    host->fold = NULL;
    host->appending = FALSE;
    g_queue_clear_full(&host->deferred_events, g_free);
    g_queue_clear_full(&host->appends, g_free);
    cq_sim_drop_attempts(sim, index);
    lose_open_requests(sim, index);
}

void
cq_sim_freeze_host(cq_sim_t *sim, guint index, gint64 us)
{
    cq_sim_host_t *host = &sim->hosts[index];
    if (host->core == NULL) {
        return;
    }
    host->frozen_until_us = cq_sim_now(sim) + us;
    cq_heap_add(&sim->heap, host->frozen_until_us, cq_sim_resume_host, host,
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
    cq_sim_post_event(sim, index, &event);
}

gboolean
cq_sim_host_stopped(const cq_sim_t *sim, guint index)
{
    return sim->hosts[index].stopped;
}

void
cq_sim_kill_upstream(cq_sim_t *sim, guint index)
{
    cq_sim_upstream_t *upstream = &sim->upstreams[index];
    if (!upstream->up) {
        return;
    }
    cq_sim_break_attempts(sim, index);
    upstream->up = FALSE;
    if (upstream->engine != NULL) {
        cq_engine_reset(upstream->engine);
        upstream->models_len = 0;
        upstream->loading = 0;
        upstream->highest_fence = 0;
    }
}

void
cq_sim_start_upstream(cq_sim_t *sim, guint index)
{
    cq_sim_upstream_t *upstream = &sim->upstreams[index];
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
    sim->upstreams[index].frozen_until_us = cq_sim_now(sim) + us;
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
cq_sim_set_log_down(cq_sim_t *sim, gboolean down)
{
    sim->log_down = down;
}

void
cq_sim_lose_append_replies(cq_sim_t *sim, guint n)
{
    sim->append_replies_to_lose = n;
}

void
cq_sim_set_list_down(cq_sim_t *sim, gboolean down)
{
    sim->list_down = down;
}
