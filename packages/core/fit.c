#include "core/fit.h"

#include <string.h>

#include "core/answer.h"
#include "core/batch.h"
#include "core/flow.h"
#include "core/group.h"
#include "core/pass.h"
#include "core/place.h"
#include "core/send.h"

/* Part of a stream's longest pause that a pass may take. */
#define GAP_PERCENT 85
/* Time kept back from the aim for the way to and from the engine. */
#define MARGIN_US (25 * CQ_MS_US)
/* A prompt that is read within this time shares an engine with others. */
#define SHORT_US (150 * CQ_MS_US)
/* Part of an engine's memory that one prompt takes there, when it needs the
 * memory of several engines. */
#define HOLD_PERCENT 60
/* The time of one part of a long prompt, and the longest one. */
#define PART_US (250 * CQ_MS_US)
#define PART_MAX_US (600 * CQ_MS_US)
/* So many engines are enough to begin with the very longest prompts. */
#define GROUP_LEAST 8U
/* An engine that has more to read than this is not asked to read a part: the
 * newest reading goes first there, and would delay what was placed before. */
#define PENDING_US (30 * CQ_MS_US)

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
    seat_t seats[2 * CQ_SUBSET_MAX];
    guint len;
} survey_t;

static void
look_at(const cq_core_t *core, const cq_request_t *request,
        cq_upstream_t *engine, seat_t *seat)
{
    const cq_speed_t *speed = &request->service->rules->speed;
    *seat = (seat_t){.engine = engine, .room_us = G_MAXINT64};
    cq_pass_t *pass = &seat->pass;
    cq_pass_look(core, engine, pass);
    seat->steps_us = cq_batch_pass_us(speed, pass->streams + 1,
                                      pass->context + request->prompt_tokens);
    seat->wait_us = pass->left_us + pass->queued_us;
    if (pass->gap_us != G_MAXINT64) {
        gint64 pass_us = pass->gap_us * GAP_PERCENT / 100;
        gint64 reading_us = pass->writes ? pass->queued_us : pass->pending_us;
        seat->room_us = pass_us - seat->steps_us - reading_us;
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
    const cq_speed_t *speed = &request->service->rules->speed;
    gint64 need = cq_place_need(request);
    if (need <= speed->memory_tokens) {
        return 1;
    }
    gint64 part = speed->memory_tokens * HOLD_PERCENT / 100;
    return (guint)MIN((need + part - 1) / part, CQ_GROUP_MAX);
}

static gboolean
can_hold(const cq_request_t *request, const seat_t *seat)
{
    const cq_speed_t *speed = &request->service->rules->speed;
    gint64 part = cq_place_need(request) / holders(request) + 1;
    gint64 held = seat->pass.memory + seat->engine->own_kv_tokens +
                  seat->engine->peer_kv_tokens;
    return held + part <= speed->memory_tokens;
}

static gboolean
can_write(const cq_request_t *request, const seat_t *seat)
{
    const cq_speed_t *speed = &request->service->rules->speed;
    return seat->pass.streams < speed->slots && can_hold(request, seat);
}

/* The fullest engine that keeps every stream's pause. */
static gboolean
pack(const cq_request_t *request, const survey_t *survey, gint64 read_us,
     gint64 left_us, cq_task_plan_t *plan)
{
    const seat_t *best = NULL;
    for (guint i = 0; i < survey->len; i++) {
        const seat_t *seat = &survey->seats[i];
        gint64 us = first_us(seat, read_us);
        if (seat->room_us < read_us || us > left_us ||
            !can_write(request, seat)) {
            continue;
        }
        if (best == NULL || seat->pass.streams > best->pass.streams ||
            (seat->pass.streams == best->pass.streams &&
             us < first_us(best, read_us))) {
            best = seat;
        }
    }
    if (best == NULL) {
        return FALSE;
    }
    plan->engines[0] = best->engine;
    plan->engines_len = 1;
    plan->part_us = read_us;
    plan->first_us = first_us(best, read_us);
    return TRUE;
}

static gboolean
idle(const seat_t *seat)
{
    return seat->pass.pending_us <= PENDING_US;
}

/* Engines without streams first: on them nothing comes between the parts. */
static gint
by_streams(gconstpointer a, gconstpointer b)
{
    const seat_t *x = a;
    const seat_t *y = b;
    if (x->pass.streams != y->pass.streams) {
        return x->pass.streams < y->pass.streams ? -1 : 1;
    }
    return x->pass.pending_us < y->pass.pending_us ? -1 : x->pass.pending_us > y->pass.pending_us;
}

/* Fills @plan with the first @parts seats in order that allow a part. The one
 * that can write and has most streams already goes first. */
static gboolean
split(const cq_request_t *request, const survey_t *survey, guint parts,
      gint64 read_us, cq_task_plan_t *plan)
{
    const seat_t *writer = NULL;
    guint writer_at = 0;
    guint hold = holders(request) - 1;
    *plan = (cq_task_plan_t){.part_us = read_us / parts};
    for (guint i = 0; i < survey->len && plan->engines_len < parts; i++) {
        const seat_t *seat = &survey->seats[i];
        gboolean last = plan->engines_len + 1 == parts;
        gboolean writes = can_write(request, seat);
        if (!idle(seat) || seat->room_us < plan->part_us ||
            (last && writer == NULL && !writes)) {
            continue;
        }
        if (writes && (writer == NULL || seat->pass.streams > writer->pass.streams)) {
            writer = seat;
            writer_at = plan->engines_len;
        }
        else if (can_hold(request, seat) && plan->holders_len < hold) {
            plan->holders[plan->holders_len++] = seat->engine;
        }
        plan->engines[plan->engines_len++] = seat->engine;
        plan->first_us = MAX(plan->first_us, first_us(seat, plan->part_us));
    }
    if (plan->engines_len < parts || plan->holders_len < hold) {
        return FALSE;
    }
    plan->engines[writer_at] = plan->engines[0];
    plan->engines[0] = writer->engine;
    return TRUE;
}

/* All engines together are one fast reader: a long prompt takes as many as
 * keep its parts long enough to be worth the passes that they interrupt, so
 * that it is soon done and the next one has its turn. */
static gboolean
split_up(const cq_request_t *request, survey_t *survey, gint64 read_us,
         gint64 left_us, cq_task_plan_t *plan)
{
    guint most = (guint)CLAMP(read_us / PART_US, 1, CQ_GROUP_MAX);
    guint least = (guint)(read_us / PART_MAX_US + 1);
    least = MAX(MIN(least, GROUP_LEAST), holders(request));
    qsort(survey->seats, survey->len, sizeof(seat_t), by_streams);
    for (guint parts = most; parts >= least && parts > 0; parts--) {
        if (split(request, survey, parts, read_us, plan) &&
            plan->first_us <= left_us) {
            return TRUE;
        }
    }
    return FALSE;
}

gboolean
cq_fit_choose(cq_core_t *core, const cq_request_t *request, gboolean late,
              cq_task_plan_t *plan)
{
    const cq_service_t *service = request->service;
    survey_t survey = {.len = 0};
    look_at_all(core, request, service->nearby, &survey);
    look_at_all(core, request, service->remote, &survey);
    gint64 read_us =
        cq_batch_read_us(&service->rules->speed, request->prompt_tokens);
    gint64 until_us = late ? request->deadline_us : request->aim_us;
    gint64 left_us = until_us - core->now_us - MARGIN_US;
    if (read_us <= SHORT_US) {
        return pack(request, &survey, read_us, left_us, plan);
    }
    return split_up(request, &survey, read_us, left_us, plan);
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
        if (request->service == service &&
            request->phase == CQ_PHASE_QUEUED) {
            g_ptr_array_add(found, request);
        }
    }
    g_ptr_array_sort(found, by_aim);
    return found;
}

static gboolean
try_one(cq_core_t *core, cq_request_t *request, gboolean late)
{
    cq_task_plan_t plan = {.engines_len = 0};
    if (!cq_fit_choose(core, request, late, &plan)) {
        return FALSE;
    }
    cq_flow_take(request);
    cq_task_open(core, request, &plan);
    if (plan.holders_len == 0) {
        cq_send_start(core, request, plan.engines[0]);
        return TRUE;
    }
    memcpy(request->group, plan.holders, sizeof request->group);
    request->group_len = plan.holders_len;
    cq_group_begin(core, request);
    return TRUE;
}

void
cq_fit_place(cq_core_t *core, cq_service_t *service)
{
    GPtrArray *found = waiting(core, service);
    gboolean on_time_waits = FALSE;
    for (guint i = 0; i < found->len; i++) {
        cq_request_t *request = g_ptr_array_index(found, i);
        gboolean can = request->aim_us > core->now_us + MARGIN_US;
        if (can && !try_one(core, request, FALSE)) {
            on_time_waits = TRUE;
        }
    }
    for (guint i = 0; i < found->len && !on_time_waits; i++) {
        cq_request_t *request = g_ptr_array_index(found, i);
        if (request->phase == CQ_PHASE_QUEUED) {
            try_one(core, request, TRUE);
        }
    }
    g_ptr_array_unref(found);
}
