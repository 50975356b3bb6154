/**
 * DOC: reservations
 *
 * Reserves and releases KV memory at engines, as the core orders in relay
 * mode. A reservation expires after a few seconds unless it is renewed, so it
 * ends by itself if this process dies. A release is repeated until the engine
 * answers it. If an order got no answer, the engine may still carry it out
 * late, so releases are then repeated until that is no longer possible.
 */
#ifndef CQ_MEMORY_H
#define CQ_MEMORY_H

#include "core/action.h"
#include "core/core.h"

G_BEGIN_DECLS

typedef struct cq_memory cq_memory_t;

/**
 * struct cq_memory_ops_t - receiver of outcomes
 * @post: called with each RESERVED event
 * @data: passed to @post
 */
typedef struct {
    void (*post)(const cq_event_t *event, void *data);
    void *data;
} cq_memory_ops_t;

/** cq_memory_new() - Return: an empty set of reservations; @ops is copied */
cq_memory_t *
cq_memory_new(const cq_memory_ops_t *ops);

/** cq_memory_free() - free without releasing; the engines let the
 * reservations expire */
void
cq_memory_free(cq_memory_t *reservations);

/** cq_memory_reserve() - reserve memory at @upstream and renew the reservation
 * until it is released */
void
cq_memory_reserve(cq_memory_t *reservations, const cq_ac_memory_t *order,
                  const cq_upstream_view_t *upstream);

/** cq_memory_release() - release a reservation */
void
cq_memory_release(cq_memory_t *reservations, const cq_ac_memory_t *order);

/** cq_memory_ticket() - Return: id of the reservation that @request has at
 * @upstream, or NULL; borrowed */
const char *
cq_memory_ticket(const cq_memory_t *reservations, guint64 request,
                 guint64 upstream);

/** cq_memory_open() - Return: number of reservations not yet released */
guint
cq_memory_open(const cq_memory_t *reservations);

G_END_DECLS

#endif
