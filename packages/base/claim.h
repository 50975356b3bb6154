/**
 * DOC: claim
 *
 * A claim record: a record in the platform's log about an idempotency key. A
 * request with a key that may run only once claims the key before it runs.
 */
#ifndef CQ_BASE_CLAIM_H
#define CQ_BASE_CLAIM_H

#include "base/ident.h"

G_BEGIN_DECLS

/** enum cq_claim_verdict_t - what a claim record states */
typedef enum {
    CQ_CLAIM_TAKE, /* the request claims the key in order to run */
    CQ_CLAIM_FREE, /* the request did not run; the key is free again */
    CQ_CLAIM_RAN,  /* the request ran and was answered */
} cq_claim_verdict_t;

/**
 * struct cq_claim_t - one claim record
 * @key: the idempotency key
 * @request: id of the request that the record is about
 * @verdict: what the record states
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
