#include "core/load.h"

#include "core/batchcost.h"
#include "core/place.h"
#include "core/table.h"
#include "core/usage.h"
#include "core/task.h"

/* The time of a decode step, in percent of CQ_DECODE_STEP_US: a constant part,
 * plus a part that is proportional to the number of streams. At
 * CQ_STREAMS_TARGET streams they add up to 100. */
#define STEP_BASE_PERCENT 60
#define STEP_BATCH_PERCENT 40
/* The learned output length is the one that a share of OUTPUT_QUANTILE of the
 * answers does not exceed. OUTPUT_STEP_TOKENS_MAX scales the steps by which it
 * is adjusted. */
#define OUTPUT_QUANTILE 0.998
#define OUTPUT_STEP_TOKENS_MAX 32

gint64
cq_load_decode_step_us(gint64 streams)
{
    gint64 batch_size = MAX(streams, 1);
    gint64 percent = STEP_BASE_PERCENT +
                     STEP_BATCH_PERCENT * batch_size / CQ_STREAMS_TARGET;
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
    gboolean above = (double)tokens > service->output_tokens_high;
    double step = above ? OUTPUT_QUANTILE : OUTPUT_QUANTILE - 1;
    service->output_tokens_high =
        MAX(service->output_tokens_high + step * OUTPUT_STEP_TOKENS_MAX, 1);
}

gint64
cq_load_output_tokens(const cq_request_t *request)
{
    gint64 tokens = (gint64)request->service->output_tokens_high;
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
               CQ_PREFILL_GROUP_MAX;
    }
    gint64 engines = cq_place_group_size(request);
    return cq_load_prefill_us(request->service, request->prompt_tokens) /
           engines;
}

static gboolean
is_plain(const cq_request_t *request)
{
    return request->service->rules->kind == CQ_SERVICE_PLAIN;
}

gint64
cq_load_run_busy_us(const cq_request_t *request)
{
    if (is_plain(request)) {
        return 0;
    }
    gint64 step_us =
        cq_load_decode_step_us(request->service->rules->streams_max);
    gint64 tokens =
        MAX(cq_load_output_tokens(request) - request->forwarded, 0);
    return cq_load_prompt_us(request) + tokens * step_us;
}

gint64
cq_load_run_min_us(const cq_request_t *request)
{
    if (is_plain(request)) {
        return 0;
    }
    gint64 tokens = 0;
    if (request->output_known) {
        tokens = MAX(cq_load_output_tokens(request) - request->forwarded, 0);
    }
    return cq_load_prompt_us(request) + tokens * cq_load_decode_step_us(1);
}

/* Work of a peer whose summaries are missing is not in the ledger, but it is
 * in the load reports of the engines. */
gboolean
cq_load_peer_missing(const cq_core_t *core)
{
    return core->peers->len > g_hash_table_size(core->peer_by_host);
}

static gboolean
uses_report(const cq_core_t *core, const cq_upstream_t *upstream)
{
    return upstream->reported_at_us != 0 && cq_load_peer_missing(core);
}

gint64
cq_load_prefill_wait_us(const cq_upstream_t *upstream, cq_class_t klass,
                        gint64 now_us)
{
    return MAX(upstream->load.prefill_done_us[klass] - now_us, 0);
}

gint64
cq_load_streams(const cq_core_t *core, const cq_upstream_t *upstream)
{
    gint64 ledger_streams = upstream->own_streams + upstream->peer_streams;
    if (uses_report(core, upstream)) {
        return MAX(ledger_streams, upstream->reported_streams);
    }
    return ledger_streams;
}

gint64
cq_load_kv(const cq_core_t *core, const cq_upstream_t *upstream)
{
    gint64 ledger_kv = upstream->own_kv_tokens + upstream->peer_kv_tokens;
    if (uses_report(core, upstream)) {
        return MAX(ledger_kv, upstream->reported_kv_tokens);
    }
    return ledger_kv;
}

static void
add_prefill(cq_load_t *load, cq_class_t klass, gint64 us, gint64 now_us)
{
    load->prefill_done_us[klass] =
        MAX(load->prefill_done_us[klass], now_us) + us;
    load->placed_us[klass] += us;
}

void
cq_load_add_kv(cq_core_t *core, cq_upstream_t *upstream, gint64 kv)
{
    upstream->own_kv_tokens += kv;
    upstream->share_changed = TRUE;
    core->summary_needed = TRUE;
    g_assert(upstream->own_kv_tokens >= 0);
}

void
cq_load_add_attempt(cq_core_t *core, cq_request_t *request, gint64 prefill_us,
                    gint64 kv)
{
    cq_upstream_t *upstream = request->upstream;
    for (int klass = (int)request->priority_class; klass < CQ_CLASSES;
         klass++) {
        add_prefill(&upstream->load, klass, prefill_us, core->now_us);
        upstream->own_placed_us[klass] += prefill_us;
    }
    request->entered_prefill_us = prefill_us;
    request->entered_kv_tokens = kv;
    request->placed_at_start_us =
        upstream->load.placed_us[request->priority_class];
    upstream->own_streams++;
    cq_usage_start(request);
    cq_load_add_kv(core, upstream, kv);
}

void
cq_load_first_token(cq_core_t *core, cq_request_t *request)
{
    cq_load_t *load = &request->upstream->load;
    cq_class_t klass = request->priority_class;
    gint64 later_prefill_us =
        load->placed_us[klass] - request->placed_at_start_us;
    gint64 done_us = core->now_us + later_prefill_us;
    load->prefill_done_us[klass] = MIN(load->prefill_done_us[klass], done_us);
}

void
cq_load_remove_attempt(cq_core_t *core, cq_request_t *request)
{
    cq_upstream_t *upstream = request->upstream;
    if (upstream == NULL) {
        return;
    }
    if (request->forwarded == 0 && request->entered_prefill_us > 0) {
        for (int klass = (int)request->priority_class; klass < CQ_CLASSES;
             klass++) {
            gint64 done_us = upstream->load.prefill_done_us[klass];
            gint64 reduced_us = done_us - request->entered_prefill_us;
            upstream->load.prefill_done_us[klass] =
                MAX(reduced_us, core->now_us);
        }
    }
    upstream->own_streams--;
    cq_usage_stop(request);
    g_assert(upstream->own_streams >= 0);
    cq_load_add_kv(core, upstream, -request->entered_kv_tokens);
    request->entered_kv_tokens = 0;
    request->entered_prefill_us = 0;
    cq_task_close(core, request);
    request->upstream = NULL;
    core->placement_due = TRUE;
}

void
cq_load_apply_report(cq_core_t *core, const cq_ev_load_t *report)
{
    cq_upstream_t *upstream = cq_table_upstream(core, report->upstream);
    if (upstream == NULL || report->at_us < upstream->reported_at_us) {
        return;
    }
    upstream->reported_at_us = report->at_us;
    upstream->reported_streams = report->streams;
    upstream->reported_kv_tokens = report->kv_tokens;
    if (!uses_report(core, upstream) || upstream->service->rules == NULL) {
        return;
    }
    gint64 prefill_us =
        cq_load_prefill_us(upstream->service, report->prefill_tokens);
    gint64 *done_us = &upstream->load.prefill_done_us[CQ_CLASS_GIANT];
    *done_us = MAX(*done_us, report->at_us + prefill_us);
}

void
cq_load_apply_share(cq_core_t *core, const cq_share_t *share,
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
cq_load_remove_peer(cq_core_t *core, cq_peer_t *peer)
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
    core->placement_due = TRUE;
}

gint64
cq_load_cached_tokens(const cq_upstream_t *upstream,
                      const cq_request_t *request)
{
    for (guint i = request->prefixes_len; i > 0; i--) {
        const cq_prefix_t *prefix = &request->prefixes[i - 1];
        if (g_hash_table_contains(upstream->cached_prefixes, &prefix->hash)) {
            return prefix->tokens;
        }
    }
    return 0;
}

static gboolean
is_older(gpointer key, gpointer value, gpointer limit)
{
    (void)key;
    return *(gint64 *)value < *(gint64 *)limit;
}

/* Drops the oldest prefixes until at most half of the limit is left. */
static void
trim_prefixes(cq_upstream_t *upstream, gint64 now_us)
{
    gint64 keep_us = 64 * CQ_SECOND_US;
    while (g_hash_table_size(upstream->cached_prefixes) >
           CQ_CACHED_PREFIXES_MAX / 2) {
        gint64 limit_us = now_us - keep_us;
        g_hash_table_foreach_remove(upstream->cached_prefixes, is_older,
                                    &limit_us);
        if (keep_us == 0) {
            g_hash_table_remove_all(upstream->cached_prefixes);
        }
        keep_us /= 2;
    }
}

static void
note_prefix(cq_upstream_t *upstream, guint64 hash, gint64 now_us)
{
    if (g_hash_table_size(upstream->cached_prefixes) >=
        CQ_CACHED_PREFIXES_MAX) {
        trim_prefixes(upstream, now_us);
    }
    guint64 *key = g_new(guint64, 1);
    gint64 *at_us = g_new(gint64, 1);
    *key = hash;
    *at_us = now_us;
    g_hash_table_replace(upstream->cached_prefixes, key, at_us);
}

void
cq_load_note_prefixes(cq_core_t *core, cq_upstream_t *upstream,
                      const cq_request_t *request)
{
    for (guint i = 0; i < request->prefixes_len; i++) {
        note_prefix(upstream, request->prefixes[i].hash, core->now_us);
    }
}

void
cq_load_apply_cache_event(cq_core_t *core, const cq_ev_cache_t *event)
{
    cq_upstream_t *upstream = cq_table_upstream(core, event->upstream);
    if (upstream == NULL || upstream->candidate_index < 0) {
        return;
    }
    if (event->present) {
        note_prefix(upstream, event->prefix, core->now_us);
    }
    else {
        g_hash_table_remove(upstream->cached_prefixes, &event->prefix);
    }
}
