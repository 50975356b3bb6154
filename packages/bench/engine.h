/**
 * DOC: engine
 *
 * An emulated inference engine in virtual time. It batches continuously,
 * prefills prompts in chunks by priority, and takes longer for a decode step
 * the more streams are in the batch. KV memory that is not in use holds a
 * prefix cache with LRU eviction.
 */
#ifndef CQ_ENGINE_H
#define CQ_ENGINE_H

#include "base/list.h"
#include "bench/heap.h"
#include "core/action.h"

G_BEGIN_DECLS

/* Prompt tokens per prefill chunk. */
#define CQ_ENGINE_PREFILL_CHUNK_TOKENS 2048

typedef struct cq_engine cq_engine_t;

/**
 * struct cq_engine_run_t - one attempt, or one shard of its prompt, on an
 * engine
 * @link: in the engine's list of runs
 * @owner: the emulator's attempt, for the callbacks; NULL for a shard
 * @request: the request's id
 * @priority: 0 is the most urgent
 * @prompt_tokens: length of the prompt
 * @uncomputed_tokens: prompt tokens that are not prefilled yet
 * @output_tokens: length of the answer
 * @emitted_tokens: tokens sent, counted from the start of the answer
 * @prefix: hash of the shared prefix, or 0
 * @prefix_tokens: length of the shared prefix
 * @has_reservation: its memory was reserved before, so admission takes none
 * @admitted: its KV memory is allocated
 * @shards_left: shards on other engines that are not prefilled yet
 * @lead: for a shard, the run that decodes the request; else NULL
 * @engine: the engine on which it runs
 * @computed_us: engine time spent on it
 * @sequence: order among runs of one priority; a run that has had a prefill
 *   chunk goes behind the others
 */
typedef struct cq_engine_run {
    cq_list_t link;
    void *owner;
    guint64 request;
    int priority;
    gint64 prompt_tokens;
    gint64 uncomputed_tokens;
    gint64 output_tokens;
    gint64 emitted_tokens;
    guint64 prefix;
    gint64 prefix_tokens;
    gboolean has_reservation;
    gboolean admitted;
    guint shards_left;
    struct cq_engine_run *lead;
    cq_engine_t *engine;
    gint64 computed_us;
    guint64 sequence;
} cq_engine_run_t;

/**
 * struct cq_engine_options_t - parameters of an engine
 * @heap: the event queue; borrowed
 * @prefill_tokens_per_s: prefill rate
 * @kv_tokens: size of the KV memory, in tokens
 * @token: called when @run emits a token
 * @done: called after the last token of @run, which is freed on return
 * @cached: called when a prefix enters the cache (@present) or is evicted
 * @data: passed to the callbacks
 */
typedef struct {
    cq_heap_t *heap;
    gint64 prefill_tokens_per_s;
    gint64 kv_tokens;
    void (*token)(cq_engine_t *engine, cq_engine_run_t *run, void *data);
    void (*done)(cq_engine_t *engine, cq_engine_run_t *run, void *data);
    void (*cached)(cq_engine_t *engine, guint64 prefix, gboolean present,
                   void *data);
    void *data;
} cq_engine_options_t;

/**
 * struct cq_engine_load_t - an engine's current load
 * @streams: runs on the engine, whether admitted or not
 * @prefill_tokens: prompt tokens of these runs that are not prefilled yet
 * @kv_tokens: KV memory that runs use or reservations hold, in tokens
 */
typedef struct {
    gint64 streams;
    gint64 prefill_tokens;
    gint64 kv_tokens;
} cq_engine_load_t;

/** cq_engine_new() - Return: an idle engine; free it with cq_engine_free() */
cq_engine_t *
cq_engine_new(const cq_engine_options_t *options);

/** cq_engine_free() - free @engine and its runs without calling back */
void
cq_engine_free(cq_engine_t *engine);

/** cq_engine_add() - queue @run, which the engine then owns */
void
cq_engine_add(cq_engine_t *engine, cq_engine_run_t *run);

/** cq_engine_cancel() - remove and free @run without calling back */
void
cq_engine_cancel(cq_engine_t *engine, cq_engine_run_t *run);

/** cq_engine_reset() - free all runs, the cache and reservations, as in a
 * crash */
void
cq_engine_reset(cq_engine_t *engine);

/** cq_engine_reserve() - reserve @tokens of KV memory for @request until
 * @expires_us; Return: whether enough was free */
gboolean
cq_engine_reserve(cq_engine_t *engine, guint64 request, gint64 tokens,
                  gint64 expires_us);

/** cq_engine_release() - free the reservation of @request, if any */
void
cq_engine_release(cq_engine_t *engine, guint64 request);

/** cq_engine_load() - Return: the current load */
cq_engine_load_t
cq_engine_load(cq_engine_t *engine);

/** cq_engine_reservations() - append a cq_holding_t per reservation to @out */
void
cq_engine_reservations(cq_engine_t *engine, GArray *out);

/** cq_engine_runs() - Return: head of the list of runs */
cq_list_t *
cq_engine_runs(cq_engine_t *engine);

G_END_DECLS

#endif
