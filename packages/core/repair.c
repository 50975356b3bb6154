#include "core/repair.h"

#include "core/table.h"

/* A release is on its way for at most so long. */
#define SETTLE_US (100 * CQ_MS_US)

/* A request of this host that is not open owns nothing, whichever incarnation
 * made it; releasing twice does no harm. One of another host is judged by
 * whether that host still speaks or is listed. */
static gboolean
stray(const cq_core_t *core, const cq_holding_t *holding)
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

/* A report from before our own last release there tells old news. */
static gboolean
outdated(const cq_core_t *core, const cq_ev_load_t *report)
{
    const cq_upstream_t *upstream = cq_table_upstream(core, report->upstream);
    return upstream == NULL ||
           report->at_us < upstream->released_us + SETTLE_US;
}

void
cq_repair_holdings(cq_core_t *core, const cq_ev_load_t *report)
{
    if (outdated(core, report)) {
        return;
    }
    for (guint i = 0; i < report->holdings_len; i++) {
        const cq_holding_t *holding = &report->holdings[i];
        if (!stray(core, holding)) {
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
