/**
 * DOC: book
 *
 * Requests that have engines booked for when they are free. Hosts book without
 * asking each other, hear of each other's bookings, and settle collisions by
 * the same rule.
 */
#ifndef CQ_BOOK_H
#define CQ_BOOK_H

#include "core/state.h"

G_BEGIN_DECLS

/* An engine that has more to read than this is not asked to read a part: the
 * newest reading goes first there, and would delay what was placed before. */
#define CQ_BOOK_PENDING_US (30 * CQ_MS_US)

/** cq_book_usable() - Return: whether the engines of @task can still be used
 */
gboolean
cq_book_usable(const cq_core_t *core, const cq_task_t *task);

/** cq_book_beaten() - Return: whether another request has an engine of the
 * booked task @own at the same time and goes before it. Every host comes to
 * the same result, and the loser books anew */
gboolean
cq_book_beaten(const cq_task_t *own);

/** cq_book_due() - Return: whether the engines of the booked task @own have
 * read what came before it */
gboolean
cq_book_due(const cq_core_t *core, const cq_task_t *own);

G_END_DECLS

#endif
