/**
 * DOC: h1
 *
 * HTTP/1.1 messages: a reader of requests or answers that stops right after
 * each message, and the writing of heads and chunks. The grammar is
 * http_parser's.
 */
#ifndef CQ_H1_H
#define CQ_H1_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_h1_field_t - one header field
 * @name: as received
 * @value: without surrounding blanks
 */
typedef struct {
    char *name;
    char *value;
} cq_h1_field_t;

/**
 * struct cq_h1_head_t - the head of a message
 * @method: of a request
 * @target: path and query of a request
 * @status: of an answer
 * @fields: array of cq_h1_field_t
 * @keep: whether the connection may be used again after the message
 * @sized: whether the body has a length or is chunked
 * @old: HTTP/1.0: the sender does not know chunks
 * @expects: the sender waits for `100 Continue`
 */
typedef struct {
    char *method;
    char *target;
    int status;
    GArray *fields;
    gboolean keep;
    gboolean sized;
    gboolean old;
    gboolean expects;
} cq_h1_head_t;

/** enum cq_h1_error_t - why a message can't be read */
typedef enum {
    CQ_H1_OK,
    CQ_H1_SYNTAX,
    CQ_H1_HEAD_TOO_LONG,
} cq_h1_error_t;

/**
 * struct cq_h1_ops_t - who gets the parts of a message
 * @head: the head is complete
 * @body: a part of the body
 * @done: the message is complete
 * @data: passed to each
 */
typedef struct {
    void (*head)(void *data, const cq_h1_head_t *head);
    void (*body)(void *data, const char *bytes, gsize len);
    void (*done)(void *data);
    void *data;
} cq_h1_ops_t;

/**
 * struct cq_h1_options_t - how to read
 * @answers: answers, not requests
 * @head_bytes_max: longest head, or 0 for no limit
 * @ops: who gets the parts
 */
typedef struct {
    gboolean answers;
    gsize head_bytes_max;
    cq_h1_ops_t ops;
} cq_h1_options_t;

typedef struct cq_h1 cq_h1_t;

/** cq_h1_new() - Return: a reader */
cq_h1_t *
cq_h1_new(const cq_h1_options_t *options);

/** cq_h1_free() - free @reader; not from one of its callbacks */
void
cq_h1_free(cq_h1_t *reader);

/** cq_h1_set_request_method() - the next answer is to @method */
void
cq_h1_set_request_method(cq_h1_t *reader, const char *method);

/** cq_h1_feed() - read on; Return: bytes used, fewer than @len when a message
 * ended or a fault was found */
gsize
cq_h1_feed(cq_h1_t *reader, const char *bytes, gsize len);

/** cq_h1_connection_closed() - the connection was closed in order: ends an
 * answer without length; Return: whether no message is left torn */
gboolean
cq_h1_connection_closed(cq_h1_t *reader);

/** cq_h1_error() - Return: what is wrong with the message */
cq_h1_error_t
cq_h1_error(const cq_h1_t *reader);

/** cq_h1_in_message() - Return: whether part of a message was read */
gboolean
cq_h1_in_message(const cq_h1_t *reader);

/** cq_h1_copy_head() - make @to a copy of @head; end it with
 * cq_h1_clear_head() */
void
cq_h1_copy_head(cq_h1_head_t *to, const cq_h1_head_t *head);

/** cq_h1_clear_head() - free what a copy holds; harmless for an empty head */
void
cq_h1_clear_head(cq_h1_head_t *head);

/** cq_h1_get_field() - Return: the value of field @name, or NULL */
const char *
cq_h1_get_field(const cq_h1_head_t *head, const char *name);

/** cq_h1_count_fields() - Return: how many fields are called @name */
guint
cq_h1_count_fields(const cq_h1_head_t *head, const char *name);

/** cq_h1_is_hop_by_hop() - Return: whether field @name concerns one connection
 * only: RFC 9110, section 7.6.1, and what the Connection field of @head names
 */
gboolean
cq_h1_is_hop_by_hop(const cq_h1_head_t *head, const char *name);

/** cq_h1_reason_phrase() - Return: the usual phrase for @status */
const char *
cq_h1_reason_phrase(int status);

/** cq_h1_append_chunk() - append @bytes to @out as one chunk */
void
cq_h1_append_chunk(GString *out, const char *bytes, gsize len);

G_END_DECLS

#endif
