#include "core/watch.h"

#include "core/answer.h"
#include "core/group.h"
#include "core/load.h"
#include "core/send.h"
#include "core/table.h"

#define UNANSWERED_MAX 2
#define WAITED_US CQ_SECOND_US
/* Part of its aim after which a plain call is tried elsewhere. */
#define PLAIN_PERCENT 75
/* Time past its aim that a prompt may wait for idle engines. */
#define LATE_WAIT_US (100 * CQ_MS_US)

static void
stop_and_fail(cq_core_t *core, cq_request_t *request, cq_failure_t failure)
{
    cq_action_t action = {
        .kind = CQ_AC_STOP,
        .attempt = {.request = request->id,
                    .attempt = request->attempt,
                    .upstream = request->upstream->id},
    };
    cq_actions_add(core->actions, &action);
    cq_send_fail(core, request, failure);
}

static void
fail_silent(cq_core_t *core, cq_request_t *request, const char *why)
{
    cq_counters_add(&core->counters, CQ_N_SILENT_CONNECTIONS, 1);
    cq_table_note(core, request, "silent", "upstream=%s why=%s",
                  request->upstream->name, why);
    stop_and_fail(core, request, CQ_FAIL_BROKEN);
}

static void
probe(cq_core_t *core, cq_request_t *request)
{
    request->probed_us = core->now_us;
    cq_counters_add(&core->counters, CQ_N_PROBES, 1);
    cq_action_t action = {
        .kind = CQ_AC_PROBE,
        .attempt = {.request = request->id,
                    .attempt = request->attempt,
                    .upstream = request->upstream->id},
    };
    cq_actions_add(core->actions, &action);
}

/* When a call that may be repeated should have shown something by. */
static gint64
overdue_us(const cq_request_t *request)
{
    const cq_rules_t *rules = request->service->rules;
    if (rules->kind == CQ_SERVICE_PLAIN) {
        gint64 aim_us = request->aim_us - request->arrived_us;
        return request->phase_us +
               MIN(aim_us * PLAIN_PERCENT / 100, rules->quiet_us);
    }
    const cq_task_t *task = request->task;
    if (task == NULL || task->writing) {
        return request->progress_us + rules->quiet_us;
    }
    /* Reading waits for reading that is placed after it, by any host. */
    gint64 expected_us = task->first_us - task->placed_us;
    return task->first_us + expected_us + rules->quiet_us;
}

static void
watch_quiet(cq_core_t *core, cq_request_t *request)
{
    gboolean may_move =
        request->repeatable &&
        (request->forwarded == 0 || request->resumable) &&
        request->attempt - request->unsent < request->attempts_max;
    if (may_move && request->sent && core->now_us > overdue_us(request)) {
        fail_silent(core, request, "no_progress");
    }
}

static void
watch_running(cq_core_t *core, cq_request_t *request)
{
    gint64 now_us = core->now_us;
    const cq_rules_t *rules = request->service->rules;
    if (!request->sent &&
        now_us - request->phase_us > rules->connect_timeout_us) {
        stop_and_fail(core, request, CQ_FAIL_CONNECT);
        return;
    }
    if (rules->quiet_us > 0) {
        watch_quiet(core, request);
        return;
    }
    gboolean quiet = now_us - request->progress_us > CQ_PROBE_AFTER_SILENCE_US;
    gboolean due = now_us - request->probed_us > CQ_PROBE_INTERVAL_US;
    if (request->sent && quiet && due) {
        probe(core, request);
    }
}

/* A prompt whose aim is past waits for idle engines, but not until the caller
 * is better served by coming back. */
static void
watch_late(cq_core_t *core, cq_request_t *request)
{
    if (request->task == NULL &&
        core->now_us > request->aim_us + LATE_WAIT_US) {
        cq_answer_give(core, request, CQ_OUT_OVERLOADED);
    }
}

/* A request that waited and can't finish any more is given up at once. One
 * that the caller has begun to read is tried to the end. */
static void
watch_queued(cq_core_t *core, cq_request_t *request)
{
    if (core->policy != CQ_POLICY_COST || request->forwarded > 0) {
        return;
    }
    if (request->service->rules->kind == CQ_SERVICE_BATCH) {
        watch_late(core, request);
        return;
    }
    gboolean waited = core->now_us - request->arrived_us > WAITED_US;
    gint64 needed_us =
        waited ? cq_load_run_us(request) : cq_load_least_us(request);
    if (core->now_us + needed_us > request->deadline_us) {
        cq_answer_give(core, request, CQ_OUT_OVERLOADED);
    }
}

static void
watch(cq_core_t *core, cq_request_t *request)
{
    if (core->now_us >= request->deadline_us) {
        cq_answer_give(core, request, CQ_OUT_EXPIRED);
        return;
    }
    gint64 phase_us = core->now_us - request->phase_us;
    switch (request->phase) {
    case CQ_PHASE_CLAIMING:
        if (phase_us > CQ_CLAIM_TIMEOUT_US) {
            cq_answer_give(core, request, CQ_OUT_NO_LOG);
        }
        break;
    case CQ_PHASE_QUEUED:
        watch_queued(core, request);
        break;
    case CQ_PHASE_RESERVING:
        if (phase_us > CQ_RESERVE_TIMEOUT_US) {
            cq_group_back_off(core, request);
        }
        break;
    case CQ_PHASE_RUNNING:
        watch_running(core, request);
        break;
    }
}

void
cq_watch_tick(cq_core_t *core)
{
    cq_list_t *link = core->requests.next;
    while (link != &core->requests) {
        cq_list_t *next = link->next;
        watch(core, CQ_ENTRY(link, cq_request_t, link));
        link = next;
    }
}

void
cq_watch_probed(cq_core_t *core, const cq_ev_attempt_t *event)
{
    cq_request_t *request = cq_table_request(core, event->request);
    gboolean running = request != NULL && request->upstream != NULL;
    if (!running || request->attempt != event->attempt) {
        return;
    }
    if (core->now_us - request->progress_us <= CQ_PROBE_AFTER_SILENCE_US) {
        return;
    }
    switch (event->probe) {
    case CQ_PROBE_RUNNING:
        /* The engine sent tokens that did not arrive here. */
        if (event->tokens > request->forwarded) {
            fail_silent(core, request, "tokens_lost");
            return;
        }
        request->progress_us = core->now_us;
        request->unanswered = 0;
        break;
    case CQ_PROBE_UNKNOWN:
        fail_silent(core, request, "not_known_there");
        break;
    case CQ_PROBE_ALIVE:
        /* Nothing tells a slow call from a lost one: only a call that may
         * be repeated is moved. */
        if (request->repeatable) {
            fail_silent(core, request, "no_progress");
        }
        break;
    case CQ_PROBE_SILENT:
        request->unanswered++;
        if (request->unanswered >= UNANSWERED_MAX) {
            fail_silent(core, request, "upstream_silent");
        }
        break;
    }
}
