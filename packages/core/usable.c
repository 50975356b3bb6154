#include "core/usable.h"

#include "core/member.h"

/* An entry that may have lapsed in an outage of the store is written again
 * once the store is back, so its upstream counts as present for a time. */
gboolean
cq_usable_is_gone(const cq_core_t *core, const cq_upstream_t *upstream)
{
    return !upstream->listed && core->now_us >= upstream->lapsed_until_us;
}

gboolean
cq_usable_now(const cq_core_t *core, const cq_upstream_t *upstream)
{
    if (upstream->leaving || upstream->zone_emptied ||
        cq_usable_is_gone(core, upstream) ||
        cq_member_zone_cut_off(core, upstream)) {
        return FALSE;
    }
    return cq_member_accepts_from_us(upstream) <= core->now_us;
}
