/**
 * DOC: usable
 *
 * Whether an upstream accepts new work now. Whatever sends a new attempt, a
 * reservation or a booking to an upstream asks this first.
 */
#ifndef CQ_USABLE_H
#define CQ_USABLE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_usable_is_gone() - Return: whether @upstream is not on the host list any
 * more */
gboolean
cq_usable_is_gone(const cq_core_t *core, const cq_upstream_t *upstream);

/** cq_usable_now() - Return: whether @upstream accepts new work now */
gboolean
cq_usable_now(const cq_core_t *core, const cq_upstream_t *upstream);

G_END_DECLS

#endif
