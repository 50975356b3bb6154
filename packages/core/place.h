/**
 * DOC: place
 *
 * Chooses upstreams, and rebuilds the arrays of upstreams to choose from.
 */
#ifndef CQ_PLACE_H
#define CQ_PLACE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_place_mix() - Return: a well mixed hash of @value (splitmix64
 * finaliser, Steele et al. 2014) */
guint64
cq_place_mix(guint64 value);

/** cq_place_refresh() - rebuild the candidate arrays of @service */
void
cq_place_refresh(cq_core_t *core, cq_service_t *service);

/** cq_place_usable() - Return: whether @upstream may get new work now */
gboolean
cq_place_usable(const cq_core_t *core, const cq_upstream_t *upstream);

/** cq_place_need() - Return: memory that @request needs, in tokens */
gint64
cq_place_need(const cq_request_t *request);

/** cq_place_choose() - Return: the upstream for @request now, or NULL when
 * it should wait */
cq_upstream_t *
cq_place_choose(cq_core_t *core, cq_request_t *request);

/** cq_place_baseline() - Return: the upstream that the core's policy, which
 * is one of the bench's baselines, gives @request; NULL when there is none */
cq_upstream_t *
cq_place_baseline(cq_core_t *core, const cq_request_t *request);

/** cq_place_group() - choose engines that hold @request together: fills
 * request->group; FALSE when too few have room */
gboolean
cq_place_group(cq_core_t *core, cq_request_t *request);

/** cq_place_group_size() - Return: least number of engines that can hold
 * @request */
guint
cq_place_group_size(const cq_request_t *request);

/** cq_place_unmark() - give up the engine held free for @request */
void
cq_place_unmark(cq_core_t *core, cq_request_t *request);

G_END_DECLS

#endif
