/**
 * DOC: partsync
 *
 * Exchanges reports on parts of prompts with the peers, so that every host
 * knows of a crash of an upstream within the time of a message. Hosts of other
 * zones that a message reaches forward it in their zone.
 */
#ifndef CQ_PARTSYNC_H
#define CQ_PARTSYNC_H

#include "router/link.h"
#include "router/links.h"
#include "wire/codec.h"

G_BEGIN_DECLS

typedef struct cq_partsync cq_partsync_t;

/** cq_partsync_new() - Return: an exchange over @links */
cq_partsync_t *
cq_partsync_new(cq_app_t *app, cq_links_t *links);

/** cq_partsync_free() - free it; queued reports are not sent */
void
cq_partsync_free(cq_partsync_t *sync);

/** cq_partsync_queue() - queue a report, which cq_partsync_flush() sends */
void
cq_partsync_queue(cq_partsync_t *sync, const cq_part_report_t *report);

/** cq_partsync_flush() - send the queued reports to all peers */
void
cq_partsync_flush(cq_partsync_t *sync);

/** cq_partsync_send_all() - send all that this process knows to a new peer */
void
cq_partsync_send_all(cq_partsync_t *sync, cq_link_t *link);

/** cq_partsync_receive() - apply reports of a peer in @zone; Return: FALSE
 * when the message is invalid */
gboolean
cq_partsync_receive(cq_partsync_t *sync, const Cq__PartReports *message,
                    const char *zone);

G_END_DECLS

#endif
