/**
 * DOC: error
 *
 * Errors are reported through a cq_error_t that the caller passes. A message
 * states what was found and the remedy.
 */
#ifndef CQ_ERROR_H
#define CQ_ERROR_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * enum cq_error_kind_t - what went wrong
 * @CQ_ERROR_NONE: nothing
 * @CQ_ERROR_SYNTAX: a text is not well formed
 * @CQ_ERROR_KEY: a key is unknown or missing
 * @CQ_ERROR_VALUE: a value has the wrong type or is out of range
 * @CQ_ERROR_FILE: a file can't be read
 * @CQ_ERROR_UNREACHABLE: the other side does not answer, or an address can't
 *   be bound for listening
 * @CQ_ERROR_REFUSED: the other side refused the request
 * @CQ_ERROR_LIMIT: a hard limit is exceeded
 */
typedef enum {
    CQ_ERROR_NONE,
    CQ_ERROR_SYNTAX,
    CQ_ERROR_KEY,
    CQ_ERROR_VALUE,
    CQ_ERROR_FILE,
    CQ_ERROR_UNREACHABLE,
    CQ_ERROR_REFUSED,
    CQ_ERROR_LIMIT,
} cq_error_kind_t;

/**
 * struct cq_error_t - an error; zero-initialize it
 * @kind: what went wrong
 * @text: the message, with the remedy
 */
typedef struct {
    cq_error_kind_t kind;
    char text[512];
} cq_error_t;

/**
 * cq_error_set() - set an error
 * @error: the error; if it is set already, it stays unchanged
 * @kind: its kind
 * @format: printf format of the message
 *
 * Return: always FALSE, so that callers can write `return cq_error_set(...)`.
 */
gboolean
cq_error_set(cq_error_t *error, cq_error_kind_t kind, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

G_END_DECLS

#endif
