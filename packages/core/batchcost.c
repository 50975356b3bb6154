#include "core/batchcost.h"

gint64
cq_batchcost_prefill_us(const cq_engine_speed_t *speed, gint64 tokens)
{
    double n = (double)MAX(tokens, 0);
    return (gint64)(n * speed->prefill_token_us + n * n / 2 * speed->pair_us);
}

gint64
cq_batchcost_decode_us(const cq_engine_speed_t *speed, gint64 streams,
                       gint64 context)
{
    double step_us = speed->step_us + speed->stream_us * (double)streams +
                     speed->context_us * (double)context;
    return (gint64)((double)speed->steps_per_pass * step_us);
}
