#include "core/rate.h"

#include "core/batchplace.h"
#include "core/flow.h"
#include "core/member.h"
#include "core/place.h"
#include "core/table.h"
#include "core/usage.h"
#include "core/usable.h"

/* An upstream with a lower limit gets a request this often all the same, as it
 * can't tell otherwise that the limit has ended. */
#define TRIAL_PER_S 0.1
/* An upstream with a limit is preferred for one request if none of its answers
 * has come for this time. */
#define RECHECK_US (2 * CQ_SECOND_US)
/* An unchanged limit is stated again after this time, so that it doesn't
 * expire at other hosts. */
#define RENEW_US (5 * CQ_SECOND_US)
/* A limit that no answer has confirmed for this time counts as ended. */
#define BELIEF_US (30 * CQ_SECOND_US)
/* Time during which summaries report that a limit has ended. */
#define ENDED_REPORT_US (10 * CQ_SECOND_US)
/* Interval at which the limits are divided anew. */
#define CHECK_INTERVAL_US (100 * CQ_MS_US)
/* A cold upstream is bounded in each second, in which a host may send one
 * request more than its share. With half as many hosts as requests a second
 * they send two more than the limit at most. */
#define COLD_PER_SHARER 2
/* Share of its target time that a request may wait for an upstream with a
 * limit. */
#define WAIT_PERCENT 12

static gboolean
is_in_scope(const cq_core_t *core, const cq_upstream_t *upstream)
{
    return !core->has_cells || g_str_equal(upstream->zone, core->zone);
}

/* Return: the hosts among which the limit is divided, at most; @per_s gets the
 * limit: the lower one of that which the upstream has named and that which it
 * has while it is cold. */
static guint
sharers_max(const cq_upstream_t *upstream, double *per_s)
{
    const cq_rate_t *rate = &upstream->rate;
    double named_per_s =
        rate->limited ? MAX(rate->per_s, TRIAL_PER_S) : G_MAXDOUBLE;
    double cold_per_s = rate->cold ? rate->cold_per_s : G_MAXDOUBLE;
    *per_s = MIN(named_per_s, cold_per_s);
    return 1 + (guint)(rate->cold ? *per_s / COLD_PER_SHARER : *per_s);
}

static void
update_share(const cq_core_t *core, cq_upstream_t *upstream)
{
    cq_rate_t *rate = &upstream->rate;
    double per_s = 0;
    guint most = sharers_max(upstream, &per_s);
    double share_per_s = 0;
    gboolean takes_part = core->host_list_received && !core->draining &&
                          is_in_scope(core, upstream);
    cq_host_rank_t hosts = {.count = 0};
    if (takes_part) {
        hosts = cq_member_rank(core, upstream->id);
        guint sharers = MIN(hosts.count, most);
        share_per_s = hosts.before < sharers ? per_s / sharers : 0;
    }
    if (rate->share_per_s == 0) {
        rate->spaced_from_us = core->now_us;
    }
    rate->share_per_s = share_per_s;
    rate->is_first = share_per_s > 0 && hosts.before == 0;
}

static void
log_rate(cq_core_t *core, const cq_upstream_t *upstream, const char *from)
{
    const cq_rate_t *rate = &upstream->rate;
    if (rate->limited) {
        cq_ring_add(&core->ring, core->now_us, 0, 0, "limited",
                    "upstream=%s per_s=%.2f share_per_s=%.2f from=%s",
                    upstream->name, rate->per_s, rate->share_per_s, from);
        return;
    }
    cq_ring_add(&core->ring, core->now_us, 0, 0, "unlimited",
                "upstream=%s from=%s", upstream->name, from);
}

static void
set_rate(cq_core_t *core, cq_upstream_t *upstream, const cq_rate_row_t *row,
         const char *from)
{
    cq_rate_t *rate = &upstream->rate;
    gboolean changed = row->limited != rate->limited ||
                       (row->limited && row->per_s != rate->per_s);
    rate->limited = row->limited;
    rate->per_s = row->per_s;
    rate->version = row->version;
    rate->learned_us = core->now_us;
    if (!changed) {
        return;
    }
    if (cq_rate_is_bounded(upstream)) {
        update_share(core, upstream);
    }
    else {
        rate->share_per_s = 0;
    }
    log_rate(core, upstream, from);
    core->summary_needed = TRUE;
    core->placement_due = TRUE;
}

static void
state_rate(cq_core_t *core, cq_upstream_t *upstream, gboolean limited,
           double per_s, const char *from)
{
    cq_rate_row_t row = {
        .version = upstream->rate.version + 1,
        .limited = limited,
        .per_s = per_s,
    };
    set_rate(core, upstream, &row, from);
}

/* An answer without a limit ends it only if the request was sent after the
 * limit was known here: an earlier one may have been on its way when the
 * upstream first named the limit. */
static gboolean
ends_limit(const cq_core_t *core, const cq_upstream_t *upstream,
           guint64 request_id)
{
    const cq_request_t *request = cq_table_request(core, request_id);
    return upstream->rate.limited && request != NULL &&
           request->upstream == upstream &&
           request->phase_start_us > upstream->rate.learned_us;
}

void
cq_rate_heard(cq_core_t *core, cq_upstream_t *upstream,
              const cq_ev_upstream_t *said)
{
    cq_rate_t *rate = &upstream->rate;
    double per_s = said->rate.per_s;
    switch (said->rate.kind) {
    case CQ_RATE_UNSTATED:
        break;
    case CQ_RATE_LIMITED:
        rate->confirmed_us = core->now_us;
        if (!rate->limited || rate->per_s != per_s ||
            core->now_us - rate->learned_us > RENEW_US) {
            state_rate(core, upstream, TRUE, per_s, "answer");
        }
        break;
    case CQ_RATE_UNLIMITED:
        if (ends_limit(core, upstream, said->request)) {
            state_rate(core, upstream, FALSE, 0, "answer");
        }
        break;
    }
}

void
cq_rate_apply(cq_core_t *core, const cq_rate_row_t *row)
{
    cq_upstream_t *upstream = cq_table_upstream(core, row->upstream);
    if (upstream == NULL || row->incarnation != upstream->incarnation) {
        return;
    }
    /* Of two statements with the same number the stricter one holds. */
    const cq_rate_t *rate = &upstream->rate;
    gboolean stricter =
        row->limited && (!rate->limited || row->per_s < rate->per_s);
    if (row->version > rate->version ||
        (row->version == rate->version && stricter)) {
        set_rate(core, upstream, row, "peer");
    }
}

void
cq_rate_add_rows(const cq_core_t *core, const cq_service_t *service,
                 cq_summary_t *summary)
{
    const cq_list_t *link = service->upstreams.next;
    for (; link != &service->upstreams; link = link->next) {
        const cq_upstream_t *upstream = CQ_ENTRY(link, cq_upstream_t, link);
        const cq_rate_t *rate = &upstream->rate;
        gint64 known_for_us = core->now_us - rate->learned_us;
        if (rate->version == 0 ||
            (!rate->limited && known_for_us > ENDED_REPORT_US)) {
            continue;
        }
        guint slot = summary->rates_len;
        if (slot == G_N_ELEMENTS(summary->rates)) {
            slot = (guint)g_rand_int_range(core->rand, 0, (gint32)slot);
        }
        else {
            summary->rates_len++;
        }
        summary->rates[slot] = (cq_rate_row_t){
            .upstream = upstream->id,
            .incarnation = upstream->incarnation,
            .version = rate->version,
            .limited = rate->limited,
            .per_s = rate->per_s,
        };
    }
}

gboolean
cq_rate_is_bounded(const cq_upstream_t *upstream)
{
    return upstream->rate.limited || upstream->rate.cold;
}

void
cq_rate_note_cold(cq_core_t *core, cq_upstream_t *upstream, gint64 until_us)
{
    cq_rate_t *rate = &upstream->rate;
    const cq_rules_t *rules = upstream->service->rules;
    if (rules == NULL || rules->cold_per_s <= 0 || until_us <= core->now_us) {
        return;
    }
    rate->cold_until_us = MAX(rate->cold_until_us, until_us);
    rate->cold_per_s = rules->cold_per_s;
    if (!rate->cold) {
        rate->cold = TRUE;
        update_share(core, upstream);
        cq_ring_add(&core->ring, core->now_us, 0, 0, "cold",
                    "upstream=%s for_ms=%" G_GINT64_FORMAT
                    " per_s=%.2f share_per_s=%.2f",
                    upstream->name,
                    (rate->cold_until_us - core->now_us) / CQ_MS_US,
                    rules->cold_per_s, rate->share_per_s);
    }
}

void
cq_rate_note_started(cq_core_t *core, cq_upstream_t *upstream)
{
    const cq_rules_t *rules = upstream->service->rules;
    if (rules != NULL) {
        cq_rate_note_cold(core, upstream, core->now_us + rules->cold_start_us);
    }
}

static void
end_cold(cq_core_t *core, cq_upstream_t *upstream)
{
    upstream->rate.cold = FALSE;
    cq_ring_add(&core->ring, core->now_us, 0, 0, "warm", "upstream=%s",
                upstream->name);
    core->placement_due = TRUE;
}

gint64
cq_rate_next_us(const cq_upstream_t *upstream)
{
    const cq_rate_t *rate = &upstream->rate;
    if (!cq_rate_is_bounded(upstream)) {
        return 0;
    }
    if (rate->share_per_s <= 0) {
        return G_MAXINT64;
    }
    return rate->spaced_from_us +
           (gint64)((double)CQ_SECOND_US / rate->share_per_s);
}

gboolean
cq_rate_allows(const cq_core_t *core, const cq_upstream_t *upstream)
{
    return cq_rate_next_us(upstream) <= core->now_us;
}

gboolean
cq_rate_recheck_due(const cq_core_t *core, const cq_upstream_t *upstream)
{
    const cq_rate_t *rate = &upstream->rate;
    return rate->limited && rate->is_first &&
           core->now_us - rate->confirmed_us > RECHECK_US;
}

void
cq_rate_note_sent(const cq_core_t *core, cq_upstream_t *upstream)
{
    upstream->rate.spaced_from_us = core->now_us;
}

/**
 * struct limits_t - what the limits leave to a request
 * @any_unlimited: an upstream without a limit can take it before its deadline
 * @any_limited: there is an upstream with a limit
 * @next_us: when this host may send the next request to one with a limit
 * @per_s: this host's shares together
 */
typedef struct {
    gboolean any_unlimited;
    gboolean any_limited;
    gint64 next_us;
    double per_s;
} limits_t;

static void
add_limits(const cq_core_t *core, const cq_request_t *request,
           const GPtrArray *upstreams, limits_t *limits)
{
    for (guint i = 0; i < upstreams->len && !limits->any_unlimited; i++) {
        const cq_upstream_t *upstream = g_ptr_array_index(upstreams, i);
        if (upstream->leaving ||
            cq_member_accepts_from_us(upstream) >= request->deadline_us) {
            continue;
        }
        if (!cq_rate_is_bounded(upstream)) {
            limits->any_unlimited = TRUE;
        }
        else if (cq_usable_now(core, upstream)) {
            limits->any_limited = TRUE;
            limits->next_us = MIN(limits->next_us, cq_rate_next_us(upstream));
            limits->per_s += upstream->rate.share_per_s;
        }
    }
}

static limits_t
limits_of(const cq_core_t *core, const cq_request_t *request)
{
    const cq_service_t *service = request->service;
    limits_t limits = {.next_us = G_MAXINT64};
    add_limits(core, request, service->local, &limits);
    add_limits(core, request, service->remote, &limits);
    return limits;
}

gboolean
cq_rate_delays(const cq_core_t *core, const cq_request_t *request)
{
    limits_t limits = limits_of(core, request);
    if (limits.any_unlimited || !limits.any_limited) {
        return FALSE;
    }
    if (limits.next_us == G_MAXINT64 || !cq_batchplace_takes_one(request)) {
        return TRUE;
    }
    guint ahead = request->phase == CQ_PHASE_QUEUED
                      ? 0
                      : cq_flow_queued_count(request->service);
    gint64 ready_us = MAX(limits.next_us, core->now_us);
    ready_us += (gint64)((double)ahead / limits.per_s * (double)CQ_SECOND_US);
    gint64 target_delay_us = request->target_us - request->arrived_us;
    return ready_us - request->arrived_us >
           target_delay_us * WAIT_PERCENT / 100;
}

/* Return: teams whose requests are still to come back, with that of
 * @request. */
static guint
teams_coming_back(const cq_core_t *core, const cq_request_t *request)
{
    const GArray *usage = request->service->usage;
    guint count = 0;
    for (guint i = 0; i < usage->len; i++) {
        count +=
            g_array_index(usage, cq_usage_t, i).comeback_us > core->now_us ||
            (int)i == request->team;
    }
    return MAX(count, 1);
}

/* Each team has its own queue of times to come back, at an even part of the
 * rate, so that a team which sends much doesn't put off the others. A time
 * later than the caller accepts isn't booked. */
gint64
cq_rate_retry_after_us(cq_core_t *core, const cq_request_t *request)
{
    limits_t limits = limits_of(core, request);
    cq_usage_t *usage = cq_usage_of(request);
    gint64 now_us = core->now_us;
    gint64 longest_us =
        MAX((request->deadline_us - now_us) / 3, 2 * CQ_RETRY_AFTER_MIN_US);
    gint64 free_us = MAX(limits.next_us, now_us);
    if (limits.per_s > 0 && free_us - now_us <= longest_us) {
        double teams = teams_coming_back(core, request);
        gint64 at_us = MAX(usage->comeback_us, free_us) +
                       (gint64)(teams / limits.per_s * (double)CQ_SECOND_US);
        if (at_us - now_us <= longest_us) {
            usage->comeback_us = at_us;
            return MAX(at_us - now_us, CQ_RETRY_AFTER_MIN_US);
        }
    }
    return longest_us / 2 +
           g_rand_int_range(core->rand, 0, (gint32)(longest_us / 2));
}

void
cq_rate_tick(cq_core_t *core)
{
    if (core->now_us - core->rates_checked_us < CHECK_INTERVAL_US) {
        return;
    }
    core->rates_checked_us = core->now_us;
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        cq_list_t *link = service->upstreams.next;
        for (; link != &service->upstreams; link = link->next) {
            cq_upstream_t *upstream = CQ_ENTRY(link, cq_upstream_t, link);
            const cq_rate_t *rate = &upstream->rate;
            if (rate->limited && core->now_us - rate->learned_us > BELIEF_US) {
                state_rate(core, upstream, FALSE, 0, "age");
            }
            if (rate->cold && core->now_us >= rate->cold_until_us) {
                end_cold(core, upstream);
            }
            if (cq_rate_is_bounded(upstream)) {
                update_share(core, upstream);
            }
        }
    }
}
