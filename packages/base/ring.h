/**
 * DOC: ring
 *
 * The event history of one process: a ring buffer of the newest events. Each
 * is stamped by a hybrid logical clock (Kulkarni et al., "Logical Physical
 * Clocks", 2014), so that the events of all processes can be merged in causal
 * order.
 */
#ifndef CQ_RING_H
#define CQ_RING_H

#include <glib.h>

#include "limits.h"

G_BEGIN_DECLS

/**
 * struct cq_hlc_t - a hybrid logical clock
 * @wall_us: latest physical time seen, of the local clock or in a message
 *   from a peer
 * @logical: counter that orders events of the same @wall_us
 */
typedef struct {
    gint64 wall_us;
    guint32 logical;
} cq_hlc_t;

/**
 * struct cq_ring_event_t - an event
 * @hlc: when it was added
 * @request: the request's id, or 0
 * @attempt: the attempt's number, or 0
 * @kind: name of the event, a string literal
 * @text: `key=value` fields
 */
typedef struct {
    cq_hlc_t hlc;
    guint64 request;
    guint32 attempt;
    const char *kind;
    char text[CQ_EVENT_TEXT_BYTES];
} cq_ring_event_t;

/**
 * struct cq_ring_t - the ring buffer
 * @clock: the clock of the process
 * @events: event number n is at index n modulo @capacity
 * @capacity: number of @events
 * @count: number of events added since cq_ring_init()
 */
typedef struct {
    cq_hlc_t clock;
    cq_ring_event_t *events;
    guint64 capacity;
    guint64 count;
} cq_ring_t;

/** cq_ring_init() - initialize @ring to keep the newest @capacity events */
void
cq_ring_init(cq_ring_t *ring, guint64 capacity);

/** cq_ring_clear() - free the memory of @ring */
void
cq_ring_clear(cq_ring_t *ring);

/** cq_ring_observe() - advance the clock to @seen, received from a peer, if
 * that is later */
void
cq_ring_observe(cq_ring_t *ring, cq_hlc_t seen);

/**
 * cq_ring_add() - add an event
 * @ring: the ring
 * @now_us: physical time
 * @request: the request's id, or 0
 * @attempt: the attempt's number, or 0
 * @kind: name of the event; the pointer is kept
 * @format: printf format of @text; what exceeds CQ_EVENT_TEXT_BYTES is cut
 */
void
cq_ring_add(cq_ring_t *ring, gint64 now_us, guint64 request, guint32 attempt,
            const char *kind, const char *format, ...) G_GNUC_PRINTF(6, 7);

/** cq_ring_first() - Return: number of the oldest event that is kept */
guint64
cq_ring_first(const cq_ring_t *ring);

/** cq_ring_at() - Return: event number @n, which must still be kept */
const cq_ring_event_t *
cq_ring_at(const cq_ring_t *ring, guint64 n);

G_END_DECLS

#endif
