#include "bench/replay.h"

#include <math.h>
#include <string.h>

#include "bench/heap.h"
#include "bench/passes.h"
#include "bench/replayload.h"
#include "core/batch.h"

/* One way between hosts and engines, and between hosts unless the options say
 * otherwise. */
#define HOP_US 600
#define ANSWER_TOKENS 1500
#define DOWN_US (500 * CQ_MS_US)
#define SETTLE_US (2 * CQ_SECOND_US)
#define ENGINES_MAX 64
#define HOSTS_MAX 64

typedef struct replay replay_t;

typedef struct {
    replay_t *replay;
    guint index;
    char name[CQ_NAME_BYTES];
    cq_core_t *core;
    guint64 incarnation;
} host_t;

typedef struct {
    replay_t *replay;
    guint64 id;
    cq_passes_t *passes;
} engine_t;

/* A request as its caller sees it. */
typedef struct {
    guint64 id;
    host_t *host;
    guint64 incarnation;
    cq_replay_kind_t kind;
    gint64 tokens;
    guint events;
    gint64 asked_us;
    gint64 event_us;
    gboolean begun;
    gboolean late;
    guint32 attempt;
    guint engines[CQ_GROUP_MAX];
    guint engines_len;
    guint unread;
} ask_t;

struct replay {
    cq_replay_options_t options;
    cq_replay_result_t result;
    cq_heap_t heap;
    GRand *rand;
    host_t hosts[HOSTS_MAX];
    engine_t engines[ENGINES_MAX];
    cq_host_row_t rows[ENGINES_MAX + HOSTS_MAX];
    cq_rules_t *rules;
    GHashTable *asks;
    guint64 serial;
    gboolean over;
};

static void
post(host_t *host, const cq_event_t *event);
static void
work(engine_t *engine);

static ask_t *
find(replay_t *replay, guint64 id)
{
    return g_hash_table_lookup(replay->asks, &id);
}

/* An event on its way to a core. */
typedef struct {
    host_t *host;
    guint64 incarnation;
    cq_event_t event;
    GArray *rows;
    cq_summary_t *summary;
} letter_t;

static void
on_letter(void *world, void *data, guint64 number)
{
    (void)world;
    (void)number;
    letter_t *letter = data;
    host_t *host = letter->host;
    if (host->core != NULL && (letter->incarnation == 0 ||
                               letter->incarnation == host->incarnation)) {
        if (letter->rows != NULL) {
            letter->event.tasks.rows =
                (const cq_task_update_t *)(const void *)letter->rows->data;
            letter->event.tasks.len = letter->rows->len;
        }
        letter->event.summary =
            letter->summary != NULL ? letter->summary : letter->event.summary;
        post(host, &letter->event);
    }
    g_clear_pointer(&letter->rows, g_array_unref);
    g_free(letter->summary);
    g_free(letter);
}

static letter_t *
mail(host_t *host, gint64 after_us, guint64 incarnation)
{
    replay_t *replay = host->replay;
    letter_t *letter = g_new0(letter_t, 1);
    letter->host = host;
    letter->incarnation = incarnation;
    cq_heap_add(&replay->heap, replay->heap.now_us + after_us, on_letter,
                letter, 0);
    return letter;
}

static void
mail_attempt(const ask_t *ask, cq_event_kind_t kind, gint64 after_us)
{
    letter_t *letter = mail(ask->host, after_us, ask->incarnation);
    letter->event.kind = kind;
    letter->event.attempt.request = ask->id;
    letter->event.attempt.attempt = ask->attempt;
    letter->event.attempt.tokens = 1;
    letter->event.attempt.status = 200;
}

static void
on_pass_end(void *world, void *data, guint64 number)
{
    (void)world;
    (void)number;
    engine_t *engine = data;
    cq_passes_end(engine->passes);
    work(engine);
}

static void
work(engine_t *engine)
{
    replay_t *replay = engine->replay;
    gint64 us = cq_passes_begin(engine->passes);
    if (us > 0) {
        cq_heap_add(&replay->heap, replay->heap.now_us + us, on_pass_end,
                    engine, 0);
    }
}

static void
drop_work(replay_t *replay, ask_t *ask)
{
    for (guint i = 0; i < ask->engines_len; i++) {
        cq_passes_drop(replay->engines[ask->engines[i]].passes, ask->id);
    }
    ask->engines_len = 0;
}

static void
show_event(replay_t *replay, ask_t *ask, guint left)
{
    gint64 now_us = replay->heap.now_us + 2 * (gint64)HOP_US;
    gint64 since_us = ask->begun ? ask->event_us : ask->asked_us;
    gint64 limit_us = ask->begun ? cq_replay_sheet(ask->kind)->gap_us
                                 : cq_replay_sheet(ask->kind)->aim_us;
    ask->late = ask->late || now_us - since_us > limit_us;
    ask->begun = TRUE;
    ask->event_us = now_us;
    mail_attempt(ask, CQ_EV_TOKENS, HOP_US);
    if (left == 0) {
        mail_attempt(ask, CQ_EV_DONE, HOP_US + 1);
    }
}

static void
on_read(cq_passes_t *passes, guint64 id, void *data)
{
    (void)passes;
    engine_t *engine = data;
    ask_t *ask = find(engine->replay, id);
    if (ask == NULL || --ask->unread > 0) {
        return;
    }
    engine_t *first = &engine->replay->engines[ask->engines[0]];
    show_event(engine->replay, ask, ask->events - 1);
    if (ask->events > 1) {
        cq_passes_write(first->passes, id, ask->tokens / ask->engines_len,
                        ask->events - 1);
        work(first);
    }
}

static void
on_wrote(cq_passes_t *passes, guint64 id, guint left, void *data)
{
    (void)passes;
    engine_t *engine = data;
    ask_t *ask = find(engine->replay, id);
    if (ask != NULL) {
        show_event(engine->replay, ask, left);
    }
}

static void
on_arrival(void *world, void *data, guint64 id)
{
    (void)data;
    replay_t *replay = world;
    ask_t *ask = find(replay, id);
    if (ask == NULL) {
        return;
    }
    gint64 read_us =
        cq_batchcost_prefill_us(&replay->rules->speed, ask->tokens);
    ask->unread = ask->engines_len;
    for (guint i = 0; i < ask->engines_len; i++) {
        engine_t *engine = &replay->engines[ask->engines[i]];
        cq_passes_read(engine->passes, id, ask->tokens / ask->engines_len,
                       read_us / ask->engines_len, ask->engines_len > 1);
        work(engine);
    }
}

static void
send(host_t *host, const cq_ac_send_t *send)
{
    replay_t *replay = host->replay;
    ask_t *ask = find(replay, send->request);
    if (ask == NULL) {
        return;
    }
    ask->attempt = send->attempt;
    ask->engines_len = MAX(send->group_len, 1);
    for (guint i = 0; i < ask->engines_len; i++) {
        guint64 id = send->group_len > 0 ? send->group[i] : send->upstream;
        for (guint k = 0; k < replay->options.engines; k++) {
            if (replay->engines[k].id == id) {
                ask->engines[i] = k;
            }
        }
    }
    mail_attempt(ask, CQ_EV_SENT, 0);
    cq_heap_add(&replay->heap, replay->heap.now_us + HOP_US, on_arrival, NULL,
                ask->id);
}

static void
answer(host_t *host, const cq_ac_answer_t *answer)
{
    replay_t *replay = host->replay;
    ask_t *ask = find(replay, answer->request);
    if (ask == NULL) {
        return;
    }
    cq_replay_count_t *count = &replay->result.kinds[ask->kind];
    drop_work(replay, ask);
    if (answer->outcome == CQ_OUT_DONE) {
        count->late += ask->late;
        count->on_time += !ask->late;
    }
    else if (answer->ran == CQ_RAN_NO) {
        count->refused++;
    }
    else {
        count->lost++;
    }
    g_hash_table_remove(replay->asks, &answer->request);
}

static gboolean
dials(const host_t *from, const host_t *to)
{
    guint len = 0;
    const cq_host_row_t *peers =
        from->core != NULL ? cq_core_peers(from->core, &len) : NULL;
    while (len > 0 && !g_str_equal(peers[len - 1].name, to->name)) {
        len--;
    }
    return len > 0;
}

/* Whoever dialled, both tell each other. */
static gboolean
linked(const host_t *a, const host_t *b)
{
    return dials(a, b) || dials(b, a);
}

static void
tell_tasks(host_t *host, GArray *news)
{
    replay_t *replay = host->replay;
    for (guint i = 0; news->len > 0 && i < replay->options.hosts; i++) {
        if (!linked(host, &replay->hosts[i])) {
            continue;
        }
        letter_t *letter = mail(&replay->hosts[i], replay->options.news_us, 0);
        letter->event.kind = CQ_EV_TASKS;
        letter->event.tasks.host = cq_ident_host(host->name);
        letter->rows = g_array_sized_new(FALSE, FALSE,
                                         sizeof(cq_task_update_t), news->len);
        g_array_append_vals(letter->rows, news->data, news->len);
    }
}

static void
tell_summary(host_t *host, const cq_summary_t *summary)
{
    replay_t *replay = host->replay;
    for (guint i = 0; i < replay->options.hosts; i++) {
        if (linked(host, &replay->hosts[i])) {
            letter_t *letter =
                mail(&replay->hosts[i], replay->options.news_us, 0);
            letter->event.kind = CQ_EV_SUMMARY;
            letter->summary = g_memdup2(summary, sizeof *summary);
        }
    }
}

static void
carry_out(host_t *host, const cq_action_t *action, GArray *news)
{
    switch (action->kind) {
    case CQ_AC_SEND:
        send(host, &action->send);
        break;
    case CQ_AC_ANSWER:
        answer(host, &action->answer);
        break;
    case CQ_AC_TASK:
        g_array_append_val(news, action->task);
        break;
    case CQ_AC_SUMMARY:
        tell_summary(host, action->summary);
        break;
    case CQ_AC_STOP: {
        ask_t *ask = find(host->replay, action->attempt.request);
        if (ask != NULL) {
            drop_work(host->replay, ask);
        }
        break;
    }
    case CQ_AC_RESERVE: {
        letter_t *letter = mail(host, 2 * (gint64)HOP_US, host->incarnation);
        letter->event.kind = CQ_EV_RESERVED;
        letter->event.reserved.request = action->memory.request;
        letter->event.reserved.upstream = action->memory.upstream;
        letter->event.reserved.granted = TRUE;
        break;
    }
    case CQ_AC_FORWARD:
    case CQ_AC_RELEASE:
    case CQ_AC_PROBE:
    case CQ_AC_CLAIM:
    case CQ_AC_LEASE:
    case CQ_AC_ORDER:
    case CQ_AC_STOPPED:
        break;
    }
}

/* Whatever a core's actions bring about comes back through the agenda, so a
 * step never nests. */
static void
post(host_t *host, const cq_event_t *event)
{
    cq_actions_t actions;
    GArray *news = g_array_new(FALSE, FALSE, sizeof(cq_task_update_t));
    cq_actions_init(&actions);
    cq_core_step(host->core, host->replay->heap.now_us, event, &actions);
    for (guint i = 0; i < actions.items->len; i++) {
        carry_out(host, cq_actions_at(&actions, i), news);
    }
    tell_tasks(host, news);
    cq_actions_clear(&actions);
    g_array_unref(news);
}

static void
on_tick(void *world, void *data, guint64 number)
{
    (void)number;
    replay_t *replay = world;
    host_t *host = data;
    if (replay->over) {
        return;
    }
    if (host->core != NULL) {
        cq_event_t event = {.kind = CQ_EV_TICK};
        post(host, &event);
    }
    cq_heap_add(&replay->heap, replay->heap.now_us + CQ_TICK_US, on_tick, host,
                0);
}

static void
start_host(host_t *host)
{
    replay_t *replay = host->replay;
    cq_core_options_t options = {
        .host = host->name,
        .zone = replay->rows[replay->options.engines + host->index].zone,
        .incarnation = ++host->incarnation,
        .seed = replay->options.seed + host->index,
        .policy = replay->options.policy,
    };
    host->core = cq_core_new(&options);
    cq_event_t rules = {.kind = CQ_EV_RULES, .rules = replay->rules};
    cq_event_t rows = {.kind = CQ_EV_HOSTS};
    rows.hosts.rows = replay->rows;
    rows.hosts.len = replay->options.engines + replay->options.hosts;
    post(host, &rules);
    post(host, &rows);
}

static void
on_start(void *world, void *data, guint64 number)
{
    (void)world;
    (void)number;
    host_t *host = data;
    start_host(host);
    /* Its peers notice the new connections. */
    for (guint i = 0; i < host->replay->options.hosts; i++) {
        if (linked(host, &host->replay->hosts[i])) {
            letter_t *letter = mail(&host->replay->hosts[i], 30 * CQ_MS_US, 0);
            letter->event.kind = CQ_EV_PEER_LINKED;
        }
    }
}

static gboolean
of_host(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    ask_t *ask = value;
    host_t *host = data;
    if (ask->host != host) {
        return FALSE;
    }
    drop_work(host->replay, ask);
    host->replay->result.kinds[ask->kind].lost++;
    return TRUE;
}

static void
on_kill(void *world, void *data, guint64 number)
{
    (void)number;
    replay_t *replay = world;
    host_t *host = data;
    g_clear_pointer(&host->core, cq_core_free);
    g_hash_table_foreach_remove(replay->asks, of_host, host);
    cq_heap_add(&replay->heap, replay->heap.now_us + DOWN_US, on_start, host,
                0);
}

static host_t *
draw_host(replay_t *replay)
{
    guint hosts = replay->options.hosts;
    guint at = (guint)g_rand_int_range(replay->rand, 0, (gint32)hosts);
    while (replay->hosts[at].core == NULL) {
        at = (at + 1) % hosts;
    }
    return &replay->hosts[at];
}

static void
ask_one(replay_t *replay, cq_replay_kind_t kind)
{
    host_t *host = draw_host(replay);
    ask_t *ask = g_new0(ask_t, 1);
    ask->host = host;
    ask->incarnation = host->incarnation;
    ask->kind = kind;
    ask->id = cq_ident_request(cq_ident_host(host->name), host->incarnation,
                               ++replay->serial);
    ask->tokens = cq_replay_tokens(replay->rand, kind);
    ask->events = cq_replay_events(replay->rand, kind);
    ask->asked_us = replay->heap.now_us;
    replay->result.kinds[kind].asked++;
    g_hash_table_insert(replay->asks, &ask->id, ask);
    cq_event_t event = {
        .kind = CQ_EV_REQUEST,
        .request = {.id = ask->id,
                    .service = CQ_REPLAY_SERVICE,
                    .team = CQ_REPLAY_TEAM,
                    .model = "",
                    .repeatable = TRUE,
                    .resumable = TRUE,
                    .prompt_tokens = ask->tokens,
                    .output_tokens = ANSWER_TOKENS,
                    .timeout_us = cq_replay_sheet(kind)->timeout_us,
                    .aim_us = cq_replay_sheet(kind)->aim_us,
                    .gap_us = cq_replay_sheet(kind)->gap_us,
                    .attempts_max = 2},
    };
    post(host, &event);
}

/* Arrivals of each kind by thinning (Lewis and Shedler, 1979). */
static void
on_ask(void *world, void *data, guint64 number)
{
    (void)data;
    replay_t *replay = world;
    cq_replay_kind_t kind = (cq_replay_kind_t)number;
    if (replay->heap.now_us >= replay->options.length_us) {
        return;
    }
    double most = cq_replay_most(&replay->options, kind);
    if (most <= 0) {
        return;
    }
    double seconds = -log(1 - g_rand_double(replay->rand)) / most;
    gint64 after_us = (gint64)(seconds * (double)CQ_SECOND_US);
    gboolean wanted =
        g_rand_double(replay->rand) <
        cq_replay_rate(&replay->options, kind, replay->heap.now_us) / most;
    if (wanted && replay->heap.now_us > 0) {
        ask_one(replay, kind);
    }
    cq_heap_add(&replay->heap, replay->heap.now_us + after_us + 1, on_ask,
                NULL, number);
}

static void
make_world(replay_t *replay)
{
    const cq_replay_options_t *options = &replay->options;
    g_assert(options->engines <= ENGINES_MAX && options->hosts <= HOSTS_MAX);
    for (guint i = 0; i < options->engines; i++) {
        engine_t *engine = &replay->engines[i];
        cq_host_row_t *row = &replay->rows[i];
        cq_passes_ops_t ops = {on_read, on_wrote, engine};
        engine->replay = replay;
        engine->passes = cq_passes_new(&replay->rules->speed, &ops);
        cq_replay_engine(i, row);
        engine->id = cq_ident_hash(row->name);
    }
    for (guint i = 0; i < options->hosts; i++) {
        host_t *host = &replay->hosts[i];
        cq_host_row_t *row = &replay->rows[options->engines + i];
        host->replay = replay;
        host->index = i;
        cq_replay_host(i, row);
        g_strlcpy(host->name, row->name, sizeof host->name);
    }
}

cq_replay_result_t
cq_replay_run(const cq_replay_options_t *options)
{
    replay_t replay = {.options = *options};
    if (options->news_us == 0) {
        replay.options.news_us = HOP_US;
    }
    cq_heap_init(&replay.heap);
    replay.rand = g_rand_new_with_seed(options->seed);
    replay.asks =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    replay.rules = cq_replay_rules();
    make_world(&replay);
    for (guint i = 0; i < options->hosts; i++) {
        start_host(&replay.hosts[i]);
        cq_heap_add(&replay.heap, (gint64)(i + 1) * CQ_MS_US, on_tick,
                    &replay.hosts[i], 0);
    }
    while (cq_heap_step(&replay.heap, SETTLE_US, &replay)) {
    }
    for (guint kind = 0; kind < CQ_REPLAY_KINDS; kind++) {
        cq_heap_add(&replay.heap, SETTLE_US, on_ask, NULL, kind);
    }
    if (options->restart_us > 0) {
        cq_heap_add(&replay.heap, options->restart_us, on_kill,
                    &replay.hosts[0], 0);
    }
    gint64 end_us = options->length_us + 20 * CQ_SECOND_US;
    while (cq_heap_step(&replay.heap, end_us, &replay)) {
    }
    replay.over = TRUE;
    for (guint i = 0; i < options->hosts; i++) {
        g_clear_pointer(&replay.hosts[i].core, cq_core_free);
    }
    for (guint i = 0; i < options->engines; i++) {
        cq_passes_free(replay.engines[i].passes);
    }
    g_hash_table_unref(replay.asks);
    cq_rules_unref(replay.rules);
    g_rand_free(replay.rand);
    cq_heap_clear(&replay.heap);
    return replay.result;
}
