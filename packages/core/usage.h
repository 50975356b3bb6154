/**
 * DOC: usage
 *
 * Keeps account of what each team has running, to detect a team that runs far
 * more than its share even while it has no queue.
 */
#ifndef CQ_USAGE_H
#define CQ_USAGE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_usage_of() - Return: the account of the team of @request */
cq_usage_t *
cq_usage_of(const cq_request_t *request);

/** cq_usage_open() - note that @request was received */
void
cq_usage_open(const cq_request_t *request);

/** cq_usage_close() - note that @request was answered */
void
cq_usage_close(const cq_request_t *request);

/** cq_usage_start() - note that an attempt of @request runs */
void
cq_usage_start(const cq_request_t *request);

/** cq_usage_stop() - note that the attempt of @request ended */
void
cq_usage_stop(const cq_request_t *request);

/** cq_usage_exceeds_share() - Return: whether the team of @request runs
 * clearly more than its weighted share among the teams with open requests */
gboolean
cq_usage_exceeds_share(const cq_request_t *request);

G_END_DECLS

#endif
