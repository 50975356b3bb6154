#include "bench/engine.h"

#include "core/load.h"

typedef struct {
    gint64 tokens;
    gint64 last_used_us;
} cached_prefix_t;

typedef struct {
    gint64 tokens;
    gint64 expires_us;
} reservation_t;

struct cq_engine {
    cq_engine_options_t options;
    cq_list_t runs;
    GHashTable *cache;
    GHashTable *reservations;
    gint64 cache_tokens;
    gint64 run_tokens;
    gint64 reserved_tokens;
    gboolean prefilling;
    gboolean decoding;
    cq_engine_run_t *prefill_run; /* whose chunk is being prefilled */
    guint64 sequence;
    guint64 epoch; /* number of resets; callbacks from before are ignored */
};

static void
start_prefill(cq_engine_t *engine);
static void
start_decode(cq_engine_t *engine);

static gint64
kv_needed_tokens(const cq_engine_run_t *run)
{
    return run->has_reservation ? 0 : run->prompt_tokens + run->output_tokens;
}

static gint64
kv_free_tokens(const cq_engine_t *engine)
{
    return engine->options.kv_tokens - engine->run_tokens -
           engine->reserved_tokens;
}

static void
evict_least_recent(cq_engine_t *engine)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    gpointer oldest_key = NULL;
    cached_prefix_t *oldest = NULL;
    g_hash_table_iter_init(&iter, engine->cache);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        cached_prefix_t *cached = value;
        if (oldest == NULL || cached->last_used_us < oldest->last_used_us) {
            oldest_key = key;
            oldest = cached;
        }
    }
    g_assert(oldest != NULL);
    guint64 prefix = *(guint64 *)oldest_key;
    engine->cache_tokens -= oldest->tokens;
    g_hash_table_remove(engine->cache, &prefix);
    engine->options.cached(engine, prefix, FALSE, engine->options.data);
}

static void
trim_cache(cq_engine_t *engine)
{
    while (engine->cache_tokens > MAX(kv_free_tokens(engine), 0)) {
        evict_least_recent(engine);
    }
}

static void
cache_prefix(cq_engine_t *engine, const cq_engine_run_t *run)
{
    if (run->prefix == 0 || run->prefix_tokens > kv_free_tokens(engine)) {
        return;
    }
    cached_prefix_t *entry = g_hash_table_lookup(engine->cache, &run->prefix);
    if (entry != NULL) {
        entry->last_used_us = engine->options.heap->now_us;
        return;
    }
    entry = g_new0(cached_prefix_t, 1);
    entry->tokens = run->prefix_tokens;
    entry->last_used_us = engine->options.heap->now_us;
    engine->cache_tokens += entry->tokens;
    g_hash_table_insert(engine->cache, g_memdup2(&run->prefix, 8), entry);
    engine->options.cached(engine, run->prefix, TRUE, engine->options.data);
    trim_cache(engine);
}

static void
expire_reservations(cq_engine_t *engine)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, engine->reservations);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        reservation_t *reservation = value;
        if (reservation->expires_us <= engine->options.heap->now_us) {
            engine->reserved_tokens -= reservation->tokens;
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Returns the most urgent run that has no memory yet. While it does not fit,
 * no smaller run is admitted before it, so that it cannot starve. */
static cq_engine_run_t *
next_to_admit(cq_engine_t *engine)
{
    cq_engine_run_t *best = NULL;
    cq_list_t *link = engine->runs.next;
    for (; link != &engine->runs; link = link->next) {
        cq_engine_run_t *run = CQ_ENTRY(link, cq_engine_run_t, link);
        gboolean urgent = best == NULL || run->priority < best->priority;
        if (!run->admitted && urgent) {
            best = run;
        }
    }
    return best;
}

static void
admit_waiting(cq_engine_t *engine)
{
    expire_reservations(engine);
    for (;;) {
        cq_engine_run_t *run = next_to_admit(engine);
        if (run == NULL || kv_needed_tokens(run) > kv_free_tokens(engine)) {
            break;
        }
        run->admitted = TRUE;
        engine->run_tokens += kv_needed_tokens(run);
        cached_prefix_t *entry =
            g_hash_table_lookup(engine->cache, &run->prefix);
        if (entry != NULL && run->prefix != 0 && run->lead == NULL) {
            entry->last_used_us = engine->options.heap->now_us;
            run->uncomputed_tokens -=
                MIN(run->uncomputed_tokens, entry->tokens);
        }
        trim_cache(engine);
    }
    start_prefill(engine);
    start_decode(engine);
}

static cq_engine_run_t *
next_prefill(cq_engine_t *engine)
{
    cq_engine_run_t *best = NULL;
    cq_list_t *link = engine->runs.next;
    for (; link != &engine->runs; link = link->next) {
        cq_engine_run_t *run = CQ_ENTRY(link, cq_engine_run_t, link);
        if (!run->admitted || run->uncomputed_tokens == 0) {
            continue;
        }
        gboolean urgent = best == NULL || run->priority < best->priority;
        gboolean same_priority =
            best != NULL && run->priority == best->priority;
        if (urgent || (same_priority && run->sequence < best->sequence)) {
            best = run;
        }
    }
    return best;
}

static void
remove_run(cq_engine_t *engine, cq_engine_run_t *run)
{
    if (run->admitted) {
        engine->run_tokens -= kv_needed_tokens(run);
    }
    if (engine->prefill_run == run) {
        engine->prefill_run = NULL;
    }
    cq_list_remove(&run->link);
}

static void
finish_shard(cq_engine_t *engine, cq_engine_run_t *run)
{
    cq_engine_run_t *lead = run->lead;
    lead->shards_left--;
    lead->computed_us += run->computed_us;
    remove_run(engine, run);
    g_free(run);
    start_decode(lead->engine);
}

static void
on_chunk(void *context, void *data, guint64 epoch)
{
    (void)context;
    cq_engine_t *engine = data;
    if (epoch != engine->epoch) {
        return;
    }
    engine->prefilling = FALSE;
    cq_engine_run_t *run = engine->prefill_run;
    engine->prefill_run = NULL;
    if (run != NULL) {
        gint64 tokens =
            MIN(run->uncomputed_tokens, CQ_ENGINE_PREFILL_CHUNK_TOKENS);
        run->uncomputed_tokens -= tokens;
        run->computed_us +=
            tokens * CQ_SECOND_US / engine->options.prefill_tokens_per_s;
        run->sequence = ++engine->sequence;
        if (run->uncomputed_tokens == 0 && run->lead != NULL) {
            finish_shard(engine, run);
        }
        else if (run->uncomputed_tokens == 0) {
            cache_prefix(engine, run);
        }
    }
    start_prefill(engine);
    start_decode(engine);
}

static void
start_prefill(cq_engine_t *engine)
{
    if (engine->prefilling) {
        return;
    }
    cq_engine_run_t *run = next_prefill(engine);
    if (run == NULL) {
        return;
    }
    engine->prefilling = TRUE;
    engine->prefill_run = run;
    gint64 tokens =
        MIN(run->uncomputed_tokens, CQ_ENGINE_PREFILL_CHUNK_TOKENS);
    gint64 chunk_us =
        tokens * CQ_SECOND_US / engine->options.prefill_tokens_per_s;
    cq_heap_t *heap = engine->options.heap;
    cq_heap_add(heap, heap->now_us + chunk_us, on_chunk, engine,
                engine->epoch);
}

static gboolean
is_decoding(const cq_engine_run_t *run)
{
    return run->admitted && run->uncomputed_tokens == 0 &&
           run->shards_left == 0 && run->lead == NULL;
}

static gint64
decode_streams(cq_engine_t *engine)
{
    gint64 streams = 0;
    cq_list_t *link = engine->runs.next;
    for (; link != &engine->runs; link = link->next) {
        streams += is_decoding(CQ_ENTRY(link, cq_engine_run_t, link));
    }
    return streams;
}

static void
finish_run(cq_engine_t *engine, cq_engine_run_t *run)
{
    remove_run(engine, run);
    engine->options.done(engine, run, engine->options.data);
    g_free(run);
}

static void
on_step(void *context, void *data, guint64 epoch)
{
    (void)context;
    cq_engine_t *engine = data;
    if (epoch != engine->epoch) {
        return;
    }
    engine->decoding = FALSE;
    gint64 streams = MAX(decode_streams(engine), 1);
    gint64 us_per_stream = cq_load_decode_step_us(streams) / streams;
    gboolean freed = FALSE;
    cq_list_t *link = engine->runs.next;
    while (link != &engine->runs) {
        cq_engine_run_t *run = CQ_ENTRY(link, cq_engine_run_t, link);
        link = link->next;
        if (!is_decoding(run)) {
            continue;
        }
        run->computed_us += us_per_stream;
        run->emitted_tokens++;
        engine->options.token(engine, run, engine->options.data);
        if (run->emitted_tokens >= run->output_tokens) {
            finish_run(engine, run);
            freed = TRUE;
        }
    }
    if (freed) {
        admit_waiting(engine);
    }
    start_decode(engine);
}

static void
start_decode(cq_engine_t *engine)
{
    if (engine->decoding) {
        return;
    }
    gint64 streams = decode_streams(engine);
    if (streams == 0) {
        return;
    }
    engine->decoding = TRUE;
    cq_heap_t *heap = engine->options.heap;
    gint64 at_us = heap->now_us + cq_load_decode_step_us(streams);
    cq_heap_add(heap, at_us, on_step, engine, engine->epoch);
}

cq_engine_t *
cq_engine_new(const cq_engine_options_t *options)
{
    cq_engine_t *engine = g_new0(cq_engine_t, 1);
    engine->options = *options;
    engine->cache =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    engine->reservations =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    cq_list_init(&engine->runs);
    return engine;
}

static void
free_runs(cq_engine_t *engine)
{
    while (!cq_list_empty(&engine->runs)) {
        cq_engine_run_t *run =
            CQ_ENTRY(engine->runs.next, cq_engine_run_t, link);
        cq_list_remove(&run->link);
        g_free(run);
    }
}

void
cq_engine_free(cq_engine_t *engine)
{
    free_runs(engine);
    g_hash_table_unref(engine->cache);
    g_hash_table_unref(engine->reservations);
    g_free(engine);
}

void
cq_engine_add(cq_engine_t *engine, cq_engine_run_t *run)
{
    run->engine = engine;
    cq_list_init(&run->link);
    cq_list_append(&engine->runs, &run->link);
    run->sequence = ++engine->sequence;
    admit_waiting(engine);
}

void
cq_engine_cancel(cq_engine_t *engine, cq_engine_run_t *run)
{
    remove_run(engine, run);
    g_free(run);
    admit_waiting(engine);
}

void
cq_engine_reset(cq_engine_t *engine)
{
    free_runs(engine);
    g_hash_table_remove_all(engine->cache);
    g_hash_table_remove_all(engine->reservations);
    engine->cache_tokens = 0;
    engine->run_tokens = 0;
    engine->reserved_tokens = 0;
    engine->prefilling = FALSE;
    engine->decoding = FALSE;
    engine->prefill_run = NULL;
    engine->epoch++;
}

gboolean
cq_engine_reserve(cq_engine_t *engine, guint64 request, gint64 tokens,
                  gint64 expires_us)
{
    expire_reservations(engine);
    if (tokens > kv_free_tokens(engine)) {
        return FALSE;
    }
    cq_engine_release(engine, request);
    reservation_t *reservation = g_new0(reservation_t, 1);
    reservation->tokens = tokens;
    reservation->expires_us = expires_us;
    engine->reserved_tokens += tokens;
    g_hash_table_insert(engine->reservations, g_memdup2(&request, 8),
                        reservation);
    trim_cache(engine);
    return TRUE;
}

void
cq_engine_release(cq_engine_t *engine, guint64 request)
{
    reservation_t *reservation =
        g_hash_table_lookup(engine->reservations, &request);
    if (reservation == NULL) {
        return;
    }
    engine->reserved_tokens -= reservation->tokens;
    g_hash_table_remove(engine->reservations, &request);
    admit_waiting(engine);
}

cq_engine_load_t
cq_engine_load(cq_engine_t *engine)
{
    expire_reservations(engine);
    cq_engine_load_t load = {
        .kv_tokens = engine->run_tokens + engine->reserved_tokens,
    };
    cq_list_t *link = engine->runs.next;
    for (; link != &engine->runs; link = link->next) {
        const cq_engine_run_t *run = CQ_ENTRY(link, cq_engine_run_t, link);
        load.streams++;
        load.prefill_tokens += run->uncomputed_tokens;
    }
    return load;
}

void
cq_engine_reservations(cq_engine_t *engine, GArray *out)
{
    expire_reservations(engine);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, engine->reservations);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        cq_holding_t row = {*(guint64 *)key, ((reservation_t *)value)->tokens};
        g_array_append_val(out, row);
    }
}

cq_list_t *
cq_engine_runs(cq_engine_t *engine)
{
    return &engine->runs;
}
