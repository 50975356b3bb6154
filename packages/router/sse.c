#include "router/sse.h"

#include <string.h>

#define EVENT_END "\n\n"
#define EVENT_ID "id:"

static gint64
event_id(const char *line, gsize len)
{
    const char *end = line + len;
    while (line < end) {
        if (g_str_has_prefix(line, EVENT_ID)) {
            return g_ascii_strtoll(line + strlen(EVENT_ID), NULL, 10);
        }
        const char *newline = memchr(line, '\n', (gsize)(end - line));
        line = newline != NULL ? newline + 1 : end;
    }
    return -1;
}

gint64
cq_sse_take(GByteArray *unparsed, GByteArray *events, gint64 *last_event)
{
    gint64 accepted = 0;
    /* Terminates the text for strstr(). */
    g_byte_array_append(unparsed, (const guint8 *)"", 1);
    const char *event = (const char *)unparsed->data;
    const char *end = strstr(event, EVENT_END);
    while (end != NULL) {
        gsize len = (gsize)(end - event) + strlen(EVENT_END);
        gint64 id = event_id(event, len);
        if (id < 0 || id > *last_event) {
            g_byte_array_append(events, (const guint8 *)event, (guint)len);
            *last_event = MAX(id, *last_event);
            accepted++;
        }
        event += len;
        end = strstr(event, EVENT_END);
    }
    gsize complete_len = (gsize)(event - (const char *)unparsed->data);
    g_byte_array_set_size(unparsed, unparsed->len - 1);
    g_byte_array_remove_range(unparsed, 0, (guint)complete_len);
    return accepted;
}
