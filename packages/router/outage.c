#include "router/outage.h"

#include "base/limits.h"

/* Entries that lapsed in an outage are back within this time of its end. */
#define LAPSED_US (2 * CQ_SECOND_US)
/* Readers, and the summaries that tell of them, leave at most this time
 * between two reads that a host knows of. */
#define UNREAD_US (2500 * CQ_MS_US)

void
cq_outage_note_read(cq_outage_t *outage, gint64 read_us)
{
    if (outage->read_us != 0 && read_us - outage->read_us > UNREAD_US) {
        outage->returned_us = read_us;
    }
    outage->read_us = MAX(outage->read_us, read_us);
}

gboolean
cq_outage_is_unread(const cq_outage_t *outage, gint64 now_us)
{
    return outage->read_us != 0 && now_us - outage->read_us > UNREAD_US;
}

gint64
cq_outage_lapsed_until_us(const cq_outage_t *outage, gint64 now_us)
{
    if (cq_outage_is_unread(outage, now_us)) {
        return now_us + LAPSED_US;
    }
    gint64 until_us = outage->returned_us + LAPSED_US;
    return outage->returned_us != 0 && now_us < until_us ? until_us : 0;
}
