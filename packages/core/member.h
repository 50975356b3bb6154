/**
 * DOC: member
 *
 * Which upstreams and entry hosts exist: from the platform's host list, which
 * lags, from peers, and from the results of calls. If any source states that
 * an incarnation is leaving, it counts as leaving, whatever the others state.
 */
#ifndef CQ_MEMBER_H
#define CQ_MEMBER_H

#include "core/state.h"

G_BEGIN_DECLS

/**
 * struct cq_host_rank_t - this host among those of the fleet or, in cells, of
 * its zone, in an order by hash that all of them compute alike
 * @count: hosts, with this one
 * @before: hosts that come before this one
 */
typedef struct {
    guint count;
    guint before;
} cq_host_rank_t;

/** cq_member_rank() - Return: the rank of this host for @key among the hosts
 * that it hears, if they are the majority of those on the host list. Else it
 * may be cut off, and must not take the place of others: then among all on the
 * list */
cq_host_rank_t
cq_member_rank(const cq_core_t *core, guint64 key);

/** cq_member_is_first() - Return: whether this host is the one of the whole
 * fleet that acts for @key, as far as it knows */
gboolean
cq_member_is_first(const cq_core_t *core, guint64 key);

/** cq_member_unreachable() - note that no connection to @upstream could be
 * made, by the word of the engine @accuser; 0: this host saw it itself. The
 * words of one engine make no zone suspect */
void
cq_member_unreachable(cq_core_t *core, const cq_upstream_t *upstream,
                      guint64 accuser);

/** cq_member_reached() - note that @upstream answers, so that its zone is not
 * cut off */
void
cq_member_reached(cq_core_t *core, const cq_upstream_t *upstream);

/** cq_member_zone_cut_off() - Return: whether the zone of @upstream is assumed
 * to be cut off from this host */
gboolean
cq_member_zone_cut_off(const cq_core_t *core, const cq_upstream_t *upstream);

/** cq_member_usable_from_us() - Return: when the first upstream of @service
 * accepts new work, as far as is known: now or later; G_MAXINT64 if it has
 * none
 */
gint64
cq_member_usable_from_us(const cq_core_t *core, const cq_service_t *service);

/** cq_member_usable_in_time() - Return: whether an upstream of its service
 * accepts new work before the deadline of @request, as far as is known */
gboolean
cq_member_usable_in_time(const cq_core_t *core, const cq_request_t *request);

/** cq_member_allow_last_failed() - let the upstream of the last failed attempt
 * of @request be used again if no other one accepts new work in time */
void
cq_member_allow_last_failed(const cq_core_t *core, cq_request_t *request);

/** cq_member_avoid() - send nothing new to @upstream for @us, since a call of
 * this host failed there; doesn't shorten an earlier mark */
void
cq_member_avoid(const cq_core_t *core, cq_upstream_t *upstream, gint64 us);

/** cq_member_accepts_from_us() - Return: when the marks of this host and the
 * pause that @upstream asked for are over */
gint64
cq_member_accepts_from_us(const cq_upstream_t *upstream);

/** cq_member_forget_failures() - remove the marks that failed calls of this
 * host have left at upstreams and zones, since its own network was the cause;
 * what upstreams say of themselves stays */
void
cq_member_forget_failures(cq_core_t *core);

/** cq_member_upstream_says() - apply what an upstream says of itself */
void
cq_member_upstream_says(cq_core_t *core, const cq_ev_upstream_t *said);

/** cq_member_store_reader() - Return: the part of this process in reading the
 * store. The readers of a zone are CQ_STORE_READERS_PER_ZONE of its hosts that
 * are not silent */
cq_store_reader_t
cq_member_store_reader(const cq_core_t *core);

/** cq_member_apply_list() - apply the platform's whole host list */
void
cq_member_apply_list(cq_core_t *core, const cq_ev_hosts_t *list);

/** cq_member_leaving() - note that @incarnation of @upstream is leaving */
void
cq_member_leaving(cq_core_t *core, cq_upstream_t *upstream,
                  guint64 incarnation);

/** cq_member_sweep() - delete upstreams that are not in the host list and have
 * no work */
void
cq_member_sweep(cq_core_t *core);

G_END_DECLS

#endif
