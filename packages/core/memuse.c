#include "core/memuse.h"

#include "core/group.h"
#include "core/table.h"

/* Engines are asked about memory whose request shows no progress for
 * INSPECT_AFTER_US, and then again at this interval. */
#define INSPECT_AFTER_US (2 * CQ_SECOND_US)
#define INSPECT_INTERVAL_US CQ_SECOND_US

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
    }
}

void
cq_memuse_check(cq_core_t *core, cq_request_t *request)
{
    if (!is_in_doubt(core, request) ||
        core->now_us - request->inspected_us < INSPECT_INTERVAL_US) {
        return;
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
    if (report->use != CQ_MEMORY_USED) {
        cq_counters_add(&core->counters, CQ_N_MEMORY_SEEN_UNUSED, 1);
    }
    if (report->use != request->memory_use[index]) {
        request->memory_use[index] = report->use;
        log_change(core, request, (guint)index, report);
    }
}
