/**
 * DOC: claim
 *
 * A claim record: what the log says of an idempotency key.
 */
#ifndef CQ_BASE_CLAIM_H
#define CQ_BASE_CLAIM_H

#include "base/ident.h"

G_BEGIN_DECLS

/** enum cq_claim_verdict_t - what a claim record says */
typedef enum {
    CQ_CLAIM_TAKE, /* the request wants to run */
    CQ_CLAIM_FREE, /* it did not run; the key is free again */
    CQ_CLAIM_RAN,  /* it ran and was answered */
} cq_claim_verdict_t;

/**
 * struct cq_claim_t - one claim record, as the log holds it
 * @key: the idempotency key
 * @request: the request that wrote it
 * @verdict: what it says
 * @status: RAN: the HTTP status of the answer
 */
typedef struct {
    cq_idempotency_key_t key;
    guint64 request;
    cq_claim_verdict_t verdict;
    int status;
} cq_claim_t;

G_END_DECLS

#endif
