/* Checks the invariants of the core's tables; see cq_core_check(). */
#include "core/group.h"
#include "core/state.h"
#include "core/table.h"

/* Requests are ended by ticks, so one may be open a little after its deadline.
 */
#define DEADLINE_SLACK_US (2 * CQ_TICK_US)

static const char *
check_request(const cq_request_t *request, gint64 now_us)
{
    if (now_us > request->deadline_us + DEADLINE_SLACK_US) {
        return "a request is open after its deadline";
    }
    if (!request->repeatable && request->possible_runs > 1) {
        return "a call that may not be repeated was sent twice";
    }
    gboolean running = request->phase == CQ_PHASE_RUNNING;
    if (running != (request->upstream != NULL)) {
        return "a running request has no upstream, or a waiting request has "
               "one";
    }
    gboolean queued = request->phase == CQ_PHASE_QUEUED;
    if (queued == cq_list_empty(&request->queue_link)) {
        return "a queued request is in no queue, or one that is not queued is "
               "in one";
    }
    if (running && request->group_len > 0 &&
        request->granted != request->group_len) {
        return "a group runs with memory that was not granted";
    }
    if (request->standby.attempt != 0 &&
        (!request->repeatable ||
         (request->upstream == NULL && request->phase != CQ_PHASE_HANDED))) {
        return "a second attempt runs beside none, or beside one that may not "
               "be repeated";
    }
    return NULL;
}

typedef struct {
    gint64 streams;
    gint64 kv_tokens;
} sums_t;

static void
add_held(const cq_request_t *request, const cq_upstream_t *upstream,
         sums_t *sums)
{
    gint64 need = request->prompt_tokens + request->output_tokens;
    if (request->upstream == upstream) {
        sums->streams++;
        sums->kv_tokens += request->entered_kv_tokens;
    }
    if (request->standby.upstream == upstream) {
        sums->streams++;
        sums->kv_tokens += request->standby.entered_kv_tokens;
    }
    if (request->earmark == upstream) {
        sums->kv_tokens += need;
    }
    for (guint i = 0; i < request->group_len; i++) {
        if (request->group[i] == upstream) {
            sums->kv_tokens += cq_group_part_tokens(request);
        }
    }
}

static const char *
check_upstream(const cq_core_t *core, const cq_upstream_t *upstream)
{
    sums_t sums = {0};
    const cq_list_t *link = core->requests.next;
    for (; link != &core->requests; link = link->next) {
        add_held(CQ_ENTRY(link, cq_request_t, link), upstream, &sums);
    }
    if (sums.streams != upstream->own_streams) {
        return "an upstream's streams differ from the running requests";
    }
    if (sums.kv_tokens != upstream->own_kv_tokens) {
        return "an upstream's memory differs from what requests hold";
    }
    if (upstream->peer_streams < 0 || upstream->peer_kv_tokens < 0) {
        return "peers hold a negative share of an upstream's load";
    }
    return NULL;
}

const char *
cq_core_check(const cq_core_t *core, gint64 now_us)
{
    guint reserved = 0;
    const cq_list_t *link = core->requests.next;
    for (; link != &core->requests; link = link->next) {
        const cq_request_t *request = CQ_ENTRY(link, cq_request_t, link);
        const char *broken = check_request(request, now_us);
        if (broken != NULL) {
            return broken;
        }
        reserved += request->group_len;
    }
    if (reserved != core->reservations) {
        return "a reservation has no request, or is counted twice";
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->upstream_by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const char *broken = check_upstream(core, value);
        if (broken != NULL) {
            return broken;
        }
    }
    if (core->counters.value[CQ_N_INVARIANTS_BROKEN] > 0) {
        return "a call that may not be repeated was sent twice";
    }
    return NULL;
}
