#include "router/logs.h"

#include <log4c.h>
#include <log4c/appender_type_stream.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/limits.h"

#define LINE_BYTES CQ_LOG_LINE_BYTES

struct cq_logs {
    log4c_category_t *category;
    char *host;
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

static const log4c_layout_type_t line_type = {"cq_line", format_line};

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

/* log4c_init() would read log4crc from the working directory; everything is
 * set here instead. */
cq_logs_t *
cq_logs_new(const char *host, const char *level)
{
    cq_logs_t *logs = g_new0(cq_logs_t, 1);
    logs->host = g_strdup(host);
    log4c_layout_type_set(&line_type);
    log4c_layout_t *layout = log4c_layout_get("cq_line");
    log4c_layout_set_type(layout, &line_type);
    log4c_appender_t *appender = log4c_appender_get("stdout");
    log4c_appender_set_type(appender, &log4c_appender_type_stream);
    log4c_appender_set_layout(appender, layout);
    log4c_appender_set_udata(appender, stdout);
    log4c_appender_open(appender);
    logs->category = log4c_category_get("cuminquay");
    log4c_category_set_appender(logs->category, appender);
    cq_logs_level(logs, level);
    log4c_category_set_additivity(logs->category, 0);
    return logs;
}

void
cq_logs_level(cq_logs_t *logs, const char *level)
{
    log4c_category_set_priority(logs->category, priority_of(level));
}

void
cq_logs_free(cq_logs_t *logs)
{
    g_free(logs->host);
    g_free(logs);
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
