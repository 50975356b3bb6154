/**
 * DOC: topicmap
 *
 * The newest record of each key of a topic of the platform's store, and up to
 * which offset they are known. Records of upstreams and entry hosts are parsed
 * once, when they are added.
 *
 * A snapshot has no trace of the keys that were deleted before it. So there
 * are two offsets: every record before the end is known, but of the deletions
 * only those from another offset on. A peer that lacks older ones is told
 * which keys are left.
 */
#ifndef CQ_TOPICMAP_H
#define CQ_TOPICMAP_H

#include "platform/store.h"
#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_topicmap cq_topicmap_t;

/** typedef cq_topicmap_visit_t - called with a record of @topic */
typedef void (*cq_topicmap_visit_t)(cq_topic_t topic,
                                    const cq_store_record_t *record,
                                    void *data);

/** cq_topicmap_new() - Return: an empty map of @topic; @app logs records that
 * can't be parsed */
cq_topicmap_t *
cq_topicmap_new(cq_app_t *app, cq_topic_t topic);

/** cq_topicmap_free() - free the map */
void
cq_topicmap_free(cq_topicmap_t *map);

/** cq_topicmap_log_invalid() - log that @record is ignored because of @error,
 * unless the key's last record was ignored for the same reason */
void
cq_topicmap_log_invalid(cq_topicmap_t *map, const cq_store_record_t *record,
                        const cq_error_t *error);

/** cq_topicmap_note_valid() - the newest record of @key is valid or a deletion
 */
void
cq_topicmap_note_valid(cq_topicmap_t *map, const char *key);

/** enum cq_record_source_t - where a record comes from */
typedef enum {
    CQ_SOURCE_LOG,      /* from the store, in order of offset */
    CQ_SOURCE_SNAPSHOT, /* from a page of the snapshot that is being read */
    CQ_SOURCE_PEER,
} cq_record_source_t;

/**
 * struct cq_topicmap_claim_t - what a peer says that it has sent
 * @from: all records from this offset on
 * @at: up to this offset
 * @has_deletions: deletions count among them; else the claim proves nothing
 * @complete: the records from @rows_from on were sent, and @live names the
 *   keys that are left
 * @rows_from: see @complete
 * @live: hashes of the keys that have a value, @live_len of them
 * @live_len: see @live
 * @live_has_operators: that holds for the topic of the configuration too; a
 *   peer of an older version may name keys there that have been deleted
 */
typedef struct {
    guint64 from;
    guint64 at;
    gboolean has_deletions;
    gboolean complete;
    guint64 rows_from;
    const guint64 *live;
    gsize live_len;
    gboolean live_has_operators;
} cq_topicmap_claim_t;

/** cq_topicmap_end() - Return: offset after the last record known */
guint64
cq_topicmap_end(const cq_topicmap_t *map);

/** cq_topicmap_is_new() - Return: whether the map lacks @record, which is not
 * older than what is known of its key */
gboolean
cq_topicmap_is_new(cq_topicmap_t *map, const cq_store_record_t *record,
                   cq_record_source_t source);

/** cq_topicmap_add() - add a copy of @record, which is new; Return: whether
 * this changes what cq_topicmap_list_hosts() gives */
gboolean
cq_topicmap_add(cq_topicmap_t *map, const cq_store_record_t *record,
                cq_record_source_t source);

/** cq_topicmap_add_page() - the records of a read of the store up to offset
 * @next have been added */
void
cq_topicmap_add_page(cq_topicmap_t *map, guint64 next);

/** cq_topicmap_add_claim() - a peer has sent records, which have been added:
 * drop the keys that it shows to be deleted. Return: whether the map is now
 * known up to the claim's end */
gboolean
cq_topicmap_add_claim(cq_topicmap_t *map, const cq_topicmap_claim_t *claim,
                      gboolean *dropped);

/** cq_topicmap_list_hosts() - append the upstreams or entry hosts to @rows, an
 * array of cq_host_row_t */
void
cq_topicmap_list_hosts(cq_topicmap_t *map, GArray *rows);

/** cq_topicmap_list_left() - append the upstreams that said that they were
 * leaving, and whose entries were deleted before cq_topicmap_list_hosts() gave
 * that; each is given once */
void
cq_topicmap_list_left(cq_topicmap_t *map, GArray *rows);

/** cq_topicmap_sort_hosts() - sort @rows, an array of cq_host_row_t, by name
 */
void
cq_topicmap_sort_hosts(GArray *rows);

/** cq_topicmap_begin_snapshot() - count no key as seen */
void
cq_topicmap_begin_snapshot(cq_topicmap_t *map);

/** cq_topicmap_begin_page() - records of a page of the snapshot follow, which
 * the store read when the topic ended at offset @end */
void
cq_topicmap_begin_page(cq_topicmap_t *map, guint64 end);

/** cq_topicmap_end_snapshot() - the snapshot is complete: drop the keys that
 * were not seen in it; records that were written after its first page stay.
 * Return: whether a key was dropped */
gboolean
cq_topicmap_end_snapshot(cq_topicmap_t *map);

/** cq_topicmap_begin_era() - the store has come back from an older copy: its
 * records replace those of the map whatever their offsets are, except those of
 * upstreams and hosts that had left. The others stay until
 * cq_topicmap_end_era() */
void
cq_topicmap_begin_era(cq_topicmap_t *map);

/** cq_topicmap_end_era() - upstreams and hosts have had time to write again:
 * take what the store has. Return: whether this changes what
 * cq_topicmap_list_hosts() gives */
gboolean
cq_topicmap_end_era(cq_topicmap_t *map);

/** cq_topicmap_visit_from() - call @visit with each record whose offset is
 * @from or higher */
void
cq_topicmap_visit_from(const cq_topicmap_t *map, guint64 from,
                       cq_topicmap_visit_t visit, void *data);

/** cq_topicmap_visit_held() - call @visit with the record of each key that
 * counts as having a value, those that an earlier era of the store had too
 */
void
cq_topicmap_visit_held(const cq_topicmap_t *map, cq_topicmap_visit_t visit,
                       void *data);

/** cq_topicmap_get_claim() - Return: what can be said to a peer that knows the
 * topic up to offset @at, once it has been sent the records from there on;
 * @live, an array of guint64, gets the keys that it borrows */
cq_topicmap_claim_t
cq_topicmap_get_claim(const cq_topicmap_t *map, guint64 at, GArray *live);

G_END_DECLS

#endif
