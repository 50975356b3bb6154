#include "core/alive.h"

#include "core/attempt.h"
#include "core/reach.h"
#include "core/table.h"

/* An upstream that sends nothing for this time is asked for a connection. A
 * sound one may be silent for a second or so. */
#define QUIET_US (1500 * CQ_MS_US)
/* Time limit for that connection to open. */
#define OPEN_TIMEOUT_US (700 * CQ_MS_US)
/* Connections in a row that got no answer at all before the upstream counts as
 * gone: the first packet of one may be lost. With the times above, the memory
 * is released within 3 s. */
#define UNANSWERED_MAX 2

/* Whether @request holds memory for an upstream that has been quiet. What may
 * not be repeated keeps its attempt, as it may still be answered. */
static gboolean
is_quiet(const cq_core_t *core, const cq_request_t *request)
{
    return request->phase == CQ_PHASE_RUNNING && request->sent &&
           request->group_len > 0 && request->repeatable && !request->paused &&
           core->now_us - request->progress_us > QUIET_US;
}

void
cq_alive_check(cq_core_t *core, cq_request_t *request)
{
    if (!is_quiet(core, request) || cq_reach_is_cut(core) ||
        core->now_us - request->probed_us <= OPEN_TIMEOUT_US) {
        return;
    }
    request->probed_us = core->now_us;
    cq_action_t action = {
        .kind = CQ_AC_REACH,
        .reach = {.upstream = request->upstream->id,
                  .timeout_us = OPEN_TIMEOUT_US,
                  .purpose = CQ_REACH_ALIVE},
    };
    cq_actions_add(core->actions, &action);
}

static void
end_attempt(cq_core_t *core, cq_request_t *request)
{
    cq_table_log_event(core, request, "silent", "upstream=%s why=not_reached",
                       request->upstream->name);
    cq_attempt_stop(core, request);
    cq_attempt_fail(core, request, CQ_FAIL_BROKEN);
}

void
cq_alive_reached(cq_core_t *core, const cq_ev_reached_t *event)
{
    const cq_upstream_t *upstream = cq_table_upstream(core, event->upstream);
    if (upstream == NULL || cq_reach_is_cut(core)) {
        return;
    }
    if (event->timed_out) {
        cq_reach_failed(core, upstream);
    }
    cq_list_t *link = core->requests.next;
    while (link != &core->requests) {
        cq_request_t *request = CQ_ENTRY(link, cq_request_t, link);
        link = link->next;
        if (!is_quiet(core, request) || request->upstream != upstream) {
            continue;
        }
        request->probes_unanswered =
            event->timed_out ? request->probes_unanswered + 1 : 0;
        if (request->probes_unanswered >= UNANSWERED_MAX) {
            end_attempt(core, request);
        }
    }
}
