/**
 * DOC: heads
 *
 * Heads of the answers that callers get in relay mode, and the answers that
 * reject invalid requests.
 */
#ifndef CQ_HEADS_H
#define CQ_HEADS_H

#include <glib.h>

#include "http/h1.h"

G_BEGIN_DECLS

/** cq_heads_append_local() - append the complete head of an answer made by
 * this process, with the header lines @extra and a JSON body of @len bytes */
void
cq_heads_append_local(GString *out, int status, const char *extra, gsize len,
                      gboolean keep_open);

/** cq_heads_append_upstream() - append the head of an upstream's answer,
 * without its framing and without the empty line that ends it */
void
cq_heads_append_upstream(GString *out, const cq_h1_head_t *head,
                         gboolean keep_open);

/** cq_heads_to_origin_form() - if the target of the request @head is a whole
 * URL, make it a path, and the URL's host the Host field (RFC 9112, 3.2.2) */
void
cq_heads_to_origin_form(cq_h1_head_t *head);

/** cq_heads_without_body() - Return: whether the answer to @request with this
 * status has no body */
gboolean
cq_heads_without_body(const cq_h1_head_t *request, int status);

/** cq_heads_rejection() - Return: NULL if a request is valid so far, else the
 * body of the answer that rejects it; @status is then set */
const char *
cq_heads_rejection(cq_h1_error_t error, gboolean body_too_long, int *status);

G_END_DECLS

#endif
