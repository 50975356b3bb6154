/**
 * DOC: loads
 *
 * Asks engines for their load reports and cache events, and carries orders
 * over their memory.
 */
#ifndef CQ_LOADS_H
#define CQ_LOADS_H

#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_loads cq_loads_t;

/** cq_loads_new() - Return: a poller that starts with the loop */
cq_loads_t *
cq_loads_new(cq_app_t *app);

/** cq_loads_free() - stop and free */
void
cq_loads_free(cq_loads_t *loads);

/** cq_loads_memory() - send a RESERVE or RELEASE to an engine */
void
cq_loads_memory(cq_loads_t *loads, cq_action_kind_t kind,
                const cq_ac_memory_t *memory);

/** cq_loads_order() - tell an engine which model it should have */
void
cq_loads_order(cq_loads_t *loads, const cq_ac_order_t *order);

G_END_DECLS

#endif
