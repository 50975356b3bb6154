/**
 * DOC: emptying
 *
 * Which zones the operators' records in the platform's store ask to empty. The
 * records are those of the topic of the configuration, so what is known of
 * them has its position and its age; this module tells the core each change.
 */
#ifndef CQ_EMPTYING_H
#define CQ_EMPTYING_H

#include "router/topicmap.h"

G_BEGIN_DECLS

/**
 * struct cq_emptying_t - the zones that the core has been told
 * @app: the process
 * @map: the records
 * @zones: set of their names
 */
typedef struct {
    cq_app_t *app;
    cq_topicmap_t *map;
    GHashTable *zones;
} cq_emptying_t;

/** cq_emptying_init() - no zone is emptied yet; clear with
 * cq_emptying_clear() */
void
cq_emptying_init(cq_emptying_t *emptying, cq_app_t *app, cq_topicmap_t *map);

/** cq_emptying_clear() - free what @emptying holds */
void
cq_emptying_clear(cq_emptying_t *emptying);

/** cq_emptying_owns() - Return: whether @key is that of such a record */
gboolean
cq_emptying_owns(const char *key);

/** cq_emptying_update() - the records may have changed: tell the core which
 * zones are emptied now and were not, or the other way round */
void
cq_emptying_update(cq_emptying_t *emptying);

G_END_DECLS

#endif
