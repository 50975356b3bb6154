/**
 * DOC: batch
 *
 * How long engines that work in passes take: the cost model behind the
 * placement of BATCH services. Times are in microseconds.
 */
#ifndef CQ_BATCH_H
#define CQ_BATCH_H

#include "base/speed.h"

G_BEGIN_DECLS

/** cq_batchcost_prefill_us() - Return: time to read a prompt of @tokens alone.
 * Each token also costs its pairs with all earlier ones, so that the time
 * grows with the square of the length */
gint64
cq_batchcost_prefill_us(const cq_engine_speed_t *engine, gint64 tokens);

/** cq_batchcost_decode_us() - Return: time of a pass's token steps for
 * @streams that write with @context tokens in all, without any reading */
gint64
cq_batchcost_decode_us(const cq_engine_speed_t *engine, gint64 streams,
                       gint64 context);

G_END_DECLS

#endif
