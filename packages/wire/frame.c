#include "wire/frame.h"

#include <string.h>

#define LENGTH_BYTES 4

void
cq_frame_init(cq_frame_reader_t *reader)
{
    reader->bytes = g_byte_array_new();
}

void
cq_frame_clear(cq_frame_reader_t *reader)
{
    g_byte_array_unref(reader->bytes);
}

void
cq_frame_push(cq_frame_reader_t *reader, const void *data, gsize len)
{
    g_byte_array_append(reader->bytes, data, (guint)len);
}

static guint32
read_length(const cq_frame_reader_t *reader)
{
    guint32 length;
    memcpy(&length, reader->bytes->data, sizeof length);
    return GUINT32_FROM_BE(length);
}

cq_frame_status_t
cq_frame_next(cq_frame_reader_t *reader, GBytes **payload)
{
    if (reader->bytes->len < LENGTH_BYTES) {
        return CQ_FRAME_NONE;
    }
    guint32 length = read_length(reader);
    if (length > CQ_FRAME_BYTES_MAX) {
        return CQ_FRAME_TOO_LONG;
    }
    if (reader->bytes->len < LENGTH_BYTES + length) {
        return CQ_FRAME_NONE;
    }
    *payload = g_bytes_new(reader->bytes->data + LENGTH_BYTES, length);
    g_byte_array_remove_range(reader->bytes, 0, LENGTH_BYTES + length);
    return CQ_FRAME_READY;
}

gboolean
cq_frame_partial(const cq_frame_reader_t *reader)
{
    return reader->bytes->len > 0;
}

GBytes *
cq_frame_wrap(const void *payload, gsize len)
{
    g_assert(len <= CQ_FRAME_BYTES_MAX);
    guint32 length = GUINT32_TO_BE((guint32)len);
    guint8 *bytes = g_malloc(LENGTH_BYTES + len);
    memcpy(bytes, &length, sizeof length);
    memcpy(bytes + LENGTH_BYTES, payload, len);
    return g_bytes_new_take(bytes, LENGTH_BYTES + len);
}
