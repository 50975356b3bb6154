#include "router/clock.h"

#include <time.h>

#include "base/limits.h"

#define NS_PER_US 1000

/* Unlike CLOCK_MONOTONIC, this also counts the time in which the host was
 * suspended. */
static gint64
boot_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_BOOTTIME, &now);
    return (gint64)now.tv_sec * CQ_SECOND_US + now.tv_nsec / NS_PER_US;
}

void
cq_clock_init(cq_clock_t *clock)
{
    clock->base_us = g_get_real_time() - boot_us();
    clock->gap_checked_us = 0;
}

gint64
cq_clock_now(const cq_clock_t *clock)
{
    return clock->base_us + boot_us();
}

gint64
cq_clock_gap(cq_clock_t *clock)
{
    gint64 before_us = clock->gap_checked_us;
    clock->gap_checked_us = cq_clock_now(clock);
    return before_us > 0 ? clock->gap_checked_us - before_us : 0;
}
