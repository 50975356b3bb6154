/**
 * DOC: parts
 *
 * The parts of a prompt that other prompts may contain too. Their ids come
 * from callers, so equal ids show no more than that callers say so.
 */
#ifndef CQ_PARTS_H
#define CQ_PARTS_H

#include <glib.h>

#include "base/limits.h"

G_BEGIN_DECLS

/**
 * struct cq_parts_t - shared parts of a prompt
 * @ids: their ids, without duplicates
 * @len: number of @ids
 */
typedef struct {
    guint64 ids[CQ_PROMPT_PARTS_MAX];
    guint len;
} cq_parts_t;

G_END_DECLS

#endif
