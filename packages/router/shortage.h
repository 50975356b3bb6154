/**
 * DOC: shortage
 *
 * Counts the connections for which this process had no descriptor, and logs
 * when descriptors begin and cease to be short.
 */
#ifndef CQ_SHORTAGE_H
#define CQ_SHORTAGE_H

#include "router/app.h"

G_BEGIN_DECLS

/**
 * struct cq_shortage_t - state; all 0 at first
 * @refused: callers' connections that had no descriptor, as far as counted
 * @unopened: the same of connections to others
 * @until_us: descriptors count as short until then; 0: they are enough
 */
typedef struct {
    guint64 refused;
    guint64 unopened;
    gint64 until_us;
} cq_shortage_t;

/** cq_shortage_check() - to be called several times a second, with the number
 * of callers' connections refused so far */
void
cq_shortage_check(cq_shortage_t *shortage, cq_app_t *app, guint64 refused);

G_END_DECLS

#endif
