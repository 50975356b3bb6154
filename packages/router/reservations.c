#include "router/reservations.h"

#include "base/list.h"
#include "platform/reserve.h"

/* Time after which an engine drops a reservation that is not renewed. It is
 * shorter than the time in which an engine must be free again after a request
 * has ended, so that no memory stays reserved if this process dies. */
#define RESERVATION_MS 3000
#define RENEW_INTERVAL_MS 1000
#define RELEASE_RETRY_MS 500
/* An order that got no answer is carried out within this time or never, and
 * would set the memory aside for another RESERVATION_MS. Until then a release
 * that was answered is followed by another one after RELEASE_AGAIN_MS. */
#define RELEASE_AGAIN_MS 1000
#define LATE_ORDER_MAX_MS 13000
#define RESERVATION_ID_BYTES 40

/* A reservation at one engine. */
typedef struct {
    cq_list_t link;
    cq_reservations_t *owner;
    guint64 request;
    guint64 upstream;
    char addr[CQ_ADDR_BYTES];
    char id[RESERVATION_ID_BYTES];
    gint64 tokens;
    gboolean reported;  /* the core got the outcome */
    gboolean releasing; /* cq_reservations_release() was called */
    gboolean uncertain; /* an unanswered order may still be carried out */
    gint64 released_us;
    guint in_flight; /* orders sent and not yet answered */
    guint timer;
} reservation_t;

struct cq_reservations {
    cq_reservations_ops_t ops;
    cq_client_t *client;
    cq_list_t list;
    guint last_serial;
};

static void
renew(reservation_t *reservation);
static void
release(reservation_t *reservation);

static void
remove_reservation(reservation_t *reservation)
{
    if (reservation->timer != 0) {
        g_source_remove(reservation->timer);
    }
    cq_list_remove(&reservation->link);
    g_free(reservation);
}

static void
report(reservation_t *reservation, gboolean granted)
{
    if (reservation->reported) {
        return;
    }
    reservation->reported = TRUE;
    cq_event_t event = {
        .kind = CQ_EV_RESERVED,
        .reserved = {.request = reservation->request,
                     .upstream = reservation->upstream,
                     .granted = granted},
    };
    reservation->owner->ops.post(&event, reservation->owner->ops.data);
}

static gboolean
on_timer(gpointer data)
{
    reservation_t *reservation = data;
    reservation->timer = 0;
    if (reservation->releasing) {
        release(reservation);
    }
    else {
        renew(reservation);
    }
    return G_SOURCE_REMOVE;
}

static void
schedule(reservation_t *reservation, guint ms)
{
    if (reservation->timer == 0) {
        reservation->timer = g_timeout_add(ms, on_timer, reservation);
    }
}

static void
on_reserved(cq_reserve_outcome_t outcome, void *data)
{
    reservation_t *reservation = data;
    reservation->in_flight--;
    if (outcome == CQ_RESERVE_UNKNOWN) {
        reservation->uncertain = TRUE;
    }
    if (reservation->releasing) {
        return;
    }
    schedule(reservation, RENEW_INTERVAL_MS);
    report(reservation, outcome == CQ_RESERVE_DONE);
}

static void
on_released(cq_reserve_outcome_t outcome, void *data)
{
    reservation_t *reservation = data;
    reservation->in_flight--;
    gint64 elapsed_us = g_get_monotonic_time() - reservation->released_us;
    gboolean late_order_impossible = elapsed_us > LATE_ORDER_MAX_MS * CQ_MS_US;
    gboolean answered = outcome != CQ_RESERVE_UNKNOWN;
    gboolean certain = answered && !reservation->uncertain;
    if ((certain || late_order_impossible) && reservation->in_flight == 0) {
        remove_reservation(reservation);
        return;
    }
    reservation->uncertain = reservation->uncertain || !answered;
    gboolean all_answered = answered && reservation->in_flight == 0;
    schedule(reservation, all_answered ? RELEASE_AGAIN_MS : RELEASE_RETRY_MS);
}

static cq_reserve_call_t
make_order(reservation_t *reservation, cq_reserve_done_t done)
{
    cq_reserve_call_t order = {
        .addr = reservation->addr,
        .id = reservation->id,
        .tokens = reservation->tokens,
        .hold_ms = RESERVATION_MS,
        .done = done,
        .data = reservation,
    };
    return order;
}

static void
renew(reservation_t *reservation)
{
    cq_reserve_call_t order = make_order(reservation, on_reserved);
    reservation->in_flight++;
    cq_reserve_memory(reservation->owner->client, &order);
}

static void
release(reservation_t *reservation)
{
    cq_reserve_call_t order = make_order(reservation, on_released);
    reservation->in_flight++;
    cq_reserve_release(reservation->owner->client, &order);
}

static reservation_t *
find(const cq_reservations_t *reservations, guint64 request, guint64 upstream)
{
    cq_list_t *link = reservations->list.next;
    for (; link != &reservations->list; link = link->next) {
        reservation_t *reservation = CQ_ENTRY(link, reservation_t, link);
        if (reservation->request == request &&
            reservation->upstream == upstream && !reservation->releasing) {
            return reservation;
        }
    }
    return NULL;
}

cq_reservations_t *
cq_reservations_new(const cq_reservations_ops_t *ops)
{
    cq_reservations_t *reservations = g_new0(cq_reservations_t, 1);
    reservations->ops = *ops;
    reservations->client = cq_client_new();
    cq_list_init(&reservations->list);
    return reservations;
}

void
cq_reservations_free(cq_reservations_t *reservations)
{
    cq_client_free(reservations->client);
    while (!cq_list_empty(&reservations->list)) {
        remove_reservation(
            CQ_ENTRY(reservations->list.next, reservation_t, link));
    }
    g_free(reservations);
}

void
cq_reservations_add(cq_reservations_t *reservations,
                    const cq_ac_memory_t *order,
                    const cq_upstream_view_t *upstream)
{
    reservation_t *reservation = g_new0(reservation_t, 1);
    reservation->owner = reservations;
    reservation->request = order->request;
    reservation->upstream = order->upstream;
    reservation->tokens = order->tokens;
    g_strlcpy(reservation->addr, upstream->addr, sizeof reservation->addr);
    /* Ids are never reused, so that a late order cannot affect a later
     * reservation of the same request. */
    g_snprintf(reservation->id, sizeof reservation->id,
               "%016" G_GINT64_MODIFIER "x-%u", order->request,
               ++reservations->last_serial);
    cq_list_init(&reservation->link);
    cq_list_append(&reservations->list, &reservation->link);
    renew(reservation);
}

void
cq_reservations_release(cq_reservations_t *reservations,
                        const cq_ac_memory_t *order)
{
    reservation_t *reservation =
        find(reservations, order->request, order->upstream);
    if (reservation == NULL) {
        return;
    }
    reservation->releasing = TRUE;
    reservation->released_us = g_get_monotonic_time();
    if (reservation->timer != 0) {
        g_source_remove(reservation->timer);
        reservation->timer = 0;
    }
    release(reservation);
}

/* Whose reservation is inspected. It may end before the engine answers. */
typedef struct {
    cq_reservations_t *owner;
    guint64 request;
    guint64 upstream;
} inspected_t;

static void
on_inspected(const cq_memory_report_t *report, void *data)
{
    const inspected_t *inspected = data;
    cq_event_t event = {
        .kind = CQ_EV_INSPECTED,
        .inspected = {.request = inspected->request,
                      .upstream = inspected->upstream,
                      .report = *report},
    };
    inspected->owner->ops.post(&event, inspected->owner->ops.data);
}

void
cq_reservations_inspect(cq_reservations_t *reservations,
                        const cq_ac_memory_t *order)
{
    const reservation_t *reservation =
        find(reservations, order->request, order->upstream);
    if (reservation == NULL) {
        return;
    }
    inspected_t *inspected = g_new0(inspected_t, 1);
    inspected->owner = reservations;
    inspected->request = order->request;
    inspected->upstream = order->upstream;
    cq_reserve_inspection_t inspection = {
        .addr = reservation->addr,
        .id = reservation->id,
        .done = on_inspected,
        .data = inspected,
        .data_free = g_free,
    };
    cq_reserve_inspect(reservations->client, &inspection);
}

const char *
cq_reservations_id(const cq_reservations_t *reservations, guint64 request,
                   guint64 upstream)
{
    const reservation_t *reservation = find(reservations, request, upstream);
    return reservation != NULL ? reservation->id : NULL;
}

guint
cq_reservations_count(const cq_reservations_t *reservations)
{
    guint count = 0;
    const cq_list_t *link = reservations->list.next;
    for (; link != &reservations->list; link = link->next) {
        count++;
    }
    return count;
}
