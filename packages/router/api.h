/**
 * DOC: api
 *
 * HTTP server for callers in API mode: model calls at /v1/completions and
 * /v1/chat/completions, plain services at /s/SERVICE/PATH. Each request is
 * posted to the core as an event and ends with the core's ANSWER action.
 */
#ifndef CQ_API_H
#define CQ_API_H

#include "router/app.h"
#include "router/calls.h"

G_BEGIN_DECLS

typedef struct cq_api cq_api_t;

/** cq_api_new() - Return: a server that does not listen yet */
cq_api_t *
cq_api_new(cq_app_t *app);

/** cq_api_listen() - listen on @addr, `ip:port`; Return: FALSE and @error on
 * failure */
gboolean
cq_api_listen(cq_api_t *api, const char *addr, cq_error_t *error);

/** cq_api_free() - close the listener and all connections, and free */
void
cq_api_free(cq_api_t *api);

/** cq_api_call_spec() - Return: whether request @id is open; if so, @spec is
 * filled with borrowed pointers */
gboolean
cq_api_call_spec(cq_api_t *api, guint64 id, cq_call_spec_t *spec);

/** cq_api_write() - forward stream events to the caller; Return: whether
 * the caller is so slow that reading from the upstream should pause */
gboolean
cq_api_write(cq_api_t *api, guint64 id, GBytes *bytes);

/** cq_api_answer() - complete the caller's answer; @result is a plain
 * service's answer or NULL */
void
cq_api_answer(cq_api_t *api, const cq_ac_answer_t *answer,
              const cq_call_result_t *result);

/** cq_api_unfinished() - Return: number of requests whose answer is not
 * completely written */
guint
cq_api_unfinished(const cq_api_t *api);

G_END_DECLS

#endif
