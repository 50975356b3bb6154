#include "core/lending.h"

#include <string.h>

#include "core/place.h"
#include "core/rate.h"
#include "core/table.h"
#include "core/usable.h"

/* Interval of offers, and how long an offer holds unless it is repeated. */
#define OFFER_INTERVAL_US (150 * CQ_MS_US)
#define OFFER_KEEP_US (400 * CQ_MS_US)
/* Interval of requests for offers, and how long each is answered. */
#define REQUEST_INTERVAL_US (500 * CQ_MS_US)
#define REQUEST_KEEP_US (1500 * CQ_MS_US)
/* A zone keeps this share of its engines idle for its own requests. */
#define KEPT_IDLE_PERCENT 25

void
cq_lending_update_zones(cq_core_t *core, const cq_ev_hosts_t *list)
{
    g_hash_table_remove_all(core->cell_zones);
    g_hash_table_add(core->cell_zones, g_strdup(core->zone));
    for (guint i = 0; i < list->len; i++) {
        const cq_host_row_t *row = &list->rows[i];
        if (row->service[0] == '\0') {
            g_hash_table_add(core->cell_zones, g_strdup(row->zone));
        }
    }
}

/* Return: the guest zone of @engine, or NULL if there is no other zone. */
static const char *
guest_zone(const cq_core_t *core, const cq_upstream_t *engine)
{
    const char *best = NULL;
    guint64 best_rank = 0;
    GHashTableIter iter;
    gpointer zone;
    g_hash_table_iter_init(&iter, core->cell_zones);
    while (g_hash_table_iter_next(&iter, &zone, NULL)) {
        guint64 rank = cq_place_mix(engine->id ^ cq_ident_hash(zone));
        if (!g_str_equal(zone, engine->zone) &&
            (best == NULL || rank < best_rank)) {
            best = zone;
            best_rank = rank;
        }
    }
    return best;
}

gboolean
cq_lending_is_guest(const cq_core_t *core, const cq_upstream_t *engine)
{
    const char *zone = guest_zone(core, engine);
    return zone != NULL && g_str_equal(zone, core->zone);
}

gboolean
cq_lending_is_offered(const cq_core_t *core, const cq_upstream_t *engine)
{
    return engine->offered_until_us > core->now_us;
}

static gboolean
is_idle(const cq_core_t *core, const cq_upstream_t *engine)
{
    return engine->tasks->len == 0 && !cq_rate_is_bounded(engine) &&
           cq_usable_now(core, engine);
}

/* Adds @engine to the offer for its guest zone. */
static void
add_to_offer(const cq_core_t *core, const cq_upstream_t *engine,
             GHashTable *offers)
{
    const char *zone = guest_zone(core, engine);
    if (zone == NULL) {
        return;
    }
    cq_spare_t *offer = g_hash_table_lookup(offers, zone);
    if (offer == NULL) {
        offer = g_new0(cq_spare_t, 1);
        g_strlcpy(offer->zone, zone, sizeof offer->zone);
        g_hash_table_insert(offers, offer->zone, offer);
    }
    if (offer->len < G_N_ELEMENTS(offer->engines)) {
        offer->engines[offer->len++] = engine->id;
    }
}

static void
collect_offers(cq_core_t *core, cq_service_t *service, GHashTable *offers)
{
    cq_place_update_candidates(core, service);
    const GPtrArray *engines = service->local;
    guint idle = 0;
    for (guint i = 0; i < engines->len; i++) {
        idle += is_idle(core, g_ptr_array_index(engines, i));
    }
    guint kept = engines->len * KEPT_IDLE_PERCENT / 100;
    for (guint i = engines->len; i > 0 && idle > kept; i--) {
        const cq_upstream_t *engine = g_ptr_array_index(engines, i - 1);
        if (is_idle(core, engine)) {
            add_to_offer(core, engine, offers);
            idle--;
        }
    }
}

static gint
compare_zones(gconstpointer a, gconstpointer b)
{
    return strcmp(((const cq_spare_t *)a)->zone,
                  ((const cq_spare_t *)b)->zone);
}

static gboolean
wants_offers(const cq_core_t *core, const char *zone)
{
    const gint64 *until_us = g_hash_table_lookup(core->offers_wanted, zone);
    return until_us != NULL && *until_us > core->now_us;
}

static void
send_offers(cq_core_t *core)
{
    GHashTable *offers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        if (service->rules != NULL &&
            service->rules->kind == CQ_SERVICE_BATCH) {
            collect_offers(core, service, offers);
        }
    }
    /* Sorted, since the core's actions must not depend on addresses. */
    GList *sorted =
        g_list_sort(g_hash_table_get_values(offers), compare_zones);
    for (const GList *item = sorted; item != NULL; item = item->next) {
        const cq_spare_t *offer = item->data;
        if (wants_offers(core, offer->zone)) {
            cq_action_t action = {.kind = CQ_AC_SPARE, .spare = *offer};
            cq_actions_add(core->actions, &action);
        }
    }
    g_list_free(sorted);
    g_hash_table_unref(offers);
    core->offered_us = core->now_us;
}

void
cq_lending_request(cq_core_t *core)
{
    if (core->now_us - core->offers_requested_us >= REQUEST_INTERVAL_US) {
        core->offers_requested_us = core->now_us;
        cq_action_t action = {.kind = CQ_AC_SPARE, .spare = {.wanted = TRUE}};
        cq_actions_add(core->actions, &action);
    }
}

void
cq_lending_apply(cq_core_t *core, const cq_spare_t *spare)
{
    if (!core->has_cells) {
        return;
    }
    if (spare->wanted) {
        gboolean was_wanted = wants_offers(core, spare->zone);
        gint64 until_us = core->now_us + REQUEST_KEEP_US;
        g_hash_table_replace(core->offers_wanted, g_strdup(spare->zone),
                             g_memdup2(&until_us, sizeof until_us));
        if (!was_wanted) {
            send_offers(core);
        }
        return;
    }
    for (guint i = 0; i < spare->len; i++) {
        cq_upstream_t *engine = cq_table_upstream(core, spare->engines[i]);
        if (engine != NULL && !g_str_equal(engine->zone, core->zone)) {
            engine->offered_until_us = core->now_us + OFFER_KEEP_US;
            core->placement_due = TRUE;
        }
    }
}

static gboolean
is_expired(gpointer zone, gpointer until_us, gpointer core)
{
    (void)zone;
    return *(const gint64 *)until_us <= ((const cq_core_t *)core)->now_us;
}

void
cq_lending_tick(cq_core_t *core)
{
    if (core->has_cells && !core->draining &&
        core->now_us - core->offered_us >= OFFER_INTERVAL_US) {
        g_hash_table_foreach_remove(core->offers_wanted, is_expired, core);
        if (g_hash_table_size(core->offers_wanted) > 0) {
            send_offers(core);
        }
    }
}
