/**
 * DOC: answer
 *
 * Ends a request: frees all that it holds and gives its one final answer.
 */
#ifndef CQ_ANSWER_H
#define CQ_ANSWER_H

#include "core/state.h"

G_BEGIN_DECLS

/** cq_answer_ran() - Return: what is known of whether @request ran */
cq_ran_t
cq_answer_ran(const cq_request_t *request);

/** cq_answer_give() - end @request with @outcome; its ran value and time to
 * come back are worked out */
void
cq_answer_give(cq_core_t *core, cq_request_t *request, cq_outcome_t outcome);

/** cq_answer_done() - end @request, which ran, with HTTP @status */
void
cq_answer_done(cq_core_t *core, cq_request_t *request, int status);

G_END_DECLS

#endif
