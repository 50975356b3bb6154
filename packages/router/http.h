/**
 * DOC: http
 *
 * Helpers around libsoup: listening, and HTTP calls with a timeout for the
 * whole call.
 */
#ifndef CQ_HTTP_H
#define CQ_HTTP_H

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

#include "base/error.h"

G_BEGIN_DECLS

/** typedef cq_http_done_t - called at the end of a call; @status is 0 if there
 * was no answer; @body is borrowed */
typedef void (*cq_http_done_t)(int status, GBytes *body, void *data);

/** cq_http_listen() - make @server listen on @addr, `ip:port`, the value of
 * setting @key; Return: FALSE and @error on failure */
gboolean
cq_http_listen(SoupServer *server, const char *key, const char *addr,
               cq_error_t *error);

/** cq_http_parse_object() - Return: the JSON object in @body, owned by
 * @parser, or NULL and @error if @body is not one */
JsonObject *
cq_http_parse_object(JsonParser *parser, GBytes *body, cq_error_t *error);

/** cq_http_new_session() - Return: a session with connection limits so high
 * that they are not reached in practice; free it with g_object_unref() */
SoupSession *
cq_http_new_session(void);

/**
 * struct cq_http_call_t - a call
 * @method: HTTP method
 * @url: the URL
 * @body: JSON body, or NULL; borrowed
 * @answer_bytes_max: longest body of the answer; with a longer one there is
 *   none
 * @timeout_ms: whole-call timeout in milliseconds
 * @done: called once, from the main loop or, if @url is invalid, before
 *   cq_http_call() returns; may be NULL
 * @data: passed to @done
 */
typedef struct {
    const char *method;
    const char *url;
    GBytes *body;
    gsize answer_bytes_max;
    guint timeout_ms;
    cq_http_done_t done;
    void *data;
} cq_http_call_t;

/** cq_http_call() - start @call, whose strings are copied */
void
cq_http_call(SoupSession *session, const cq_http_call_t *call);

G_END_DECLS

#endif
