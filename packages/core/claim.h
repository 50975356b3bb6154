/**
 * DOC: claim
 *
 * At most one run for an idempotency key. A claim is a record in the
 * platform's log; the first TAKE in log order holds the key. A holder never
 * changes, so a paused host that wakes cannot act for a key that another has
 * taken over.
 */
#ifndef CQ_CLAIM_H
#define CQ_CLAIM_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_claim_needed() - Return: whether @request must hold its key to run */
gboolean
cq_claim_needed(const cq_request_t *request);

/** cq_claim_begin() - claim the key of @request, or answer it at once */
void
cq_claim_begin(cq_core_t *core, cq_request_t *request);

/** cq_claim_fold() - take one claim record, in log order */
void
cq_claim_fold(cq_core_t *core, const cq_claim_t *claim);

/** cq_claim_settle() - write what became of the claim of @request */
void
cq_claim_settle(cq_core_t *core, const cq_request_t *request,
                const cq_ac_answer_t *answer);

/** cq_claim_sweep() - forget keys older than CQ_CLAIM_KEEP_US */
void
cq_claim_sweep(cq_core_t *core);

G_END_DECLS

#endif
