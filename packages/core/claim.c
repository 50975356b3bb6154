#include "core/claim.h"

#include "core/answer.h"
#include "core/flow.h"
#include "core/table.h"

static cq_claim_entry_t *
entry_of(const cq_core_t *core, const cq_idempotency_key_t *key)
{
    return g_hash_table_lookup(core->claims, key);
}

static void
append_record(cq_core_t *core, const cq_request_t *request,
              cq_claim_verdict_t verdict, int status)
{
    cq_action_t action = {
        .kind = CQ_AC_CLAIM,
        .claim = {.key = request->key,
                  .request = request->id,
                  .verdict = verdict,
                  .status = status},
    };
    cq_actions_add(core->actions, &action);
}

gboolean
cq_claim_needed(const cq_request_t *request)
{
    gboolean keyed = request->key.hi != 0 || request->key.lo != 0;
    return keyed && !request->repeatable;
}

/* Answers @request if another request holds its key or has run with it.
 * Return: whether it did; @request is then freed. */
static gboolean
answer_if_held(cq_core_t *core, cq_request_t *request)
{
    const cq_claim_entry_t *entry = entry_of(core, &request->key);
    if (entry == NULL || entry->claim.request == request->id) {
        return FALSE;
    }
    switch (entry->claim.verdict) {
    case CQ_CLAIM_FREE:
        return FALSE;
    case CQ_CLAIM_TAKE:
        cq_counters_add(&core->counters, CQ_N_CLAIMS_LOST, 1);
        cq_answer_outcome(core, request, CQ_OUTCOME_IN_PROGRESS);
        return TRUE;
    case CQ_CLAIM_RAN:
        cq_counters_add(&core->counters, CQ_N_CLAIMS_LOST, 1);
        cq_answer_outcome(core, request, CQ_OUTCOME_ALREADY_RAN);
        return TRUE;
    }
    return FALSE;
}

void
cq_claim_begin(cq_core_t *core, cq_request_t *request)
{
    if (!core->log_up) {
        cq_answer_outcome(core, request, CQ_OUTCOME_NO_LOG);
        return;
    }
    if (answer_if_held(core, request)) {
        return;
    }
    request->phase = CQ_PHASE_CLAIMING;
    request->phase_start_us = core->now_us;
    request->claimed = TRUE;
    cq_counters_add(&core->counters, CQ_N_CLAIMS, 1);
    cq_table_log_event(core, request, "claim", "key=%08" G_GINT64_MODIFIER "x",
                       request->key.hi >> 32);
    append_record(core, request, CQ_CLAIM_TAKE, 0);
}

static void
store_entry(cq_core_t *core, const cq_claim_t *claim)
{
    cq_claim_entry_t *entry = g_new0(cq_claim_entry_t, 1);
    entry->claim = *claim;
    entry->seen_us = core->now_us;
    g_hash_table_replace(core->claims, &entry->claim.key, entry);
}

/* A TAKE record is valid if the key is free and was not last released by the
 * same request. An append whose answer was lost may be in the log twice; the
 * second copy must not take a key that the request has released. */
static void
apply_take(cq_core_t *core, const cq_claim_t *claim)
{
    const cq_claim_entry_t *entry = entry_of(core, &claim->key);
    if (entry == NULL) {
        store_entry(core, claim);
        return;
    }
    gboolean key_is_free = entry->claim.verdict == CQ_CLAIM_FREE;
    if (key_is_free && entry->claim.request != claim->request) {
        store_entry(core, claim);
    }
}

static void
apply_result(cq_core_t *core, const cq_claim_t *claim)
{
    const cq_claim_entry_t *entry = entry_of(core, &claim->key);
    if (entry == NULL || entry->claim.request == claim->request) {
        store_entry(core, claim);
    }
}

void
cq_claim_apply(cq_core_t *core, const cq_claim_t *claim)
{
    switch (claim->verdict) {
    case CQ_CLAIM_TAKE:
        apply_take(core, claim);
        break;
    case CQ_CLAIM_FREE:
    case CQ_CLAIM_RAN:
        apply_result(core, claim);
        break;
    }
    cq_request_t *request = cq_table_request(core, claim->request);
    if (request == NULL || request->phase != CQ_PHASE_CLAIMING) {
        return;
    }
    if (!answer_if_held(core, request)) {
        cq_flow_push(core, request, FALSE);
    }
}

void
cq_claim_finish(cq_core_t *core, const cq_request_t *request,
                const cq_ac_answer_t *answer)
{
    if (!request->claimed) {
        return;
    }
    const cq_claim_entry_t *entry = entry_of(core, &request->key);
    if (entry != NULL && entry->claim.request != request->id &&
        entry->claim.verdict != CQ_CLAIM_FREE) {
        return;
    }
    switch (answer->ran) {
    case CQ_RAN_NO:
        append_record(core, request, CQ_CLAIM_FREE, 0);
        break;
    case CQ_RAN_YES:
        append_record(core, request, CQ_CLAIM_RAN, answer->status);
        break;
    case CQ_RAN_UNKNOWN:
        break;
    }
}

static gboolean
is_too_old(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    const cq_core_t *core = data;
    const cq_claim_entry_t *entry = value;
    return core->now_us - entry->seen_us > CQ_CLAIM_KEEP_US;
}

void
cq_claim_sweep(cq_core_t *core)
{
    guint dropped =
        g_hash_table_foreach_remove(core->claims, is_too_old, core);
    cq_counters_add(&core->counters, CQ_N_CLAIMS_EXPIRED, dropped);
}
