/**
 * DOC: client
 *
 * HTTP client for short calls whose response is read completely before it is
 * handed over: calls to the platform's store and reservations on engines. Idle
 * connections are reused for further calls to an address; a call is never sent
 * twice.
 */
#ifndef CQ_CLIENT_H
#define CQ_CLIENT_H

#include <glib.h>

#include "http/h1.h"

G_BEGIN_DECLS

typedef struct cq_client cq_client_t;

/** typedef cq_client_done_t - called with a response; @status is 0 if the call
 * failed or no complete response came in time; @body is borrowed */
typedef void (*cq_client_done_t)(int status, const GByteArray *body,
                                 void *data);

/** typedef cq_client_head_t - called with the head of a response, which is
 * borrowed */
typedef void (*cq_client_head_t)(const cq_h1_head_t *head, void *data);

/**
 * struct cq_client_call_t - a call
 * @addr: `ip:port`
 * @method: HTTP method
 * @path: path and query
 * @type: value of the Content-Type field, or NULL to send none
 * @body: the body, or NULL to send neither a body nor Content-Length
 * @body_len: its length in bytes
 * @body_bytes_max: longest response body; with a longer one the call fails;
 *   0: a limit that is large enough for the platform's store
 * @timeout_ms: time limit for the complete response
 * @stall_ms: the call goes on past that limit while less than this time has
 *   passed since the response was last arriving (http/arrival); 0: it doesn't
 * @total_ms: with @stall_ms, time limit for the complete response in any case
 * @head: called with the response's head before @done; may be NULL
 * @done: called once, unless the client is freed first
 * @data: passed to @head and @done
 * @data_free: frees @data after @done, or when the client is freed before;
 *   may be NULL
 */
typedef struct {
    const char *addr;
    const char *method;
    const char *path;
    const char *type;
    const void *body;
    gsize body_len;
    gsize body_bytes_max;
    guint timeout_ms;
    guint stall_ms;
    guint total_ms;
    cq_client_head_t head;
    cq_client_done_t done;
    void *data;
    GDestroyNotify data_free;
} cq_client_call_t;

/** cq_client_new() - Return: a client without connections */
cq_client_t *
cq_client_new(void);

/** cq_client_free() - cancel all calls without calling back, and free */
void
cq_client_free(cq_client_t *client);

/** cq_client_call() - start @call, whose strings and body are copied */
void
cq_client_call(cq_client_t *client, const cq_client_call_t *call);

/** typedef cq_client_match_t - Return: whether the call whose data is
 * @call_data is the one that @data describes */
typedef gboolean (*cq_client_match_t)(const void *call_data, const void *data);

/** cq_client_heard_ago_us() - Return: time since bytes of a response came to
 * one of the calls for which @match returns TRUE, or G_MAXINT64 */
gint64
cq_client_heard_ago_us(const cq_client_t *client, cq_client_match_t match,
                       const void *data);

/** cq_client_cancel() - cancel the calls for which @match returns TRUE,
 * without calling back; their connections are closed */
void
cq_client_cancel(cq_client_t *client, cq_client_match_t match,
                 const void *data);

G_END_DECLS

#endif
