/**
 * DOC: logs
 *
 * Log lines by log4c, as key=value, on standard output. Writing never blocks:
 * lines wait in a bounded buffer, and what does not fit is counted and told.
 */
#ifndef CQ_LOGS_H
#define CQ_LOGS_H

#include <glib.h>

G_BEGIN_DECLS

typedef struct cq_logs cq_logs_t;

/** cq_logs_new() - Return: a log of lines at @level ("debug", "info", "warn"
 * or "error") and above, each with host=@host; only one may be open */
cq_logs_t *
cq_logs_new(const char *host, const char *level);

/** cq_logs_level() - write lines at @level and above from now on */
void
cq_logs_level(cq_logs_t *logs, const char *level);

/** cq_logs_free() - write what waits, as far as nothing blocks, and close */
void
cq_logs_free(cq_logs_t *logs);

/** cq_logs_info() - log `event=@event` and the formatted fields */
void
cq_logs_info(cq_logs_t *logs, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/** cq_logs_dropped() - Return: lines that did not fit */
guint64
cq_logs_dropped(const cq_logs_t *logs);

G_END_DECLS

#endif
