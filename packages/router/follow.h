/**
 * DOC: follow
 *
 * Follows the topics of the platform's store: the configuration, the
 * upstreams and the entry hosts, each a table of keys with the offsets of
 * their newest records. Peers that reach the store tell those that do not.
 */
#ifndef CQ_FOLLOW_H
#define CQ_FOLLOW_H

#include "config/routes.h"
#include "platform/store.h"
#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_follow cq_follow_t;

/** cq_follow_new() - Return: a follower that has begun to read */
cq_follow_t *
cq_follow_new(cq_app_t *app);

/** cq_follow_free() - stop reading and free */
void
cq_follow_free(cq_follow_t *follow);

/** cq_follow_ready() - Return: whether the configuration and at least one
 * upstream are known, and were looked at since this process last stood still
 */
gboolean
cq_follow_ready(const cq_follow_t *follow);

/** cq_follow_leave() - take this host's entry out of the store */
void
cq_follow_leave(cq_follow_t *follow);

/** cq_follow_distrust() - this process stood still: read everything again */
void
cq_follow_distrust(cq_follow_t *follow);

/** cq_follow_at() - Return: offset up to which @topic is known */
guint64
cq_follow_at(const cq_follow_t *follow, cq_topic_t topic);

/** typedef cq_follow_tell_t - takes one record for a peer */
typedef void (*cq_follow_tell_t)(cq_topic_t topic,
                                 const cq_store_record_t *record, void *data);

/**
 * cq_follow_lacks() - what a peer lacks
 * @follow: the follower
 * @topic: the topic
 * @at: offset up to which the peer knows it
 * @tell: called with each newer record when the peer is behind by more than
 *   a reading of the store explains
 * @data: passed to @tell
 *
 * Return: whether the peer is behind.
 */
gboolean
cq_follow_lacks(cq_follow_t *follow, cq_topic_t topic, guint64 at,
                cq_follow_tell_t tell, void *data);

/** cq_follow_take() - take a record that a peer has read; an older one than
 * what is known changes nothing */
void
cq_follow_take(cq_follow_t *follow, cq_topic_t topic,
               const cq_store_record_t *record);

/** cq_follow_reached() - a peer has told all records of @topic up to @at */
void
cq_follow_reached(cq_follow_t *follow, cq_topic_t topic, guint64 at);

G_END_DECLS

#endif
