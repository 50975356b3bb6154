/**
 * DOC: error
 *
 * The error struct that is passed down. A message names what was found and
 * the remedy.
 */
#ifndef CQ_ERROR_H
#define CQ_ERROR_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * enum cq_error_kind_t - what went wrong
 * @CQ_ERROR_NONE: nothing
 * @CQ_ERROR_SYNTAX: text is not well formed
 * @CQ_ERROR_KEY: a key is unknown or missing
 * @CQ_ERROR_VALUE: a value has the wrong type or is out of range
 * @CQ_ERROR_FILE: a file is not readable
 * @CQ_ERROR_UNREACHABLE: the other side does not answer
 * @CQ_ERROR_REFUSED: the other side says no
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
 * struct cq_error_t - one typed error
 * @kind: what went wrong
 * @text: the message, with the remedy
 */
typedef struct {
    cq_error_kind_t kind;
    char text[512];
} cq_error_t;

/**
 * cq_error_set() - record an error
 * @error: where to record it; the first error is kept
 * @kind: its kind
 * @format: printf format of the message
 *
 * Return: always FALSE, so that callers can return the call.
 */
gboolean
cq_error_set(cq_error_t *error, cq_error_kind_t kind, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

G_END_DECLS

#endif
