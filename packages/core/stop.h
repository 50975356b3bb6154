/**
 * DOC: stop
 *
 * A planned stop of this process: which requests it still starts, and its end.
 * The answer of a request goes through the process that took it, whichever
 * host runs it, so a request whose answer may come after the end of the stop
 * is refused as not run and not passed on to a peer.
 */
#ifndef CQ_STOP_H
#define CQ_STOP_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_stop_begin() - begin a planned stop; a second call ends it at the next
 * tick */
void
cq_stop_begin(cq_core_t *core, const cq_ev_drain_t *event);

/** cq_stop_admits() - Return: whether a request that has just arrived may be
 * started, as far as a stop is concerned */
gboolean
cq_stop_admits(const cq_core_t *core, const cq_request_t *request);

/** cq_stop_tick() - while stopping, refuse waiting requests that have not run
 * and may outlast the stop; at its end, answer all and emit STOPPED */
void
cq_stop_tick(cq_core_t *core);

/** cq_stop_learn() - note that @request has ended with @outcome and HTTP
 * @status, to estimate the run times of its kind */
void
cq_stop_learn(cq_core_t *core, const cq_request_t *request,
              cq_outcome_t outcome, int status);

G_END_DECLS

#endif
