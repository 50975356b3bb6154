#include "router/app.h"

#include <string.h>

#include "router/calls.h"
#include "router/front.h"
#include "router/links.h"
#include "router/loads.h"
#include "router/logs.h"
#include "router/oper.h"
#include "router/plat.h"

#define LINGER_MS 20
#define FLUSH_TRIES 100

struct cq_app {
    cq_settings_t settings;
    GMainLoop *loop;
    cq_core_t *core;
    cq_fold_t *fold;
    cq_actions_t actions;
    GQueue posted;
    gboolean stepping;
    cq_front_t *front;
    cq_calls_t *calls;
    cq_oper_t *oper;
    cq_plat_t *plat;
    cq_loads_t *loads;
    cq_links_t *links;
    cq_logs_t *logs;
    gint64 base_us;
    guint64 incarnation;
    guint64 next_request;
    guint tick;
    guint flush_tries;
    gboolean draining;
};

static void
carry_out(cq_app_t *app, const cq_action_t *action);

gint64
cq_app_now_us(const cq_app_t *app)
{
    return app->base_us + g_get_monotonic_time();
}

static void
step(cq_app_t *app, const cq_event_t *event)
{
    cq_actions_reset(&app->actions);
    cq_core_step(app->core, cq_app_now_us(app), event, &app->actions);
    for (guint i = 0; i < app->actions.items->len; i++) {
        cq_action_t action = *cq_actions_at(&app->actions, i);
        carry_out(app, &action);
    }
}

/* An event that comes up while actions are carried out waits its turn; only
 * events without borrowed pointers come up then. */
void
cq_app_post(cq_app_t *app, const cq_event_t *event)
{
    if (app->stepping) {
        g_queue_push_tail(&app->posted, g_memdup2(event, sizeof *event));
        return;
    }
    app->stepping = TRUE;
    step(app, event);
    while (!g_queue_is_empty(&app->posted)) {
        cq_event_t *next = g_queue_pop_head(&app->posted);
        step(app, next);
        g_free(next);
    }
    app->stepping = FALSE;
}

static const cq_upstream_view_t *
view_of(cq_app_t *app, guint64 upstream, cq_upstream_view_t *view)
{
    return cq_core_upstream(app->core, upstream, view) ? view : NULL;
}

static void
send(cq_app_t *app, const cq_ac_send_t *send)
{
    cq_upstream_view_t view;
    cq_call_target_t target;
    if (view_of(app, send->upstream, &view) != NULL &&
        cq_front_target(app->front, send->request, &target)) {
        cq_calls_send(app->calls, send, &view, &target);
    }
}

static void
probe(cq_app_t *app, const cq_ac_attempt_t *attempt)
{
    cq_upstream_view_t view;
    cq_call_target_t target;
    if (view_of(app, attempt->upstream, &view) != NULL &&
        cq_front_target(app->front, attempt->request, &target)) {
        cq_calls_probe(app->calls, attempt, &view, target.model);
    }
}

static void
forward(cq_app_t *app, const cq_ac_attempt_t *attempt)
{
    GBytes *bytes = cq_calls_take(app->calls, attempt->request);
    if (cq_front_write(app->front, attempt->request, bytes)) {
        cq_calls_hold(app->calls, attempt->request, TRUE);
    }
    g_bytes_unref(bytes);
}

static void
answer(cq_app_t *app, const cq_ac_answer_t *answer)
{
    cq_call_result_t result;
    gboolean whole = cq_calls_result(app->calls, answer->request, &result);
    cq_front_answer(app->front, answer, whole ? &result : NULL);
    cq_calls_drop(app->calls, answer->request);
}

static void
append_claim(cq_app_t *app, const cq_claim_t *claim)
{
    cq_record_t record = {.kind = CQ_RECORD_CLAIM, .claim = *claim};
    cq_plat_append(app->plat, &record);
}

static void
append_lease(cq_app_t *app, const cq_lease_t *lease)
{
    cq_record_t record = {.kind = CQ_RECORD_LEASE, .lease = *lease};
    cq_plat_append(app->plat, &record);
}

/* The last answers are still being written, and the claims' results are on
 * their way to the log. */
static gboolean
on_linger(gpointer data)
{
    cq_app_t *app = data;
    gboolean open = cq_front_open(app->front) > 0;
    gboolean pending = cq_plat_pending(app->plat) > 0;
    if ((open || pending) && app->flush_tries++ < FLUSH_TRIES) {
        return G_SOURCE_CONTINUE;
    }
    cq_logs_info(app->logs, "stopped", "unwritten=%u unappended=%u",
                 cq_front_open(app->front), cq_plat_pending(app->plat));
    g_main_loop_quit(app->loop);
    return G_SOURCE_REMOVE;
}

static void
carry_out(cq_app_t *app, const cq_action_t *action)
{
    cq_upstream_view_t view;
    switch (action->kind) {
    case CQ_AC_SEND:
        send(app, &action->send);
        break;
    case CQ_AC_STOP:
        cq_calls_stop(app->calls, &action->attempt,
                      view_of(app, action->attempt.upstream, &view));
        break;
    case CQ_AC_FORWARD:
        forward(app, &action->attempt);
        break;
    case CQ_AC_ANSWER:
        answer(app, &action->answer);
        break;
    case CQ_AC_RESERVE:
    case CQ_AC_RELEASE:
        cq_loads_memory(app->loads, action->kind, &action->memory);
        break;
    case CQ_AC_PROBE:
        probe(app, &action->attempt);
        break;
    case CQ_AC_CLAIM:
        append_claim(app, &action->claim);
        break;
    case CQ_AC_LEASE:
        append_lease(app, &action->lease);
        break;
    case CQ_AC_ORDER:
        cq_loads_order(app->loads, &action->order);
        break;
    case CQ_AC_SUMMARY:
        cq_links_summary(app->links, action->summary);
        break;
    case CQ_AC_STOPPED:
        g_timeout_add(LINGER_MS, on_linger, app);
        break;
    }
}

static gboolean
on_tick(gpointer data)
{
    cq_event_t event = {.kind = CQ_EV_TICK};
    cq_app_post(data, &event);
    return G_SOURCE_CONTINUE;
}

static void
on_rules(cq_rules_t *rules, void *data)
{
    cq_app_t *app = data;
    cq_event_t event = {.kind = CQ_EV_RULES, .rules = rules};
    cq_app_post(app, &event);
    cq_logs_info(app->logs, "config", "service=%s version=%" G_GUINT64_FORMAT,
                 rules->name, rules->version);
    cq_links_offer(app->links);
}

cq_app_t *
cq_app_new(const cq_settings_t *settings)
{
    cq_app_t *app = g_new0(cq_app_t, 1);
    app->settings = *settings;
    app->loop = g_main_loop_new(NULL, FALSE);
    app->base_us = g_get_real_time() - g_get_monotonic_time();
    app->incarnation = (guint64)(g_get_real_time() / CQ_MS_US);
    cq_core_options_t options = {
        .host = settings->host,
        .zone = settings->zone,
        .incarnation = app->incarnation,
        .seed = (guint32)settings->seed,
        .policy = CQ_POLICY_COST,
    };
    if (options.seed == 0) {
        options.seed = (guint32)app->incarnation;
    }
    app->core = cq_core_new(&options);
    app->fold = cq_fold_new(on_rules, app);
    cq_actions_init(&app->actions);
    g_queue_init(&app->posted);
    app->logs =
        cq_logs_new(settings->host, cq_settings_level(settings->log_level));
    app->front = cq_front_new(app);
    app->calls = cq_calls_new(app);
    app->oper = cq_oper_new(app);
    app->links = cq_links_new(app);
    return app;
}

gboolean
cq_app_start(cq_app_t *app, cq_error_t *error)
{
    if (!cq_front_listen(app->front, app->settings.callers, error) ||
        !cq_oper_listen(app->oper, app->settings.operators, error) ||
        !cq_links_listen(app->links, app->settings.peers, error)) {
        return FALSE;
    }
    for (guint i = 0; i < app->settings.seeds_len; i++) {
        cq_links_dial(app->links, app->settings.seeds[i]);
    }
    app->plat = cq_plat_new(app);
    app->loads = cq_loads_new(app);
    app->tick = g_timeout_add(CQ_TICK_US / CQ_MS_US, on_tick, app);
    cq_logs_info(app->logs, "started", "zone=%s callers=%s operators=%s",
                 app->settings.zone, app->settings.callers,
                 app->settings.operators);
    return TRUE;
}

void
cq_app_free(cq_app_t *app)
{
    if (app->tick != 0) {
        g_source_remove(app->tick);
        cq_loads_free(app->loads);
        cq_plat_free(app->plat);
    }
    cq_links_free(app->links);
    cq_oper_free(app->oper);
    cq_calls_free(app->calls);
    cq_front_free(app->front);
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

int
cq_app_run(cq_app_t *app)
{
    g_main_loop_run(app->loop);
    return CQ_EXIT_DONE;
}

void
cq_app_drain(cq_app_t *app)
{
    cq_event_t event = {.kind = CQ_EV_DRAIN};
    if (!app->draining) {
        event.drain.notice_us = app->settings.notice_ms * CQ_MS_US;
        event.drain.limit_us = app->settings.limit_ms * CQ_MS_US;
    }
    app->draining = TRUE;
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

gboolean
cq_app_draining(const cq_app_t *app)
{
    return app->draining;
}

void
cq_app_resume(cq_app_t *app, guint64 id)
{
    cq_calls_hold(app->calls, id, FALSE);
}

void
cq_app_count(cq_app_t *app, cq_counter_t which, guint64 n)
{
    cq_counters_add(cq_core_counters(app->core), which, n);
}

void
cq_app_link_peers(cq_app_t *app)
{
    guint len;
    const cq_listed_t *peers = cq_core_peers(app->core, &len);
    for (guint i = 0; i < len; i++) {
        cq_links_dial(app->links, peers[i].addr);
    }
}
