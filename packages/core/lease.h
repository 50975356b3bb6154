/**
 * DOC: lease
 *
 * One process at a time orders engines to load models: the holder of the
 * lease. The lease is a chain of records in the platform's log; its fencing
 * number follows from the offset of the record that took it (Gray and
 * Cheriton, "Leases", 1989). A TAKE record is valid only if it names the lease
 * in force, so of two processes that try to take it, the first in log order
 * wins. Other processes wait for CQ_LEASE_US from when they read the last
 * renewal. The holder counts from when it wrote the renewal, and stops
 * CQ_LEASE_MARGIN_US earlier.
 */
#ifndef CQ_LEASE_H
#define CQ_LEASE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_lease_apply() - apply one lease record that is at @offset in the log */
void
cq_lease_apply(cq_core_t *core, const cq_lease_t *record, guint64 offset);

/** cq_lease_tick() - take, renew or release the lease when it is due */
void
cq_lease_tick(cq_core_t *core);

/** cq_lease_fence() - Return: the fencing number if this process certainly
 * holds the lease, else 0 */
guint64
cq_lease_fence(const cq_core_t *core);

/** cq_lease_lost() - stop giving orders, since an engine has seen a higher
 * fencing number */
void
cq_lease_lost(cq_core_t *core);

G_END_DECLS

#endif
