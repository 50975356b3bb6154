#include "bench/soak.h"

#include <stdio.h>
#include <string.h>

#include "bench/soakstate.h"

#define MODEL_REPLICAS 3
#define REQUEST_PERIOD_US (60 * CQ_MS_US)
#define FAULT_PERIOD_US (900 * CQ_MS_US)
#define CHECK_PERIOD_US (50 * CQ_MS_US)
/* Time without new requests and faults before the final checks. */
#define SETTLE_US (90 * CQ_SECOND_US)
#define START_US (3 * CQ_SECOND_US)
/* How long after its deadline, or after the end of its host's freeze, an
 * answer may arrive. */
#define TOLERANCE_US (3 * CQ_TICK_US)
/* Idempotency keys are drawn from KEYS_AT_ONCE - 1 different keys; after every
 * 400 requests these are replaced by new ones. */
#define KEYS_AT_ONCE 40

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
cq_soak_violation(cq_soak_t *soak, const char *format, ...)
{
    if (soak->report->violation[0] != '\0') {
        return;
    }
    va_list args;
    va_start(args, format);
    g_vsnprintf(soak->report->violation, sizeof soak->report->violation,
                format, args);
    va_end(args);
}

cq_soak_request_t *
cq_soak_request(cq_soak_t *soak, guint64 tag)
{
    return &g_array_index(soak->requests, cq_soak_request_t, (guint)tag);
}

static void
on_tokens(cq_sim_t *sim, guint64 tag, gint64 tokens, void *data)
{
    (void)sim;
    cq_soak_request(data, tag)->tokens += tokens;
}

static void
check_answer(cq_soak_t *soak, const cq_soak_request_t *request)
{
    gint64 due_us =
        request->received_us + request->spec.timeout_us + TOLERANCE_US;
    gint64 frozen_until_us =
        soak->frozen_until_us[request->spec.host] + TOLERANCE_US;
    if (cq_soak_now(soak) > MAX(due_us, frozen_until_us)) {
        cq_soak_violation(soak,
                          "request %016" G_GINT64_MODIFIER "x answered late",
                          request->id);
    }
    gboolean is_model_request = request->spec.prompt_tokens > 0;
    gboolean done = request->answer.outcome == CQ_OUTCOME_DONE;
    if (is_model_request && done &&
        request->tokens != request->spec.output_tokens) {
        cq_soak_violation(
            soak,
            "request %016" G_GINT64_MODIFIER "x got %" G_GINT64_FORMAT
            " tokens of %" G_GINT64_FORMAT,
            request->id, request->tokens, request->spec.output_tokens);
    }
}

static void
on_answered(cq_sim_t *sim, guint64 tag, const cq_ac_answer_t *answer,
            void *data)
{
    (void)sim;
    cq_soak_t *soak = data;
    cq_soak_request_t *request = cq_soak_request(soak, tag);
    if (request->answered) {
        cq_soak_violation(soak,
                          "request %016" G_GINT64_MODIFIER "x answered twice",
                          request->id);
    }
    request->answered = TRUE;
    request->answer = *answer;
    request->id = answer->request;
    check_answer(soak, request);
    soak->report->done += answer->outcome == CQ_OUTCOME_DONE;
    soak->report->refused += answer->ran == CQ_RAN_NO;
    soak->report->unknown += answer->ran == CQ_RAN_UNKNOWN;
}

static void
on_lost(cq_sim_t *sim, guint64 tag, void *data)
{
    (void)sim;
    cq_soak_request(data, tag)->lost = TRUE;
}

static void
draw_model_request(cq_soak_t *soak, cq_sim_request_t *request)
{
    gboolean very_long = g_rand_int_range(soak->rand, 0, 25) == 0;
    request->service = "modelo";
    request->repeatable = TRUE;
    request->prompt_tokens = g_rand_int_range(soak->rand, 1000, 30000);
    if (very_long) {
        request->prompt_tokens = g_rand_int_range(soak->rand, 400000, 900000);
    }
    request->output_tokens = g_rand_int_range(soak->rand, 5, 60);
    request->timeout_us = very_long ? 40 * CQ_SECOND_US : 20 * CQ_SECOND_US;
}

static void
draw_plain_call(cq_soak_t *soak, cq_sim_request_t *request)
{
    request->service = "reservas";
    request->timeout_us = 8 * CQ_SECOND_US;
    switch (g_rand_int_range(soak->rand, 0, 4)) {
    case 0:
        request->repeatable = TRUE;
        break;
    case 1:
        break;
    default:
        /* Callers reuse keys at any host, whatever the earlier answer was. */
        request->key = (guint64)g_rand_int_range(soak->rand, 1, KEYS_AT_ONCE) +
                       soak->requests->len / 400 * 1000;
        break;
    }
}

static void
on_next_request(void *context, void *data, guint64 number)
{
    (void)number;
    cq_sim_t *sim = context;
    cq_soak_t *soak = data;
    cq_soak_request_t request = {.received_us = cq_soak_now(soak)};
    request.spec.tag = soak->requests->len;
    request.spec.host = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_HOSTS);
    request.spec.team = g_rand_boolean(soak->rand) ? "t0" : "t1";
    if (g_rand_int_range(soak->rand, 0, 3) == 0) {
        draw_model_request(soak, &request.spec);
    }
    else {
        draw_plain_call(soak, &request.spec);
    }
    /* A frozen host receives the request when it resumes, and the request's
     * timeout starts then. */
    request.received_us =
        MAX(request.received_us, soak->frozen_until_us[request.spec.host]);
    cq_sim_request_t copy = request.spec;
    g_array_append_val(soak->requests, request);
    guint64 id = cq_sim_send_request(sim, &copy);
    cq_soak_request(soak, copy.tag)->id = id;
    if (id == 0) {
        cq_soak_request(soak, copy.tag)->lost = TRUE;
    }
    soak->report->sent++;
    if (soak->report->sent < soak->options->steps) {
        gint64 delay_us =
            g_rand_int_range(soak->rand, 1, 2 * (gint32)REQUEST_PERIOD_US);
        cq_heap_add(cq_sim_heap(sim), cq_soak_now(soak) + delay_us,
                    on_next_request, soak, 0);
    }
}

static void
on_fault(void *context, void *data, guint64 number)
{
    (void)number;
    cq_soak_t *soak = data;
    const char *name = cq_soak_inject(soak);
    if (soak->options->verbose) {
        printf("%.3f %s\n", (double)cq_soak_now(soak) / 1e6, name);
    }
    if (soak->report->sent < soak->options->steps) {
        gint64 delay_us =
            g_rand_int_range(soak->rand, 1, 2 * (gint32)FAULT_PERIOD_US);
        cq_heap_add(cq_sim_heap(context), cq_soak_now(soak) + delay_us,
                    on_fault, soak, 0);
    }
}

static void
check_version(cq_soak_t *soak, guint host)
{
    cq_fold_t *fold = cq_sim_fold(soak->sim, host);
    const cq_config_entry_t *entry = cq_fold_get(fold, "reservas");
    guint64 version = entry != NULL ? entry->version : 0;
    if (version < soak->highest_versions[host]) {
        cq_soak_violation(soak, "configuration version of host %u decreased",
                          host);
    }
    soak->highest_versions[host] = version;
}

/* Replaces a process that has completed a drain by a new one a second later.
 */
static void
check_drained(cq_soak_t *soak, guint host)
{
    if (soak->draining_since_us[host] == 0 ||
        !cq_sim_host_stopped(soak->sim, host)) {
        return;
    }
    if (cq_core_stats(cq_sim_core(soak->sim, host)).requests != 0) {
        cq_soak_violation(soak, "host %u stopped with open requests", host);
    }
    cq_soak_kill_host(soak, host, CQ_SECOND_US);
}

static void
on_check(void *context, void *data, guint64 number)
{
    (void)number;
    cq_soak_t *soak = data;
    for (guint host = 0; host < CQ_SOAK_HOSTS; host++) {
        cq_core_t *core = cq_sim_core(context, host);
        gboolean frozen =
            soak->frozen_until_us[host] + TOLERANCE_US > cq_soak_now(soak);
        if (core == NULL || frozen) {
            continue;
        }
        const char *violation = cq_core_check(core, cq_soak_now(soak));
        if (violation != NULL) {
            cq_soak_violation(soak, "host %u at %.3f s: %s", host,
                              (double)cq_soak_now(soak) / 1e6, violation);
        }
        check_version(soak, host);
        check_drained(soak, host);
    }
    cq_heap_add(cq_sim_heap(context), cq_soak_now(soak) + CHECK_PERIOD_US,
                on_check, soak, 0);
}

static void
check_requests(cq_soak_t *soak)
{
    for (guint i = 0; i < soak->requests->len; i++) {
        const cq_soak_request_t *request = cq_soak_request(soak, i);
        gboolean is_plain = request->spec.prompt_tokens == 0;
        if (!request->answered && !request->lost) {
            cq_soak_violation(
                soak, "request %016" G_GINT64_MODIFIER "x never answered",
                request->id);
        }
        if (!is_plain || request->id == 0) {
            continue;
        }
        guint runs = cq_sim_request_runs(soak->sim, request->id);
        if (!request->spec.repeatable && runs > 1) {
            cq_soak_violation(
                soak, "request %016" G_GINT64_MODIFIER "x ran %u times",
                request->id, runs);
        }
        if (request->answered && request->answer.ran == CQ_RAN_NO &&
            runs > 0) {
            cq_soak_violation(soak,
                              "request %016" G_GINT64_MODIFIER
                              "x was answered as not run, but ran",
                              request->id);
        }
        if (request->spec.key != 0 &&
            cq_sim_key_runs(soak->sim, request->spec.key) > 1) {
            cq_soak_violation(soak, "key %" G_GUINT64_FORMAT " ran %u times",
                              request->spec.key,
                              cq_sim_key_runs(soak->sim, request->spec.key));
        }
    }
}

static void
check_final_state(cq_soak_t *soak)
{
    check_requests(soak);
    if (cq_sim_reserved_tokens(soak->sim) != 0) {
        cq_soak_violation(soak,
                          "%" G_GINT64_FORMAT " tokens of memory are still "
                          "held for requests that ended",
                          cq_sim_reserved_tokens(soak->sim));
    }
    if (cq_sim_engines_with_model(soak->sim, "m") < MODEL_REPLICAS) {
        cq_soak_violation(soak, "%u engines have the model, expected %d",
                          cq_sim_engines_with_model(soak->sim, "m"),
                          MODEL_REPLICAS);
    }
    const cq_config_entry_t *previous = NULL;
    for (guint host = 0; host < CQ_SOAK_HOSTS; host++) {
        cq_fold_t *fold = cq_sim_fold(soak->sim, host);
        if (fold == NULL) {
            continue;
        }
        const cq_config_entry_t *entry = cq_fold_get(fold, "reservas");
        if (entry == NULL) {
            cq_soak_violation(soak, "host %u has no configuration", host);
        }
        else if (previous != NULL &&
                 strcmp(entry->hash, previous->hash) != 0) {
            cq_soak_violation(soak, "hosts differ in their configuration");
        }
        previous = entry;
    }
}

gboolean
cq_soak_run(const cq_soak_options_t *options, cq_soak_report_t *report)
{
    *report = (cq_soak_report_t){0};
    cq_soak_t soak = {.options = options, .report = report};
    soak.rand = g_rand_new_with_seed(options->seed);
    soak.requests = g_array_new(FALSE, TRUE, sizeof(cq_soak_request_t));
    cq_sim_options_t sim_options = {
        .zones = CQ_SOAK_ZONES,
        .hosts = CQ_SOAK_HOSTS,
        .engines = CQ_SOAK_ENGINES,
        .plain_upstreams = CQ_SOAK_PLAIN_UPSTREAMS,
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
    soak.sim = cq_sim_new(&sim_options);
    cq_heap_t *heap = cq_sim_heap(soak.sim);
    cq_heap_add(heap, START_US, on_next_request, &soak, 0);
    cq_heap_add(heap, START_US, on_fault, &soak, 0);
    cq_heap_add(heap, START_US, on_check, &soak, 0);
    while (report->sent < options->steps && report->violation[0] == '\0') {
        cq_sim_run(soak.sim, heap->now_us + CQ_SECOND_US);
    }
    cq_sim_run(soak.sim, heap->now_us + SETTLE_US);
    check_final_state(&soak);
    report->core_steps = cq_sim_totals(soak.sim).steps;
    cq_sim_free(soak.sim);
    g_array_unref(soak.requests);
    g_rand_free(soak.rand);
    return report->violation[0] == '\0';
}
