/**
 * DOC: follower
 *
 * Keeps a copy of three topics of the platform's store: the configuration,
 * the upstreams and the entry hosts. Each copy is a table of keys with the
 * newest record of each key and its offset. Records come from the store or,
 * when the store does not answer this process, from peers that can read it.
 */
#ifndef CQ_FOLLOWER_H
#define CQ_FOLLOWER_H

#include "config/routes.h"
#include "platform/store.h"
#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_follower cq_follower_t;

/** cq_follower_new() - Return: a follower that has started to read the topics
 * and to write this host's own entry */
cq_follower_t *
cq_follower_new(cq_app_t *app);

/** cq_follower_free() - stop reading and free */
void
cq_follower_free(cq_follower_t *follower);

/** cq_follower_ready() - Return: whether a configuration is known and the
 * upstreams have been received, from the store or a peer, since this process
 * started or was last suspended */
gboolean
cq_follower_ready(const cq_follower_t *follower);

/** cq_follower_deregister() - delete this host's entry from the store */
void
cq_follower_deregister(cq_follower_t *follower);

/** cq_follower_reread() - discard the reads in progress and start new ones;
 * to be called after a suspension of this process */
void
cq_follower_reread(cq_follower_t *follower);

/** cq_follower_offset() - Return: offset after the last known record of @topic
 */
guint64
cq_follower_offset(const cq_follower_t *follower, cq_topic_t topic);

/** typedef cq_follower_visit_t - called with a record that a peer lacks */
typedef void (*cq_follower_visit_t)(cq_topic_t topic,
                                    const cq_store_record_t *record,
                                    void *data);

/**
 * cq_follower_list_missing() - list the records that a peer lacks
 * @follower: the follower
 * @topic: the topic
 * @at: offset after the last record that the peer knows
 * @visit: called with each newer record, but only if the peer is so far
 *   behind that it is not reading the store itself
 * @data: passed to @visit
 *
 * Return: whether the peer is that far behind.
 */
gboolean
cq_follower_list_missing(cq_follower_t *follower, cq_topic_t topic, guint64 at,
                         cq_follower_visit_t visit, void *data);

/** cq_follower_add_record() - add a record received from a peer to the copy of
 * @topic; no effect if a newer record of the same key is known */
void
cq_follower_add_record(cq_follower_t *follower, cq_topic_t topic,
                       const cq_store_record_t *record);

/** cq_follower_set_offset() - note that a peer has sent all records of @topic
 * before offset @at */
void
cq_follower_set_offset(cq_follower_t *follower, cq_topic_t topic, guint64 at);

G_END_DECLS

#endif
