#include "core/rate.h"

static void
log_limit(cq_core_t *core, const cq_upstream_t *upstream)
{
    if (upstream->rate.limited) {
        cq_ring_add(&core->ring, core->now_us, 0, 0, "limited",
                    "upstream=%s per_s=%.2f", upstream->name,
                    upstream->rate.per_s);
        return;
    }
    cq_ring_add(&core->ring, core->now_us, 0, 0, "unlimited", "upstream=%s",
                upstream->name);
}

void
cq_rate_heard(cq_core_t *core, cq_upstream_t *upstream,
              const cq_rate_statement_t *rate)
{
    if (rate->kind == CQ_RATE_UNSTATED) {
        return;
    }
    cq_rate_t said = {
        .limited = rate->kind == CQ_RATE_LIMITED,
        .per_s = rate->per_s,
    };
    gboolean changed = said.limited != upstream->rate.limited ||
                       (said.limited && said.per_s != upstream->rate.per_s);
    upstream->rate = said;
    if (changed) {
        log_limit(core, upstream);
    }
}
