/**
 * DOC: emptied
 *
 * Zones that operators want emptied: their upstreams get nothing new, in
 * whatever way it would reach them, and finish what they have. Each upstream
 * carries a mark, which core/usable and the candidate arrays ask.
 *
 * Load: the upstreams of a zone are taken out of service at a busy hour, and
 * the other zones take over at once.
 */
#ifndef CQ_EMPTIED_H
#define CQ_EMPTIED_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_emptied_apply() - a zone is emptied, or no longer; Return: whether that
 * is new */
gboolean
cq_emptied_apply(cq_core_t *core, const cq_ev_emptied_t *event);

/** cq_emptied_has() - Return: whether @zone is emptied */
gboolean
cq_emptied_has(const cq_core_t *core, const char *zone);

/** cq_emptied_each() - call @visit with each upstream of @zone */
void
cq_emptied_each(cq_core_t *core, const char *zone,
                void (*visit)(cq_core_t *core, cq_upstream_t *upstream));

/** cq_emptied_mark() - set the mark of @upstream, which is new or has another
 * zone */
void
cq_emptied_mark(cq_core_t *core, cq_upstream_t *upstream);

/** cq_emptied_group() - Return: whether an engine that @request has asked for
 * memory, or that is to prefill it, is in a zone that is emptied */
gboolean
cq_emptied_group(const cq_request_t *request);

G_END_DECLS

#endif
