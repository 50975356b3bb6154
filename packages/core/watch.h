/**
 * DOC: watch
 *
 * Deadlines and silent connections, at each tick.
 */
#ifndef CQ_WATCH_H
#define CQ_WATCH_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_watch_tick() - look at every open request */
void
cq_watch_tick(cq_core_t *core);

/** cq_watch_probed() - take what an upstream says of an attempt */
void
cq_watch_probed(cq_core_t *core, const cq_ev_attempt_t *event);

G_END_DECLS

#endif
