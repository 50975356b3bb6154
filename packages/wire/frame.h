/**
 * DOC: frame
 *
 * Length framing: four bytes of big-endian length, then the payload.
 */
#ifndef CQ_FRAME_H
#define CQ_FRAME_H

#include <glib.h>

#include "base/limits.h"

G_BEGIN_DECLS

/** enum cq_frame_status_t - what cq_frame_next() found */
typedef enum {
    CQ_FRAME_NONE,     /* no complete frame yet */
    CQ_FRAME_READY,    /* a complete frame */
    CQ_FRAME_TOO_LONG, /* the length exceeds CQ_FRAME_BYTES_MAX */
} cq_frame_status_t;

/**
 * struct cq_frame_reader_t - bytes received and not yet returned as frames
 * @bytes: the bytes
 */
typedef struct {
    GByteArray *bytes;
} cq_frame_reader_t;

/** cq_frame_init() - make @reader empty */
void
cq_frame_init(cq_frame_reader_t *reader);

/** cq_frame_clear() - free the bytes that @reader holds */
void
cq_frame_clear(cq_frame_reader_t *reader);

/** cq_frame_push() - add @len received bytes */
void
cq_frame_push(cq_frame_reader_t *reader, const void *data, gsize len);

/**
 * cq_frame_next() - remove the next complete frame
 * @reader: the reader
 * @payload: gets the payload when the status is CQ_FRAME_READY; unref it
 *
 * Return: the status.
 */
cq_frame_status_t
cq_frame_next(cq_frame_reader_t *reader, GBytes **payload);

/** cq_frame_partial() - Return: whether @reader holds part of a frame */
gboolean
cq_frame_partial(const cq_frame_reader_t *reader);

/** cq_frame_wrap() - Return: the length @len, then @payload; unref it */
GBytes *
cq_frame_wrap(const void *payload, gsize len);

G_END_DECLS

#endif
