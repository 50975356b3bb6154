/**
 * DOC: batchcost
 *
 * Cost model of engines that work in passes, for the placement of BATCH
 * services: how long prefill and decode steps take, in microseconds.
 */
#ifndef CQ_BATCHCOST_H
#define CQ_BATCHCOST_H

#include "base/speed.h"

G_BEGIN_DECLS

/** cq_batchcost_prefill_us() - Return: prefill time of a prompt of @tokens on
 * one engine. Attention pairs each token with all earlier ones, so part of the
 * time grows with the square of the length */
gint64
cq_batchcost_prefill_us(const cq_engine_speed_t *speed, gint64 tokens);

/** cq_batchcost_decode_us() - Return: time of a pass's decode steps for
 * @streams streams that have @context tokens of context in total, without
 * prefill */
gint64
cq_batchcost_decode_us(const cq_engine_speed_t *speed, gint64 streams,
                       gint64 context);

G_END_DECLS

#endif
