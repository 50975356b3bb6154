/**
 * DOC: lending
 *
 * Engines that one cell lends to another. Each engine has one guest zone, by
 * rendezvous hashing, so no two zones are offered the same engine. The hosts
 * of a zone with many idle engines offer them to their peers in the guest
 * zones that ask for them, because their own engines can't start a request in
 * time. Load: a zone with more callers than its share of the engines, or a
 * burst of long prompts at one zone.
 */
#ifndef CQ_LENDING_H
#define CQ_LENDING_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_lending_update_zones() - note the zones of the entry hosts in @list */
void
cq_lending_update_zones(cq_core_t *core, const cq_ev_hosts_t *list);

/** cq_lending_is_guest() - Return: whether this host's zone is the guest zone
 * of @engine, which is in another zone */
gboolean
cq_lending_is_guest(const cq_core_t *core, const cq_upstream_t *engine);

/** cq_lending_request() - ask the other zones for offers, unless this was done
 * just before */
void
cq_lending_request(cq_core_t *core);

/** cq_lending_apply() - note an offer of another zone, or answer its request
 * for offers */
void
cq_lending_apply(cq_core_t *core, const cq_spare_t *spare);

/** cq_lending_is_offered() - Return: whether the hosts of the zone of @engine
 * offer it now */
gboolean
cq_lending_is_offered(const cq_core_t *core, const cq_upstream_t *engine);

/** cq_lending_tick() - offer idle engines to the zones that asked for them */
void
cq_lending_tick(cq_core_t *core);

G_END_DECLS

#endif
