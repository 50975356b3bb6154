/**
 * DOC: logstate
 *
 * What this process has read from the platform's log: claims on idempotency
 * keys and the lease. Private to the package.
 */
#ifndef CQ_LOGSTATE_H
#define CQ_LOGSTATE_H

#include "core/core.h"

/**
 * struct cq_claim_entry_t - the claim on an idempotency key
 * @claim: the record of the log that is in force
 * @seen_us: when this process read it
 */
typedef struct {
    cq_claim_t claim;
    gint64 seen_us;
} cq_claim_entry_t;

/**
 * struct cq_lease_state_t - the lease as read from the log
 * @fence: fencing number in force; never decreases; 0: no lease yet
 * @host: host id of the holder
 * @incarnation: the holder's incarnation
 * @released: the holder gave it up
 * @renewal_read_us: when this process read the last renewal
 * @valid_until_us: as the holder: when this process stops giving orders
 * @last_append_us: when this process last wrote a lease record
 */
typedef struct {
    guint64 fence;
    guint32 host;
    guint64 incarnation;
    gboolean released;
    gint64 renewal_read_us;
    gint64 valid_until_us;
    gint64 last_append_us;
} cq_lease_state_t;

#endif
