#include "core/place.h"

#include "core/lending.h"
#include "core/load.h"
#include "core/member.h"
#include "core/order.h"
#include "core/pace.h"
#include "core/rate.h"
#include "core/table.h"
#include "core/usable.h"
#include "core/usage.h"

/* Added to the score of an engine in another zone. */
#define REMOTE_ZONE_COST_US (20 * CQ_MS_US)
/* Added if the engine takes giant prompts and the request is not one. */
#define GIANT_ENGINE_COST_US (250 * CQ_MS_US)
/* Added if the engine has prefill to do. */
#define BUSY_ENGINE_COST_US (17 * CQ_MS_US)
/* Discount on the prefill time of the request at its home engine. */
#define HOME_DISCOUNT_PERCENT 10
/* Added for each stream beyond CQ_STREAMS_TARGET. */
#define EXTRA_STREAM_COST_US (40 * CQ_MS_US)
/* The share of the engines that take giant prompts is the share of these
 * prompts in the demand times GIANT_SHARE_MARGIN, at most GIANT_SHARE_MAX. */
#define GIANT_SHARE_MARGIN 1.3
#define GIANT_SHARE_MAX 0.6
/* Share of the memory of an engine that a part of a giant prompt should take.
 */
#define GROUP_FILL_PERCENT 50
/* Shares of an engine's memory that are left free: by long requests, and by
 * requests of a team above its share. */
#define LONG_HEADROOM_PERCENT 4
#define EXCESS_HEADROOM_PERCENT 30
/* Share of the streams of an engine that is kept for short requests if
 * first_token_weight is 0; less with a higher weight. */
#define SHORT_STREAMS_PERCENT 17
/* Streams below the target that a team above its share leaves free. */
#define EXCESS_STREAMS 2
/* A long request gets an earmark after it has waited this long, and keeps it
 * for EARMARK_LIFETIME_US. */
#define EARMARK_AFTER_US (2 * CQ_SECOND_US)
#define EARMARK_LIFETIME_US (8 * CQ_SECOND_US)

/* A request is placed on an engine only if at most this much prefill is ahead
 * of it there. */
static const gint64 wait_max_us[CQ_CLASSES] = {
    [CQ_CLASS_SHORT] = 300 * CQ_MS_US,
    [CQ_CLASS_MIDDLE] = 700 * CQ_MS_US,
    [CQ_CLASS_LONG] = 500 * CQ_MS_US,
    [CQ_CLASS_GIANT] = 6 * CQ_SECOND_US,
};

guint64
cq_place_mix(guint64 value)
{
    value ^= value >> 30;
    value *= G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9);
    value ^= value >> 27;
    value *= G_GUINT64_CONSTANT(0x94d049bb133111eb);
    return value ^ (value >> 31);
}

static gint
compare_host_rank(gconstpointer a, gconstpointer b, gpointer data)
{
    guint64 host = *(guint32 *)data;
    const cq_upstream_t *x = *(cq_upstream_t *const *)a;
    const cq_upstream_t *y = *(cq_upstream_t *const *)b;
    guint64 x_rank = cq_place_mix(x->id ^ cq_place_mix(host));
    guint64 y_rank = cq_place_mix(y->id ^ cq_place_mix(host));
    return x_rank < y_rank ? -1 : x_rank > y_rank;
}

static gint
compare_rank(gconstpointer a, gconstpointer b)
{
    const cq_upstream_t *x = *(cq_upstream_t *const *)a;
    const cq_upstream_t *y = *(cq_upstream_t *const *)b;
    guint64 x_rank = cq_place_mix(x->id);
    guint64 y_rank = cq_place_mix(y->id);
    return x_rank < y_rank ? -1 : x_rank > y_rank;
}

/* Reduces the array to the subset that this host uses. Each host ranks the
 * upstreams differently; the chosen ones are then sorted into an order that is
 * the same on all hosts. */
static void
keep_subset(cq_core_t *core, GPtrArray *upstreams)
{
    if (upstreams->len > CQ_UPSTREAM_SUBSET_MAX) {
        g_ptr_array_sort_with_data(upstreams, compare_host_rank, &core->host);
        g_ptr_array_set_size(upstreams, CQ_UPSTREAM_SUBSET_MAX);
    }
    g_ptr_array_sort(upstreams, compare_rank);
    for (guint i = 0; i < upstreams->len; i++) {
        cq_upstream_t *upstream = g_ptr_array_index(upstreams, i);
        upstream->candidate_index = (int)i;
    }
}

/* Number of local engines that take giant prompts: by the share of these
 * prompts in the demand, so that it follows the load. */
static guint
giant_engines_len(const cq_service_t *service)
{
    double giant_demand = service->demand[CQ_CLASS_GIANT];
    double total_demand = 0;
    for (int i = 0; i < CQ_CLASSES; i++) {
        total_demand += service->demand[i];
    }
    if (giant_demand <= 0) {
        return 0;
    }
    double share =
        MIN(giant_demand / total_demand * GIANT_SHARE_MARGIN, GIANT_SHARE_MAX);
    guint len = (guint)(share * service->local->len + 0.999);
    return MIN(len, service->local->len);
}

void
cq_place_update_candidates(cq_core_t *core, cq_service_t *service)
{
    if (service->candidates_stale) {
        service->candidates_stale = FALSE;
        g_ptr_array_set_size(service->local, 0);
        g_ptr_array_set_size(service->remote, 0);
        g_ptr_array_set_size(service->guests, 0);
        cq_list_t *link = service->upstreams.next;
        for (; link != &service->upstreams; link = link->next) {
            cq_upstream_t *upstream = CQ_ENTRY(link, cq_upstream_t, link);
            upstream->candidate_index = -1;
            if (upstream->leaving || upstream->zone_emptied ||
                cq_usable_is_gone(core, upstream)) {
                continue;
            }
            upstream->same_zone = g_str_equal(upstream->zone, core->zone);
            g_ptr_array_add(upstream->same_zone ? service->local
                                                : service->remote,
                            upstream);
            if (!upstream->same_zone && core->has_cells &&
                service->guests->len < CQ_UPSTREAM_SUBSET_MAX &&
                cq_lending_is_guest(core, upstream)) {
                g_ptr_array_add(service->guests, upstream);
            }
        }
        keep_subset(core, service->local);
        keep_subset(core, service->remote);
        core->placement_due = TRUE;
    }
    service->giant_len = giant_engines_len(service);
}

gint64
cq_place_need_tokens(const cq_request_t *request)
{
    return request->prompt_tokens + request->output_tokens;
}

/* Memory that long requests may use: they leave a little of each engine to
 * short ones. */
static gint64
usable_kv(const cq_rules_t *rules)
{
    return rules->kv_tokens * (100 - LONG_HEADROOM_PERCENT) / 100;
}

static gboolean
has_room(const cq_core_t *core, const cq_request_t *request,
         const cq_upstream_t *upstream, gint64 need, gint64 streams_max)
{
    const cq_rules_t *rules = request->service->rules;
    if (!cq_usable_now(core, upstream) || !cq_rate_allows(core, upstream)) {
        return FALSE;
    }
    if (upstream->id == request->last_failed ||
        upstream == request->upstream) {
        return FALSE;
    }
    if (request->model != 0 && !cq_order_has_model(upstream, request->model)) {
        return FALSE;
    }
    if (rules->kind == CQ_SERVICE_PLAIN) {
        return cq_load_streams(core, upstream) < CQ_PLAIN_CALLS_MAX;
    }
    if (cq_load_streams(core, upstream) >= streams_max) {
        return FALSE;
    }
    gint64 used = cq_load_kv(core, upstream);
    if (request->earmark == upstream) {
        used -= need;
    }
    gint64 kept_percent = 0;
    if (request->length_class >= CQ_CLASS_LONG) {
        kept_percent = LONG_HEADROOM_PERCENT;
    }
    if (request->priority_class > request->length_class) {
        kept_percent = EXCESS_HEADROOM_PERCENT;
    }
    return need <= rules->kv_tokens * (100 - kept_percent) / 100 - used;
}

/* Whether @request may use only the engines for giant prompts. */
static gboolean
uses_giant_engines(const cq_request_t *request)
{
    return request->length_class == CQ_CLASS_GIANT;
}

/* Number of the first entries of a candidate array that take giant prompts; in
 * proportion to giant_len for the remote array. */
static guint
giant_part_len(const cq_service_t *service, const GPtrArray *upstreams)
{
    if (service->local->len == 0 || upstreams == service->local) {
        return service->giant_len;
    }
    if (service->giant_len == 0) {
        return 0;
    }
    guint scaled = service->giant_len * upstreams->len;
    guint len = (scaled + service->local->len - 1) / service->local->len;
    return MIN(len, upstreams->len);
}

static gboolean
takes_giants(const cq_service_t *service, const cq_upstream_t *upstream)
{
    const GPtrArray *in =
        upstream->same_zone ? service->local : service->remote;
    return (guint)upstream->candidate_index < giant_part_len(service, in);
}

/* The engine that all hosts prefer for a prefix, so that it is cached there:
 * the one with the highest rank (rendezvous hashing). */
static cq_upstream_t *
home_engine(const GPtrArray *upstreams, guint64 prefix)
{
    cq_upstream_t *best = NULL;
    guint64 best_rank = 0;
    for (guint i = 0; i < upstreams->len; i++) {
        cq_upstream_t *upstream = g_ptr_array_index(upstreams, i);
        guint64 rank = cq_place_mix(upstream->id ^ prefix);
        if (best == NULL || rank > best_rank) {
            best = upstream;
            best_rank = rank;
        }
    }
    return best;
}

/**
 * struct choice_t - the search for the best candidate
 * @streams_max: a candidate must have fewer streams than this
 * @ignores_pace: a candidate may get more than its pace allows
 * @home: preferred engine for the first prefix of the prompt, or NULL
 * @best: the best candidate so far, or NULL
 * @best_score_us: its score
 */
typedef struct {
    gint64 streams_max;
    gboolean ignores_pace;
    cq_upstream_t *home;
    cq_upstream_t *best;
    gint64 best_score_us;
} choice_t;

/* Score of an upstream, the lowest is best: expected time to the first token,
 * plus the delay that placing the request there causes for others, both
 * weighted by the service's first_token_weight. */
static gint64
score_us(const cq_core_t *core, const cq_request_t *request,
         const cq_upstream_t *upstream, const cq_upstream_t *home)
{
    const cq_service_t *service = request->service;
    gint64 streams = cq_load_streams(core, upstream);
    gint64 cached = cq_load_cached_tokens(upstream, request);
    gint64 own_us =
        cq_load_prefill_us(service, request->prompt_tokens - cached);
    gint64 first_token_us = cq_load_prefill_wait_us(
        upstream, request->priority_class, core->now_us);
    first_token_us += own_us + cq_load_decode_step_us(streams + 1) * 3 / 2;
    if (cq_load_prefill_wait_us(upstream, CQ_CLASS_GIANT, core->now_us) > 0) {
        first_token_us += BUSY_ENGINE_COST_US;
    }
    if (!upstream->same_zone) {
        first_token_us += REMOTE_ZONE_COST_US;
    }
    if (upstream == home) {
        first_token_us -= own_us * HOME_DISCOUNT_PERCENT / 100;
    }
    gint64 others_us = own_us;
    if (streams >= CQ_STREAMS_TARGET) {
        others_us += (streams - CQ_STREAMS_TARGET + 1) * EXTRA_STREAM_COST_US;
    }
    if (!uses_giant_engines(request) && takes_giants(service, upstream)) {
        others_us += GIANT_ENGINE_COST_US;
    }
    gint64 weight = service->rules->first_token_weight;
    return (first_token_us * (weight + 50) + others_us * (150 - weight)) / 100;
}

static void
consider(const cq_core_t *core, cq_request_t *request, choice_t *choice,
         cq_upstream_t *upstream)
{
    gint64 need = cq_place_need_tokens(request);
    if (!choice->ignores_pace && !cq_pace_allows(core, upstream)) {
        return;
    }
    if (!has_room(core, request, upstream, need, choice->streams_max)) {
        return;
    }
    gint64 wait_us = cq_load_prefill_wait_us(upstream, request->priority_class,
                                             core->now_us);
    if (wait_us > wait_max_us[request->length_class]) {
        return;
    }
    gint64 candidate_score_us =
        cq_rate_recheck_due(core, upstream)
            ? G_MININT64
            : score_us(core, request, upstream, choice->home);
    if (choice->best == NULL || candidate_score_us < choice->best_score_us) {
        choice->best = upstream;
        choice->best_score_us = candidate_score_us;
    }
}

/* Considers @samples candidates in random order, so that hosts with the same
 * state choose different ones; considers more until one has room. */
static void
sample_candidates(cq_core_t *core, cq_request_t *request, choice_t *choice,
                  const GPtrArray *upstreams, guint samples)
{
    guint len = upstreams->len;
    if (uses_giant_engines(request)) {
        len = MAX(giant_part_len(request->service, upstreams), 1);
        len = MIN(len, upstreams->len);
        samples = len;
    }
    if (len == 0) {
        return;
    }
    guint start = (guint)g_rand_int_range(core->rand, 0, (gint32)len);
    for (guint i = 0; i < len; i++) {
        if (i >= samples && choice->best != NULL) {
            return;
        }
        guint at = (start + i) % len;
        consider(core, request, choice, g_ptr_array_index(upstreams, at));
    }
}

static cq_upstream_t *
choose_with_limit(cq_core_t *core, cq_request_t *request, gint64 streams_max,
                  gboolean ignores_pace)
{
    cq_service_t *service = request->service;
    choice_t choice = {.streams_max = streams_max,
                       .ignores_pace = ignores_pace};
    if (request->earmark != NULL) {
        consider(core, request, &choice, request->earmark);
        return choice.best;
    }
    if (request->prefixes_len > 0 && !uses_giant_engines(request)) {
        choice.home = home_engine(service->local, request->prefixes[0].hash);
        if (choice.home != NULL) {
            consider(core, request, &choice, choice.home);
        }
    }
    sample_candidates(core, request, &choice, service->local,
                      CQ_PLACE_SAMPLES_MAX);
    sample_candidates(core, request, &choice, service->remote,
                      CQ_PLACE_SAMPLES_MAX / 2);
    return choice.best;
}

/* An engine with more streams than its target slows all of these
 * streams, so such engines are used only if no other engine has room, and not
 * for a team above its share. The prefill of such a team also gets the lowest
 * priority. */
static cq_upstream_t *
choose_by_cost(cq_core_t *core, cq_request_t *request)
{
    const cq_rules_t *rules = request->service->rules;
    gint64 target = MIN(rules->streams_target, rules->streams_max);
    gboolean exceeds = cq_usage_exceeds_share(request);
    request->priority_class = exceeds ? CQ_CLASS_GIANT : request->length_class;
    if (exceeds) {
        target = MAX(target - EXCESS_STREAMS, 1);
    }
    gint64 streams_max = rules->streams_max;
    if (request->length_class > CQ_CLASS_SHORT) {
        gint64 percent = SHORT_STREAMS_PERCENT;
        streams_max -=
            streams_max * percent * (100 - rules->first_token_weight) / 10000;
    }
    cq_upstream_t *upstream = choose_with_limit(core, request, target, FALSE);
    if (upstream == NULL && streams_max > target && !exceeds) {
        upstream = choose_with_limit(core, request, streams_max, FALSE);
    }
    /* Rather an upstream that gets more than its pace than a request that
     * waits. */
    if (upstream == NULL && core->finds_pace) {
        upstream = choose_with_limit(core, request, target, TRUE);
    }
    return upstream;
}

static cq_upstream_t *
choose_round_robin(cq_core_t *core, const cq_request_t *request)
{
    cq_service_t *service = request->service;
    guint local_len = service->local->len;
    guint len = local_len + service->remote->len;
    for (guint i = 0; i < len; i++) {
        guint at = service->round_robin_next++ % len;
        cq_upstream_t *upstream =
            at < local_len
                ? g_ptr_array_index(service->local, at)
                : g_ptr_array_index(service->remote, at - local_len);
        if (cq_usable_now(core, upstream)) {
            return upstream;
        }
    }
    return NULL;
}

static cq_upstream_t *
choose_least_requests(cq_core_t *core, const cq_request_t *request)
{
    cq_upstream_t *best = NULL;
    cq_service_t *service = request->service;
    guint len = service->local->len + service->remote->len;
    for (guint i = 0; i < len; i++) {
        cq_upstream_t *upstream = choose_round_robin(core, request);
        if (upstream == NULL) {
            return NULL;
        }
        if (best == NULL || upstream->own_streams < best->own_streams) {
            best = upstream;
        }
    }
    service->round_robin_next++;
    return best;
}

/* Sets memory of an engine aside for a long request that has waited for a
 * while, so that shorter requests do not use all memory that becomes free. */
static void
set_earmark(cq_core_t *core, cq_request_t *request)
{
    cq_upstream_t *best = NULL;
    const cq_service_t *service = request->service;
    gint64 need = cq_place_need_tokens(request);
    if (need > service->rules->kv_tokens) {
        return;
    }
    guint len = service->local->len;
    if (uses_giant_engines(request)) {
        len = MAX(service->giant_len, 1);
        len = MIN(len, service->local->len);
    }
    for (guint i = 0; i < len; i++) {
        cq_upstream_t *upstream = g_ptr_array_index(service->local, i);
        if (!cq_usable_now(core, upstream)) {
            continue;
        }
        gint64 kv = cq_load_kv(core, upstream);
        if (best == NULL || kv < cq_load_kv(core, best)) {
            best = upstream;
        }
    }
    gint64 kv_max = service->rules->kv_tokens;
    if (best == NULL || cq_load_kv(core, best) >= kv_max) {
        return;
    }
    request->earmark = best;
    request->earmark_until_us = core->now_us + EARMARK_LIFETIME_US;
    cq_load_add_kv(core, best, need);
    cq_table_log_event(core, request, "earmark", "upstream=%s", best->name);
}

void
cq_place_clear_earmark(cq_core_t *core, cq_request_t *request)
{
    if (request->earmark == NULL) {
        return;
    }
    cq_load_add_kv(core, request->earmark, -cq_place_need_tokens(request));
    request->earmark = NULL;
    core->placement_due = TRUE;
}

cq_upstream_t *
cq_place_baseline(cq_core_t *core, const cq_request_t *request)
{
    switch (core->policy) {
    case CQ_POLICY_ROUND_ROBIN:
        return choose_round_robin(core, request);
    case CQ_POLICY_LEAST_REQUESTS:
        return choose_least_requests(core, request);
    case CQ_POLICY_COST:
        break;
    }
    return NULL;
}

cq_upstream_t *
cq_place_choose(cq_core_t *core, cq_request_t *request)
{
    if (core->policy != CQ_POLICY_COST) {
        return cq_place_baseline(core, request);
    }
    gboolean earmark_expired = request->earmark_until_us <= core->now_us;
    if (request->earmark != NULL &&
        (earmark_expired || !cq_usable_now(core, request->earmark))) {
        cq_place_clear_earmark(core, request);
    }
    cq_upstream_t *upstream = choose_by_cost(core, request);
    gint64 waited_us = core->now_us - request->phase_start_us;
    if (upstream == NULL && request->earmark == NULL &&
        request->length_class >= CQ_CLASS_LONG &&
        waited_us > EARMARK_AFTER_US) {
        set_earmark(core, request);
    }
    return upstream;
}

guint
cq_place_group_size(const cq_request_t *request)
{
    const cq_rules_t *rules = request->service->rules;
    if (rules->kind != CQ_SERVICE_MODEL) {
        return 1;
    }
    gint64 usable = usable_kv(rules);
    return (guint)((cq_place_need_tokens(request) + usable - 1) / usable);
}

static void
add_members(cq_core_t *core, cq_request_t *request, const GPtrArray *from,
            guint size, gint64 part)
{
    gint64 streams_max = request->service->rules->streams_max;
    for (guint i = 0; i < from->len && request->group_len < size; i++) {
        cq_upstream_t *upstream = g_ptr_array_index(from, i);
        if (has_room(core, request, upstream, part, streams_max)) {
            request->group[request->group_len++] = upstream;
        }
    }
}

static gboolean
try_group(cq_core_t *core, cq_request_t *request, guint size)
{
    const cq_service_t *service = request->service;
    gint64 part = cq_place_need_tokens(request) / size + 1;
    request->group_len = 0;
    add_members(core, request, service->local, size, part);
    add_members(core, request, service->remote, size, part);
    if (request->group_len < size) {
        request->group_len = 0;
        return FALSE;
    }
    return TRUE;
}

/* Tries the largest group first: with more engines than needed, each has room
 * for its smaller part sooner, and prefill is faster. */
gboolean
cq_place_group(cq_core_t *core, cq_request_t *request)
{
    const cq_rules_t *rules = request->service->rules;
    guint size_min = cq_place_group_size(request);
    gint64 part_target = rules->kv_tokens * GROUP_FILL_PERCENT / 100;
    guint size_max =
        (guint)((cq_place_need_tokens(request) + part_target - 1) /
                part_target);
    size_max = MIN(size_max, (guint)rules->group_max);
    g_assert(size_max <= CQ_PREFILL_GROUP_MAX);
    for (guint size = size_max; size >= size_min; size--) {
        if (try_group(core, request, size)) {
            return TRUE;
        }
    }
    return FALSE;
}
