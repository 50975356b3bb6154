#include "core/intake.h"

#include <string.h>

#include "core/answer.h"
#include "core/batch.h"
#include "core/claim.h"
#include "core/flow.h"
#include "core/load.h"
#include "core/place.h"
#include "core/table.h"
#include "core/usage.h"

#define PLAIN_COST 0.05
#define FEASIBLE_PERCENT 80

static cq_class_t
class_of(gint64 prompt_tokens)
{
    if (prompt_tokens <= CQ_CLASS_SHORT_TOKENS) {
        return CQ_CLASS_SHORT;
    }
    if (prompt_tokens <= CQ_CLASS_MIDDLE_TOKENS) {
        return CQ_CLASS_MIDDLE;
    }
    if (prompt_tokens <= CQ_CLASS_LONG_TOKENS) {
        return CQ_CLASS_LONG;
    }
    return CQ_CLASS_GIANT;
}

static gint64
alone_us(const cq_request_t *request)
{
    gint64 decode_us = request->output_tokens * CQ_DECODE_STEP_US;
    return cq_load_prompt_us(request) + decode_us;
}

static double
cost_of(const cq_request_t *request)
{
    const cq_service_t *service = request->service;
    gint64 decode = request->output_tokens * CQ_DECODE_STEP_US;
    gint64 us = 0;
    switch (service->rules->kind) {
    case CQ_SERVICE_PLAIN:
        return PLAIN_COST;
    case CQ_SERVICE_MODEL:
        us = cq_load_prefill_us(service, request->prompt_tokens);
        us += decode / CQ_STREAMS_TARGET;
        break;
    case CQ_SERVICE_BATCH:
        us = cq_batchcost_prefill_us(&service->rules->speed,
                                     request->prompt_tokens);
        break;
    }
    return (double)us / (double)CQ_SECOND_US;
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
make(cq_core_t *core, const cq_ev_request_t *event)
{
    cq_request_t *request = cq_table_add_request(core, event->id);
    request->arrived_us = core->now_us;
    request->phase_us = core->now_us;
    request->key = event->key;
    request->repeatable = event->repeatable;
    request->prompt_tokens = MAX(event->prompt_tokens, 1);
    request->output_tokens = event->output_tokens;
    request->output_known = event->output_tokens > 0;
    request->gap_us = event->gap_us;
    request->attempts_max = event->attempts_max;
    request->resumable = event->resumable;
    if (!request->output_known) {
        request->output_tokens = CQ_OUTPUT_TOKENS_DEFAULT;
    }
    request->klass = class_of(request->prompt_tokens);
    request->rank = request->klass;
    request->prefixes_len = event->prefixes_len;
    memcpy(request->prefixes, event->prefixes, sizeof request->prefixes);
    return request;
}

/* Fills what depends on the service; FALSE when a name is unknown. */
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
    gboolean model = rules->kind == CQ_SERVICE_MODEL;
    if (model && !cq_rules_has_model(rules, event->model)) {
        return FALSE;
    }
    if (!model) {
        request->klass = CQ_CLASS_SHORT;
        request->rank = CQ_CLASS_SHORT;
    }
    request->service = service;
    if (model && cq_rules_model_replicas(rules, event->model) > 0) {
        request->model = cq_ident_hash(event->model);
    }
    request->deadline_us = core->now_us + timeout_us(rules, event);
    request->aim_us = request->deadline_us;
    if (event->aim_us > 0) {
        request->aim_us = MIN(core->now_us + event->aim_us, request->aim_us);
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
in_time(const cq_core_t *core, const cq_request_t *request)
{
    const cq_service_t *service = request->service;
    gint64 wait_us = 0;
    if (service->lanes[request->klass].count > 0) {
        wait_us = cq_flow_wait_us(core, request);
    }
    gint64 left_us = request->deadline_us - core->now_us;
    gint64 run_us =
        wait_us > 0 ? cq_load_run_us(request) : cq_load_least_us(request);
    gint64 needed_us = wait_us + run_us;
    return needed_us <= left_us * FEASIBLE_PERCENT / 100;
}

static guint
waiting(const cq_service_t *service)
{
    guint count = 0;
    for (int i = 0; i < CQ_CLASSES; i++) {
        count += service->lanes[i].count;
    }
    return count;
}

/* Return: CQ_OUT_DONE when the request may enter. */
static cq_outcome_t
admission(const cq_core_t *core, const cq_request_t *request)
{
    const cq_service_t *service = request->service;
    if (core->draining && core->now_us >= core->drain_notice_us) {
        return CQ_OUT_DRAINING;
    }
    if (cq_place_group_size(request) > service->rules->group_max) {
        return CQ_OUT_TOO_LONG;
    }
    if (service->nearby->len + service->remote->len == 0) {
        return CQ_OUT_NO_UPSTREAM;
    }
    if (g_hash_table_size(core->request_by_id) > CQ_REQUESTS_MAX) {
        return CQ_OUT_OVERLOADED;
    }
    if (core->policy != CQ_POLICY_COST ||
        service->rules->kind == CQ_SERVICE_BATCH) {
        return CQ_OUT_DONE;
    }
    if (waiting(service) >= service->rules->queue_max) {
        return CQ_OUT_OVERLOADED;
    }
    return in_time(core, request) ? CQ_OUT_DONE : CQ_OUT_OVERLOADED;
}

static void
count_demand(const cq_request_t *request)
{
    cq_service_t *service = request->service;
    if (service->rules->kind != CQ_SERVICE_MODEL) {
        return;
    }
    gint64 need = cq_place_need(request);
    double seconds = (double)alone_us(request) / (double)CQ_SECOND_US;
    service->demand[request->klass] += (double)need * seconds;
}

/* The budget is one for all hosts: each saves up its part of it. */
static double
retries_max(const cq_core_t *core, const cq_rules_t *rules)
{
    double most = (double)rules->retry_burst;
    guint others = g_hash_table_size(core->entry_hosts);
    return rules->retry_shared ? most / (others + 1) : most;
}

static void
earn_retries(const cq_core_t *core, cq_service_t *service)
{
    double earned = (double)service->rules->retry_percent / 100.0;
    double tokens = service->retry_tokens + earned;
    service->retry_tokens = MIN(tokens, retries_max(core, service->rules));
}

void
cq_intake_request(cq_core_t *core, const cq_ev_request_t *event)
{
    g_assert(cq_table_request(core, event->id) == NULL);
    cq_counters_add(&core->counters, CQ_N_REQUESTS, 1);
    cq_request_t *request = make(core, event);
    cq_table_note(core, request, "request",
                  "service=%s team=%s tokens=%" G_GINT64_FORMAT,
                  event->service, event->team, request->prompt_tokens);
    if (!bind_service(core, request, event)) {
        cq_answer_give(core, request, CQ_OUT_UNKNOWN_NAME);
        return;
    }
    count_demand(request);
    cq_place_refresh(core, request->service);
    cq_outcome_t outcome = admission(core, request);
    if (outcome != CQ_OUT_DONE) {
        cq_answer_give(core, request, outcome);
        return;
    }
    cq_counters_add(&core->counters, CQ_N_ADMITTED, 1);
    earn_retries(core, request->service);
    if (cq_claim_needed(request)) {
        cq_claim_begin(core, request);
        return;
    }
    cq_flow_push(core, request, FALSE);
}
