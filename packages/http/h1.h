/**
 * DOC: h1
 *
 * HTTP/1.1 messages: an incremental parser for requests or responses, which
 * stops right after each message, and helpers to inspect heads and to write
 * chunks. The grammar is http_parser's, without what lets two parsers read a
 * message differently (RFC 9112, 11.2): folded lines, blanks before a colon,
 * names that are no tokens, transfer codings other than one `chunked`.
 */
#ifndef CQ_H1_H
#define CQ_H1_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_h1_field_t - one header field; strings are owned
 * @name: as received
 * @value: without surrounding white space
 */
typedef struct {
    char *name;
    char *value;
} cq_h1_field_t;

/**
 * struct cq_h1_head_t - the head of a message
 * @method: of a request; "" for a response
 * @target: path and query of a request
 * @status: of a response; 0 for a request
 * @fields: array of cq_h1_field_t
 * @keep_alive: the connection may be reused after the message
 * @has_framing: the message has a Content-Length or is chunked
 * @is_http10: the sender uses HTTP/1.0 and does not understand chunked
 * encoding
 * @expects_continue: the sender waits for `100 Continue`
 */
typedef struct {
    char *method;
    char *target;
    int status;
    GArray *fields;
    gboolean keep_alive;
    gboolean has_framing;
    gboolean is_http10;
    gboolean expects_continue;
} cq_h1_head_t;

/** enum cq_h1_error_t - why a message can't be parsed */
typedef enum {
    CQ_H1_OK,
    CQ_H1_SYNTAX,
    CQ_H1_HEAD_TOO_LONG,
} cq_h1_error_t;

/**
 * struct cq_h1_ops_t - callbacks for the parts of a message
 * @head: the head is complete; it is valid during the call only
 * @body: a part of the body arrived
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
 * struct cq_h1_options_t - how to parse
 * @parse_responses: parse responses; if FALSE, parse requests
 * @head_bytes_max: longest head in bytes, or 0 for http_parser's limit only
 * @ops: callbacks
 */
typedef struct {
    gboolean parse_responses;
    gsize head_bytes_max;
    cq_h1_ops_t ops;
} cq_h1_options_t;

typedef struct cq_h1 cq_h1_t;

/** cq_h1_new() - Return: a parser */
cq_h1_t *
cq_h1_new(const cq_h1_options_t *options);

/** cq_h1_free() - free @reader; not from one of its callbacks */
void
cq_h1_free(cq_h1_t *reader);

/** cq_h1_set_request_method() - state the method of the request that the next
 * response answers: a response to HEAD has no body */
void
cq_h1_set_request_method(cq_h1_t *reader, const char *method);

/** cq_h1_feed() - parse @len bytes; Return: bytes used, fewer than @len when a
 * message ended or an error was found, see cq_h1_error() */
gsize
cq_h1_feed(cq_h1_t *reader, const char *bytes, gsize len);

/** cq_h1_connection_closed() - the other side has closed the connection, which
 * completes a response without a length; Return: FALSE if a message is
 * incomplete */
gboolean
cq_h1_connection_closed(cq_h1_t *reader);

/** cq_h1_error() - Return: why parsing failed, or CQ_H1_OK */
cq_h1_error_t
cq_h1_error(const cq_h1_t *reader);

/** cq_h1_in_message() - Return: whether a message has begun and is not
 * complete */
gboolean
cq_h1_in_message(const cq_h1_t *reader);

/** cq_h1_copy_head() - make @to a copy of @head; free it with
 * cq_h1_clear_head() */
void
cq_h1_copy_head(cq_h1_head_t *to, const cq_h1_head_t *head);

/** cq_h1_clear_head() - free what a copy holds; does nothing for a zeroed head
 */
void
cq_h1_clear_head(cq_h1_head_t *head);

/** cq_h1_get_field() - Return: the value of the first field @name, borrowed,
 * or NULL */
const char *
cq_h1_get_field(const cq_h1_head_t *head, const char *name);

/** cq_h1_count_fields() - Return: number of fields with the name @name */
guint
cq_h1_count_fields(const cq_h1_head_t *head, const char *name);

/** cq_h1_is_hop_by_hop() - Return: whether @name is a hop-by-hop field, which
 * is not forwarded: one of RFC 9110, section 7.6.1, or named in the Connection
 * field of @head */
gboolean
cq_h1_is_hop_by_hop(const cq_h1_head_t *head, const char *name);

/** cq_h1_is_success() - Return: whether the status of @head is 2xx */
gboolean
cq_h1_is_success(const cq_h1_head_t *head);

/** cq_h1_reason_phrase() - Return: the standard reason phrase of @status */
const char *
cq_h1_reason_phrase(int status);

/** cq_h1_append_chunk() - append @bytes to @out as one chunk */
void
cq_h1_append_chunk(GString *out, const char *bytes, gsize len);

G_END_DECLS

#endif
