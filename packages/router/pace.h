/**
 * DOC: pace
 *
 * When the next tick is due: soon while a request waits, later otherwise.
 */
#ifndef CQ_PACE_H
#define CQ_PACE_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_pace_t - the next tick
 * @run: what a tick does
 * @data: passed to @run
 * @timer: source of the next tick, or 0
 * @away_us: how far away the tick was when it was set
 */
typedef struct {
    void (*run)(void *data);
    void *data;
    guint timer;
    gint64 away_us;
} cq_pace_t;

/** cq_pace_start() - call @run at each tick from now on */
void
cq_pace_start(cq_pace_t *pace, void (*run)(void *data), void *data);

/** cq_pace_need() - the next tick is due in @us at the latest; without effect
 * before cq_pace_start() */
void
cq_pace_need(cq_pace_t *pace, gint64 us);

/** cq_pace_near() - Return: whether the next tick was set for @us or less */
gboolean
cq_pace_near(const cq_pace_t *pace, gint64 us);

/** cq_pace_stop() - no further ticks; Return: whether there were any */
gboolean
cq_pace_stop(cq_pace_t *pace);

G_END_DECLS

#endif
