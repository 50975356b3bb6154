/**
 * DOC: speed
 *
 * What a model engine tells of its own speed: it works in passes, each a row
 * of token steps for the streams that write, with the reading of prompts in
 * between.
 */
#ifndef CQ_SPEED_H
#define CQ_SPEED_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_engine_speed_t - speed and size of one engine
 * @slots: requests at once
 * @memory_tokens: tokens of prompts and answers that it holds
 * @stride: token steps of a pass that has writers
 * @step_us: time of a token step
 * @stream_us: time that each stream adds to a step
 * @context_us: time that each token of a writer's context adds to a step
 * @read_us: time to read one token of a prompt
 * @pair_us: time that each pair of a token and an earlier one adds
 * @hop_us: time that reading or holding on other engines adds to a step
 */
typedef struct {
    gint64 slots;
    gint64 memory_tokens;
    gint64 stride;
    double step_us;
    double stream_us;
    double context_us;
    double read_us;
    double pair_us;
    double hop_us;
} cq_engine_speed_t;

G_END_DECLS

#endif
