/**
 * DOC: counters
 *
 * The counters and histograms of one process, and their output as metrics in
 * the Prometheus text format.
 */
#ifndef CQ_COUNTERS_H
#define CQ_COUNTERS_H

#include <glib.h>

#include "base/hist.h"

G_BEGIN_DECLS

/** enum cq_counter_t - the counters; their metric names are in counters.c */
typedef enum {
    CQ_N_REQUESTS,
    CQ_N_ADMITTED,
    CQ_N_REFUSED,
    CQ_N_DONE,
    CQ_N_FAILED,
    CQ_N_CANCELLED,
    CQ_N_EXPIRED,
    CQ_N_ATTEMPTS,
    CQ_N_RETRIES,
    CQ_N_RETRIES_DENIED,
    CQ_N_RESUMED,
    CQ_N_LATE_ANSWERS_DROPPED,
    CQ_N_CLAIMS,
    CQ_N_CLAIMS_LOST,
    CQ_N_CLAIMS_EXPIRED,
    CQ_N_GROUPS,
    CQ_N_GROUP_BACKOFFS,
    CQ_N_ORDERS,
    CQ_N_RESERVATIONS_RELEASED,
    CQ_N_INSPECTIONS,
    CQ_N_MEMORY_SEEN_UNUSED,
    CQ_N_MEMORY_GIVEN_UP,
    CQ_N_STRAY_RESERVATIONS,
    CQ_N_SILENT_CONNECTIONS,
    CQ_N_CUT_OFF,
    CQ_N_HANDED,
    CQ_N_PROBES,
    CQ_N_PARTS_BLOCKED,
    CQ_N_CONFIG_APPLIED,
    CQ_N_CONFIG_IGNORED,
    CQ_N_LOG_OUTAGES,
    CQ_N_LOG_BACKWARD,
    CQ_N_PEER_FRAMES_IN,
    CQ_N_PEER_BYTES_IN,
    CQ_N_PEER_FRAMES_OUT,
    CQ_N_PEER_BYTES_OUT,
    CQ_N_PEER_FRAMES_TOO_LONG,
    CQ_N_PEER_FRAMES_STALLED,
    CQ_N_PEER_FRAMES_BAD,
    CQ_N_PEERS_REJECTED,
    CQ_N_BAD_REQUESTS,
    CQ_N_BODIES_TOO_LONG,
    CQ_N_NO_DESCRIPTOR,
    CQ_N_CONTROL_BYTES,
    CQ_N_INVARIANTS_BROKEN,
    CQ_N_COUNT,
} cq_counter_t;

/**
 * enum cq_latency_t - the histograms of times since the arrival of a request
 * @CQ_LATENCY_FIRST_EVENT: until the first event or byte of its answer
 * @CQ_LATENCY_DONE: until the end of its answer
 * @CQ_LATENCY_REFUSED: until it was refused, that is, answered without having
 * run
 */
typedef enum {
    CQ_LATENCY_FIRST_EVENT,
    CQ_LATENCY_DONE,
    CQ_LATENCY_REFUSED,
    CQ_LATENCY_COUNT,
} cq_latency_t;

/**
 * struct cq_counters_t - the values
 * @value: one value per counter; they never decrease
 * @time: one histogram per cq_latency_t
 */
typedef struct {
    guint64 value[CQ_N_COUNT];
    cq_hist_t time[CQ_LATENCY_COUNT];
} cq_counters_t;

/** cq_counters_add() - add @n to counter @which */
void
cq_counters_add(cq_counters_t *counters, cq_counter_t which, guint64 n);

/** cq_counters_add_time() - add a time of @us microseconds to histogram @which
 */
void
cq_counters_add_time(cq_counters_t *counters, cq_latency_t which, gint64 us);

/** cq_counters_render() - append to @out a `name value` line per counter and
 * the lines of each histogram */
void
cq_counters_render(const cq_counters_t *counters, GString *out);

G_END_DECLS

#endif
