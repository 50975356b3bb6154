#include "core/orphans.h"

#include "core/table.h"

/* A release action reaches the engine within this time. */
#define RELEASE_ARRIVAL_US (100 * CQ_MS_US)

/* Whether a reservation has no owner. A request of this host that is not open
 * owns nothing, whichever incarnation created it; a second release is
 * harmless. A request of another host may be open if summaries of that host
 * arrive or the host is in the host list; otherwise its reservation counts as
 * orphaned once this process has run for CQ_ORPHAN_RESERVATION_AGE_US. */
static gboolean
is_orphaned(const cq_core_t *core, const cq_holding_t *holding)
{
    if (cq_table_request(core, holding->request) != NULL) {
        return FALSE;
    }
    gint64 age_us = core->now_us - core->started_us;
    guint32 owner = cq_ident_owner(holding->request);
    if (owner == core->host) {
        return TRUE;
    }
    if (cq_table_peer(core, owner) != NULL) {
        return FALSE;
    }
    if (g_hash_table_contains(core->entry_hosts, GUINT_TO_POINTER(owner))) {
        return FALSE;
    }
    return age_us > CQ_ORPHAN_RESERVATION_AGE_US;
}

/* Whether the report may be older than the last release that this process sent
 * to the engine. */
static gboolean
is_outdated(const cq_core_t *core, const cq_ev_load_t *report)
{
    const cq_upstream_t *upstream = cq_table_upstream(core, report->upstream);
    return upstream == NULL ||
           report->at_us < upstream->released_us + RELEASE_ARRIVAL_US;
}

void
cq_orphans_release(cq_core_t *core, const cq_ev_load_t *report)
{
    if (is_outdated(core, report)) {
        return;
    }
    for (guint i = 0; i < report->holdings_len; i++) {
        const cq_holding_t *holding = &report->holdings[i];
        if (!is_orphaned(core, holding)) {
            continue;
        }
        cq_counters_add(&core->counters, CQ_N_STRAY_RESERVATIONS, 1);
        cq_ring_add(&core->ring, core->now_us, holding->request, 0,
                    "stray_release", "tokens=%" G_GINT64_FORMAT,
                    holding->tokens);
        cq_action_t action = {
            .kind = CQ_AC_RELEASE,
            .memory = {.request = holding->request,
                       .upstream = report->upstream},
        };
        cq_actions_add(core->actions, &action);
    }
}
