/**
 * DOC: clock
 *
 * A clock that goes on while the host is suspended, and that tells when this
 * process stood still.
 */
#ifndef CQ_CLOCK_H
#define CQ_CLOCK_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_clock_t - a clock near the wall clock that never goes back
 * @base_us: what is added to the time since the host started
 * @looked_us: when cq_clock_gap() was last asked, or 0
 */
typedef struct {
    gint64 base_us;
    gint64 looked_us;
} cq_clock_t;

/** cq_clock_init() - set the clock by the time of day */
void
cq_clock_init(cq_clock_t *clock);

/** cq_clock_now() - Return: the time in microseconds */
gint64
cq_clock_now(const cq_clock_t *clock);

/** cq_clock_gap() - Return: time since the last call, or 0 at the first */
gint64
cq_clock_gap(cq_clock_t *clock);

G_END_DECLS

#endif
