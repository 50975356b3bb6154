/**
 * DOC: repair
 *
 * Compares the memory that engines say they hold with the requests that
 * living processes own, and releases what nobody owns.
 */
#ifndef CQ_REPAIR_H
#define CQ_REPAIR_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_repair_holdings() - look at one engine's report */
void
cq_repair_holdings(cq_core_t *core, const cq_ev_load_t *report);

G_END_DECLS

#endif
