/**
 * DOC: peer
 *
 * What serving processes tell each other: their part of the work on each
 * engine, and which upstreams leave. The rate keeps within a byte budget.
 */
#ifndef CQ_PEER_H
#define CQ_PEER_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_peer_summary() - take a peer's summary */
void
cq_peer_summary(cq_core_t *core, const cq_summary_t *summary);

/** cq_peer_linked() - a connection to a peer is new: tell everything */
void
cq_peer_linked(cq_core_t *core);

/** cq_peer_tick() - forget silent peers; send a summary when one is due */
void
cq_peer_tick(cq_core_t *core);

G_END_DECLS

#endif
