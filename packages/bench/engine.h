/**
 * DOC: engine
 *
 * A model engine in virtual time: continuous batching, prefill in chunks
 * shared by priority, a decode step that grows with the batch, memory with
 * a prefix cache that drops what was used least recently.
 */
#ifndef CQ_ENGINE_H
#define CQ_ENGINE_H

#include "base/list.h"
#include "bench/heap.h"
#include "core/action.h"

G_BEGIN_DECLS

/* Prompt tokens computed at a time. */
#define CQ_ENGINE_CHUNK_TOKENS 2048

typedef struct cq_engine cq_engine_t;

/**
 * struct cq_run_t - one attempt on an engine
 * @link: in the engine's list
 * @owner: the emulator's attempt, for the callbacks
 * @request: the request's id
 * @priority: 0 is the most urgent
 * @prompt_tokens: to be in memory
 * @left_tokens: still to be computed
 * @output_tokens: length of the answer
 * @emitted: tokens sent, counted from the start of the answer
 * @prefix: hash of the shared prefix, or 0
 * @prefix_tokens: its length
 * @held: memory was reserved before
 * @admitted: has its memory
 * @parts: shards of a group that are not computed yet
 * @leader: a shard's leading run, or NULL
 * @engine: where it runs
 * @computed_us: engine time spent on it
 */
typedef struct cq_run {
    cq_list_t link;
    void *owner;
    guint64 request;
    int priority;
    gint64 prompt_tokens;
    gint64 left_tokens;
    gint64 output_tokens;
    gint64 emitted;
    guint64 prefix;
    gint64 prefix_tokens;
    gboolean held;
    gboolean admitted;
    guint parts;
    struct cq_run *leader;
    cq_engine_t *engine;
    gint64 computed_us;
    guint64 turn;
} cq_run_t;

/**
 * struct cq_engine_options_t - how to make an engine
 * @heap: the agenda
 * @prefill_tokens_per_s: prefill rate
 * @kv_tokens: memory
 * @token: a token of @run left the engine
 * @done: the last one did; @run is freed after it
 * @cached: a prefix was cached or dropped
 * @data: for the callbacks
 */
typedef struct {
    cq_heap_t *heap;
    gint64 prefill_tokens_per_s;
    gint64 kv_tokens;
    void (*token)(cq_engine_t *engine, cq_run_t *run, void *data);
    void (*done)(cq_engine_t *engine, cq_run_t *run, void *data);
    void (*cached)(cq_engine_t *engine, guint64 prefix, gboolean present,
                   void *data);
    void *data;
} cq_engine_options_t;

/**
 * struct cq_engine_load_t - an engine's state now
 */
typedef struct {
    gint64 streams;
    gint64 prefill_tokens;
    gint64 kv_tokens;
} cq_engine_load_t;

/** cq_engine_new() - Return: an idle engine */
cq_engine_t *
cq_engine_new(const cq_engine_options_t *options);

/** cq_engine_free() - free @engine and its runs */
void
cq_engine_free(cq_engine_t *engine);

/** cq_engine_add() - take a run; the engine owns it */
void
cq_engine_add(cq_engine_t *engine, cq_run_t *run);

/** cq_engine_cancel() - drop @run */
void
cq_engine_cancel(cq_engine_t *engine, cq_run_t *run);

/** cq_engine_reset() - lose everything, as by a crash */
void
cq_engine_reset(cq_engine_t *engine);

/** cq_engine_reserve() - hold memory; Return: whether there was room */
gboolean
cq_engine_reserve(cq_engine_t *engine, guint64 request, gint64 tokens,
                  gint64 expires_us);

/** cq_engine_release() - give up what @request holds */
void
cq_engine_release(cq_engine_t *engine, guint64 request);

/** cq_engine_load() - Return: the state now */
cq_engine_load_t
cq_engine_load(cq_engine_t *engine);

/** cq_engine_holdings() - append cq_holding_t rows to @out */
void
cq_engine_holdings(cq_engine_t *engine, GArray *out);

/** cq_engine_runs() - Return: head of the list of runs */
cq_list_t *
cq_engine_runs(cq_engine_t *engine);

G_END_DECLS

#endif
