#include "core/lease.h"

#include "core/table.h"

static gboolean
mine(const cq_core_t *core)
{
    return core->lease.fence != 0 && !core->lease.released &&
           core->lease.host == core->host &&
           core->lease.incarnation == core->incarnation;
}

static void
append(cq_core_t *core, cq_lease_verb_t verb)
{
    cq_action_t action = {
        .kind = CQ_AC_LEASE,
        .lease = {.verb = verb,
                  .host = core->host,
                  .incarnation = core->incarnation,
                  .fence = core->lease.fence,
                  .sent_us = core->now_us},
    };
    core->lease.asked_us = core->now_us;
    cq_actions_add(core->actions, &action);
}

static void
extend(cq_core_t *core, const cq_lease_t *record)
{
    core->lease.seen_us = core->now_us;
    if (mine(core)) {
        core->lease.until_us =
            record->sent_us + CQ_LEASE_US - CQ_LEASE_MARGIN_US;
    }
}

static void
fold_take(cq_core_t *core, const cq_lease_t *record, guint64 offset)
{
    core->lease.fence = offset;
    core->lease.host = record->host;
    core->lease.incarnation = record->incarnation;
    core->lease.released = FALSE;
    core->lease.until_us = 0;
    extend(core, record);
    cq_ring_add(&core->ring, core->now_us, 0, 0, "lease",
                "fence=%" G_GUINT64_FORMAT " holder=%06x mine=%s", offset,
                record->host, mine(core) ? "yes" : "no");
}

/* Offsets count from 0 and 0 means no lease, so the fencing number is the
 * offset and one. A log that begins anew gives lower ones: the chain then
 * goes on from what is held, and never to a lower number. */
void
cq_lease_fold(cq_core_t *core, const cq_lease_t *record, guint64 offset)
{
    if (record->fence != core->lease.fence) {
        return;
    }
    switch (record->verb) {
    case CQ_LEASE_TAKE:
        fold_take(core, record, MAX(offset + 1, core->lease.fence + 1));
        break;
    case CQ_LEASE_RENEW:
        extend(core, record);
        break;
    case CQ_LEASE_RELEASE:
        core->lease.released = TRUE;
        core->lease.until_us = 0;
        break;
    }
}

/* Whether any service states how many engines its models want. */
static gboolean
needed(const cq_core_t *core)
{
    for (guint i = 0; i < core->services->len; i++) {
        const cq_service_t *service = g_ptr_array_index(core->services, i);
        if (service->rules != NULL && cq_rules_orders_loads(service->rules)) {
            return TRUE;
        }
    }
    return FALSE;
}

static gboolean
free_to_take(const cq_core_t *core)
{
    if (core->lease.fence == 0 || core->lease.released) {
        return TRUE;
    }
    return core->now_us - core->lease.seen_us > CQ_LEASE_US;
}

void
cq_lease_tick(cq_core_t *core)
{
    gboolean asked = core->now_us - core->lease.asked_us < CQ_LEASE_RENEW_US;
    if (asked || !core->log_up) {
        return;
    }
    if (mine(core)) {
        append(core, core->draining ? CQ_LEASE_RELEASE : CQ_LEASE_RENEW);
        return;
    }
    if (!core->draining && needed(core) && free_to_take(core)) {
        append(core, CQ_LEASE_TAKE);
    }
}

guint64
cq_lease_fence(const cq_core_t *core)
{
    gboolean certain = mine(core) && core->now_us < core->lease.until_us;
    return certain ? core->lease.fence : 0;
}

void
cq_lease_lost(cq_core_t *core)
{
    core->lease.until_us = 0;
}
