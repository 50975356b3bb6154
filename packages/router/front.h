/**
 * DOC: front
 *
 * The callers' side: an HTTP server whose requests become core events, and
 * whose answers are the core's.
 */
#ifndef CQ_FRONT_H
#define CQ_FRONT_H

#include "router/app.h"
#include "router/calls.h"

G_BEGIN_DECLS

typedef struct cq_front cq_front_t;

/** cq_front_new() - Return: a front that does not listen yet */
cq_front_t *
cq_front_new(cq_app_t *app);

/** cq_front_listen() - listen on @addr; FALSE and @error when it fails */
gboolean
cq_front_listen(cq_front_t *front, const char *addr, cq_error_t *error);

/** cq_front_free() - close the listener and free */
void
cq_front_free(cq_front_t *front);

/** cq_front_call_target() - Return: whether request @id is open; fills @target
 */
gboolean
cq_front_call_target(cq_front_t *front, guint64 id, cq_call_target_t *target);

/** cq_front_write() - pass stream events on to the caller; Return: whether
 * the caller is slow and reading should pause */
gboolean
cq_front_write(cq_front_t *front, guint64 id, GBytes *bytes);

/** cq_front_answer() - give the final answer; @result is a plain service's
 * whole answer or NULL */
void
cq_front_answer(cq_front_t *front, const cq_ac_answer_t *answer,
                const cq_call_result_t *result);

/** cq_front_open() - Return: callers without a whole answer */
guint
cq_front_open(const cq_front_t *front);

G_END_DECLS

#endif
