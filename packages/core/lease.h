/**
 * DOC: lease
 *
 * One process at a time gives orders to engines. The lease is a chain of
 * records in the platform's log; the offset of the record that took it is its
 * fencing number (Gray and Cheriton, "Leases", 1989). A record takes it only
 * if it names the lease in force, so of two takers the first in log order
 * wins. Others wait CQ_LEASE_US from when they read the last renewal; the
 * holder counts from when it wrote it, and stops CQ_LEASE_MARGIN_US earlier.
 */
#ifndef CQ_LEASE_H
#define CQ_LEASE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_lease_fold() - take one lease record that stands at @offset */
void
cq_lease_fold(cq_core_t *core, const cq_lease_t *record, guint64 offset);

/** cq_lease_tick() - take, renew or release the lease when it is time */
void
cq_lease_tick(cq_core_t *core);

/** cq_lease_fence() - Return: the fencing number while this process holds the
 * lease for certain, else 0 */
guint64
cq_lease_fence(const cq_core_t *core);

/** cq_lease_lost() - an engine has seen a newer fencing number */
void
cq_lease_lost(cq_core_t *core);

G_END_DECLS

#endif
