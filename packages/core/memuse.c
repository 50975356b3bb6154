#include "core/memuse.h"

#include "core/attempt.h"
#include "core/group.h"
#include "core/hedge.h"
#include "core/reach.h"
#include "core/table.h"

/* Engines are asked about memory whose request shows no progress for
 * INSPECT_AFTER_US, and then again at this interval. */
#define INSPECT_AFTER_US (2 * CQ_SECOND_US)
#define INSPECT_INTERVAL_US (500 * CQ_MS_US)
/* Memory that a request has never used is given up after this time. A prompt
 * begins at once unless its engine got work that this host didn't know of. */
#define UNUSED_MAX_US (4 * CQ_SECOND_US)
/* Memory whose use has ended is given up this long after the first report that
 * says so: a report is some hundred milliseconds old, and the last token may
 * still be on its way. */
#define ENDED_MAX_US CQ_SECOND_US
/* Memory whose engines don't report is given up after this time. */
#define UNKNOWN_MAX_US (6 * CQ_SECOND_US)

static const char *const use_names[CQ_MEMORY_USE_COUNT] = {
    [CQ_MEMORY_UNKNOWN] = "unknown", [CQ_MEMORY_NONE] = "none",
    [CQ_MEMORY_WAITING] = "waiting", [CQ_MEMORY_HELD] = "held",
    [CQ_MEMORY_USED] = "used",
};

/* Whether @request has memory that it perhaps doesn't use. Only engines of a
 * BATCH service can be asked. */
static gboolean
is_in_doubt(const cq_core_t *core, const cq_request_t *request)
{
    return request->group_len > 0 && request->phase != CQ_PHASE_RESERVING &&
           request->service->rules->kind == CQ_SERVICE_BATCH &&
           !request->paused &&
           core->now_us - request->progress_us >= INSPECT_AFTER_US;
}

void
cq_memuse_begin(const cq_core_t *core, cq_request_t *request)
{
    request->inspected_us = core->now_us;
    for (guint i = 0; i < request->group_len; i++) {
        request->memory_use[i] = CQ_MEMORY_UNKNOWN;
        request->unused_since_us[i] = request->reserved_us;
    }
}

/* Ends the attempt that holds the memory; the prompt is placed anew. What may
 * not be repeated keeps its attempt without the memory: an engine that begins
 * it after all refuses it as not run. */
static void
give_up(cq_core_t *core, cq_request_t *request)
{
    /* Only a request that may be repeated is tried at a peer beside the
     * attempt that holds the memory. */
    if (request->phase == CQ_PHASE_HANDED) {
        cq_hedge_select(request, request->standby.attempt);
    }
    g_assert(request->upstream != NULL);
    cq_counters_add(&core->counters, CQ_N_MEMORY_GIVEN_UP, 1);
    cq_table_log_event(core, request, "memory_given_up",
                       "upstream=%s reserved_ms=%" G_GINT64_FORMAT,
                       request->upstream->name,
                       (core->now_us - request->reserved_us) / CQ_MS_US);
    if (!cq_attempt_repeatable(request)) {
        cq_group_release(core, request);
        return;
    }
    cq_attempt_stop(core, request);
    cq_attempt_fail(core, request, CQ_FAIL_BROKEN);
}

/* Whether no engine of the group has reported since the request last made
 * progress. A host that is cut off gets no reports. */
static gboolean
is_unknown_for_long(const cq_core_t *core, const cq_request_t *request)
{
    for (guint i = 0; i < request->group_len; i++) {
        if (request->memory_use[i] != CQ_MEMORY_UNKNOWN ||
            request->unused_since_us[i] == 0) {
            return FALSE;
        }
    }
    return core->now_us - request->progress_us >= UNKNOWN_MAX_US &&
           !cq_reach_is_cut(core);
}

gboolean
cq_memuse_check(cq_core_t *core, cq_request_t *request)
{
    if (!is_in_doubt(core, request) ||
        core->now_us - request->inspected_us < INSPECT_INTERVAL_US) {
        return FALSE;
    }
    if (is_unknown_for_long(core, request)) {
        give_up(core, request);
        return TRUE;
    }
    request->inspected_us = core->now_us;
    for (guint i = 0; i < request->group_len; i++) {
        cq_counters_add(&core->counters, CQ_N_INSPECTIONS, 1);
        cq_action_t action = {
            .kind = CQ_AC_INSPECT,
            .memory = {.request = request->id,
                       .upstream = request->group[i]->id},
        };
        cq_actions_add(core->actions, &action);
    }
    return FALSE;
}

/* Records that the memory isn't in use; Return: whether it is given up. */
static gboolean
note_unused(const cq_core_t *core, cq_request_t *request, guint index)
{
    gint64 *since_us = &request->unused_since_us[index];
    gboolean tokens_came = request->forwarded > request->forwarded_at_start;
    if (*since_us == 0 || (tokens_came && *since_us < request->progress_us)) {
        *since_us = core->now_us;
    }
    gboolean never_used = *since_us == request->reserved_us;
    return core->now_us - *since_us >=
           (never_used ? UNUSED_MAX_US : ENDED_MAX_US);
}

static void
log_change(cq_core_t *core, const cq_request_t *request, guint index,
           const cq_memory_report_t *report)
{
    cq_table_log_event(core, request, "memory",
                       "upstream=%s use=%s reserved_ms=%" G_GINT64_FORMAT
                       " age_ms=%" G_GINT64_FORMAT " waiting=%" G_GINT64_FORMAT
                       " running=%" G_GINT64_FORMAT " tokens=%" G_GINT64_FORMAT
                       "/%" G_GINT64_FORMAT,
                       request->group[index]->name, use_names[report->use],
                       (core->now_us - request->reserved_us) / CQ_MS_US,
                       report->age_us / CQ_MS_US, report->waiting,
                       report->running, report->used_tokens,
                       report->memory_tokens);
}

void
cq_memuse_apply(cq_core_t *core, const cq_ev_inspected_t *event)
{
    cq_request_t *request = cq_table_request(core, event->request);
    if (request == NULL || !is_in_doubt(core, request)) {
        return;
    }
    int index = cq_group_index(request, event->upstream);
    if (index < 0) {
        return;
    }
    const cq_memory_report_t *report = &event->report;
    if (report->use != request->memory_use[index]) {
        request->memory_use[index] = report->use;
        log_change(core, request, (guint)index, report);
    }
    switch (report->use) {
    case CQ_MEMORY_USED:
        request->unused_since_us[index] = 0;
        break;
    case CQ_MEMORY_NONE:
    case CQ_MEMORY_WAITING:
    case CQ_MEMORY_HELD:
        cq_counters_add(&core->counters, CQ_N_MEMORY_SEEN_UNUSED, 1);
        if (note_unused(core, request, (guint)index)) {
            give_up(core, request);
        }
        break;
    case CQ_MEMORY_UNKNOWN:
    case CQ_MEMORY_USE_COUNT:
        break;
    }
}
