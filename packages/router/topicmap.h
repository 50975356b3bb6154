/**
 * DOC: topicmap
 *
 * The newest record of each key of a topic of the platform's store. Records of
 * upstreams and entry hosts are parsed once, when they are added.
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

/** cq_topicmap_is_new() - Return: whether the map lacks @record; if not, its
 * key counts as seen */
gboolean
cq_topicmap_is_new(cq_topicmap_t *map, const cq_store_record_t *record);

/** cq_topicmap_add() - add a copy of @record, which is new; Return: whether
 * this changes what cq_topicmap_list_hosts() gives */
gboolean
cq_topicmap_add(cq_topicmap_t *map, const cq_store_record_t *record);

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

/** cq_topicmap_end_snapshot() - drop the keys that were not seen in a complete
 * snapshot whose first page ended at offset @end; records that were written
 * later stay. Return: whether a key was dropped */
gboolean
cq_topicmap_end_snapshot(cq_topicmap_t *map, guint64 end);

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

G_END_DECLS

#endif
