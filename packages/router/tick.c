#include "router/tick.h"

#include "base/limits.h"

/* An iteration of the main loop that has taken this long has not yet read what
 * arrived meanwhile. */
#define STOOD_STILL_US (50 * CQ_MS_US)

static gboolean
on_timer(gpointer data)
{
    cq_tick_t *tick = data;
    gint64 iteration_us =
        g_get_monotonic_time() - g_source_get_time(g_main_current_source());
    tick->timer = 0;
    if (iteration_us > STOOD_STILL_US && !tick->postponed) {
        tick->postponed = TRUE;
        cq_tick_request(tick, 0);
        return G_SOURCE_REMOVE;
    }
    tick->postponed = FALSE;
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
