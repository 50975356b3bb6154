#include "core/emptied.h"

gboolean
cq_emptied_has(const cq_core_t *core, const char *zone)
{
    return g_hash_table_contains(core->emptied_zones, zone);
}

void
cq_emptied_mark(cq_core_t *core, cq_upstream_t *upstream)
{
    gboolean emptied = cq_emptied_has(core, upstream->zone);
    if (upstream->zone_emptied != emptied) {
        upstream->zone_emptied = emptied;
        upstream->service->candidates_stale = TRUE;
    }
}

void
cq_emptied_each(cq_core_t *core, const char *zone,
                void (*visit)(cq_core_t *core, cq_upstream_t *upstream))
{
    for (guint i = 0; i < core->services->len; i++) {
        const cq_service_t *service = g_ptr_array_index(core->services, i);
        const cq_list_t *link = service->upstreams.next;
        for (; link != &service->upstreams; link = link->next) {
            cq_upstream_t *upstream = CQ_ENTRY(link, cq_upstream_t, link);
            if (g_str_equal(upstream->zone, zone)) {
                visit(core, upstream);
            }
        }
    }
}

gboolean
cq_emptied_apply(cq_core_t *core, const cq_ev_emptied_t *event)
{
    if (cq_emptied_has(core, event->zone) == event->emptied) {
        return FALSE;
    }
    if (event->emptied) {
        g_hash_table_add(core->emptied_zones, g_strdup(event->zone));
    }
    else {
        g_hash_table_remove(core->emptied_zones, event->zone);
    }
    cq_emptied_each(core, event->zone, cq_emptied_mark);
    cq_ring_add(&core->ring, core->now_us, 0, 0, "zone_emptied",
                "zone=%s emptied=%s", event->zone,
                event->emptied ? "yes" : "no");
    core->placement_due = TRUE;
    return TRUE;
}

gboolean
cq_emptied_group(const cq_request_t *request)
{
    for (guint i = 0; i < request->group_len; i++) {
        if (request->group[i]->zone_emptied) {
            return TRUE;
        }
    }
    const cq_task_t *task = request->task;
    for (guint i = 0; task != NULL && i < task->engines_len; i++) {
        if (task->engines[i]->zone_emptied) {
            return TRUE;
        }
    }
    return FALSE;
}
