#include "bench/soak.h"

#include <stdio.h>
#include <string.h>

#include "bench/sim.h"

#define ZONES 3
#define HOSTS 4
#define ENGINES 6
#define PLAINS 3
#define UPSTREAMS (ENGINES + PLAINS)
#define ASK_EVERY_US (60 * CQ_MS_US)
#define FAULT_EVERY_US (900 * CQ_MS_US)
#define CHECK_EVERY_US (50 * CQ_MS_US)
#define QUIET_US (90 * CQ_SECOND_US)
#define START_US (3 * CQ_SECOND_US)
#define LATE_US (3 * CQ_TICK_US)
#define KEYS 40
#define FREEZE_MAX_S 12

static const char *const rules[] = {
    "[service]\nname = \"modelo\"\nkind = \"model\"\nauth = \"none\"\n"
    "[requests]\ntimeout_ms = 20000\n"
    "[engines]\ngroup_max = 8\nresume = true\n"
    "[[model]]\nname = \"m\"\n"
    "[[team]]\nname = \"t0\"\n[[team]]\nname = \"t1\"\n",
    "[service]\nname = \"reservas\"\nkind = \"plain\"\nauth = \"none\"\n"
    "[requests]\ntimeout_ms = 8000\n"
    "[[call]]\nmethod = \"GET\"\npath = \"/\"\nidempotent = true\n"
    "[[team]]\nname = \"t0\"\n[[team]]\nname = \"t1\"\n",
    NULL};

/**
 * struct ask_t - one request and its answer
 * @at_us: when its entry host could take it in
 */
typedef struct {
    guint64 id;
    cq_sim_ask_t ask;
    gint64 at_us;
    gboolean answered;
    gboolean lost;
    cq_ac_answer_t answer;
    gint64 tokens;
} ask_t;

typedef struct {
    const cq_soak_options_t *options;
    cq_soak_report_t *report;
    cq_sim_t *sim;
    GRand *rand;
    GArray *asks;
    gint64 thawed_us[HOSTS];
    guint64 versions[HOSTS];
    gint64 stopping_us[HOSTS];
    guint published;
    gint64 end_us;
} soak_t;

static gint64
now_us(const soak_t *soak)
{
    return cq_sim_heap(soak->sim)->now_us;
}

static void
broken(soak_t *soak, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void
broken(soak_t *soak, const char *format, ...)
{
    if (soak->report->broken[0] != '\0') {
        return;
    }
    va_list args;
    va_start(args, format);
    g_vsnprintf(soak->report->broken, sizeof soak->report->broken, format,
                args);
    va_end(args);
}

static ask_t *
ask_at(soak_t *soak, guint64 tag)
{
    return &g_array_index(soak->asks, ask_t, (guint)tag);
}

static void
on_tokens(cq_sim_t *sim, guint64 tag, gint64 tokens, void *data)
{
    (void)sim;
    ask_at(data, tag)->tokens += tokens;
}

static void
check_answer(soak_t *soak, const ask_t *ask)
{
    gint64 due_us = ask->at_us + ask->ask.timeout_us + LATE_US;
    gint64 thawed_us = soak->thawed_us[ask->ask.host] + LATE_US;
    if (now_us(soak) > MAX(due_us, thawed_us)) {
        broken(soak, "request %016" G_GINT64_MODIFIER "x answered late",
               ask->id);
    }
    gboolean model = ask->ask.prompt_tokens > 0;
    gboolean done = ask->answer.outcome == CQ_OUT_DONE;
    if (model && done && ask->tokens != ask->ask.output_tokens) {
        broken(soak,
               "request %016" G_GINT64_MODIFIER "x got %" G_GINT64_FORMAT
               " tokens of %" G_GINT64_FORMAT,
               ask->id, ask->tokens, ask->ask.output_tokens);
    }
}

static void
on_answered(cq_sim_t *sim, guint64 tag, const cq_ac_answer_t *answer,
            void *data)
{
    (void)sim;
    soak_t *soak = data;
    ask_t *ask = ask_at(soak, tag);
    if (ask->answered) {
        broken(soak, "request %016" G_GINT64_MODIFIER "x answered twice",
               ask->id);
    }
    ask->answered = TRUE;
    ask->answer = *answer;
    ask->id = answer->request;
    check_answer(soak, ask);
    soak->report->done += answer->outcome == CQ_OUT_DONE;
    soak->report->refused += answer->ran == CQ_RAN_NO;
    soak->report->unknown += answer->ran == CQ_RAN_UNKNOWN;
}

static void
on_lost(cq_sim_t *sim, guint64 tag, void *data)
{
    (void)sim;
    ask_at(data, tag)->lost = TRUE;
}

static void
draw_model(soak_t *soak, cq_sim_ask_t *ask)
{
    gboolean giant = g_rand_int_range(soak->rand, 0, 25) == 0;
    ask->service = "modelo";
    ask->repeatable = TRUE;
    ask->prompt_tokens = g_rand_int_range(soak->rand, 1000, 30000);
    if (giant) {
        ask->prompt_tokens = g_rand_int_range(soak->rand, 400000, 900000);
    }
    ask->output_tokens = g_rand_int_range(soak->rand, 5, 60);
    ask->timeout_us = giant ? 40 * CQ_SECOND_US : 20 * CQ_SECOND_US;
}

static void
draw_plain(soak_t *soak, cq_sim_ask_t *ask)
{
    ask->service = "reservas";
    ask->timeout_us = 8 * CQ_SECOND_US;
    switch (g_rand_int_range(soak->rand, 0, 4)) {
    case 0:
        ask->repeatable = TRUE;
        break;
    case 1:
        break;
    default:
        /* Callers repeat a key, at any host, whatever they were told. */
        ask->key = (guint64)g_rand_int_range(soak->rand, 1, KEYS) +
                   soak->asks->len / 400 * 1000;
        break;
    }
}

static void
on_ask(void *world, void *data, guint64 number)
{
    (void)number;
    cq_sim_t *sim = world;
    soak_t *soak = data;
    ask_t ask = {.at_us = now_us(soak)};
    ask.ask.tag = soak->asks->len;
    ask.ask.host = (guint)g_rand_int_range(soak->rand, 0, HOSTS);
    ask.ask.team = g_rand_boolean(soak->rand) ? "t0" : "t1";
    if (g_rand_int_range(soak->rand, 0, 3) == 0) {
        draw_model(soak, &ask.ask);
    }
    else {
        draw_plain(soak, &ask.ask);
    }
    /* A frozen host takes it in when it thaws; its time counts from then. */
    ask.at_us = MAX(ask.at_us, soak->thawed_us[ask.ask.host]);
    cq_sim_ask_t copy = ask.ask;
    g_array_append_val(soak->asks, ask);
    guint64 id = cq_sim_ask(sim, &copy);
    ask_at(soak, copy.tag)->id = id;
    if (id == 0) {
        ask_at(soak, copy.tag)->lost = TRUE;
    }
    soak->report->asked++;
    if (soak->report->asked < soak->options->steps) {
        gint64 pause_us =
            g_rand_int_range(soak->rand, 1, 2 * (gint32)ASK_EVERY_US);
        cq_heap_add(cq_sim_heap(sim), now_us(soak) + pause_us, on_ask, soak,
                    0);
    }
}

static void
on_start_host(void *world, void *data, guint64 host)
{
    soak_t *soak = data;
    if (cq_sim_core(world, (guint)host) == NULL) {
        cq_sim_start_host(world, (guint)host);
        soak->versions[host] = 0;
    }
}

static void
kill_host(soak_t *soak, guint host, gint64 down_us)
{
    cq_sim_kill_host(soak->sim, host);
    soak->stopping_us[host] = 0;
    soak->thawed_us[host] = 0;
    cq_heap_add(cq_sim_heap(soak->sim), now_us(soak) + down_us, on_start_host,
                soak, host);
}

static void
on_start_upstream(void *world, void *data, guint64 index)
{
    (void)data;
    cq_sim_start_upstream(world, (guint)index);
}

static void
on_kill_upstream(void *world, void *data, guint64 index)
{
    soak_t *soak = data;
    cq_sim_kill_upstream(world, (guint)index);
    cq_heap_add(cq_sim_heap(world), now_us(soak) + CQ_SECOND_US,
                on_start_upstream, soak, index);
}

static void
on_join(void *world, void *data, guint64 pair)
{
    (void)data;
    cq_sim_cut(world, (guint)(pair / 100), (guint)(pair % 100), FALSE);
}

static void
on_platform_up(void *world, void *data, guint64 number)
{
    (void)data;
    (void)number;
    cq_sim_log_down(world, FALSE);
    cq_sim_list_down(world, FALSE);
}

static gint64
some_us(soak_t *soak, gint32 most_s)
{
    return g_rand_int_range(soak->rand, 100, most_s * 1000) * CQ_MS_US;
}

static void
fault_kill_host(soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, HOSTS);
    if (cq_sim_core(soak->sim, host) != NULL) {
        kill_host(soak, host, some_us(soak, 5));
    }
}

static void
fault_freeze_host(soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, HOSTS);
    gint64 us = some_us(soak, FREEZE_MAX_S);
    if (soak->thawed_us[host] > now_us(soak)) {
        return;
    }
    cq_sim_freeze_host(soak->sim, host, us);
    soak->thawed_us[host] = now_us(soak) + us;
}

static void
fault_kill_upstream(soak_t *soak)
{
    guint index = (guint)g_rand_int_range(soak->rand, 0, UPSTREAMS);
    cq_sim_kill_upstream(soak->sim, index);
    cq_heap_add(cq_sim_heap(soak->sim), now_us(soak) + some_us(soak, 6),
                on_start_upstream, soak, index);
}

static void
fault_freeze_upstream(soak_t *soak)
{
    guint index = (guint)g_rand_int_range(soak->rand, 0, UPSTREAMS);
    cq_sim_freeze_upstream(soak->sim, index, some_us(soak, 6));
}

static void
fault_leave(soak_t *soak)
{
    guint index = (guint)g_rand_int_range(soak->rand, 0, UPSTREAMS);
    cq_sim_leave_upstream(soak->sim, index);
    cq_heap_add(cq_sim_heap(soak->sim), now_us(soak) + 8 * CQ_SECOND_US,
                on_kill_upstream, soak, index);
}

static void
fault_silence(soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, HOSTS);
    guint index = (guint)g_rand_int_range(soak->rand, 0, UPSTREAMS);
    cq_sim_silence(soak->sim, host, index);
}

static void
fault_cut(soak_t *soak)
{
    guint a = (guint)g_rand_int_range(soak->rand, 0, ZONES);
    guint b = (guint)g_rand_int_range(soak->rand, 0, ZONES + 1);
    b = b == ZONES ? CQ_SIM_PLATFORM : b;
    if (a != b) {
        cq_sim_cut(soak->sim, a, b, TRUE);
        cq_heap_add(cq_sim_heap(soak->sim), now_us(soak) + some_us(soak, 10),
                    on_join, soak, a * 100 + b);
    }
}

static void
fault_log(soak_t *soak)
{
    cq_sim_log_down(soak->sim, TRUE);
    cq_heap_add(cq_sim_heap(soak->sim), now_us(soak) + some_us(soak, 6),
                on_platform_up, soak, 0);
}

static void
fault_lose_append(soak_t *soak)
{
    cq_sim_lose_appends(soak->sim, (guint)g_rand_int_range(soak->rand, 1, 4));
}

static void
fault_list(soak_t *soak)
{
    cq_sim_list_down(soak->sim, TRUE);
    cq_heap_add(cq_sim_heap(soak->sim), now_us(soak) + some_us(soak, 8),
                on_platform_up, soak, 0);
}

/* Two operators race: both publish on the version that they saw. */
static void
fault_publish(soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, HOSTS);
    cq_fold_t *fold = cq_sim_fold(soak->sim, host);
    const cq_config_entry_t *held =
        fold != NULL ? cq_fold_get(fold, "reservas") : NULL;
    guint64 base = held != NULL ? held->version : 0;
    for (int i = 0; i < 2; i++) {
        char id[32];
        g_snprintf(id, sizeof id, "p-%u", soak->published++);
        char *body = g_strdup_printf("%s# %s\n", rules[1], id);
        cq_sim_publish(soak->sim, "reservas", body, base, id);
        g_free(body);
    }
}

static void
fault_drain(soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, HOSTS);
    if (cq_sim_core(soak->sim, host) != NULL && soak->stopping_us[host] == 0) {
        cq_sim_drain_host(soak->sim, host, CQ_SECOND_US, 50 * CQ_SECOND_US);
        soak->stopping_us[host] = now_us(soak);
    }
}

/* The upstream's answer to an older attempt, once more. */
static void
fault_crossed(soak_t *soak)
{
    if (soak->asks->len == 0) {
        return;
    }
    guint tag =
        (guint)g_rand_int_range(soak->rand, 0, (gint32)soak->asks->len);
    const ask_t *ask = ask_at(soak, tag);
    cq_core_t *core = cq_sim_core(soak->sim, ask->ask.host);
    gboolean thawed = soak->thawed_us[ask->ask.host] <= now_us(soak);
    if (core == NULL || ask->id == 0 || !thawed) {
        return;
    }
    cq_event_t event = {.kind = CQ_EV_DONE};
    event.attempt.request = ask->id;
    event.attempt.attempt = 77;
    event.attempt.status = 200;
    cq_actions_t actions;
    cq_actions_init(&actions);
    cq_core_step(core, now_us(soak), &event, &actions);
    if (actions.items->len > 0) {
        broken(soak, "a crossed answer had an effect");
    }
    cq_actions_clear(&actions);
}

typedef struct {
    const char *name;
    void (*inject)(soak_t *soak);
} fault_t;

static const fault_t faults[] = {
    {"kill_host", fault_kill_host},
    {"freeze_host", fault_freeze_host},
    {"kill_upstream", fault_kill_upstream},
    {"freeze_upstream", fault_freeze_upstream},
    {"leave", fault_leave},
    {"silence", fault_silence},
    {"cut", fault_cut},
    {"log", fault_log},
    {"lose_append", fault_lose_append},
    {"list", fault_list},
    {"publish", fault_publish},
    {"drain", fault_drain},
    {"crossed", fault_crossed},
};

static void
on_fault(void *world, void *data, guint64 number)
{
    (void)number;
    soak_t *soak = data;
    guint which = (guint)g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(faults));
    if (soak->options->verbose) {
        printf("%.3f %s\n", (double)now_us(soak) / 1e6, faults[which].name);
    }
    faults[which].inject(soak);
    soak->report->faults++;
    if (soak->report->asked < soak->options->steps) {
        gint64 pause_us =
            g_rand_int_range(soak->rand, 1, 2 * (gint32)FAULT_EVERY_US);
        cq_heap_add(cq_sim_heap(world), now_us(soak) + pause_us, on_fault,
                    soak, 0);
    }
}

static void
check_version(soak_t *soak, guint host)
{
    cq_fold_t *fold = cq_sim_fold(soak->sim, host);
    const cq_config_entry_t *held = cq_fold_get(fold, "reservas");
    guint64 version = held != NULL ? held->version : 0;
    if (version < soak->versions[host]) {
        broken(soak, "configuration of host %u went back", host);
    }
    soak->versions[host] = version;
}

/* A drained process leaves by itself; the platform starts a new one. */
static void
check_stopping(soak_t *soak, guint host)
{
    if (soak->stopping_us[host] == 0 ||
        !cq_sim_host_stopped(soak->sim, host)) {
        return;
    }
    if (cq_core_stats(cq_sim_core(soak->sim, host)).requests != 0) {
        broken(soak, "host %u stopped with open requests", host);
    }
    kill_host(soak, host, CQ_SECOND_US);
}

static void
on_check(void *world, void *data, guint64 number)
{
    (void)number;
    soak_t *soak = data;
    for (guint host = 0; host < HOSTS; host++) {
        cq_core_t *core = cq_sim_core(world, host);
        gboolean frozen = soak->thawed_us[host] + LATE_US > now_us(soak);
        if (core == NULL || frozen) {
            continue;
        }
        const char *text = cq_core_check(core, now_us(soak));
        if (text != NULL) {
            broken(soak, "host %u at %.3f s: %s", host,
                   (double)now_us(soak) / 1e6, text);
        }
        check_version(soak, host);
        check_stopping(soak, host);
    }
    cq_heap_add(cq_sim_heap(world), now_us(soak) + CHECK_EVERY_US, on_check,
                soak, 0);
}

static void
check_runs(soak_t *soak)
{
    for (guint i = 0; i < soak->asks->len; i++) {
        const ask_t *ask = ask_at(soak, i);
        gboolean plain = ask->ask.prompt_tokens == 0;
        if (!ask->answered && !ask->lost) {
            broken(soak, "request %016" G_GINT64_MODIFIER "x never answered",
                   ask->id);
        }
        if (!plain || ask->id == 0) {
            continue;
        }
        guint runs = cq_sim_request_runs(soak->sim, ask->id);
        if (!ask->ask.repeatable && runs > 1) {
            broken(soak, "request %016" G_GINT64_MODIFIER "x ran %u times",
                   ask->id, runs);
        }
        if (ask->answered && ask->answer.ran == CQ_RAN_NO && runs > 0) {
            broken(soak,
                   "request %016" G_GINT64_MODIFIER
                   "x was told not run and ran",
                   ask->id);
        }
        if (ask->ask.key != 0 && cq_sim_runs(soak->sim, ask->ask.key) > 1) {
            broken(soak, "key %" G_GUINT64_FORMAT " ran %u times",
                   ask->ask.key, cq_sim_runs(soak->sim, ask->ask.key));
        }
    }
}

static void
check_end(soak_t *soak)
{
    check_runs(soak);
    if (cq_sim_held(soak->sim) != 0) {
        broken(soak,
               "%" G_GINT64_FORMAT " tokens of memory are held for "
               "good",
               cq_sim_held(soak->sim));
    }
    const cq_config_entry_t *first = NULL;
    for (guint host = 0; host < HOSTS; host++) {
        cq_fold_t *fold = cq_sim_fold(soak->sim, host);
        if (fold == NULL) {
            continue;
        }
        const cq_config_entry_t *held = cq_fold_get(fold, "reservas");
        if (held == NULL) {
            broken(soak, "host %u has no configuration", host);
        }
        else if (first != NULL && strcmp(held->hash, first->hash) != 0) {
            broken(soak, "hosts differ in their configuration");
        }
        first = held;
    }
}

gboolean
cq_soak_run(const cq_soak_options_t *options, cq_soak_report_t *report)
{
    *report = (cq_soak_report_t){0};
    soak_t soak = {.options = options, .report = report};
    soak.rand = g_rand_new_with_seed(options->seed);
    soak.asks = g_array_new(FALSE, TRUE, sizeof(ask_t));
    cq_sim_options_t world = {
        .zones = ZONES,
        .hosts = HOSTS,
        .engines = ENGINES,
        .plains = PLAINS,
        .policy = CQ_POLICY_COST,
        .seed = options->seed,
        .report_lag_us = CQ_SECOND_US,
        .list_lag_us = CQ_SECOND_US,
        .rules = rules,
        .tokens = on_tokens,
        .answered = on_answered,
        .lost = on_lost,
        .data = &soak,
    };
    soak.sim = cq_sim_new(&world);
    cq_heap_t *heap = cq_sim_heap(soak.sim);
    cq_heap_add(heap, START_US, on_ask, &soak, 0);
    cq_heap_add(heap, START_US, on_fault, &soak, 0);
    cq_heap_add(heap, START_US, on_check, &soak, 0);
    while (report->asked < options->steps && report->broken[0] == '\0') {
        cq_sim_run(soak.sim, heap->now_us + CQ_SECOND_US);
    }
    cq_sim_run(soak.sim, heap->now_us + QUIET_US);
    check_end(&soak);
    report->core_steps = cq_sim_totals(soak.sim).steps;
    cq_sim_free(soak.sim);
    g_array_unref(soak.asks);
    g_rand_free(soak.rand);
    return report->broken[0] == '\0';
}
