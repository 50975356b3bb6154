#include "router/reachprobe.h"

#include "base/limits.h"
#include "base/list.h"
#include "http/sock.h"

struct cq_reachprobe {
    cq_reachprobe_ops_t ops;
    cq_list_t probes;
    guint probes_len;
};

/* A connection that is being opened. */
typedef struct {
    cq_list_t link;
    cq_reachprobe_t *reachprobe;
    cq_ac_reach_t reach;
    cq_sock_t *sock;
    guint timer;
} probe_t;

static void
post(const cq_reachprobe_t *reachprobe, const cq_ac_reach_t *reach,
     gboolean opened, gboolean timed_out)
{
    cq_event_t event = {
        .kind = CQ_EV_REACHED,
        .reached = {.upstream = reach->upstream,
                    .opened = opened,
                    .timed_out = timed_out,
                    .purpose = reach->purpose},
    };
    reachprobe->ops.post(&event, reachprobe->ops.data);
}

static void
probe_free(probe_t *probe)
{
    g_source_remove(probe->timer);
    cq_sock_close_when_written(probe->sock);
    cq_list_remove(&probe->link);
    probe->reachprobe->probes_len--;
    g_free(probe);
}

/* The event may start another probe, so this one is freed before. */
static void
finish(probe_t *probe, gboolean opened, gboolean timed_out)
{
    cq_reachprobe_t *reachprobe = probe->reachprobe;
    cq_ac_reach_t reach = probe->reach;
    probe_free(probe);
    post(reachprobe, &reach, opened, timed_out);
}

static void
on_opened(void *data)
{
    finish(data, TRUE, FALSE);
}

/* Not reached: the connection is closed as soon as it opens. */
static void
on_received(void *data, const char *bytes, gsize len)
{
    (void)data;
    (void)bytes;
    (void)len;
}

static void
on_ended(void *data, cq_sock_end_t how)
{
    (void)how;
    finish(data, FALSE, FALSE);
}

static gboolean
on_timeout(gpointer data)
{
    finish(data, FALSE, TRUE);
    return G_SOURCE_REMOVE;
}

cq_reachprobe_t *
cq_reachprobe_new(const cq_reachprobe_ops_t *ops)
{
    cq_reachprobe_t *reachprobe = g_new0(cq_reachprobe_t, 1);
    reachprobe->ops = *ops;
    cq_list_init(&reachprobe->probes);
    return reachprobe;
}

void
cq_reachprobe_free(cq_reachprobe_t *reachprobe)
{
    while (!cq_list_empty(&reachprobe->probes)) {
        probe_free(CQ_ENTRY(reachprobe->probes.next, probe_t, link));
    }
    g_free(reachprobe);
}

void
cq_reachprobe_open(cq_reachprobe_t *reachprobe, const cq_ac_reach_t *reach,
                   const char *addr)
{
    if (addr == NULL || reachprobe->probes_len == CQ_REACH_PROBES_MAX) {
        post(reachprobe, reach, FALSE, FALSE);
        return;
    }
    probe_t *probe = g_new0(probe_t, 1);
    probe->reachprobe = reachprobe;
    probe->reach = *reach;
    cq_list_init(&probe->link);
    cq_list_append(&reachprobe->probes, &probe->link);
    reachprobe->probes_len++;
    cq_sock_ops_t ops = {
        .opened = on_opened,
        .received = on_received,
        .ended = on_ended,
        .data = probe,
    };
    probe->sock = cq_sock_connect(addr, &ops);
    guint timeout_ms =
        (guint)CLAMP(reach->timeout_us / CQ_MS_US, 1, G_MAXINT32);
    probe->timer = g_timeout_add(timeout_ms, on_timeout, probe);
}
