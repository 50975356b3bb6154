#include "core/peer.h"

#include <string.h>

#include "core/load.h"
#include "core/member.h"
#include "core/rate.h"
#include "core/reach.h"
#include "core/table.h"
#include "core/task.h"

static void
mark_shares_changed(GPtrArray *upstreams)
{
    for (guint i = 0; i < upstreams->len; i++) {
        cq_upstream_t *upstream = g_ptr_array_index(upstreams, i);
        upstream->share_changed = upstream->own_placed_us[CQ_CLASS_GIANT] > 0;
    }
}

/* A new peer has none of the shares of this process yet, so all are sent. */
static void
mark_all_shares_changed(cq_core_t *core)
{
    core->summary_needed = TRUE;
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        mark_shares_changed(service->local);
        mark_shares_changed(service->remote);
    }
}

void
cq_peer_linked(cq_core_t *core)
{
    mark_all_shares_changed(core);
    cq_task_broadcast_all(core);
}

static void
apply_share(cq_core_t *core, cq_peer_t *peer, const cq_share_t *share)
{
    if (cq_table_upstream(core, share->upstream) == NULL) {
        return;
    }
    cq_share_t *before = g_hash_table_lookup(peer->shares, &share->upstream);
    cq_load_apply_share(core, share, before);
    cq_share_t *copy = g_memdup2(share, sizeof *share);
    g_hash_table_replace(peer->shares, &copy->upstream, copy);
}

static void
apply_leaving(cq_core_t *core, const cq_leaving_t *leaving)
{
    cq_upstream_t *upstream = cq_table_upstream(core, leaving->upstream);
    if (upstream != NULL) {
        cq_member_leaving(core, upstream, leaving->incarnation);
    }
}

void
cq_peer_apply_summary(cq_core_t *core, const cq_summary_t *summary)
{
    if (summary->host == core->host) {
        return;
    }
    cq_peer_t *peer = cq_table_peer(core, summary->host);
    if (peer != NULL && summary->incarnation < peer->incarnation) {
        return;
    }
    if (peer == NULL &&
        g_hash_table_size(core->peer_by_host) >= CQ_PEERS_MAX) {
        return;
    }
    if (peer == NULL) {
        peer = cq_table_ensure_peer(core, summary->host);
        cq_peer_linked(core);
    }
    if (summary->incarnation > peer->incarnation) {
        gboolean restarted = peer->incarnation != 0;
        cq_load_remove_peer(core, peer);
        peer->incarnation = summary->incarnation;
        if (restarted) {
            cq_peer_linked(core);
        }
    }
    peer->last_summary_us = core->now_us;
    peer->draining = summary->draining;
    peer->cut_off = summary->cut_off;
    for (guint i = 0; i < summary->shares_len; i++) {
        apply_share(core, peer, &summary->shares[i]);
    }
    for (guint i = 0; i < summary->leaving_len; i++) {
        apply_leaving(core, &summary->leaving[i]);
    }
    for (guint i = 0; i < summary->rates_len; i++) {
        cq_rate_apply(core, &summary->rates[i]);
    }
}

static void
drop_silent_peers(cq_core_t *core)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->peer_by_host);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        cq_peer_t *peer = value;
        if (core->now_us - peer->last_summary_us > CQ_PEER_TIMEOUT_US) {
            cq_ring_add(&core->ring, core->now_us, 0, 0, "peer_silent",
                        "host=%06x", peer->host);
            cq_load_remove_peer(core, peer);
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void
add_shares(cq_core_t *core, cq_summary_t *summary, GPtrArray *upstreams)
{
    for (guint i = 0; i < upstreams->len; i++) {
        cq_upstream_t *upstream = g_ptr_array_index(upstreams, i);
        if (!upstream->share_changed) {
            continue;
        }
        if (summary->shares_len == CQ_UPSTREAM_SUBSET_MAX) {
            core->summary_needed = TRUE;
            return;
        }
        upstream->share_changed = FALSE;
        cq_share_t *share = &summary->shares[summary->shares_len++];
        share->upstream = upstream->id;
        share->streams = upstream->own_streams;
        share->kv_tokens = upstream->own_kv_tokens;
        memcpy(share->placed_us, upstream->own_placed_us,
               sizeof share->placed_us);
    }
}

static void
add_leaving(const cq_core_t *core, cq_summary_t *summary,
            const cq_service_t *service)
{
    const cq_list_t *link = service->upstreams.next;
    for (; link != &service->upstreams; link = link->next) {
        cq_upstream_t *upstream = CQ_ENTRY(link, cq_upstream_t, link);
        gint64 leaving_for_us = core->now_us - upstream->leaving_since_us;
        if (!upstream->leaving || leaving_for_us > CQ_LEAVING_REPORT_US) {
            continue;
        }
        guint slot = summary->leaving_len;
        if (slot == G_N_ELEMENTS(summary->leaving)) {
            slot = g_rand_int_range(core->rand, 0, (gint32)slot);
        }
        else {
            summary->leaving_len++;
        }
        summary->leaving[slot].upstream = upstream->id;
        summary->leaving[slot].incarnation = upstream->incarnation;
    }
}

static gint64
summary_bytes(const cq_core_t *core, const cq_summary_t *summary)
{
    guint entries =
        summary->shares_len + summary->leaving_len + summary->rates_len;
    gint64 bytes = CQ_SUMMARY_HEAD_BYTES + entries * CQ_SUMMARY_ENTRY_BYTES;
    return bytes * MAX(g_hash_table_size(core->peer_by_host), 1);
}

/* The unspent byte budget accumulates up to CQ_SUMMARY_BURST_BYTES, so that a
 * burst of requests is sent at once. If it is overspent, the next summary is
 * delayed until it is balanced again. */
static gint64
next_summary_delay_us(cq_core_t *core, const cq_summary_t *summary)
{
    gint64 passed_us = core->now_us - core->summary_sent_us;
    gint64 earned_bytes = passed_us * CQ_SUMMARY_BYTES_PER_S / CQ_SECOND_US;
    core->summary_credit_bytes =
        MIN(core->summary_credit_bytes + earned_bytes, CQ_SUMMARY_BURST_BYTES);
    core->summary_credit_bytes -= summary_bytes(core, summary);
    core->summary_sent_us = core->now_us;
    gint64 owed_bytes = MAX(-core->summary_credit_bytes, 0);
    gint64 delay_us = owed_bytes * CQ_SECOND_US / CQ_SUMMARY_BYTES_PER_S;
    return CLAMP(delay_us, CQ_SUMMARY_INTERVAL_MIN_US,
                 CQ_HEARTBEAT_INTERVAL_US);
}

static void
send_summary(cq_core_t *core)
{
    cq_summary_t *summary = g_new0(cq_summary_t, 1);
    summary->host = core->host;
    summary->incarnation = core->incarnation;
    summary->draining = core->draining;
    summary->cut_off = cq_reach_is_cut(core);
    core->summary_needed = FALSE;
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        add_shares(core, summary, service->local);
        add_shares(core, summary, service->remote);
        add_leaving(core, summary, service);
        cq_rate_add_rows(core, service, summary);
    }
    core->summary_due_us = core->now_us + next_summary_delay_us(core, summary);
    cq_action_t action = {.kind = CQ_AC_SUMMARY, .summary = summary};
    cq_actions_add(core->actions, &action);
}

void
cq_peer_tick(cq_core_t *core)
{
    drop_silent_peers(core);
    gboolean due = core->now_us >= core->summary_due_us;
    gboolean sent_recently =
        core->now_us - core->summary_sent_us < CQ_HEARTBEAT_INTERVAL_US;
    if (due && (core->summary_needed || !sent_recently)) {
        send_summary(core);
    }
}
