/**
 * DOC: alive
 *
 * Whether the upstream of a request that holds memory on engines is alive. The
 * other engines' memory is kept for as long as the attempt runs, so that an
 * upstream that went dark must be found before TCP gives up its connection: if
 * the attempt is quiet, a new connection is opened, and when that gets no
 * answer at all, the attempt ends.
 */
#ifndef CQ_ALIVE_H
#define CQ_ALIVE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_alive_check() - have a connection to the upstream of the running
 * @request opened, if the request holds memory and its upstream has been quiet
 */
void
cq_alive_check(cq_core_t *core, cq_request_t *request);

/** cq_alive_reached() - process REACHED: end the quiet attempts that hold
 * memory at an upstream that doesn't answer at all */
void
cq_alive_reached(cq_core_t *core, const cq_ev_reached_t *event);

G_END_DECLS

#endif
