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

/** enum cq_frame_status_t - what a reader has */
typedef enum {
    CQ_FRAME_NONE,     /* less than a whole frame */
    CQ_FRAME_READY,    /* a whole frame */
    CQ_FRAME_TOO_LONG, /* the length exceeds CQ_FRAME_BYTES_MAX */
} cq_frame_status_t;

/**
 * struct cq_frame_reader_t - bytes received and not yet taken
 * @bytes: the bytes
 */
typedef struct {
    GByteArray *bytes;
} cq_frame_reader_t;

/** cq_frame_init() - make @reader empty */
void
cq_frame_init(cq_frame_reader_t *reader);

/** cq_frame_clear() - free what @reader holds */
void
cq_frame_clear(cq_frame_reader_t *reader);

/** cq_frame_push() - add @len received bytes */
void
cq_frame_push(cq_frame_reader_t *reader, const void *data, gsize len);

/**
 * cq_frame_next() - take the next whole frame
 * @reader: the reader
 * @payload: gets the payload when the status is CQ_FRAME_READY; unref it
 *
 * Return: the status.
 */
cq_frame_status_t
cq_frame_next(cq_frame_reader_t *reader, GBytes **payload);

/** cq_frame_partial() - Return: whether part of a frame is held */
gboolean
cq_frame_partial(const cq_frame_reader_t *reader);

/** cq_frame_wrap() - Return: @payload behind its length; unref it */
GBytes *
cq_frame_wrap(const void *payload, gsize len);

G_END_DECLS

#endif
