/**
 * DOC: idlelimit
 *
 * How long callers' connections may be idle, when the configuration changes.
 * Callers use a connection again that has been idle for most of the timeout
 * that they know, so a lowered timeout must not end connections whose callers
 * don't know it yet.
 */
#ifndef CQ_IDLELIMIT_H
#define CQ_IDLELIMIT_H

#include <glib.h>

#include "config/routes.h"

G_BEGIN_DECLS

/**
 * struct cq_idle_limit_t - the idle timeout in force
 * @version: version of the newest configuration; 0: the defaults, which
 * callers don't know
 * @timeout_us: its timeout
 * @earlier_us: the longest one that callers may still know
 * @earlier_until_us: until when they may
 */
typedef struct {
    guint64 version;
    gint64 timeout_us;
    gint64 earlier_us;
    gint64 earlier_until_us;
} cq_idle_limit_t;

/** cq_idle_limit_change() - use the timeout of @routes */
void
cq_idle_limit_change(cq_idle_limit_t *limit, const cq_routes_t *routes,
                     gint64 now_us);

/** cq_idle_limit_timeout() - Return: the timeout for a connection that becomes
 * idle at @now_us */
gint64
cq_idle_limit_timeout(const cq_idle_limit_t *limit, gint64 now_us);

G_END_DECLS

#endif
