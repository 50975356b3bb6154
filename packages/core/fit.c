#include "core/fit.h"

#include <string.h>

#include "core/answer.h"
#include "core/batch.h"
#include "core/book.h"
#include "core/flow.h"
#include "core/group.h"
#include "core/load.h"
#include "core/pass.h"
#include "core/place.h"
#include "core/send.h"

/* Part of a stream's longest pause that a pass may take. */
#define GAP_PERCENT 85
/* Time kept back from the aim for the way to and from the engine. */
#define MARGIN_US (25 * CQ_MS_US)
/* A prompt that is read within this time shares an engine with others. */
#define SHORT_US (150 * CQ_MS_US)
/* Hosts that place short prompts at the same moment fill the same engine. For
 * each so many hosts there is one more engine to draw from. */
#define HOSTS_A_CHOICE 8
#define CHOICES_MAX 8
/* Part of an engine's memory that one prompt takes there; a longer one is
 * held by several engines, since hardly any has all of its memory free. */
#define HOLD_PERCENT 60
/* Part of the engines within which a long prompt is read where that is on
 * time: the others take the short ones that come meanwhile, and with a fifth
 * of them those waited until they were refused (test Longest). */
#define FAIR_PERCENT 60
/* The usual time of one part of a long prompt, and the longest one. */
#define PART_US (250 * CQ_MS_US)
#define PART_MAX_US (600 * CQ_MS_US)
/* Smaller parts are not worth the coordination. */
#define PART_MIN_US (60 * CQ_MS_US)
/* So many engines are enough to begin with the very longest prompts. */
#define GROUP_LEAST 8U
/* A long prompt that has waited so long may break one stream's pause for each
 * such time of its reading, and no more than a few. */
#define HARM_WAIT_US (150 * CQ_MS_US)
#define HARM_US (300 * CQ_MS_US)
#define HARM_MAX 6
/* Hosts that hear of a free engine at the same moment book it at the same
 * moment. Bookings begin no sooner than each host knows of the others'. */
#define SETTLE_US (4 * CQ_MS_US)
/* A new process waits so long to hear its peers. */
#define LEARN_US CQ_SECOND_US
/* Engines are booked at most this far ahead: long enough for many of them to
 * get free together, and no longer than shorter prompts can wait. */
#define AHEAD_US (300 * CQ_MS_US)

/**
 * struct seat_t - an engine as a request finds it
 * @pass: where it stands
 * @steps_us: token steps of a pass once the request writes there
 * @wait_us: time until its reading could begin
 * @room_us: reading that its streams allow in the next pass
 */
typedef struct {
    cq_upstream_t *engine;
    cq_pass_t pass;
    gint64 steps_us;
    gint64 wait_us;
    gint64 room_us;
} seat_t;

typedef struct {
    seat_t seats[2 * CQ_UPSTREAM_SUBSET_MAX];
    guint len;
} survey_t;

static void
look_at(const cq_core_t *core, const cq_request_t *request,
        cq_upstream_t *engine, seat_t *seat)
{
    const cq_engine_speed_t *speed = &request->service->rules->speed;
    *seat = (seat_t){.engine = engine, .room_us = G_MAXINT64};
    cq_pass_t *pass = &seat->pass;
    cq_pass_look(core, engine, pass);
    seat->steps_us = cq_batchcost_decode_us(
        speed, pass->streams + 1, pass->context + request->prompt_tokens);
    seat->wait_us = pass->left_us + (pass->writes ? pass->queued_us : 0);
    if (pass->gap_us != G_MAXINT64) {
        gint64 pass_us = pass->gap_us * GAP_PERCENT / 100;
        seat->room_us = pass_us - seat->steps_us - pass->queued_us;
    }
}

static void
look_at_all(const cq_core_t *core, const cq_request_t *request,
            const GPtrArray *upstreams, survey_t *survey)
{
    for (guint i = 0; i < upstreams->len; i++) {
        cq_upstream_t *engine = g_ptr_array_index(upstreams, i);
        if (!cq_place_usable(core, engine) ||
            engine->id == request->last_failed) {
            continue;
        }
        look_at(core, request, engine, &survey->seats[survey->len++]);
    }
}

static gint64
first_us(const seat_t *seat, gint64 part_us)
{
    gint64 steps_us = seat->pass.streams > 0 ? seat->steps_us : 0;
    return seat->wait_us + part_us + steps_us;
}

/* Engines among which the memory of @request is divided. */
static guint
holders(const cq_request_t *request)
{
    const cq_engine_speed_t *speed = &request->service->rules->speed;
    gint64 need = cq_place_need(request);
    gint64 part = speed->memory_tokens * HOLD_PERCENT / 100;
    return (guint)MIN((need + part - 1) / part, CQ_GROUP_MAX);
}

static gboolean
can_hold(const cq_request_t *request, const seat_t *seat)
{
    const cq_engine_speed_t *speed = &request->service->rules->speed;
    gint64 part = cq_place_need(request) / holders(request) + 1;
    gint64 held = seat->pass.memory + seat->engine->own_kv_tokens +
                  seat->engine->peer_kv_tokens;
    return held + part <= speed->memory_tokens;
}

static gboolean
can_write(const cq_request_t *request, const seat_t *seat)
{
    const cq_engine_speed_t *speed = &request->service->rules->speed;
    return seat->pass.streams < speed->slots && can_hold(request, seat);
}

/* Whether a part that is booked on the engine would break the pauses of
 * @request, or has to wait for it. */
static gboolean
disturbed(const cq_request_t *request, const seat_t *seat, gint64 done_us)
{
    const cq_pass_t *pass = &seat->pass;
    gint64 pass_us = seat->steps_us + pass->booked_us;
    return pass->next_us != G_MAXINT64 &&
           (done_us > pass->next_us ||
            pass_us > request->gap_us * GAP_PERCENT / 100);
}

/* A stream that was broken off, or a request that failed elsewhere, goes where
 * it begins soonest; any other to the fullest engine. */
static gboolean
better(const cq_request_t *request, const seat_t *seat, const seat_t *best,
       gint64 read_us)
{
    gint64 sooner_us = first_us(best, read_us) - first_us(seat, read_us);
    gint64 fuller = seat->pass.streams - best->pass.streams;
    if (request->attempt > 0 || fuller == 0) {
        return sooner_us > 0;
    }
    return fuller > 0;
}

static void
read_at_one(const seat_t *seat, gint64 read_us, cq_task_plan_t *plan)
{
    plan->engines[0] = seat->engine;
    plan->engines_len = 1;
    plan->part_us = read_us;
    plan->wait_us = seat->wait_us;
    plan->first_us = first_us(seat, read_us);
}

static guint
choices(const cq_core_t *core, const cq_request_t *request)
{
    if (request->attempt > 0) {
        return 1;
    }
    guint others = g_hash_table_size(core->peer_by_host);
    return MIN(1 + others / HOSTS_A_CHOICE, CHOICES_MAX);
}

/* One of the best engines that keep every stream's pause. */
static gboolean
pack(cq_core_t *core, const cq_request_t *request, const survey_t *survey,
     gint64 read_us, gint64 left_us, cq_task_plan_t *plan)
{
    const seat_t *best[CHOICES_MAX + 1];
    guint most = choices(core, request);
    guint len = 0;
    for (guint i = 0; i < survey->len; i++) {
        const seat_t *seat = &survey->seats[i];
        gint64 us = first_us(seat, read_us);
        if (seat->room_us < read_us || us > left_us ||
            !can_write(request, seat) || disturbed(request, seat, us)) {
            continue;
        }
        guint at = len;
        for (; at > 0 && better(request, seat, best[at - 1], read_us); at--) {
            best[at] = best[at - 1];
        }
        best[at] = seat;
        len = MIN(len + 1, most);
    }
    if (len == 0) {
        return FALSE;
    }
    guint at =
        len > 1 ? (guint)g_rand_int_range(core->rand, 0, (gint32)len) : 0;
    read_at_one(best[at], read_us, plan);
    return TRUE;
}

/* Time until an engine can begin a part: now, when it is done before the
 * first booking, else after the last one. */
static gint64
begin_us(const seat_t *seat, gint64 part_us)
{
    const cq_pass_t *pass = &seat->pass;
    gint64 now_us = pass->busy_us <= CQ_BOOK_PENDING_US ? 0 : pass->busy_us;
    gint64 done_us = now_us + first_us(seat, part_us);
    return done_us <= pass->next_us ? now_us : pass->free_us;
}

/**
 * struct offer_t - an engine that can take a part
 * @broken: streams whose pauses the part breaks
 * @begin_us: time until it can begin
 */
typedef struct {
    const seat_t *seat;
    guint broken;
    gint64 begin_us;
} offer_t;

/* Engines without streams first: on them nothing comes between the parts. */
static gint
by_begin(gconstpointer a, gconstpointer b)
{
    const offer_t *x = a;
    const offer_t *y = b;
    if (x->broken != y->broken) {
        return x->broken < y->broken ? -1 : 1;
    }
    if (x->begin_us != y->begin_us) {
        return x->begin_us < y->begin_us ? -1 : 1;
    }
    gint64 p = x->seat->pass.streams;
    gint64 q = y->seat->pass.streams;
    return p < q ? -1 : p > q;
}

/* Engines that allow a part, or have at most @harm streams whose pauses it
 * breaks. */
static guint
list_offers(const survey_t *survey, gint64 part_us, guint harm,
            offer_t *offers)
{
    guint len = 0;
    for (guint i = 0; i < survey->len; i++) {
        const seat_t *seat = &survey->seats[i];
        guint broken = seat->room_us < part_us ? seat->pass.tight : 0;
        if (broken <= harm) {
            offers[len].seat = seat;
            offers[len].broken = broken;
            offers[len++].begin_us = begin_us(seat, part_us);
        }
    }
    qsort(offers, len, sizeof(offer_t), by_begin);
    return len;
}

/* Gives the first engines in order a part each. The one that can write and
 * has most streams already goes first. */
static gboolean
split(const cq_request_t *request, const survey_t *survey, guint parts,
      gint64 read_us, guint harm, cq_task_plan_t *plan)
{
    const seat_t *writer = NULL;
    guint writer_at = 0;
    guint hold = holders(request) - 1;
    *plan = (cq_task_plan_t){.part_us = read_us / parts};
    offer_t offers[2 * CQ_UPSTREAM_SUBSET_MAX];
    guint len = list_offers(survey, plan->part_us, harm, offers);
    gint64 after_us = 0;
    guint broken = 0;
    for (guint i = 0; i < len && plan->engines_len < parts; i++) {
        const seat_t *seat = offers[i].seat;
        gboolean last = plan->engines_len + 1 == parts;
        gboolean writes = can_write(request, seat);
        if (last && writer == NULL && !writes) {
            continue;
        }
        if (writes &&
            (writer == NULL || seat->pass.streams > writer->pass.streams)) {
            writer = seat;
            writer_at = plan->engines_len;
        }
        else if (can_hold(request, seat) && plan->holders_len < hold) {
            plan->holders[plan->holders_len++] = seat->engine;
        }
        plan->engines[plan->engines_len++] = seat->engine;
        broken += offers[i].broken;
        plan->start_us =
            MAX(plan->start_us, MAX(offers[i].begin_us, SETTLE_US));
        gint64 pass_us = seat->pass.writes ? seat->steps_us : 0;
        plan->wait_us = MAX(plan->wait_us, pass_us / 2);
        after_us = MAX(after_us, pass_us);
    }
    if (writer == NULL || plan->engines_len < parts ||
        plan->holders_len < hold || broken > harm) {
        return FALSE;
    }
    plan->engines[writer_at] = plan->engines[0];
    plan->engines[0] = writer->engine;
    plan->first_us = plan->start_us + plan->wait_us + plan->part_us + after_us;
    return TRUE;
}

static void
try_parts(const cq_request_t *request, const survey_t *survey, guint parts,
          gint64 read_us, guint harm, cq_task_plan_t *plan)
{
    cq_task_plan_t one;
    if (split(request, survey, parts, read_us, harm, &one) &&
        one.start_us <= AHEAD_US && one.first_us < plan->first_us) {
        *plan = one;
    }
}

/* All engines together are one fast reader: a long prompt takes the engines
 * with which it is read soonest, now or booked for when they are free, in
 * parts that are long enough to be worth the passes that they interrupt. It
 * takes most of the engines only where it would come late otherwise. */
static gboolean
split_up(const cq_request_t *request, const survey_t *survey, gint64 read_us,
         gint64 left_us, guint harm, cq_task_plan_t *plan)
{
    guint most = (guint)CLAMP(read_us / PART_US, 1, CQ_GROUP_MAX);
    guint least = (guint)(read_us / PART_MAX_US + 1);
    least = MAX(MIN(least, GROUP_LEAST), holders(request));
    most = MAX(most, least);
    guint fair = MAX(survey->len * FAIR_PERCENT / 100, least);
    plan->first_us = G_MAXINT64;
    for (guint parts = MIN(most, fair); parts >= least; parts--) {
        try_parts(request, survey, parts, read_us, harm, plan);
    }
    for (guint parts = fair + 1; parts <= most && plan->first_us > left_us;
         parts++) {
        try_parts(request, survey, parts, read_us, harm, plan);
    }
    /* Where every engine has short streams, in parts that fit beside them. */
    guint small = (guint)MIN(read_us / PART_MIN_US, CQ_GROUP_MAX);
    while (plan->first_us > left_us && most < small) {
        try_parts(request, survey, ++most, read_us, harm, plan);
    }
    return plan->first_us <= left_us;
}

/* A process that has just started does not know what its peers have on the
 * engines before they have told it. */
static gboolean
settled(const cq_core_t *core)
{
    if (core->now_us - core->started_us > LEARN_US) {
        return TRUE;
    }
    return core->listed && !cq_load_blind(core);
}

/* Without that knowledge, short prompts are spread at random, so that none of
 * the engines gets many of them. */
static gboolean
scatter(cq_core_t *core, const cq_request_t *request, const survey_t *survey,
        gint64 read_us, cq_task_plan_t *plan)
{
    if (survey->len == 0) {
        return FALSE;
    }
    guint at = (guint)g_rand_int_range(core->rand, 0, (gint32)survey->len);
    const seat_t *seat = &survey->seats[at];
    if (!can_write(request, seat)) {
        return FALSE;
    }
    read_at_one(seat, read_us, plan);
    return TRUE;
}

/* What the bench compares with: one engine, whatever it has. */
static gboolean
baseline(cq_core_t *core, const cq_request_t *request, gint64 read_us,
         cq_task_plan_t *plan)
{
    plan->engines[0] = cq_place_baseline(core, request);
    plan->engines_len = 1;
    plan->part_us = read_us;
    plan->first_us = read_us;
    return plan->engines[0] != NULL;
}

gboolean
cq_fit_choose(cq_core_t *core, const cq_request_t *request, gboolean late,
              cq_task_plan_t *plan)
{
    const cq_service_t *service = request->service;
    gint64 read_us = cq_batchcost_prefill_us(&service->rules->speed,
                                             request->prompt_tokens);
    if (core->policy != CQ_POLICY_COST) {
        return baseline(core, request, read_us, plan);
    }
    survey_t survey = {.len = 0};
    look_at_all(core, request, service->nearby, &survey);
    look_at_all(core, request, service->remote, &survey);
    gint64 until_us = late ? request->deadline_us : request->aim_us;
    gint64 left_us = until_us - core->now_us - MARGIN_US;
    gboolean is_short = read_us <= SHORT_US;
    if (!settled(core)) {
        return is_short && scatter(core, request, &survey, read_us, plan);
    }
    if (is_short) {
        return pack(core, request, &survey, read_us, left_us, plan);
    }
    if (split_up(request, &survey, read_us, left_us, 0, plan)) {
        return TRUE;
    }
    /* A hiccup of a few short streams is less than a long prompt that comes
     * seconds late; the longer the prompt, the more of them. */
    gint64 waited_us = core->now_us - request->arrived_us;
    guint harm = (guint)MIN(read_us / HARM_US, HARM_MAX);
    return !late && harm > 0 && waited_us > HARM_WAIT_US &&
           split_up(request, &survey, read_us, left_us, harm, plan);
}

static gint
by_aim(gconstpointer a, gconstpointer b)
{
    const cq_request_t *x = *(cq_request_t *const *)a;
    const cq_request_t *y = *(cq_request_t *const *)b;
    return x->aim_us < y->aim_us ? -1 : x->aim_us > y->aim_us;
}

static GPtrArray *
waiting(const cq_core_t *core, const cq_service_t *service)
{
    GPtrArray *found = g_ptr_array_new();
    cq_list_t *link = core->requests.next;
    for (; link != &core->requests; link = link->next) {
        cq_request_t *request = CQ_ENTRY(link, cq_request_t, link);
        if (request->service == service && request->phase == CQ_PHASE_QUEUED) {
            g_ptr_array_add(found, request);
        }
    }
    g_ptr_array_sort(found, by_aim);
    return found;
}

static void
start(cq_core_t *core, cq_request_t *request)
{
    cq_flow_take(request);
    cq_task_start(core, request);
    if (request->holders_len == 0) {
        cq_send_start(core, request, request->task->engines[0]);
        return;
    }
    request->group_len = request->holders_len;
    cq_group_begin(core, request);
}

static gboolean
try_one(cq_core_t *core, cq_request_t *request, gboolean late)
{
    cq_task_plan_t plan = {.engines_len = 0};
    if (!cq_fit_choose(core, request, late, &plan)) {
        return FALSE;
    }
    cq_task_open(core, request, &plan);
    memcpy(request->group, plan.holders, sizeof request->group);
    request->holders_len = plan.holders_len;
    if (plan.start_us == 0) {
        start(core, request);
    }
    return TRUE;
}

/* A booked request is sent when its engines are free, and booked again when
 * one of them is lost. */
static void
follow_booking(cq_core_t *core, cq_request_t *request)
{
    if (!cq_book_usable(core, request->task) ||
        cq_book_beaten(request->task)) {
        cq_task_close(core, request);
    }
    else if (cq_book_due(core, request->task)) {
        start(core, request);
    }
}

void
cq_fit_place(cq_core_t *core, cq_service_t *service)
{
    GPtrArray *found = waiting(core, service);
    gboolean on_time_waits = FALSE;
    for (guint i = 0; i < found->len; i++) {
        cq_request_t *request = g_ptr_array_index(found, i);
        if (request->task != NULL) {
            follow_booking(core, request);
        }
    }
    for (guint i = 0; i < found->len; i++) {
        cq_request_t *request = g_ptr_array_index(found, i);
        gboolean open =
            request->phase == CQ_PHASE_QUEUED && request->task == NULL;
        gboolean can = request->aim_us > core->now_us + MARGIN_US;
        if (open && can && !try_one(core, request, FALSE)) {
            on_time_waits = TRUE;
        }
    }
    for (guint i = 0; i < found->len && !on_time_waits; i++) {
        cq_request_t *request = g_ptr_array_index(found, i);
        if (request->phase == CQ_PHASE_QUEUED && request->task == NULL) {
            try_one(core, request, TRUE);
        }
    }
    g_ptr_array_unref(found);
}
