#include "core/pace.h"

/* Twice as many hosts take part after each of these times. */
#define JOIN_STEP_US (250 * CQ_MS_US)
/* A host that may have this many requests running there counts the upstream
 * like the others: hosts of a fleet together fill its slots by then. */
#define WINDOW_END 8
/* An answer is late after this many times the usual time of the service, and
 * half of the shortest target time that callers usually have. */
#define LATE_FACTOR 4
#define LATE_US (100 * CQ_MS_US)
/* Weight of one answer in the usual time of a service. */
#define USUAL_SHARE 0.1
/* After a connection that did not open, the next one is tried after this time,
 * which doubles with each further one up to CQ_SUSPECT_AVOID_US. */
#define AVOID_MIN_US (500 * CQ_MS_US)
#define AVOID_DOUBLINGS_MAX 4U
/* An upstream that starts again this soon is likely to break off what it gets.
 * It rests after its next start, twice as long for each such life in a row. */
#define SHORT_LIFE_US (5 * CQ_SECOND_US)
#define REST_MIN_US (500 * CQ_MS_US)
#define REST_DOUBLINGS_MAX 3U

static void
log_pace(cq_core_t *core, const cq_upstream_t *upstream, const char *why)
{
    cq_ring_add(&core->ring, core->now_us, 0, 0, "pace",
                "upstream=%s window=%u why=%s", upstream->name,
                upstream->pace.window, why);
}

static gboolean
is_found_for(const cq_core_t *core, const cq_upstream_t *upstream)
{
    const cq_rules_t *rules = upstream->service->rules;
    return core->finds_pace && rules != NULL &&
           rules->kind == CQ_SERVICE_PLAIN;
}

/* Return: when a host of @rank may send its first request there. */
static gint64
joins_us(const cq_pace_t *pace)
{
    return pace->since_us + (gint64)g_bit_storage(pace->rank) * JOIN_STEP_US;
}

static gboolean
is_in_time(const cq_core_t *core, const cq_request_t *request)
{
    double took_us = (double)(core->now_us - request->phase_start_us);
    return took_us <=
           request->service->usual_answer_us * LATE_FACTOR + LATE_US;
}

static void
learn_usual(const cq_core_t *core, const cq_request_t *request)
{
    cq_service_t *service = request->service;
    double took_us = (double)(core->now_us - request->phase_start_us);
    service->usual_answer_us =
        service->usual_answer_us == 0
            ? took_us
            : service->usual_answer_us * (1 - USUAL_SHARE) +
                  took_us * USUAL_SHARE;
}

void
cq_pace_begin(cq_core_t *core, cq_upstream_t *upstream, guint rank)
{
    if (!is_found_for(core, upstream)) {
        return;
    }
    upstream->pace = (cq_pace_t){
        .active = TRUE,
        .window = 1,
        .since_us = core->now_us,
        .rank = rank,
        .started_us = upstream->pace.started_us,
        .short_lives = upstream->pace.short_lives,
    };
    log_pace(core, upstream, "start");
}

void
cq_pace_started(cq_core_t *core, cq_upstream_t *upstream, guint rank)
{
    cq_pace_t *pace = &upstream->pace;
    gint64 life_us = core->now_us - pace->started_us;
    gboolean is_short = pace->started_us > 0 && life_us < SHORT_LIFE_US;
    pace->short_lives = is_short ? pace->short_lives + 1 : 0;
    pace->started_us = core->now_us;
    cq_pace_begin(core, upstream, rank);
    if (is_short) {
        pace->since_us += REST_MIN_US
                          << MIN(pace->short_lives, REST_DOUBLINGS_MAX);
    }
}

gboolean
cq_pace_allows(const cq_core_t *core, const cq_upstream_t *upstream)
{
    const cq_pace_t *pace = &upstream->pace;
    if (!pace->active) {
        return TRUE;
    }
    return core->now_us >= joins_us(pace) &&
           upstream->own_streams < (gint64)pace->window;
}

void
cq_pace_answered(cq_core_t *core, const cq_request_t *request)
{
    cq_upstream_t *upstream = request->upstream;
    cq_pace_t *pace = &upstream->pace;
    if (!is_found_for(core, upstream)) {
        return;
    }
    pace->unopened = 0;
    if (!pace->active) {
        learn_usual(core, request);
        return;
    }
    /* It was sent before the upstream started. */
    if (request->phase_start_us < pace->since_us ||
        !is_in_time(core, request)) {
        return;
    }
    pace->window *= 2;
    if (pace->window >= WINDOW_END) {
        pace->active = FALSE;
        core->placement_due = TRUE;
        log_pace(core, upstream, "found");
    }
}

void
cq_pace_failed(cq_core_t *core, const cq_request_t *request,
               cq_failure_t failure, guint rank)
{
    cq_upstream_t *upstream = request->upstream;
    cq_pace_t *pace = &upstream->pace;
    if (!is_found_for(core, upstream)) {
        return;
    }
    switch (failure) {
    case CQ_FAIL_CONNECT: {
        guint unopened = pace->unopened + 1;
        cq_pace_begin(core, upstream, rank);
        pace->unopened = unopened;
        break;
    }
    case CQ_FAIL_BROKEN:
        cq_pace_begin(core, upstream, rank);
        break;
    case CQ_FAIL_REFUSED:
        pace->window = MAX(pace->window / 2, 1);
        break;
    case CQ_FAIL_FAULT:
    case CQ_FAIL_LEAVING:
    case CQ_FAIL_MISDIRECTED:
    case CQ_FAIL_NO_ROOM:
        break;
    }
}

gint64
cq_pace_avoid_us(const cq_core_t *core, const cq_upstream_t *upstream)
{
    if (!is_found_for(core, upstream)) {
        return CQ_SUSPECT_AVOID_US;
    }
    guint doublings = MIN(upstream->pace.unopened, AVOID_DOUBLINGS_MAX);
    return MIN(AVOID_MIN_US << doublings, CQ_SUSPECT_AVOID_US);
}
