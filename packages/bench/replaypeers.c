#include "bench/replaystate.h"

#include <string.h>

static void
on_msg(void *context, void *data, guint64 number)
{
    (void)context;
    (void)number;
    cq_replay_msg_t *msg = data;
    cq_replay_host_t *host = msg->host;
    if (host->core != NULL &&
        (msg->incarnation == 0 || msg->incarnation == host->incarnation)) {
        if (msg->rows != NULL) {
            msg->event.tasks.rows =
                (const cq_task_update_t *)(const void *)msg->rows->data;
            msg->event.tasks.len = msg->rows->len;
        }
        if (msg->spare != NULL) {
            msg->event.spare = msg->spare;
        }
        msg->event.summary =
            msg->summary != NULL ? msg->summary : msg->event.summary;
        cq_replay_step(host, &msg->event);
    }
    g_clear_pointer(&msg->rows, g_array_unref);
    g_free(msg->summary);
    g_free(msg->spare);
    g_free(msg);
}

cq_replay_msg_t *
cq_replay_defer(cq_replay_host_t *host, gint64 after_us, guint64 incarnation)
{
    cq_replay_t *run = host->run;
    cq_replay_msg_t *msg = g_new0(cq_replay_msg_t, 1);
    msg->host = host;
    msg->incarnation = incarnation;
    cq_heap_add(&run->heap, run->heap.now_us + after_us, on_msg, msg, 0);
    return msg;
}

static gboolean
opened_connection(const cq_replay_host_t *from, const cq_replay_host_t *to)
{
    guint len = 0;
    const cq_host_row_t *peers =
        from->core != NULL ? cq_core_peers(from->core, &len) : NULL;
    while (len > 0 && !g_str_equal(peers[len - 1].name, to->name)) {
        len--;
    }
    return len > 0;
}

/* Both ends of a connection send updates over it, whichever opened it. */
gboolean
cq_replay_connected(const cq_replay_host_t *a, const cq_replay_host_t *b)
{
    return opened_connection(a, b) || opened_connection(b, a);
}

static const char *
zone_of(const cq_replay_host_t *host)
{
    return host->run->rows[host->run->options.engines + host->index].zone;
}

static cq_replay_msg_t *
send_to_peer(cq_replay_host_t *from, cq_replay_host_t *to,
             cq_event_kind_t kind)
{
    cq_replay_t *run = from->run;
    gboolean direct = cq_replay_connected(from, to);
    gint64 lag_us = run->options.peer_lag_us * (direct ? 1 : 2);
    cq_replay_msg_t *msg = cq_replay_defer(to, lag_us, 0);
    msg->event.kind = kind;
    return msg;
}

/* Hosts of other zones get the updates that cross zones, those without a
 * connection from their neighbours. */
void
cq_replay_send_tasks(cq_replay_host_t *host, GArray *updates)
{
    cq_replay_t *run = host->run;
    GArray *cross_zone = g_array_new(FALSE, FALSE, sizeof(cq_task_update_t));
    for (guint i = 0; i < updates->len; i++) {
        const cq_task_update_t *update =
            &g_array_index(updates, cq_task_update_t, i);
        if (update->cross_zone) {
            g_array_append_val(cross_zone, *update);
        }
    }
    for (guint i = 0; updates->len > 0 && i < run->options.hosts; i++) {
        cq_replay_host_t *to = &run->hosts[i];
        gboolean same_zone = g_str_equal(zone_of(host), zone_of(to));
        GArray *rows = same_zone ? updates : cross_zone;
        if (to == host || rows->len == 0 ||
            (same_zone && !cq_replay_connected(host, to))) {
            continue;
        }
        cq_replay_msg_t *msg = send_to_peer(host, to, CQ_EV_TASKS);
        msg->event.tasks.host = cq_ident_host(host->name);
        msg->rows = g_array_copy(rows);
    }
    g_array_unref(cross_zone);
}

void
cq_replay_send_spare(cq_replay_host_t *host, const cq_spare_t *spare)
{
    cq_replay_t *run = host->run;
    for (guint i = 0; i < run->options.hosts; i++) {
        cq_replay_host_t *to = &run->hosts[i];
        gboolean in_scope = spare->wanted
                                ? !g_str_equal(zone_of(to), zone_of(host))
                                : g_str_equal(zone_of(to), spare->zone);
        if (cq_replay_connected(host, to) && in_scope) {
            cq_replay_msg_t *msg = send_to_peer(host, to, CQ_EV_SPARE);
            msg->spare = g_memdup2(spare, sizeof *spare);
            g_strlcpy(msg->spare->zone, zone_of(host),
                      sizeof msg->spare->zone);
        }
    }
}

void
cq_replay_send_summary(cq_replay_host_t *host, const cq_summary_t *summary)
{
    cq_replay_t *run = host->run;
    for (guint i = 0; i < run->options.hosts; i++) {
        if (cq_replay_connected(host, &run->hosts[i])) {
            cq_replay_msg_t *msg =
                cq_replay_defer(&run->hosts[i], run->options.peer_lag_us, 0);
            msg->event.kind = CQ_EV_SUMMARY;
            msg->summary = g_memdup2(summary, sizeof *summary);
        }
    }
}
