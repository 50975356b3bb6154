/**
 * DOC: reach
 *
 * Whether this host can open connections to upstreams. Failures at several
 * upstreams within a short time may be theirs, or this host may be cut off
 * from all of them while callers and peers reach it. To tell which, the host
 * opens connections to other upstreams, of each zone. If none opens, it is cut
 * off until one does.
 *
 * Load: all hosts of a fleet work on the same upstreams; a few hosts, or most
 * of a zone, lose the path to all upstreams for seconds. Their connections
 * hang, are reset, or live on while new ones are refused.
 */
#ifndef CQ_REACH_H
#define CQ_REACH_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_reach_is_cut() - Return: whether this host is cut off from upstreams */
gboolean
cq_reach_is_cut(const cq_core_t *core);

/** cq_reach_failed() - an attempt at @upstream shows no answer, or its
 * connection didn't open or ended early */
void
cq_reach_failed(cq_core_t *core, const cq_upstream_t *upstream);

/** cq_reach_opened() - a new connection to an upstream has opened */
void
cq_reach_opened(cq_core_t *core);

/** cq_reach_apply() - process the result of REACH */
void
cq_reach_apply(cq_core_t *core, const cq_ev_reached_t *event);

/** cq_reach_tick() - look for the end of a cut */
void
cq_reach_tick(cq_core_t *core);

G_END_DECLS

#endif
