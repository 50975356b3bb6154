/**
 * DOC: pace
 *
 * The pace at which an upstream of a plain service that has started or
 * recovered gets work, found from how it answers. Hosts know nothing of what a
 * plain upstream bears, and the one with nothing running looks the best to all
 * of them. So they begin one after the other, by rank for the upstream, twice
 * as many each quarter of a second, and each with one request at a time. An
 * answer that begins about as soon as those of the service's other upstreams
 * doubles what the host may have running there, a late one leaves it as it is,
 * a refusal halves it, and a failure takes it back to one. Once a host may
 * have as much there as it would use, the upstream counts as the others.
 *
 * The pace moves requests to the other upstreams and never makes one wait:
 * when no other has room, an upstream gets them whatever its pace is.
 *
 * An upstream that starts again soon after its last start rests before it gets
 * work, longer with each such life in a row.
 *
 * After a connection that does not open, a plain upstream is tried again with
 * one request, after a time that doubles with each failure.
 *
 * Engines of a BATCH service have no pace: the ledger holds all that runs on
 * them, and they are placed by the time that they will take. There is no
 * traffic besides the callers' requests, and no message. The rate that a
 * configuration states for cold upstreams (core/rate) is kept in any case.
 *
 * Load: a plain upstream among a few starts again, is slow after its start,
 * refuses, or flaps; or can be reached again after a cut. The fleet has 26
 * hosts, of which some are cut off or have just started.
 */
#ifndef CQ_PACE_H
#define CQ_PACE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_pace_begin() - @upstream has started, or may have recovered: find its
 * pace, if this core is to do so. @rank: hosts that begin before this one */
void
cq_pace_begin(cq_core_t *core, cq_upstream_t *upstream, guint rank);

/** cq_pace_started() - @upstream has started: the same, but later if its life
 * before was short */
void
cq_pace_started(cq_core_t *core, cq_upstream_t *upstream, guint rank);

/** cq_pace_allows() - Return: whether @upstream may get another request of
 * this host now, as long as other upstreams have room */
gboolean
cq_pace_allows(const cq_core_t *core, const cq_upstream_t *upstream);

/** cq_pace_answered() - the running attempt of @request has begun to be
 * answered, or was answered at once */
void
cq_pace_answered(cq_core_t *core, const cq_request_t *request);

/** cq_pace_failed() - the running attempt of @request has failed with
 * @failure; @request still names its upstream. @rank as in cq_pace_begin() */
void
cq_pace_failed(cq_core_t *core, const cq_request_t *request,
               cq_failure_t failure, guint rank);

/** cq_pace_avoid_us() - Return: how long @upstream gets nothing after a
 * connection to it did not open */
gint64
cq_pace_avoid_us(const cq_core_t *core, const cq_upstream_t *upstream);

G_END_DECLS

#endif
