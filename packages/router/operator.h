/**
 * DOC: operator
 *
 * HTTP server for operators: health, readiness, metrics, status, the
 * configuration in force, the time line of events, and drain.
 */
#ifndef CQ_OPERATOR_H
#define CQ_OPERATOR_H

#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_operator cq_operator_t;

/** cq_operator_new() - Return: a server that does not listen yet */
cq_operator_t *
cq_operator_new(cq_app_t *app);

/** cq_operator_listen() - listen on @addr, `ip:port`; Return: FALSE and @error
 * on failure */
gboolean
cq_operator_listen(cq_operator_t *oper, const char *addr, cq_error_t *error);

/** cq_operator_free() - close and free */
void
cq_operator_free(cq_operator_t *oper);

G_END_DECLS

#endif
