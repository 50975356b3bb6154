#include "core/flow.h"

#include "core/usage.h"

#define DRAIN_WEIGHT 0.3
#define DRAIN_MIN 0.02
#define COME_BACK_SHARE 0.6
#define COME_BACK_SPREAD_US (3 * CQ_SECOND_US)
#define COME_BACK_WAIT_MAX_US (20 * CQ_SECOND_US)
#define DEMAND_KEEP 0.98

static cq_flow_t *
flow_of(cq_service_t *service, const cq_request_t *request)
{
    guint index = (guint)request->team * CQ_CLASSES + (guint)request->klass;
    while (service->flows->len <= index) {
        g_ptr_array_add(service->flows, NULL);
    }
    cq_flow_t *flow = g_ptr_array_index(service->flows, index);
    if (flow == NULL) {
        flow = g_new0(cq_flow_t, 1);
        cq_list_init(&flow->active);
        cq_list_init(&flow->requests);
        service->flows->pdata[index] = flow;
    }
    GArray *teams = service->rules->teams;
    guint team = (guint)request->team;
    if (team < teams->len) {
        flow->weight = g_array_index(teams, cq_team_rule_t, team).weight;
    }
    flow->weight = MAX(flow->weight, 1);
    return flow;
}

static cq_lane_t *
lane_of(const cq_request_t *request)
{
    return &request->service->lanes[request->klass];
}

void
cq_flow_push(cq_core_t *core, cq_request_t *request, gboolean again)
{
    cq_lane_t *lane = lane_of(request);
    cq_flow_t *flow = flow_of(request->service, request);
    if (again) {
        cq_list_prepend(&flow->requests, &request->queue);
    }
    else {
        request->start_tag = MAX(lane->virtual_time, flow->finish);
        double length = request->cost / (double)flow->weight;
        request->finish_tag = request->start_tag + length;
        flow->finish = request->finish_tag;
        cq_list_append(&flow->requests, &request->queue);
    }
    if (cq_list_empty(&flow->active)) {
        cq_list_append(&lane->active, &flow->active);
    }
    request->flow = flow;
    request->phase = CQ_PHASE_QUEUED;
    request->phase_us = core->now_us;
    lane->backlog += request->cost;
    flow->backlog += request->cost;
    lane->count++;
    core->placeable = TRUE;
}

void
cq_flow_drop(cq_request_t *request)
{
    if (cq_list_empty(&request->queue)) {
        return;
    }
    cq_lane_t *lane = lane_of(request);
    cq_list_remove(&request->queue);
    request->flow->backlog -= request->cost;
    if (cq_list_empty(&request->flow->requests)) {
        cq_list_remove(&request->flow->active);
        request->flow->backlog = 0;
    }
    lane->count--;
    lane->backlog -= request->cost;
    if (lane->count == 0) {
        lane->backlog = 0;
        lane->waited = FALSE;
    }
}

void
cq_flow_take(cq_request_t *request)
{
    cq_lane_t *lane = lane_of(request);
    cq_flow_drop(request);
    lane->taken += request->cost;
    lane->virtual_time = MAX(lane->virtual_time, request->start_tag);
}

cq_request_t *
cq_flow_next(const cq_lane_t *lane, double after, gint64 now_us)
{
    cq_request_t *best = NULL;
    const cq_list_t *link = lane->active.next;
    for (; link != &lane->active; link = link->next) {
        cq_flow_t *flow = CQ_ENTRY(link, cq_flow_t, active);
        cq_request_t *head =
            CQ_ENTRY(flow->requests.next, cq_request_t, queue);
        gboolean later = head->finish_tag > after;
        if (!later || head->ready_us > now_us) {
            continue;
        }
        if (best == NULL || head->finish_tag < best->finish_tag) {
            best = head;
        }
    }
    return best;
}

/* Engine seconds per second that fall to this process. */
static double
capacity(const cq_core_t *core, const cq_service_t *service)
{
    guint hosts = g_hash_table_size(core->peer_by_host) + 1;
    guint engines = service->nearby->len + service->remote->len;
    return MAX((double)engines / hosts, DRAIN_MIN);
}

static double
lane_drain(const cq_core_t *core, const cq_service_t *service,
           cq_class_t klass, double *ahead)
{
    const cq_lane_t *lane = &service->lanes[klass];
    if (lane->drain > 0) {
        *ahead = lane->backlog;
        return MAX(lane->drain, DRAIN_MIN);
    }
    *ahead = 0;
    for (cq_class_t i = CQ_CLASS_SHORT; i <= klass; i++) {
        *ahead += service->lanes[i].backlog;
    }
    return capacity(core, service);
}

/* Cost ahead of a new request when its team gets its share of the lane. */
static double
share_ahead(const cq_lane_t *lane, const cq_flow_t *own)
{
    double weights = (double)own->weight;
    const cq_list_t *link = lane->active.next;
    for (; link != &lane->active; link = link->next) {
        const cq_flow_t *flow = CQ_ENTRY(link, cq_flow_t, active);
        if (flow != own) {
            weights += (double)flow->weight;
        }
    }
    return own->backlog * weights / (double)own->weight;
}

gint64
cq_flow_wait_us(const cq_core_t *core, const cq_request_t *request)
{
    cq_service_t *service = request->service;
    double ahead;
    double drain = lane_drain(core, service, request->klass, &ahead);
    const cq_flow_t *own = flow_of(service, request);
    ahead = MIN(ahead, share_ahead(lane_of(request), own));
    return (gint64)(ahead / drain * (double)CQ_SECOND_US);
}

/* Refused work is booked into a part of the capacity, shorter classes before
 * longer ones and a team above its share last, so that it comes back no faster
 * than it can be served beside what arrives. */
gint64
cq_flow_come_back_us(cq_core_t *core, const cq_request_t *request)
{
    cq_service_t *service = request->service;
    gint64 wait_us = cq_flow_wait_us(core, request);
    double rate = capacity(core, service) * COME_BACK_SHARE;
    gboolean exceeds = cq_usage_exceeds(request);
    cq_class_t klass = exceeds ? CQ_CLASS_GIANT : request->klass;
    double booked = 0;
    for (cq_class_t i = CQ_CLASS_SHORT; i <= klass; i++) {
        booked += service->lanes[i].booked;
    }
    service->lanes[klass].booked += request->cost;
    gint64 slot_us = (gint64)(booked / rate * (double)CQ_SECOND_US);
    gint64 spread_us =
        g_rand_int_range(core->rand, 0, (gint32)COME_BACK_SPREAD_US);
    gint64 at_us = MIN(wait_us, COME_BACK_WAIT_MAX_US) + slot_us + spread_us;
    if (service->rules->kind == CQ_SERVICE_BATCH) {
        /* Callers take it up to a third of the time that they have left. */
        at_us = MIN(at_us, (request->deadline_us - core->now_us) / 3);
    }
    return CLAMP(at_us, CQ_RETRY_AFTER_MIN_US, CQ_RETRY_AFTER_MAX_US);
}

static void
update_lane(cq_lane_t *lane, double seconds)
{
    if (lane->waited && lane->taken > 0) {
        double rate = lane->taken / seconds;
        double old = lane->drain > 0 ? lane->drain : rate;
        lane->drain = old + DRAIN_WEIGHT * (rate - old);
    }
    else if (lane->waited) {
        lane->drain *= 1 - DRAIN_WEIGHT / 3;
    }
    else {
        lane->drain = 0;
    }
    lane->taken = 0;
    lane->waited = lane->count > 0;
}

/* Time passes over what is booked, shorter classes first. */
static void
pass_booked(const cq_core_t *core, cq_service_t *service, double seconds)
{
    double left = capacity(core, service) * COME_BACK_SHARE * seconds;
    for (int i = 0; i < CQ_CLASSES; i++) {
        double part = MIN(service->lanes[i].booked, left);
        service->lanes[i].booked -= part;
        left -= part;
    }
}

void
cq_flow_window(cq_core_t *core, cq_service_t *service, double seconds)
{
    pass_booked(core, service, seconds);
    for (int i = 0; i < CQ_CLASSES; i++) {
        update_lane(&service->lanes[i], seconds);
        service->demand[i] *= DEMAND_KEEP;
    }
}
