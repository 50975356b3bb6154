/**
 * DOC: engines
 *
 * HTTP client for the engines' control calls in API mode: polls load reports
 * and cache events, and sends reservations and orders to load a model.
 */
#ifndef CQ_ENGINES_H
#define CQ_ENGINES_H

#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_engines cq_engines_t;

/** cq_engines_new() - Return: a poller that starts with the main loop */
cq_engines_t *
cq_engines_new(cq_app_t *app);

/** cq_engines_free() - stop polling and abort the open calls; the memory is
 * freed when the last one has ended */
void
cq_engines_free(cq_engines_t *engines);

/** cq_engines_order_memory() - reserve KV memory at an engine or, if @kind is
 * CQ_AC_RELEASE, release it */
void
cq_engines_order_memory(cq_engines_t *engines, cq_action_kind_t kind,
                        const cq_ac_memory_t *memory);

/** cq_engines_order_model() - order an engine to load a model */
void
cq_engines_order_model(cq_engines_t *engines, const cq_ac_order_t *order);

G_END_DECLS

#endif
