/**
 * DOC: sse
 *
 * Splits an event stream (text/event-stream) into events. Only complete events
 * are forwarded: the incomplete rest of a broken stream never is, and the next
 * attempt resumes after the last complete event.
 */
#ifndef CQ_SSE_H
#define CQ_SSE_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * cq_sse_take() - move complete events from @unparsed to @events
 * @unparsed: bytes of the stream; keeps those of an incomplete event
 * @events: complete events are appended to it, except those that the caller
 *   already has, by their ids
 * @last_event: id of the last event that the caller has, or -1; updated
 *
 * Return: number of events appended.
 */
gint64
cq_sse_take(GByteArray *unparsed, GByteArray *events, gint64 *last_event);

G_END_DECLS

#endif
