#include "ring.h"

#include <stdarg.h>

static void
advance_clock(cq_hlc_t *clock, gint64 now_us)
{
    if (now_us > clock->wall_us) {
        clock->wall_us = now_us;
        clock->logical = 0;
    }
    else {
        clock->logical++;
    }
}

void
cq_ring_init(cq_ring_t *ring, guint64 capacity)
{
    *ring = (cq_ring_t){.capacity = capacity};
    ring->events = g_new0(cq_ring_event_t, capacity);
}

void
cq_ring_clear(cq_ring_t *ring)
{
    g_free(ring->events);
    ring->events = NULL;
}

void
cq_ring_observe(cq_ring_t *ring, cq_hlc_t seen)
{
    gboolean later = seen.wall_us > ring->clock.wall_us;
    gboolean same = seen.wall_us == ring->clock.wall_us;
    if (later || (same && seen.logical > ring->clock.logical)) {
        ring->clock = seen;
    }
}

void
cq_ring_add(cq_ring_t *ring, gint64 now_us, guint64 request, guint32 attempt,
            const char *kind, const char *format, ...)
{
    advance_clock(&ring->clock, now_us);
    cq_ring_event_t *event = &ring->events[ring->count % ring->capacity];
    event->hlc = ring->clock;
    event->request = request;
    event->attempt = attempt;
    event->kind = kind;
    va_list args;
    va_start(args, format);
    g_vsnprintf(event->text, sizeof event->text, format, args);
    va_end(args);
    ring->count++;
}

guint64
cq_ring_first(const cq_ring_t *ring)
{
    return ring->count > ring->capacity ? ring->count - ring->capacity : 0;
}

const cq_ring_event_t *
cq_ring_at(const cq_ring_t *ring, guint64 n)
{
    g_assert(n >= cq_ring_first(ring) && n < ring->count);
    return &ring->events[n % ring->capacity];
}
