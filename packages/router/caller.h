/**
 * DOC: caller
 *
 * One caller's open HTTP request: its answer as a stream or as a whole, the
 * bytes not yet written, and whether the caller is still there.
 */
#ifndef CQ_CALLER_H
#define CQ_CALLER_H

#include <libsoup/soup.h>

#include "core/action.h"
#include "router/calls.h"

G_BEGIN_DECLS

typedef struct cq_caller cq_caller_t;

/** typedef cq_caller_notify_t - hears of a change of @caller */
typedef void (*cq_caller_notify_t)(cq_caller_t *caller, void *data);

/**
 * struct cq_caller_options_t - how to make a caller
 * @id: the request's id
 * @model: a model call
 * @stream: the caller wants a stream
 * @chat: a chat completion
 * @method: HTTP method for the upstream; copied
 * @path: path and query for the upstream; copied
 * @content_type: of @body, or NULL; copied
 * @key: the caller's Idempotency-Key, or NULL; copied
 * @body: for the upstream; a reference is taken
 * @gone: called when the caller hangs up
 * @drained: called when a slow caller has taken most of its bytes
 * @data: for @gone, @drained and the finished callback
 */
typedef struct {
    guint64 id;
    gboolean model;
    gboolean stream;
    gboolean chat;
    const char *method;
    const char *path;
    const char *content_type;
    const char *key;
    GBytes *body;
    cq_caller_notify_t gone;
    cq_caller_notify_t drained;
    void *data;
} cq_caller_options_t;

/** cq_caller_new() - Return: a caller; @message is paused until answered */
cq_caller_t *
cq_caller_new(SoupServerMessage *message, const cq_caller_options_t *options);

/** cq_caller_unref() - give up the caller's table reference */
void
cq_caller_unref(cq_caller_t *caller);

/** cq_caller_id() - Return: the request's id */
guint64
cq_caller_id(const cq_caller_t *caller);

/** cq_caller_key() - Return: the id's address, for hash tables */
gpointer
cq_caller_key(cq_caller_t *caller);

/** cq_caller_target() - fill @target; its pointers are borrowed */
void
cq_caller_target(const cq_caller_t *caller, cq_call_target_t *target);

/** cq_caller_write() - pass stream events on; Return: whether the caller has
 * more than CQ_BUFFER_BYTES_MAX to take */
gboolean
cq_caller_write(cq_caller_t *caller, GBytes *bytes);

/** cq_caller_answer() - give the final answer; @finished is called when its
 * last byte is written or the caller is gone */
void
cq_caller_answer(cq_caller_t *caller, const cq_ac_answer_t *answer,
                 const cq_call_result_t *result, cq_caller_notify_t finished);

/** cq_caller_error() - answer @message with a JSON error */
void
cq_caller_error(SoupServerMessage *message, int status, const char *code,
                cq_ran_t ran, gint64 retry_after_us, const char *remedy);

G_END_DECLS

#endif
