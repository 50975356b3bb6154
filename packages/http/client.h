/**
 * DOC: client
 *
 * Small HTTP calls whose answers are taken whole: to the platform's store and
 * orders to engines. Connections are kept for further calls to an address;
 * no call is ever sent twice.
 */
#ifndef CQ_CLIENT_H
#define CQ_CLIENT_H

#include <glib.h>

G_BEGIN_DECLS

typedef struct cq_client cq_client_t;

/** typedef cq_client_done_t - takes an answer; @status is 0 when none came in
 * time, @body is borrowed */
typedef void (*cq_client_done_t)(int status, const GByteArray *body,
                                 void *data);

/**
 * struct cq_client_call_t - a call
 * @addr: `ip:port`
 * @method: HTTP method
 * @path: path and query
 * @type: type of the body, or NULL for none
 * @body: the body
 * @body_len: its length; without a body, no length is sent
 * @timeout_ms: the answer must be whole within it
 * @done: called once, unless the client is freed first
 * @data: passed to @done
 * @data_free: frees @data after the answer, or when the call is dropped; may
 *   be NULL
 */
typedef struct {
    const char *addr;
    const char *method;
    const char *path;
    const char *type;
    const void *body;
    gsize body_len;
    guint timeout_ms;
    cq_client_done_t done;
    void *data;
    GDestroyNotify data_free;
} cq_client_call_t;

/** cq_client_new() - Return: a client without connections */
cq_client_t *
cq_client_new(void);

/** cq_client_free() - drop every call without an answer, and free */
void
cq_client_free(cq_client_t *client);

/** cq_client_call() - start @call */
void
cq_client_call(cq_client_t *client, const cq_client_call_t *call);

G_END_DECLS

#endif
