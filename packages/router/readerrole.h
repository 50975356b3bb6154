/**
 * DOC: readerrole
 *
 * The part of this host in reading the store, which is worked out again from
 * time to time and logged when it changes.
 */
#ifndef CQ_READERROLE_H
#define CQ_READERROLE_H

#include "router/app.h"

G_BEGIN_DECLS

/**
 * struct cq_readerrole_t - the role as it was worked out last
 * @app: the application
 * @role: the role
 * @checked_us: when it was worked out, or 0
 */
typedef struct {
    cq_app_t *app;
    cq_store_reader_t role;
    gint64 checked_us;
} cq_readerrole_t;

/** cq_readerrole_get() - Return: the role, at most some 100 ms old */
cq_store_reader_t
cq_readerrole_get(cq_readerrole_t *reader);

G_END_DECLS

#endif
