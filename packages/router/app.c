#include "router/app.h"

#include "router/calls.h"
#include "router/clock.h"
#include "router/follower.h"
#include "router/api.h"
#include "router/links.h"
#include "router/engines.h"
#include "router/logs.h"
#include "router/operator.h"
#include "router/tick.h"
#include "router/log_client.h"
#include "router/reachprobe.h"
#include "router/relay.h"

/* Longest wait for the last answers and records, unless the limit of the stop
 * bounds it: FLUSH_POLLS intervals. */
#define FLUSH_POLL_MS 20
#define FLUSH_POLLS 100
/* Callers' idle connections are closed at this percentage of notice_ms. */
#define CLOSE_IDLE_PERCENT 90
/* A new process waits at most this long for what its peers know. */
#define PEERS_WAIT_US (1200 * CQ_MS_US)
/* A longer gap between ticks means that the process or host was suspended. */
#define SUSPENSION_MIN_US (1500 * CQ_MS_US)

/* How this process serves: MODE_RELAY if the settings name a store. */
typedef enum {
    MODE_API, /* the product's own HTTP API; configured by the log's records */
    MODE_RELAY, /* requests routed as configured in the store */
} app_mode_t;

struct cq_app {
    cq_settings_t settings;
    GMainLoop *loop;
    cq_core_t *core;
    cq_fold_t *fold;
    cq_actions_t actions;
    GQueue posted;
    gboolean executing;
    cq_api_t *api;
    cq_calls_t *calls;
    cq_operator_t *oper;
    cq_log_client_t *log_client;
    app_mode_t mode;
    cq_relay_t *relay;
    cq_reachprobe_t *reachprobe;
    cq_follower_t *follower;
    gint64 started_us;
    cq_engines_t *engines;
    cq_links_t *links;
    cq_logs_t *logs;
    cq_clock_t clock;
    guint64 incarnation;
    guint64 next_request;
    cq_tick_t tick;
    guint flush_polls;
    gboolean draining;
    gint64 flush_until_us;
};

static void
execute(cq_app_t *app, const cq_action_t *action);

gint64
cq_app_now_us(const cq_app_t *app)
{
    return cq_clock_now(&app->clock);
}

static void
step(cq_app_t *app, const cq_event_t *event)
{
    cq_actions_reset(&app->actions);
    cq_core_step(app->core, cq_app_now_us(app), event, &app->actions);
    for (guint i = 0; i < app->actions.items->len; i++) {
        cq_action_t action = *cq_actions_at(&app->actions, i);
        execute(app, &action);
    }
    if (app->mode == MODE_RELAY) {
        cq_logs_ring(app->logs, cq_core_ring(app->core));
    }
}

/* A queued event is copied shallowly and must have no borrowed pointers. */
void
cq_app_post(cq_app_t *app, const cq_event_t *event)
{
    if (app->executing) {
        g_queue_push_tail(&app->posted, g_memdup2(event, sizeof *event));
        return;
    }
    app->executing = TRUE;
    step(app, event);
    while (!g_queue_is_empty(&app->posted)) {
        cq_event_t *next = g_queue_pop_head(&app->posted);
        step(app, next);
        g_free(next);
    }
    app->executing = FALSE;
    cq_links_flush(app->links);
    if (!cq_tick_within(&app->tick, CQ_TICK_US) &&
        cq_core_has_waiting(app->core)) {
        cq_tick_request(&app->tick, CQ_TICK_US);
    }
}

static const cq_upstream_view_t *
upstream_view(cq_app_t *app, guint64 upstream, cq_upstream_view_t *view)
{
    return cq_core_upstream(app->core, upstream, view) ? view : NULL;
}

static void
send_attempt(cq_app_t *app, const cq_ac_send_t *send)
{
    if (app->mode == MODE_RELAY) {
        cq_relay_send(app->relay, send);
        return;
    }
    cq_upstream_view_t view;
    cq_call_spec_t spec;
    if (upstream_view(app, send->upstream, &view) != NULL &&
        cq_api_call_spec(app->api, send->request, &spec)) {
        cq_calls_send(app->calls, send, &view, &spec);
    }
}

static void
hand_on(cq_app_t *app, const cq_ac_hand_t *hand)
{
    if (app->mode == MODE_RELAY) {
        cq_relay_hand(app->relay, hand);
        return;
    }
    cq_calls_refuse_hand(app->calls, hand);
}

static void
on_reached(const cq_event_t *event, void *data)
{
    cq_app_post(data, event);
}

static void
probe_reach(cq_app_t *app, const cq_ac_reach_t *reach)
{
    cq_upstream_view_t view;
    gboolean known = cq_core_upstream(app->core, reach->upstream, &view);
    cq_reachprobe_open(app->reachprobe, reach, known ? view.addr : NULL);
}

static void
probe_attempt(cq_app_t *app, const cq_ac_attempt_t *attempt)
{
    cq_upstream_view_t view;
    cq_call_spec_t spec;
    if (upstream_view(app, attempt->upstream, &view) != NULL &&
        cq_api_call_spec(app->api, attempt->request, &spec)) {
        cq_calls_probe(app->calls, attempt, &view, spec.model);
    }
}

static void
forward_events(cq_app_t *app, const cq_ac_attempt_t *attempt)
{
    if (app->mode == MODE_RELAY) {
        cq_relay_forward(app->relay, attempt);
        return;
    }
    GBytes *bytes = cq_calls_take_events(app->calls, attempt);
    if (cq_api_write(app->api, attempt->request, bytes)) {
        cq_calls_pause(app->calls, attempt->request, TRUE);
    }
    g_bytes_unref(bytes);
}

static void
stop_attempt(cq_app_t *app, const cq_ac_attempt_t *attempt)
{
    cq_upstream_view_t view;
    if (app->mode == MODE_RELAY) {
        cq_relay_stop(app->relay, attempt);
        return;
    }
    cq_calls_stop(app->calls, attempt,
                  upstream_view(app, attempt->upstream, &view));
}

static void
answer_request(cq_app_t *app, const cq_ac_answer_t *answer)
{
    if (app->mode == MODE_RELAY) {
        cq_relay_answer(app->relay, answer);
        return;
    }
    cq_call_result_t result;
    gboolean found = cq_calls_result(app->calls, answer, &result);
    cq_api_answer(app->api, answer, found ? &result : NULL);
    cq_calls_remove(app->calls, answer->request);
}

static void
order_memory(cq_app_t *app, cq_action_kind_t kind, const cq_ac_memory_t *order)
{
    if (app->mode == MODE_RELAY) {
        cq_relay_reservation(app->relay, kind, order);
        return;
    }
    cq_engines_order_memory(app->engines, kind, order);
}

static guint
count_unfinished(const cq_app_t *app)
{
    return app->mode == MODE_RELAY ? cq_relay_unfinished(app->relay)
                                   : cq_api_unfinished(app->api);
}

/* Quits when nothing is unfinished and the platform's log has all records. */
static gboolean
on_flush_poll(gpointer data)
{
    cq_app_t *app = data;
    guint unfinished = count_unfinished(app);
    guint pending =
        app->log_client != NULL ? cq_log_client_pending(app->log_client) : 0;
    gboolean in_time = app->mode == MODE_API
                           ? app->flush_polls++ < FLUSH_POLLS
                           : cq_app_now_us(app) < app->flush_until_us;
    if ((unfinished > 0 || pending > 0) && in_time) {
        return G_SOURCE_CONTINUE;
    }
    cq_logs_info(app->logs, "stopped", "unwritten=%u unappended=%u",
                 unfinished, pending);
    g_main_loop_quit(app->loop);
    return G_SOURCE_REMOVE;
}

static void
execute(cq_app_t *app, const cq_action_t *action)
{
    cq_record_t record = {0};
    switch (action->kind) {
    case CQ_AC_SEND:
        send_attempt(app, &action->send);
        break;
    case CQ_AC_STOP:
        stop_attempt(app, &action->attempt);
        break;
    case CQ_AC_FORWARD:
        forward_events(app, &action->attempt);
        break;
    case CQ_AC_ANSWER:
        answer_request(app, &action->answer);
        break;
    case CQ_AC_RESERVE:
    case CQ_AC_RELEASE:
    case CQ_AC_INSPECT:
        order_memory(app, action->kind, &action->memory);
        break;
    case CQ_AC_PROBE:
        probe_attempt(app, &action->attempt);
        break;
    case CQ_AC_CLAIM:
        record.kind = CQ_RECORD_CLAIM;
        record.claim = action->claim;
        cq_log_client_append(app->log_client, &record);
        break;
    case CQ_AC_LEASE:
        record.kind = CQ_RECORD_LEASE;
        record.lease = action->lease;
        cq_log_client_append(app->log_client, &record);
        break;
    case CQ_AC_ORDER:
        cq_engines_order_model(app->engines, &action->order);
        break;
    case CQ_AC_SUMMARY:
    case CQ_AC_TASK:
    case CQ_AC_PART:
    case CQ_AC_SPARE:
        cq_links_send_action(app->links, action);
        break;
    case CQ_AC_PART_RECORD:
        if (app->follower != NULL) {
            cq_follower_write_part(app->follower, &action->part_record);
        }
        break;
    case CQ_AC_HAND:
        hand_on(app, &action->hand);
        break;
    case CQ_AC_REACH:
        probe_reach(app, &action->reach);
        break;
    case CQ_AC_STOPPED:
        if (app->follower != NULL) {
            cq_follower_deregister(app->follower);
            cq_relay_stop_listening(app->relay);
        }
        g_timeout_add(FLUSH_POLL_MS, on_flush_poll, app);
        break;
    }
}

/* After a suspension, idle connections and the copied store may be stale. */
static void
check_suspension(cq_app_t *app)
{
    gint64 gap_us = cq_clock_gap(&app->clock);
    if (gap_us > SUSPENSION_MIN_US && app->mode == MODE_RELAY) {
        cq_logs_info(app->logs, "standstill", "gap_ms=%" G_GINT64_FORMAT,
                     gap_us / CQ_MS_US);
        cq_relay_close_idle_upstreams(app->relay);
        cq_follower_reread(app->follower);
    }
}

static void
on_tick(void *data)
{
    cq_event_t event = {.kind = CQ_EV_TICK};
    check_suspension(data);
    cq_app_post(data, &event);
}

static void
on_rules(cq_rules_t *rules, void *data)
{
    cq_app_t *app = data;
    cq_event_t event = {.kind = CQ_EV_RULES, .rules = rules};
    cq_app_post(app, &event);
    cq_logs_info(app->logs, "config", "service=%s version=%" G_GUINT64_FORMAT,
                 rules->name, rules->version);
    cq_links_send_offer(app->links);
}

cq_app_t *
cq_app_new(const cq_settings_t *settings)
{
    cq_app_t *app = g_new0(cq_app_t, 1);
    app->settings = *settings;
    app->loop = g_main_loop_new(NULL, FALSE);
    cq_clock_init(&app->clock);
    app->incarnation = (guint64)(g_get_real_time() / CQ_MS_US);
    cq_core_options_t options = {
        .host = settings->host,
        .zone = settings->zone,
        .incarnation = app->incarnation,
        .seed = (guint32)settings->seed,
        .policy = CQ_POLICY_COST,
        .finds_pace = settings->find_pace,
    };
    if (options.seed == 0) {
        options.seed = (guint32)app->incarnation;
    }
    app->core = cq_core_new(&options);
    app->fold = cq_fold_new(on_rules, app);
    cq_actions_init(&app->actions);
    g_queue_init(&app->posted);
    app->logs = cq_logs_new(settings->host,
                            cq_settings_level_name(settings->log_level));
    app->mode = settings->store[0] != '\0' ? MODE_RELAY : MODE_API;
    switch (app->mode) {
    case MODE_API:
        app->api = cq_api_new(app);
        app->calls = cq_calls_new(app);
        break;
    case MODE_RELAY:
        app->relay = cq_relay_new(app);
        break;
    }
    cq_reachprobe_ops_t reachprobe_ops = {.post = on_reached, .data = app};
    app->reachprobe = cq_reachprobe_new(&reachprobe_ops);
    app->oper = cq_operator_new(app);
    app->links = cq_links_new(app);
    return app;
}

static void
dial_seeds(cq_app_t *app)
{
    for (guint i = 0; i < app->settings.seeds_len; i++) {
        cq_links_dial(app->links, app->settings.seeds[i]);
    }
}

static gboolean
listen_callers(cq_app_t *app, cq_error_t *error)
{
    const char *addr = app->settings.callers;
    return app->mode == MODE_RELAY ? cq_relay_listen(app->relay, addr, error)
                                   : cq_api_listen(app->api, addr, error);
}

gboolean
cq_app_start(cq_app_t *app, cq_error_t *error)
{
    if (!listen_callers(app, error) ||
        !cq_operator_listen(app->oper, app->settings.operators, error) ||
        !cq_links_listen(app->links, app->settings.peers, error)) {
        return FALSE;
    }
    app->started_us = cq_app_now_us(app);
    dial_seeds(app);
    switch (app->mode) {
    case MODE_API:
        app->log_client = cq_log_client_new(app);
        app->engines = cq_engines_new(app);
        break;
    case MODE_RELAY:
        app->follower = cq_follower_new(app);
        break;
    }
    cq_tick_start(&app->tick, on_tick, app);
    cq_logs_info(app->logs, "started", "zone=%s callers=%s operators=%s",
                 app->settings.zone, app->settings.callers,
                 app->settings.operators);
    return TRUE;
}

void
cq_app_free(cq_app_t *app)
{
    if (cq_tick_stop(&app->tick)) {
        g_clear_pointer(&app->engines, cq_engines_free);
        g_clear_pointer(&app->log_client, cq_log_client_free);
        g_clear_pointer(&app->follower, cq_follower_free);
    }
    cq_links_free(app->links);
    cq_reachprobe_free(app->reachprobe);
    cq_operator_free(app->oper);
    g_clear_pointer(&app->calls, cq_calls_free);
    g_clear_pointer(&app->api, cq_api_free);
    g_clear_pointer(&app->relay, cq_relay_free);
    while (g_main_context_iteration(NULL, FALSE)) {
    }
    g_queue_clear_full(&app->posted, g_free);
    cq_actions_clear(&app->actions);
    cq_fold_free(app->fold);
    cq_core_free(app->core);
    cq_logs_free(app->logs);
    g_main_loop_unref(app->loop);
    g_free(app);
}

void
cq_app_reload(cq_app_t *app, const cq_settings_t *settings)
{
    cq_settings_t *current = &app->settings;
    cq_settings_reload(current, settings);
    cq_logs_set_level(app->logs, cq_settings_level_name(current->log_level));
    dial_seeds(app);
    cq_logs_info(app->logs, "reloaded",
                 "seeds=%u retry_burst=%" G_GINT64_FORMAT, current->seeds_len,
                 current->retry_burst);
}

int
cq_app_run(cq_app_t *app)
{
    g_main_loop_run(app->loop);
    return CQ_EXIT_DONE;
}

/* The load balancer should open no new connections to this host by now. */
static gboolean
on_close_idle_timer(gpointer data)
{
    cq_app_t *app = data;
    cq_relay_close_idle_callers(app->relay);
    return G_SOURCE_REMOVE;
}

void
cq_app_drain(cq_app_t *app)
{
    cq_event_t event = {.kind = CQ_EV_DRAIN};
    if (!app->draining) {
        event.drain.notice_us = app->settings.notice_ms * CQ_MS_US;
        event.drain.limit_us = app->settings.limit_ms * CQ_MS_US;
    }
    if (app->mode == MODE_RELAY && !app->draining) {
        cq_relay_drain(app->relay);
        g_timeout_add(app->settings.notice_ms * CLOSE_IDLE_PERCENT / 100,
                      on_close_idle_timer, app);
    }
    app->draining = TRUE;
    app->flush_until_us =
        cq_app_now_us(app) + event.drain.limit_us + CQ_FLUSH_AFTER_LIMIT_US;
    cq_logs_info(app->logs, "drain", "limit_ms=%" G_GINT64_FORMAT,
                 event.drain.limit_us / CQ_MS_US);
    cq_app_post(app, &event);
}

cq_core_t *
cq_app_core(cq_app_t *app)
{
    return app->core;
}

cq_fold_t *
cq_app_fold(cq_app_t *app)
{
    return app->fold;
}

const cq_settings_t *
cq_app_settings(const cq_app_t *app)
{
    return &app->settings;
}

guint64
cq_app_incarnation(const cq_app_t *app)
{
    return app->incarnation;
}

guint64
cq_app_request_id(cq_app_t *app)
{
    return cq_ident_request(cq_ident_host(app->settings.host),
                            app->incarnation, ++app->next_request);
}

guint
cq_app_peer_count(const cq_app_t *app)
{
    return cq_links_peer_count(app->links);
}

struct cq_follower *
cq_app_follower(cq_app_t *app)
{
    return app->follower;
}

void
cq_app_set_routes(cq_app_t *app, const cq_routes_t *routes)
{
    cq_routes_set_retries(routes, app->settings.retry_burst,
                          app->settings.retry_percent);
    cq_relay_set_routes(app->relay, routes);
}

gboolean
cq_app_ready(const cq_app_t *app)
{
    if (app->draining || app->mode == MODE_API) {
        return !app->draining && cq_core_stats(app->core).services > 0;
    }
    return cq_follower_ready(app->follower) &&
           (cq_links_all_connected(app->links) ||
            cq_app_now_us(app) - app->started_us > PEERS_WAIT_US);
}

void
cq_app_log(cq_app_t *app, const char *event, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    cq_logs_vinfo(app->logs, event, format, args);
    va_end(args);
}

gboolean
cq_app_draining(const cq_app_t *app)
{
    return app->draining;
}

void
cq_app_resume_reading(cq_app_t *app, guint64 id)
{
    cq_calls_pause(app->calls, id, FALSE);
}

void
cq_app_count(cq_app_t *app, cq_counter_t counter, guint64 n)
{
    cq_counters_add(cq_core_counters(app->core), counter, n);
}

void
cq_app_send_zone(cq_app_t *app, GBytes *frame)
{
    cq_links_send_frame(app->links, CQ_LINKS_IN_ZONE, app->settings.zone,
                        frame);
}

void
cq_app_connect_peers(cq_app_t *app)
{
    guint len;
    const cq_host_row_t *peers = cq_core_peers(app->core, &len);
    for (guint i = 0; i < len; i++) {
        cq_links_dial(app->links, peers[i].addr);
    }
}
