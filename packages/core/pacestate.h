/**
 * DOC: pacestate
 *
 * What a host knows of the pace of an upstream, see core/pace.h.
 */
#ifndef CQ_PACESTATE_H
#define CQ_PACESTATE_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_pace_t - how much this host may have running at an upstream that
 *   has started or recovered
 * @active: its pace is being found
 * @window: requests of this host that may run there
 * @since_us: when it started, or when it last failed
 * @rank: this host's rank for it then
 * @unopened: connections in a row that did not open
 * @started_us: when it started last, as far as this process has seen
 * @short_lives: starts in a row that each came soon after the one before
 */
typedef struct {
    gboolean active;
    guint window;
    gint64 since_us;
    guint rank;
    guint unopened;
    gint64 started_us;
    guint short_lives;
} cq_pace_t;

G_END_DECLS

#endif
