#include "bench/engine.h"

#include "core/load.h"

typedef struct {
    gint64 tokens;
    gint64 used_us;
} cached_t;

typedef struct {
    gint64 tokens;
    gint64 expires_us;
} held_t;

struct cq_engine {
    cq_engine_options_t options;
    cq_list_t runs;
    GHashTable *cache;
    GHashTable *held;
    gint64 cache_tokens;
    gint64 run_tokens;
    gint64 held_tokens;
    gboolean prefilling;
    gboolean decoding;
    cq_run_t *chunk_run;
    guint64 turn;
    guint64 epoch;
};

static void
start_prefill(cq_engine_t *engine);
static void
start_decode(cq_engine_t *engine);

static gint64
need_of(const cq_run_t *run)
{
    return run->held ? 0 : run->prompt_tokens + run->output_tokens;
}

static gint64
room(const cq_engine_t *engine)
{
    return engine->options.kv_tokens - engine->run_tokens -
           engine->held_tokens;
}

static void
drop_oldest(cq_engine_t *engine)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    gpointer oldest = NULL;
    cached_t *entry = NULL;
    g_hash_table_iter_init(&iter, engine->cache);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        cached_t *cached = value;
        if (entry == NULL || cached->used_us < entry->used_us) {
            oldest = key;
            entry = cached;
        }
    }
    g_assert(entry != NULL);
    guint64 prefix = *(guint64 *)oldest;
    engine->cache_tokens -= entry->tokens;
    g_hash_table_remove(engine->cache, &prefix);
    engine->options.cached(engine, prefix, FALSE, engine->options.data);
}

static void
shrink_cache(cq_engine_t *engine)
{
    while (engine->cache_tokens > MAX(room(engine), 0)) {
        drop_oldest(engine);
    }
}

static void
fill_cache(cq_engine_t *engine, const cq_run_t *run)
{
    if (run->prefix == 0 || run->prefix_tokens > room(engine)) {
        return;
    }
    cached_t *entry = g_hash_table_lookup(engine->cache, &run->prefix);
    if (entry != NULL) {
        entry->used_us = engine->options.heap->now_us;
        return;
    }
    entry = g_new0(cached_t, 1);
    entry->tokens = run->prefix_tokens;
    entry->used_us = engine->options.heap->now_us;
    engine->cache_tokens += entry->tokens;
    g_hash_table_insert(engine->cache, g_memdup2(&run->prefix, 8), entry);
    engine->options.cached(engine, run->prefix, TRUE, engine->options.data);
    shrink_cache(engine);
}

static void
expire_held(cq_engine_t *engine)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, engine->held);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        held_t *held = value;
        if (held->expires_us <= engine->options.heap->now_us) {
            engine->held_tokens -= held->tokens;
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* The most urgent waiting run goes first; nobody overtakes it. */
static cq_run_t *
next_waiting(cq_engine_t *engine)
{
    cq_run_t *best = NULL;
    cq_list_t *link = engine->runs.next;
    for (; link != &engine->runs; link = link->next) {
        cq_run_t *run = CQ_ENTRY(link, cq_run_t, link);
        gboolean urgent = best == NULL || run->priority < best->priority;
        if (!run->admitted && urgent) {
            best = run;
        }
    }
    return best;
}

static void
admit(cq_engine_t *engine)
{
    expire_held(engine);
    for (;;) {
        cq_run_t *run = next_waiting(engine);
        if (run == NULL || need_of(run) > room(engine)) {
            break;
        }
        run->admitted = TRUE;
        engine->run_tokens += need_of(run);
        cached_t *entry = g_hash_table_lookup(engine->cache, &run->prefix);
        if (entry != NULL && run->prefix != 0 && run->leader == NULL) {
            entry->used_us = engine->options.heap->now_us;
            run->left_tokens -= MIN(run->left_tokens, entry->tokens);
        }
        shrink_cache(engine);
    }
    start_prefill(engine);
    start_decode(engine);
}

static cq_run_t *
next_prefill(cq_engine_t *engine)
{
    cq_run_t *best = NULL;
    cq_list_t *link = engine->runs.next;
    for (; link != &engine->runs; link = link->next) {
        cq_run_t *run = CQ_ENTRY(link, cq_run_t, link);
        if (!run->admitted || run->left_tokens == 0) {
            continue;
        }
        gboolean urgent = best == NULL || run->priority < best->priority;
        gboolean same = best != NULL && run->priority == best->priority;
        if (urgent || (same && run->turn < best->turn)) {
            best = run;
        }
    }
    return best;
}

static void
remove_run(cq_engine_t *engine, cq_run_t *run)
{
    if (run->admitted) {
        engine->run_tokens -= need_of(run);
    }
    if (engine->chunk_run == run) {
        engine->chunk_run = NULL;
    }
    cq_list_remove(&run->link);
}

static void
shard_done(cq_engine_t *engine, cq_run_t *run)
{
    cq_run_t *leader = run->leader;
    leader->parts--;
    leader->computed_us += run->computed_us;
    remove_run(engine, run);
    g_free(run);
    start_decode(leader->engine);
}

static void
on_chunk(void *world, void *data, guint64 epoch)
{
    (void)world;
    cq_engine_t *engine = data;
    if (epoch != engine->epoch) {
        return;
    }
    engine->prefilling = FALSE;
    cq_run_t *run = engine->chunk_run;
    engine->chunk_run = NULL;
    if (run != NULL) {
        gint64 tokens = MIN(run->left_tokens, CQ_ENGINE_CHUNK_TOKENS);
        run->left_tokens -= tokens;
        run->computed_us +=
            tokens * CQ_SECOND_US / engine->options.prefill_tokens_per_s;
        run->turn = ++engine->turn;
        if (run->left_tokens == 0 && run->leader != NULL) {
            shard_done(engine, run);
        }
        else if (run->left_tokens == 0) {
            fill_cache(engine, run);
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
    cq_run_t *run = next_prefill(engine);
    if (run == NULL) {
        return;
    }
    engine->prefilling = TRUE;
    engine->chunk_run = run;
    gint64 tokens = MIN(run->left_tokens, CQ_ENGINE_CHUNK_TOKENS);
    gint64 us = tokens * CQ_SECOND_US / engine->options.prefill_tokens_per_s;
    cq_heap_t *heap = engine->options.heap;
    cq_heap_add(heap, heap->now_us + us, on_chunk, engine, engine->epoch);
}

static gboolean
decodes(const cq_run_t *run)
{
    return run->admitted && run->left_tokens == 0 && run->parts == 0 &&
           run->leader == NULL;
}

static gint64
batch(cq_engine_t *engine)
{
    gint64 streams = 0;
    cq_list_t *link = engine->runs.next;
    for (; link != &engine->runs; link = link->next) {
        streams += decodes(CQ_ENTRY(link, cq_run_t, link));
    }
    return streams;
}

static void
finish(cq_engine_t *engine, cq_run_t *run)
{
    remove_run(engine, run);
    engine->options.done(engine, run, engine->options.data);
    g_free(run);
}

static void
on_step(void *world, void *data, guint64 epoch)
{
    (void)world;
    cq_engine_t *engine = data;
    if (epoch != engine->epoch) {
        return;
    }
    engine->decoding = FALSE;
    gint64 streams = MAX(batch(engine), 1);
    gint64 us = cq_load_decode_step_us(streams) / streams;
    gboolean freed = FALSE;
    cq_list_t *link = engine->runs.next;
    while (link != &engine->runs) {
        cq_run_t *run = CQ_ENTRY(link, cq_run_t, link);
        link = link->next;
        if (!decodes(run)) {
            continue;
        }
        run->computed_us += us;
        run->emitted++;
        engine->options.token(engine, run, engine->options.data);
        if (run->emitted >= run->output_tokens) {
            finish(engine, run);
            freed = TRUE;
        }
    }
    if (freed) {
        admit(engine);
    }
    start_decode(engine);
}

static void
start_decode(cq_engine_t *engine)
{
    if (engine->decoding) {
        return;
    }
    gint64 streams = batch(engine);
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
    engine->held =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    cq_list_init(&engine->runs);
    return engine;
}

static void
drop_runs(cq_engine_t *engine)
{
    while (!cq_list_empty(&engine->runs)) {
        cq_run_t *run = CQ_ENTRY(engine->runs.next, cq_run_t, link);
        cq_list_remove(&run->link);
        g_free(run);
    }
}

void
cq_engine_free(cq_engine_t *engine)
{
    drop_runs(engine);
    g_hash_table_unref(engine->cache);
    g_hash_table_unref(engine->held);
    g_free(engine);
}

void
cq_engine_add(cq_engine_t *engine, cq_run_t *run)
{
    run->engine = engine;
    cq_list_init(&run->link);
    cq_list_append(&engine->runs, &run->link);
    run->turn = ++engine->turn;
    admit(engine);
}

void
cq_engine_cancel(cq_engine_t *engine, cq_run_t *run)
{
    remove_run(engine, run);
    g_free(run);
    admit(engine);
}

void
cq_engine_reset(cq_engine_t *engine)
{
    drop_runs(engine);
    g_hash_table_remove_all(engine->cache);
    g_hash_table_remove_all(engine->held);
    engine->cache_tokens = 0;
    engine->run_tokens = 0;
    engine->held_tokens = 0;
    engine->prefilling = FALSE;
    engine->decoding = FALSE;
    engine->chunk_run = NULL;
    engine->epoch++;
}

gboolean
cq_engine_reserve(cq_engine_t *engine, guint64 request, gint64 tokens,
                  gint64 expires_us)
{
    expire_held(engine);
    if (tokens > room(engine)) {
        return FALSE;
    }
    cq_engine_release(engine, request);
    held_t *held = g_new0(held_t, 1);
    held->tokens = tokens;
    held->expires_us = expires_us;
    engine->held_tokens += tokens;
    g_hash_table_insert(engine->held, g_memdup2(&request, 8), held);
    shrink_cache(engine);
    return TRUE;
}

void
cq_engine_release(cq_engine_t *engine, guint64 request)
{
    held_t *held = g_hash_table_lookup(engine->held, &request);
    if (held == NULL) {
        return;
    }
    engine->held_tokens -= held->tokens;
    g_hash_table_remove(engine->held, &request);
    admit(engine);
}

cq_engine_load_t
cq_engine_load(cq_engine_t *engine)
{
    expire_held(engine);
    cq_engine_load_t load = {
        .kv_tokens = engine->run_tokens + engine->held_tokens,
    };
    cq_list_t *link = engine->runs.next;
    for (; link != &engine->runs; link = link->next) {
        const cq_run_t *run = CQ_ENTRY(link, cq_run_t, link);
        load.streams++;
        load.prefill_tokens += run->left_tokens;
    }
    return load;
}

void
cq_engine_holdings(cq_engine_t *engine, GArray *out)
{
    expire_held(engine);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, engine->held);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        cq_holding_t row = {*(guint64 *)key, ((held_t *)value)->tokens};
        g_array_append_val(out, row);
    }
}

cq_list_t *
cq_engine_runs(cq_engine_t *engine)
{
    return &engine->runs;
}
