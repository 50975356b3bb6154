#include "core/handoff.h"

#include "core/answer.h"
#include "core/attempt.h"
#include "core/emptied.h"
#include "core/flow.h"
#include "core/group.h"
#include "core/hedge.h"
#include "core/place.h"
#include "core/reach.h"
#include "core/table.h"
#include "core/task.h"

/* Number of times that one request may be passed on. */
#define HANDS_MAX 3
/* A peer whose summaries stop still counts as at work on a request if
 * something of its answer came within this time. */
#define GONE_QUIET_US CQ_SECOND_US
/* An attempt at an upstream without an answer for this time is given up for a
 * peer. */
#define SILENT_US (300 * CQ_MS_US)

/* In cells, the hosts of a zone place on its engines, and don't know what is
 * placed elsewhere. So while their zone is emptied, hosts of another zone
 * place their requests. */
static gboolean
lacks_cell(const cq_core_t *core, const cq_request_t *request)
{
    return core->has_cells &&
           request->service->rules->kind == CQ_SERVICE_BATCH &&
           cq_emptied_has(core, core->zone);
}

static gboolean
takes_requests(const cq_core_t *core, const cq_request_t *request,
               const cq_host_row_t *row)
{
    const cq_peer_t *peer = cq_table_peer(core, cq_ident_host(row->name));
    return row->callers[0] != '\0' && !row->leaving && peer != NULL &&
           !peer->draining && !peer->cut_off &&
           !(lacks_cell(core, request) && cq_emptied_has(core, row->zone));
}

/* Return: a random peer that takes requests, of this zone if there is one, or
 * NULL. */
static const cq_host_row_t *
choose_peer(const cq_core_t *core, const cq_request_t *request)
{
    const cq_host_row_t *chosen = NULL;
    gboolean chosen_is_near = FALSE;
    gint32 seen = 0;
    for (guint i = 0; i < core->peers->len; i++) {
        const cq_host_row_t *row =
            &g_array_index(core->peers, cq_host_row_t, i);
        gboolean is_near = g_str_equal(row->zone, core->zone);
        if (!takes_requests(core, request, row) ||
            (chosen_is_near && !is_near) ||
            cq_ident_host(row->name) == request->hand_host) {
            continue;
        }
        if (is_near && !chosen_is_near) {
            chosen_is_near = TRUE;
            seen = 0;
        }
        seen++;
        if (g_rand_int_range(core->reach.rand, 0, seen) == 0) {
            chosen = row;
        }
    }
    return chosen;
}

static gboolean
may_run_again(const cq_request_t *request)
{
    return cq_answer_ran(request) == CQ_RAN_NO ||
           cq_attempt_repeatable(request);
}

static gboolean
may_hand(const cq_core_t *core, const cq_request_t *request)
{
    return (cq_reach_is_cut(core) || lacks_cell(core, request)) &&
           may_run_again(request) && !request->handed && !request->claimed &&
           request->hands < HANDS_MAX && core->now_us < request->deadline_us;
}

gboolean
cq_handoff_start(cq_core_t *core, cq_request_t *request)
{
    g_assert(request->upstream == NULL);
    if (!may_hand(core, request)) {
        return FALSE;
    }
    const cq_host_row_t *row = choose_peer(core, request);
    if (row == NULL) {
        return FALSE;
    }
    cq_flow_remove(request);
    cq_place_clear_earmark(core, request);
    if (!cq_hedge_active(request)) {
        cq_group_release(core, request);
    }
    cq_task_close(core, request);
    cq_attempt_begin(core, request, CQ_PHASE_HANDED);
    request->hands++;
    request->hand_host = cq_ident_host(row->name);
    cq_counters_add(&core->counters, CQ_N_HANDED, 1);
    cq_table_log_event(core, request, "handed",
                       "host=%s from_event=%" G_GINT64_FORMAT, row->name,
                       request->forwarded);
    cq_action_t action = {.kind = CQ_AC_HAND};
    action.hand.request = request->id;
    action.hand.attempt = request->attempt;
    action.hand.peer = cq_ident_hash(row->name);
    action.hand.incarnation = row->incarnation;
    action.hand.fresh = !request->repeatable;
    g_strlcpy(action.hand.addr, row->callers, sizeof action.hand.addr);
    cq_actions_add(core->actions, &action);
    return TRUE;
}

/* The peer gave no complete answer. */
static void
fail(cq_core_t *core, cq_request_t *request, const char *how)
{
    cq_table_log_event(core, request, "hand_failed",
                       "host=%06x how=%s events=%" G_GINT64_FORMAT,
                       request->hand_host, how,
                       request->forwarded - request->forwarded_at_start);
    request->sent = FALSE;
    if (cq_hedge_fall_back(core, request) || cq_handoff_start(core, request)) {
        return;
    }
    if (may_run_again(request) && !cq_reach_is_cut(core)) {
        cq_flow_push(core, request, TRUE);
        return;
    }
    cq_answer_outcome(core, request,
                      cq_answer_ran(request) == CQ_RAN_NO
                          ? CQ_OUTCOME_NO_UPSTREAM
                          : CQ_OUTCOME_BROKEN);
}

/* Whether the peer states that the request did not run. */
static gboolean
states_not_run(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

/* A peer that has begun to stop refuses what may outlast its stop. */
static gboolean
peer_stops(const cq_core_t *core, const cq_request_t *request)
{
    const cq_peer_t *peer = cq_table_peer(core, request->hand_host);
    return peer != NULL && peer->draining;
}

static void
on_done(cq_core_t *core, cq_request_t *request, int status)
{
    cq_attempt_sent(core, request);
    gboolean success = status >= 200 && status < 300;
    if (states_not_run(status)) {
        request->possible_runs--;
        request->sent = FALSE;
        if (peer_stops(core, request) && cq_handoff_start(core, request)) {
            return;
        }
    }
    if (!success && (request->forwarded > 0 || cq_hedge_active(request))) {
        fail(core, request, "refused");
        return;
    }
    cq_hedge_settle(core, request);
    /* An attempt from here may have run, which the peer doesn't know. */
    if (states_not_run(status) && cq_answer_ran(request) != CQ_RAN_NO) {
        cq_answer_outcome(core, request, CQ_OUTCOME_BROKEN);
        return;
    }
    cq_answer_forwarded(core, request, status);
}

void
cq_handoff_event(cq_core_t *core, cq_request_t *request,
                 const cq_event_t *event)
{
    switch (event->kind) {
    case CQ_EV_SENT:
        cq_attempt_sent(core, request);
        break;
    case CQ_EV_TOKENS:
        cq_hedge_settle(core, request);
        cq_attempt_forward(core, request, &event->attempt);
        break;
    case CQ_EV_DONE:
        on_done(core, request, event->attempt.status);
        break;
    case CQ_EV_FAILED:
        fail(core, request, request->sent ? "broken" : "connect");
        break;
    default:
        g_assert_not_reached();
    }
}

void
cq_handoff_check(cq_core_t *core, cq_request_t *request)
{
    gint64 connect_us = request->service->rules->connect_timeout_us;
    gboolean unopened =
        !request->sent && core->now_us - request->phase_start_us > connect_us;
    gboolean gone = request->repeatable &&
                    cq_table_peer(core, request->hand_host) == NULL &&
                    core->now_us - request->progress_us > GONE_QUIET_US;
    if (unopened || gone) {
        cq_attempt_stop(core, request);
        fail(core, request, gone ? "gone" : "connect");
    }
}

/* Whether a peer is tried in place of the running attempt. A call that was
 * sent and may not be repeated stays, as its answer may still come. */
static gboolean
is_silent(const cq_core_t *core, const cq_request_t *request)
{
    const cq_task_t *task = request->task;
    gint64 quiet_from_us = request->progress_us;
    if (task != NULL && !task->decoding) {
        quiet_from_us = MAX(quiet_from_us, task->first_token_us);
    }
    return !request->paused && core->now_us - quiet_from_us > SILENT_US &&
           (!request->sent || request->repeatable);
}

/* What was sent may still be answered, so it goes on until the peer answers.
 */
static void
hand_silent(cq_core_t *core, cq_request_t *request)
{
    if (request->sent) {
        if (!cq_hedge_active(request)) {
            cq_hedge_set_aside(request);
            if (!cq_handoff_start(core, request)) {
                cq_hedge_fall_back(core, request);
            }
        }
        return;
    }
    cq_attempt_stop(core, request);
    cq_attempt_fail(core, request,
                    request->sent ? CQ_FAIL_BROKEN : CQ_FAIL_CONNECT);
}

void
cq_handoff_queued(cq_core_t *core)
{
    gboolean is_cut = cq_reach_is_cut(core);
    if (!is_cut && !cq_emptied_has(core, core->zone)) {
        return;
    }
    cq_list_t *link = core->requests.next;
    while (link != &core->requests) {
        cq_request_t *request = CQ_ENTRY(link, cq_request_t, link);
        link = link->next;
        if (request->phase == CQ_PHASE_QUEUED ||
            request->phase == CQ_PHASE_RESERVING) {
            cq_handoff_start(core, request);
        }
        else if (is_cut && request->phase == CQ_PHASE_RUNNING &&
                 is_silent(core, request) && may_hand(core, request) &&
                 choose_peer(core, request) != NULL) {
            hand_silent(core, request);
        }
    }
}
