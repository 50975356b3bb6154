#include "router/tick.h"

#include "base/limits.h"

static gboolean
on_timer(gpointer data)
{
    cq_tick_t *tick = data;
    tick->timer = 0;
    tick->run(tick->data);
    /* No effect if run() has set an earlier tick or stopped the timer. */
    cq_tick_request(tick, CQ_IDLE_TICK_US);
    return G_SOURCE_REMOVE;
}

void
cq_tick_start(cq_tick_t *tick, void (*run)(void *data), void *data)
{
    *tick = (cq_tick_t){.run = run, .data = data};
    cq_tick_request(tick, CQ_TICK_US);
}

void
cq_tick_request(cq_tick_t *tick, gint64 us)
{
    if (tick->run == NULL || cq_tick_within(tick, us)) {
        return;
    }
    if (tick->timer != 0) {
        g_source_remove(tick->timer);
    }
    tick->delay_us = us;
    tick->timer = g_timeout_add((guint)(us / CQ_MS_US), on_timer, tick);
}

gboolean
cq_tick_within(const cq_tick_t *tick, gint64 us)
{
    return tick->timer != 0 && tick->delay_us <= us;
}

gboolean
cq_tick_stop(cq_tick_t *tick)
{
    gboolean was_started = tick->run != NULL;
    if (tick->timer != 0) {
        g_source_remove(tick->timer);
    }
    *tick = (cq_tick_t){.run = NULL};
    return was_started;
}
