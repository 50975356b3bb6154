#include "router/tasksync.h"

#include <string.h>

struct cq_tasksync {
    cq_app_t *app;
    cq_links_t *links;
    GArray *queued;
    GArray *queued_cross_zone;
};

static const char *
own_zone(const cq_tasksync_t *sync)
{
    return cq_app_settings(sync->app)->zone;
}

static const cq_task_update_t *
rows_of(const GArray *updates)
{
    return (const cq_task_update_t *)(const void *)updates->data;
}

static void
send_updates(cq_tasksync_t *sync, cq_links_scope_t scope, guint32 host,
             GArray *updates)
{
    if (updates->len > 0) {
        GBytes *frame =
            cq_codec_encode_tasks(host, rows_of(updates), updates->len);
        cq_links_send_frame(sync->links, scope, own_zone(sync), frame);
        g_bytes_unref(frame);
        g_array_set_size(updates, 0);
    }
}

/* Whether the hosts of this zone need @update of a host of another zone. The
 * end of a task that they don't know changes nothing. */
static gboolean
concerns_own_zone(const cq_tasksync_t *sync, const cq_task_update_t *update)
{
    for (guint i = 0; i < update->engines_len; i++) {
        cq_upstream_view_t view;
        if (cq_core_upstream(cq_app_core(sync->app), update->engines[i],
                             &view) &&
            g_str_equal(view.zone, own_zone(sync))) {
            return TRUE;
        }
    }
    return update->kind == CQ_TASK_DECODING || update->kind == CQ_TASK_ENDED;
}

static void
forward(cq_tasksync_t *sync, guint32 host, const GArray *updates)
{
    GArray *wanted = g_array_new(FALSE, FALSE, sizeof(cq_task_update_t));
    for (guint i = 0; i < updates->len; i++) {
        const cq_task_update_t *update =
            &g_array_index(updates, cq_task_update_t, i);
        if (concerns_own_zone(sync, update)) {
            g_array_append_val(wanted, *update);
        }
    }
    send_updates(sync, CQ_LINKS_IN_ZONE, host, wanted);
    g_array_unref(wanted);
}

cq_tasksync_t *
cq_tasksync_new(cq_app_t *app, cq_links_t *links)
{
    cq_tasksync_t *sync = g_new0(cq_tasksync_t, 1);
    sync->app = app;
    sync->links = links;
    sync->queued = g_array_new(FALSE, FALSE, sizeof(cq_task_update_t));
    sync->queued_cross_zone =
        g_array_new(FALSE, FALSE, sizeof(cq_task_update_t));
    return sync;
}

void
cq_tasksync_free(cq_tasksync_t *sync)
{
    g_array_unref(sync->queued);
    g_array_unref(sync->queued_cross_zone);
    g_free(sync);
}

void
cq_tasksync_queue(cq_tasksync_t *sync, const cq_task_update_t *update)
{
    g_array_append_val(sync->queued, *update);
    if (update->cross_zone) {
        g_array_append_val(sync->queued_cross_zone, *update);
    }
}

void
cq_tasksync_flush(cq_tasksync_t *sync)
{
    guint32 host = cq_ident_host(cq_app_settings(sync->app)->host);
    send_updates(sync, CQ_LINKS_IN_ZONE, host, sync->queued);
    send_updates(sync, CQ_LINKS_OUTSIDE_ZONE, host, sync->queued_cross_zone);
}

void
cq_tasksync_send_spare(cq_tasksync_t *sync, const cq_spare_t *spare)
{
    Cq__Spare message = CQ__SPARE__INIT;
    message.n_engines = spare->len;
    message.engines = (uint64_t *)spare->engines;
    message.wanted = spare->wanted;
    Cq__Frame frame = CQ__FRAME__INIT;
    frame.kind_case = CQ__FRAME__KIND_SPARE;
    frame.spare = &message;
    GBytes *bytes = cq_codec_pack(&frame);
    if (spare->wanted) {
        cq_links_send_frame(sync->links, CQ_LINKS_OUTSIDE_ZONE, own_zone(sync),
                            bytes);
    }
    else {
        cq_links_send_frame(sync->links, CQ_LINKS_IN_ZONE, spare->zone, bytes);
    }
    g_bytes_unref(bytes);
}

gboolean
cq_tasksync_receive(cq_tasksync_t *sync, const Cq__Tasks *message,
                    const char *zone)
{
    GArray *updates = g_array_new(FALSE, FALSE, sizeof(cq_task_update_t));
    gboolean valid = cq_codec_decode_tasks(message, updates);
    if (valid) {
        cq_event_t event = {.kind = CQ_EV_TASKS};
        event.tasks.host = message->host;
        event.tasks.rows = rows_of(updates);
        event.tasks.len = updates->len;
        cq_app_post(sync->app, &event);
        gboolean from_other_zone = !g_str_equal(zone, own_zone(sync));
        if (from_other_zone && cq_core_has_cells(cq_app_core(sync->app))) {
            forward(sync, message->host, updates);
        }
    }
    g_array_unref(updates);
    return valid;
}

gboolean
cq_tasksync_receive_spare(cq_tasksync_t *sync, const Cq__Spare *message,
                          const char *zone)
{
    cq_spare_t spare = {.wanted = message->wanted};
    if (message->n_engines > G_N_ELEMENTS(spare.engines)) {
        return FALSE;
    }
    g_strlcpy(spare.zone, zone, sizeof spare.zone);
    spare.len = (guint)message->n_engines;
    memcpy(spare.engines, message->engines,
           spare.len * sizeof spare.engines[0]);
    cq_event_t event = {.kind = CQ_EV_SPARE, .spare = &spare};
    cq_app_post(sync->app, &event);
    return TRUE;
}
