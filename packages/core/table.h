/**
 * DOC: table
 *
 * Looks up, creates and deletes the rows of the core's tables. Rows belong to
 * the core; returned pointers are borrowed.
 */
#ifndef CQ_TABLE_H
#define CQ_TABLE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_table_init() - make every table of @core empty */
void
cq_table_init(cq_core_t *core);

/** cq_table_clear() - free every table of @core */
void
cq_table_clear(cq_core_t *core);

/** cq_table_request() - Return: the open request @id, or NULL */
cq_request_t *
cq_table_request(const cq_core_t *core, guint64 id);

/** cq_table_upstream() - Return: upstream @id, or NULL */
cq_upstream_t *
cq_table_upstream(const cq_core_t *core, guint64 id);

/** cq_table_service() - Return: service @name, or NULL */
cq_service_t *
cq_table_service(const cq_core_t *core, const char *name);

/** cq_table_peer() - Return: the peer on @host, or NULL */
cq_peer_t *
cq_table_peer(const cq_core_t *core, guint32 host);

/** cq_table_add_request() - Return: a new zeroed request with @id */
cq_request_t *
cq_table_add_request(cq_core_t *core, guint64 id);

/** cq_table_drop_request() - free @request, which must not be in a queue */
void
cq_table_drop_request(cq_core_t *core, cq_request_t *request);

/** cq_table_ensure_service() - Return: service @name, created if missing */
cq_service_t *
cq_table_ensure_service(cq_core_t *core, const char *name);

/** cq_table_add_upstream() - Return: a new upstream @name of @service */
cq_upstream_t *
cq_table_add_upstream(cq_core_t *core, cq_service_t *service,
                      const char *name);

/** cq_table_move_upstream() - let @upstream belong to @service from now on;
 * attempts that run there go on */
void
cq_table_move_upstream(cq_upstream_t *upstream, cq_service_t *service);

/** cq_table_drop_upstream() - free @upstream, which no request may use */
void
cq_table_drop_upstream(cq_core_t *core, cq_upstream_t *upstream);

/** cq_table_ensure_peer() - Return: the peer on @host, created if missing */
cq_peer_t *
cq_table_ensure_peer(cq_core_t *core, guint32 host);

/** cq_table_log_event() - add an event of @request to the event ring */
#define cq_table_log_event(core, request, kind, ...)                          \
    cq_ring_add(&(core)->ring, (core)->now_us, (request)->id,                 \
                (request)->attempt, kind, __VA_ARGS__)

G_END_DECLS

#endif
