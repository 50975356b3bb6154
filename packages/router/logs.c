#include "router/logs.h"

#include <errno.h>
#include <glib-unix.h>
#include <log4c.h>
#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#include "base/limits.h"

#define LINE_BYTES CQ_LOG_LINE_BYTES
/* Lines are buffered this long, so that one write() takes several. */
#define FLUSH_DELAY_MS 20
/* Size limit of the buffer, which fills if the reader of standard output is
 * slow. Lines that do not fit are dropped. */
#define BUFFER_BYTES_MAX (256 * 1024)

struct cq_logs {
    log4c_category_t *category;
    char *host;
    GString *buffer;
    guint timer;
    guint64 dropped;
    guint64 dropped_logged;
    guint64 ring_logged; /* number of the next event of the ring to log */
};

/* Writes the buffer as far as the reader takes it without blocking. */
static void
flush(cq_logs_t *logs)
{
    while (logs->buffer->len > 0) {
        gssize n = write(STDOUT_FILENO, logs->buffer->str, logs->buffer->len);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return;
        }
        g_string_erase(logs->buffer, 0, n);
    }
}

static gboolean
on_flush(gpointer data)
{
    cq_logs_t *logs = data;
    logs->timer = 0;
    if (logs->dropped > logs->dropped_logged &&
        logs->buffer->len < BUFFER_BYTES_MAX / 2) {
        g_string_append_printf(logs->buffer,
                               "time_us=%" G_GINT64_FORMAT
                               " level=WARN host=%s event=lines_dropped "
                               "count=%" G_GUINT64_FORMAT "\n",
                               g_get_real_time(), logs->host,
                               logs->dropped - logs->dropped_logged);
        logs->dropped_logged = logs->dropped;
    }
    flush(logs);
    if (logs->buffer->len > 0) {
        logs->timer = g_timeout_add(FLUSH_DELAY_MS, on_flush, logs);
    }
    return G_SOURCE_REMOVE;
}

static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    cq_logs_t *logs = log4c_appender_get_udata(appender);
    gsize len = strlen(event->evt_rendered_msg);
    if (logs->buffer->len + len > BUFFER_BYTES_MAX) {
        logs->dropped++;
        return 0;
    }
    g_string_append_len(logs->buffer, event->evt_rendered_msg, (gssize)len);
    if (logs->timer == 0) {
        logs->timer = g_timeout_add(FLUSH_DELAY_MS, on_flush, logs);
    }
    return 0;
}

static const log4c_appender_type_t appender_type = {
    .name = "cq_waiting",
    .append = append_line,
};

static const char *
format_line(const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
    (void)layout;
    int size = (int)event->evt_buffer.buf_size;
    g_snprintf(event->evt_buffer.buf_data, (gulong)size,
               "time_us=%" G_GINT64_FORMAT " level=%s %s\n", g_get_real_time(),
               log4c_priority_to_string(event->evt_priority), event->evt_msg);
    return event->evt_buffer.buf_data;
}

static const log4c_layout_type_t layout_type = {"cq_line", format_line};

static int
priority_of(const char *level)
{
    if (strcmp(level, "debug") == 0) {
        return LOG4C_PRIORITY_DEBUG;
    }
    if (strcmp(level, "warn") == 0) {
        return LOG4C_PRIORITY_WARN;
    }
    if (strcmp(level, "error") == 0) {
        return LOG4C_PRIORITY_ERROR;
    }
    return LOG4C_PRIORITY_INFO;
}

/* Sets up log4c here, as log4c_init() would read log4crc from the working
 * directory. */
cq_logs_t *
cq_logs_new(const char *host, const char *level)
{
    cq_logs_t *logs = g_new0(cq_logs_t, 1);
    logs->host = g_strdup(host);
    log4c_layout_type_set(&layout_type);
    log4c_layout_t *layout = log4c_layout_get("cq_line");
    log4c_layout_set_type(layout, &layout_type);
    logs->buffer = g_string_new("");
    g_unix_set_fd_nonblocking(STDOUT_FILENO, TRUE, NULL);
    log4c_appender_type_set(&appender_type);
    log4c_appender_t *appender = log4c_appender_get("cq_waiting");
    log4c_appender_set_type(appender, &appender_type);
    log4c_appender_set_layout(appender, layout);
    log4c_appender_set_udata(appender, logs);
    log4c_appender_open(appender);
    logs->category = log4c_category_get("cuminquay");
    log4c_category_set_appender(logs->category, appender);
    cq_logs_set_level(logs, level);
    log4c_category_set_additivity(logs->category, 0);
    return logs;
}

void
cq_logs_set_level(cq_logs_t *logs, const char *level)
{
    log4c_category_set_priority(logs->category, priority_of(level));
}

void
cq_logs_free(cq_logs_t *logs)
{
    if (logs->timer != 0) {
        g_source_remove(logs->timer);
    }
    flush(logs);
    g_string_free(logs->buffer, TRUE);
    g_free(logs->host);
    g_free(logs);
}

guint64
cq_logs_dropped(const cq_logs_t *logs)
{
    return logs->dropped;
}

static void
write_line(cq_logs_t *logs, int priority, const char *event,
           const char *format, va_list args)
{
    char fields[LINE_BYTES];
    g_vsnprintf(fields, sizeof fields, format, args);
    log4c_category_log(logs->category, priority, "host=%s event=%s %s",
                       logs->host, event, fields);
}

void
cq_logs_info(cq_logs_t *logs, const char *event, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    write_line(logs, LOG4C_PRIORITY_INFO, event, format, args);
    va_end(args);
}

void
cq_logs_vinfo(cq_logs_t *logs, const char *event, const char *format,
              va_list args)
{
    write_line(logs, LOG4C_PRIORITY_INFO, event, format, args);
}

void
cq_logs_ring(cq_logs_t *logs, const cq_ring_t *ring)
{
    logs->ring_logged = MAX(logs->ring_logged, cq_ring_first(ring));
    for (; logs->ring_logged < ring->count; logs->ring_logged++) {
        const cq_ring_event_t *event = cq_ring_at(ring, logs->ring_logged);
        cq_logs_info(logs, event->kind,
                     "request=%016" G_GINT64_MODIFIER "x try=%u %s",
                     event->request, event->attempt, event->text);
    }
}
