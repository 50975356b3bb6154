/**
 * DOC: order
 *
 * The lease holder's orders: as many engines as a service file states load
 * each of its models. An order states what an engine should have, so that
 * repeating or reordering it does no harm; the engine's report says whether
 * it has it. All loads of the fleet come from one plan, at most
 * CQ_MODEL_LOADS_MAX at a time, which keeps within the weight store's rate.
 */
#ifndef CQ_ORDER_H
#define CQ_ORDER_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_order_report() - take what an engine says that it has loaded */
void
cq_order_report(cq_core_t *core, const cq_ev_load_t *report);

/** cq_order_answer() - take an engine's answer to an order */
void
cq_order_answer(cq_core_t *core, const cq_ev_ordered_t *event);

/** cq_order_tick() - give the orders that are due */
void
cq_order_tick(cq_core_t *core);

/** cq_order_has() - Return: whether @upstream can serve @model */
gboolean
cq_order_has(const cq_upstream_t *upstream, guint64 model);

G_END_DECLS

#endif
