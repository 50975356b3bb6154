/**
 * DOC: peer
 *
 * Summaries that serving processes send each other: their share of the load on
 * each engine, and which upstreams are leaving. The sending rate keeps within
 * a byte budget.
 */
#ifndef CQ_PEER_H
#define CQ_PEER_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_peer_apply_summary() - apply a peer's summary; one of an older
 * incarnation is dropped */
void
cq_peer_apply_summary(cq_core_t *core, const cq_summary_t *summary);

/** cq_peer_linked() - a new connection to a peer was made: send all shares and
 * tasks again */
void
cq_peer_linked(cq_core_t *core);

/** cq_peer_tick() - drop peers without recent summaries; send a summary when
 * one is due */
void
cq_peer_tick(cq_core_t *core);

G_END_DECLS

#endif
