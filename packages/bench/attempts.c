/* Attempts of requests and the messages between hosts and upstreams. */
#include "bench/simstate.h"

/* Attempts of one request may run beside each other. */
static guint64
key_of(guint64 request, guint32 attempt)
{
    return request ^ ((guint64)attempt << 48);
}

static cq_sim_attempt_t *
attempt_ref(cq_sim_attempt_t *attempt)
{
    attempt->reference_count++;
    return attempt;
}

static void
attempt_unref(cq_sim_attempt_t *attempt)
{
    if (--attempt->reference_count == 0) {
        g_free(attempt);
    }
}

static gboolean
sender_still_runs(const cq_sim_attempt_t *attempt)
{
    const cq_sim_host_t *host = &attempt->sim->hosts[attempt->host];
    return host->core != NULL &&
           host->incarnation == attempt->host_incarnation;
}

/* Whether the connection still delivers. Bytes are delivered in order, so
 * after a loss nothing more arrives, and the connection stays silent. */
static gboolean
connection_delivers(cq_sim_attempt_t *attempt)
{
    const cq_sim_t *sim = attempt->sim;
    if (!cq_sim_reachable(sim, sim->hosts[attempt->host].zone,
                          sim->upstreams[attempt->upstream].zone)) {
        attempt->silent = TRUE;
    }
    return !attempt->silent;
}

static void
remove_attempt(cq_sim_attempt_t *attempt)
{
    if (g_hash_table_lookup(attempt->sim->attempts, &attempt->key) ==
        attempt) {
        g_hash_table_remove(attempt->sim->attempts, &attempt->key);
    }
}

static void
cancel_runs(cq_sim_attempt_t *attempt)
{
    for (guint i = 1; i < attempt->group_len; i++) {
        /* A shard that is done is no longer in its engine's list. */
        cq_engine_t *engine =
            attempt->sim->upstreams[attempt->group[i]].engine;
        cq_list_t *link = cq_engine_runs(engine)->next;
        while (link != cq_engine_runs(engine)) {
            cq_engine_run_t *run = CQ_ENTRY(link, cq_engine_run_t, link);
            link = link->next;
            if (run->lead != NULL && run->lead == attempt->run) {
                attempt->cancelled_runs_us += run->computed_us;
                cq_engine_cancel(engine, run);
                link = cq_engine_runs(engine)->next;
            }
        }
    }
    if (attempt->run != NULL) {
        attempt->cancelled_runs_us += attempt->run->computed_us;
        cq_engine_cancel(attempt->run->engine, attempt->run);
        attempt->run = NULL;
        attempt_unref(attempt);
    }
}

static void
end_attempt(cq_sim_attempt_t *attempt)
{
    if (attempt->ended) {
        return;
    }
    attempt->ended = TRUE;
    attempt_ref(attempt);
    cancel_runs(attempt);
    attempt->sim->totals.wasted_us += attempt->cancelled_runs_us;
    attempt->sim->totals.engine_time_us += attempt->cancelled_runs_us;
    remove_attempt(attempt);
    attempt_unref(attempt);
}

/* Ends the attempt on the host's side. A plain call that was already sent
 * still runs to its end at the upstream. */
static void
abandon_attempt(cq_sim_attempt_t *attempt)
{
    gboolean plain = attempt->sim->upstreams[attempt->upstream].engine == NULL;
    if (plain && attempt->sent) {
        remove_attempt(attempt);
        return;
    }
    end_attempt(attempt);
}

typedef struct {
    cq_sim_attempt_t *attempt;
    cq_event_t event;
} attempt_delivery_t;

static void
on_attempt_delivery(void *context, void *data, guint64 number)
{
    (void)context;
    (void)number;
    attempt_delivery_t *delivery = data;
    cq_sim_attempt_t *attempt = delivery->attempt;
    if (sender_still_runs(attempt) && connection_delivers(attempt)) {
        cq_sim_post_event(attempt->sim, attempt->host, &delivery->event);
    }
    attempt_unref(attempt);
    g_free(delivery);
}

static void
send_to_host(cq_sim_attempt_t *attempt, cq_event_t *event)
{
    attempt_delivery_t *delivery = g_new0(attempt_delivery_t, 1);
    delivery->attempt = attempt_ref(attempt);
    delivery->event = *event;
    delivery->event.attempt.request = attempt->request;
    delivery->event.attempt.attempt = attempt->attempt_number;
    cq_heap_add(&attempt->sim->heap, cq_sim_now(attempt->sim) + CQ_SIM_HOP_US,
                on_attempt_delivery, delivery, 0);
}

static void
send_failure(cq_sim_attempt_t *attempt, cq_failure_t failure)
{
    cq_event_t event = {.kind = CQ_EV_FAILED};
    event.attempt.failure = failure;
    send_to_host(attempt, &event);
}

static void
count_run(GHashTable *table, guint64 key)
{
    guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(table, &key));
    g_hash_table_replace(table, g_memdup2(&key, sizeof key),
                         GUINT_TO_POINTER(runs + 1));
}

static void
on_plain_done(void *context, void *data, guint64 incarnation)
{
    (void)context;
    cq_sim_attempt_t *attempt = data;
    cq_sim_upstream_t *upstream = &attempt->sim->upstreams[attempt->upstream];
    if (upstream->up && upstream->incarnation == incarnation &&
        !attempt->ended) {
        cq_event_t event = {.kind = CQ_EV_DONE};
        event.attempt.status = 200;
        send_to_host(attempt, &event);
        end_attempt(attempt);
    }
    attempt_unref(attempt);
}

static void
start_plain_call(cq_sim_attempt_t *attempt)
{
    cq_sim_t *sim = attempt->sim;
    if (attempt->spec.key != 0) {
        count_run(sim->runs_by_key, attempt->spec.key);
    }
    count_run(sim->runs_by_request, attempt->request);
    gint64 call_us =
        CQ_SIM_PLAIN_CALL_US + g_rand_int_range(sim->rand, 0, 5000);
    cq_heap_add(&sim->heap, cq_sim_now(sim) + call_us, on_plain_done,
                attempt_ref(attempt),
                sim->upstreams[attempt->upstream].incarnation);
}

static cq_engine_run_t *
new_run(cq_sim_attempt_t *attempt)
{
    const cq_sim_request_t *spec = &attempt->spec;
    cq_engine_run_t *run = g_new0(cq_engine_run_t, 1);
    run->owner = attempt_ref(attempt);
    run->request = attempt->request;
    run->priority = attempt->priority;
    run->prompt_tokens = spec->prompt_tokens;
    run->uncomputed_tokens = spec->prompt_tokens;
    run->output_tokens = spec->output_tokens;
    run->emitted_tokens = MIN(attempt->resume_from, spec->output_tokens - 1);
    run->prefix = spec->prefix;
    run->prefix_tokens = spec->prefix_tokens;
    return run;
}

static void
start_engine_run(cq_sim_attempt_t *attempt)
{
    cq_sim_t *sim = attempt->sim;
    cq_engine_run_t *run = new_run(attempt);
    attempt->run = run;
    if (attempt->group_len > 0) {
        run->has_reservation = TRUE;
        run->prefix = 0;
        run->uncomputed_tokens = run->prompt_tokens / attempt->group_len;
    }
    for (guint i = 1; i < attempt->group_len; i++) {
        cq_engine_run_t *shard = g_new0(cq_engine_run_t, 1);
        shard->request = run->request;
        shard->priority = run->priority;
        shard->uncomputed_tokens = run->uncomputed_tokens;
        shard->has_reservation = TRUE;
        shard->lead = run;
        run->shards_left++;
        cq_engine_add(sim->upstreams[attempt->group[i]].engine, shard);
    }
    cq_engine_add(sim->upstreams[attempt->upstream].engine, run);
}

static void
on_arrived(void *context, void *data, guint64 incarnation)
{
    (void)context;
    cq_sim_attempt_t *attempt = data;
    cq_sim_t *sim = attempt->sim;
    cq_sim_upstream_t *upstream = &sim->upstreams[attempt->upstream];
    gboolean same_process =
        upstream->incarnation == incarnation && upstream->up;
    if (attempt->ended || !same_process || !connection_delivers(attempt)) {
        if (!attempt->ended && !same_process) {
            send_failure(attempt, CQ_FAIL_BROKEN);
            end_attempt(attempt);
        }
        attempt_unref(attempt);
        return;
    }
    upstream->arrivals++;
    attempt->arrived = TRUE;
    if (upstream->leaving) {
        send_failure(attempt, CQ_FAIL_LEAVING);
        end_attempt(attempt);
    }
    else if (upstream->engine == NULL) {
        start_plain_call(attempt);
    }
    else {
        start_engine_run(attempt);
    }
    attempt_unref(attempt);
}

static void
on_connect(void *context, void *data, guint64 number)
{
    (void)context;
    (void)number;
    cq_sim_attempt_t *attempt = data;
    cq_sim_t *sim = attempt->sim;
    cq_sim_upstream_t *upstream = &sim->upstreams[attempt->upstream];
    gboolean frozen = upstream->frozen_until_us > cq_sim_now(sim);
    if (attempt->ended || !connection_delivers(attempt) || frozen ||
        !sender_still_runs(attempt)) {
        attempt_unref(attempt);
        return;
    }
    if (!upstream->up) {
        send_failure(attempt, CQ_FAIL_CONNECT);
        end_attempt(attempt);
        attempt_unref(attempt);
        return;
    }
    attempt->sent = TRUE;
    cq_event_t event = {.kind = CQ_EV_SENT};
    event.attempt.request = attempt->request;
    event.attempt.attempt = attempt->attempt_number;
    cq_sim_post_event(sim, attempt->host, &event);
    cq_heap_add(&sim->heap, cq_sim_now(sim) + CQ_SIM_HOP_US, on_arrived,
                attempt_ref(attempt), upstream->incarnation);
    attempt_unref(attempt);
}

static guint
upstream_index(const cq_sim_t *sim, guint64 id)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(sim->upstream_by_id, &id));
}

void
cq_sim_attempt_free(gpointer data)
{
    attempt_unref(data);
}

void
cq_sim_start_attempt(cq_sim_t *sim, cq_sim_host_t *host,
                     const cq_ac_send_t *send)
{
    const cq_sim_open_request_t *open_request =
        g_hash_table_lookup(sim->open_requests, &send->request);
    g_assert(open_request != NULL);
    cq_sim_attempt_t *attempt = g_new0(cq_sim_attempt_t, 1);
    attempt->spec = open_request->spec;
    attempt->sim = sim;
    attempt->reference_count = 1;
    attempt->host = host->index;
    attempt->host_incarnation = host->incarnation;
    attempt->upstream = upstream_index(sim, send->upstream);
    attempt->request = send->request;
    attempt->attempt_number = send->attempt;
    attempt->key = key_of(send->request, send->attempt);
    attempt->priority = send->priority;
    attempt->resume_from = send->resume_from;
    attempt->group_len = send->group_len;
    for (guint i = 0; i < send->group_len; i++) {
        attempt->group[i] = upstream_index(sim, send->group[i]);
    }
    g_hash_table_replace(sim->attempts, &attempt->key, attempt);
    cq_heap_add(&sim->heap, cq_sim_now(sim) + 2 * CQ_SIM_HOP_US, on_connect,
                attempt_ref(attempt), 0);
}

void
cq_sim_stop_attempt(cq_sim_t *sim, const cq_ac_attempt_t *target)
{
    guint64 key = key_of(target->request, target->attempt);
    cq_sim_attempt_t *attempt = g_hash_table_lookup(sim->attempts, &key);
    if (attempt != NULL) {
        abandon_attempt(attempt);
    }
}

typedef struct {
    cq_sim_t *sim;
    guint host;
    guint64 incarnation;
    cq_event_t event;
} host_delivery_t;

static void
on_host_delivery(void *context, void *data, guint64 number)
{
    (void)context;
    (void)number;
    host_delivery_t *delivery = data;
    cq_sim_host_t *host = &delivery->sim->hosts[delivery->host];
    if (host->core != NULL && host->incarnation == delivery->incarnation) {
        cq_sim_post_event(delivery->sim, delivery->host, &delivery->event);
    }
    g_free(delivery);
}

void
cq_sim_post_event_after(cq_sim_host_t *host, const cq_event_t *event,
                        gint64 delay_us)
{
    host_delivery_t *delivery = g_new0(host_delivery_t, 1);
    delivery->sim = host->sim;
    delivery->host = host->index;
    delivery->incarnation = host->incarnation;
    delivery->event = *event;
    cq_heap_add(&host->sim->heap, cq_sim_now(host->sim) + delay_us,
                on_host_delivery, delivery, 0);
}

void
cq_sim_probe(cq_sim_t *sim, cq_sim_host_t *host, const cq_ac_attempt_t *target)
{
    cq_sim_upstream_t *upstream =
        &sim->upstreams[upstream_index(sim, target->upstream)];
    cq_event_t event = {.kind = CQ_EV_PROBED};
    event.attempt.request = target->request;
    event.attempt.attempt = target->attempt;
    event.attempt.probe = CQ_PROBE_SILENT;
    gboolean frozen = upstream->frozen_until_us > cq_sim_now(sim);
    if (upstream->up && !frozen &&
        cq_sim_reachable(sim, host->zone, upstream->zone)) {
        guint64 key = key_of(target->request, target->attempt);
        const cq_sim_attempt_t *attempt =
            g_hash_table_lookup(sim->attempts, &key);
        event.attempt.probe = CQ_PROBE_UNKNOWN;
        if (upstream->engine == NULL) {
            event.attempt.probe = CQ_PROBE_ALIVE;
        }
        else if (attempt != NULL && attempt->run != NULL) {
            event.attempt.probe = CQ_PROBE_RUNNING;
            event.attempt.tokens = attempt->run->emitted_tokens;
        }
        cq_sim_post_event_after(host, &event, 2 * CQ_SIM_HOP_US);
        return;
    }
    cq_sim_post_event_after(host, &event, 2 * CQ_SECOND_US);
}

void
cq_sim_hand(cq_sim_host_t *host, const cq_ac_hand_t *hand)
{
    cq_event_t event = {.kind = CQ_EV_FAILED};
    event.attempt.request = hand->request;
    event.attempt.attempt = hand->attempt;
    event.attempt.failure = CQ_FAIL_CONNECT;
    cq_sim_post_event_after(host, &event, 2 * CQ_SIM_HOP_US);
}

void
cq_sim_change_reservation(cq_sim_t *sim, cq_sim_host_t *host,
                          cq_action_kind_t kind, const cq_ac_memory_t *memory)
{
    cq_sim_upstream_t *upstream =
        &sim->upstreams[upstream_index(sim, memory->upstream)];
    gboolean reachable = upstream->up && upstream->engine != NULL &&
                         cq_sim_reachable(sim, host->zone, upstream->zone);
    if (!reachable) {
        return;
    }
    if (kind == CQ_AC_RELEASE) {
        cq_engine_release(upstream->engine, memory->request);
        return;
    }
    cq_event_t event = {.kind = CQ_EV_RESERVED};
    event.reserved.request = memory->request;
    event.reserved.upstream = memory->upstream;
    event.reserved.granted =
        cq_engine_reserve(upstream->engine, memory->request, memory->tokens,
                          cq_sim_now(sim) + memory->expiry_us);
    cq_sim_post_event_after(host, &event, 2 * CQ_SIM_HOP_US);
}

static GPtrArray *
find_attempts(cq_sim_t *sim,
              gboolean (*match)(const cq_sim_attempt_t *, guint), guint index)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, sim->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (match(value, index)) {
            g_ptr_array_add(found, attempt_ref(value));
        }
    }
    return found;
}

static gboolean
sent_by_host(const cq_sim_attempt_t *attempt, guint host)
{
    return attempt->host == host;
}

static gboolean
uses_upstream(const cq_sim_attempt_t *attempt, guint upstream)
{
    for (guint i = 0; i < attempt->group_len; i++) {
        if (attempt->group[i] == upstream) {
            return TRUE;
        }
    }
    return attempt->upstream == upstream;
}

void
cq_sim_drop_attempts(cq_sim_t *sim, guint host)
{
    GPtrArray *attempts = find_attempts(sim, sent_by_host, host);
    for (guint i = 0; i < attempts->len; i++) {
        cq_sim_attempt_t *attempt = g_ptr_array_index(attempts, i);
        abandon_attempt(attempt);
        attempt_unref(attempt);
    }
    g_ptr_array_unref(attempts);
}

void
cq_sim_break_attempts(cq_sim_t *sim, guint upstream)
{
    GPtrArray *attempts = find_attempts(sim, uses_upstream, upstream);
    for (guint i = 0; i < attempts->len; i++) {
        cq_sim_attempt_t *attempt = g_ptr_array_index(attempts, i);
        if (attempt->arrived) {
            send_failure(attempt, CQ_FAIL_BROKEN);
            end_attempt(attempt);
        }
        attempt_unref(attempt);
    }
    g_ptr_array_unref(attempts);
}

void
cq_sim_silence_connections(cq_sim_t *sim, guint host, guint upstream)
{
    GPtrArray *attempts = find_attempts(sim, sent_by_host, host);
    for (guint i = 0; i < attempts->len; i++) {
        cq_sim_attempt_t *attempt = g_ptr_array_index(attempts, i);
        if (attempt->upstream == upstream) {
            attempt->silent = TRUE;
        }
        attempt_unref(attempt);
    }
    g_ptr_array_unref(attempts);
}

static void
on_token(cq_engine_t *engine, cq_engine_run_t *run, void *data)
{
    (void)engine;
    (void)data;
    cq_event_t event = {.kind = CQ_EV_TOKENS};
    event.attempt.tokens = 1;
    send_to_host(run->owner, &event);
}

static void
on_run_done(cq_engine_t *engine, cq_engine_run_t *run, void *data)
{
    (void)engine;
    (void)data;
    cq_sim_attempt_t *attempt = run->owner;
    cq_event_t event = {.kind = CQ_EV_DONE};
    event.attempt.status = 200;
    send_to_host(attempt, &event);
    attempt->sim->totals.engine_time_us += run->computed_us;
    attempt->run = NULL;
    attempt->ended = TRUE;
    remove_attempt(attempt);
    attempt_unref(attempt);
}

typedef struct {
    cq_sim_t *sim;
    cq_ev_cache_t event;
} cache_delivery_t;

static void
on_cache_delivery(void *context, void *data, guint64 number)
{
    (void)context;
    (void)number;
    cache_delivery_t *delivery = data;
    cq_event_t event = {.kind = CQ_EV_CACHE, .cache = delivery->event};
    for (guint i = 0; i < delivery->sim->options.hosts; i++) {
        if (delivery->sim->hosts[i].core != NULL) {
            cq_sim_post_event(delivery->sim, i, &event);
        }
    }
    g_free(delivery);
}

static void
on_cached(cq_engine_t *engine, guint64 prefix, gboolean present, void *data)
{
    (void)engine;
    cq_sim_upstream_t *upstream = data;
    cq_sim_t *sim = upstream->sim;
    /* One cache event in a hundred is lost. */
    if (g_rand_int_range(sim->rand, 0, 100) == 0) {
        return;
    }
    cache_delivery_t *delivery = g_new0(cache_delivery_t, 1);
    delivery->sim = sim;
    delivery->event.upstream = upstream->id;
    delivery->event.prefix = prefix;
    delivery->event.present = present;
    cq_heap_add(&sim->heap, cq_sim_now(sim) + CQ_SIM_CACHE_LAG_US,
                on_cache_delivery, delivery, 0);
}

cq_engine_options_t
cq_sim_engine_options(cq_sim_t *sim, cq_sim_upstream_t *upstream)
{
    return (cq_engine_options_t){
        .heap = &sim->heap,
        .prefill_tokens_per_s = CQ_PREFILL_TOKENS_PER_S,
        .kv_tokens = CQ_KV_TOKENS,
        .token = on_token,
        .done = on_run_done,
        .cached = on_cached,
        .data = upstream,
    };
}
