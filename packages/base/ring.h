/**
 * DOC: ring
 *
 * The time line of one process: a bounded ring of events, each stamped by a
 * hybrid logical clock so that the rings of all processes merge into one
 * order (Kulkarni et al., "Logical Physical Clocks", 2014).
 */
#ifndef CQ_RING_H
#define CQ_RING_H

#include <glib.h>

#include "limits.h"

G_BEGIN_DECLS

/**
 * struct cq_hlc_t - a hybrid logical clock
 * @wall_us: the largest physical time seen, in microseconds
 * @logical: orders events of the same @wall_us
 */
typedef struct {
    gint64 wall_us;
    guint32 logical;
} cq_hlc_t;

/**
 * struct cq_ring_event_t - one change of state
 * @hlc: when
 * @request: the request's id, or 0
 * @attempt: the attempt's number, or 0
 * @kind: what changed, a constant string
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
 * struct cq_ring_t - the ring
 * @clock: the clock after the newest event
 * @events: the slots
 * @capacity: number of slots
 * @count: events ever written
 */
typedef struct {
    cq_hlc_t clock;
    cq_ring_event_t *events;
    guint64 capacity;
    guint64 count;
} cq_ring_t;

/** cq_ring_init() - make @ring hold the newest @capacity events */
void
cq_ring_init(cq_ring_t *ring, guint64 capacity);

/** cq_ring_clear() - free what @ring holds */
void
cq_ring_clear(cq_ring_t *ring);

/** cq_ring_observe() - move the clock past @seen, which a peer sent */
void
cq_ring_observe(cq_ring_t *ring, cq_hlc_t seen);

/**
 * cq_ring_add() - write one event
 * @ring: the ring
 * @now_us: physical time in microseconds
 * @request: the request's id, or 0
 * @attempt: the attempt's number, or 0
 * @kind: a constant string
 * @format: printf format of the fields; longer text is cut
 */
void
cq_ring_add(cq_ring_t *ring, gint64 now_us, guint64 request, guint32 attempt,
            const char *kind, const char *format, ...) G_GNUC_PRINTF(6, 7);

/** cq_ring_first() - Return: the number of the oldest event still held */
guint64
cq_ring_first(const cq_ring_t *ring);

/** cq_ring_at() - Return: event number @n, which must still be held */
const cq_ring_event_t *
cq_ring_at(const cq_ring_t *ring, guint64 n);

G_END_DECLS

#endif
