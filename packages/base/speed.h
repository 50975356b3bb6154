/**
 * DOC: speed
 *
 * Cost model of an inference engine with continuous batching. The engine works
 * in passes. In each pass it runs a fixed number of decode steps for all
 * streams that are decoding; between passes it prefills prompts.
 */
#ifndef CQ_SPEED_H
#define CQ_SPEED_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_engine_speed_t - speed and size of one engine
 * @slots: maximum number of concurrent requests
 * @memory_tokens: KV cache memory in tokens of prompts and answers
 * @steps_per_pass: decode steps in a pass
 * @step_us: base time of a decode step
 * @stream_us: time that each decoding stream adds to a step
 * @context_us: time that each token of a decoding stream's context adds to a
 *   step
 * @prefill_token_us: prefill time of one prompt token
 * @pair_us: attention cost of prefill: time per pair of a prompt token and an
 *   earlier one
 * @hop_us: time added to a step if other engines prefill or hold part of the
 *   prompt
 */
typedef struct {
    gint64 slots;
    gint64 memory_tokens;
    gint64 steps_per_pass;
    double step_us;
    double stream_us;
    double context_us;
    double prefill_token_us;
    double pair_us;
    double hop_us;
} cq_engine_speed_t;

G_END_DECLS

#endif
