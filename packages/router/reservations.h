/**
 * DOC: reservations
 *
 * Reserves and releases KV memory at engines, as the core orders in relay
 * mode. A reservation expires after a few seconds unless it is renewed, so it
 * ends by itself if this process dies. A release is repeated until the engine
 * answers it. If an order got no answer, the engine may still carry it out
 * late, so releases are then repeated until that is no longer possible.
 */
#ifndef CQ_RESERVATIONS_H
#define CQ_RESERVATIONS_H

#include "core/action.h"
#include "core/core.h"

G_BEGIN_DECLS

typedef struct cq_reservations cq_reservations_t;

/**
 * struct cq_reservations_ops_t - receiver of outcomes
 * @post: called with each RESERVED and INSPECTED event
 * @data: passed to @post
 */
typedef struct {
    void (*post)(const cq_event_t *event, void *data);
    void *data;
} cq_reservations_ops_t;

/** cq_reservations_new() - Return: an empty set of reservations; @ops is
 * copied */
cq_reservations_t *
cq_reservations_new(const cq_reservations_ops_t *ops);

/** cq_reservations_free() - free without releasing; the engines let the
 * reservations expire */
void
cq_reservations_free(cq_reservations_t *reservations);

/** cq_reservations_add() - reserve memory at @upstream and renew the
 * reservation until it is released */
void
cq_reservations_add(cq_reservations_t *reservations,
                    const cq_ac_memory_t *order,
                    const cq_upstream_view_t *upstream);

/** cq_reservations_release() - release a reservation */
void
cq_reservations_release(cq_reservations_t *reservations,
                        const cq_ac_memory_t *order);

/** cq_reservations_inspect() - ask the engine whether the reservation is in
 * use */
void
cq_reservations_inspect(cq_reservations_t *reservations,
                        const cq_ac_memory_t *order);

/** cq_reservations_id() - Return: id of the reservation that @request has at
 * @upstream, or NULL; borrowed */
const char *
cq_reservations_id(const cq_reservations_t *reservations, guint64 request,
                   guint64 upstream);

/** cq_reservations_count() - Return: number of reservations not yet released
 */
guint
cq_reservations_count(const cq_reservations_t *reservations);

G_END_DECLS

#endif
