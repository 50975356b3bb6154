#include "core/reach.h"

#include "core/member.h"
#include "core/quarantine.h"

/* Failures at this number of upstreams within FAILED_WITHIN_US raise the
 * suspicion of a cut. */
#define FAILED_UPSTREAMS 2
#define FAILED_WITHIN_US (2 * CQ_SECOND_US)
/* Connections may break this long before the first failure that is still
 * remembered. */
#define BROKEN_BEFORE_US CQ_SECOND_US
/* Upstreams to which connections are opened: of this host's zone, and of each
 * other zone. */
#define PROBES_OWN_ZONE 2
#define PROBES_OTHER_ZONE 1
/* Time limit for such a connection to open, and the interval at which a host
 * that is cut off opens one. */
#define PROBE_TIMEOUT_US (300 * CQ_MS_US)
#define PROBE_INTERVAL_US (300 * CQ_MS_US)
/* After connections have opened, no further ones are opened for this time to
 * look into failures. */
#define PROBE_PAUSE_US CQ_SECOND_US

static void
send_probe(cq_core_t *core, const cq_upstream_t *upstream)
{
    core->reach.probes_out++;
    core->reach.opened = FALSE;
    core->reach.probed_us = core->now_us;
    cq_action_t action = {.kind = CQ_AC_REACH};
    action.reach.upstream = upstream->id;
    action.reach.timeout_us = PROBE_TIMEOUT_US;
    cq_actions_add(core->actions, &action);
}

static gboolean
has_failed(const cq_reach_t *reach, const cq_upstream_t *upstream)
{
    for (guint i = 0; i < reach->failed_len; i++) {
        if (reach->failed[i].upstream == upstream->id) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Return: the upstreams that may be probed: those without a failure or, if
 * there is none, all. */
static GPtrArray *
list_probed(const cq_core_t *core, gboolean failed_too)
{
    GPtrArray *found = g_ptr_array_new();
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        const cq_list_t *link = service->upstreams.next;
        for (; link != &service->upstreams; link = link->next) {
            cq_upstream_t *upstream = CQ_ENTRY(link, cq_upstream_t, link);
            if (upstream->listed && !upstream->leaving &&
                (failed_too || !has_failed(&core->reach, upstream))) {
                g_ptr_array_add(found, upstream);
            }
        }
    }
    if (found->len == 0 && !failed_too) {
        g_ptr_array_unref(found);
        return list_probed(core, TRUE);
    }
    return found;
}

static guint
count_in_zone(const GPtrArray *upstreams, guint len, const char *zone)
{
    guint count = 0;
    for (guint i = 0; i < len; i++) {
        const cq_upstream_t *upstream = g_ptr_array_index(upstreams, i);
        count += g_str_equal(upstream->zone, zone);
    }
    return count;
}

/* Moves a random one of the entries from @at on to @at. */
static cq_upstream_t *
draw(const cq_core_t *core, const GPtrArray *upstreams, guint at)
{
    guint chosen = (guint)g_rand_int_range(core->reach.rand, (gint32)at,
                                           (gint32)upstreams->len);
    cq_upstream_t *upstream = g_ptr_array_index(upstreams, chosen);
    upstreams->pdata[chosen] = upstreams->pdata[at];
    upstreams->pdata[at] = upstream;
    return upstream;
}

/* Failures in one zone only must not look like a cut of this host, so each
 * zone is probed. */
static void
probe_zones(cq_core_t *core)
{
    GPtrArray *upstreams = list_probed(core, FALSE);
    for (guint i = 0; i < upstreams->len; i++) {
        const cq_upstream_t *upstream = draw(core, upstreams, i);
        guint max = g_str_equal(upstream->zone, core->zone)
                        ? PROBES_OWN_ZONE
                        : PROBES_OTHER_ZONE;
        if (count_in_zone(upstreams, i, upstream->zone) < max) {
            send_probe(core, upstream);
        }
    }
    g_ptr_array_unref(upstreams);
}

static void
probe_one(cq_core_t *core)
{
    GPtrArray *upstreams = list_probed(core, TRUE);
    if (upstreams->len > 0) {
        send_probe(core, draw(core, upstreams, 0));
    }
    g_ptr_array_unref(upstreams);
}

static void
drop_old_failures(cq_core_t *core)
{
    cq_reach_t *reach = &core->reach;
    guint kept = 0;
    for (guint i = 0; i < reach->failed_len; i++) {
        if (core->now_us - reach->failed[i].at_us <= FAILED_WITHIN_US) {
            reach->failed[kept++] = reach->failed[i];
        }
    }
    reach->failed_len = kept;
}

static void
begin_cut(cq_core_t *core)
{
    cq_reach_t *reach = &core->reach;
    gint64 since_us = core->now_us;
    for (guint i = 0; i < reach->failed_len; i++) {
        since_us = MIN(since_us, reach->failed[i].at_us);
    }
    reach->cut_since_us = since_us;
    core->summary_needed = TRUE;
    core->placement_due = TRUE;
    cq_counters_add(&core->counters, CQ_N_CUT_OFF, 1);
    cq_quarantine_retract(core, since_us - BROKEN_BEFORE_US);
    cq_ring_add(&core->ring, core->now_us, 0, 0, "cut_off",
                "failed=%u since_ms=%" G_GINT64_FORMAT, reach->failed_len,
                (core->now_us - since_us) / CQ_MS_US);
}

gboolean
cq_reach_is_cut(const cq_core_t *core)
{
    return core->reach.cut_since_us > 0;
}

void
cq_reach_failed(cq_core_t *core, const cq_upstream_t *upstream)
{
    cq_reach_t *reach = &core->reach;
    if (cq_reach_is_cut(core) || core->policy != CQ_POLICY_COST) {
        return;
    }
    drop_old_failures(core);
    if (!has_failed(reach, upstream) &&
        reach->failed_len < G_N_ELEMENTS(reach->failed)) {
        reach->failed[reach->failed_len].upstream = upstream->id;
        reach->failed[reach->failed_len].at_us = core->now_us;
        reach->failed_len++;
    }
    guint wanted =
        MIN(FAILED_UPSTREAMS, g_hash_table_size(core->upstream_by_id));
    if (reach->failed_len >= wanted && reach->probes_out == 0 &&
        core->now_us - reach->probed_us >= PROBE_PAUSE_US) {
        probe_zones(core);
    }
}

void
cq_reach_opened(cq_core_t *core)
{
    cq_reach_t *reach = &core->reach;
    reach->failed_len = 0;
    reach->opened = TRUE;
    if (!cq_reach_is_cut(core)) {
        return;
    }
    cq_ring_add(&core->ring, core->now_us, 0, 0, "cut_ended",
                "after_ms=%" G_GINT64_FORMAT,
                (core->now_us - reach->cut_since_us) / CQ_MS_US);
    reach->cut_since_us = 0;
    cq_member_forget_failures(core);
    core->summary_needed = TRUE;
    core->placement_due = TRUE;
}

void
cq_reach_apply(cq_core_t *core, const cq_ev_reached_t *event)
{
    cq_reach_t *reach = &core->reach;
    if (reach->probes_out > 0) {
        reach->probes_out--;
    }
    if (event->opened) {
        cq_reach_opened(core);
        return;
    }
    if (reach->probes_out == 0 && !cq_reach_is_cut(core) && !reach->opened &&
        reach->failed_len > 0) {
        begin_cut(core);
    }
}

void
cq_reach_tick(cq_core_t *core)
{
    if (cq_reach_is_cut(core) && core->reach.probes_out == 0 &&
        core->now_us - core->reach.probed_us >= PROBE_INTERVAL_US) {
        probe_one(core);
    }
}
