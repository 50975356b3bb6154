#include "bench/soak.h"

#include <stdio.h>
#include <string.h>

#include "bench/soakstate.h"

#define REPLICAS 3
#define ASK_EVERY_US (60 * CQ_MS_US)
#define FAULT_EVERY_US (900 * CQ_MS_US)
#define CHECK_EVERY_US (50 * CQ_MS_US)
#define QUIET_US (90 * CQ_SECOND_US)
#define START_US (3 * CQ_SECOND_US)
#define LATE_US (3 * CQ_TICK_US)
#define KEYS 40

static const char *const rules[] = {
    "[service]\nname = \"modelo\"\nkind = \"model\"\nauth = \"none\"\n"
    "[requests]\ntimeout_ms = 20000\n"
    "[engines]\ngroup_max = 8\nresume = true\n"
    "[[model]]\nname = \"m\"\nreplicas = 3\n"
    "[[team]]\nname = \"t0\"\n[[team]]\nname = \"t1\"\n",
    "[service]\nname = \"reservas\"\nkind = \"plain\"\nauth = \"none\"\n"
    "[requests]\ntimeout_ms = 8000\n"
    "[[call]]\nmethod = \"GET\"\npath = \"/\"\nidempotent = true\n"
    "[[team]]\nname = \"t0\"\n[[team]]\nname = \"t1\"\n",
    NULL};

const char *const *
cq_soak_rules(void)
{
    return rules;
}

gint64
cq_soak_now(const cq_soak_t *soak)
{
    return cq_sim_heap(soak->sim)->now_us;
}

void
cq_soak_broken(cq_soak_t *soak, const char *format, ...)
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

cq_soak_ask_t *
cq_soak_ask(cq_soak_t *soak, guint64 tag)
{
    return &g_array_index(soak->asks, cq_soak_ask_t, (guint)tag);
}

static void
on_tokens(cq_sim_t *sim, guint64 tag, gint64 tokens, void *data)
{
    (void)sim;
    cq_soak_ask(data, tag)->tokens += tokens;
}

static void
check_answer(cq_soak_t *soak, const cq_soak_ask_t *ask)
{
    gint64 due_us = ask->at_us + ask->ask.timeout_us + LATE_US;
    gint64 thawed_us = soak->thawed_us[ask->ask.host] + LATE_US;
    if (cq_soak_now(soak) > MAX(due_us, thawed_us)) {
        cq_soak_broken(
            soak, "request %016" G_GINT64_MODIFIER "x answered late", ask->id);
    }
    gboolean model = ask->ask.prompt_tokens > 0;
    gboolean done = ask->answer.outcome == CQ_OUT_DONE;
    if (model && done && ask->tokens != ask->ask.output_tokens) {
        cq_soak_broken(soak,
                       "request %016" G_GINT64_MODIFIER
                       "x got %" G_GINT64_FORMAT
                       " tokens of %" G_GINT64_FORMAT,
                       ask->id, ask->tokens, ask->ask.output_tokens);
    }
}

static void
on_answered(cq_sim_t *sim, guint64 tag, const cq_ac_answer_t *answer,
            void *data)
{
    (void)sim;
    cq_soak_t *soak = data;
    cq_soak_ask_t *ask = cq_soak_ask(soak, tag);
    if (ask->answered) {
        cq_soak_broken(soak,
                       "request %016" G_GINT64_MODIFIER "x answered twice",
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
    cq_soak_ask(data, tag)->lost = TRUE;
}

static void
draw_model(cq_soak_t *soak, cq_sim_ask_t *ask)
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
draw_plain(cq_soak_t *soak, cq_sim_ask_t *ask)
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
    cq_soak_t *soak = data;
    cq_soak_ask_t ask = {.at_us = cq_soak_now(soak)};
    ask.ask.tag = soak->asks->len;
    ask.ask.host = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_HOSTS);
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
    cq_soak_ask(soak, copy.tag)->id = id;
    if (id == 0) {
        cq_soak_ask(soak, copy.tag)->lost = TRUE;
    }
    soak->report->asked++;
    if (soak->report->asked < soak->options->steps) {
        gint64 pause_us =
            g_rand_int_range(soak->rand, 1, 2 * (gint32)ASK_EVERY_US);
        cq_heap_add(cq_sim_heap(sim), cq_soak_now(soak) + pause_us, on_ask,
                    soak, 0);
    }
}

static void
on_fault(void *world, void *data, guint64 number)
{
    (void)number;
    cq_soak_t *soak = data;
    const char *name = cq_soak_inject(soak);
    if (soak->options->verbose) {
        printf("%.3f %s\n", (double)cq_soak_now(soak) / 1e6, name);
    }
    if (soak->report->asked < soak->options->steps) {
        gint64 pause_us =
            g_rand_int_range(soak->rand, 1, 2 * (gint32)FAULT_EVERY_US);
        cq_heap_add(cq_sim_heap(world), cq_soak_now(soak) + pause_us, on_fault,
                    soak, 0);
    }
}

static void
check_version(cq_soak_t *soak, guint host)
{
    cq_fold_t *fold = cq_sim_fold(soak->sim, host);
    const cq_config_entry_t *held = cq_fold_get(fold, "reservas");
    guint64 version = held != NULL ? held->version : 0;
    if (version < soak->versions[host]) {
        cq_soak_broken(soak, "configuration of host %u went back", host);
    }
    soak->versions[host] = version;
}

/* A drained process leaves by itself; the platform starts a new one. */
static void
check_stopping(cq_soak_t *soak, guint host)
{
    if (soak->stopping_us[host] == 0 ||
        !cq_sim_host_stopped(soak->sim, host)) {
        return;
    }
    if (cq_core_stats(cq_sim_core(soak->sim, host)).requests != 0) {
        cq_soak_broken(soak, "host %u stopped with open requests", host);
    }
    cq_soak_kill_host(soak, host, CQ_SECOND_US);
}

static void
on_check(void *world, void *data, guint64 number)
{
    (void)number;
    cq_soak_t *soak = data;
    for (guint host = 0; host < CQ_SOAK_HOSTS; host++) {
        cq_core_t *core = cq_sim_core(world, host);
        gboolean frozen = soak->thawed_us[host] + LATE_US > cq_soak_now(soak);
        if (core == NULL || frozen) {
            continue;
        }
        const char *text = cq_core_check(core, cq_soak_now(soak));
        if (text != NULL) {
            cq_soak_broken(soak, "host %u at %.3f s: %s", host,
                           (double)cq_soak_now(soak) / 1e6, text);
        }
        check_version(soak, host);
        check_stopping(soak, host);
    }
    cq_heap_add(cq_sim_heap(world), cq_soak_now(soak) + CHECK_EVERY_US,
                on_check, soak, 0);
}

static void
check_runs(cq_soak_t *soak)
{
    for (guint i = 0; i < soak->asks->len; i++) {
        const cq_soak_ask_t *ask = cq_soak_ask(soak, i);
        gboolean plain = ask->ask.prompt_tokens == 0;
        if (!ask->answered && !ask->lost) {
            cq_soak_broken(soak,
                           "request %016" G_GINT64_MODIFIER "x never answered",
                           ask->id);
        }
        if (!plain || ask->id == 0) {
            continue;
        }
        guint runs = cq_sim_request_runs(soak->sim, ask->id);
        if (!ask->ask.repeatable && runs > 1) {
            cq_soak_broken(soak,
                           "request %016" G_GINT64_MODIFIER "x ran %u times",
                           ask->id, runs);
        }
        if (ask->answered && ask->answer.ran == CQ_RAN_NO && runs > 0) {
            cq_soak_broken(soak,
                           "request %016" G_GINT64_MODIFIER
                           "x was told not run and ran",
                           ask->id);
        }
        if (ask->ask.key != 0 && cq_sim_runs(soak->sim, ask->ask.key) > 1) {
            cq_soak_broken(soak, "key %" G_GUINT64_FORMAT " ran %u times",
                           ask->ask.key, cq_sim_runs(soak->sim, ask->ask.key));
        }
    }
}

static void
check_end(cq_soak_t *soak)
{
    check_runs(soak);
    if (cq_sim_held(soak->sim) != 0) {
        cq_soak_broken(soak,
                       "%" G_GINT64_FORMAT " tokens of memory are held for "
                       "good",
                       cq_sim_held(soak->sim));
    }
    if (cq_sim_loaded(soak->sim, "m") < REPLICAS) {
        cq_soak_broken(soak, "%u engines have the model, not %d",
                       cq_sim_loaded(soak->sim, "m"), REPLICAS);
    }
    const cq_config_entry_t *first = NULL;
    for (guint host = 0; host < CQ_SOAK_HOSTS; host++) {
        cq_fold_t *fold = cq_sim_fold(soak->sim, host);
        if (fold == NULL) {
            continue;
        }
        const cq_config_entry_t *held = cq_fold_get(fold, "reservas");
        if (held == NULL) {
            cq_soak_broken(soak, "host %u has no configuration", host);
        }
        else if (first != NULL && strcmp(held->hash, first->hash) != 0) {
            cq_soak_broken(soak, "hosts differ in their configuration");
        }
        first = held;
    }
}

gboolean
cq_soak_run(const cq_soak_options_t *options, cq_soak_report_t *report)
{
    *report = (cq_soak_report_t){0};
    cq_soak_t soak = {.options = options, .report = report};
    soak.rand = g_rand_new_with_seed(options->seed);
    soak.asks = g_array_new(FALSE, TRUE, sizeof(cq_soak_ask_t));
    cq_sim_options_t world = {
        .zones = CQ_SOAK_ZONES,
        .hosts = CQ_SOAK_HOSTS,
        .engines = CQ_SOAK_ENGINES,
        .plains = CQ_SOAK_PLAINS,
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
