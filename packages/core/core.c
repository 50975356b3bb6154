#include "core/core.h"

#include "core/claim.h"
#include "core/batchplace.h"
#include "core/emptied.h"
#include "core/flow.h"
#include "core/group.h"
#include "core/handoff.h"
#include "core/admission.h"
#include "core/alive.h"
#include "core/lease.h"
#include "core/lending.h"
#include "core/load.h"
#include "core/member.h"
#include "core/memuse.h"
#include "core/order.h"
#include "core/pace.h"
#include "core/peer.h"
#include "core/place.h"
#include "core/quarantine.h"
#include "core/rate.h"
#include "core/reach.h"
#include "core/orphans.h"
#include "core/stop.h"
#include "core/attempt.h"
#include "core/table.h"
#include "core/task.h"
#include "core/usage.h"
#include "core/watchdog.h"

/* Once this many requests of a class have found no room, no further ones of
 * the class are tried in the same step. */
static const int misses_max[CQ_CLASSES] = {
    [CQ_CLASS_SHORT] = 1,
    [CQ_CLASS_MIDDLE] = 2,
    [CQ_CLASS_LONG] = 3,
    [CQ_CLASS_GIANT] = 3,
};

/* Whether a request waits for a reservation. Only one request may do so at a
 * time, except in BATCH services. */
static gboolean
any_reserving(const cq_core_t *core)
{
    const cq_list_t *link = core->requests.next;
    for (; link != &core->requests; link = link->next) {
        const cq_request_t *request = CQ_ENTRY(link, cq_request_t, link);
        if (request->phase == CQ_PHASE_RESERVING) {
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
place_request(cq_core_t *core, cq_request_t *request)
{
    if (cq_place_group_size(request) > 1) {
        if (any_reserving(core) || !cq_place_group(core, request)) {
            return FALSE;
        }
        cq_flow_dequeue(request);
        cq_group_reserve(core, request);
        return TRUE;
    }
    cq_upstream_t *upstream = cq_place_choose(core, request);
    if (upstream == NULL) {
        return FALSE;
    }
    cq_place_clear_earmark(core, request);
    cq_flow_dequeue(request);
    cq_attempt_start(core, request, upstream);
    return TRUE;
}

/* Places requests of one class in fair order, until @misses_allowed of them
 * find no room; those of a team above its share are not counted. */
static void
place_class(cq_core_t *core, cq_class_queue_t *queue, int misses_allowed)
{
    double after_tag = -1;
    int misses = 0;
    while (misses < misses_allowed) {
        cq_request_t *request = cq_flow_next(queue, after_tag, core->now_us);
        if (request == NULL) {
            return;
        }
        double finish_tag = request->finish_tag;
        gboolean exceeds_share = cq_usage_exceeds_share(request);
        if (!place_request(core, request)) {
            after_tag = finish_tag;
            misses += !exceeds_share;
        }
    }
}

static void
place_classes(cq_core_t *core, cq_service_t *service)
{
    for (int klass = 0; klass < CQ_CLASSES; klass++) {
        if (service->class_queues[klass].count > 0) {
            place_class(core, &service->class_queues[klass],
                        misses_max[klass]);
        }
    }
}

/* The arrays may name upstreams that a sweep has freed. */
static void
update_candidates(cq_core_t *core)
{
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        if (service->rules != NULL && service->candidates_stale) {
            cq_place_update_candidates(core, service);
        }
    }
}

static void
place_waiting(cq_core_t *core)
{
    update_candidates(core);
    cq_handoff_queued(core);
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        if (service->rules == NULL) {
            continue;
        }
        if (service->candidates_stale) {
            cq_place_update_candidates(core, service);
        }
        switch (service->rules->kind) {
        case CQ_SERVICE_MODEL:
        case CQ_SERVICE_PLAIN:
            place_classes(core, service);
            break;
        case CQ_SERVICE_BATCH:
            cq_batchplace_queued(core, service);
            break;
        }
    }
    core->placement_due = FALSE;
}

static void
end_window(cq_core_t *core)
{
    gint64 passed_us = core->now_us - core->window_start_us;
    if (passed_us < CQ_RATE_WINDOW_US) {
        return;
    }
    core->window_start_us = core->now_us;
    double seconds = (double)passed_us / (double)CQ_SECOND_US;
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        cq_flow_end_window(core, service, seconds);
        if (service->rules != NULL) {
            cq_place_update_candidates(core, service);
        }
    }
}

static void
sweep(cq_core_t *core)
{
    if (core->now_us - core->last_sweep_us < CQ_SWEEP_INTERVAL_US) {
        return;
    }
    core->last_sweep_us = core->now_us;
    cq_member_sweep(core);
    cq_quarantine_sweep(core);
    cq_claim_sweep(core);
}

/* Teams keep their index in the array of flows, so a queued request stays with
 * its team when the rules change. */
static void
apply_rules(cq_core_t *core, cq_rules_t *rules)
{
    cq_service_t *service = cq_table_ensure_service(core, rules->name);
    if (service->rules != NULL && rules->version < service->rules->version) {
        cq_counters_add(&core->counters, CQ_N_CONFIG_IGNORED, 1);
        return;
    }
    cq_rules_t *old = service->rules;
    service->rules = cq_rules_ref(rules);
    if (old != NULL) {
        cq_rules_unref(old);
    }
    cq_counters_add(&core->counters, CQ_N_CONFIG_APPLIED, 1);
    cq_ring_add(&core->ring, core->now_us, 0, 0, "config",
                "service=%s version=%" G_GUINT64_FORMAT, rules->name,
                rules->version);
    cq_place_update_candidates(core, service);
}

static void
set_log_state(cq_core_t *core, gboolean up)
{
    if (core->log_up == up) {
        return;
    }
    core->log_up = up;
    if (!up) {
        cq_counters_add(&core->counters, CQ_N_LOG_OUTAGES, 1);
    }
    cq_ring_add(&core->ring, core->now_us, 0, 0, "log", "up=%s",
                up ? "yes" : "no");
}

typedef struct {
    const char *name;
    void (*run)(cq_core_t *core);
} tick_job_t;

/* Periodic work, in the order in which each tick runs it. */
static const tick_job_t tick_jobs[] = {
    {"estimate", end_window}, {"rates", cq_rate_tick},
    {"reach", cq_reach_tick}, {"watch", cq_watchdog_tick},
    {"sweep", sweep},         {"place", place_waiting},
    {"lease", cq_lease_tick}, {"order", cq_order_tick},
    {"peers", cq_peer_tick},  {"tasks", cq_task_tick},
    {"stop", cq_stop_tick},   {"lend", cq_lending_tick},
};

static void
tick(cq_core_t *core)
{
    for (guint i = 0; i < G_N_ELEMENTS(tick_jobs); i++) {
        tick_jobs[i].run(core);
    }
}

static void
begin_pace(cq_core_t *core, cq_upstream_t *upstream)
{
    cq_pace_begin(core, upstream, cq_member_rank(core, upstream->id).before);
}

/* The upstreams of a zone that was emptied may be cold at its end. */
static void
apply_emptied(cq_core_t *core, const cq_ev_emptied_t *event)
{
    if (!cq_emptied_apply(core, event)) {
        return;
    }
    if (event->emptied) {
        cq_group_leave_emptied(core);
    }
    else {
        cq_emptied_each(core, event->zone, cq_rate_note_started);
        cq_emptied_each(core, event->zone, begin_pace);
    }
}

static void
dispatch(cq_core_t *core, const cq_event_t *event)
{
    switch (event->kind) {
    case CQ_EV_TICK:
        tick(core);
        break;
    case CQ_EV_PARTS:
        cq_quarantine_apply(core, &event->parts);
        break;
    case CQ_EV_REQUEST:
        cq_admission_request(core, &event->request);
        break;
    case CQ_EV_HANGUP:
    case CQ_EV_PAUSED:
    case CQ_EV_RESUMED:
    case CQ_EV_SENT:
    case CQ_EV_TOKENS:
    case CQ_EV_DONE:
    case CQ_EV_FAILED:
        cq_attempt_event(core, event);
        break;
    case CQ_EV_UPSTREAM:
        cq_member_upstream_says(core, &event->upstream);
        break;
    case CQ_EV_RESERVED:
        cq_group_reserved(core, &event->reserved);
        break;
    case CQ_EV_INSPECTED:
        cq_memuse_apply(core, &event->inspected);
        break;
    case CQ_EV_PROBED:
        cq_watchdog_probed(core, &event->attempt);
        break;
    case CQ_EV_LOAD:
        cq_load_apply_report(core, &event->load);
        cq_order_report(core, &event->load);
        cq_orphans_release(core, &event->load);
        break;
    case CQ_EV_CACHE:
        cq_load_apply_cache_event(core, &event->cache);
        break;
    case CQ_EV_HOSTS:
        cq_member_apply_list(core, &event->hosts);
        break;
    case CQ_EV_SUMMARY:
        cq_peer_apply_summary(core, event->summary);
        break;
    case CQ_EV_TASKS:
        cq_task_apply_updates(core, &event->tasks);
        break;
    case CQ_EV_SPARE:
        cq_lending_apply(core, event->spare);
        break;
    case CQ_EV_PEER_LINKED:
        cq_peer_linked(core);
        break;
    case CQ_EV_RULES:
        apply_rules(core, event->rules);
        break;
    case CQ_EV_CLAIM:
        cq_claim_apply(core, &event->claim);
        break;
    case CQ_EV_LEASE:
        cq_lease_apply(core, &event->lease.record, event->lease.offset);
        break;
    case CQ_EV_ORDERED:
        cq_order_answer(core, &event->ordered);
        break;
    case CQ_EV_LOG:
        set_log_state(core, event->log_up);
        break;
    case CQ_EV_EMPTIED:
        apply_emptied(core, &event->emptied);
        break;
    case CQ_EV_DRAIN:
        cq_stop_begin(core, &event->drain);
        break;
    case CQ_EV_REACHED:
        if (event->reached.purpose == CQ_REACH_ALIVE) {
            cq_alive_reached(core, &event->reached);
        }
        else {
            cq_reach_apply(core, &event->reached);
        }
        break;
    }
}

cq_core_t *
cq_core_new(const cq_core_options_t *options)
{
    cq_core_t *core = g_new0(cq_core_t, 1);
    g_strlcpy(core->host_name, options->host, sizeof core->host_name);
    g_strlcpy(core->zone, options->zone, sizeof core->zone);
    core->host = cq_ident_host(options->host);
    core->incarnation = options->incarnation;
    core->policy = options->policy;
    core->finds_pace = options->finds_pace;
    core->rand = g_rand_new_with_seed(options->seed);
    core->reach.rand = g_rand_new_with_seed(options->seed);
    core->started_us = -1;
    core->lease.last_append_us = -CQ_LEASE_RENEW_US;
    cq_ring_init(&core->ring, CQ_RING_EVENTS);
    cq_table_init(core);
    core->quarantine = cq_quarantine_new();
    return core;
}

void
cq_core_free(cq_core_t *core)
{
    cq_table_clear(core);
    cq_quarantine_free(core->quarantine);
    cq_ring_clear(&core->ring);
    g_rand_free(core->rand);
    g_rand_free(core->reach.rand);
    g_free(core);
}

void
cq_core_part_reports(const cq_core_t *core, GArray *reports)
{
    cq_quarantine_list(core, reports);
}

void
cq_core_step(cq_core_t *core, gint64 now_us, const cq_event_t *event,
             cq_actions_t *actions)
{
    g_assert(now_us >= core->now_us);
    if (core->started_us < 0) {
        core->started_us = now_us;
    }
    core->now_us = now_us;
    core->actions = actions;
    dispatch(core, event);
    cq_quarantine_enforce(core);
    if (core->placement_due) {
        place_waiting(core);
    }
    core->actions = NULL;
}

cq_rules_t *
cq_core_rules(const cq_core_t *core, const char *service)
{
    const cq_service_t *found = cq_table_service(core, service);
    return found != NULL ? found->rules : NULL;
}

const char *
cq_core_model_service(const cq_core_t *core, const char *model)
{
    for (guint i = 0; i < core->services->len; i++) {
        const cq_service_t *service = g_ptr_array_index(core->services, i);
        if (service->rules != NULL &&
            cq_rules_has_model(service->rules, model)) {
            return service->name;
        }
    }
    return NULL;
}

gboolean
cq_core_upstream(const cq_core_t *core, guint64 id, cq_upstream_view_t *view)
{
    const cq_upstream_t *upstream = cq_table_upstream(core, id);
    if (upstream == NULL) {
        return FALSE;
    }
    view->name = upstream->name;
    view->addr = upstream->addr;
    view->zone = upstream->zone;
    view->service = upstream->service->name;
    view->incarnation = upstream->incarnation;
    view->leaving = upstream->leaving;
    return TRUE;
}

static guint
add_ids(const GPtrArray *upstreams, guint64 *ids, guint len, guint max)
{
    for (guint i = 0; i < upstreams->len && len < max; i++) {
        const cq_upstream_t *upstream = g_ptr_array_index(upstreams, i);
        ids[len++] = upstream->id;
    }
    return len;
}

guint
cq_core_polled_engines(const cq_core_t *core, guint64 *ids, guint max)
{
    guint len = 0;
    for (guint i = 0; i < core->services->len; i++) {
        const cq_service_t *service = g_ptr_array_index(core->services, i);
        if (service->rules == NULL ||
            service->rules->kind != CQ_SERVICE_MODEL) {
            continue;
        }
        len = add_ids(service->local, ids, len, max);
        len = add_ids(service->remote, ids, len, max);
    }
    return len;
}

gboolean
cq_core_has_waiting(const cq_core_t *core)
{
    const cq_list_t *link = core->requests.next;
    for (; link != &core->requests; link = link->next) {
        if (CQ_ENTRY(link, cq_request_t, link)->phase != CQ_PHASE_RUNNING) {
            return TRUE;
        }
    }
    return FALSE;
}

const cq_host_row_t *
cq_core_peers(const cq_core_t *core, guint *len)
{
    *len = core->peers->len;
    return (const cq_host_row_t *)(const void *)core->peers->data;
}

guint
cq_core_rank(const cq_core_t *core, guint64 key)
{
    return cq_member_rank(core, key).before;
}

gboolean
cq_core_has_cells(const cq_core_t *core)
{
    return core->has_cells;
}

gboolean
cq_core_follows_log(const cq_core_t *core)
{
    return core->follows_log;
}

cq_store_reader_t
cq_core_store_reader(const cq_core_t *core)
{
    return cq_member_store_reader(core);
}

gboolean
cq_core_peer_missing(const cq_core_t *core)
{
    return cq_load_peer_missing(core);
}

cq_counters_t *
cq_core_counters(cq_core_t *core)
{
    return &core->counters;
}

cq_ring_t *
cq_core_ring(cq_core_t *core)
{
    return &core->ring;
}

cq_core_stats_t
cq_core_stats(const cq_core_t *core)
{
    cq_core_stats_t stats = {
        .requests = g_hash_table_size(core->request_by_id),
        .reserved = core->reservations,
        .upstreams = g_hash_table_size(core->upstream_by_id),
        .peers = g_hash_table_size(core->peer_by_host),
    };
    for (guint i = 0; i < core->services->len; i++) {
        const cq_service_t *service = g_ptr_array_index(core->services, i);
        stats.services += service->rules != NULL;
        for (int klass = 0; klass < CQ_CLASSES; klass++) {
            stats.queued += service->class_queues[klass].count;
        }
    }
    return stats;
}
