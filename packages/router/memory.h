/**
 * DOC: memory
 *
 * Carries out the core's orders over engines' memory. A reservation is short
 * and renewed while it is wanted, so that one whose holder dies ends by
 * itself; a release is repeated until an engine answers it, and for a while
 * after an order that was not answered, which may be carried out late.
 */
#ifndef CQ_MEMORY_H
#define CQ_MEMORY_H

#include "core/action.h"
#include "core/core.h"

G_BEGIN_DECLS

typedef struct cq_memory cq_memory_t;

/**
 * struct cq_memory_ops_t - where outcomes go
 * @post: takes each event
 * @data: passed to it
 */
typedef struct {
    void (*post)(const cq_event_t *event, void *data);
    void *data;
} cq_memory_ops_t;

/** cq_memory_new() - Return: no reservations */
cq_memory_t *
cq_memory_new(const cq_memory_ops_t *ops);

/** cq_memory_free() - forget every reservation, and free */
void
cq_memory_free(cq_memory_t *memory);

/** cq_memory_reserve() - reserve memory at @upstream and keep it */
void
cq_memory_reserve(cq_memory_t *memory, const cq_ac_memory_t *order,
                  const cq_upstream_view_t *upstream);

/** cq_memory_release() - end a reservation */
void
cq_memory_release(cq_memory_t *memory, const cq_ac_memory_t *order);

/** cq_memory_ticket() - Return: id of the reservation that @request has at
 * @upstream, or NULL */
const char *
cq_memory_ticket(const cq_memory_t *memory, guint64 request, guint64 upstream);

/** cq_memory_open() - Return: reservations that are not yet released */
guint
cq_memory_open(const cq_memory_t *memory);

G_END_DECLS

#endif
