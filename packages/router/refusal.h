/**
 * DOC: refusal
 *
 * JSON body of an error answer: the cause, whether the request ran, when it
 * may be sent again, and what the caller can do.
 */
#ifndef CQ_REFUSAL_H
#define CQ_REFUSAL_H

#include "core/answer.h"

G_BEGIN_DECLS

/**
 * cq_refusal_json() - make the body
 * @code: stable name of the cause
 * @ran: whether the request ran
 * @retry_after_us: microseconds after which a retry makes sense; 0 if unknown
 * @remedy: text that says what the caller can do
 *
 * Return: JSON text; free it with g_free().
 */
char *
cq_refusal_json(const char *code, cq_ran_t ran, gint64 retry_after_us,
                const char *remedy);

G_END_DECLS

#endif
