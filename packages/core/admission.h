/**
 * DOC: admission
 *
 * Admission control: queues a request, or refuses it at once.
 */
#ifndef CQ_ADMISSION_H
#define CQ_ADMISSION_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_admission_request() - queue, claim or refuse a caller's new request */
void
cq_admission_request(cq_core_t *core, const cq_ev_request_t *event);

G_END_DECLS

#endif
