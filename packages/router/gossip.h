/**
 * DOC: gossip
 *
 * Exchange of the store's records between peers: from the hosts that read the
 * store to the others of their zone, and to a process that the store does not
 * answer.
 */
#ifndef CQ_GOSSIP_H
#define CQ_GOSSIP_H

#include "platform/store.h"
#include "router/follower.h"
#include "router/link.h"

G_BEGIN_DECLS

/** cq_gossip_config_version() - Return: the version of the configuration in
 * force, or 0; @follower may be NULL */
guint64
cq_gossip_config_version(const cq_follower_t *follower);

/** cq_gossip_send() - send over @link the records that its peer lacks
 * according to the offsets in its summary, and the configuration in force if
 * the store doesn't have it any more */
void
cq_gossip_send(cq_app_t *app, cq_link_t *link, const Cq__Summary *summary);

/**
 * cq_gossip_push() - send the peers of this zone records that were read just
 * now
 * @app: the app
 * @topic: their topic
 * @records: array of cq_store_record_t: all records of the topic from offset
 *   @from up to, but without, @at
 * @from: offset
 * @at: offset
 */
void
cq_gossip_push(cq_app_t *app, cq_topic_t topic, const GArray *records,
               guint64 from, guint64 at);

/** cq_gossip_receive() - apply records sent by a peer; Return: FALSE if the
 * frame is invalid or this process has no copy of the store */
gboolean
cq_gossip_receive(cq_app_t *app, const Cq__Records *records);

G_END_DECLS

#endif
