#include "core/answer.h"

#include "core/claim.h"
#include "core/flow.h"
#include "core/group.h"
#include "core/hedge.h"
#include "core/member.h"
#include "core/place.h"
#include "core/quarantine.h"
#include "core/rate.h"
#include "core/attempt.h"
#include "core/stop.h"
#include "core/table.h"
#include "core/task.h"
#include "core/usage.h"

/* Retry times are spread at random over this time. */
#define RETRY_SPREAD_US (4 * CQ_SECOND_US)

cq_ran_t
cq_answer_ran(const cq_request_t *request)
{
    if (request->forwarded > 0) {
        return CQ_RAN_YES;
    }
    return request->possible_runs > 0 ? CQ_RAN_UNKNOWN : CQ_RAN_NO;
}

static gint64
random_delay_us(cq_core_t *core, gint64 least_us)
{
    return least_us + g_rand_int_range(core->rand, 0, (gint32)RETRY_SPREAD_US);
}

/* Time until an upstream accepts new work; CQ_SECOND_US if that is not known.
 */
static gint64
upstream_delay_us(const cq_core_t *core, const cq_request_t *request)
{
    gint64 from_us = cq_member_usable_from_us(core, request->service);
    return from_us == G_MAXINT64 ? CQ_SECOND_US
                                 : MAX(from_us - core->now_us, CQ_SECOND_US);
}

static gint64
retry_delay_us(cq_core_t *core, cq_request_t *request, cq_outcome_t outcome)
{
    switch (outcome) {
    case CQ_OUTCOME_OVERLOADED:
        return cq_flow_retry_after_us(core, request);
    case CQ_OUTCOME_NO_UPSTREAM:
        return random_delay_us(core, upstream_delay_us(core, request));
    case CQ_OUTCOME_NO_LOG:
        return random_delay_us(core, CQ_SECOND_US);
    case CQ_OUTCOME_IN_PROGRESS:
        return CQ_SECOND_US;
    case CQ_OUTCOME_DRAINING:
        return CQ_RETRY_AFTER_MIN_US;
    case CQ_OUTCOME_PART_BLOCKED:
    case CQ_OUTCOME_REQUEST_BLOCKED:
        return cq_quarantine_retry_after_us(core, request);
    case CQ_OUTCOME_RATE_LIMITED:
        return cq_rate_retry_after_us(core, request);
    case CQ_OUTCOME_DONE:
    case CQ_OUTCOME_UNKNOWN_NAME:
    case CQ_OUTCOME_TOO_LONG:
    case CQ_OUTCOME_ALREADY_RAN:
    case CQ_OUTCOME_EXPIRED:
    case CQ_OUTCOME_BROKEN:
    case CQ_OUTCOME_HUNG_UP:
    case CQ_OUTCOME_COUNT:
        break;
    }
    return 0;
}

static cq_counter_t
counter_of(cq_outcome_t outcome)
{
    switch (outcome) {
    case CQ_OUTCOME_DONE:
        return CQ_N_DONE;
    case CQ_OUTCOME_EXPIRED:
        return CQ_N_EXPIRED;
    case CQ_OUTCOME_BROKEN:
        return CQ_N_FAILED;
    case CQ_OUTCOME_HUNG_UP:
        return CQ_N_CANCELLED;
    default:
        return CQ_N_REFUSED;
    }
}

static void
end_request(cq_core_t *core, cq_request_t *request,
            const cq_ac_answer_t *answer)
{
    cq_stop_learn(core, request, answer->outcome, answer->status);
    cq_flow_remove(request);
    cq_place_clear_earmark(core, request);
    cq_hedge_settle(core, request);
    cq_attempt_abandon(core, request);
    cq_group_release(core, request);
    cq_task_close(core, request);
    cq_claim_finish(core, request, answer);
    cq_counter_t counter = counter_of(answer->outcome);
    cq_counters_add(&core->counters, counter, 1);
    if (counter == CQ_N_DONE || counter == CQ_N_REFUSED) {
        cq_counters_add_time(&core->counters,
                             counter == CQ_N_DONE ? CQ_LATENCY_DONE
                                                  : CQ_LATENCY_REFUSED,
                             core->now_us - request->arrived_us);
    }
    char gap_text[32] = "";
    if (request->gap_max_us > 0 && request->forwarded > 0) {
        g_snprintf(gap_text, sizeof gap_text, " pause_ms=%" G_GINT64_FORMAT,
                   request->longest_gap_us / CQ_MS_US);
    }
    cq_table_log_event(
        core, request, "answer",
        "code=%s ran=%s status=%d retry_after_ms=%" G_GINT64_FORMAT "%s",
        cq_outcome_code(answer->outcome), cq_ran_text(answer->ran),
        answer->status, answer->retry_after_us / CQ_MS_US, gap_text);
    cq_action_t action = {.kind = CQ_AC_ANSWER, .answer = *answer};
    cq_actions_add(core->actions, &action);
    if (request->service != NULL) {
        cq_usage_close(request);
    }
    cq_table_drop_request(core, request);
    core->placement_due = TRUE;
}

void
cq_answer_outcome(cq_core_t *core, cq_request_t *request, cq_outcome_t outcome)
{
    cq_ac_answer_t answer = {
        .request = request->id,
        .outcome = outcome,
        .ran = cq_answer_ran(request),
        .status = cq_outcome_status(outcome),
    };
    /* The earlier request with this key may have run, so "no" would mislead.
     */
    if (outcome == CQ_OUTCOME_IN_PROGRESS) {
        answer.ran = CQ_RAN_UNKNOWN;
    }
    if (outcome == CQ_OUTCOME_ALREADY_RAN) {
        answer.ran = CQ_RAN_YES;
    }
    answer.retry_after_us = retry_delay_us(core, request, outcome);
    end_request(core, request, &answer);
}

void
cq_answer_forwarded(cq_core_t *core, cq_request_t *request, int status)
{
    cq_ac_answer_t answer = {
        .request = request->id,
        .attempt = request->attempt,
        .outcome = CQ_OUTCOME_DONE,
        .ran = CQ_RAN_YES,
        .status = status,
    };
    end_request(core, request, &answer);
}
