#include "core/attempt.h"

#include "core/answer.h"
#include "core/flow.h"
#include "core/group.h"
#include "core/handoff.h"
#include "core/hedge.h"
#include "core/load.h"
#include "core/member.h"
#include "core/pace.h"
#include "core/pass.h"
#include "core/place.h"
#include "core/quarantine.h"
#include "core/rate.h"
#include "core/reach.h"
#include "core/table.h"
#include "core/task.h"
#include "core/usable.h"

/* Attempts allowed beyond attempts_max, in place of those that never reached
 * their upstream. */
#define CONNECT_FAILURES_MAX 2
/* A request that only the upstream that refused it can take returns there
 * after this time, and one whose second attempt failed gets no other before.
 */
#define RETURN_DELAY_US (200 * CQ_MS_US)
/* After a broken attempt an upstream gets no new work for a second. The time
 * doubles with each further one in a row, but at most SUSPECT_DOUBLINGS_MAX
 * times, and only while another upstream can take its work. */
#define SUSPECT_DOUBLINGS_MAX 4
/* Status that is recorded when a server error of the upstream is forwarded. */
#define FAULT_HTTP_STATUS 500

static void
add_load(cq_core_t *core, cq_request_t *request)
{
    const cq_service_t *service = request->service;
    cq_upstream_t *upstream = request->upstream;
    if (service->rules->kind != CQ_SERVICE_MODEL) {
        cq_load_add_attempt(core, request, 0, 0);
        return;
    }
    guint size = MAX(request->group_len, 1);
    gint64 cached = cq_load_cached_tokens(upstream, request);
    gint64 uncached = (request->prompt_tokens - cached) / size;
    gint64 kv = request->group_len > 0 ? 0 : cq_place_need_tokens(request);
    cq_load_add_attempt(core, request, cq_load_prefill_us(service, uncached),
                        kv);
    cq_load_note_prefixes(core, upstream, request);
}

static void
fill_group(const cq_request_t *request, cq_ac_send_t *send)
{
    for (guint i = 0; i < request->group_len; i++) {
        send->group[i] = request->group[i]->id;
    }
    send->group_len = request->group_len;
    const cq_task_t *task = request->task;
    for (guint i = 0; task != NULL && i < task->engines_len; i++) {
        send->group[i] = task->engines[i]->id;
        send->group_len = task->engines_len;
    }
}

void
cq_attempt_begin(const cq_core_t *core, cq_request_t *request,
                 cq_phase_t phase)
{
    request->attempt = ++request->attempts;
    request->phase = phase;
    request->phase_start_us = core->now_us;
    if (request->started_us == 0) {
        request->started_us = core->now_us;
    }
    request->progress_us = core->now_us;
    request->sent = FALSE;
    request->forwarded_at_start = request->forwarded;
}

void
cq_attempt_start(cq_core_t *core, cq_request_t *request,
                 cq_upstream_t *upstream)
{
    g_assert(request->upstream == NULL);
    gint64 wait_us = cq_load_prefill_wait_us(upstream, request->priority_class,
                                             core->now_us);
    gint64 streams = cq_load_streams(core, upstream);
    gint64 cached = cq_load_cached_tokens(upstream, request);
    cq_attempt_begin(core, request, CQ_PHASE_RUNNING);
    request->upstream = upstream;
    request->probed_us = 0;
    request->probes_unanswered = 0;
    add_load(core, request);
    cq_rate_note_sent(core, upstream);
    cq_counters_add(&core->counters, CQ_N_ATTEMPTS, 1);
    cq_table_log_event(core, request, "placed",
                       "upstream=%s ahead_ms=%" G_GINT64_FORMAT
                       " streams=%" G_GINT64_FORMAT " cached=%" G_GINT64_FORMAT
                       " group=%u",
                       upstream->name, wait_us / CQ_MS_US, streams, cached,
                       request->group_len);
    cq_action_t action = {.kind = CQ_AC_SEND};
    action.send.request = request->id;
    action.send.attempt = request->attempt;
    action.send.upstream = upstream->id;
    action.send.resume_from = request->forwarded;
    action.send.fresh = !request->repeatable;
    if (core->policy == CQ_POLICY_COST) {
        action.send.priority = (int)request->priority_class;
    }
    fill_group(request, &action.send);
    cq_actions_add(core->actions, &action);
}

static cq_ac_attempt_t
running_attempt(const cq_request_t *request)
{
    return (cq_ac_attempt_t){
        .request = request->id,
        .attempt = request->attempt,
        .upstream = request->upstream != NULL ? request->upstream->id : 0,
    };
}

void
cq_attempt_stop(cq_core_t *core, const cq_request_t *request)
{
    cq_action_t action = {
        .kind = CQ_AC_STOP,
        .attempt = running_attempt(request),
    };
    cq_actions_add(core->actions, &action);
}

void
cq_attempt_abandon(cq_core_t *core, cq_request_t *request)
{
    if (request->upstream != NULL || request->phase == CQ_PHASE_HANDED) {
        cq_attempt_stop(core, request);
    }
    if (request->upstream != NULL) {
        cq_load_remove_attempt(core, request);
    }
}

gboolean
cq_attempt_repeatable(const cq_request_t *request)
{
    return request->repeatable &&
           (request->forwarded == 0 || request->resumable);
}

static gboolean
attempts_left(const cq_request_t *request)
{
    guint attempts = request->attempts - request->hands;
    return attempts - request->connect_failures < request->attempts_max &&
           attempts < request->attempts_max + CONNECT_FAILURES_MAX;
}

static gboolean
retry_budget_allows(cq_core_t *core, cq_request_t *request,
                    cq_failure_t failure)
{
    cq_service_t *service = request->service;
    if (!attempts_left(request)) {
        return FALSE;
    }
    if (failure == CQ_FAIL_CONNECT) {
        return TRUE;
    }
    if (service->retry_tokens < 1) {
        cq_counters_add(&core->counters, CQ_N_RETRIES_DENIED, 1);
        return FALSE;
    }
    service->retry_tokens -= 1;
    return TRUE;
}

/* Whether the request may be run again, apart from the retry budget. */
static gboolean
may_run_again(const cq_request_t *request, cq_failure_t failure)
{
    if (failure != CQ_FAIL_BROKEN && failure != CQ_FAIL_FAULT &&
        failure != CQ_FAIL_NO_ROOM) {
        return request->forwarded == 0 || request->repeatable;
    }
    return cq_attempt_repeatable(request);
}

static void
requeue(cq_core_t *core, cq_request_t *request)
{
    cq_counters_add(&core->counters, CQ_N_RETRIES, 1);
    if (request->forwarded > 0) {
        cq_counters_add(&core->counters, CQ_N_RESUMED, 1);
    }
    cq_table_log_event(core, request, "retry", "from_token=%" G_GINT64_FORMAT,
                       request->forwarded);
    cq_flow_push(core, request, TRUE);
}

static cq_outcome_t
failure_outcome(const cq_request_t *request)
{
    if (cq_answer_ran(request) == CQ_RAN_NO) {
        return CQ_OUTCOME_NO_UPSTREAM;
    }
    return CQ_OUTCOME_BROKEN;
}

/* An upstream with a rate limit can't take the work of another one. */
static gboolean
any_takes_work(const cq_core_t *core, const GPtrArray *upstreams)
{
    for (guint i = 0; i < upstreams->len; i++) {
        const cq_upstream_t *upstream = g_ptr_array_index(upstreams, i);
        if (!cq_rate_is_bounded(upstream) && cq_usable_now(core, upstream)) {
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
service_takes_work(const cq_core_t *core, const cq_service_t *service)
{
    return any_takes_work(core, service->local) ||
           any_takes_work(core, service->remote);
}

/* An upstream whose attempts break may be sound, and the requests at fault. */
static void
avoid_broken(const cq_core_t *core, const cq_request_t *request,
             cq_upstream_t *upstream)
{
    cq_member_avoid(core, upstream, CQ_SECOND_US);
    if (request->phase_start_us <= upstream->broken_us) {
        return;
    }
    guint doublings = MIN(upstream->broken_streak, SUSPECT_DOUBLINGS_MAX);
    upstream->broken_streak++;
    upstream->broken_us = core->now_us;
    if (service_takes_work(core, upstream->service)) {
        cq_member_avoid(core, upstream, CQ_SECOND_US << doublings);
    }
}

/* Another upstream may have the address until the list of hosts shows it. One
 * answer doesn't prove that, so it never puts aside a service's last one. */
static void
avoid_misdirected(const cq_core_t *core, cq_upstream_t *upstream)
{
    gint64 until_us = upstream->suspect_until_us;
    cq_member_avoid(core, upstream, CQ_SUSPECT_AVOID_US);
    if (!service_takes_work(core, upstream->service)) {
        upstream->suspect_until_us = until_us;
    }
}

void
cq_attempt_fail(cq_core_t *core, cq_request_t *request, cq_failure_t failure)
{
    static const char *const failure_names[] = {
        "connect", "refused",     "leaving", "broken",
        "fault",   "misdirected", "no_room"};
    cq_upstream_t *upstream = request->upstream;
    /* The connection failed after a byte was sent: the request may have run.
     */
    if (failure == CQ_FAIL_CONNECT && request->sent) {
        failure = CQ_FAIL_BROKEN;
    }
    if (failure == CQ_FAIL_BROKEN || failure == CQ_FAIL_FAULT) {
        request->is_trial = FALSE;
    }
    cq_table_log_event(core, request, "failed",
                       "upstream=%s how=%s events=%" G_GINT64_FORMAT,
                       upstream->name, failure_names[failure],
                       request->forwarded - request->forwarded_at_start);
    gboolean refused = failure == CQ_FAIL_REFUSED ||
                       failure == CQ_FAIL_LEAVING ||
                       failure == CQ_FAIL_MISDIRECTED;
    if (refused && request->sent) {
        request->possible_runs--;
    }
    if (failure == CQ_FAIL_LEAVING) {
        cq_member_leaving(core, upstream, upstream->incarnation);
    }
    if (failure == CQ_FAIL_MISDIRECTED) {
        avoid_misdirected(core, upstream);
    }
    if (failure == CQ_FAIL_CONNECT) {
        cq_member_avoid(core, upstream, cq_pace_avoid_us(core, upstream));
        cq_member_unreachable(core, upstream, 0);
        request->connect_failures++;
    }
    if (failure == CQ_FAIL_BROKEN) {
        avoid_broken(core, request, upstream);
    }
    if (failure == CQ_FAIL_CONNECT || failure == CQ_FAIL_BROKEN) {
        cq_reach_failed(core, upstream);
    }
    if (core->finds_pace) {
        cq_pace_failed(core, request, failure,
                       cq_member_rank(core, upstream->id).before);
    }
    request->last_failed = upstream->id;
    if (request->failed_helper != 0) {
        request->last_failed = request->failed_helper;
        request->failed_helper = 0;
    }
    /* A request that nobody has begun to answer rather waits for another
     * upstream than for one that can't be reached. */
    if (failure != CQ_FAIL_CONNECT || request->forwarded > 0) {
        cq_member_allow_last_failed(core, request);
    }
    request->sent = FALSE;
    cq_load_remove_attempt(core, request);
    cq_group_release(core, request);
    if (cq_hedge_fall_back(core, request)) {
        request->ready_us = core->now_us + RETURN_DELAY_US;
        return;
    }
    gboolean blocked = cq_quarantine_blocks(core, request);
    if (blocked && failure != CQ_FAIL_FAULT) {
        cq_answer_outcome(core, request, cq_quarantine_outcome(core, request));
        return;
    }
    if (!blocked && failure != CQ_FAIL_FAULT &&
        cq_handoff_start(core, request)) {
        return;
    }
    if (!blocked && may_run_again(request, failure) &&
        cq_member_usable_in_time(core, request) &&
        retry_budget_allows(core, request, failure)) {
        if ((refused && request->last_failed == 0) ||
            failure == CQ_FAIL_NO_ROOM) {
            request->ready_us = core->now_us + RETURN_DELAY_US;
        }
        requeue(core, request);
        return;
    }
    if (failure == CQ_FAIL_FAULT && request->forwarded == 0) {
        cq_answer_forwarded(core, request, FAULT_HTTP_STATUS);
        return;
    }
    cq_answer_outcome(core, request, failure_outcome(request));
}

gboolean
cq_attempt_retry_allowed(const cq_request_t *request)
{
    return attempts_left(request) && request->service->retry_tokens >= 1;
}

void
cq_attempt_sent(cq_core_t *core, cq_request_t *request)
{
    if (request->sent) {
        return;
    }
    request->sent = TRUE;
    request->possible_runs++;
    request->progress_us = core->now_us;
    if (!request->repeatable && request->possible_runs > 1) {
        cq_counters_add(&core->counters, CQ_N_INVARIANTS_BROKEN, 1);
    }
}

static void
note_first_event(cq_core_t *core, const cq_request_t *request)
{
    gint64 after_us = core->now_us - request->arrived_us;
    cq_counters_add_time(&core->counters, CQ_LATENCY_FIRST_EVENT, after_us);
    cq_table_log_event(core, request, "first_token",
                       "after_ms=%" G_GINT64_FORMAT, after_us / CQ_MS_US);
}

void
cq_attempt_forward(cq_core_t *core, cq_request_t *request,
                   const cq_ev_attempt_t *event)
{
    if (event->unnumbered) {
        request->resumable = FALSE;
    }
    if (request->forwarded == 0) {
        note_first_event(core, request);
    }
    cq_attempt_sent(core, request);
    if (request->forwarded > 0) {
        gint64 gap_us = core->now_us - request->progress_us;
        request->longest_gap_us = MAX(request->longest_gap_us, gap_us);
    }
    if (request->upstream != NULL &&
        request->forwarded == request->forwarded_at_start) {
        cq_pace_answered(core, request);
    }
    request->progress_us = core->now_us;
    request->probes_unanswered = 0;
    request->forwarded += event->tokens;
    cq_action_t action = {
        .kind = CQ_AC_FORWARD,
        .attempt = running_attempt(request),
    };
    action.attempt.tokens = event->tokens;
    cq_actions_add(core->actions, &action);
}

static void
on_tokens(cq_core_t *core, cq_request_t *request, const cq_ev_attempt_t *event)
{
    cq_hedge_settle(core, request);
    if (request->entered_prefill_us > 0) {
        cq_load_first_token(core, request);
        request->entered_prefill_us = 0;
    }
    cq_attempt_forward(core, request, event);
    if (request->task != NULL) {
        cq_pass_observe(core, request->upstream);
        cq_member_reached(core, request->upstream);
        cq_task_first_token(core, request);
    }
    cq_quarantine_progress(core, request, event->tokens, FALSE);
}

static void
on_done(cq_core_t *core, cq_request_t *request, int status)
{
    cq_attempt_sent(core, request);
    gboolean success = status >= 200 && status < 300;
    /* An error doesn't end a stream that the other attempt can go on with. */
    if (request->forwarded > 0 && !success && cq_hedge_active(request)) {
        cq_attempt_fail(core, request, CQ_FAIL_FAULT);
        return;
    }
    cq_hedge_settle(core, request);
    request->upstream->broken_streak = 0;
    if (success && request->forwarded == request->forwarded_at_start) {
        cq_pace_answered(core, request);
    }
    if (success) {
        cq_quarantine_progress(core, request, 0, TRUE);
    }
    cq_member_reached(core, request->upstream);
    if (request->forwarded > 0) {
        cq_load_learn_output(request->service, request->forwarded);
    }
    cq_load_remove_attempt(core, request);
    /* A stream that the caller has in part ends only as a success. */
    if (request->forwarded > 0 && !success) {
        cq_answer_outcome(core, request, CQ_OUTCOME_BROKEN);
        return;
    }
    cq_answer_forwarded(core, request, status);
}

/* A helper is an engine that prefills part of a prompt for the engine that
 * decodes. If the latter names a helper that it cannot reach, the helper gets
 * no new work for a while, instead of the engine that decodes. */
static void
mark_failed_helper(cq_core_t *core, cq_request_t *request, const char *addr)
{
    const cq_task_t *task = request->task;
    for (guint i = 1; task != NULL && i < task->engines_len; i++) {
        cq_upstream_t *engine = task->engines[i];
        if (g_str_equal(engine->addr, addr)) {
            cq_table_log_event(core, request, "at_fault", "upstream=%s",
                               engine->name);
            cq_member_avoid(core, engine, CQ_SUSPECT_AVOID_US);
            cq_member_unreachable(core, engine, request->upstream->id);
            request->failed_helper = engine->id;
            return;
        }
    }
}

/* What its upstream sends meanwhile isn't seen, so that it looks silent. */
static void
set_paused(const cq_core_t *core, cq_request_t *request, gboolean paused)
{
    if (request != NULL) {
        request->paused = paused;
        request->progress_us = core->now_us;
    }
}

void
cq_attempt_event(cq_core_t *core, const cq_event_t *event)
{
    const cq_ev_attempt_t *detail = &event->attempt;
    cq_request_t *request = cq_table_request(core, detail->request);
    if (event->kind == CQ_EV_HANGUP) {
        if (request != NULL) {
            cq_answer_outcome(core, request, CQ_OUTCOME_HUNG_UP);
        }
        return;
    }
    if (event->kind == CQ_EV_PAUSED || event->kind == CQ_EV_RESUMED) {
        set_paused(core, request, event->kind == CQ_EV_PAUSED);
        return;
    }
    if (request != NULL) {
        cq_hedge_select(request, detail->attempt);
    }
    gboolean running = request != NULL && (request->upstream != NULL ||
                                           request->phase == CQ_PHASE_HANDED);
    if (!running || request->attempt != detail->attempt) {
        cq_counters_add(&core->counters, CQ_N_LATE_ANSWERS_DROPPED, 1);
        return;
    }
    if (request->phase == CQ_PHASE_HANDED) {
        cq_handoff_event(core, request, event);
        return;
    }
    switch (event->kind) {
    case CQ_EV_SENT:
        if (!detail->on_kept_conn) {
            cq_reach_opened(core);
        }
        cq_attempt_sent(core, request);
        break;
    case CQ_EV_TOKENS:
        on_tokens(core, request, detail);
        break;
    case CQ_EV_DONE:
        on_done(core, request, detail->status);
        break;
    case CQ_EV_FAILED:
        mark_failed_helper(core, request, detail->at_fault);
        if (detail->failure == CQ_FAIL_BROKEN) {
            cq_quarantine_crashed(core, request, detail->on_kept_conn);
        }
        cq_attempt_fail(core, request, detail->failure);
        break;
    default:
        g_assert_not_reached();
    }
}
