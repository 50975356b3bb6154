/**
 * DOC: rate
 *
 * Keeps the rate limits that upstreams name in their answers. A limit holds
 * for all hosts together, so it is divided among a few of them: as many as the
 * limit has whole requests a second, and one, by rank for the upstream. They
 * send there in even steps; the others don't. No message is needed for a
 * request, and at most one request of each of these hosts comes on top of the
 * limit in any span of time.
 *
 * An upstream that is cold, after a start or at any other time, takes fewer
 * requests a second, as the configuration of its service says. That is a limit
 * of the same kind; as it holds for each second, fewer hosts share it.
 *
 * In cells only hosts of the upstream's zone have a share.
 *
 * Load: an upstream in need among sound ones; all upstreams of a service in
 * need at once, so that most requests must be refused; a zone that comes back
 * cold in the middle of a burst.
 */
#ifndef CQ_CORE_RATE_H
#define CQ_CORE_RATE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_rate_heard() - an answer of @upstream to this host states its rate */
void
cq_rate_heard(cq_core_t *core, cq_upstream_t *upstream,
              const cq_ev_upstream_t *said);

/** cq_rate_apply() - apply what a peer knows */
void
cq_rate_apply(cq_core_t *core, const cq_rate_row_t *row);

/** cq_rate_add_rows() - add to @summary what peers need to know of the
 * upstreams of @service */
void
cq_rate_add_rows(const cq_core_t *core, const cq_service_t *service,
                 cq_summary_t *summary);

/** cq_rate_is_bounded() - Return: whether @upstream has a limit now */
gboolean
cq_rate_is_bounded(const cq_upstream_t *upstream);

/** cq_rate_note_cold() - @upstream is cold until @until_us at least. Changes
 * nothing if its service states no rate for that */
void
cq_rate_note_cold(cq_core_t *core, cq_upstream_t *upstream, gint64 until_us);

/** cq_rate_note_started() - @upstream may have started just now */
void
cq_rate_note_started(cq_core_t *core, cq_upstream_t *upstream);

/** cq_rate_next_us() - Return: when this host may send the next request to
 * @upstream; 0 without a limit, G_MAXINT64 without a share of it */
gint64
cq_rate_next_us(const cq_upstream_t *upstream);

/** cq_rate_allows() - Return: whether a request may be sent to @upstream now
 */
gboolean
cq_rate_allows(const cq_core_t *core, const cq_upstream_t *upstream);

/** cq_rate_recheck_due() - Return: whether a request should go to @upstream to
 * learn whether it still names a limit */
gboolean
cq_rate_recheck_due(const cq_core_t *core, const cq_upstream_t *upstream);

/** cq_rate_note_sent() - note that a request is sent to @upstream */
void
cq_rate_note_sent(const cq_core_t *core, cq_upstream_t *upstream);

/** cq_rate_delays() - Return: whether only upstreams with a rate limit can
 * take @request, and none of them soon */
gboolean
cq_rate_delays(const cq_core_t *core, const cq_request_t *request);

/** cq_rate_retry_after_us() - Return: time until @request may come back, which
 * is booked for its team */
gint64
cq_rate_retry_after_us(cq_core_t *core, const cq_request_t *request);

/** cq_rate_tick() - divide the limits among the hosts that are alive, and drop
 * those that no answer has confirmed for long */
void
cq_rate_tick(cq_core_t *core);

G_END_DECLS

#endif
