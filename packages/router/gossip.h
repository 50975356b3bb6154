/**
 * DOC: gossip
 *
 * Exchange of the store's records between peers, so that a process that the
 * store does not answer gets them from peers that can read it.
 */
#ifndef CQ_GOSSIP_H
#define CQ_GOSSIP_H

#include "router/link.h"

G_BEGIN_DECLS

/** cq_gossip_send() - send over @link the records that its peer lacks
 * according to the offsets in its summary */
void
cq_gossip_send(cq_app_t *app, cq_link_t *link, const Cq__Summary *summary);

/** cq_gossip_receive() - apply records sent by a peer; Return: FALSE if the
 * frame is invalid or this process has no copy of the store */
gboolean
cq_gossip_receive(cq_app_t *app, const Cq__Records *records);

G_END_DECLS

#endif
