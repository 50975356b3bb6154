/**
 * DOC: claim
 *
 * At most one run for each idempotency key. A claim is a record in the
 * platform's log; the first TAKE record in log order holds the key. The key is
 * never transferred to another request while it is held, so a host that was
 * paused and resumes cannot act for a key that another request has taken
 * meanwhile.
 */
#ifndef CQ_CLAIM_H
#define CQ_CLAIM_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_claim_needed() - Return: whether @request must hold its key before it
 * may run */
gboolean
cq_claim_needed(const cq_request_t *request);

/** cq_claim_begin() - append a claim for the key of @request, or answer the
 * request at once if the key is held or the log is down */
void
cq_claim_begin(cq_core_t *core, cq_request_t *request);

/** cq_claim_apply() - apply one claim record; call in log order */
void
cq_claim_apply(cq_core_t *core, const cq_claim_t *claim);

/** cq_claim_finish() - append the result of the claim of @request, which ends
 * with @answer. If it is unknown whether the request ran, the key stays held
 */
void
cq_claim_finish(cq_core_t *core, const cq_request_t *request,
                const cq_ac_answer_t *answer);

/** cq_claim_sweep() - delete claims that were read more than
 * CQ_CLAIM_KEEP_US ago */
void
cq_claim_sweep(cq_core_t *core);

G_END_DECLS

#endif
