#include "core/batch.h"

gint64
cq_batchcost_prefill_us(const cq_engine_speed_t *engine, gint64 tokens)
{
    double n = (double)MAX(tokens, 0);
    return (gint64)(n * engine->read_us + n * n / 2 * engine->pair_us);
}

gint64
cq_batchcost_decode_us(const cq_engine_speed_t *engine, gint64 streams,
                       gint64 context)
{
    double step_us = engine->step_us + engine->stream_us * (double)streams +
                     engine->context_us * (double)context;
    return (gint64)((double)engine->stride * step_us);
}
