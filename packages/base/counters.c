#include "counters.h"

static const char *const counter_names[CQ_N_COUNT] = {
    [CQ_N_REQUESTS] = "requests_total",
    [CQ_N_ADMITTED] = "requests_admitted_total",
    [CQ_N_REFUSED] = "requests_refused_total",
    [CQ_N_DONE] = "requests_done_total",
    [CQ_N_FAILED] = "requests_failed_total",
    [CQ_N_CANCELLED] = "requests_cancelled_total",
    [CQ_N_EXPIRED] = "requests_expired_total",
    [CQ_N_ATTEMPTS] = "attempts_total",
    [CQ_N_RETRIES] = "retries_total",
    [CQ_N_RETRIES_DENIED] = "retries_denied_total",
    [CQ_N_RESUMED] = "resumed_total",
    [CQ_N_LATE_ANSWERS_DROPPED] = "late_answers_dropped_total",
    [CQ_N_CLAIMS] = "claims_total",
    [CQ_N_CLAIMS_LOST] = "claims_lost_total",
    [CQ_N_CLAIMS_EXPIRED] = "claims_expired_total",
    [CQ_N_GROUPS] = "groups_total",
    [CQ_N_GROUP_BACKOFFS] = "group_backoffs_total",
    [CQ_N_ORDERS] = "orders_total",
    [CQ_N_RESERVATIONS_RELEASED] = "reservations_released_total",
    [CQ_N_INSPECTIONS] = "inspections_total",
    [CQ_N_MEMORY_SEEN_UNUSED] = "memory_seen_unused_total",
    [CQ_N_MEMORY_GIVEN_UP] = "memory_given_up_total",
    [CQ_N_STRAY_RESERVATIONS] = "stray_reservations_total",
    [CQ_N_SILENT_CONNECTIONS] = "silent_connections_total",
    [CQ_N_CUT_OFF] = "cut_off_total",
    [CQ_N_HANDED] = "handed_total",
    [CQ_N_PROBES] = "probes_total",
    [CQ_N_PARTS_BLOCKED] = "prompt_parts_blocked_total",
    [CQ_N_CONFIG_APPLIED] = "config_applied_total",
    [CQ_N_CONFIG_IGNORED] = "config_ignored_total",
    [CQ_N_LOG_OUTAGES] = "log_outages_total",
    [CQ_N_LOG_BACKWARD] = "log_backward_total",
    [CQ_N_PEER_FRAMES_IN] = "peer_frames_in_total",
    [CQ_N_PEER_BYTES_IN] = "peer_bytes_in_total",
    [CQ_N_PEER_FRAMES_OUT] = "peer_frames_out_total",
    [CQ_N_PEER_BYTES_OUT] = "peer_bytes_out_total",
    [CQ_N_PEER_FRAMES_TOO_LONG] = "peer_frames_too_long_total",
    [CQ_N_PEER_FRAMES_STALLED] = "peer_frames_stalled_total",
    [CQ_N_PEER_FRAMES_BAD] = "peer_frames_bad_total",
    [CQ_N_PEERS_REJECTED] = "peers_rejected_total",
    [CQ_N_BAD_REQUESTS] = "bad_requests_total",
    [CQ_N_BODIES_TOO_LONG] = "bodies_too_long_total",
    [CQ_N_NO_DESCRIPTOR] = "no_descriptor_total",
    [CQ_N_CONTROL_BYTES] = "control_bytes_total",
    [CQ_N_INVARIANTS_BROKEN] = "invariants_broken_total",
};

static const char *const hist_names[CQ_LATENCY_COUNT] = {
    [CQ_LATENCY_FIRST_EVENT] = "cuminquay_first_event_seconds",
    [CQ_LATENCY_DONE] = "cuminquay_done_seconds",
    [CQ_LATENCY_REFUSED] = "cuminquay_refused_seconds",
};

void
cq_counters_add(cq_counters_t *counters, cq_counter_t which, guint64 n)
{
    g_assert(which < CQ_N_COUNT);
    counters->value[which] += n;
}

void
cq_counters_add_time(cq_counters_t *counters, cq_latency_t which, gint64 us)
{
    g_assert(which < CQ_LATENCY_COUNT);
    cq_hist_add(&counters->time[which], us);
}

void
cq_counters_render(const cq_counters_t *counters, GString *out)
{
    for (int i = 0; i < CQ_N_COUNT; i++) {
        g_string_append_printf(out, "cuminquay_%s %" G_GUINT64_FORMAT "\n",
                               counter_names[i], counters->value[i]);
    }
    for (int i = 0; i < CQ_LATENCY_COUNT; i++) {
        cq_hist_render(&counters->time[i], hist_names[i], out);
    }
}
