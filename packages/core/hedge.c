#include "core/hedge.h"

#include "core/attempt.h"
#include "core/batchplace.h"
#include "core/group.h"
#include "core/load.h"
#include "core/place.h"
#include "core/quarantine.h"
#include "core/table.h"
#include "core/task.h"

static cq_standby_t
running_of(const cq_request_t *request)
{
    return (cq_standby_t){
        .attempt = request->attempt,
        .phase = request->phase,
        .upstream = request->upstream,
        .sent = request->sent,
        .forwarded_at_start = request->forwarded_at_start,
        .phase_start_us = request->phase_start_us,
        .progress_us = request->progress_us,
        .probed_us = request->probed_us,
        .probes_unanswered = request->probes_unanswered,
        .entered_kv_tokens = request->entered_kv_tokens,
        .entered_prefill_us = request->entered_prefill_us,
        .placed_at_start_us = request->placed_at_start_us,
        .task = request->task,
    };
}

static void
set_running(cq_request_t *request, const cq_standby_t *standby)
{
    request->attempt = standby->attempt;
    request->phase = standby->phase;
    request->upstream = standby->upstream;
    request->sent = standby->sent;
    request->forwarded_at_start = standby->forwarded_at_start;
    request->phase_start_us = standby->phase_start_us;
    request->progress_us = standby->progress_us;
    request->probed_us = standby->probed_us;
    request->probes_unanswered = standby->probes_unanswered;
    request->entered_kv_tokens = standby->entered_kv_tokens;
    request->entered_prefill_us = standby->entered_prefill_us;
    request->placed_at_start_us = standby->placed_at_start_us;
    request->task = standby->task;
}

static void
swap(cq_request_t *request)
{
    cq_standby_t running = running_of(request);
    set_running(request, &request->standby);
    request->standby = running;
}

void
cq_hedge_set_aside(cq_request_t *request)
{
    g_assert(!cq_hedge_active(request) && request->upstream != NULL);
    request->standby = running_of(request);
    request->upstream = NULL;
    request->task = NULL;
    request->entered_kv_tokens = 0;
    request->entered_prefill_us = 0;
}

/* Chooses engines that can begin at once. Memory that the running attempt has
 * reserved can't be reserved a second time under the same id, so prompts that
 * need such memory get no second attempt. */
static cq_upstream_t *
choose_engine(cq_core_t *core, cq_request_t *request, cq_task_plan_t *plan)
{
    if (cq_batchplace_any_waits(core, request->service) ||
        !cq_batchplace_choose(core, request, TRUE, plan) ||
        plan->start_delay_us != 0 || plan->holders_len > 0) {
        return NULL;
    }
    return plan->engines[0];
}

static cq_upstream_t *
choose(cq_core_t *core, cq_request_t *request, cq_task_plan_t *plan)
{
    if (request->service->rules->kind == CQ_SERVICE_BATCH) {
        return choose_engine(core, request, plan);
    }
    if (cq_place_group_size(request) > 1) {
        return NULL;
    }
    cq_upstream_t *upstream = cq_place_choose(core, request);
    cq_place_clear_earmark(core, request);
    return upstream;
}

gboolean
cq_hedge_start(cq_core_t *core, cq_request_t *request, const char *why)
{
    if (cq_hedge_active(request) || request->group_len > 0 ||
        request->is_trial || core->now_us < request->ready_us ||
        !cq_attempt_repeatable(request) ||
        !cq_attempt_retry_allowed(request) ||
        cq_quarantine_blocks(core, request)) {
        return FALSE;
    }
    cq_task_plan_t plan = {.engines_len = 0};
    cq_upstream_t *upstream = choose(core, request, &plan);
    if (upstream == NULL && request->last_failed != 0) {
        request->last_failed = 0;
        upstream = choose(core, request, &plan);
    }
    if (upstream == NULL) {
        return FALSE;
    }
    cq_table_log_event(core, request, "silent",
                       "upstream=%s why=%s quiet_ms=%" G_GINT64_FORMAT
                       " from_token=%" G_GINT64_FORMAT,
                       request->upstream->name, why,
                       (core->now_us - request->progress_us) / CQ_MS_US,
                       request->forwarded);
    cq_counters_add(&core->counters, CQ_N_SILENT_CONNECTIONS, 1);
    cq_counters_add(&core->counters, CQ_N_RETRIES, 1);
    request->service->retry_tokens -= 1;
    cq_hedge_set_aside(request);
    if (plan.engines_len > 0) {
        cq_task_open(core, request, &plan);
        cq_task_start(core, request);
    }
    cq_attempt_start(core, request, upstream);
    return TRUE;
}

gboolean
cq_hedge_active(const cq_request_t *request)
{
    return request->standby.attempt != 0;
}

void
cq_hedge_select(cq_request_t *request, guint32 attempt)
{
    if (cq_hedge_active(request) && request->standby.attempt == attempt) {
        swap(request);
    }
}

void
cq_hedge_settle(cq_core_t *core, cq_request_t *request)
{
    if (!cq_hedge_active(request)) {
        return;
    }
    swap(request);
    cq_table_log_event(
        core, request, "stopped", "upstream=%s try=%u other_try=%u",
        request->upstream != NULL ? request->upstream->name : "-",
        request->attempt, request->standby.attempt);
    cq_attempt_abandon(core, request);
    /* The attempt holds engine memory if a peer was tried beside it. */
    cq_group_release(core, request);
    set_running(request, &request->standby);
    request->standby = (cq_standby_t){.attempt = 0};
}

gboolean
cq_hedge_fall_back(cq_core_t *core, cq_request_t *request)
{
    if (!cq_hedge_active(request)) {
        return FALSE;
    }
    g_assert(request->upstream == NULL && request->task == NULL);
    set_running(request, &request->standby);
    request->standby = (cq_standby_t){.attempt = 0};
    cq_table_log_event(core, request, "goes_on", "upstream=%s try=%u",
                       request->upstream != NULL ? request->upstream->name
                                                 : "-",
                       request->attempt);
    return TRUE;
}
