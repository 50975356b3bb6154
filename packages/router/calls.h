/**
 * DOC: calls
 *
 * HTTP client for upstreams in API mode: carries out the core's SEND, STOP and
 * PROBE as HTTP calls and reports their outcomes as events.
 */
#ifndef CQ_CALLS_H
#define CQ_CALLS_H

#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_calls cq_calls_t;

/**
 * struct cq_call_spec_t - the caller's request as it is sent to the
 * upstream; pointers are borrowed
 * @method: HTTP method
 * @path: path and query at the upstream
 * @content_type: content type of the body, or NULL
 * @key: the caller's Idempotency-Key, or NULL
 * @body: the body
 * @model: whether the upstream is a model engine
 */
typedef struct {
    const char *method;
    const char *path;
    const char *content_type;
    const char *key;
    GBytes *body;
    gboolean model;
} cq_call_spec_t;

/**
 * struct cq_call_result_t - a plain service's complete answer
 * @status: HTTP status
 * @content_type: content type, or NULL; borrowed
 * @body: body; borrowed
 */
typedef struct {
    int status;
    const char *content_type;
    GBytes *body;
} cq_call_result_t;

/** cq_calls_new() - Return: a client without calls */
cq_calls_t *
cq_calls_new(cq_app_t *app);

/** cq_calls_free() - cancel every call and free the client */
void
cq_calls_free(cq_calls_t *calls);

/** cq_calls_send() - start an attempt at @upstream. Older calls of the request
 * go on until they are stopped */
void
cq_calls_send(cq_calls_t *calls, const cq_ac_send_t *send,
              const cq_upstream_view_t *upstream, const cq_call_spec_t *spec);

/** cq_calls_stop() - cancel an attempt and, if the upstream is an engine, send
 * it a cancel request; @upstream may be NULL */
void
cq_calls_stop(cq_calls_t *calls, const cq_ac_attempt_t *attempt,
              const cq_upstream_view_t *upstream);

/** cq_calls_probe() - ask an engine for the state of an attempt, or a plain
 * service for its health, on another connection than the attempt's */
void
cq_calls_probe(cq_calls_t *calls, const cq_ac_attempt_t *attempt,
               const cq_upstream_view_t *upstream, gboolean model);

/** cq_calls_take_events() - Return: the complete stream events of @attempt
 * that have not been taken yet; free with g_bytes_unref() */
GBytes *
cq_calls_take_events(cq_calls_t *calls, const cq_ac_attempt_t *attempt);

/** cq_calls_result() - Return: whether a plain service has completely answered
 * the attempt of @answer; if so, @result is filled */
gboolean
cq_calls_result(cq_calls_t *calls, const cq_ac_answer_t *answer,
                cq_call_result_t *result);

/** cq_calls_remove() - cancel the calls of @request and free them */
void
cq_calls_remove(cq_calls_t *calls, guint64 request);

/** cq_calls_refuse_hand() - report that a request can't be passed on to a
 * peer, which this mode doesn't support */
void
cq_calls_refuse_hand(cq_calls_t *calls, const cq_ac_hand_t *hand);

/** cq_calls_pause() - pause reading the answers to @request, or resume it;
 * reported as PAUSED or RESUMED */
void
cq_calls_pause(cq_calls_t *calls, guint64 request, gboolean paused);

G_END_DECLS

#endif
