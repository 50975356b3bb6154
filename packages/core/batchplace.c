#include "core/batchplace.h"

#include <string.h>

#include "core/answer.h"
#include "core/batchcost.h"
#include "core/booking.h"
#include "core/candidate.h"
#include "core/flow.h"
#include "core/group.h"
#include "core/lending.h"
#include "core/load.h"
#include "core/pass.h"
#include "core/place.h"
#include "core/rate.h"
#include "core/attempt.h"

/* Part of the target time that is kept for the network to and from the
 * engine. */
#define NETWORK_MARGIN_US (25 * CQ_MS_US)
/* Prompts with at most this much prefill are short: one engine prefills them,
 * together with others. */
#define SHORT_PREFILL_US (150 * CQ_MS_US)
/* Hosts that place short prompts at the same moment would all choose the same
 * engine. So each chooses one at random among the engines that it ranks best:
 * one engine, plus one for every HOSTS_PER_CHOICE other hosts, and at most
 * CHOICES_MAX. */
#define HOSTS_PER_CHOICE 8
#define CHOICES_MAX 8
/* The largest share of an engine's memory that one request may take. Larger
 * requests are held by several engines, since an engine rarely has all of its
 * memory free. */
#define PROMPT_MEMORY_PERCENT 60
/* Share of the engines that a long prompt may use if that is enough to be on
 * time. The others are left to short prompts that arrive meanwhile: with only
 * a fifth of the engines left, short prompts waited until they were refused
 * (test suite Longest). */
#define LONG_ENGINES_PERCENT 60
/* Prefill time of one part of a long prompt: the usual and the longest. */
#define PART_TARGET_US (250 * CQ_MS_US)
#define PART_MAX_US (600 * CQ_MS_US)
/* Shorter parts cost more coordination than they save. */
#define PART_MIN_US (60 * CQ_MS_US)
/* This many parts are enough to start any prompt that they can hold, even if
 * each part then takes longer than PART_MAX_US. */
#define PARTS_MIN_CAP 8U
/* A long prompt that has waited for BREAK_GAPS_WAIT_US may make streams exceed
 * their gap limit: one stream for each PREFILL_US_PER_BROKEN_GAP of its
 * prefill time, and at most BROKEN_GAPS_MAX. */
#define BREAK_GAPS_WAIT_US (150 * CQ_MS_US)
#define PREFILL_US_PER_BROKEN_GAP (300 * CQ_MS_US)
#define BROKEN_GAPS_MAX 6
/* Hosts learn at the same moment that an engine is free, and then book it at
 * the same moment. A booking begins no sooner than this, so that each host has
 * received the bookings of the others and conflicts are resolved. */
#define BOOKING_DELAY_MIN_US (4 * CQ_MS_US)
/* A new process waits at most this long for its peers' summaries. */
#define PEERS_WAIT_MAX_US CQ_SECOND_US
/* Engines are booked at most this far ahead: long enough for many of them to
 * become free together, and no longer than shorter prompts can wait. */
#define BOOKING_AHEAD_MAX_US (300 * CQ_MS_US)

/* Number of engines among which the memory of @request is divided. */
static guint
holders_needed(const cq_request_t *request)
{
    const cq_engine_speed_t *speed = &request->service->rules->speed;
    gint64 need = cq_place_need_tokens(request);
    gint64 part_max = speed->memory_tokens * PROMPT_MEMORY_PERCENT / 100;
    return (guint)MIN((need + part_max - 1) / part_max, CQ_PREFILL_GROUP_MAX);
}

static gboolean
can_hold(const cq_request_t *request, const cq_candidate_t *candidate)
{
    const cq_engine_speed_t *speed = &request->service->rules->speed;
    gint64 part = cq_place_need_tokens(request) / holders_needed(request) + 1;
    gint64 held = candidate->pass.kv_tokens +
                  candidate->engine->own_kv_tokens +
                  candidate->engine->peer_kv_tokens;
    return held + part <= speed->memory_tokens;
}

static gboolean
can_decode(const cq_request_t *request, const cq_candidate_t *candidate)
{
    const cq_engine_speed_t *speed = &request->service->rules->speed;
    return !candidate->parts_only && candidate->pass.streams < speed->slots &&
           can_hold(request, candidate);
}

/* Whether a part that is booked on the engine would make the stream of
 * @request exceed its gap limit, or would be delayed by @request, whose first
 * token is expected after @first_token_us. */
static gboolean
conflicts_with_booking(const cq_request_t *request,
                       const cq_candidate_t *candidate, gint64 first_token_us)
{
    const cq_pass_t *pass = &candidate->pass;
    gint64 pass_us = candidate->decode_us + pass->booked_part_us;
    return pass->next_booking_us != G_MAXINT64 &&
           (first_token_us > pass->next_booking_us ||
            pass_us > request->gap_max_us * CQ_PASS_GAP_PERCENT / 100);
}

/* Whether @candidate is better than @best. Retries go to the engine that
 * begins soonest; other requests to the one with the most streams, so that
 * whole engines stay free, but first to those with a first token in
 * @safe_us. */
static gboolean
is_better(const cq_request_t *request, const cq_candidate_t *candidate,
          const cq_candidate_t *best, gint64 prefill_us, gint64 safe_us)
{
    if (candidate->recheck_due != best->recheck_due) {
        return candidate->recheck_due;
    }
    gint64 first_us = cq_candidate_first_token_us(candidate, prefill_us);
    gint64 best_us = cq_candidate_first_token_us(best, prefill_us);
    gint64 sooner_us = best_us - first_us;
    if (request->attempt == 0 &&
        (first_us <= safe_us) != (best_us <= safe_us)) {
        return first_us <= safe_us;
    }
    gint64 fuller = candidate->pass.streams - best->pass.streams;
    if (request->attempt > 0 || fuller == 0) {
        return sooner_us > 0;
    }
    return fuller > 0;
}

static void
plan_single(const cq_candidate_t *candidate, gint64 prefill_us,
            cq_task_plan_t *plan)
{
    plan->engines[0] = candidate->engine;
    plan->engines_len = 1;
    plan->part_us = prefill_us;
    plan->wait_us = candidate->wait_us;
    plan->first_token_us = cq_candidate_first_token_us(candidate, prefill_us);
}

static guint
choices_count(const cq_core_t *core, const cq_request_t *request)
{
    if (request->attempt > 0) {
        return 1;
    }
    guint others = g_hash_table_size(core->peer_by_host);
    return MIN(1 + others / HOSTS_PER_CHOICE, CHOICES_MAX);
}

/* Chooses one of the best engines that keep the gap limit of every stream. */
static gboolean
plan_short(cq_core_t *core, const cq_request_t *request,
           const cq_candidate_list_t *candidates, gint64 prefill_us,
           gint64 left_us, cq_task_plan_t *plan)
{
    const cq_candidate_t *best[CHOICES_MAX + 1];
    guint len_max = choices_count(core, request);
    gint64 safe_us = left_us - cq_task_slack_us(request);
    guint len = 0;
    for (guint i = 0; i < candidates->len; i++) {
        const cq_candidate_t *candidate = &candidates->items[i];
        gint64 first_token_us =
            cq_candidate_first_token_us(candidate, prefill_us);
        if (candidate->prefill_room_us < prefill_us ||
            first_token_us > left_us || !can_decode(request, candidate) ||
            conflicts_with_booking(request, candidate, first_token_us)) {
            continue;
        }
        guint slot = len;
        for (; slot > 0 && is_better(request, candidate, best[slot - 1],
                                     prefill_us, safe_us);
             slot--) {
            best[slot] = best[slot - 1];
        }
        best[slot] = candidate;
        len = MIN(len + 1, len_max);
    }
    if (len == 0) {
        return FALSE;
    }
    guint chosen =
        len > 1 ? (guint)g_rand_int_range(core->rand, 0, (gint32)len) : 0;
    plan_single(best[chosen], prefill_us, plan);
    return TRUE;
}

/* Time until an engine can begin a part: before the first booking if the part
 * is done by then, else after the last booking. */
static gint64
begin_delay_us(const cq_candidate_t *candidate, gint64 part_us)
{
    const cq_pass_t *pass = &candidate->pass;
    gint64 earliest_us =
        pass->busy_us <= CQ_BOOKING_PENDING_MAX_US ? 0 : pass->busy_us;
    gint64 done_us =
        earliest_us + cq_candidate_first_token_us(candidate, part_us);
    return done_us <= pass->next_booking_us ? earliest_us
                                            : pass->idle_after_us;
}

/**
 * struct part_option_t - an engine that can take a part
 * @gaps_broken: streams whose gap limit the part exceeds
 * @begin_delay_us: time until the engine can begin
 */
typedef struct {
    const cq_candidate_t *candidate;
    guint gaps_broken;
    gint64 begin_delay_us;
} part_option_t;

/* Orders by broken gap limits, then by start, then by streams: an engine
 * without streams runs the parts back to back. */
static gint
compare_options(gconstpointer a, gconstpointer b)
{
    const part_option_t *x = a;
    const part_option_t *y = b;
    if (x->gaps_broken != y->gaps_broken) {
        return x->gaps_broken < y->gaps_broken ? -1 : 1;
    }
    if (x->begin_delay_us != y->begin_delay_us) {
        return x->begin_delay_us < y->begin_delay_us ? -1 : 1;
    }
    gint64 x_streams = x->candidate->pass.streams;
    gint64 y_streams = y->candidate->pass.streams;
    return x_streams < y_streams ? -1 : x_streams > y_streams;
}

/* Lists the engines on which a part of @part_us exceeds the gap limit of at
 * most @gaps_broken_max streams, the best ones first. An engine with a rate
 * limit gets no parts: they would count against it, and can't be shared out
 * ahead. One that is cold is limited in whole requests only. */
static guint
list_part_options(const cq_candidate_list_t *candidates, gint64 part_us,
                  guint gaps_broken_max, part_option_t *options)
{
    guint len = 0;
    for (guint i = 0; i < candidates->len; i++) {
        const cq_candidate_t *candidate = &candidates->items[i];
        if (candidate->engine->rate.limited) {
            continue;
        }
        guint gaps_broken = candidate->prefill_room_us < part_us
                                ? candidate->pass.tight_streams
                                : 0;
        if (gaps_broken <= gaps_broken_max) {
            options[len].candidate = candidate;
            options[len].gaps_broken = gaps_broken;
            options[len++].begin_delay_us = begin_delay_us(candidate, part_us);
        }
    }
    qsort(options, len, sizeof(part_option_t), compare_options);
    return len;
}

/* Gives one part to each of the @parts best engines. Among them, the one that
 * can decode and has the most streams becomes the first, which decodes. */
static gboolean
plan_parts(const cq_request_t *request, const cq_candidate_list_t *candidates,
           guint parts, gint64 prefill_us, guint gaps_broken_max,
           cq_task_plan_t *plan)
{
    const cq_candidate_t *decoder = NULL;
    guint decoder_index = 0;
    guint more_holders_needed = holders_needed(request) - 1;
    *plan = (cq_task_plan_t){.part_us = prefill_us / parts};
    part_option_t options[2 * CQ_UPSTREAM_SUBSET_MAX];
    guint len =
        list_part_options(candidates, plan->part_us, gaps_broken_max, options);
    gint64 final_pass_us = 0;
    guint gaps_broken = 0;
    for (guint i = 0; i < len && plan->engines_len < parts; i++) {
        const cq_candidate_t *candidate = options[i].candidate;
        gboolean is_last = plan->engines_len + 1 == parts;
        gboolean decodes = can_decode(request, candidate) &&
                           !cq_rate_is_bounded(candidate->engine);
        if (is_last && decoder == NULL && !decodes) {
            continue;
        }
        if (decodes && (decoder == NULL ||
                        candidate->pass.streams > decoder->pass.streams)) {
            decoder = candidate;
            decoder_index = plan->engines_len;
        }
        else if (can_hold(request, candidate) &&
                 plan->holders_len < more_holders_needed) {
            plan->holders[plan->holders_len++] = candidate->engine;
        }
        plan->engines[plan->engines_len++] = candidate->engine;
        gaps_broken += options[i].gaps_broken;
        plan->start_delay_us =
            MAX(plan->start_delay_us,
                MAX(options[i].begin_delay_us, BOOKING_DELAY_MIN_US));
        gint64 pass_decode_us =
            candidate->pass.decoding ? candidate->decode_us : 0;
        plan->wait_us = MAX(plan->wait_us, pass_decode_us / 2);
        final_pass_us = MAX(final_pass_us, pass_decode_us);
    }
    if (decoder == NULL || plan->engines_len < parts ||
        plan->holders_len < more_holders_needed ||
        gaps_broken > gaps_broken_max) {
        return FALSE;
    }
    plan->engines[decoder_index] = plan->engines[0];
    plan->engines[0] = decoder->engine;
    plan->first_token_us =
        plan->start_delay_us + plan->wait_us + plan->part_us + final_pass_us;
    return TRUE;
}

static void
try_parts(const cq_request_t *request, const cq_candidate_list_t *candidates,
          guint parts, gint64 prefill_us, guint gaps_broken_max,
          cq_task_plan_t *plan)
{
    cq_task_plan_t alternative;
    if (plan_parts(request, candidates, parts, prefill_us, gaps_broken_max,
                   &alternative) &&
        alternative.start_delay_us <= BOOKING_AHEAD_MAX_US &&
        alternative.first_token_us < plan->first_token_us) {
        *plan = alternative;
    }
}

/* Several engines prefill a long prompt in parallel, at once or booked for
 * when they are free. Takes the number of parts with the earliest first token,
 * with parts that are long enough to be worth the passes that they interrupt.
 * Exceeds LONG_ENGINES_PERCENT of the engines only if the prompt would be late
 * otherwise. */
static gboolean
plan_long(const cq_request_t *request, const cq_candidate_list_t *candidates,
          gint64 prefill_us, gint64 left_us, guint gaps_broken_max,
          cq_task_plan_t *plan)
{
    guint parts_max =
        (guint)CLAMP(prefill_us / PART_TARGET_US, 1, CQ_PREFILL_GROUP_MAX);
    guint parts_min = (guint)(prefill_us / PART_MAX_US + 1);
    parts_min = MAX(MIN(parts_min, PARTS_MIN_CAP), holders_needed(request));
    parts_max = MAX(parts_max, parts_min);
    guint usual_max =
        MAX(candidates->len * LONG_ENGINES_PERCENT / 100, parts_min);
    plan->first_token_us = G_MAXINT64;
    for (guint parts = MIN(parts_max, usual_max); parts >= parts_min;
         parts--) {
        try_parts(request, candidates, parts, prefill_us, gaps_broken_max,
                  plan);
    }
    for (guint parts = usual_max + 1;
         parts <= parts_max && plan->first_token_us > left_us; parts++) {
        try_parts(request, candidates, parts, prefill_us, gaps_broken_max,
                  plan);
    }
    /* If every engine has streams with short gap limits, use smaller parts
     * that fit into their passes. */
    guint parts_limit =
        (guint)MIN(prefill_us / PART_MIN_US, CQ_PREFILL_GROUP_MAX);
    while (plan->first_token_us > left_us && parts_max < parts_limit) {
        try_parts(request, candidates, ++parts_max, prefill_us,
                  gaps_broken_max, plan);
    }
    return plan->first_token_us <= left_us;
}

/* A process that has just started does not know what its peers have placed on
 * the engines until their summaries arrive. */
static gboolean
peer_load_known(const cq_core_t *core)
{
    if (core->now_us - core->started_us > PEERS_WAIT_MAX_US) {
        return TRUE;
    }
    return core->host_list_received && !cq_load_peer_missing(core);
}

/* While the load of the peers is not known, short prompts are placed at
 * random, so that no engine gets many of them. */
static gboolean
plan_at_random(cq_core_t *core, const cq_request_t *request,
               const cq_candidate_list_t *candidates, gint64 prefill_us,
               cq_task_plan_t *plan)
{
    if (candidates->len == 0) {
        return FALSE;
    }
    guint chosen =
        (guint)g_rand_int_range(core->rand, 0, (gint32)candidates->len);
    const cq_candidate_t *candidate = &candidates->items[chosen];
    if (!can_decode(request, candidate)) {
        return FALSE;
    }
    plan_single(candidate, prefill_us, plan);
    return TRUE;
}

/* Baselines of the benchmarks: one engine, whatever its load. */
static gboolean
plan_baseline(cq_core_t *core, const cq_request_t *request, gint64 prefill_us,
              cq_task_plan_t *plan)
{
    plan->engines[0] = cq_place_baseline(core, request);
    plan->engines_len = 1;
    plan->part_us = prefill_us;
    plan->first_token_us = prefill_us;
    return plan->engines[0] != NULL;
}

static gboolean
choose_among(cq_core_t *core, const cq_request_t *request, gboolean late,
             const cq_candidate_list_t *candidates, gint64 prefill_us,
             cq_task_plan_t *plan)
{
    gint64 until_us = late ? request->deadline_us : request->target_us;
    gint64 left_us = until_us - core->now_us - NETWORK_MARGIN_US;
    gboolean is_short_prompt = cq_batchplace_takes_one(request);
    if (!peer_load_known(core)) {
        return is_short_prompt &&
               plan_at_random(core, request, candidates, prefill_us, plan);
    }
    if (is_short_prompt) {
        return plan_short(core, request, candidates, prefill_us, left_us,
                          plan);
    }
    if (plan_long(request, candidates, prefill_us, left_us, 0, plan)) {
        return TRUE;
    }
    /* It is better to delay one event of a few streams than to answer a long
     * prompt seconds late; the longer the prompt, the more streams. */
    gint64 waited_us = core->now_us - request->arrived_us;
    guint gaps_broken_max =
        (guint)MIN(prefill_us / PREFILL_US_PER_BROKEN_GAP, BROKEN_GAPS_MAX);
    return !late && gaps_broken_max > 0 && waited_us > BREAK_GAPS_WAIT_US &&
           plan_long(request, candidates, prefill_us, left_us, gaps_broken_max,
                     plan);
}

gboolean
cq_batchplace_takes_one(const cq_request_t *request)
{
    const cq_rules_t *rules = request->service->rules;
    return rules->kind != CQ_SERVICE_BATCH ||
           cq_batchcost_prefill_us(&rules->speed, request->prompt_tokens) <=
               SHORT_PREFILL_US;
}

gboolean
cq_batchplace_choose(cq_core_t *core, const cq_request_t *request,
                     gboolean late, cq_task_plan_t *plan)
{
    const cq_service_t *service = request->service;
    gint64 prefill_us = cq_batchcost_prefill_us(&service->rules->speed,
                                                request->prompt_tokens);
    if (core->policy != CQ_POLICY_COST) {
        return plan_baseline(core, request, prefill_us, plan);
    }
    cq_candidate_list_t candidates = {.len = 0};
    cq_candidate_add_all(core, request, service->local, &candidates);
    /* In cells, placements of other zones' hosts are not known here. */
    if (!core->has_cells || candidates.len == 0) {
        cq_candidate_add_all(core, request, service->remote, &candidates);
    }
    if (choose_among(core, request, late, &candidates, prefill_us, plan)) {
        return TRUE;
    }
    if (!core->has_cells) {
        return FALSE;
    }
    cq_lending_request(core);
    return cq_candidate_add_offered(core, request, &candidates) &&
           choose_among(core, request, late, &candidates, prefill_us, plan);
}

static gint
compare_targets(gconstpointer a, gconstpointer b)
{
    const cq_request_t *x = *(cq_request_t *const *)a;
    const cq_request_t *y = *(cq_request_t *const *)b;
    return x->target_us < y->target_us ? -1 : x->target_us > y->target_us;
}

static GPtrArray *
queued_requests(const cq_core_t *core, const cq_service_t *service)
{
    GPtrArray *queued = g_ptr_array_new();
    cq_list_t *link = core->requests.next;
    for (; link != &core->requests; link = link->next) {
        cq_request_t *request = CQ_ENTRY(link, cq_request_t, link);
        if (request->service == service && request->phase == CQ_PHASE_QUEUED) {
            g_ptr_array_add(queued, request);
        }
    }
    g_ptr_array_sort(queued, compare_targets);
    return queued;
}

static void
start_request(cq_core_t *core, cq_request_t *request)
{
    cq_flow_dequeue(request);
    cq_task_start(core, request);
    if (request->holders_len == 0) {
        cq_attempt_start(core, request, request->task->engines[0]);
        return;
    }
    request->group_len = request->holders_len;
    cq_group_reserve(core, request);
}

static gboolean
place_request(cq_core_t *core, cq_request_t *request, gboolean late)
{
    cq_task_plan_t plan = {.engines_len = 0};
    if (!cq_batchplace_choose(core, request, late, &plan)) {
        return FALSE;
    }
    cq_task_open(core, request, &plan);
    memcpy(request->group, plan.holders, sizeof request->group);
    request->holders_len = plan.holders_len;
    if (plan.start_delay_us == 0) {
        start_request(core, request);
    }
    return TRUE;
}

/* Sends a booked request if its engines are free. Drops the booking if an
 * engine is lost or another booking has precedence; the request is then placed
 * anew. */
static void
update_booking(cq_core_t *core, cq_request_t *request)
{
    if (!cq_booking_usable(core, request) ||
        cq_booking_superseded(request->task)) {
        cq_task_close(core, request);
    }
    else if (cq_booking_due(core, request->task)) {
        start_request(core, request);
    }
}

static gboolean
is_unplaced(const cq_request_t *request)
{
    return request->phase == CQ_PHASE_QUEUED && request->task == NULL;
}

static gboolean
can_be_on_time(const cq_core_t *core, const cq_request_t *request)
{
    return request->target_us > core->now_us + NETWORK_MARGIN_US;
}

gboolean
cq_batchplace_any_waits(const cq_core_t *core, const cq_service_t *service)
{
    const cq_list_t *link = core->requests.next;
    for (; link != &core->requests; link = link->next) {
        const cq_request_t *request = CQ_ENTRY(link, cq_request_t, link);
        if (request->service == service && is_unplaced(request) &&
            can_be_on_time(core, request)) {
            return TRUE;
        }
    }
    return FALSE;
}

void
cq_batchplace_queued(cq_core_t *core, cq_service_t *service)
{
    GPtrArray *queued = queued_requests(core, service);
    gboolean on_time_request_waits = FALSE;
    for (guint i = 0; i < queued->len; i++) {
        cq_request_t *request = g_ptr_array_index(queued, i);
        if (request->task != NULL) {
            update_booking(core, request);
        }
    }
    for (guint i = 0; i < queued->len; i++) {
        cq_request_t *request = g_ptr_array_index(queued, i);
        if (is_unplaced(request) && can_be_on_time(core, request) &&
            !place_request(core, request, FALSE)) {
            on_time_request_waits = TRUE;
        }
    }
    for (guint i = 0; i < queued->len && !on_time_request_waits; i++) {
        cq_request_t *request = g_ptr_array_index(queued, i);
        if (is_unplaced(request)) {
            place_request(core, request, TRUE);
        }
    }
    g_ptr_array_unref(queued);
}
