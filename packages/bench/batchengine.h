/**
 * DOC: batchengine
 *
 * An emulated engine that computes in forward passes: each pass makes a fixed
 * number of decode steps for its streams and prefills prompts in between, in
 * order of arrival.
 */
#ifndef CQ_BATCHENGINE_H
#define CQ_BATCHENGINE_H

#include "base/speed.h"

G_BEGIN_DECLS

typedef struct cq_batch_engine cq_batch_engine_t;

/**
 * struct cq_batch_engine_ops_t - called at the end of a pass
 * @prefilled: the engine has prefilled the prompt tokens of request @id that
 *   were queued on it
 * @decoded: it emitted an event of request @id; @left events are to come
 * @data: passed to each
 */
typedef struct {
    void (*prefilled)(cq_batch_engine_t *engine, guint64 id, void *data);
    void (*decoded)(cq_batch_engine_t *engine, guint64 id, guint left,
                    void *data);
    void *data;
} cq_batch_engine_ops_t;

/** cq_batch_engine_new() - Return: an idle engine; both arguments are copied
 */
cq_batch_engine_t *
cq_batch_engine_new(const cq_engine_speed_t *speed,
                    const cq_batch_engine_ops_t *ops);

/** cq_batch_engine_free() - free @engine */
void
cq_batch_engine_free(cq_batch_engine_t *engine);

/** cq_batch_engine_prefill() - queue @tokens of request @id, whose prefill
 * takes @prefill_us; shards of prompts go ahead of whole prompts */
void
cq_batch_engine_prefill(cq_batch_engine_t *engine, guint64 id, gint64 tokens,
                        gint64 prefill_us, gboolean is_shard);

/** cq_batch_engine_decode() - emit @events of request @id, one a pass, from
 * the next pass on; @context_tokens of its prompt are on this engine */
void
cq_batch_engine_decode(cq_batch_engine_t *engine, guint64 id,
                       gint64 context_tokens, guint events);

/** cq_batch_engine_cancel() - remove all work of request @id */
void
cq_batch_engine_cancel(cq_batch_engine_t *engine, guint64 id);

/** cq_batch_engine_begin_pass() - begin a pass
 *
 * Return: its duration in microseconds, after which the caller calls
 * cq_batch_engine_end_pass(); 0 if there is no work or a pass is running
 */
gint64
cq_batch_engine_begin_pass(cq_batch_engine_t *engine);

/** cq_batch_engine_end_pass() - end the pass and call back for its results */
void
cq_batch_engine_end_pass(cq_batch_engine_t *engine);

/** cq_batch_engine_streams() - Return: number of streams that decode */
guint
cq_batch_engine_streams(const cq_batch_engine_t *engine);

G_END_DECLS

#endif
