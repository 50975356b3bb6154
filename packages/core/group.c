#include "core/group.h"

#include "core/emptied.h"
#include "core/flow.h"
#include "core/load.h"
#include "core/memuse.h"
#include "core/place.h"
#include "core/attempt.h"
#include "core/table.h"
#include "core/task.h"

/* Before a request tries again it waits for a random time of up to
 * BACK_OFF_US, doubled for each failure including the first, but at most
 * BACK_OFF_DOUBLINGS_MAX times. */
#define BACK_OFF_US (100 * CQ_MS_US)
#define BACK_OFF_DOUBLINGS_MAX 5
/* Engines release a reservation by themselves this long after the deadline of
 * the request. */
#define EXPIRY_MARGIN_US (2 * CQ_SECOND_US)

gint64
cq_group_part_tokens(const cq_request_t *request)
{
    /* In a BATCH service the engine that decodes is not in request->group,
     * but holds a part as well. */
    gboolean batch = request->service->rules->kind == CQ_SERVICE_BATCH;
    guint engines = request->group_len + (batch ? 1 : 0);
    return cq_place_need_tokens(request) / engines + 1;
}

int
cq_group_index(const cq_request_t *request, guint64 upstream)
{
    for (guint i = 0; i < request->group_len; i++) {
        if (request->group[i]->id == upstream) {
            return (int)i;
        }
    }
    return -1;
}

static void
add_memory_action(cq_core_t *core, const cq_request_t *request,
                  cq_action_kind_t kind, const cq_upstream_t *upstream)
{
    gint64 left_us = request->deadline_us - core->now_us;
    cq_action_t action = {
        .kind = kind,
        .memory = {.request = request->id,
                   .upstream = upstream->id,
                   .tokens = cq_group_part_tokens(request),
                   .expiry_us = left_us + EXPIRY_MARGIN_US},
    };
    cq_actions_add(core->actions, &action);
}

void
cq_group_reserve(cq_core_t *core, cq_request_t *request)
{
    g_assert(request->group_len > 0);
    request->phase = CQ_PHASE_RESERVING;
    request->phase_start_us = core->now_us;
    request->reserved_us = core->now_us;
    request->granted = 0;
    cq_memuse_begin(core, request);
    cq_counters_add(&core->counters, CQ_N_GROUPS, 1);
    cq_table_log_event(core, request, "reserve",
                       "engines=%u tokens_each=%" G_GINT64_FORMAT,
                       request->group_len, cq_group_part_tokens(request));
    for (guint i = 0; i < request->group_len; i++) {
        request->group_granted[i] = FALSE;
        cq_load_add_kv(core, request->group[i], cq_group_part_tokens(request));
        add_memory_action(core, request, CQ_AC_RESERVE, request->group[i]);
        core->reservations++;
    }
}

void
cq_group_release(cq_core_t *core, cq_request_t *request)
{
    for (guint i = 0; i < request->group_len; i++) {
        cq_load_add_kv(core, request->group[i],
                       -cq_group_part_tokens(request));
        add_memory_action(core, request, CQ_AC_RELEASE, request->group[i]);
        request->group[i]->released_us = core->now_us;
        cq_counters_add(&core->counters, CQ_N_RESERVATIONS_RELEASED, 1);
        g_assert(core->reservations > 0);
        core->reservations--;
    }
    request->group_len = 0;
    request->granted = 0;
}

void
cq_group_back_off(cq_core_t *core, cq_request_t *request)
{
    cq_group_release(core, request);
    cq_task_close(core, request);
    cq_counters_add(&core->counters, CQ_N_GROUP_BACKOFFS, 1);
    request->backoffs++;
    guint doublings = MIN(request->backoffs, BACK_OFF_DOUBLINGS_MAX);
    gint64 pause_max_us = BACK_OFF_US << doublings;
    gint64 pause_us = g_rand_int_range(core->rand, 0, (gint32)pause_max_us);
    request->ready_us = core->now_us + pause_us;
    cq_table_log_event(core, request, "back_off", "pause_ms=%" G_GINT64_FORMAT,
                       pause_us / CQ_MS_US);
    cq_flow_push(core, request, TRUE);
}

/* Whether the engines of the group, and those that prefill with it, still
 * belong to the service of @request and get new work. */
static gboolean
in_service(const cq_request_t *request)
{
    if (cq_emptied_group(request)) {
        return FALSE;
    }
    const cq_task_t *task = request->task;
    for (guint i = 0; i < request->group_len; i++) {
        if (request->group[i]->service != request->service) {
            return FALSE;
        }
    }
    for (guint i = 0; task != NULL && i < task->engines_len; i++) {
        if (task->engines[i]->service != request->service) {
            return FALSE;
        }
    }
    return TRUE;
}

void
cq_group_reserved(cq_core_t *core, const cq_ev_reserved_t *event)
{
    cq_request_t *request = cq_table_request(core, event->request);
    if (request == NULL || request->phase != CQ_PHASE_RESERVING) {
        return;
    }
    int index = cq_group_index(request, event->upstream);
    if (index < 0 || request->group_granted[index]) {
        return;
    }
    if (!event->granted || !in_service(request)) {
        cq_group_back_off(core, request);
        return;
    }
    request->group_granted[index] = TRUE;
    request->granted++;
    if (request->granted == request->group_len) {
        const cq_task_t *task = request->task;
        cq_attempt_start(core, request,
                         task != NULL ? task->engines[0] : request->group[0]);
    }
}

void
cq_group_leave_emptied(cq_core_t *core)
{
    /* Each goes to the front of its flow, so the newest first. */
    cq_list_t *link = core->requests.prev;
    for (; link != &core->requests; link = link->prev) {
        cq_request_t *request = CQ_ENTRY(link, cq_request_t, link);
        if (request->phase == CQ_PHASE_RESERVING &&
            cq_emptied_group(request)) {
            cq_group_release(core, request);
            cq_task_close(core, request);
            cq_flow_push(core, request, TRUE);
        }
    }
}
