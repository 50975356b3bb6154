/**
 * DOC: passes
 *
 * An emulated engine that works in passes: token steps for the streams that
 * write, with the reading of prompts in between, first come first served.
 */
#ifndef CQ_PASSES_H
#define CQ_PASSES_H

#include "base/speed.h"

G_BEGIN_DECLS

typedef struct cq_passes cq_passes_t;

/**
 * struct cq_passes_ops_t - who hears of the engine
 * @read: it has read its part of request @id
 * @wrote: it wrote an event of request @id; @left events are to come
 * @data: passed to each
 */
typedef struct {
    void (*read)(cq_passes_t *engine, guint64 id, void *data);
    void (*wrote)(cq_passes_t *engine, guint64 id, guint left, void *data);
    void *data;
} cq_passes_ops_t;

/** cq_passes_new() - Return: an idle engine */
cq_passes_t *
cq_passes_new(const cq_engine_speed_t *speed, const cq_passes_ops_t *ops);

/** cq_passes_free() - free @engine */
void
cq_passes_free(cq_passes_t *engine);

/** cq_passes_read() - read @tokens of request @id, which take @read_us; parts
 * of prompts go ahead of whole ones */
void
cq_passes_read(cq_passes_t *engine, guint64 id, gint64 tokens, gint64 read_us,
               gboolean part);

/** cq_passes_write() - write @events of request @id from the next pass on */
void
cq_passes_write(cq_passes_t *engine, guint64 id, gint64 context, guint events);

/** cq_passes_drop() - request @id is gone */
void
cq_passes_drop(cq_passes_t *engine, guint64 id);

/** cq_passes_begin() - begin a pass; Return: its time, 0 when there is
 * nothing to do or a pass is under way */
gint64
cq_passes_begin(cq_passes_t *engine);

/** cq_passes_end() - the pass is over: tell what it has done */
void
cq_passes_end(cq_passes_t *engine);

/** cq_passes_streams() - Return: requests that write there */
guint
cq_passes_streams(const cq_passes_t *engine);

G_END_DECLS

#endif
