#include "bench/sim.h"

#include <string.h>

#include "bench/simstate.h"
#include "config/service.h"
#include "wire/codec.h"

gint64
cq_sim_now(const cq_sim_t *sim)
{
    return sim->heap.now_us;
}

guint
cq_sim_host_index(const cq_sim_t *sim, const char *name)
{
    for (guint i = 0; i < sim->options.hosts; i++) {
        if (strcmp(sim->hosts[i].name, name) == 0) {
            return i;
        }
    }
    g_assert_not_reached();
}

gboolean
cq_sim_reachable(const cq_sim_t *sim, guint a, guint b)
{
    return !sim->cut[a][b];
}

gboolean
cq_sim_platform_reachable(const cq_sim_t *sim, guint host)
{
    return !sim->cut[sim->hosts[host].zone][CQ_SIM_PLATFORM];
}

typedef struct {
    cq_sim_t *sim;
    guint from;
    cq_summary_t summary;
} summary_delivery_t;

/* Whether host @from has opened a connection to host @to. Only the host that
 * opened a connection sends summaries over it. */
static gboolean
opened_connection(const cq_sim_t *sim, guint from, guint to)
{
    guint len = 0;
    const cq_host_row_t *peers = cq_core_peers(sim->hosts[from].core, &len);
    for (guint i = 0; i < len; i++) {
        if (strcmp(peers[i].name, sim->hosts[to].name) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
on_summary(void *context, void *data, guint64 number)
{
    (void)number;
    cq_sim_t *sim = context;
    summary_delivery_t *delivery = data;
    if (sim->hosts[delivery->from].core == NULL) {
        g_free(delivery);
        return;
    }
    guint from_zone = sim->hosts[delivery->from].zone;
    cq_event_t event = {.kind = CQ_EV_SUMMARY, .summary = &delivery->summary};
    for (guint i = 0; i < sim->options.hosts; i++) {
        cq_sim_host_t *host = &sim->hosts[i];
        gboolean frozen = host->frozen_until_us > cq_sim_now(sim);
        if (i != delivery->from && host->core != NULL && !frozen &&
            opened_connection(sim, delivery->from, i) &&
            cq_sim_reachable(sim, from_zone, host->zone)) {
            cq_sim_post_event(sim, i, &event);
        }
    }
    g_free(delivery);
}

static void
send_summary(cq_sim_t *sim, cq_sim_host_t *host, const cq_summary_t *summary)
{
    summary_delivery_t *delivery = g_new0(summary_delivery_t, 1);
    delivery->from = host->index;
    delivery->summary = *summary;
    cq_hlc_t clock = {cq_sim_now(sim), 0};
    GBytes *frame = cq_codec_encode_summary(summary, clock, NULL);
    sim->totals.summary_bytes += g_bytes_get_size(frame);
    g_bytes_unref(frame);
    cq_heap_add(&sim->heap, cq_sim_now(sim) + CQ_SIM_HOP_US, on_summary,
                delivery, 0);
}

static void
deliver_answer(cq_sim_t *sim, const cq_ac_answer_t *answer)
{
    cq_sim_open_request_t *open_request =
        g_hash_table_lookup(sim->open_requests, &answer->request);
    g_assert(open_request != NULL);
    guint64 tag = open_request->spec.tag;
    g_hash_table_remove(sim->open_requests, &answer->request);
    sim->options.answered(sim, tag, answer, sim->options.data);
}

static void
deliver_tokens(cq_sim_t *sim, const cq_ac_attempt_t *attempt)
{
    const cq_sim_open_request_t *open_request =
        g_hash_table_lookup(sim->open_requests, &attempt->request);
    g_assert(open_request != NULL);
    if (sim->options.tokens != NULL) {
        sim->options.tokens(sim, open_request->spec.tag, attempt->tokens,
                            sim->options.data);
    }
}

static void
perform_action(cq_sim_t *sim, cq_sim_host_t *host, const cq_action_t *action)
{
    switch (action->kind) {
    case CQ_AC_SEND:
        cq_sim_start_attempt(sim, host, &action->send);
        break;
    case CQ_AC_STOP:
        cq_sim_stop_attempt(sim, &action->attempt);
        break;
    case CQ_AC_FORWARD:
        deliver_tokens(sim, &action->attempt);
        break;
    case CQ_AC_ANSWER:
        deliver_answer(sim, &action->answer);
        break;
    case CQ_AC_RESERVE:
    case CQ_AC_RELEASE:
        cq_sim_change_reservation(sim, host, action->kind, &action->memory);
        break;
    case CQ_AC_INSPECT:
        break;
    case CQ_AC_PROBE:
        cq_sim_probe(sim, host, &action->attempt);
        break;
    case CQ_AC_CLAIM: {
        cq_sim_record_t record = {.kind = CQ_RECORD_CLAIM,
                                  .claim = action->claim};
        cq_sim_append(host, &record);
        break;
    }
    case CQ_AC_LEASE: {
        cq_sim_record_t record = {.kind = CQ_RECORD_LEASE,
                                  .lease = action->lease};
        cq_sim_append(host, &record);
        break;
    }
    case CQ_AC_ORDER:
        cq_sim_send_order(host, &action->order);
        break;
    case CQ_AC_HAND:
        cq_sim_hand(host, &action->hand);
        break;
    case CQ_AC_REACH:
        cq_sim_reach(sim, host, &action->reach);
        break;
    case CQ_AC_SUMMARY:
        send_summary(sim, host, action->summary);
        break;
    case CQ_AC_TASK:
    case CQ_AC_PART:
    case CQ_AC_PART_RECORD:
    case CQ_AC_SPARE:
        break;
    case CQ_AC_STOPPED:
        host->stopped = TRUE;
        break;
    }
}

static void
step_core(cq_sim_t *sim, cq_sim_host_t *host, const cq_event_t *event)
{
    g_assert(!host->stepping);
    host->stepping = TRUE;
    cq_actions_reset(&host->actions);
    cq_core_step(host->core, cq_sim_now(sim), event, &host->actions);
    sim->totals.steps++;
    for (guint i = 0; i < host->actions.items->len; i++) {
        perform_action(sim, host, cq_actions_at(&host->actions, i));
    }
    host->stepping = FALSE;
}

void
cq_sim_resume_host(void *context, void *data, guint64 incarnation)
{
    cq_sim_t *sim = context;
    cq_sim_host_t *host = data;
    if (host->core == NULL || host->incarnation != incarnation ||
        host->frozen_until_us > cq_sim_now(sim)) {
        return;
    }
    while (!g_queue_is_empty(&host->deferred_events)) {
        cq_event_t *event = g_queue_pop_head(&host->deferred_events);
        step_core(sim, host, event);
        g_free(event);
    }
}

/* The copy for a frozen host is shallow, so callers must not post it events
 * with borrowed pointers. */
void
cq_sim_post_event(cq_sim_t *sim, guint index, const cq_event_t *event)
{
    cq_sim_host_t *host = &sim->hosts[index];
    if (host->frozen_until_us > cq_sim_now(sim)) {
        g_queue_push_tail(&host->deferred_events,
                          g_memdup2(event, sizeof *event));
        return;
    }
    step_core(sim, host, event);
}

static void
on_tick(void *context, void *data, guint64 incarnation)
{
    cq_sim_t *sim = context;
    cq_sim_host_t *host = data;
    if (host->core == NULL || host->incarnation != incarnation) {
        return;
    }
    if (host->frozen_until_us <= cq_sim_now(sim)) {
        cq_event_t event = {.kind = CQ_EV_TICK};
        step_core(sim, host, &event);
    }
    cq_heap_add(&sim->heap, cq_sim_now(sim) + CQ_TICK_US, on_tick, host,
                incarnation);
}

static void
on_rules(cq_rules_t *rules, void *data)
{
    cq_sim_host_t *host = data;
    cq_event_t event = {.kind = CQ_EV_RULES, .rules = rules};
    step_core(host->sim, host, &event);
}

void
cq_sim_start_host(cq_sim_t *sim, guint index)
{
    cq_sim_host_t *host = &sim->hosts[index];
    g_assert(host->core == NULL);
    char zone[16];
    g_snprintf(zone, sizeof zone, "z%u", host->zone);
    host->incarnation++;
    host->stopped = FALSE;
    host->frozen_until_us = 0;
    cq_core_options_t options = {
        .host = host->name,
        .zone = zone,
        .incarnation = host->incarnation,
        .seed =
            sim->options.seed * 1000 + index * 10 + (guint32)host->incarnation,
        .policy = sim->options.policy,
    };
    host->core = cq_core_new(&options);
    host->fold = cq_fold_new(on_rules, host);
    gint64 tick_offset_us = index * 2 * CQ_MS_US;
    cq_heap_add(&sim->heap, cq_sim_now(sim) + tick_offset_us, on_tick, host,
                host->incarnation);
    cq_sim_start_log_reader(sim, host);
}

static void
init_request_event(const cq_sim_request_t *spec, guint64 id,
                   cq_ev_request_t *request)
{
    request->id = id;
    request->service = spec->service;
    request->team = spec->team;
    request->model = spec->model != NULL ? spec->model : "m";
    request->repeatable = spec->repeatable;
    request->prompt_tokens = spec->prompt_tokens;
    request->output_tokens = spec->max_tokens;
    request->timeout_us = spec->timeout_us;
    if (spec->key != 0) {
        request->key.hi = spec->key;
        request->key.lo = 1;
    }
    if (spec->prefix != 0) {
        request->prefixes[0].hash = spec->prefix;
        request->prefixes[0].tokens = spec->prefix_tokens;
        request->prefixes_len = 1;
    }
}

guint64
cq_sim_send_request(cq_sim_t *sim, const cq_sim_request_t *spec)
{
    cq_sim_host_t *host = &sim->hosts[spec->host];
    if (host->core == NULL) {
        return 0;
    }
    cq_sim_open_request_t *open_request = g_new0(cq_sim_open_request_t, 1);
    open_request->spec = *spec;
    open_request->id = cq_ident_request(
        cq_ident_host(host->name), host->incarnation, ++host->requests_sent);
    guint64 id = open_request->id;
    g_hash_table_insert(sim->open_requests, &open_request->id, open_request);
    cq_event_t event = {.kind = CQ_EV_REQUEST};
    init_request_event(spec, id, &event.request);
    cq_sim_post_event(sim, spec->host, &event);
    return id;
}

static void
add_upstream(cq_sim_t *sim, const char *kind, guint number, gboolean is_engine)
{
    guint index = sim->upstreams_len++;
    cq_sim_upstream_t *upstream = &sim->upstreams[index];
    upstream->sim = sim;
    upstream->index = index;
    upstream->zone = number % sim->options.zones;
    upstream->incarnation = 1;
    upstream->up = TRUE;
    /* Engines with an even number check fencing numbers. */
    upstream->checks_fence = number % 2 == 0;
    g_snprintf(upstream->name, sizeof upstream->name, "%s-%u", kind, number);
    upstream->id = cq_ident_hash(upstream->name);
    g_hash_table_insert(sim->upstream_by_id, &upstream->id,
                        GUINT_TO_POINTER(index));
    if (is_engine) {
        cq_engine_options_t options = cq_sim_engine_options(sim, upstream);
        upstream->engine = cq_engine_new(&options);
    }
}

static GHashTable *
new_counter_table(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static void
publish_initial_rules(cq_sim_t *sim)
{
    for (guint i = 0; sim->options.rules[i] != NULL; i++) {
        cq_error_t error = {0};
        const char *text = sim->options.rules[i];
        cq_rules_t *rules = cq_service_parse(text, "emulated", &error);
        if (rules == NULL) {
            g_error("%s", error.text);
        }
        char id[32];
        g_snprintf(id, sizeof id, "first-%u", i);
        cq_sim_publish(sim, rules->name, text, 0, id);
        cq_rules_unref(rules);
    }
}

cq_sim_t *
cq_sim_new(const cq_sim_options_t *options)
{
    cq_sim_t *sim = g_new0(cq_sim_t, 1);
    sim->options = *options;
    sim->rand = g_rand_new_with_seed(options->seed);
    cq_heap_init(&sim->heap);
    sim->open_requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    sim->attempts = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                          cq_sim_attempt_free);
    sim->upstream_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    sim->log = g_ptr_array_new_with_free_func(cq_sim_record_free);
    sim->runs_by_key = new_counter_table();
    sim->runs_by_request = new_counter_table();
    for (guint i = 0; i < options->engines; i++) {
        add_upstream(sim, "engine", i, TRUE);
    }
    for (guint i = 0; i < options->plain_upstreams; i++) {
        add_upstream(sim, "plain", i, FALSE);
    }
    publish_initial_rules(sim);
    for (guint i = 0; i < options->hosts; i++) {
        cq_sim_host_t *host = &sim->hosts[i];
        host->sim = sim;
        host->index = i;
        host->zone = i % options->zones;
        g_snprintf(host->name, sizeof host->name, "host-%u", i);
        g_queue_init(&host->deferred_events);
        g_queue_init(&host->appends);
        cq_actions_init(&host->actions);
        cq_sim_start_host(sim, i);
    }
    cq_sim_start_platform(sim);
    return sim;
}

void
cq_sim_free(cq_sim_t *sim)
{
    sim->options.lost = NULL;
    for (guint i = 0; i < sim->options.hosts; i++) {
        cq_sim_kill_host(sim, i);
        cq_actions_clear(&sim->hosts[i].actions);
    }
    for (guint i = 0; i < sim->upstreams_len; i++) {
        if (sim->upstreams[i].engine != NULL) {
            cq_engine_free(sim->upstreams[i].engine);
        }
    }
    g_hash_table_unref(sim->attempts);
    g_hash_table_unref(sim->open_requests);
    g_hash_table_unref(sim->upstream_by_id);
    g_hash_table_unref(sim->runs_by_key);
    g_hash_table_unref(sim->runs_by_request);
    g_ptr_array_unref(sim->log);
    cq_heap_clear(&sim->heap);
    g_rand_free(sim->rand);
    g_free(sim);
}

cq_heap_t *
cq_sim_heap(cq_sim_t *sim)
{
    return &sim->heap;
}

void
cq_sim_run(cq_sim_t *sim, gint64 until_us)
{
    while (cq_heap_step(&sim->heap, until_us, sim)) {
    }
    sim->heap.now_us = MAX(sim->heap.now_us, until_us);
}

cq_core_t *
cq_sim_core(cq_sim_t *sim, guint host)
{
    return sim->hosts[host].core;
}

cq_fold_t *
cq_sim_fold(cq_sim_t *sim, guint host)
{
    return sim->hosts[host].fold;
}

cq_sim_totals_t
cq_sim_totals(const cq_sim_t *sim)
{
    return sim->totals;
}

gint64
cq_sim_reserved_tokens(cq_sim_t *sim)
{
    gint64 tokens = 0;
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(cq_holding_t));
    for (guint i = 0; i < sim->upstreams_len; i++) {
        if (sim->upstreams[i].engine != NULL) {
            cq_engine_reservations(sim->upstreams[i].engine, rows);
        }
    }
    for (guint i = 0; i < rows->len; i++) {
        tokens += g_array_index(rows, cq_holding_t, i).tokens;
    }
    g_array_unref(rows);
    return tokens;
}

guint
cq_sim_key_runs(const cq_sim_t *sim, guint64 key)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(sim->runs_by_key, &key));
}

guint
cq_sim_request_runs(const cq_sim_t *sim, guint64 id)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(sim->runs_by_request, &id));
}

const char *
cq_sim_upstream_name(const cq_sim_t *sim, guint index)
{
    return sim->upstreams[index].name;
}

guint64
cq_sim_arrivals(const cq_sim_t *sim, guint index)
{
    return sim->upstreams[index].arrivals;
}
