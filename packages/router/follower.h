/**
 * DOC: follower
 *
 * Keeps a copy of three topics of the platform's store: the configuration,
 * the upstreams and the entry hosts. Each copy is a table of keys with the
 * newest record of each key and its offset. Records come from the store or
 * from peers: two hosts of each zone read the upstreams and the entry hosts
 * for the others, which read the store themselves if these fall silent.
 */
#ifndef CQ_FOLLOWER_H
#define CQ_FOLLOWER_H

#include "config/routes.h"
#include "platform/store.h"
#include "router/app.h"
#include "router/catalog.h"
#include "router/topicmap.h"

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

/** cq_follower_write_part() - write the record of a blocked part of prompts,
 * or delete it, so that hosts that start know of it */
void
cq_follower_write_part(cq_follower_t *follower,
                       const cq_part_record_t *record);

/** cq_follower_deregister() - delete this host's entry from the store */
void
cq_follower_deregister(cq_follower_t *follower);

/** cq_follower_reread() - discard the reads in progress and start new ones;
 * to be called after a suspension of this process */
void
cq_follower_reread(cq_follower_t *follower);

/** cq_follower_catalog() - Return: what is known from the topics */
cq_catalog_t *
cq_follower_catalog(const cq_follower_t *follower);

/** cq_follower_era() - Return: the era of the store to which the offsets
 * belong, or 0 if not known */
guint64
cq_follower_era(const cq_follower_t *follower);

/** cq_follower_note_era() - note that a peer knows the store in @era, or 0;
 * Return: whether its offsets mean the same records as those of this host */
gboolean
cq_follower_note_era(cq_follower_t *follower, guint64 era);

/** cq_follower_offset() - Return: offset after the last known record of @topic
 */
guint64
cq_follower_offset(const cq_follower_t *follower, cq_topic_t topic);

/** cq_follower_read_age_ms() - Return: age of the last successful read of
 * @topic in ms plus 1, or 0 if this process does not read it or the last read
 * failed */
guint64
cq_follower_read_age_ms(const cq_follower_t *follower, cq_topic_t topic);

/** cq_follower_peer_read() - note that a peer has read @topic, up to offset
 * @at, @age_ms - 1 milliseconds ago; 0: it does not read it */
void
cq_follower_peer_read(cq_follower_t *follower, cq_topic_t topic, guint64 at,
                      guint64 age_ms);

/**
 * cq_follower_get_missing() - get the records that a peer lacks
 * @follower: the follower
 * @topic: the topic
 * @at: offset after the last record that the peer knows
 *
 * Return: the records of @topic if there are newer ones, and if this process
 * reads the topic for its peers or the peer is so far behind that it is not
 * reading the store itself; else NULL.
 */
const cq_topicmap_t *
cq_follower_get_missing(cq_follower_t *follower, cq_topic_t topic, guint64 at);

/** cq_follower_add_record() - add a record received from a peer to the copy of
 * @topic; no effect if a newer record of the same key is known */
void
cq_follower_add_record(cq_follower_t *follower, cq_topic_t topic,
                       const cq_store_record_t *record);

/** cq_follower_add_claim() - note what a peer says that it has sent */
void
cq_follower_add_claim(cq_follower_t *follower, cq_topic_t topic,
                      const cq_topicmap_claim_t *claim);

G_END_DECLS

#endif
