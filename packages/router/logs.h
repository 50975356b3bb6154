/**
 * DOC: logs
 *
 * Log lines of key=value pairs on standard output, through log4c. Logging
 * never blocks: lines go to a bounded buffer; lines that do not fit are
 * dropped, and a lines_dropped event gives their number.
 */
#ifndef CQ_LOGS_H
#define CQ_LOGS_H

#include "base/ring.h"

G_BEGIN_DECLS

typedef struct cq_logs cq_logs_t;

/** cq_logs_new() - Return: a logger of lines at @level ("debug", "info",
 * "warn" or "error") and above, each with host=@host; a process can have only
 * one */
cq_logs_t *
cq_logs_new(const char *host, const char *level);

/** cq_logs_set_level() - log only lines at @level and above from now on */
void
cq_logs_set_level(cq_logs_t *logs, const char *level);

/** cq_logs_free() - write the buffered lines, as far as that does not block,
 * and free */
void
cq_logs_free(cq_logs_t *logs);

/** cq_logs_info() - log a line `event=@event` with the formatted fields */
void
cq_logs_info(cq_logs_t *logs, const char *event, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

/** cq_logs_vinfo() - like cq_logs_info() */
void
cq_logs_vinfo(cq_logs_t *logs, const char *event, const char *format,
              va_list args) G_GNUC_PRINTF(3, 0);

/** cq_logs_ring() - log the events of @ring that are newer than those logged
 * by the last call */
void
cq_logs_ring(cq_logs_t *logs, const cq_ring_t *ring);

/** cq_logs_dropped() - Return: number of lines dropped because the buffer was
 * full
 */
guint64
cq_logs_dropped(const cq_logs_t *logs);

G_END_DECLS

#endif
