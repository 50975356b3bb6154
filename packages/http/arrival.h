/**
 * DOC: arrival
 *
 * Whether a response is arriving: single bytes that drip from a connection
 * whose other side has lost the rest don't count.
 */
#ifndef CQ_ARRIVAL_H
#define CQ_ARRIVAL_H

#include <glib.h>

G_BEGIN_DECLS

/** CQ_ARRIVAL_BYTES - a response is arriving while this many bytes of it come
 * within the time limits of its call */
#define CQ_ARRIVAL_BYTES 1024

/**
 * struct cq_arrival_t - what has come of a response
 * @heard_us: when its first bytes came, or the last CQ_ARRIVAL_BYTES were
 *   complete; 0: nothing has come
 * @bytes: what has come since
 */
typedef struct {
    gint64 heard_us;
    gsize bytes;
} cq_arrival_t;

/** cq_arrival_add() - note that @len bytes came at @now_us */
static inline void
cq_arrival_add(cq_arrival_t *arrival, gsize len, gint64 now_us)
{
    arrival->bytes += len;
    if (arrival->heard_us == 0 || arrival->bytes >= CQ_ARRIVAL_BYTES) {
        arrival->heard_us = now_us;
        arrival->bytes = 0;
    }
}

G_END_DECLS

#endif
