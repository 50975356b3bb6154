/**
 * DOC: outage
 *
 * Whether the platform's store itself was away, or only this host's way to it:
 * peers tell how long ago they read it. Entries lapse only while the store is
 * away, and are then written again within two seconds of its return.
 */
#ifndef CQ_OUTAGE_H
#define CQ_OUTAGE_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_outage_t - when the store was read
 * @read_us: when this host or a peer read it last, or 0
 * @returned_us: the first read after a time without any, or 0
 */
typedef struct {
    gint64 read_us;
    gint64 returned_us;
} cq_outage_t;

/** cq_outage_note_read() - this host or a peer read the store at @read_us */
void
cq_outage_note_read(cq_outage_t *outage, gint64 read_us);

/** cq_outage_is_unread() - Return: whether nobody is known to have read the
 * store for longer than reads take */
gboolean
cq_outage_is_unread(const cq_outage_t *outage, gint64 now_us);

/** cq_outage_lapsed_until_us() - Return: until when an entry that is found
 * missing now, and was removed before the store was read again, may have
 * lapsed in an outage; 0: it is gone */
gint64
cq_outage_lapsed_until_us(const cq_outage_t *outage, gint64 now_us);

G_END_DECLS

#endif
