#include "core/lease.h"

#include "core/table.h"

static gboolean
held_here(const cq_core_t *core)
{
    return core->lease.fence != 0 && !core->lease.released &&
           core->lease.host == core->host &&
           core->lease.incarnation == core->incarnation;
}

static void
append_record(cq_core_t *core, cq_lease_verb_t verb)
{
    cq_action_t action = {
        .kind = CQ_AC_LEASE,
        .lease = {.verb = verb,
                  .host = core->host,
                  .incarnation = core->incarnation,
                  .fence = core->lease.fence,
                  .sent_us = core->now_us},
    };
    core->lease.last_append_us = core->now_us;
    cq_actions_add(core->actions, &action);
}

static void
apply_renewal(cq_core_t *core, const cq_lease_t *record)
{
    core->lease.renewal_read_us = core->now_us;
    if (held_here(core)) {
        core->lease.valid_until_us =
            record->sent_us + CQ_LEASE_US - CQ_LEASE_MARGIN_US;
    }
}

static void
apply_take(cq_core_t *core, const cq_lease_t *record, guint64 fence)
{
    core->lease.fence = fence;
    core->lease.host = record->host;
    core->lease.incarnation = record->incarnation;
    core->lease.released = FALSE;
    core->lease.valid_until_us = 0;
    apply_renewal(core, record);
    cq_ring_add(&core->ring, core->now_us, 0, 0, "lease",
                "fence=%" G_GUINT64_FORMAT " holder=%06x mine=%s", fence,
                record->host, held_here(core) ? "yes" : "no");
}

/* The fencing number is the offset plus one, since offsets start at 0 and 0
 * means that there is no lease. If the log starts anew, its offsets are lower;
 * the number then still increases by one, so that it never decreases. */
void
cq_lease_apply(cq_core_t *core, const cq_lease_t *record, guint64 offset)
{
    if (record->fence != core->lease.fence) {
        return;
    }
    switch (record->verb) {
    case CQ_LEASE_TAKE:
        apply_take(core, record, MAX(offset + 1, core->lease.fence + 1));
        break;
    case CQ_LEASE_RENEW:
        apply_renewal(core, record);
        break;
    case CQ_LEASE_RELEASE:
        core->lease.released = TRUE;
        core->lease.valid_until_us = 0;
        break;
    }
}

/* Whether any service states how many engines are to load its models. */
static gboolean
lease_needed(const cq_core_t *core)
{
    for (guint i = 0; i < core->services->len; i++) {
        const cq_service_t *service = g_ptr_array_index(core->services, i);
        if (service->rules != NULL &&
            cq_rules_orders_model_loads(service->rules)) {
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
may_take(const cq_core_t *core)
{
    if (core->lease.fence == 0 || core->lease.released) {
        return TRUE;
    }
    return core->now_us - core->lease.renewal_read_us > CQ_LEASE_US;
}

void
cq_lease_tick(cq_core_t *core)
{
    gboolean appended_recently =
        core->now_us - core->lease.last_append_us < CQ_LEASE_RENEW_US;
    if (appended_recently || !core->log_up) {
        return;
    }
    if (held_here(core)) {
        append_record(core,
                      core->draining ? CQ_LEASE_RELEASE : CQ_LEASE_RENEW);
        return;
    }
    if (!core->draining && lease_needed(core) && may_take(core)) {
        append_record(core, CQ_LEASE_TAKE);
    }
}

guint64
cq_lease_fence(const cq_core_t *core)
{
    gboolean certain =
        held_here(core) && core->now_us < core->lease.valid_until_us;
    return certain ? core->lease.fence : 0;
}

void
cq_lease_lost(cq_core_t *core)
{
    core->lease.valid_until_us = 0;
}
