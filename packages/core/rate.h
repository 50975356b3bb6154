/**
 * DOC: rate
 *
 * Rate limits that upstreams name in their answers.
 */
#ifndef CQ_CORE_RATE_H
#define CQ_CORE_RATE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_rate_heard() - an answer of @upstream to this host states @rate */
void
cq_rate_heard(cq_core_t *core, cq_upstream_t *upstream,
              const cq_rate_statement_t *rate);

G_END_DECLS

#endif
