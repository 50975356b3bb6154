#include "error.h"

#include <stdarg.h>

gboolean
cq_error_set(cq_error_t *error, cq_error_kind_t kind, const char *format, ...)
{
    if (error->kind != CQ_ERROR_NONE) {
        return FALSE;
    }
    va_list args;
    va_start(args, format);
    error->kind = kind;
    g_vsnprintf(error->text, sizeof error->text, format, args);
    va_end(args);
    return FALSE;
}
