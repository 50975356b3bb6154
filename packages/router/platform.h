/**
 * DOC: platform
 *
 * Client of the log and the list of hosts, which API mode uses instead of the
 * store: reads the log, appends records to it, and polls the list.
 */
#ifndef CQ_PLATFORM_H
#define CQ_PLATFORM_H

#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_platform cq_platform_t;

/** cq_platform_new() - Return: a client that starts with the main loop */
cq_platform_t *
cq_platform_new(cq_app_t *app);

/** cq_platform_free() - stop and abort the open calls; the memory is freed
 * when the last call and timer have ended */
void
cq_platform_free(cq_platform_t *client);

/** cq_platform_append() - queue @record, which is copied; records are appended
 * in order and retried until the log has them; dropped if too many are queued
 */
void
cq_platform_append(cq_platform_t *client, const cq_record_t *record);

/** cq_platform_pending() - Return: number of records that the log has not yet
 * acknowledged */
guint
cq_platform_pending(const cq_platform_t *client);

G_END_DECLS

#endif
