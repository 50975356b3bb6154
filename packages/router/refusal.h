/**
 * DOC: refusal
 *
 * The body of an answer that says what did not run, and when to come back.
 */
#ifndef CQ_REFUSAL_H
#define CQ_REFUSAL_H

#include "core/answer.h"

G_BEGIN_DECLS

/**
 * cq_refusal_json() - make the body
 * @code: a constant name of the cause
 * @ran: whether the request ran
 * @retry_after_us: when to come back, in microseconds; 0: no time is known
 * @remedy: what the caller can do
 *
 * Return: JSON text; free it with g_free().
 */
char *
cq_refusal_json(const char *code, cq_ran_t ran, gint64 retry_after_us,
                const char *remedy);

G_END_DECLS

#endif
