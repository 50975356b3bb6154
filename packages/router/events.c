#include "router/events.h"

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

/* Moves the event unless the caller has it, by its id. */
static void
take_event(cq_events_t *events, const char *event, gsize len,
           cq_events_split_t *split)
{
    gint64 id = event_id(event, len);
    if (id < 0 && events->resumes) {
        split->unfit = TRUE;
        return;
    }
    if (id >= 0 && id <= events->last) {
        return;
    }
    g_byte_array_append(events->whole, (const guint8 *)event, (guint)len);
    events->last = MAX(id, events->last);
    split->unnumbered = split->unnumbered || id < 0;
    split->count++;
}

/* Return: the end of the event at the beginning of @text, which ends in a zero
 * byte, or NULL if it is not complete. Blank lines end no event. */
static const char *
find_end(cq_events_t *events, const char *text)
{
    if (events->searched_len == events->blank_len) {
        events->blank_len += strspn(text + events->blank_len, "\n");
        events->searched_len = events->blank_len;
    }
    /* The first of the two line ends may be among the bytes searched. */
    gsize from = events->searched_len;
    from -= from > events->blank_len ? 1 : 0;
    const char *end = strstr(text + from, EVENT_END);
    if (end == NULL) {
        events->searched_len += strlen(text + events->searched_len);
        return NULL;
    }
    events->blank_len = 0;
    events->searched_len = 0;
    return end + strlen(EVENT_END);
}

cq_events_split_t
cq_events_split(cq_events_t *events)
{
    cq_events_split_t split = {.count = 0};
    GByteArray *unparsed = events->unparsed;
    /* Terminates the text for strstr(). */
    g_byte_array_append(unparsed, (const guint8 *)"", 1);
    const char *event = (const char *)unparsed->data;
    const char *end = find_end(events, event);
    while (end != NULL && !split.unfit) {
        take_event(events, event, (gsize)(end - event), &split);
        event = end;
        end = find_end(events, event);
    }
    gsize complete_len = (gsize)(event - (const char *)unparsed->data);
    g_byte_array_set_size(unparsed, unparsed->len - 1);
    g_byte_array_remove_range(unparsed, 0, (guint)complete_len);
    return split;
}

gboolean
cq_events_is_torn(const cq_events_t *events)
{
    return events->unparsed->len > events->blank_len;
}
