#include "core/alive.h"

#include "core/attempt.h"
#include "core/reach.h"
#include "core/table.h"

/* An upstream that sends nothing for this time is asked for a connection. A
 * sound one may be silent for a second or so. */
#define QUIET_US (2 * CQ_SECOND_US)
/* Time limit for that connection to open, and the least interval between two
 * of them. Together with QUIET_US it leaves a second to release the memory
 * before upstreams' operators count it as lost. */
#define OPEN_TIMEOUT_US CQ_SECOND_US

static gboolean
is_quiet(const cq_core_t *core, const cq_request_t *request)
{
    return request->phase == CQ_PHASE_RUNNING && request->sent &&
           request->group_len > 0 && !request->paused &&
           core->now_us - request->progress_us > QUIET_US;
}

void
cq_alive_check(cq_core_t *core, cq_request_t *request)
{
    if (is_quiet(core, request) && !cq_reach_is_cut(core) &&
        core->now_us - request->probed_us > OPEN_TIMEOUT_US) {
        request->probed_us = core->now_us;
        cq_reach_ask(core, request->upstream, OPEN_TIMEOUT_US);
    }
}

void
cq_alive_reached(cq_core_t *core, const cq_ev_reached_t *event)
{
    if (!event->timed_out || cq_reach_is_cut(core)) {
        return;
    }
    cq_list_t *link = core->requests.next;
    while (link != &core->requests) {
        cq_request_t *request = CQ_ENTRY(link, cq_request_t, link);
        link = link->next;
        if (is_quiet(core, request) && request->probed_us > 0 &&
            request->upstream->id == event->upstream) {
            cq_table_log_event(core, request, "silent",
                               "upstream=%s why=not_reached",
                               request->upstream->name);
            cq_attempt_stop(core, request);
            cq_attempt_fail(core, request, CQ_FAIL_BROKEN);
        }
    }
}
