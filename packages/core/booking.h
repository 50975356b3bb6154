/**
 * DOC: booking
 *
 * Bookings: queued requests whose engines are reserved for a later start.
 * Hosts book without asking each other, receive each other's bookings, and
 * resolve conflicts by the same rule.
 */
#ifndef CQ_BOOKING_H
#define CQ_BOOKING_H

#include "core/state.h"

G_BEGIN_DECLS

/* A part is not given to an engine whose prefill that has begun or is queued
 * takes longer than this: engines run the newest prefill first, so that the
 * part would delay what was placed before. */
#define CQ_BOOKING_PENDING_MAX_US (30 * CQ_MS_US)

/** cq_booking_usable() - Return: whether all engines of @task still accept
 * work */
gboolean
cq_booking_usable(const cq_core_t *core, const cq_task_t *task);

/** cq_booking_superseded() - Return: whether another task uses an engine of
 * the booked task @own at the same time and has precedence. Every host comes
 * to the same result, so @own must be dropped and its request booked anew */
gboolean
cq_booking_superseded(const cq_task_t *own);

/** cq_booking_due() - Return: whether the booked task @own can be sent: its
 * start time has come and its engines have prefilled what was placed before
 * it */
gboolean
cq_booking_due(const cq_core_t *core, const cq_task_t *own);

G_END_DECLS

#endif
