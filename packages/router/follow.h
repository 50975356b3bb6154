/**
 * DOC: follower
 *
 * Keeps a copy of three topics of the platform's store: the configuration,
 * the upstreams and the entry hosts. Each copy is a table of keys with the
 * newest record of each key and its offset. Records come from the store or,
 * when the store does not answer this process, from peers that can read it.
 */
#ifndef CQ_FOLLOW_H
#define CQ_FOLLOW_H

#include "config/routes.h"
#include "platform/store.h"
#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_follow cq_follow_t;

/** cq_follow_new() - Return: a follower that has started to read the topics
 * and to write this host's own entry */
cq_follow_t *
cq_follow_new(cq_app_t *app);

/** cq_follow_free() - stop reading and free */
void
cq_follow_free(cq_follow_t *follower);

/** cq_follow_ready() - Return: whether there is a configuration, and the
 * upstreams have been read, from the store or a peer, since the start and
 * since the last suspension of this process */
gboolean
cq_follow_ready(const cq_follow_t *follower);

/** cq_follow_leave() - delete this host's entry from the store */
void
cq_follow_leave(cq_follow_t *follower);

/** cq_follow_distrust() - this process was suspended: read all topics again */
void
cq_follow_distrust(cq_follow_t *follower);

/** cq_follow_at() - Return: offset after the last record of @topic that is
 * known
 */
guint64
cq_follow_at(const cq_follow_t *follower, cq_topic_t topic);

/** typedef cq_follow_tell_t - called with a record that a peer lacks */
typedef void (*cq_follow_tell_t)(cq_topic_t topic,
                                 const cq_store_record_t *record, void *data);

/**
 * cq_follow_lacks() - list the records that a peer lacks
 * @follower: the follower
 * @topic: the topic
 * @at: offset after the last record that the peer knows
 * @visit: called with each newer record, but only if the peer is further
 *   behind than a peer that reads the store itself
 * @data: passed to @visit
 *
 * Return: whether the peer is that far behind.
 */
gboolean
cq_follow_lacks(cq_follow_t *follower, cq_topic_t topic, guint64 at,
                cq_follow_tell_t visit, void *data);

/** cq_follow_take() - store a record received from a peer; no effect if a
 * newer record of the same key is known */
void
cq_follow_take(cq_follow_t *follower, cq_topic_t topic,
               const cq_store_record_t *record);

/** cq_follow_reached() - a peer has sent all records of @topic before offset
 * @at */
void
cq_follow_reached(cq_follow_t *follower, cq_topic_t topic, guint64 at);

G_END_DECLS

#endif
