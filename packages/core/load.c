#include "core/load.h"

#include "core/batch.h"
#include "core/member.h"
#include "core/place.h"
#include "core/table.h"
#include "core/usage.h"
#include "core/task.h"

/* A decode step costs STEP_BASE of the target time plus a part that grows
 * with the batch, so that it meets the target time at the target batch. */
#define STEP_BASE_PERCENT 60
#define STEP_BATCH_PERCENT 40
/* Share of answers that should not exceed the learned length, and the step
 * by which it moves. */
#define OUTPUT_SHARE 0.998
#define OUTPUT_STEP_TOKENS 32

gint64
cq_load_decode_step_us(gint64 streams)
{
    gint64 batch = MAX(streams, 1);
    gint64 percent =
        STEP_BASE_PERCENT + STEP_BATCH_PERCENT * batch / CQ_STREAMS_TARGET;
    return CQ_DECODE_STEP_US * percent / 100;
}

gint64
cq_load_prefill_us(const cq_service_t *service, gint64 tokens)
{
    gint64 rate = service->rules->prefill_tokens_per_s;
    return MAX(tokens, 0) * CQ_SECOND_US / rate;
}

void
cq_load_learn_output(cq_service_t *service, gint64 tokens)
{
    gboolean above = (double)tokens > service->output_high;
    double step = above ? OUTPUT_SHARE : OUTPUT_SHARE - 1;
    service->output_high =
        MAX(service->output_high + step * OUTPUT_STEP_TOKENS, 1);
}

gint64
cq_load_output(const cq_request_t *request)
{
    gint64 tokens = (gint64)request->service->output_high;
    if (request->output_known) {
        return MIN(tokens, request->output_tokens);
    }
    return tokens;
}

gint64
cq_load_prompt_us(const cq_request_t *request)
{
    if (request->service->rules->kind == CQ_SERVICE_BATCH) {
        return cq_batchcost_prefill_us(&request->service->rules->speed,
                                       request->prompt_tokens) /
               CQ_GROUP_MAX;
    }
    gint64 size = cq_place_group_size(request);
    return cq_load_prefill_us(request->service, request->prompt_tokens) / size;
}

static gboolean
is_plain(const cq_request_t *request)
{
    return request->service->rules->kind == CQ_SERVICE_PLAIN;
}

gint64
cq_load_run_us(const cq_request_t *request)
{
    if (is_plain(request)) {
        return 0;
    }
    gint64 step_us =
        cq_load_decode_step_us(request->service->rules->streams_max);
    gint64 tokens = MAX(cq_load_output(request) - request->forwarded, 0);
    return cq_load_prompt_us(request) + tokens * step_us;
}

gint64
cq_load_least_us(const cq_request_t *request)
{
    if (is_plain(request)) {
        return 0;
    }
    gint64 tokens = 0;
    if (request->output_known) {
        tokens = MAX(cq_load_output(request) - request->forwarded, 0);
    }
    return cq_load_prompt_us(request) + tokens * cq_load_decode_step_us(1);
}

/* Without fresh peers the ledger misses their work; the report has it. */
gboolean
cq_load_blind(const cq_core_t *core)
{
    guint expected = g_hash_table_size(core->entry_hosts);
    return cq_member_link_count(expected) >
           g_hash_table_size(core->peer_by_host);
}

static gboolean
blind(const cq_core_t *core, const cq_upstream_t *upstream)
{
    return upstream->reported_at_us != 0 && cq_load_blind(core);
}

gint64
cq_load_wait_us(const cq_upstream_t *upstream, cq_class_t klass, gint64 now_us)
{
    return MAX(upstream->load.busy_us[klass] - now_us, 0);
}

gint64
cq_load_streams(const cq_core_t *core, const cq_upstream_t *upstream)
{
    gint64 known = upstream->own_streams + upstream->peer_streams;
    if (blind(core, upstream)) {
        return MAX(known, upstream->reported_streams);
    }
    return known;
}

gint64
cq_load_kv(const cq_core_t *core, const cq_upstream_t *upstream)
{
    gint64 known = upstream->own_kv_tokens + upstream->peer_kv_tokens;
    if (blind(core, upstream)) {
        return MAX(known, upstream->reported_kv_tokens);
    }
    return known;
}

static void
add_prefill(cq_load_t *load, cq_class_t klass, gint64 us, gint64 now_us)
{
    load->busy_us[klass] = MAX(load->busy_us[klass], now_us) + us;
    load->placed_us[klass] += us;
}

void
cq_load_hold(cq_core_t *core, cq_upstream_t *upstream, gint64 kv)
{
    upstream->own_kv_tokens += kv;
    upstream->touched = TRUE;
    core->touched = TRUE;
    g_assert(upstream->own_kv_tokens >= 0);
}

void
cq_load_charge(cq_core_t *core, cq_request_t *request, gint64 prefill_us,
               gint64 kv)
{
    cq_upstream_t *upstream = request->upstream;
    for (int klass = (int)request->rank; klass < CQ_CLASSES; klass++) {
        add_prefill(&upstream->load, klass, prefill_us, core->now_us);
        upstream->own_placed_us[klass] += prefill_us;
    }
    request->charged_us = prefill_us;
    request->charged_kv = kv;
    request->placed_mark = upstream->load.placed_us[request->rank];
    upstream->own_streams++;
    cq_usage_start(request);
    cq_load_hold(core, upstream, kv);
}

void
cq_load_first_token(cq_core_t *core, cq_request_t *request)
{
    cq_load_t *load = &request->upstream->load;
    cq_class_t klass = request->rank;
    gint64 after_us = load->placed_us[klass] - request->placed_mark;
    gint64 busy_us = core->now_us + after_us;
    load->busy_us[klass] = MIN(load->busy_us[klass], busy_us);
}

void
cq_load_release(cq_core_t *core, cq_request_t *request)
{
    cq_upstream_t *upstream = request->upstream;
    if (upstream == NULL) {
        return;
    }
    if (request->forwarded == 0 && request->charged_us > 0) {
        for (int klass = (int)request->rank; klass < CQ_CLASSES; klass++) {
            gint64 busy_us = upstream->load.busy_us[klass];
            gint64 less_us = busy_us - request->charged_us;
            upstream->load.busy_us[klass] = MAX(less_us, core->now_us);
        }
    }
    upstream->own_streams--;
    cq_usage_stop(request);
    g_assert(upstream->own_streams >= 0);
    cq_load_hold(core, upstream, -request->charged_kv);
    request->charged_kv = 0;
    request->charged_us = 0;
    cq_task_close(core, request);
    request->upstream = NULL;
    core->placeable = TRUE;
}

void
cq_load_report(cq_core_t *core, const cq_ev_load_t *report)
{
    cq_upstream_t *upstream = cq_table_upstream(core, report->upstream);
    if (upstream == NULL || report->at_us < upstream->reported_at_us) {
        return;
    }
    upstream->reported_at_us = report->at_us;
    upstream->reported_streams = report->streams;
    upstream->reported_kv_tokens = report->kv_tokens;
    if (!blind(core, upstream) || upstream->service->rules == NULL) {
        return;
    }
    gint64 work_us =
        cq_load_prefill_us(upstream->service, report->prefill_tokens);
    gint64 *busy_us = &upstream->load.busy_us[CQ_CLASS_GIANT];
    *busy_us = MAX(*busy_us, report->at_us + work_us);
}

void
cq_load_peer(cq_core_t *core, const cq_share_t *share,
             const cq_share_t *before)
{
    cq_upstream_t *upstream = cq_table_upstream(core, share->upstream);
    if (upstream == NULL) {
        return;
    }
    if (before == NULL) {
        upstream->peer_streams += share->streams;
        upstream->peer_kv_tokens += share->kv_tokens;
        return;
    }
    upstream->peer_streams += share->streams - before->streams;
    upstream->peer_kv_tokens += share->kv_tokens - before->kv_tokens;
    for (int klass = 0; klass < CQ_CLASSES; klass++) {
        gint64 more_us = share->placed_us[klass] - before->placed_us[klass];
        if (more_us > 0) {
            add_prefill(&upstream->load, klass, more_us, core->now_us);
        }
    }
}

void
cq_load_forget_peer(cq_core_t *core, cq_peer_t *peer)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, peer->shares);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const cq_share_t *share = value;
        cq_upstream_t *upstream = cq_table_upstream(core, share->upstream);
        if (upstream != NULL) {
            upstream->peer_streams -= share->streams;
            upstream->peer_kv_tokens -= share->kv_tokens;
        }
    }
    g_hash_table_remove_all(peer->shares);
    core->placeable = TRUE;
}

gint64
cq_load_cached(const cq_upstream_t *upstream, const cq_request_t *request)
{
    for (guint i = request->prefixes_len; i > 0; i--) {
        const cq_prefix_t *prefix = &request->prefixes[i - 1];
        if (g_hash_table_contains(upstream->beliefs, &prefix->hash)) {
            return prefix->tokens;
        }
    }
    return 0;
}

static gboolean
older(gpointer key, gpointer value, gpointer limit)
{
    (void)key;
    return *(gint64 *)value < *(gint64 *)limit;
}

/* Drops beliefs by age until at most half of the bound is left. */
static void
trim_beliefs(cq_upstream_t *upstream, gint64 now_us)
{
    gint64 keep_us = 64 * CQ_SECOND_US;
    while (g_hash_table_size(upstream->beliefs) > CQ_CACHED_PREFIXES_MAX / 2) {
        gint64 limit_us = now_us - keep_us;
        g_hash_table_foreach_remove(upstream->beliefs, older, &limit_us);
        if (keep_us == 0) {
            g_hash_table_remove_all(upstream->beliefs);
        }
        keep_us /= 2;
    }
}

static void
believe(cq_upstream_t *upstream, guint64 hash, gint64 now_us)
{
    if (g_hash_table_size(upstream->beliefs) >= CQ_CACHED_PREFIXES_MAX) {
        trim_beliefs(upstream, now_us);
    }
    guint64 *key = g_new(guint64, 1);
    gint64 *at_us = g_new(gint64, 1);
    *key = hash;
    *at_us = now_us;
    g_hash_table_replace(upstream->beliefs, key, at_us);
}

void
cq_load_believe(cq_core_t *core, cq_upstream_t *upstream,
                const cq_request_t *request)
{
    for (guint i = 0; i < request->prefixes_len; i++) {
        believe(upstream, request->prefixes[i].hash, core->now_us);
    }
}

void
cq_load_cache(cq_core_t *core, const cq_ev_cache_t *event)
{
    cq_upstream_t *upstream = cq_table_upstream(core, event->upstream);
    if (upstream == NULL || upstream->slot < 0) {
        return;
    }
    if (event->present) {
        believe(upstream, event->prefix, core->now_us);
    }
    else {
        g_hash_table_remove(upstream->beliefs, &event->prefix);
    }
}
