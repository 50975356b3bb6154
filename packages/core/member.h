/**
 * DOC: member
 *
 * Which upstreams and entry hosts there are: from the platform's lagging
 * list, from peers, and from what calls show. Leaving wins over live from
 * any source for the same incarnation.
 */
#ifndef CQ_MEMBER_H
#define CQ_MEMBER_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_member_unreachable() - @upstream could not be reached */
void
cq_member_unreachable(cq_core_t *core, const cq_upstream_t *upstream);

/** cq_member_reached() - @upstream answers, so its zone is not cut off */
void
cq_member_reached(cq_core_t *core, const cq_upstream_t *upstream);

/** cq_member_cut_off() - Return: whether the zone of @upstream is taken to be
 * cut off from this host */
gboolean
cq_member_cut_off(const cq_core_t *core, const cq_upstream_t *upstream);

/** cq_member_link_count() - Return: how many of @others, the other entry
 * hosts, a host keeps links to */
guint
cq_member_link_count(guint others);

/** cq_member_list() - take the platform's whole list */
void
cq_member_list(cq_core_t *core, const cq_ev_hosts_t *list);

/** cq_member_leaving() - @upstream's @incarnation is leaving */
void
cq_member_leaving(cq_core_t *core, cq_upstream_t *upstream,
                  guint64 incarnation);

/** cq_member_sweep() - drop upstreams that are off the list and unused */
void
cq_member_sweep(cq_core_t *core);

G_END_DECLS

#endif
