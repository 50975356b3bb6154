/**
 * DOC: caller
 *
 * One open HTTP request of a caller in API mode: sends its answer as a stream
 * or in one piece, counts the unwritten bytes and detects a hangup.
 */
#ifndef CQ_CALLER_H
#define CQ_CALLER_H

#include <libsoup/soup.h>

#include "core/action.h"
#include "router/app.h"
#include "router/calls.h"

G_BEGIN_DECLS

typedef struct cq_caller cq_caller_t;

/** typedef cq_caller_notify_t - callback that concerns @caller */
typedef void (*cq_caller_notify_t)(cq_caller_t *caller, void *data);

/**
 * struct cq_caller_options_t - options of cq_caller_new()
 * @app: logs events that can't be read
 * @id: the request's id
 * @model: whether the request is for a model engine, not a plain service
 * @stream: whether the caller wants a stream
 * @chat: whether the request is a chat completion
 * @method: HTTP method for the upstream; copied
 * @path: path and query for the upstream; copied
 * @content_type: content type of @body, or NULL; copied
 * @key: the caller's Idempotency-Key, or NULL; copied
 * @body: body for the upstream; a reference is taken
 * @hangup: called if the caller hangs up before cq_caller_answer()
 * @writable: called when less than half of CQ_CALLER_BUFFER_BYTES_MAX is
 * unwritten, after cq_caller_write() has returned TRUE
 * @data: passed to @hangup, @writable and the finished callback
 */
typedef struct {
    cq_app_t *app;
    guint64 id;
    gboolean model;
    gboolean stream;
    gboolean chat;
    const char *method;
    const char *path;
    const char *content_type;
    const char *key;
    GBytes *body;
    cq_caller_notify_t hangup;
    cq_caller_notify_t writable;
    void *data;
} cq_caller_options_t;

/** cq_caller_new() - Return: a caller; @message is paused until there is
 * something to send. The caller has two references: one for the table of
 * callers, and one that is dropped when @message has finished. */
cq_caller_t *
cq_caller_new(SoupServerMessage *message, const cq_caller_options_t *options);

/** cq_caller_unref() - drop the reference of the table of callers */
void
cq_caller_unref(cq_caller_t *caller);

/** cq_caller_id() - Return: the request's id */
guint64
cq_caller_id(const cq_caller_t *caller);

/** cq_caller_table_key() - Return: the id's address, for hash tables */
gpointer
cq_caller_table_key(cq_caller_t *caller);

/** cq_caller_spec() - fill @spec; its pointers are borrowed */
void
cq_caller_spec(const cq_caller_t *caller, cq_call_spec_t *spec);

/** cq_caller_write() - forward stream events, or collect them if the caller
 * wants the answer in one piece; Return: whether more than
 * CQ_CALLER_BUFFER_BYTES_MAX are unwritten */
gboolean
cq_caller_write(cq_caller_t *caller, GBytes *bytes);

/** cq_caller_answer() - complete the answer; @result is a plain service's
 * answer or NULL; @finished is called when the last byte is written or the
 * caller has hung up */
void
cq_caller_answer(cq_caller_t *caller, const cq_ac_answer_t *answer,
                 const cq_call_result_t *result, cq_caller_notify_t finished);

/** cq_caller_send_error() - answer @message with a JSON error */
void
cq_caller_send_error(SoupServerMessage *message, int status, const char *code,
                     cq_ran_t ran, gint64 retry_after_us, const char *remedy);

G_END_DECLS

#endif
