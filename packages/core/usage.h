/**
 * DOC: usage
 *
 * What each team has running, so that a team far above its share can be told
 * from the others while it does not even queue.
 */
#ifndef CQ_USAGE_H
#define CQ_USAGE_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_usage_open() - @request was taken in */
void
cq_usage_open(const cq_request_t *request);

/** cq_usage_close() - @request has its answer */
void
cq_usage_close(const cq_request_t *request);

/** cq_usage_start() - an attempt of @request runs */
void
cq_usage_start(const cq_request_t *request);

/** cq_usage_stop() - it does not run any more */
void
cq_usage_stop(const cq_request_t *request);

/** cq_usage_exceeds() - Return: whether the team of @request runs clearly
 * more than its weight among the teams with open requests */
gboolean
cq_usage_exceeds(const cq_request_t *request);

G_END_DECLS

#endif
