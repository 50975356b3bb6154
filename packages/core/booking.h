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

/* A part of a long prompt does not begin on an engine while the engine's
 * unfinished prefill takes longer than this: engines run the newest prefill
 * first, so the part would delay what was placed before. */
#define CQ_BOOKING_PENDING_MAX_US (30 * CQ_MS_US)

/** cq_booking_usable() - Return: whether all engines that @request has booked
 * still belong to its service and accept work */
gboolean
cq_booking_usable(const cq_core_t *core, const cq_request_t *request);

/** cq_booking_superseded() - Return: whether another task uses an engine of
 * the booked task @own at the same time and has precedence. Every host comes
 * to the same result. @own must then be dropped and its request booked anew */
gboolean
cq_booking_superseded(const cq_task_t *own);

/** cq_booking_due() - Return: whether the booked task @own can be sent: its
 * start time has come and its engines have prefilled what was placed before
 * it, or the start time has passed too long ago to wait any longer */
gboolean
cq_booking_due(const cq_core_t *core, const cq_task_t *own);

G_END_DECLS

#endif
