/**
 * DOC: engines
 *
 * HTTP client for the engines' control calls in API mode: polls load reports
 * and cache events, and sends reservations and orders to load a model.
 */
#ifndef CQ_LOADS_H
#define CQ_LOADS_H

#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_loads cq_loads_t;

/** cq_loads_new() - Return: a poller that starts with the main loop */
cq_loads_t *
cq_loads_new(cq_app_t *app);

/** cq_loads_free() - stop polling and free, when the last call has ended */
void
cq_loads_free(cq_loads_t *engines);

/** cq_loads_memory() - reserve KV memory at an engine or, if @kind is
 * CQ_AC_RELEASE, release it */
void
cq_loads_memory(cq_loads_t *engines, cq_action_kind_t kind,
                const cq_ac_memory_t *memory);

/** cq_loads_order() - order an engine to load a model */
void
cq_loads_order(cq_loads_t *engines, const cq_ac_order_t *order);

G_END_DECLS

#endif
