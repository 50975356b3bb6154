/**
 * DOC: heap
 *
 * The emulator's agenda: callbacks at virtual times, those of one time in
 * the order in which they were added.
 */
#ifndef CQ_HEAP_H
#define CQ_HEAP_H

#include <glib.h>

G_BEGIN_DECLS

/** typedef cq_heap_run_t - what to do; @data is borrowed from the agenda's
 * user */
typedef void (*cq_heap_run_t)(void *world, void *data, guint64 number);

/**
 * struct cq_heap_t - the agenda
 * @items: a binary heap
 * @now_us: virtual time in microseconds
 * @added: items ever added
 */
typedef struct {
    GArray *items;
    gint64 now_us;
    guint64 added;
} cq_heap_t;

/** cq_heap_init() - make @heap empty, at time 0 */
void
cq_heap_init(cq_heap_t *heap);

/** cq_heap_clear() - free what @heap holds */
void
cq_heap_clear(cq_heap_t *heap);

/** cq_heap_add() - run @run with @data and @number at @at_us */
void
cq_heap_add(cq_heap_t *heap, gint64 at_us, cq_heap_run_t run, void *data,
            guint64 number);

/** cq_heap_step() - run the next item; FALSE when none is left before
 * @until_us */
gboolean
cq_heap_step(cq_heap_t *heap, gint64 until_us, void *world);

G_END_DECLS

#endif
