/**
 * DOC: tick
 *
 * Timer of the core's ticks. A tick that needs to come earlier can be
 * requested; without a request the next one comes after CQ_IDLE_TICK_US. If
 * the process stood still, what has arrived meanwhile is read before a tick.
 */
#ifndef CQ_TICK_H
#define CQ_TICK_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_tick_t - the timer of the next tick
 * @run: called at each tick; NULL when stopped
 * @data: passed to @run
 * @timer: id of the GLib source of the next tick, or 0
 * @delay_us: delay with which @timer was set
 * @postponed: the last tick was put off to the next iteration of the main loop
 */
typedef struct {
    void (*run)(void *data);
    void *data;
    guint timer;
    gint64 delay_us;
    gboolean postponed;
} cq_tick_t;

/** cq_tick_start() - start ticks that call @run; the first one comes after
 * CQ_TICK_US */
void
cq_tick_start(cq_tick_t *tick, void (*run)(void *data), void *data);

/** cq_tick_request() - let the next tick come after at most @us microseconds;
 * no effect if the ticks are not started */
void
cq_tick_request(cq_tick_t *tick, gint64 us);

/** cq_tick_within() - Return: whether the timer of the next tick was set with
 * a delay of at most @us microseconds */
gboolean
cq_tick_within(const cq_tick_t *tick, gint64 us);

/** cq_tick_stop() - stop the ticks; Return: whether they had been started */
gboolean
cq_tick_stop(cq_tick_t *tick);

G_END_DECLS

#endif
