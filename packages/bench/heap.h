/**
 * DOC: heap
 *
 * The emulator's event queue: callbacks ordered by virtual time; callbacks
 * of the same time run in the order in which they were added.
 */
#ifndef CQ_HEAP_H
#define CQ_HEAP_H

#include <glib.h>

G_BEGIN_DECLS

/** typedef cq_heap_callback_t - called at its virtual time; @context is the
 * argument of cq_heap_step(), @data and @number those of cq_heap_add(). The
 * queue does not own @data */
typedef void (*cq_heap_callback_t)(void *context, void *data, guint64 number);

/**
 * struct cq_heap_t - the event queue
 * @items: a binary min-heap ordered by time, then by insertion
 * @now_us: current virtual time in microseconds
 * @added: number of callbacks added so far
 */
typedef struct {
    GArray *items;
    gint64 now_us;
    guint64 added;
} cq_heap_t;

/** cq_heap_init() - initialise an empty queue at time 0 */
void
cq_heap_init(cq_heap_t *heap);

/** cq_heap_clear() - free the queue's memory; pending callbacks do not run */
void
cq_heap_clear(cq_heap_t *heap);

/** cq_heap_add() - call @callback with @data and @number at @at_us, or at the
 * current virtual time if @at_us is past */
void
cq_heap_add(cq_heap_t *heap, gint64 at_us, cq_heap_callback_t callback,
            void *data, guint64 number);

/** cq_heap_step() - advance virtual time to the next callback and run it
 *
 * Return: FALSE, with nothing run, if no callback is due by @until_us
 */
gboolean
cq_heap_step(cq_heap_t *heap, gint64 until_us, void *context);

G_END_DECLS

#endif
