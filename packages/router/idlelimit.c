#include "router/idlelimit.h"

#include "base/limits.h"

void
cq_idle_limit_change(cq_idle_limit_t *limit, const cq_routes_t *routes,
                     gint64 now_us)
{
    if (limit->version > 0 && routes->idle_timeout_us < limit->timeout_us) {
        limit->earlier_us = cq_idle_limit_timeout(limit, now_us);
        limit->earlier_until_us = now_us + CQ_IDLE_NOTICE_US;
    }
    limit->timeout_us = routes->idle_timeout_us;
    limit->version = routes->version;
}

gint64
cq_idle_limit_timeout(const cq_idle_limit_t *limit, gint64 now_us)
{
    if (now_us >= limit->earlier_until_us) {
        return limit->timeout_us;
    }
    return MAX(limit->timeout_us, limit->earlier_us);
}
