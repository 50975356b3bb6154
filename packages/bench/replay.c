#include "bench/replay.h"

#include <math.h>
#include <string.h>

#include "bench/replayload.h"
#include "bench/replaystate.h"
#include "core/batchcost.h"

/* One-way network delay; also the default of peer_lag_us. */
#define HOP_US 600
#define ANSWER_LIMIT_TOKENS 1500
#define RESTART_DOWN_US (500 * CQ_MS_US)
#define START_US (2 * CQ_SECOND_US)
#define DEFAULT_ZONES 3

static void
start_pass(cq_replay_engine_t *engine);

static cq_replay_request_t *
find_request(cq_replay_t *run, guint64 id)
{
    return g_hash_table_lookup(run->requests, &id);
}

static void
send_attempt_event(const cq_replay_request_t *req, cq_event_kind_t kind,
                   gint64 after_us)
{
    cq_replay_msg_t *msg =
        cq_replay_defer(req->host, after_us, req->incarnation);
    msg->event.kind = kind;
    msg->event.attempt.request = req->id;
    msg->event.attempt.attempt = req->attempt;
    msg->event.attempt.tokens = 1;
    msg->event.attempt.status = 200;
}

static void
on_pass_end(void *context, void *data, guint64 number)
{
    (void)context;
    (void)number;
    cq_replay_engine_t *engine = data;
    cq_batch_engine_end_pass(engine->emulated);
    start_pass(engine);
}

static void
start_pass(cq_replay_engine_t *engine)
{
    cq_replay_t *run = engine->run;
    gint64 pass_us = cq_batch_engine_begin_pass(engine->emulated);
    if (pass_us > 0) {
        cq_heap_add(&run->heap, run->heap.now_us + pass_us, on_pass_end,
                    engine, 0);
    }
}

static void
cancel_work(cq_replay_t *run, cq_replay_request_t *req)
{
    for (guint i = 0; i < req->group_len; i++) {
        cq_batch_engine_cancel(run->engines[req->group[i]].emulated, req->id);
    }
    req->group_len = 0;
}

static void
emit_event(cq_replay_t *run, cq_replay_request_t *req, guint events_left)
{
    gint64 now_us = run->heap.now_us + 2 * (gint64)HOP_US;
    gint64 since_us = req->begun ? req->event_us : req->sent_us;
    gint64 limit_us = req->begun
                          ? cq_replay_profile(req->kind)->gap_limit_us
                          : cq_replay_profile(req->kind)->first_limit_us;
    req->late = req->late || now_us - since_us > limit_us;
    req->begun = TRUE;
    req->event_us = now_us;
    send_attempt_event(req, CQ_EV_TOKENS, HOP_US);
    if (events_left == 0) {
        send_attempt_event(req, CQ_EV_DONE, HOP_US + 1);
    }
}

static void
on_prefilled(cq_batch_engine_t *emulated, guint64 id, void *data)
{
    (void)emulated;
    cq_replay_engine_t *engine = data;
    cq_replay_request_t *req = find_request(engine->run, id);
    if (req == NULL || --req->prefills_left > 0) {
        return;
    }
    cq_replay_engine_t *decoder = &engine->run->engines[req->group[0]];
    emit_event(engine->run, req, req->events - 1);
    if (req->events > 1) {
        cq_batch_engine_decode(decoder->emulated, id,
                               req->tokens / req->group_len, req->events - 1);
        start_pass(decoder);
    }
}

static void
on_decoded(cq_batch_engine_t *emulated, guint64 id, guint left, void *data)
{
    (void)emulated;
    cq_replay_engine_t *engine = data;
    cq_replay_request_t *req = find_request(engine->run, id);
    if (req != NULL) {
        emit_event(engine->run, req, left);
    }
}

static void
on_engine_arrival(void *context, void *data, guint64 id)
{
    (void)data;
    cq_replay_t *run = context;
    cq_replay_request_t *req = find_request(run, id);
    if (req == NULL) {
        return;
    }
    gint64 prefill_us =
        cq_batchcost_prefill_us(&run->rules->speed, req->tokens);
    req->prefills_left = req->group_len;
    for (guint i = 0; i < req->group_len; i++) {
        cq_replay_engine_t *engine = &run->engines[req->group[i]];
        cq_batch_engine_prefill(
            engine->emulated, id, req->tokens / req->group_len,
            prefill_us / req->group_len, req->group_len > 1);
        start_pass(engine);
    }
}

static void
start_attempt(cq_replay_host_t *host, const cq_ac_send_t *send)
{
    cq_replay_t *run = host->run;
    cq_replay_request_t *req = find_request(run, send->request);
    if (req == NULL) {
        return;
    }
    /* Not emulated: an older attempt that goes on beside it. */
    cancel_work(run, req);
    req->attempt = send->attempt;
    req->group_len = MAX(send->group_len, 1);
    for (guint i = 0; i < req->group_len; i++) {
        guint64 id = send->group_len > 0 ? send->group[i] : send->upstream;
        for (guint k = 0; k < run->options.engines; k++) {
            if (run->engines[k].id == id) {
                req->group[i] = k;
            }
        }
    }
    send_attempt_event(req, CQ_EV_SENT, 0);
    cq_heap_add(&run->heap, run->heap.now_us + HOP_US, on_engine_arrival, NULL,
                req->id);
}

static void
finish_request(cq_replay_host_t *host, const cq_ac_answer_t *answer)
{
    cq_replay_t *run = host->run;
    cq_replay_request_t *req = find_request(run, answer->request);
    if (req == NULL) {
        return;
    }
    cq_replay_count_t *count = &run->result.kinds[req->kind];
    cancel_work(run, req);
    if (answer->outcome == CQ_OUTCOME_DONE) {
        count->late += req->late;
        count->on_time += !req->late;
    }
    else if (answer->ran == CQ_RAN_NO) {
        count->refused++;
    }
    else {
        count->lost++;
    }
    g_hash_table_remove(run->requests, &answer->request);
}

static void
perform_action(cq_replay_host_t *host, const cq_action_t *action,
               GArray *updates)
{
    switch (action->kind) {
    case CQ_AC_SEND:
        start_attempt(host, &action->send);
        break;
    case CQ_AC_ANSWER:
        finish_request(host, &action->answer);
        break;
    case CQ_AC_TASK:
        g_array_append_val(updates, action->task);
        break;
    case CQ_AC_PART:
    case CQ_AC_PART_RECORD:
        break;
    case CQ_AC_HAND: {
        /* Not emulated: the peer refuses the connection. */
        cq_replay_msg_t *msg =
            cq_replay_defer(host, 2 * (gint64)HOP_US, host->incarnation);
        msg->event.kind = CQ_EV_FAILED;
        msg->event.attempt.request = action->hand.request;
        msg->event.attempt.attempt = action->hand.attempt;
        msg->event.attempt.failure = CQ_FAIL_CONNECT;
        break;
    }
    case CQ_AC_REACH: {
        /* The emulated engines are always up and within reach. */
        cq_replay_msg_t *msg =
            cq_replay_defer(host, 2 * (gint64)HOP_US, host->incarnation);
        msg->event.kind = CQ_EV_REACHED;
        msg->event.reached.upstream = action->reach.upstream;
        msg->event.reached.opened = TRUE;
        msg->event.reached.purpose = action->reach.purpose;
        break;
    }
    case CQ_AC_SPARE:
        cq_replay_send_spare(host, &action->spare);
        break;
    case CQ_AC_SUMMARY:
        cq_replay_send_summary(host, action->summary);
        break;
    case CQ_AC_STOP: {
        cq_replay_request_t *req =
            find_request(host->run, action->attempt.request);
        if (req != NULL && req->attempt == action->attempt.attempt) {
            cancel_work(host->run, req);
        }
        break;
    }
    case CQ_AC_RESERVE: {
        cq_replay_msg_t *msg =
            cq_replay_defer(host, 2 * (gint64)HOP_US, host->incarnation);
        msg->event.kind = CQ_EV_RESERVED;
        msg->event.reserved.request = action->memory.request;
        msg->event.reserved.upstream = action->memory.upstream;
        msg->event.reserved.granted = TRUE;
        break;
    }
    case CQ_AC_FORWARD:
    case CQ_AC_RELEASE:
    case CQ_AC_INSPECT:
    case CQ_AC_PROBE:
    case CQ_AC_CLAIM:
    case CQ_AC_LEASE:
    case CQ_AC_ORDER:
    case CQ_AC_STOPPED:
        break;
    }
}

/* Steps the core and carries out its actions. Events that the actions cause
 * reach the core through the event queue, so steps never nest. */
void
cq_replay_step(cq_replay_host_t *host, const cq_event_t *event)
{
    cq_actions_t actions;
    GArray *updates = g_array_new(FALSE, FALSE, sizeof(cq_task_update_t));
    cq_actions_init(&actions);
    cq_core_step(host->core, host->run->heap.now_us, event, &actions);
    for (guint i = 0; i < actions.items->len; i++) {
        perform_action(host, cq_actions_at(&actions, i), updates);
    }
    cq_replay_send_tasks(host, updates);
    cq_actions_clear(&actions);
    g_array_unref(updates);
}

static void
on_tick(void *context, void *data, guint64 number)
{
    (void)number;
    cq_replay_t *run = context;
    cq_replay_host_t *host = data;
    if (run->ended) {
        return;
    }
    if (host->core != NULL) {
        cq_event_t event = {.kind = CQ_EV_TICK};
        cq_replay_step(host, &event);
    }
    cq_heap_add(&run->heap, run->heap.now_us + CQ_TICK_US, on_tick, host, 0);
}

static void
start_host(cq_replay_host_t *host)
{
    cq_replay_t *run = host->run;
    cq_core_options_t options = {
        .host = host->name,
        .zone = run->rows[run->options.engines + host->index].zone,
        .incarnation = ++host->incarnation,
        .seed = run->options.seed + host->index,
        .policy = run->options.policy,
    };
    host->core = cq_core_new(&options);
    cq_event_t rules = {.kind = CQ_EV_RULES, .rules = run->rules};
    cq_event_t rows = {.kind = CQ_EV_HOSTS};
    rows.hosts.rows = run->rows;
    rows.hosts.len = run->options.engines + run->options.hosts;
    cq_replay_step(host, &rules);
    cq_replay_step(host, &rows);
}

static void
on_start(void *context, void *data, guint64 number)
{
    (void)context;
    (void)number;
    cq_replay_host_t *host = data;
    start_host(host);
    /* Notify the peers of the new connections. */
    for (guint i = 0; i < host->run->options.hosts; i++) {
        if (cq_replay_connected(host, &host->run->hosts[i])) {
            cq_replay_msg_t *msg =
                cq_replay_defer(&host->run->hosts[i], 30 * CQ_MS_US, 0);
            msg->event.kind = CQ_EV_PEER_LINKED;
        }
    }
}

static gboolean
drop_if_at_host(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    cq_replay_request_t *req = value;
    cq_replay_host_t *host = data;
    if (req->host != host) {
        return FALSE;
    }
    cancel_work(host->run, req);
    host->run->result.kinds[req->kind].lost++;
    return TRUE;
}

static void
on_kill(void *context, void *data, guint64 number)
{
    (void)number;
    cq_replay_t *run = context;
    cq_replay_host_t *host = data;
    g_clear_pointer(&host->core, cq_core_free);
    g_hash_table_foreach_remove(run->requests, drop_if_at_host, host);
    cq_heap_add(&run->heap, run->heap.now_us + RESTART_DOWN_US, on_start, host,
                0);
}

static cq_replay_host_t *
draw_running_host(cq_replay_t *run)
{
    guint hosts = run->options.hosts;
    guint index = (guint)g_rand_int_range(run->rand, 0, (gint32)hosts);
    while (run->hosts[index].core == NULL) {
        index = (index + 1) % hosts;
    }
    return &run->hosts[index];
}

/* Return: the host that gets the next request: with @first_zone_share, more
 * often one of the first zone, whose hosts have the indexes 0, zones, ... */
static cq_replay_host_t *
draw_caller_host(cq_replay_t *run)
{
    double share = run->options.first_zone_share;
    if (share <= 0) {
        return draw_running_host(run);
    }
    gboolean first = g_rand_double(run->rand) < share;
    cq_replay_host_t *host = draw_running_host(run);
    while ((host->index % run->options.zones == 0) != first) {
        host = draw_running_host(run);
    }
    return host;
}

static void
send_request(cq_replay_t *run, cq_replay_kind_t kind)
{
    cq_replay_host_t *host = draw_caller_host(run);
    cq_replay_request_t *req = g_new0(cq_replay_request_t, 1);
    req->host = host;
    req->incarnation = host->incarnation;
    req->kind = kind;
    req->id = cq_ident_request(cq_ident_host(host->name), host->incarnation,
                               ++run->serial);
    req->tokens = cq_replay_draw_tokens(run->rand, kind);
    req->events = cq_replay_draw_events(run->rand, kind);
    req->sent_us = run->heap.now_us;
    run->result.kinds[kind].sent++;
    g_hash_table_insert(run->requests, &req->id, req);
    cq_event_t event = {
        .kind = CQ_EV_REQUEST,
        .request = {.id = req->id,
                    .service = CQ_REPLAY_SERVICE,
                    .team = CQ_REPLAY_TEAM,
                    .model = "",
                    .repeatable = TRUE,
                    .resumable = TRUE,
                    .prompt_tokens = req->tokens,
                    .output_tokens = ANSWER_LIMIT_TOKENS,
                    .timeout_us = cq_replay_profile(kind)->timeout_us,
                    .target_us = cq_replay_profile(kind)->first_limit_us,
                    .gap_max_us = cq_replay_profile(kind)->gap_limit_us,
                    .attempts_max = 2},
    };
    cq_replay_step(host, &event);
}

/* Poisson arrivals of varying rate, by thinning (Lewis and Shedler, 1979). */
static void
on_next_request(void *context, void *data, guint64 number)
{
    (void)data;
    cq_replay_t *run = context;
    cq_replay_kind_t kind = (cq_replay_kind_t)number;
    if (run->heap.now_us >= run->options.duration_us) {
        return;
    }
    double peak = cq_replay_peak_rate(&run->options, kind);
    if (peak <= 0) {
        return;
    }
    double seconds = -log(1 - g_rand_double(run->rand)) / peak;
    gint64 after_us = (gint64)(seconds * (double)CQ_SECOND_US);
    gboolean accepted =
        g_rand_double(run->rand) <
        cq_replay_rate(&run->options, kind, run->heap.now_us) / peak;
    if (accepted && run->heap.now_us > 0) {
        send_request(run, kind);
    }
    cq_heap_add(&run->heap, run->heap.now_us + after_us + 1, on_next_request,
                NULL, number);
}

static void
init_fleet(cq_replay_t *run)
{
    const cq_replay_options_t *options = &run->options;
    g_assert(options->engines <= CQ_REPLAY_ENGINES_MAX &&
             options->hosts <= CQ_REPLAY_HOSTS_MAX);
    for (guint i = 0; i < options->engines; i++) {
        cq_replay_engine_t *engine = &run->engines[i];
        cq_host_row_t *row = &run->rows[i];
        cq_batch_engine_ops_t ops = {on_prefilled, on_decoded, engine};
        engine->run = run;
        engine->emulated = cq_batch_engine_new(&run->rules->speed, &ops);
        cq_replay_engine_row(i, options->zones, row);
        engine->id = cq_ident_hash(row->name);
    }
    for (guint i = 0; i < options->hosts; i++) {
        cq_replay_host_t *host = &run->hosts[i];
        cq_host_row_t *row = &run->rows[options->engines + i];
        host->run = run;
        host->index = i;
        cq_replay_host_row(i, options->zones, row);
        g_strlcpy(host->name, row->name, sizeof host->name);
    }
}

cq_replay_result_t
cq_replay_run(const cq_replay_options_t *options)
{
    cq_replay_t run = {.options = *options};
    if (options->peer_lag_us == 0) {
        run.options.peer_lag_us = HOP_US;
    }
    if (options->zones == 0) {
        run.options.zones = DEFAULT_ZONES;
    }
    cq_heap_init(&run.heap);
    run.rand = g_rand_new_with_seed(options->seed);
    run.requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    run.rules = cq_replay_rules();
    init_fleet(&run);
    for (guint i = 0; i < options->hosts; i++) {
        start_host(&run.hosts[i]);
        cq_heap_add(&run.heap, (gint64)(i + 1) * CQ_MS_US, on_tick,
                    &run.hosts[i], 0);
    }
    while (cq_heap_step(&run.heap, START_US, &run)) {
    }
    for (guint kind = 0; kind < CQ_REPLAY_KINDS; kind++) {
        cq_heap_add(&run.heap, START_US, on_next_request, NULL, kind);
    }
    if (options->restart_us > 0) {
        cq_heap_add(&run.heap, options->restart_us, on_kill, &run.hosts[0], 0);
    }
    gint64 end_us = options->duration_us + 20 * CQ_SECOND_US;
    while (cq_heap_step(&run.heap, end_us, &run)) {
    }
    run.ended = TRUE;
    for (guint i = 0; i < options->hosts; i++) {
        g_clear_pointer(&run.hosts[i].core, cq_core_free);
    }
    for (guint i = 0; i < options->engines; i++) {
        cq_batch_engine_free(run.engines[i].emulated);
    }
    g_hash_table_unref(run.requests);
    cq_rules_unref(run.rules);
    g_rand_free(run.rand);
    cq_heap_clear(&run.heap);
    return run.result;
}
