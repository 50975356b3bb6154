/**
 * DOC: order
 *
 * The lease holder's orders to engines to load models, until each model of a
 * service file is loaded on as many engines as the file states. An order
 * states which model an engine should have, so repeated or reordered orders
 * are harmless; the engine's load report shows whether it has the model. All
 * loads come from one process, at most CQ_MODEL_LOADS_MAX at a time, so that
 * they stay within the rate of the weight store.
 */
#ifndef CQ_ORDER_H
#define CQ_ORDER_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_order_report() - note which models an engine reports as loaded */
void
cq_order_report(cq_core_t *core, const cq_ev_load_t *report);

/** cq_order_answer() - process an engine's answer to an order */
void
cq_order_answer(cq_core_t *core, const cq_ev_ordered_t *event);

/** cq_order_tick() - give the orders that are due, if this process holds the
 * lease */
void
cq_order_tick(cq_core_t *core);

/** cq_order_has_model() - Return: whether @upstream has @model loaded */
gboolean
cq_order_has_model(const cq_upstream_t *upstream, guint64 model);

G_END_DECLS

#endif
