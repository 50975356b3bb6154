#include "bench/sim.h"

#include <string.h>

#include "bench/world.h"
#include "config/service.h"
#include "wire/codec.h"

gint64
cq_world_now(const cq_sim_t *sim)
{
    return sim->heap.now_us;
}

guint
cq_world_host_index(const cq_sim_t *sim, const char *name)
{
    for (guint i = 0; i < sim->options.hosts; i++) {
        if (strcmp(sim->hosts[i].name, name) == 0) {
            return i;
        }
    }
    g_assert_not_reached();
}

gboolean
cq_world_reachable(const cq_sim_t *sim, guint a, guint b)
{
    return !sim->cut[a][b];
}

gboolean
cq_world_platform(const cq_sim_t *sim, guint host)
{
    return !sim->cut[sim->hosts[host].zone][CQ_SIM_PLATFORM];
}

typedef struct {
    cq_sim_t *sim;
    guint from;
    cq_summary_t summary;
} summary_news_t;

/* The dialling side tells its summaries. */
static gboolean
linked(const cq_sim_t *sim, guint from, guint to)
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
on_summary(void *world, void *data, guint64 number)
{
    (void)number;
    cq_sim_t *sim = world;
    summary_news_t *news = data;
    if (sim->hosts[news->from].core == NULL) {
        g_free(news);
        return;
    }
    guint from = sim->hosts[news->from].zone;
    cq_event_t event = {.kind = CQ_EV_SUMMARY, .summary = &news->summary};
    for (guint i = 0; i < sim->options.hosts; i++) {
        cq_world_host_t *host = &sim->hosts[i];
        gboolean frozen = host->frozen_until_us > cq_world_now(sim);
        if (i != news->from && host->core != NULL && !frozen &&
            linked(sim, news->from, i) &&
            cq_world_reachable(sim, from, host->zone)) {
            cq_world_post(sim, i, &event);
        }
    }
    g_free(news);
}

static void
send_summary(cq_sim_t *sim, cq_world_host_t *host, const cq_summary_t *summary)
{
    summary_news_t *news = g_new0(summary_news_t, 1);
    news->from = host->index;
    news->summary = *summary;
    cq_hlc_t clock = {cq_world_now(sim), 0};
    GBytes *frame = cq_codec_encode_summary(summary, clock, NULL, 0);
    sim->totals.summary_bytes += g_bytes_get_size(frame);
    g_bytes_unref(frame);
    cq_heap_add(&sim->heap, cq_world_now(sim) + CQ_WORLD_HOP_US, on_summary,
                news, 0);
}

static void
answer(cq_sim_t *sim, const cq_ac_answer_t *answer)
{
    cq_world_ask_t *ask = g_hash_table_lookup(sim->asks, &answer->request);
    g_assert(ask != NULL);
    guint64 tag = ask->ask.tag;
    g_hash_table_remove(sim->asks, &answer->request);
    sim->options.answered(sim, tag, answer, sim->options.data);
}

static void
forward(cq_sim_t *sim, const cq_ac_attempt_t *attempt)
{
    const cq_world_ask_t *ask =
        g_hash_table_lookup(sim->asks, &attempt->request);
    g_assert(ask != NULL);
    if (sim->options.tokens != NULL) {
        sim->options.tokens(sim, ask->ask.tag, attempt->tokens,
                            sim->options.data);
    }
}

static void
carry_out(cq_sim_t *sim, cq_world_host_t *host, const cq_action_t *action)
{
    switch (action->kind) {
    case CQ_AC_SEND:
        cq_world_start_try(sim, host, &action->send);
        break;
    case CQ_AC_STOP:
        cq_world_stop_try(sim, &action->attempt);
        break;
    case CQ_AC_FORWARD:
        forward(sim, &action->attempt);
        break;
    case CQ_AC_ANSWER:
        answer(sim, &action->answer);
        break;
    case CQ_AC_RESERVE:
    case CQ_AC_RELEASE:
        cq_world_memory(sim, host, action->kind, &action->memory);
        break;
    case CQ_AC_PROBE:
        cq_world_probe(sim, host, &action->attempt);
        break;
    case CQ_AC_CLAIM: {
        cq_world_record_t record = {.kind = CQ_RECORD_CLAIM,
                                    .claim = action->claim};
        cq_world_append(host, &record);
        break;
    }
    case CQ_AC_LEASE: {
        cq_world_record_t record = {.kind = CQ_RECORD_LEASE,
                                    .lease = action->lease};
        cq_world_append(host, &record);
        break;
    }
    case CQ_AC_ORDER:
        cq_world_order(host, &action->order);
        break;
    case CQ_AC_SUMMARY:
        send_summary(sim, host, action->summary);
        break;
    case CQ_AC_TASK:
        break;
    case CQ_AC_STOPPED:
        host->stopped = TRUE;
        break;
    }
}

static void
step(cq_sim_t *sim, cq_world_host_t *host, const cq_event_t *event)
{
    g_assert(!host->stepping);
    host->stepping = TRUE;
    cq_actions_reset(&host->actions);
    cq_core_step(host->core, cq_world_now(sim), event, &host->actions);
    sim->totals.steps++;
    for (guint i = 0; i < host->actions.items->len; i++) {
        carry_out(sim, host, cq_actions_at(&host->actions, i));
    }
    host->stepping = FALSE;
}

void
cq_world_thaw(void *world, void *data, guint64 incarnation)
{
    cq_sim_t *sim = world;
    cq_world_host_t *host = data;
    if (host->core == NULL || host->incarnation != incarnation ||
        host->frozen_until_us > cq_world_now(sim)) {
        return;
    }
    while (!g_queue_is_empty(&host->waiting)) {
        cq_event_t *event = g_queue_pop_head(&host->waiting);
        step(sim, host, event);
        g_free(event);
    }
}

/* Events with borrowed pointers are never posted to a frozen host. */
void
cq_world_post(cq_sim_t *sim, guint index, const cq_event_t *event)
{
    cq_world_host_t *host = &sim->hosts[index];
    if (host->frozen_until_us > cq_world_now(sim)) {
        g_queue_push_tail(&host->waiting, g_memdup2(event, sizeof *event));
        return;
    }
    step(sim, host, event);
}

static void
on_tick(void *world, void *data, guint64 incarnation)
{
    cq_sim_t *sim = world;
    cq_world_host_t *host = data;
    if (host->core == NULL || host->incarnation != incarnation) {
        return;
    }
    if (host->frozen_until_us <= cq_world_now(sim)) {
        cq_event_t event = {.kind = CQ_EV_TICK};
        step(sim, host, &event);
    }
    cq_heap_add(&sim->heap, cq_world_now(sim) + CQ_TICK_US, on_tick, host,
                incarnation);
}

static void
on_rules(cq_rules_t *rules, void *data)
{
    cq_world_host_t *host = data;
    cq_event_t event = {.kind = CQ_EV_RULES, .rules = rules};
    step(host->sim, host, &event);
}

void
cq_sim_start_host(cq_sim_t *sim, guint index)
{
    cq_world_host_t *host = &sim->hosts[index];
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
    gint64 phase_us = index * 2 * CQ_MS_US;
    cq_heap_add(&sim->heap, cq_world_now(sim) + phase_us, on_tick, host,
                host->incarnation);
    cq_world_start_reader(sim, host);
}

static void
fill_event(const cq_sim_ask_t *ask, guint64 id, cq_ev_request_t *request)
{
    request->id = id;
    request->service = ask->service;
    request->team = ask->team;
    request->model = ask->model != NULL ? ask->model : "m";
    request->repeatable = ask->repeatable;
    request->prompt_tokens = ask->prompt_tokens;
    request->output_tokens = ask->max_tokens;
    request->timeout_us = ask->timeout_us;
    if (ask->key != 0) {
        request->key.hi = ask->key;
        request->key.lo = 1;
    }
    if (ask->prefix != 0) {
        request->prefixes[0].hash = ask->prefix;
        request->prefixes[0].tokens = ask->prefix_tokens;
        request->prefixes_len = 1;
    }
}

guint64
cq_sim_ask(cq_sim_t *sim, const cq_sim_ask_t *ask)
{
    cq_world_host_t *host = &sim->hosts[ask->host];
    if (host->core == NULL) {
        return 0;
    }
    cq_world_ask_t *open = g_new0(cq_world_ask_t, 1);
    open->ask = *ask;
    open->id = cq_ident_request(cq_ident_host(host->name), host->incarnation,
                                ++host->asked);
    guint64 id = open->id;
    g_hash_table_insert(sim->asks, &open->id, open);
    cq_event_t event = {.kind = CQ_EV_REQUEST};
    fill_event(ask, id, &event.request);
    cq_world_post(sim, ask->host, &event);
    return id;
}

static void
add_upstream(cq_sim_t *sim, const char *kind, guint number, gboolean engine)
{
    guint index = sim->upstreams_len++;
    cq_world_upstream_t *upstream = &sim->upstreams[index];
    upstream->sim = sim;
    upstream->index = index;
    upstream->zone = number % sim->options.zones;
    upstream->incarnation = 1;
    upstream->up = TRUE;
    /* Some engines check fencing numbers, others ignore them. */
    upstream->checks_fence = number % 2 == 0;
    g_snprintf(upstream->name, sizeof upstream->name, "%s-%u", kind, number);
    upstream->id = cq_ident_hash(upstream->name);
    g_hash_table_insert(sim->upstream_by_id, &upstream->id,
                        GUINT_TO_POINTER(index));
    if (engine) {
        cq_engine_options_t options = cq_world_engine_options(sim, upstream);
        upstream->engine = cq_engine_new(&options);
    }
}

static GHashTable *
count_table(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static void
publish_first(cq_sim_t *sim)
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
    sim->asks =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    sim->tries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                       cq_world_try_free);
    sim->upstream_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    sim->log = g_ptr_array_new_with_free_func(cq_world_record_free);
    sim->runs_by_key = count_table();
    sim->runs_by_request = count_table();
    for (guint i = 0; i < options->engines; i++) {
        add_upstream(sim, "engine", i, TRUE);
    }
    for (guint i = 0; i < options->plains; i++) {
        add_upstream(sim, "plain", i, FALSE);
    }
    publish_first(sim);
    for (guint i = 0; i < options->hosts; i++) {
        cq_world_host_t *host = &sim->hosts[i];
        host->sim = sim;
        host->index = i;
        host->zone = i % options->zones;
        g_snprintf(host->name, sizeof host->name, "host-%u", i);
        g_queue_init(&host->waiting);
        g_queue_init(&host->appends);
        cq_actions_init(&host->actions);
        cq_sim_start_host(sim, i);
    }
    cq_world_start_plat(sim);
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
    g_hash_table_unref(sim->tries);
    g_hash_table_unref(sim->asks);
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
cq_sim_held(cq_sim_t *sim)
{
    gint64 tokens = 0;
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(cq_holding_t));
    for (guint i = 0; i < sim->upstreams_len; i++) {
        if (sim->upstreams[i].engine != NULL) {
            cq_engine_holdings(sim->upstreams[i].engine, rows);
        }
    }
    for (guint i = 0; i < rows->len; i++) {
        tokens += g_array_index(rows, cq_holding_t, i).tokens;
    }
    g_array_unref(rows);
    return tokens;
}

guint
cq_sim_runs(const cq_sim_t *sim, guint64 key)
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
