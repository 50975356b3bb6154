/**
 * DOC: intake
 *
 * Takes a request in, or refuses it at once.
 */
#ifndef CQ_INTAKE_H
#define CQ_INTAKE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_intake_request() - take or refuse a caller's request */
void
cq_intake_request(cq_core_t *core, const cq_ev_request_t *event);

G_END_DECLS

#endif
