/**
 * DOC: place
 *
 * Chooses upstreams for requests of services other than BATCH, and rebuilds
 * the candidate arrays of every service.
 */
#ifndef CQ_PLACE_H
#define CQ_PLACE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_place_mix() - Return: a well mixed hash of @value (splitmix64
 * finaliser, Steele et al. 2014) */
guint64
cq_place_mix(guint64 value);

/** cq_place_update_candidates() - rebuild the candidate arrays of @service if
 * they are stale, and recompute the number of engines for giant prompts */
void
cq_place_update_candidates(cq_core_t *core, cq_service_t *service);

/** cq_place_need_tokens() - Return: memory that @request needs, in tokens */
gint64
cq_place_need_tokens(const cq_request_t *request);

/** cq_place_choose() - Return: the upstream for @request now, or NULL if it
 * should wait */
cq_upstream_t *
cq_place_choose(cq_core_t *core, cq_request_t *request);

/** cq_place_baseline() - Return: the upstream for @request by a baseline
 * policy of the benchmarks, or NULL if there is none */
cq_upstream_t *
cq_place_baseline(cq_core_t *core, const cq_request_t *request);

/** cq_place_group() - choose engines that hold @request together: fills
 * request->group. Return: FALSE if too few have room */
gboolean
cq_place_group(cq_core_t *core, cq_request_t *request);

/** cq_place_group_size() - Return: least number of engines that can hold
 * @request; 1 unless its service is a model service */
guint
cq_place_group_size(const cq_request_t *request);

/** cq_place_clear_earmark() - give up the memory that is set aside for
 * @request, if any */
void
cq_place_clear_earmark(cq_core_t *core, cq_request_t *request);

G_END_DECLS

#endif
