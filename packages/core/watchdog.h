/**
 * DOC: watchdog
 *
 * Enforces deadlines and detects lost connections, for every open request at
 * each tick. A request whose attempt shows no progress is moved to another
 * upstream or, where a service has no progress_timeout_us, its upstream is
 * probed first.
 */
#ifndef CQ_WATCHDOG_H
#define CQ_WATCHDOG_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_watchdog_tick() - check every open request */
void
cq_watchdog_tick(cq_core_t *core);

/** cq_watchdog_probed() - process an upstream's answer to a probe of an
 * attempt */
void
cq_watchdog_probed(cq_core_t *core, const cq_ev_attempt_t *event);

G_END_DECLS

#endif
