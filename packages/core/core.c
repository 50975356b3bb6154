#include "core/core.h"

#include "core/answer.h"
#include "core/claim.h"
#include "core/fit.h"
#include "core/flow.h"
#include "core/group.h"
#include "core/intake.h"
#include "core/lease.h"
#include "core/load.h"
#include "core/member.h"
#include "core/order.h"
#include "core/peer.h"
#include "core/place.h"
#include "core/repair.h"
#include "core/send.h"
#include "core/table.h"
#include "core/task.h"
#include "core/usage.h"
#include "core/watch.h"

/* Requests of a class passed over because they do not fit anywhere. */
static const int misses_max[CQ_CLASSES] = {
    [CQ_CLASS_SHORT] = 1,
    [CQ_CLASS_MIDDLE] = 2,
    [CQ_CLASS_LONG] = 3,
    [CQ_CLASS_GIANT] = 3,
};

static gboolean
reserving(const cq_core_t *core)
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
place_one(cq_core_t *core, cq_request_t *request)
{
    if (cq_place_group_size(request) > 1) {
        if (reserving(core) || !cq_place_group(core, request)) {
            return FALSE;
        }
        cq_flow_take(request);
        cq_group_begin(core, request);
        return TRUE;
    }
    cq_upstream_t *upstream = cq_place_choose(core, request);
    if (upstream == NULL) {
        return FALSE;
    }
    cq_place_unmark(core, request);
    cq_flow_take(request);
    cq_send_start(core, request, upstream);
    return TRUE;
}

static void
place_lane(cq_core_t *core, cq_lane_t *lane, int misses_allowed)
{
    double after = -1;
    int misses = 0;
    while (misses < misses_allowed) {
        cq_request_t *request = cq_flow_next(lane, after, core->now_us);
        if (request == NULL) {
            return;
        }
        double tag = request->finish_tag;
        gboolean exceeds = cq_usage_exceeds(request);
        if (!place_one(core, request)) {
            after = tag;
            misses += !exceeds;
        }
    }
}

static void
place_lanes(cq_core_t *core, cq_service_t *service)
{
    for (int klass = 0; klass < CQ_CLASSES; klass++) {
        if (service->lanes[klass].count > 0) {
            place_lane(core, &service->lanes[klass], misses_max[klass]);
        }
    }
}

static void
place(cq_core_t *core)
{
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        if (service->rules == NULL) {
            continue;
        }
        if (service->stale) {
            cq_place_refresh(core, service);
        }
        switch (service->rules->kind) {
        case CQ_SERVICE_MODEL:
        case CQ_SERVICE_PLAIN:
            place_lanes(core, service);
            break;
        case CQ_SERVICE_BATCH:
            cq_fit_place(core, service);
            break;
        }
    }
    core->placeable = FALSE;
}

static void
estimate(cq_core_t *core)
{
    gint64 passed_us = core->now_us - core->window_us;
    if (passed_us < CQ_RATE_WINDOW_US) {
        return;
    }
    core->window_us = core->now_us;
    double seconds = (double)passed_us / (double)CQ_SECOND_US;
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        cq_flow_window(core, service, seconds);
        if (service->rules != NULL) {
            cq_place_refresh(core, service);
        }
    }
}

static void
sweep(cq_core_t *core)
{
    if (core->now_us - core->sweep_us < CQ_SWEEP_INTERVAL_US) {
        return;
    }
    core->sweep_us = core->now_us;
    cq_member_sweep(core);
    cq_claim_sweep(core);
}

static void
answer_all(cq_core_t *core)
{
    while (!cq_list_empty(&core->requests)) {
        cq_request_t *request =
            CQ_ENTRY(core->requests.next, cq_request_t, link);
        cq_answer_give(core, request, CQ_OUT_DRAINING);
    }
}

static void
drain(cq_core_t *core)
{
    if (!core->draining || core->stopped) {
        return;
    }
    if (core->now_us >= core->drain_limit_us) {
        answer_all(core);
    }
    gboolean noticed = core->now_us >= core->drain_notice_us;
    if (noticed && cq_list_empty(&core->requests)) {
        core->stopped = TRUE;
        cq_action_t action = {.kind = CQ_AC_STOPPED};
        cq_actions_add(core->actions, &action);
        cq_ring_add(&core->ring, core->now_us, 0, 0, "stopped", "clean=yes");
    }
}

static void
begin_drain(cq_core_t *core, const cq_ev_drain_t *event)
{
    core->draining = TRUE;
    core->drain_notice_us = core->now_us + event->notice_us;
    core->drain_limit_us = core->now_us + event->limit_us;
    cq_ring_add(&core->ring, core->now_us, 0, 0, "drain",
                "notice_ms=%" G_GINT64_FORMAT " limit_ms=%" G_GINT64_FORMAT,
                event->notice_us / CQ_MS_US, event->limit_us / CQ_MS_US);
}

/* Teams keep their place in the table of flows, so a request in a queue
 * stays with its team when the rules change. */
static void
configure(cq_core_t *core, cq_rules_t *rules)
{
    cq_service_t *service = cq_table_need_service(core, rules->name);
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
    cq_place_refresh(core, service);
}

static void
log_state(cq_core_t *core, gboolean up)
{
    if (core->log_up == up) {
        return;
    }
    core->log_up = up;
    gboolean lost = core->counters.value[CQ_N_LOG_OUTAGES] > 0;
    if (up && lost) {
        core->log_back_us = core->now_us;
    }
    if (!up) {
        cq_counters_add(&core->counters, CQ_N_LOG_OUTAGES, 1);
    }
    cq_ring_add(&core->ring, core->now_us, 0, 0, "log", "up=%s",
                up ? "yes" : "no");
}

typedef struct {
    const char *name;
    void (*run)(cq_core_t *core);
} system_t;

/* Run in this order at every tick. */
static const system_t systems[] = {
    {"estimate", estimate},   {"watch", cq_watch_tick},
    {"sweep", sweep},         {"place", place},
    {"lease", cq_lease_tick}, {"order", cq_order_tick},
    {"peers", cq_peer_tick},  {"tasks", cq_task_tick},
    {"drain", drain},
};

static void
tick(cq_core_t *core)
{
    for (guint i = 0; i < G_N_ELEMENTS(systems); i++) {
        systems[i].run(core);
    }
}

static void
dispatch(cq_core_t *core, const cq_event_t *event)
{
    switch (event->kind) {
    case CQ_EV_TICK:
        tick(core);
        break;
    case CQ_EV_REQUEST:
        cq_intake_request(core, &event->request);
        break;
    case CQ_EV_HANGUP:
    case CQ_EV_SENT:
    case CQ_EV_TOKENS:
    case CQ_EV_DONE:
    case CQ_EV_FAILED:
        cq_send_event(core, event);
        break;
    case CQ_EV_RESERVED:
        cq_group_event(core, &event->reserved);
        break;
    case CQ_EV_PROBED:
        cq_watch_probed(core, &event->attempt);
        break;
    case CQ_EV_LOAD:
        cq_load_report(core, &event->load);
        cq_order_report(core, &event->load);
        cq_repair_holdings(core, &event->load);
        break;
    case CQ_EV_CACHE:
        cq_load_cache(core, &event->cache);
        break;
    case CQ_EV_HOSTS:
        cq_member_list(core, &event->hosts);
        break;
    case CQ_EV_SUMMARY:
        cq_peer_summary(core, event->summary);
        break;
    case CQ_EV_TASKS:
        cq_task_news(core, &event->tasks);
        break;
    case CQ_EV_PEER_LINKED:
        cq_peer_linked(core);
        break;
    case CQ_EV_RULES:
        configure(core, event->rules);
        break;
    case CQ_EV_CLAIM:
        cq_claim_fold(core, &event->claim);
        break;
    case CQ_EV_LEASE:
        cq_lease_fold(core, &event->lease.record, event->lease.offset);
        break;
    case CQ_EV_ORDERED:
        cq_order_answer(core, &event->ordered);
        break;
    case CQ_EV_LOG:
        log_state(core, event->log_up);
        break;
    case CQ_EV_DRAIN:
        begin_drain(core, &event->drain);
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
    core->rand = g_rand_new_with_seed(options->seed);
    core->started_us = -1;
    core->lease.asked_us = -CQ_LEASE_RENEW_US;
    cq_ring_init(&core->ring, CQ_RING_EVENTS);
    cq_table_init(core);
    return core;
}

void
cq_core_free(cq_core_t *core)
{
    cq_table_clear(core);
    cq_ring_clear(&core->ring);
    g_rand_free(core->rand);
    g_free(core);
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
    if (core->placeable) {
        place(core);
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
        len = add_ids(service->nearby, ids, len, max);
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

gboolean
cq_core_follows_log(const cq_core_t *core)
{
    return core->reads_log;
}

gboolean
cq_core_peer_missing(const cq_core_t *core)
{
    return cq_load_blind(core);
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
        .reserved = core->reserved,
        .upstreams = g_hash_table_size(core->upstream_by_id),
        .peers = g_hash_table_size(core->peer_by_host),
    };
    for (guint i = 0; i < core->services->len; i++) {
        const cq_service_t *service = g_ptr_array_index(core->services, i);
        stats.services += service->rules != NULL;
        for (int klass = 0; klass < CQ_CLASSES; klass++) {
            stats.queued += service->lanes[klass].count;
        }
    }
    return stats;
}
