/**
 * DOC: http
 *
 * One HTTP call to the platform, an engine or an operator port, with a
 * whole-call timeout.
 */
#ifndef CQ_HTTP_H
#define CQ_HTTP_H

#include <libsoup/soup.h>

G_BEGIN_DECLS

/** typedef cq_http_done_t - hears the end of a call: @status is 0 when there
 * was no answer; @body is borrowed */
typedef void (*cq_http_done_t)(int status, GBytes *body, void *data);

/** cq_http_session() - Return: a session without connection limits */
SoupSession *
cq_http_session(void);

/**
 * cq_http_call() - start a call
 * @session: the session
 * @method: HTTP method
 * @url: where
 * @body: JSON body, or NULL; borrowed
 * @timeout_ms: whole-call timeout in milliseconds
 * @done: called once, always from the main loop; may be NULL
 * @data: for @done
 */
void
cq_http_call(SoupSession *session, const char *method, const char *url,
             GBytes *body, guint timeout_ms, cq_http_done_t done, void *data);

G_END_DECLS

#endif
