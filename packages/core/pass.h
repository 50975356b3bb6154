/**
 * DOC: pass
 *
 * Estimates the state of an engine that works in passes. A pass is a fixed
 * number of decode steps for all running streams, plus the prefill of prompts
 * that were placed before it began. At the end of a pass every stream emits an
 * event, so the events that arrive here show when passes begin; times of
 * passes without an event are computed from the cost model.
 */
#ifndef CQ_PASS_H
#define CQ_PASS_H

#include "core/state.h"

G_BEGIN_DECLS

/**
 * struct cq_pass_t - estimated state of an engine. Times are relative to now
 * @streams: requests that decode there or will
 * @kv_tokens: tokens held there
 * @context_tokens: total context that one decode step reads
 * @gap_max_us: lowest gap limit of its streams (the longest allowed time
 *   between events of a stream), or G_MAXINT64
 * @tight_streams: streams whose gap limit is @gap_max_us; one with a long
 *   prompt counts as several
 * @decoding: whether a stream decodes
 * @decode_us: time of the decode steps of a pass
 * @remaining_us: time until the next pass begins
 * @queued_us: prefill that is queued for the next pass
 * @busy_us: time until all prefill that has begun or is queued is done
 * @next_booking_us: time until the first booked part begins, or G_MAXINT64
 * @booked_part_us: prefill time of the longest booked part
 * @idle_after_us: time until all prefill placed or booked there is done
 */
typedef struct {
    gint64 streams;
    gint64 kv_tokens;
    gint64 context_tokens;
    gint64 gap_max_us;
    guint tight_streams;
    gboolean decoding;
    gint64 decode_us;
    gint64 remaining_us;
    gint64 queued_us;
    gint64 busy_us;
    gint64 next_booking_us;
    gint64 booked_part_us;
    gint64 idle_after_us;
} cq_pass_t;

/** cq_pass_observe() - note that an event of @engine arrived just now */
void
cq_pass_observe(const cq_core_t *core, cq_upstream_t *engine);

/** cq_pass_estimate() - fill @pass with the current state of @engine */
void
cq_pass_estimate(const cq_core_t *core, cq_upstream_t *engine,
                 cq_pass_t *pass);

G_END_DECLS

#endif
