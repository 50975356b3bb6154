/**
 * DOC: log_client
 *
 * Client of the log and the list of hosts, which API mode uses instead of the
 * store: reads the log, appends records to it, and polls the list.
 */
#ifndef CQ_LOG_CLIENT_H
#define CQ_LOG_CLIENT_H

#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_log_client cq_log_client_t;

/** cq_log_client_new() - Return: a client that starts with the main loop */
cq_log_client_t *
cq_log_client_new(cq_app_t *app);

/** cq_log_client_free() - stop and abort the open calls; the memory is freed
 * when the last call and timer have ended */
void
cq_log_client_free(cq_log_client_t *client);

/** cq_log_client_append() - queue @record, which is copied; records are
 * appended in order and retried until the log has them; dropped if too many
 * are queued
 */
void
cq_log_client_append(cq_log_client_t *client, const cq_record_t *record);

/** cq_log_client_pending() - Return: number of records that the log has not
 * yet acknowledged */
guint
cq_log_client_pending(const cq_log_client_t *client);

G_END_DECLS

#endif
