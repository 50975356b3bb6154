#include "core/stop.h"

#include "core/answer.h"
#include "core/load.h"

/* The estimate of a kind of request is the longest of its last RUNS_WINDOW to
 * 2 x RUNS_WINDOW runs, and is not used before RUNS_MIN of them. */
#define RUNS_WINDOW 128
#define RUNS_MIN 8
/* Kinds whose run times are remembered; beyond this all are forgotten. */
#define KINDS_MAX 4096

/* Run times of one kind of request at one service; used as its own key.
 * longest_us, longest_before_us: in the current window, in the one before
 * runs: in the current window */
typedef struct {
    guint64 kind;
    gint64 longest_us;
    gint64 longest_before_us;
    guint runs;
    gboolean known;
} runs_t;

static guint64
key_of(const cq_request_t *request)
{
    return request->service->id ^ request->kind;
}

/* Return: the estimated time from the first attempt's start to the answer, or
 * G_MAXINT64 if it is not known. */
static gint64
run_us(const cq_core_t *core, const cq_request_t *request)
{
    if (request->service->rules->kind == CQ_SERVICE_MODEL) {
        return cq_load_run_busy_us(request);
    }
    guint64 key = key_of(request);
    const runs_t *runs = g_hash_table_lookup(core->runs, &key);
    if (runs == NULL || !runs->known) {
        return G_MAXINT64;
    }
    return MAX(runs->longest_us, runs->longest_before_us);
}

/* Whether a request that starts now may still run when the stop ends. Every
 * request is answered by its deadline. */
static gboolean
may_outlast(const cq_core_t *core, const cq_request_t *request)
{
    gint64 left_us = core->drain_limit_us - core->now_us;
    return request->deadline_us > core->drain_limit_us &&
           run_us(core, request) > left_us;
}

static gboolean
waits(const cq_request_t *request)
{
    return request->phase == CQ_PHASE_CLAIMING ||
           request->phase == CQ_PHASE_QUEUED ||
           request->phase == CQ_PHASE_RESERVING;
}

static void
refuse_waiting(cq_core_t *core)
{
    cq_list_t *link = core->requests.next;
    while (link != &core->requests) {
        cq_request_t *request = CQ_ENTRY(link, cq_request_t, link);
        link = link->next;
        if (waits(request) && cq_answer_ran(request) == CQ_RAN_NO &&
            may_outlast(core, request)) {
            cq_answer_outcome(core, request, CQ_OUTCOME_DRAINING);
        }
    }
}

static void
answer_all(cq_core_t *core)
{
    while (!cq_list_empty(&core->requests)) {
        cq_request_t *request =
            CQ_ENTRY(core->requests.next, cq_request_t, link);
        cq_answer_outcome(core, request, CQ_OUTCOME_DRAINING);
    }
}

void
cq_stop_begin(cq_core_t *core, const cq_ev_drain_t *event)
{
    core->draining = TRUE;
    core->drain_notice_us = core->now_us + event->notice_us;
    core->drain_limit_us = core->now_us + event->limit_us;
    /* Peers that are cut off pass nothing on to this host from now on. */
    core->summary_needed = TRUE;
    cq_ring_add(&core->ring, core->now_us, 0, 0, "drain",
                "notice_ms=%" G_GINT64_FORMAT " limit_ms=%" G_GINT64_FORMAT,
                event->notice_us / CQ_MS_US, event->limit_us / CQ_MS_US);
}

gboolean
cq_stop_admits(const cq_core_t *core, const cq_request_t *request)
{
    return !core->draining || (core->now_us < core->drain_notice_us &&
                               !may_outlast(core, request));
}

void
cq_stop_tick(cq_core_t *core)
{
    if (!core->draining || core->stopped) {
        return;
    }
    refuse_waiting(core);
    if (core->now_us >= core->drain_limit_us) {
        answer_all(core);
    }
    gboolean notice_over = core->now_us >= core->drain_notice_us;
    if (notice_over && cq_list_empty(&core->requests)) {
        core->stopped = TRUE;
        cq_action_t action = {.kind = CQ_AC_STOPPED};
        cq_actions_add(core->actions, &action);
        cq_ring_add(&core->ring, core->now_us, 0, 0, "stopped", "clean=yes");
    }
}

static runs_t *
ensure_runs(cq_core_t *core, guint64 key)
{
    runs_t *runs = g_hash_table_lookup(core->runs, &key);
    if (runs == NULL) {
        if (g_hash_table_size(core->runs) >= KINDS_MAX) {
            g_hash_table_remove_all(core->runs);
        }
        runs = g_new0(runs_t, 1);
        runs->kind = key;
        g_hash_table_add(core->runs, runs);
    }
    return runs;
}

/* A request that its caller left, or whose time was over, would have run for
 * longer than it did: it is no run, but raises the estimate. */
void
cq_stop_learn(cq_core_t *core, const cq_request_t *request,
              cq_outcome_t outcome, int status)
{
    gboolean whole =
        outcome == CQ_OUTCOME_DONE && status >= 200 && status < 300;
    if (request->started_us == 0 || !(whole || outcome == CQ_OUTCOME_EXPIRED ||
                                      outcome == CQ_OUTCOME_HUNG_UP)) {
        return;
    }
    runs_t *runs = ensure_runs(core, key_of(request));
    if (runs->runs >= RUNS_WINDOW) {
        runs->longest_before_us = runs->longest_us;
        runs->longest_us = 0;
        runs->runs = 0;
    }
    runs->longest_us =
        MAX(runs->longest_us, core->now_us - request->started_us);
    runs->runs += whole;
    runs->known = runs->known || runs->runs >= RUNS_MIN;
}
