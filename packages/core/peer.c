#include "core/peer.h"

#include <string.h>

#include "core/load.h"
#include "core/member.h"
#include "core/table.h"
#include "core/task.h"

static void
touch(GPtrArray *upstreams)
{
    for (guint i = 0; i < upstreams->len; i++) {
        cq_upstream_t *upstream = g_ptr_array_index(upstreams, i);
        upstream->touched = upstream->own_placed_us[CQ_CLASS_GIANT] > 0;
    }
}

/* A peer that is new has none of our shares yet. */
static void
touch_all(cq_core_t *core)
{
    core->touched = TRUE;
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        touch(service->nearby);
        touch(service->remote);
    }
}

void
cq_peer_linked(cq_core_t *core)
{
    touch_all(core);
    cq_task_tell_all(core);
}

static void
take_share(cq_core_t *core, cq_peer_t *peer, const cq_share_t *share)
{
    if (cq_table_upstream(core, share->upstream) == NULL) {
        return;
    }
    cq_share_t *before = g_hash_table_lookup(peer->shares, &share->upstream);
    cq_load_peer(core, share, before);
    cq_share_t *kept = g_memdup2(share, sizeof *share);
    g_hash_table_replace(peer->shares, &kept->upstream, kept);
}

static void
take_leaving(cq_core_t *core, const cq_leaving_t *leaving)
{
    cq_upstream_t *upstream = cq_table_upstream(core, leaving->upstream);
    if (upstream != NULL) {
        cq_member_leaving(core, upstream, leaving->incarnation);
    }
}

void
cq_peer_summary(cq_core_t *core, const cq_summary_t *summary)
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
        peer = cq_table_need_peer(core, summary->host);
        cq_peer_linked(core);
    }
    if (summary->incarnation > peer->incarnation) {
        gboolean restarted = peer->incarnation != 0;
        cq_load_forget_peer(core, peer);
        peer->incarnation = summary->incarnation;
        if (restarted) {
            cq_peer_linked(core);
        }
    }
    peer->heard_us = core->now_us;
    peer->draining = summary->draining;
    for (guint i = 0; i < summary->shares_len; i++) {
        take_share(core, peer, &summary->shares[i]);
    }
    for (guint i = 0; i < summary->leaving_len; i++) {
        take_leaving(core, &summary->leaving[i]);
    }
}

static void
forget_silent(cq_core_t *core)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->peer_by_host);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        cq_peer_t *peer = value;
        if (core->now_us - peer->heard_us > CQ_PEER_TIMEOUT_US) {
            cq_ring_add(&core->ring, core->now_us, 0, 0, "peer_silent",
                        "host=%06x", peer->host);
            cq_load_forget_peer(core, peer);
            g_hash_table_iter_remove(&iter);
        }
    }
}

static void
add_shares(cq_core_t *core, cq_summary_t *summary, GPtrArray *upstreams)
{
    for (guint i = 0; i < upstreams->len; i++) {
        cq_upstream_t *upstream = g_ptr_array_index(upstreams, i);
        if (!upstream->touched) {
            continue;
        }
        if (summary->shares_len == CQ_UPSTREAM_SUBSET_MAX) {
            core->touched = TRUE;
            return;
        }
        upstream->touched = FALSE;
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
        gint64 since_us = core->now_us - upstream->leaving_us;
        if (!upstream->leaving || since_us > CQ_LEAVING_REPORT_US) {
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
bytes_of(const cq_core_t *core, const cq_summary_t *summary)
{
    guint entries = summary->shares_len + summary->leaving_len;
    gint64 bytes = CQ_SUMMARY_HEAD_BYTES + entries * CQ_SUMMARY_ENTRY_BYTES;
    return bytes * MAX(g_hash_table_size(core->peer_by_host), 1);
}

/* The budget gathers while little changes, so that a burst of requests is
 * told at once; what was overspent is waited for. */
static gint64
pause_us(cq_core_t *core, const cq_summary_t *summary)
{
    gint64 passed_us = core->now_us - core->summary_sent_us;
    gint64 earned = passed_us * CQ_SUMMARY_BYTES_PER_S / CQ_SECOND_US;
    core->summary_credit =
        MIN(core->summary_credit + earned, CQ_SUMMARY_BURST_BYTES);
    core->summary_credit -= bytes_of(core, summary);
    core->summary_sent_us = core->now_us;
    gint64 owed = MAX(-core->summary_credit, 0);
    gint64 us = owed * CQ_SECOND_US / CQ_SUMMARY_BYTES_PER_S;
    return CLAMP(us, CQ_SUMMARY_INTERVAL_MIN_US, CQ_HEARTBEAT_INTERVAL_US);
}

static void
send_summary(cq_core_t *core)
{
    cq_summary_t *summary = g_new0(cq_summary_t, 1);
    summary->host = core->host;
    summary->incarnation = core->incarnation;
    summary->draining = core->draining;
    core->touched = FALSE;
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        add_shares(core, summary, service->nearby);
        add_shares(core, summary, service->remote);
        add_leaving(core, summary, service);
    }
    core->summary_us = core->now_us + pause_us(core, summary);
    cq_action_t action = {.kind = CQ_AC_SUMMARY, .summary = summary};
    cq_actions_add(core->actions, &action);
}

void
cq_peer_tick(cq_core_t *core)
{
    forget_silent(core);
    gboolean due = core->now_us >= core->summary_us;
    gboolean quiet =
        core->now_us - core->summary_sent_us < CQ_HEARTBEAT_INTERVAL_US;
    if (due && (core->touched || !quiet)) {
        send_summary(core);
    }
}
