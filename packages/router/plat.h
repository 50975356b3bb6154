/**
 * DOC: platform
 *
 * Client of the platform in API mode: reads the log, appends records to it,
 * and polls the list of hosts.
 */
#ifndef CQ_PLAT_H
#define CQ_PLAT_H

#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_plat cq_plat_t;

/** cq_plat_new() - Return: a client that starts with the main loop */
cq_plat_t *
cq_plat_new(cq_app_t *app);

/** cq_plat_free() - stop, and free when the last call has ended */
void
cq_plat_free(cq_plat_t *platform);

/** cq_plat_append() - queue @record, which is copied; records are appended in
 * order and retried until the log has them; dropped if too many are queued */
void
cq_plat_append(cq_plat_t *platform, const cq_record_t *record);

/** cq_plat_pending() - Return: number of records that the log has not yet
 * acknowledged */
guint
cq_plat_pending(const cq_plat_t *platform);

G_END_DECLS

#endif
