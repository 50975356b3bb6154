/**
 * DOC: plat
 *
 * The platform's side: follows the log and appends to it, and reads the host
 * list.
 */
#ifndef CQ_PLAT_H
#define CQ_PLAT_H

#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_plat cq_plat_t;

/** cq_plat_new() - Return: a follower that starts with the loop */
cq_plat_t *
cq_plat_new(cq_app_t *app);

/** cq_plat_free() - stop and free */
void
cq_plat_free(cq_plat_t *plat);

/** cq_plat_append() - append @record, in order, until the log has it */
void
cq_plat_append(cq_plat_t *plat, const cq_record_t *record);

/** cq_plat_pending() - Return: records not yet known to be in the log */
guint
cq_plat_pending(const cq_plat_t *plat);

G_END_DECLS

#endif
