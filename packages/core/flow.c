#include "core/flow.h"

#include "core/usage.h"

/* Weight of the newest window in the moving average of the drain rate. */
#define DRAIN_EWMA_WEIGHT 0.3
/* Least drain rate that estimates of waiting times assume, in engine seconds
 * per second. */
#define DRAIN_RATE_MIN 0.02
/* Share of the capacity that is planned for retries of refused requests. */
#define RETRY_CAPACITY_SHARE 0.6
/* Retry times are spread at random over this time. */
#define RETRY_SPREAD_US (3 * CQ_SECOND_US)
/* At most this much of the expected time in queue is part of a retry time. */
#define RETRY_WAIT_MAX_US (20 * CQ_SECOND_US)
/* Factor by which past demand decays in each window. */
#define DEMAND_DECAY 0.98

static cq_flow_t *
flow_of(cq_service_t *service, const cq_request_t *request)
{
    guint index =
        (guint)request->team * CQ_CLASSES + (guint)request->length_class;
    while (service->flows->len <= index) {
        g_ptr_array_add(service->flows, NULL);
    }
    cq_flow_t *flow = g_ptr_array_index(service->flows, index);
    if (flow == NULL) {
        flow = g_new0(cq_flow_t, 1);
        cq_list_init(&flow->active_link);
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

static cq_class_queue_t *
queue_of(const cq_request_t *request)
{
    return &request->service->class_queues[request->length_class];
}

void
cq_flow_push(cq_core_t *core, cq_request_t *request, gboolean requeued)
{
    cq_class_queue_t *queue = queue_of(request);
    cq_flow_t *flow = flow_of(request->service, request);
    if (requeued) {
        cq_list_prepend(&flow->requests, &request->queue_link);
    }
    else {
        request->start_tag = MAX(queue->virtual_time, flow->finish_tag);
        double weighted_cost = request->cost / (double)flow->weight;
        request->finish_tag = request->start_tag + weighted_cost;
        flow->finish_tag = request->finish_tag;
        cq_list_append(&flow->requests, &request->queue_link);
    }
    if (cq_list_empty(&flow->active_link)) {
        cq_list_append(&queue->active_flows, &flow->active_link);
    }
    request->flow = flow;
    request->phase = CQ_PHASE_QUEUED;
    request->phase_start_us = core->now_us;
    queue->backlog_cost += request->cost;
    flow->backlog_cost += request->cost;
    queue->count++;
    core->placement_due = TRUE;
}

void
cq_flow_remove(cq_request_t *request)
{
    if (cq_list_empty(&request->queue_link)) {
        return;
    }
    cq_class_queue_t *queue = queue_of(request);
    cq_list_remove(&request->queue_link);
    request->flow->backlog_cost -= request->cost;
    if (cq_list_empty(&request->flow->requests)) {
        cq_list_remove(&request->flow->active_link);
        request->flow->backlog_cost = 0;
    }
    queue->count--;
    queue->backlog_cost -= request->cost;
    if (queue->count == 0) {
        queue->backlog_cost = 0;
        queue->backlogged = FALSE;
    }
}

void
cq_flow_dequeue(cq_request_t *request)
{
    cq_class_queue_t *queue = queue_of(request);
    cq_flow_remove(request);
    queue->dequeued_cost += request->cost;
    queue->virtual_time = MAX(queue->virtual_time, request->start_tag);
}

/* Return: the first request of @flow that may be placed now, or NULL. */
static cq_request_t *
first_ready(const cq_flow_t *flow, gint64 now_us)
{
    const cq_list_t *link = flow->requests.next;
    for (; link != &flow->requests; link = link->next) {
        cq_request_t *request = CQ_ENTRY(link, cq_request_t, queue_link);
        if (request->ready_us <= now_us) {
            return request;
        }
    }
    return NULL;
}

cq_request_t *
cq_flow_next(const cq_class_queue_t *queue, double after, gint64 now_us)
{
    cq_request_t *best = NULL;
    const cq_list_t *link = queue->active_flows.next;
    for (; link != &queue->active_flows; link = link->next) {
        cq_flow_t *flow = CQ_ENTRY(link, cq_flow_t, active_link);
        cq_request_t *first = first_ready(flow, now_us);
        if (first == NULL || first->finish_tag <= after) {
            continue;
        }
        if (best == NULL || first->finish_tag < best->finish_tag) {
            best = first;
        }
    }
    return best;
}

/* Engine seconds per second that this process may use: the engines divided by
 * the number of hosts that use them. */
static double
host_capacity(const cq_core_t *core, const cq_service_t *service)
{
    guint hosts = core->cell_hosts;
    guint engines = service->local->len;
    if (!core->has_cells) {
        hosts = g_hash_table_size(core->peer_by_host) + 1;
        engines += service->remote->len;
    }
    return MAX((double)engines / hosts, DRAIN_RATE_MIN);
}

/* Drain rate of a class; @ahead_cost gets the cost that is served before a new
 * request. While the rate is not known, returns the capacity of the host, and
 * assumes that shorter classes are served first. */
static double
class_drain_rate(const cq_core_t *core, const cq_service_t *service,
                 cq_class_t klass, double *ahead_cost)
{
    const cq_class_queue_t *queue = &service->class_queues[klass];
    if (queue->drain_rate > 0) {
        *ahead_cost = queue->backlog_cost;
        return MAX(queue->drain_rate, DRAIN_RATE_MIN);
    }
    *ahead_cost = 0;
    for (cq_class_t i = CQ_CLASS_SHORT; i <= klass; i++) {
        *ahead_cost += service->class_queues[i].backlog_cost;
    }
    return host_capacity(core, service);
}

/* Cost ahead of a new request if its team gets its weighted share of the class
 * queue. */
static double
cost_ahead_at_share(const cq_class_queue_t *queue, const cq_flow_t *own)
{
    double weights = (double)own->weight;
    const cq_list_t *link = queue->active_flows.next;
    for (; link != &queue->active_flows; link = link->next) {
        const cq_flow_t *flow = CQ_ENTRY(link, cq_flow_t, active_link);
        if (flow != own) {
            weights += (double)flow->weight;
        }
    }
    return own->backlog_cost * weights / (double)own->weight;
}

guint
cq_flow_queued_count(const cq_service_t *service)
{
    guint count = 0;
    for (int i = 0; i < CQ_CLASSES; i++) {
        count += service->class_queues[i].count;
    }
    return count;
}

gint64
cq_flow_wait_us(const cq_core_t *core, const cq_request_t *request)
{
    cq_service_t *service = request->service;
    double ahead_cost;
    double drain_rate =
        class_drain_rate(core, service, request->length_class, &ahead_cost);
    const cq_flow_t *own = flow_of(service, request);
    ahead_cost = MIN(ahead_cost, cost_ahead_at_share(queue_of(request), own));
    return (gint64)(ahead_cost / drain_rate * (double)CQ_SECOND_US);
}

/* Spreads retries of refused requests over time, so that they return no faster
 * than they can be served beside new requests. Retries may use
 * RETRY_CAPACITY_SHARE of the capacity; shorter classes come before longer
 * ones, and a team above its share comes last. */
gint64
cq_flow_retry_after_us(cq_core_t *core, const cq_request_t *request)
{
    cq_service_t *service = request->service;
    gint64 wait_us = cq_flow_wait_us(core, request);
    double retry_rate = host_capacity(core, service) * RETRY_CAPACITY_SHARE;
    gboolean exceeds_share = cq_usage_exceeds_share(request);
    cq_class_t klass = exceeds_share ? CQ_CLASS_GIANT : request->length_class;
    double cost_before = 0;
    for (cq_class_t i = CQ_CLASS_SHORT; i <= klass; i++) {
        cost_before += service->class_queues[i].deferred_cost;
    }
    service->class_queues[klass].deferred_cost += request->cost;
    gint64 deferred_us =
        (gint64)(cost_before / retry_rate * (double)CQ_SECOND_US);
    gint64 spread_us =
        g_rand_int_range(core->rand, 0, (gint32)RETRY_SPREAD_US);
    gint64 delay_us =
        MIN(wait_us, RETRY_WAIT_MAX_US) + deferred_us + spread_us;
    if (service->rules->kind == CQ_SERVICE_BATCH) {
        /* Callers accept a delay of up to a third of the time that they have
         * left. */
        delay_us = MIN(delay_us, (request->deadline_us - core->now_us) / 3);
    }
    return CLAMP(delay_us, CQ_RETRY_AFTER_MIN_US, CQ_RETRY_AFTER_MAX_US);
}

static void
update_drain_rate(cq_class_queue_t *queue, double seconds)
{
    if (queue->backlogged && queue->dequeued_cost > 0) {
        double rate = queue->dequeued_cost / seconds;
        double old = queue->drain_rate > 0 ? queue->drain_rate : rate;
        queue->drain_rate = old + DRAIN_EWMA_WEIGHT * (rate - old);
    }
    else if (queue->backlogged) {
        /* Requests wait, but none could be placed. */
        queue->drain_rate *= 1 - DRAIN_EWMA_WEIGHT / 3;
    }
    else {
        queue->drain_rate = 0;
    }
    queue->dequeued_cost = 0;
    queue->backlogged = queue->count > 0;
}

/* Subtracts from the deferred costs what retries could use in the past window,
 * for shorter classes first. */
static void
reduce_deferred(const cq_core_t *core, cq_service_t *service, double seconds)
{
    double capacity_left =
        host_capacity(core, service) * RETRY_CAPACITY_SHARE * seconds;
    for (int i = 0; i < CQ_CLASSES; i++) {
        double used =
            MIN(service->class_queues[i].deferred_cost, capacity_left);
        service->class_queues[i].deferred_cost -= used;
        capacity_left -= used;
    }
}

void
cq_flow_end_window(cq_core_t *core, cq_service_t *service, double seconds)
{
    reduce_deferred(core, service, seconds);
    for (int i = 0; i < CQ_CLASSES; i++) {
        update_drain_rate(&service->class_queues[i], seconds);
        service->demand[i] *= DEMAND_DECAY;
    }
}
