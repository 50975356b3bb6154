/**
 * DOC: hedge
 *
 * A second attempt beside a running one. An upstream that sends nothing for a
 * while may be sound, so its attempt goes on as the standby while another
 * upstream is tried, and is stopped only when the other attempt has begun to
 * answer. Whichever of the two begins first is the one that is forwarded; if
 * one fails, the other one is left.
 */
#ifndef CQ_HEDGE_H
#define CQ_HEDGE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_hedge_start() - start another attempt of @request beside its running
 * one, if another upstream has a place for it now. Return: whether it was
 * started */
gboolean
cq_hedge_start(cq_core_t *core, cq_request_t *request, const char *why);

/** cq_hedge_set_aside() - make the running attempt of @request its standby,
 * so that another one can be started */
void
cq_hedge_set_aside(cq_request_t *request);

/** cq_hedge_active() - Return: whether @request has a standby */
gboolean
cq_hedge_active(const cq_request_t *request);

/** cq_hedge_select() - make attempt @attempt of @request the running one, if
 * it is the standby */
void
cq_hedge_select(cq_request_t *request, guint32 attempt);

/** cq_hedge_settle() - stop the standby of @request, if it has one: the
 * running attempt has begun to answer */
void
cq_hedge_settle(cq_core_t *core, cq_request_t *request);

/** cq_hedge_fall_back() - make the standby of @request the running attempt:
 * the one that ran has ended. Return: FALSE if there is no standby */
gboolean
cq_hedge_fall_back(cq_core_t *core, cq_request_t *request);

G_END_DECLS

#endif
