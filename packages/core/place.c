#include "core/place.h"

#include "core/load.h"
#include "core/member.h"
#include "core/order.h"
#include "core/table.h"
#include "core/usage.h"

#define REMOTE_US (20 * CQ_MS_US)
#define SHARED_US (250 * CQ_MS_US)
#define BUSY_US (17 * CQ_MS_US)
#define HOME_PERCENT 10
#define CROWD_US (40 * CQ_MS_US)
#define SHARE_MARGIN 1.3
#define SHARE_MAX 0.6
#define GROUP_FILL_PERCENT 50
#define HEADROOM_PERCENT 4
#define EXCESS_HEADROOM_PERCENT 30
#define SHORT_STREAMS_PERCENT 17
#define EXCESS_STREAMS 2
#define EARMARK_AFTER_US (2 * CQ_SECOND_US)
#define EARMARK_US (8 * CQ_SECOND_US)

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
by_host_rank(gconstpointer a, gconstpointer b, gpointer data)
{
    guint64 host = *(guint32 *)data;
    const cq_upstream_t *x = *(cq_upstream_t *const *)a;
    const cq_upstream_t *y = *(cq_upstream_t *const *)b;
    guint64 p = cq_place_mix(x->id ^ cq_place_mix(host));
    guint64 q = cq_place_mix(y->id ^ cq_place_mix(host));
    return p < q ? -1 : p > q;
}

static gint
by_rank(gconstpointer a, gconstpointer b)
{
    const cq_upstream_t *x = *(cq_upstream_t *const *)a;
    const cq_upstream_t *y = *(cq_upstream_t *const *)b;
    guint64 p = cq_place_mix(x->id);
    guint64 q = cq_place_mix(y->id);
    return p < q ? -1 : p > q;
}

/* Entries that lapsed while the log was away are written anew once it is back,
 * so that one which is missing just then may live. */
static gboolean
gone(const cq_core_t *core, const cq_upstream_t *upstream)
{
    if (upstream->listed) {
        return FALSE;
    }
    gint64 back_us = core->log_back_us;
    gboolean lapsed = back_us > 0 && upstream->unlisted_us >= back_us &&
                      upstream->unlisted_us < back_us + CQ_UNLISTED_GRACE_US;
    return !lapsed || core->now_us >= back_us + CQ_UNLISTED_GRACE_US;
}

/* Keeps the subset that this host watches; every host ranks differently, and
 * the kept ones are then put into the order that all hosts share. */
static void
keep_subset(cq_core_t *core, GPtrArray *all)
{
    if (all->len > CQ_UPSTREAM_SUBSET_MAX) {
        g_ptr_array_sort_with_data(all, by_host_rank, &core->host);
        g_ptr_array_set_size(all, CQ_UPSTREAM_SUBSET_MAX);
    }
    g_ptr_array_sort(all, by_rank);
    for (guint i = 0; i < all->len; i++) {
        cq_upstream_t *upstream = g_ptr_array_index(all, i);
        upstream->slot = (int)i;
    }
}

/* Giant prompts get the share of engines that their part of the demand
 * takes, so that it widens and narrows with the load. */
static guint
shared_len(const cq_service_t *service)
{
    double giant = service->demand[CQ_CLASS_GIANT];
    double all = 0;
    for (int i = 0; i < CQ_CLASSES; i++) {
        all += service->demand[i];
    }
    if (giant <= 0) {
        return 0;
    }
    double share = MIN(giant / all * SHARE_MARGIN, SHARE_MAX);
    guint len = (guint)(share * service->nearby->len + 0.999);
    return MIN(len, service->nearby->len);
}

void
cq_place_refresh(cq_core_t *core, cq_service_t *service)
{
    if (service->stale) {
        service->stale = FALSE;
        g_ptr_array_set_size(service->nearby, 0);
        g_ptr_array_set_size(service->remote, 0);
        cq_list_t *link = service->upstreams.next;
        for (; link != &service->upstreams; link = link->next) {
            cq_upstream_t *upstream = CQ_ENTRY(link, cq_upstream_t, link);
            upstream->slot = -1;
            if (upstream->leaving || gone(core, upstream)) {
                continue;
            }
            upstream->near = g_str_equal(upstream->zone, core->zone);
            g_ptr_array_add(upstream->near ? service->nearby : service->remote,
                            upstream);
        }
        keep_subset(core, service->nearby);
        keep_subset(core, service->remote);
        core->placeable = TRUE;
    }
    service->shared_len = shared_len(service);
}

gboolean
cq_place_usable(const cq_core_t *core, const cq_upstream_t *upstream)
{
    if (upstream->leaving || gone(core, upstream) ||
        cq_member_cut_off(core, upstream)) {
        return FALSE;
    }
    return upstream->suspect_until_us <= core->now_us;
}

gint64
cq_place_need(const cq_request_t *request)
{
    return request->prompt_tokens + request->output_tokens;
}

/* Long requests leave a little of each engine to short ones. */
static gint64
usable_kv(const cq_rules_t *rules)
{
    return rules->kv_tokens * (100 - HEADROOM_PERCENT) / 100;
}

static gboolean
fits(const cq_core_t *core, const cq_request_t *request,
     const cq_upstream_t *upstream, gint64 need, gint64 streams_max)
{
    const cq_rules_t *rules = request->service->rules;
    if (!cq_place_usable(core, upstream)) {
        return FALSE;
    }
    if (upstream->id == request->last_failed) {
        return FALSE;
    }
    if (request->model != 0 && !cq_order_has(upstream, request->model)) {
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
    if (request->klass >= CQ_CLASS_LONG) {
        kept_percent = HEADROOM_PERCENT;
    }
    if (request->rank > request->klass) {
        kept_percent = EXCESS_HEADROOM_PERCENT;
    }
    return need <= rules->kv_tokens * (100 - kept_percent) / 100 - used;
}

/* Whether requests of this class keep to the shared engines. */
static gboolean
confined(const cq_request_t *request)
{
    return request->klass == CQ_CLASS_GIANT;
}

static guint
shared_part(const cq_service_t *service, const GPtrArray *upstreams)
{
    if (service->nearby->len == 0 || upstreams == service->nearby) {
        return service->shared_len;
    }
    if (service->shared_len == 0) {
        return 0;
    }
    guint scaled = service->shared_len * upstreams->len;
    guint len = (scaled + service->nearby->len - 1) / service->nearby->len;
    return MIN(len, upstreams->len);
}

static gboolean
is_shared(const cq_service_t *service, const cq_upstream_t *upstream)
{
    const GPtrArray *in = upstream->near ? service->nearby : service->remote;
    return (guint)upstream->slot < shared_part(service, in);
}

static cq_upstream_t *
home_of(const GPtrArray *upstreams, guint64 prefix)
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
 * struct choice_t - the best candidate so far
 * @streams_max: streams that a candidate may have
 * @home: the engine where this prefix belongs
 */
typedef struct {
    gint64 streams_max;
    cq_upstream_t *home;
    cq_upstream_t *best;
    gint64 best_us;
} choice_t;

/* Expected time to the first token, plus what placing it there costs other
 * requests, each by the service's weight. */
static gint64
score_us(const cq_core_t *core, const cq_request_t *request,
         const cq_upstream_t *upstream, const cq_upstream_t *home)
{
    const cq_service_t *service = request->service;
    gint64 streams = cq_load_streams(core, upstream);
    gint64 cached = cq_load_cached(upstream, request);
    gint64 own_us =
        cq_load_prefill_us(service, request->prompt_tokens - cached);
    gint64 first_us = cq_load_wait_us(upstream, request->rank, core->now_us);
    first_us += own_us + cq_load_decode_step_us(streams + 1) * 3 / 2;
    if (cq_load_wait_us(upstream, CQ_CLASS_GIANT, core->now_us) > 0) {
        first_us += BUSY_US;
    }
    if (!upstream->near) {
        first_us += REMOTE_US;
    }
    if (upstream == home) {
        first_us -= own_us * HOME_PERCENT / 100;
    }
    gint64 others_us = own_us;
    if (streams >= CQ_STREAMS_TARGET) {
        others_us += (streams - CQ_STREAMS_TARGET + 1) * CROWD_US;
    }
    if (!confined(request) && is_shared(service, upstream)) {
        others_us += SHARED_US;
    }
    gint64 weight = service->rules->first_token_weight;
    return (first_us * (weight + 50) + others_us * (150 - weight)) / 100;
}

static void
consider(const cq_core_t *core, cq_request_t *request, choice_t *choice,
         cq_upstream_t *upstream)
{
    gint64 need = cq_place_need(request);
    if (!fits(core, request, upstream, need, choice->streams_max)) {
        return;
    }
    gint64 wait_us = cq_load_wait_us(upstream, request->rank, core->now_us);
    if (wait_us > wait_max_us[request->klass]) {
        return;
    }
    gint64 us = score_us(core, request, upstream, choice->home);
    if (choice->best == NULL || us < choice->best_us) {
        choice->best = upstream;
        choice->best_us = us;
    }
}

/* Looks at a few candidates in random order, so that hosts with equal
 * knowledge choose differently; at all of them while none is acceptable. */
static void
sample(cq_core_t *core, cq_request_t *request, choice_t *choice,
       const GPtrArray *upstreams, guint samples)
{
    guint len = upstreams->len;
    if (confined(request)) {
        len = MAX(shared_part(request->service, upstreams), 1);
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
choose_within(cq_core_t *core, cq_request_t *request, gint64 streams_max)
{
    cq_service_t *service = request->service;
    choice_t choice = {.streams_max = streams_max};
    if (request->earmark != NULL) {
        consider(core, request, &choice, request->earmark);
        return choice.best;
    }
    if (request->prefixes_len > 0 && !confined(request)) {
        choice.home = home_of(service->nearby, request->prefixes[0].hash);
        if (choice.home != NULL) {
            consider(core, request, &choice, choice.home);
        }
    }
    sample(core, request, &choice, service->nearby, CQ_PLACE_SAMPLES_MAX);
    sample(core, request, &choice, service->remote, CQ_PLACE_SAMPLES_MAX / 2);
    return choice.best;
}

/* Engines beyond their target batch slow every stream they have, so they
 * come only after all others, and not for a team that runs more than its
 * share already; such a team's prefill also gives way to all others. */
static cq_upstream_t *
choose_by_cost(cq_core_t *core, cq_request_t *request)
{
    const cq_rules_t *rules = request->service->rules;
    gint64 target = MIN(rules->streams_target, rules->streams_max);
    gboolean exceeds = cq_usage_exceeds(request);
    request->rank = exceeds ? CQ_CLASS_GIANT : request->klass;
    if (exceeds) {
        target = MAX(target - EXCESS_STREAMS, 1);
    }
    gint64 most = rules->streams_max;
    if (request->klass > CQ_CLASS_SHORT) {
        gint64 percent = SHORT_STREAMS_PERCENT;
        most -= most * percent * (100 - rules->first_token_weight) / 10000;
    }
    cq_upstream_t *upstream = choose_within(core, request, target);
    if (upstream == NULL && most > target && !exceeds) {
        upstream = choose_within(core, request, most);
    }
    return upstream;
}

static cq_upstream_t *
choose_in_turn(cq_core_t *core, const cq_request_t *request)
{
    cq_service_t *service = request->service;
    guint near = service->nearby->len;
    guint len = near + service->remote->len;
    for (guint i = 0; i < len; i++) {
        guint at = service->turn++ % len;
        cq_upstream_t *upstream =
            at < near ? g_ptr_array_index(service->nearby, at)
                      : g_ptr_array_index(service->remote, at - near);
        if (cq_place_usable(core, upstream)) {
            return upstream;
        }
    }
    return NULL;
}

static cq_upstream_t *
choose_least(cq_core_t *core, const cq_request_t *request)
{
    cq_upstream_t *best = NULL;
    cq_service_t *service = request->service;
    guint len = service->nearby->len + service->remote->len;
    for (guint i = 0; i < len; i++) {
        cq_upstream_t *upstream = choose_in_turn(core, request);
        if (upstream == NULL) {
            return NULL;
        }
        if (best == NULL || upstream->own_streams < best->own_streams) {
            best = upstream;
        }
    }
    service->turn++;
    return best;
}

/* Holds an engine free for a long request that found no room for a while,
 * so that shorter ones do not take every bit of memory that gets free. */
static void
mark(cq_core_t *core, cq_request_t *request)
{
    cq_upstream_t *best = NULL;
    const cq_service_t *service = request->service;
    gint64 need = cq_place_need(request);
    if (need > service->rules->kv_tokens) {
        return;
    }
    guint len = service->nearby->len;
    if (confined(request)) {
        len = MAX(service->shared_len, 1);
        len = MIN(len, service->nearby->len);
    }
    for (guint i = 0; i < len; i++) {
        cq_upstream_t *upstream = g_ptr_array_index(service->nearby, i);
        if (!cq_place_usable(core, upstream)) {
            continue;
        }
        gint64 kv = cq_load_kv(core, upstream);
        if (best == NULL || kv < cq_load_kv(core, best)) {
            best = upstream;
        }
    }
    gint64 limit = service->rules->kv_tokens;
    if (best == NULL || cq_load_kv(core, best) >= limit) {
        return;
    }
    request->earmark = best;
    request->earmark_until_us = core->now_us + EARMARK_US;
    cq_load_hold(core, best, need);
    cq_table_note(core, request, "earmark", "upstream=%s", best->name);
}

void
cq_place_unmark(cq_core_t *core, cq_request_t *request)
{
    if (request->earmark == NULL) {
        return;
    }
    cq_load_hold(core, request->earmark, -cq_place_need(request));
    request->earmark = NULL;
    core->placeable = TRUE;
}

cq_upstream_t *
cq_place_baseline(cq_core_t *core, const cq_request_t *request)
{
    switch (core->policy) {
    case CQ_POLICY_ROUND_ROBIN:
        return choose_in_turn(core, request);
    case CQ_POLICY_LEAST_REQUESTS:
        return choose_least(core, request);
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
    gboolean old = request->earmark_until_us <= core->now_us;
    if (request->earmark != NULL &&
        (old || !cq_place_usable(core, request->earmark))) {
        cq_place_unmark(core, request);
    }
    cq_upstream_t *upstream = choose_by_cost(core, request);
    gint64 waited_us = core->now_us - request->phase_us;
    if (upstream == NULL && request->earmark == NULL &&
        request->klass >= CQ_CLASS_LONG && waited_us > EARMARK_AFTER_US) {
        mark(core, request);
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
    gint64 whole = usable_kv(rules);
    return (guint)((cq_place_need(request) + whole - 1) / whole);
}

static void
add_members(cq_core_t *core, cq_request_t *request, const GPtrArray *from,
            guint size, gint64 part)
{
    gint64 streams_max = request->service->rules->streams_max;
    for (guint i = 0; i < from->len && request->group_len < size; i++) {
        cq_upstream_t *upstream = g_ptr_array_index(from, i);
        if (fits(core, request, upstream, part, streams_max)) {
            request->group[request->group_len++] = upstream;
        }
    }
}

static gboolean
try_group(cq_core_t *core, cq_request_t *request, guint size)
{
    const cq_service_t *service = request->service;
    gint64 part = cq_place_need(request) / size + 1;
    request->group_len = 0;
    add_members(core, request, service->nearby, size, part);
    add_members(core, request, service->remote, size, part);
    if (request->group_len < size) {
        request->group_len = 0;
        return FALSE;
    }
    return TRUE;
}

/* More engines than needed each find their part of the memory sooner, and
 * compute the prompt faster. */
gboolean
cq_place_group(cq_core_t *core, cq_request_t *request)
{
    const cq_rules_t *rules = request->service->rules;
    guint least = cq_place_group_size(request);
    gint64 part = rules->kv_tokens * GROUP_FILL_PERCENT / 100;
    guint most = (guint)((cq_place_need(request) + part - 1) / part);
    most = MIN(most, (guint)rules->group_max);
    g_assert(most <= CQ_GROUP_MAX);
    for (guint size = most; size >= least; size--) {
        if (try_group(core, request, size)) {
            return TRUE;
        }
    }
    return FALSE;
}
