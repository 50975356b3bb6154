/**
 * DOC: answer
 *
 * Ends a request: releases all that it holds and emits its only final answer.
 */
#ifndef CQ_ANSWER_H
#define CQ_ANSWER_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_answer_ran() - Return: whether @request ran, as far as is known */
cq_ran_t
cq_answer_ran(const cq_request_t *request);

/** cq_answer_outcome() - end and free @request with @outcome; the answer's ran
 * value and retry time are computed */
void
cq_answer_outcome(cq_core_t *core, cq_request_t *request,
                  cq_outcome_t outcome);

/** cq_answer_forwarded() - end and free @request, whose upstream's
 * answer with HTTP @status was forwarded; the request counts as run */
void
cq_answer_forwarded(cq_core_t *core, cq_request_t *request, int status);

G_END_DECLS

#endif
