/**
 * DOC: events
 *
 * Splits the bytes of an event stream into whole events.
 */
#ifndef CQ_EVENTS_H
#define CQ_EVENTS_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_events_t - a stream as far as it has been split
 * @unparsed: bytes that are not yet split
 * @blank_len: length of the blank lines at the beginning of @unparsed; they
 *   belong to the event that follows them
 * @searched_len: bytes of @unparsed in which no event ends
 * @whole: events that the caller is to get
 * @last: the highest id of an event so far, or -1; events with lower ids are
 *   skipped
 * @resumes: the caller has the events up to @last from another attempt
 */
typedef struct {
    GByteArray *unparsed;
    gsize blank_len;
    gsize searched_len;
    GByteArray *whole;
    gint64 last;
    gboolean resumes;
} cq_events_t;

/**
 * struct cq_events_split_t - what cq_events_split() found
 * @count: events that were moved to &cq_events_t.whole
 * @unnumbered: some of them have no id, so that the stream can't be resumed
 * @unfit: an event without an id in a stream that resumes another one; it may
 *   be one that the caller has
 */
typedef struct {
    gint64 count;
    gboolean unnumbered;
    gboolean unfit;
} cq_events_split_t;

/** cq_events_split() - move the events that are whole; the incomplete rest of
 * a broken stream is never moved, as the next attempt resumes after the last
 * whole event */
cq_events_split_t
cq_events_split(cq_events_t *events);

/** cq_events_is_torn() - Return: whether an event has begun and not ended */
gboolean
cq_events_is_torn(const cq_events_t *events);

G_END_DECLS

#endif
