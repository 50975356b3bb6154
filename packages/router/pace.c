#include "router/pace.h"

#include "base/limits.h"

static gboolean
on_timer(gpointer data)
{
    cq_pace_t *pace = data;
    pace->timer = 0;
    pace->run(pace->data);
    /* No effect if run() has set an earlier tick or stopped the timer. */
    cq_pace_need(pace, CQ_IDLE_TICK_US);
    return G_SOURCE_REMOVE;
}

void
cq_pace_start(cq_pace_t *pace, void (*run)(void *data), void *data)
{
    *pace = (cq_pace_t){.run = run, .data = data};
    cq_pace_need(pace, CQ_TICK_US);
}

void
cq_pace_need(cq_pace_t *pace, gint64 us)
{
    if (pace->run == NULL || cq_pace_near(pace, us)) {
        return;
    }
    if (pace->timer != 0) {
        g_source_remove(pace->timer);
    }
    pace->delay_us = us;
    pace->timer = g_timeout_add((guint)(us / CQ_MS_US), on_timer, pace);
}

gboolean
cq_pace_near(const cq_pace_t *pace, gint64 us)
{
    return pace->timer != 0 && pace->delay_us <= us;
}

gboolean
cq_pace_stop(cq_pace_t *pace)
{
    gboolean was_started = pace->run != NULL;
    if (pace->timer != 0) {
        g_source_remove(pace->timer);
    }
    *pace = (cq_pace_t){.run = NULL};
    return was_started;
}
