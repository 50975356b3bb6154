/* Attempts on their way between hosts and upstreams. */
#include "bench/world.h"

static cq_world_try_t *
try_ref(cq_world_try_t *try)
{
    try->references++;
    return try;
}

static void
try_unref(cq_world_try_t *try)
{
    if (--try->references == 0) {
        g_free(try);
    }
}

static gboolean
host_alive(const cq_world_try_t *try)
{
    const cq_world_host_t *host = &try->sim->hosts[try->host];
    return host->core != NULL && host->incarnation == try->host_incarnation;
}

/* Whether bytes of this connection still arrive at the other end. Bytes come
 * in order, so after a loss nothing more arrives. */
static gboolean
connected(cq_world_try_t *try)
{
    const cq_sim_t *sim = try->sim;
    if (!cq_world_reachable(sim, sim->hosts[try->host].zone,
                            sim->upstreams[try->upstream].zone)) {
        try->silent = TRUE;
    }
    return !try->silent;
}

static void
forget(cq_world_try_t *try)
{
    if (g_hash_table_lookup(try->sim->tries, &try->request) == try) {
        g_hash_table_remove(try->sim->tries, &try->request);
    }
}

static void
cancel_runs(cq_world_try_t *try)
{
    for (guint i = 1; i < try->group_len; i++) {
        /* A shard that is done has left its engine's list already. */
        cq_engine_t *engine = try->sim->upstreams[try->group[i]].engine;
        cq_list_t *link = cq_engine_runs(engine)->next;
        while (link != cq_engine_runs(engine)) {
            cq_run_t *run = CQ_ENTRY(link, cq_run_t, link);
            link = link->next;
            if (run->leader != NULL && run->leader == try->run) {
                try->used_us += run->computed_us;
                cq_engine_cancel(engine, run);
                link = cq_engine_runs(engine)->next;
            }
        }
    }
    if (try->run != NULL) {
        try->used_us += try->run->computed_us;
        cq_engine_cancel(try->run->engine, try->run);
        try->run = NULL;
        try_unref(try);
    }
}

static void
end_try(cq_world_try_t *try)
{
    if (try->over) {
        return;
    }
    try->over = TRUE;
    try_ref(try);
    cancel_runs(try);
    try->sim->totals.wasted_us += try->used_us;
    try->sim->totals.used_us += try->used_us;
    forget(try);
    try_unref(try);
}

/* Our side gives the attempt up. Bytes that have left arrive all the same,
 * and a plain call then runs to its end. */
static void
give_up(cq_world_try_t *try)
{
    gboolean plain = try->sim->upstreams[try->upstream].engine == NULL;
    if (plain && try->sent) {
        forget(try);
        return;
    }
    end_try(try);
}

typedef struct {
    cq_world_try_t *try;
    cq_event_t event;
} news_t;

static void
on_news(void *world, void *data, guint64 number)
{
    (void)world;
    (void)number;
    news_t *news = data;
    cq_world_try_t *try = news->try;
    if (host_alive(try) && connected(try)) {
        cq_world_post(try->sim, try->host, &news->event);
    }
    try_unref(try);
    g_free(news);
}

static void
tell_host(cq_world_try_t *try, cq_event_t *event)
{
    news_t *news = g_new0(news_t, 1);
    news->try = try_ref(try);
    news->event = *event;
    news->event.attempt.request = try->request;
    news->event.attempt.attempt = try->attempt;
    cq_heap_add(&try->sim->heap, cq_world_now(try->sim) + CQ_WORLD_HOP_US,
                on_news, news, 0);
}

static void
tell_failed(cq_world_try_t *try, cq_failure_t failure)
{
    cq_event_t event = {.kind = CQ_EV_FAILED};
    event.attempt.failure = failure;
    tell_host(try, &event);
}

static void
count_run(GHashTable *table, guint64 key)
{
    guint runs = GPOINTER_TO_UINT(g_hash_table_lookup(table, &key));
    g_hash_table_replace(table, g_memdup2(&key, sizeof key),
                         GUINT_TO_POINTER(runs + 1));
}

static void
on_plain_done(void *world, void *data, guint64 incarnation)
{
    (void)world;
    cq_world_try_t *try = data;
    cq_world_upstream_t *upstream = &try->sim->upstreams[try->upstream];
    if (upstream->up && upstream->incarnation == incarnation && !try->over) {
        cq_event_t event = {.kind = CQ_EV_DONE};
        event.attempt.status = 200;
        tell_host(try, &event);
        end_try(try);
    }
    try_unref(try);
}

static void
run_plain(cq_world_try_t *try)
{
    cq_sim_t *sim = try->sim;
    if (try->ask.key != 0) {
        count_run(sim->runs_by_key, try->ask.key);
    }
    count_run(sim->runs_by_request, try->request);
    gint64 us = CQ_WORLD_PLAIN_US + g_rand_int_range(sim->rand, 0, 5000);
    cq_heap_add(&sim->heap, cq_world_now(sim) + us, on_plain_done,
                try_ref(try), sim->upstreams[try->upstream].incarnation);
}

static cq_run_t *
make_run(cq_world_try_t *try)
{
    const cq_sim_ask_t *ask = &try->ask;
    cq_run_t *run = g_new0(cq_run_t, 1);
    run->owner = try_ref(try);
    run->request = try->request;
    run->priority = try->priority;
    run->prompt_tokens = ask->prompt_tokens;
    run->left_tokens = ask->prompt_tokens;
    run->output_tokens = ask->output_tokens;
    run->emitted = MIN(try->resume_from, ask->output_tokens - 1);
    run->prefix = ask->prefix;
    run->prefix_tokens = ask->prefix_tokens;
    return run;
}

static void
run_engine(cq_world_try_t *try)
{
    cq_sim_t *sim = try->sim;
    cq_run_t *run = make_run(try);
    try->run = run;
    if (try->group_len > 0) {
        run->held = TRUE;
        run->prefix = 0;
        run->left_tokens = run->prompt_tokens / try->group_len;
    }
    for (guint i = 1; i < try->group_len; i++) {
        cq_run_t *shard = g_new0(cq_run_t, 1);
        shard->request = run->request;
        shard->priority = run->priority;
        shard->left_tokens = run->left_tokens;
        shard->held = TRUE;
        shard->leader = run;
        run->parts++;
        cq_engine_add(sim->upstreams[try->group[i]].engine, shard);
    }
    cq_engine_add(sim->upstreams[try->upstream].engine, run);
}

static void
on_arrived(void *world, void *data, guint64 incarnation)
{
    (void)world;
    cq_world_try_t *try = data;
    cq_sim_t *sim = try->sim;
    cq_world_upstream_t *upstream = &sim->upstreams[try->upstream];
    gboolean same = upstream->incarnation == incarnation && upstream->up;
    if (try->over || !same || !connected(try)) {
        if (!try->over && !same) {
            tell_failed(try, CQ_FAIL_BROKEN);
            end_try(try);
        }
        try_unref(try);
        return;
    }
    upstream->arrivals++;
    try->arrived = TRUE;
    if (upstream->leaving) {
        tell_failed(try, CQ_FAIL_LEAVING);
        end_try(try);
    }
    else if (upstream->engine == NULL) {
        run_plain(try);
    }
    else {
        run_engine(try);
    }
    try_unref(try);
}

static void
on_connect(void *world, void *data, guint64 number)
{
    (void)world;
    (void)number;
    cq_world_try_t *try = data;
    cq_sim_t *sim = try->sim;
    cq_world_upstream_t *upstream = &sim->upstreams[try->upstream];
    gboolean frozen = upstream->frozen_until_us > cq_world_now(sim);
    if (try->over || !connected(try) || frozen || !host_alive(try)) {
        try_unref(try);
        return;
    }
    if (!upstream->up) {
        tell_failed(try, CQ_FAIL_CONNECT);
        end_try(try);
        try_unref(try);
        return;
    }
    try->sent = TRUE;
    cq_event_t event = {.kind = CQ_EV_SENT};
    event.attempt.request = try->request;
    event.attempt.attempt = try->attempt;
    cq_world_post(sim, try->host, &event);
    cq_heap_add(&sim->heap, cq_world_now(sim) + CQ_WORLD_HOP_US, on_arrived,
                try_ref(try), upstream->incarnation);
    try_unref(try);
}

static guint
index_of(const cq_sim_t *sim, guint64 id)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(sim->upstream_by_id, &id));
}

void
cq_world_try_free(gpointer data)
{
    try_unref(data);
}

void
cq_world_start_try(cq_sim_t *sim, cq_world_host_t *host,
                   const cq_ac_send_t *send)
{
    const cq_world_ask_t *ask = g_hash_table_lookup(sim->asks, &send->request);
    g_assert(ask != NULL);
    cq_world_try_t *try = g_new0(cq_world_try_t, 1);
    try->ask = ask->ask;
    try->sim = sim;
    try->references = 1;
    try->host = host->index;
    try->host_incarnation = host->incarnation;
    try->upstream = index_of(sim, send->upstream);
    try->request = send->request;
    try->attempt = send->attempt;
    try->priority = send->priority;
    try->resume_from = send->resume_from;
    try->group_len = send->group_len;
    for (guint i = 0; i < send->group_len; i++) {
        try->group[i] = index_of(sim, send->group[i]);
    }
    g_hash_table_replace(sim->tries, &try->request, try);
    cq_heap_add(&sim->heap, cq_world_now(sim) + 2 * CQ_WORLD_HOP_US,
                on_connect, try_ref(try), 0);
}

void
cq_world_stop_try(cq_sim_t *sim, const cq_ac_attempt_t *attempt)
{
    cq_world_try_t *try = g_hash_table_lookup(sim->tries, &attempt->request);
    if (try == NULL || try->attempt != attempt->attempt) {
        return;
    }
    give_up(try);
}

typedef struct {
    cq_sim_t *sim;
    guint host;
    guint64 incarnation;
    cq_event_t event;
} reply_t;

static void
on_reply(void *world, void *data, guint64 number)
{
    (void)world;
    (void)number;
    reply_t *reply = data;
    cq_world_host_t *host = &reply->sim->hosts[reply->host];
    if (host->core != NULL && host->incarnation == reply->incarnation) {
        cq_world_post(reply->sim, reply->host, &reply->event);
    }
    g_free(reply);
}

void
cq_world_tell(cq_world_host_t *host, const cq_event_t *event, gint64 us)
{
    reply_t *reply = g_new0(reply_t, 1);
    reply->sim = host->sim;
    reply->host = host->index;
    reply->incarnation = host->incarnation;
    reply->event = *event;
    cq_heap_add(&host->sim->heap, cq_world_now(host->sim) + us, on_reply,
                reply, 0);
}

void
cq_world_probe(cq_sim_t *sim, cq_world_host_t *host,
               const cq_ac_attempt_t *attempt)
{
    cq_world_upstream_t *upstream =
        &sim->upstreams[index_of(sim, attempt->upstream)];
    cq_event_t event = {.kind = CQ_EV_PROBED};
    event.attempt.request = attempt->request;
    event.attempt.attempt = attempt->attempt;
    event.attempt.probe = CQ_PROBE_SILENT;
    gboolean frozen = upstream->frozen_until_us > cq_world_now(sim);
    if (upstream->up && !frozen &&
        cq_world_reachable(sim, host->zone, upstream->zone)) {
        cq_world_try_t *try =
            g_hash_table_lookup(sim->tries, &attempt->request);
        event.attempt.probe = CQ_PROBE_UNKNOWN;
        if (upstream->engine == NULL) {
            event.attempt.probe = CQ_PROBE_ALIVE;
        }
        else if (try != NULL && try->run != NULL) {
            event.attempt.probe = CQ_PROBE_RUNNING;
            event.attempt.tokens = try->run->emitted;
        }
        cq_world_tell(host, &event, 2 * CQ_WORLD_HOP_US);
        return;
    }
    cq_world_tell(host, &event, 2 * CQ_SECOND_US);
}

void
cq_world_memory(cq_sim_t *sim, cq_world_host_t *host, cq_action_kind_t kind,
                const cq_ac_memory_t *memory)
{
    cq_world_upstream_t *upstream =
        &sim->upstreams[index_of(sim, memory->upstream)];
    gboolean reach = upstream->up && upstream->engine != NULL &&
                     cq_world_reachable(sim, host->zone, upstream->zone);
    if (!reach) {
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
                          cq_world_now(sim) + memory->expiry_us);
    cq_world_tell(host, &event, 2 * CQ_WORLD_HOP_US);
}

static GPtrArray *
tries_where(cq_sim_t *sim, gboolean (*match)(const cq_world_try_t *, guint),
            guint index)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, sim->tries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (match(value, index)) {
            g_ptr_array_add(found, try_ref(value));
        }
    }
    return found;
}

static gboolean
is_of_host(const cq_world_try_t *try, guint host)
{
    return try->host == host;
}

static gboolean
is_at_upstream(const cq_world_try_t *try, guint upstream)
{
    for (guint i = 0; i < try->group_len; i++) {
        if (try->group[i] == upstream) {
            return TRUE;
        }
    }
    return try->upstream == upstream;
}

void
cq_world_drop_tries(cq_sim_t *sim, guint host)
{
    GPtrArray *tries = tries_where(sim, is_of_host, host);
    for (guint i = 0; i < tries->len; i++) {
        cq_world_try_t *try = g_ptr_array_index(tries, i);
        give_up(try);
        try_unref(try);
    }
    g_ptr_array_unref(tries);
}

void
cq_world_break_tries(cq_sim_t *sim, guint upstream)
{
    GPtrArray *tries = tries_where(sim, is_at_upstream, upstream);
    for (guint i = 0; i < tries->len; i++) {
        cq_world_try_t *try = g_ptr_array_index(tries, i);
        if (try->arrived) {
            tell_failed(try, CQ_FAIL_BROKEN);
            end_try(try);
        }
        try_unref(try);
    }
    g_ptr_array_unref(tries);
}

void
cq_sim_silence(cq_sim_t *sim, guint host, guint upstream)
{
    GPtrArray *tries = tries_where(sim, is_of_host, host);
    for (guint i = 0; i < tries->len; i++) {
        cq_world_try_t *try = g_ptr_array_index(tries, i);
        if (try->upstream == upstream) {
            try->silent = TRUE;
        }
        try_unref(try);
    }
    g_ptr_array_unref(tries);
}

static void
on_token(cq_engine_t *engine, cq_run_t *run, void *data)
{
    (void)engine;
    (void)data;
    cq_event_t event = {.kind = CQ_EV_TOKENS};
    event.attempt.tokens = 1;
    tell_host(run->owner, &event);
}

static void
on_run_done(cq_engine_t *engine, cq_run_t *run, void *data)
{
    (void)engine;
    (void)data;
    cq_world_try_t *try = run->owner;
    cq_event_t event = {.kind = CQ_EV_DONE};
    event.attempt.status = 200;
    tell_host(try, &event);
    try->sim->totals.used_us += run->computed_us;
    try->run = NULL;
    try->over = TRUE;
    forget(try);
    try_unref(try);
}

typedef struct {
    cq_sim_t *sim;
    cq_ev_cache_t event;
} cache_news_t;

static void
on_cache_news(void *world, void *data, guint64 number)
{
    (void)world;
    (void)number;
    cache_news_t *news = data;
    cq_event_t event = {.kind = CQ_EV_CACHE, .cache = news->event};
    for (guint i = 0; i < news->sim->options.hosts; i++) {
        if (news->sim->hosts[i].core != NULL) {
            cq_world_post(news->sim, i, &event);
        }
    }
    g_free(news);
}

static void
on_cached(cq_engine_t *engine, guint64 prefix, gboolean present, void *data)
{
    (void)engine;
    cq_world_upstream_t *upstream = data;
    cq_sim_t *sim = upstream->sim;
    /* One event in a hundred is never published. */
    if (g_rand_int_range(sim->rand, 0, 100) == 0) {
        return;
    }
    cache_news_t *news = g_new0(cache_news_t, 1);
    news->sim = sim;
    news->event.upstream = upstream->id;
    news->event.prefix = prefix;
    news->event.present = present;
    cq_heap_add(&sim->heap, cq_world_now(sim) + CQ_WORLD_CACHE_LAG_US,
                on_cache_news, news, 0);
}

cq_engine_options_t
cq_world_engine_options(cq_sim_t *sim, cq_world_upstream_t *upstream)
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
