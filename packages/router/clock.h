/**
 * DOC: clock
 *
 * A clock that also advances while the host is suspended. It can measure the
 * time between two checks, which shows whether the process was suspended.
 */
#ifndef CQ_CLOCK_H
#define CQ_CLOCK_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_clock_t - a monotonic clock that starts at the wall-clock time
 * @base_us: added to the time since the host booted
 * @gap_checked_us: time of the last call of cq_clock_gap(), or 0
 */
typedef struct {
    gint64 base_us;
    gint64 gap_checked_us;
} cq_clock_t;

/** cq_clock_init() - set the clock to the wall-clock time */
void
cq_clock_init(cq_clock_t *clock);

/** cq_clock_now() - Return: the time in microseconds */
gint64
cq_clock_now(const cq_clock_t *clock);

/** cq_clock_gap() - Return: microseconds since this function was last called;
 * 0 if this is the first call */
gint64
cq_clock_gap(cq_clock_t *clock);

G_END_DECLS

#endif
