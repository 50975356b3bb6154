#include "core/admission.h"

#include <string.h>

#include "core/answer.h"
#include "core/batchcost.h"
#include "core/claim.h"
#include "core/flow.h"
#include "core/handoff.h"
#include "core/load.h"
#include "core/member.h"
#include "core/place.h"
#include "core/quarantine.h"
#include "core/rate.h"
#include "core/stop.h"
#include "core/table.h"
#include "core/usage.h"

/* Cost of a plain call in engine seconds. */
#define PLAIN_COST_SECONDS 0.05
/* A request is accepted if its expected time in queue plus its run time is at
 * most this share of the time until its deadline. */
#define DEADLINE_PERCENT 80

static cq_class_t
class_of(gint64 prompt_tokens)
{
    if (prompt_tokens <= CQ_CLASS_SHORT_TOKENS_MAX) {
        return CQ_CLASS_SHORT;
    }
    if (prompt_tokens <= CQ_CLASS_MIDDLE_TOKENS_MAX) {
        return CQ_CLASS_MIDDLE;
    }
    if (prompt_tokens <= CQ_CLASS_LONG_TOKENS_MAX) {
        return CQ_CLASS_LONG;
    }
    return CQ_CLASS_GIANT;
}

/* Run time on an engine that has CQ_STREAMS_TARGET streams. */
static gint64
usual_run_us(const cq_request_t *request)
{
    gint64 decode_us = request->output_tokens * CQ_DECODE_STEP_US;
    return cq_load_prompt_us(request) + decode_us;
}

/* Cost in engine seconds. */
static double
cost_of(const cq_request_t *request)
{
    const cq_service_t *service = request->service;
    gint64 decode_us = request->output_tokens * CQ_DECODE_STEP_US;
    gint64 engine_us = 0;
    switch (service->rules->kind) {
    case CQ_SERVICE_PLAIN:
        return PLAIN_COST_SECONDS;
    case CQ_SERVICE_MODEL:
        engine_us = cq_load_prefill_us(service, request->prompt_tokens);
        engine_us += decode_us / CQ_STREAMS_TARGET;
        break;
    case CQ_SERVICE_BATCH:
        engine_us = cq_batchcost_prefill_us(&service->rules->speed,
                                            request->prompt_tokens);
        break;
    }
    return (double)engine_us / (double)CQ_SECOND_US;
}

static gint64
timeout_us(const cq_rules_t *rules, const cq_ev_request_t *event)
{
    gint64 asked_us = event->timeout_us;
    if (asked_us <= 0) {
        asked_us = rules->timeout_ms * CQ_MS_US;
    }
    return MIN(asked_us, rules->timeout_max_ms * CQ_MS_US);
}

static cq_request_t *
make_request(cq_core_t *core, const cq_ev_request_t *event)
{
    cq_request_t *request = cq_table_add_request(core, event->id);
    request->arrived_us = core->now_us;
    request->phase_start_us = core->now_us;
    request->key = event->key;
    request->repeatable = event->repeatable;
    request->prompt_tokens = MAX(event->prompt_tokens, 1);
    request->output_tokens = event->output_tokens;
    request->output_known = event->output_tokens > 0;
    request->gap_max_us = event->gap_max_us;
    request->attempts_max = event->attempts_max;
    request->resumable = event->resumable;
    if (!request->output_known) {
        request->output_tokens = CQ_OUTPUT_TOKENS_DEFAULT;
    }
    request->length_class = class_of(request->prompt_tokens);
    request->priority_class = request->length_class;
    memcpy(request->suspects, event->parts.ids, sizeof event->parts.ids);
    request->suspects_len = event->parts.len;
    request->fingerprint = event->fingerprint;
    request->handed = event->handed;
    request->kind = event->kind;
    if (request->fingerprint != 0) {
        request->suspects[request->suspects_len++] = request->fingerprint;
    }
    request->prefixes_len = event->prefixes_len;
    memcpy(request->prefixes, event->prefixes, sizeof request->prefixes);
    return request;
}

/* Fills in what depends on the service. Return: FALSE when a name is unknown.
 */
static gboolean
bind_service(cq_core_t *core, cq_request_t *request,
             const cq_ev_request_t *event)
{
    cq_service_t *service = cq_table_service(core, event->service);
    if (service == NULL || service->rules == NULL) {
        return FALSE;
    }
    const cq_rules_t *rules = service->rules;
    request->team = cq_rules_team_index(rules, event->team);
    if (request->team < 0) {
        return FALSE;
    }
    request->team_id = cq_ident_hash(event->team);
    gboolean is_model_service = rules->kind == CQ_SERVICE_MODEL;
    if (is_model_service && !cq_rules_has_model(rules, event->model)) {
        return FALSE;
    }
    if (!is_model_service) {
        request->length_class = CQ_CLASS_SHORT;
        request->priority_class = CQ_CLASS_SHORT;
    }
    request->service = service;
    if (is_model_service && cq_rules_model_replicas(rules, event->model) > 0) {
        request->model = cq_ident_hash(event->model);
    }
    request->deadline_us = core->now_us + timeout_us(rules, event);
    request->target_us = request->deadline_us;
    if (event->target_us > 0) {
        request->target_us =
            MIN(core->now_us + event->target_us, request->target_us);
    }
    if (request->attempts_max == 0) {
        request->attempts_max = (guint)rules->attempts_max;
    }
    request->resumable = request->resumable || rules->resume;
    request->cost = cost_of(request);
    cq_usage_open(request);
    return TRUE;
}

static gboolean
can_finish_in_time(const cq_core_t *core, const cq_request_t *request)
{
    const cq_service_t *service = request->service;
    gint64 wait_us = 0;
    if (service->class_queues[request->length_class].count > 0) {
        wait_us = cq_flow_wait_us(core, request);
    }
    gint64 left_us = request->deadline_us - core->now_us;
    gint64 run_us = wait_us > 0 ? cq_load_run_busy_us(request)
                                : cq_load_run_min_us(request);
    gint64 needed_us = wait_us + run_us;
    return needed_us <= left_us * DEADLINE_PERCENT / 100;
}

/* Return: CQ_OUTCOME_DONE when the request may be queued, else the reason why
 * not.
 */
static cq_outcome_t
check_admission(const cq_core_t *core, const cq_request_t *request)
{
    const cq_service_t *service = request->service;
    if (cq_quarantine_blocks(core, request)) {
        return cq_quarantine_outcome(core, request);
    }
    if (cq_place_group_size(request) > service->rules->group_max) {
        return CQ_OUTCOME_TOO_LONG;
    }
    if (cq_rate_delays(core, request)) {
        return CQ_OUTCOME_RATE_LIMITED;
    }
    if (!cq_member_usable_in_time(core, request)) {
        return CQ_OUTCOME_NO_UPSTREAM;
    }
    if (g_hash_table_size(core->request_by_id) > CQ_REQUESTS_MAX) {
        return CQ_OUTCOME_OVERLOADED;
    }
    if (core->policy != CQ_POLICY_COST ||
        service->rules->kind == CQ_SERVICE_BATCH) {
        return CQ_OUTCOME_DONE;
    }
    if (cq_flow_queued_count(service) >= service->rules->queue_max) {
        return CQ_OUTCOME_OVERLOADED;
    }
    return can_finish_in_time(core, request) ? CQ_OUTCOME_DONE
                                             : CQ_OUTCOME_OVERLOADED;
}

static void
add_demand(const cq_request_t *request)
{
    cq_service_t *service = request->service;
    if (service->rules->kind != CQ_SERVICE_MODEL) {
        return;
    }
    gint64 need = cq_place_need_tokens(request);
    double seconds = (double)usual_run_us(request) / (double)CQ_SECOND_US;
    service->demand[request->length_class] += (double)need * seconds;
}

/* A shared retry budget is divided evenly among all hosts. */
static double
retry_tokens_max(const cq_core_t *core, const cq_rules_t *rules)
{
    double burst = (double)rules->retry_burst;
    guint others = g_hash_table_size(core->entry_hosts);
    return rules->retry_shared ? burst / (others + 1) : burst;
}

static void
add_retry_tokens(const cq_core_t *core, cq_service_t *service)
{
    double earned = (double)service->rules->retry_percent / 100.0;
    double tokens = service->retry_tokens + earned;
    service->retry_tokens =
        MIN(tokens, retry_tokens_max(core, service->rules));
}

void
cq_admission_request(cq_core_t *core, const cq_ev_request_t *event)
{
    g_assert(cq_table_request(core, event->id) == NULL);
    cq_counters_add(&core->counters, CQ_N_REQUESTS, 1);
    cq_request_t *request = make_request(core, event);
    cq_table_log_event(core, request, "request",
                       "service=%s team=%s tokens=%" G_GINT64_FORMAT,
                       event->service, event->team, request->prompt_tokens);
    if (!bind_service(core, request, event)) {
        cq_answer_outcome(core, request, CQ_OUTCOME_UNKNOWN_NAME);
        return;
    }
    add_demand(request);
    cq_place_update_candidates(core, request->service);
    if (!cq_stop_admits(core, request)) {
        cq_answer_outcome(core, request, CQ_OUTCOME_DRAINING);
        return;
    }
    if (cq_handoff_start(core, request)) {
        cq_counters_add(&core->counters, CQ_N_ADMITTED, 1);
        return;
    }
    request->is_trial = cq_quarantine_admits_trial(core, request);
    cq_outcome_t outcome = check_admission(core, request);
    if (outcome != CQ_OUTCOME_DONE) {
        cq_answer_outcome(core, request, outcome);
        return;
    }
    cq_counters_add(&core->counters, CQ_N_ADMITTED, 1);
    add_retry_tokens(core, request->service);
    if (cq_claim_needed(request)) {
        cq_claim_begin(core, request);
        return;
    }
    cq_flow_push(core, request, FALSE);
}
