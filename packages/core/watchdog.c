#include "core/watchdog.h"

#include "core/alive.h"
#include "core/answer.h"
#include "core/group.h"
#include "core/hedge.h"
#include "core/handoff.h"
#include "core/load.h"
#include "core/member.h"
#include "core/memuse.h"
#include "core/attempt.h"
#include "core/place.h"
#include "core/rate.h"
#include "core/reach.h"
#include "core/table.h"

/* An attempt counts as failed after this many probes in a row without an
 * answer. */
#define PROBES_UNANSWERED_MAX 2
/* For requests that have waited longer than this, the run time is estimated
 * for busy engines, else for idle ones. */
#define QUEUED_LONG_US CQ_SECOND_US
/* A plain call is also tried elsewhere after this share of its target time
 * without an answer, or after progress_timeout_us if that is less. */
#define PLAIN_QUIET_PERCENT 75
/* Interval at which another upstream is looked for. */
#define MOVE_CHECK_INTERVAL_US (50 * CQ_MS_US)
/* A prompt may wait for idle engines until this long after its target time. */
#define LATE_WAIT_MAX_US (100 * CQ_MS_US)

static void
stop_and_fail(cq_core_t *core, cq_request_t *request, cq_failure_t failure)
{
    cq_attempt_stop(core, request);
    cq_attempt_fail(core, request, failure);
}

static void
fail_as_silent(cq_core_t *core, cq_request_t *request, const char *why)
{
    cq_counters_add(&core->counters, CQ_N_SILENT_CONNECTIONS, 1);
    cq_table_log_event(core, request, "silent", "upstream=%s why=%s",
                       request->upstream->name, why);
    stop_and_fail(core, request, CQ_FAIL_BROKEN);
}

static void
send_probe(cq_core_t *core, cq_request_t *request)
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

/* Time after which an attempt of a repeatable request counts as making no
 * progress. */
static gint64
progress_due_us(const cq_request_t *request)
{
    const cq_rules_t *rules = request->service->rules;
    if (rules->kind == CQ_SERVICE_PLAIN && request->forwarded == 0) {
        gint64 target_delay_us = request->target_us - request->arrived_us;
        return request->progress_us +
               MIN(target_delay_us * PLAIN_QUIET_PERCENT / 100,
                   rules->progress_timeout_us);
    }
    const cq_task_t *task = request->task;
    if (task == NULL || task->decoding) {
        return request->progress_us + rules->progress_timeout_us;
    }
    /* Engines run newer prefill first, of any host, so allow twice the
     * expected time. */
    gint64 expected_us = task->first_token_us - task->prefill_start_us;
    return task->first_token_us + expected_us + rules->progress_timeout_us;
}

/* A silent upstream may be sound and go on, so another one is tried beside it.
 */
static void
check_progress(cq_core_t *core, cq_request_t *request)
{
    if (!request->sent || !cq_attempt_repeatable(request) ||
        core->now_us <= progress_due_us(request) ||
        core->now_us - request->move_checked_us < MOVE_CHECK_INTERVAL_US) {
        return;
    }
    request->move_checked_us = core->now_us;
    cq_reach_failed(core, request->upstream);
    cq_hedge_start(core, request, "no_progress");
}

static void
check_running(cq_core_t *core, cq_request_t *request)
{
    gint64 now_us = core->now_us;
    const cq_rules_t *rules = request->service->rules;
    if (!request->sent &&
        now_us - request->phase_start_us > rules->connect_timeout_us) {
        stop_and_fail(core, request, CQ_FAIL_CONNECT);
        return;
    }
    if (request->paused) {
        return;
    }
    if (rules->progress_timeout_us > 0) {
        cq_alive_check(core, request);
        check_progress(core, request);
        return;
    }
    gboolean quiet = now_us - request->progress_us > CQ_PROBE_AFTER_SILENCE_US;
    gboolean due = now_us - request->probed_us > CQ_PROBE_INTERVAL_US;
    if (request->sent && quiet && due) {
        send_probe(core, request);
    }
}

/* A prompt that is past its target time waits for idle engines, but only until
 * it is better for the caller to retry later. */
static void
check_late(cq_core_t *core, cq_request_t *request)
{
    if (request->task == NULL &&
        core->now_us > request->target_us + LATE_WAIT_MAX_US) {
        cq_answer_outcome(core, request, CQ_OUTCOME_OVERLOADED);
    }
}

/* A stream that broke off waits for an upstream to go on with it, but only
 * while one is usable before its deadline. */
static void
check_broken_stream(cq_core_t *core, cq_request_t *request)
{
    cq_member_allow_last_failed(core, request);
    if (!cq_member_usable_in_time(core, request)) {
        cq_answer_outcome(core, request, CQ_OUTCOME_BROKEN);
    }
}

/* Refuses a queued request that can no longer finish by its deadline. */
static void
check_queued(cq_core_t *core, cq_request_t *request)
{
    if (core->policy != CQ_POLICY_COST) {
        return;
    }
    if (request->forwarded > 0) {
        check_broken_stream(core, request);
        return;
    }
    if (request->task == NULL && cq_rate_delays(core, request)) {
        cq_answer_outcome(core, request, CQ_OUTCOME_RATE_LIMITED);
        return;
    }
    if (request->service->rules->kind == CQ_SERVICE_PLAIN) {
        cq_member_allow_last_failed(core, request);
        if (!cq_member_usable_in_time(core, request)) {
            cq_answer_outcome(core, request, CQ_OUTCOME_NO_UPSTREAM);
            return;
        }
    }
    if (request->service->rules->kind == CQ_SERVICE_BATCH) {
        check_late(core, request);
        return;
    }
    gboolean waited_long = core->now_us - request->arrived_us > QUEUED_LONG_US;
    gint64 needed_us = waited_long ? cq_load_run_busy_us(request)
                                   : cq_load_run_min_us(request);
    if (core->now_us + needed_us > request->deadline_us) {
        cq_answer_outcome(core, request, CQ_OUTCOME_OVERLOADED);
    }
}

static void
check_request(cq_core_t *core, cq_request_t *request)
{
    if (core->now_us >= request->deadline_us) {
        cq_answer_outcome(core, request, CQ_OUTCOME_EXPIRED);
        return;
    }
    if (cq_memuse_check(core, request)) {
        return;
    }
    gint64 in_phase_us = core->now_us - request->phase_start_us;
    switch (request->phase) {
    case CQ_PHASE_CLAIMING:
        if (in_phase_us > CQ_CLAIM_TIMEOUT_US) {
            cq_answer_outcome(core, request, CQ_OUTCOME_NO_LOG);
        }
        break;
    case CQ_PHASE_QUEUED:
        check_queued(core, request);
        break;
    case CQ_PHASE_RESERVING:
        if (in_phase_us > CQ_RESERVE_TIMEOUT_US) {
            cq_group_back_off(core, request);
        }
        break;
    case CQ_PHASE_RUNNING:
        check_running(core, request);
        break;
    case CQ_PHASE_HANDED:
        cq_handoff_check(core, request);
        break;
    }
}

void
cq_watchdog_tick(cq_core_t *core)
{
    cq_list_t *link = core->requests.next;
    while (link != &core->requests) {
        cq_list_t *next = link->next;
        check_request(core, CQ_ENTRY(link, cq_request_t, link));
        link = next;
    }
}

void
cq_watchdog_probed(cq_core_t *core, const cq_ev_attempt_t *event)
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
        /* The upstream sent tokens that did not arrive here. */
        if (event->tokens > request->forwarded) {
            fail_as_silent(core, request, "tokens_lost");
            return;
        }
        request->progress_us = core->now_us;
        request->probes_unanswered = 0;
        break;
    case CQ_PROBE_UNKNOWN:
        fail_as_silent(core, request, "not_known_there");
        break;
    case CQ_PROBE_ALIVE:
        /* Without a record of the attempt, a slow call and a lost one look the
         * same. */
        cq_hedge_start(core, request, "no_progress");
        break;
    case CQ_PROBE_SILENT:
        request->probes_unanswered++;
        if (request->probes_unanswered >= PROBES_UNANSWERED_MAX) {
            fail_as_silent(core, request, "upstream_silent");
        }
        break;
    }
}
