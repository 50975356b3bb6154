/**
 * DOC: http
 *
 * One HTTP call to the platform, an engine or an operator port, with a
 * whole-call timeout.
 */
#ifndef CQ_HTTP_H
#define CQ_HTTP_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "base/error.h"

G_BEGIN_DECLS

/** typedef cq_http_done_t - hears the end of a call: @status is 0 when there
 * was no answer; @body is borrowed */
typedef void (*cq_http_done_t)(int status, GBytes *body, void *data);

/** cq_http_listen() - make @server listen on @addr, which setting @key names;
 * FALSE and @error when it can't */
gboolean
cq_http_listen(SoupServer *server, const char *key, const char *addr,
               cq_error_t *error);

/** cq_http_object() - Return: the JSON object in @body, owned by @parser, or
 * NULL when it is none */
JsonObject *
cq_http_object(JsonParser *parser, GBytes *body);

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
