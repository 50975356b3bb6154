/**
 * DOC: orphans
 *
 * Releases orphaned reservations: memory that an engine reports as reserved
 * for a request that no live process has.
 */
#ifndef CQ_ORPHANS_H
#define CQ_ORPHANS_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_orphans_release() - release the orphaned reservations in one load report
 */
void
cq_orphans_release(cq_core_t *core, const cq_ev_load_t *report);

G_END_DECLS

#endif
