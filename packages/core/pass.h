/**
 * DOC: pass
 *
 * Where an engine stands in its passes. Every stream of an engine shows an
 * event at the end of a pass, so the events that this process passes on tell
 * when passes begin; in between, their ends follow from the cost model. A
 * prompt is read in the pass that begins after it was placed.
 */
#ifndef CQ_PASS_H
#define CQ_PASS_H

#include "core/state.h"

G_BEGIN_DECLS

/**
 * struct cq_pass_t - an engine as a request finds it
 * @streams: requests that write there or will
 * @memory: tokens held there
 * @context: context of the streams, as far as a step depends on it
 * @gap_us: shortest pause that one of them allows, or G_MAXINT64
 * @tight: streams that allow no longer one; a longer prompt counts as more
 *   than one
 * @writes: whether a stream writes
 * @steps_us: token steps of a pass
 * @left_us: time until the next pass begins
 * @queued_us: reading that waits for the next pass
 * @busy_us: time until what is being read or queued is read
 * @next_us: time until the first booking begins, or G_MAXINT64
 * @booked_us: longest booked part
 * @free_us: time until everything placed or booked is read
 */
typedef struct {
    gint64 streams;
    gint64 memory;
    gint64 context;
    gint64 gap_us;
    guint tight;
    gboolean writes;
    gint64 steps_us;
    gint64 left_us;
    gint64 queued_us;
    gint64 busy_us;
    gint64 next_us;
    gint64 booked_us;
    gint64 free_us;
} cq_pass_t;

/** cq_pass_seen() - an event of @engine arrived just now */
void
cq_pass_seen(const cq_core_t *core, cq_upstream_t *engine);

/** cq_pass_look() - where @engine stands now */
void
cq_pass_look(const cq_core_t *core, cq_upstream_t *engine, cq_pass_t *pass);

G_END_DECLS

#endif
