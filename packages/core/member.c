#include "core/member.h"

#include "core/emptied.h"
#include "core/lending.h"
#include "core/pace.h"
#include "core/place.h"
#include "core/rate.h"
#include "core/table.h"

/* A zone is suspect if connections to two of its upstreams fail within
 * ZONE_FAILURES_WITHIN_US of each other. It gets no work for ZONE_SUSPECT_US,
 * and for up to ZONE_SUSPECT_MAX_US more while no summary of its entry hosts
 * arrives either.
 */
#define ZONE_FAILURES_WITHIN_US CQ_SECOND_US
#define ZONE_SUSPECT_US (1500 * CQ_MS_US)
#define ZONE_SUSPECT_MAX_US (20 * CQ_SECOND_US)

void
cq_member_leaving(cq_core_t *core, cq_upstream_t *upstream,
                  guint64 incarnation)
{
    if (upstream->leaving || incarnation < upstream->incarnation) {
        return;
    }
    upstream->incarnation = incarnation;
    upstream->leaving = TRUE;
    upstream->leaving_since_us = core->now_us;
    upstream->service->candidates_stale = TRUE;
    cq_ring_add(&core->ring, core->now_us, 0, 0, "leaving", "upstream=%s",
                upstream->name);
}

void
cq_member_avoid(const cq_core_t *core, cq_upstream_t *upstream, gint64 us)
{
    upstream->suspect_until_us =
        MAX(upstream->suspect_until_us, core->now_us + us);
}

gint64
cq_member_accepts_from_us(const cq_upstream_t *upstream)
{
    return MAX(upstream->suspect_until_us, upstream->pause_until_us);
}

void
cq_member_forget_failures(cq_core_t *core)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->upstream_by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        cq_upstream_t *upstream = value;
        upstream->suspect_until_us = 0;
        upstream->broken_streak = 0;
        upstream->broken_us = 0;
    }
    g_hash_table_iter_init(&iter, core->zones);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        cq_zone_t *zone = value;
        zone->suspect_until_us = 0;
        zone->failed_us = 0;
    }
    core->placement_due = TRUE;
}

void
cq_member_upstream_says(cq_core_t *core, const cq_ev_upstream_t *said)
{
    cq_upstream_t *upstream = cq_table_upstream(core, said->upstream);
    if (upstream == NULL || said->incarnation != upstream->incarnation) {
        return;
    }
    if (said->leaving) {
        cq_member_leaving(core, upstream, said->incarnation);
    }
    cq_rate_heard(core, upstream, said);
    if (said->pause_us > 0) {
        upstream->pause_until_us =
            MAX(upstream->pause_until_us, core->now_us + said->pause_us);
        cq_ring_add(&core->ring, core->now_us, 0, 0, "paused",
                    "upstream=%s for_ms=%" G_GINT64_FORMAT, upstream->name,
                    said->pause_us / CQ_MS_US);
    }
}

/* An upstream that has started counts as cold unless it states that it isn't.
 */
static void
note_cold(cq_core_t *core, cq_upstream_t *upstream, const cq_host_row_t *row,
          gboolean has_started)
{
    if (has_started) {
        cq_pace_started(core, upstream,
                        cq_member_rank(core, upstream->id).before);
    }
    if (row->cold_us >= 0) {
        cq_rate_note_cold(core, upstream, row->read_us + row->cold_us);
    }
    else if (has_started) {
        cq_rate_note_started(core, upstream);
    }
}

static void
update_upstream(cq_core_t *core, cq_upstream_t *upstream,
                const cq_host_row_t *row)
{
    upstream->listed = TRUE;
    if (row->incarnation < upstream->incarnation) {
        return;
    }
    gboolean has_started = row->incarnation > upstream->incarnation;
    if (has_started) {
        upstream->incarnation = row->incarnation;
        upstream->leaving = FALSE;
        upstream->suspect_until_us = 0;
        upstream->pause_until_us = 0;
        upstream->broken_streak = 0;
        upstream->rate = (cq_rate_t){.limited = FALSE};
        upstream->service->candidates_stale = TRUE;
        upstream->models_len = 0;
        upstream->loading_model = 0;
        upstream->ordered_model = 0;
        g_hash_table_remove_all(upstream->cached_prefixes);
    }
    if (!g_str_equal(upstream->service->name, row->service)) {
        cq_ring_add(&core->ring, core->now_us, 0, 0, "service_changed",
                    "upstream=%s from=%s service=%s", upstream->name,
                    upstream->service->name, row->service);
        cq_table_move_upstream(upstream,
                               cq_table_ensure_service(core, row->service));
    }
    note_cold(core, upstream, row, has_started);
    g_strlcpy(upstream->addr, row->addr, sizeof upstream->addr);
    g_strlcpy(upstream->zone, row->zone, sizeof upstream->zone);
    cq_emptied_mark(core, upstream);
    if (row->leaving) {
        cq_member_leaving(core, upstream, row->incarnation);
    }
}

/* @has_started: an earlier list lacked it */
static void
add_upstream(cq_core_t *core, const cq_host_row_t *row, gboolean has_started)
{
    if (g_hash_table_size(core->upstream_by_id) >= CQ_UPSTREAMS_MAX) {
        return;
    }
    cq_service_t *service = cq_table_ensure_service(core, row->service);
    cq_upstream_t *upstream = cq_table_add_upstream(core, service, row->name);
    upstream->incarnation = row->incarnation;
    update_upstream(core, upstream, row);
    note_cold(core, upstream, row, has_started);
    cq_ring_add(&core->ring, core->now_us, 0, 0, "upstream",
                "name=%s service=%s zone=%s", row->name, row->service,
                row->zone);
}

static void
add_entry_host(cq_core_t *core, const cq_host_row_t *row)
{
    guint32 host = cq_ident_host(row->name);
    if (!row->leaving && host != core->host) {
        g_hash_table_insert(core->entry_hosts, GUINT_TO_POINTER(host),
                            g_strdup(row->zone));
    }
}

/**
 * struct peer_candidate_t - an entry host to which a link could be kept
 * @rank: order among the hosts of this zone, or among those of other zones
 */
typedef struct {
    const cq_host_row_t *row;
    gboolean in_other_zone;
    guint64 rank;
} peer_candidate_t;

static gint
compare_candidates(gconstpointer a, gconstpointer b)
{
    const peer_candidate_t *x = a;
    const peer_candidate_t *y = b;
    if (x->in_other_zone != y->in_other_zone) {
        return x->in_other_zone ? 1 : -1;
    }
    return x->rank < y->rank ? -1 : x->rank > y->rank;
}

/* Rank of the link between two hosts. Both ends compute the same rank, so that
 * most links are chosen by both. */
static guint64
link_rank(guint32 a, guint32 b)
{
    guint64 low = MIN(a, b);
    guint64 high = MAX(a, b);
    return cq_place_mix(high << 32 | low);
}

static GArray *
list_peer_candidates(const cq_core_t *core, const cq_ev_hosts_t *list)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(peer_candidate_t));
    for (guint i = 0; i < list->len; i++) {
        const cq_host_row_t *row = &list->rows[i];
        guint32 host = cq_ident_host(row->name);
        if (row->service[0] != '\0' || host == core->host) {
            continue;
        }
        peer_candidate_t candidate = {
            .row = row,
            .in_other_zone = !g_str_equal(row->zone, core->zone),
            .rank = link_rank(core->host, host),
        };
        g_array_append_val(candidates, candidate);
    }
    g_array_sort(candidates, compare_candidates);
    return candidates;
}

/* Return: how many of core->peers are in @zone. */
static guint
count_peers_in(const cq_core_t *core, const char *zone)
{
    guint count = 0;
    for (guint i = 0; i < core->peers->len; i++) {
        const cq_host_row_t *peer =
            &g_array_index(core->peers, cq_host_row_t, i);
        count += g_str_equal(peer->zone, zone);
    }
    return count;
}

/* Chooses the peers to keep links to: all other hosts or, in cells, the hosts
 * of this zone and a few of each other zone, so that updates cross zones. */
static void
choose_peers(cq_core_t *core, const cq_ev_hosts_t *list)
{
    GArray *candidates = list_peer_candidates(core, list);
    gboolean had_cells = core->has_cells;
    core->has_cells = candidates->len > CQ_FULL_MESH_PEERS_MAX;
    core->cell_hosts = 1;
    g_array_set_size(core->peers, 0);
    for (guint i = 0; i < candidates->len; i++) {
        const peer_candidate_t *candidate =
            &g_array_index(candidates, peer_candidate_t, i);
        const cq_host_row_t *row = candidate->row;
        core->cell_hosts += !candidate->in_other_zone;
        guint max = candidate->in_other_zone ? CQ_PEERS_PER_OTHER_ZONE
                                             : CQ_CELL_PEERS_MAX;
        if (!core->has_cells || count_peers_in(core, row->zone) < max) {
            g_array_append_val(core->peers, *row);
        }
    }
    g_array_unref(candidates);
    if (core->has_cells != had_cells) {
        for (guint i = 0; i < core->services->len; i++) {
            cq_service_t *service = g_ptr_array_index(core->services, i);
            service->candidates_stale = TRUE;
        }
        cq_ring_add(&core->ring, core->now_us, 0, 0, "cells", "divided=%s",
                    core->has_cells ? "yes" : "no");
    }
}

/* A few hosts of each zone read the log continuously; the others get records
 * from them, and read the log themselves from time to time. */
static void
update_follows_log(cq_core_t *core, const cq_ev_hosts_t *list)
{
    guint64 own_rank = cq_place_mix(core->host);
    guint lower_ranked = 0;
    for (guint i = 0; i < list->len; i++) {
        const cq_host_row_t *row = &list->rows[i];
        gboolean is_entry_host = row->service[0] == '\0' && !row->leaving;
        if (is_entry_host && g_str_equal(row->zone, core->zone)) {
            lower_ranked += cq_place_mix(cq_ident_host(row->name)) < own_rank;
        }
    }
    core->follows_log = lower_ranked < CQ_LOG_READERS_PER_ZONE;
}

cq_store_reader_t
cq_member_store_reader(const cq_core_t *core)
{
    guint64 own_rank = cq_place_mix(core->host);
    guint hosts = 1;
    guint lower_ranked = 0;
    GHashTableIter iter;
    gpointer host;
    gpointer zone;
    g_hash_table_iter_init(&iter, core->entry_hosts);
    while (g_hash_table_iter_next(&iter, &host, &zone)) {
        const cq_peer_t *peer = cq_table_peer(core, GPOINTER_TO_UINT(host));
        if (peer != NULL && !peer->draining && g_str_equal(zone, core->zone)) {
            hosts++;
            lower_ranked += cq_place_mix(GPOINTER_TO_UINT(host)) < own_rank;
        }
    }
    if (hosts <= CQ_STORE_READERS_PER_ZONE) {
        return CQ_STORE_READER_ALONE;
    }
    return lower_ranked < CQ_STORE_READERS_PER_ZONE ? CQ_STORE_READER_FOR_PEERS
                                                    : CQ_STORE_READER_NONE;
}

cq_host_rank_t
cq_member_rank(const cq_core_t *core, guint64 key)
{
    guint64 own_rank = cq_place_mix(core->host ^ key);
    cq_host_rank_t listed = {.count = 1};
    cq_host_rank_t alive = {.count = 1};
    GHashTableIter iter;
    gpointer host;
    gpointer zone;
    g_hash_table_iter_init(&iter, core->entry_hosts);
    while (g_hash_table_iter_next(&iter, &host, &zone)) {
        if (core->has_cells && !g_str_equal(zone, core->zone)) {
            continue;
        }
        guint64 rank = cq_place_mix(GPOINTER_TO_UINT(host) ^ key);
        listed.count++;
        listed.before += rank < own_rank;
        const cq_peer_t *peer = cq_table_peer(core, GPOINTER_TO_UINT(host));
        if (peer != NULL && !peer->draining) {
            alive.count++;
            alive.before += rank < own_rank;
        }
    }
    return 2 * alive.count > listed.count ? alive : listed;
}

gboolean
cq_member_is_first(const cq_core_t *core, guint64 key)
{
    if (!core->host_list_received || core->draining) {
        return FALSE;
    }
    if (core->has_cells) {
        guint64 own_rank = cq_place_mix(cq_ident_hash(core->zone) ^ key);
        GHashTableIter iter;
        gpointer zone;
        g_hash_table_iter_init(&iter, core->cell_zones);
        while (g_hash_table_iter_next(&iter, &zone, NULL)) {
            if (cq_place_mix(cq_ident_hash(zone) ^ key) < own_rank) {
                return FALSE;
            }
        }
    }
    return cq_member_rank(core, key).before == 0;
}

static void
clear_listed(const cq_core_t *core)
{
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        cq_list_t *link = service->upstreams.next;
        for (; link != &service->upstreams; link = link->next) {
            cq_upstream_t *upstream = CQ_ENTRY(link, cq_upstream_t, link);
            upstream->was_listed = upstream->listed;
            upstream->listed = FALSE;
        }
    }
}

/* Notes which upstreams the new list adds or lacks. Iterates over lists, whose
 * order is that of arrival, and not over hash tables: the core must give the
 * same actions and events for the same input. */
static void
note_list_changes(cq_core_t *core, gint64 lapsed_until_us)
{
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        cq_list_t *link = service->upstreams.next;
        for (; link != &service->upstreams; link = link->next) {
            cq_upstream_t *upstream = CQ_ENTRY(link, cq_upstream_t, link);
            if (upstream->was_listed == upstream->listed) {
                continue;
            }
            service->candidates_stale = TRUE;
            if (!upstream->listed) {
                upstream->lapsed_until_us = lapsed_until_us;
                cq_ring_add(&core->ring, core->now_us, 0, 0, "unlisted",
                            "upstream=%s%s", upstream->name,
                            lapsed_until_us > core->now_us ? " lapsed=perhaps"
                                                           : "");
            }
        }
    }
}

void
cq_member_apply_list(cq_core_t *core, const cq_ev_hosts_t *list)
{
    /* An empty list is a fault of the platform; it does not mean that there
     * are no hosts. */
    if (list->len == 0) {
        return;
    }
    gboolean is_first = !core->host_list_received;
    core->host_list_received = TRUE;
    clear_listed(core);
    g_hash_table_remove_all(core->entry_hosts);
    for (guint i = 0; i < list->len; i++) {
        const cq_host_row_t *row = &list->rows[i];
        if (row->service[0] == '\0') {
            add_entry_host(core, row);
            continue;
        }
        guint64 id = cq_ident_hash(row->name);
        cq_upstream_t *upstream = cq_table_upstream(core, id);
        if (upstream == NULL) {
            add_upstream(core, row, !is_first);
            continue;
        }
        update_upstream(core, upstream, row);
    }
    note_list_changes(core, list->lapsed_until_us);
    cq_lending_update_zones(core, list);
    choose_peers(core, list);
    update_follows_log(core, list);
}

static cq_zone_t *
zone_of(const cq_core_t *core, const cq_upstream_t *upstream)
{
    return g_hash_table_lookup(core->zones, upstream->zone);
}

void
cq_member_unreachable(cq_core_t *core, const cq_upstream_t *upstream,
                      guint64 accuser)
{
    if (g_str_equal(upstream->zone, core->zone)) {
        return;
    }
    cq_zone_t *zone = zone_of(core, upstream);
    if (zone == NULL) {
        zone = g_new0(cq_zone_t, 1);
        g_hash_table_insert(core->zones, g_strdup(upstream->zone), zone);
    }
    gboolean second_failure =
        core->now_us - zone->failed_us < ZONE_FAILURES_WITHIN_US &&
        zone->failed_upstream != upstream->id &&
        (accuser == 0 || accuser != zone->accuser);
    zone->failed_us = core->now_us;
    zone->accuser = accuser;
    zone->failed_upstream = upstream->id;
    if (second_failure && zone->suspect_until_us <= core->now_us) {
        cq_ring_add(&core->ring, core->now_us, 0, 0, "zone_suspect",
                    "zone=%s after=%s", upstream->zone, upstream->name);
    }
    if (second_failure) {
        zone->suspect_until_us = core->now_us + ZONE_SUSPECT_US;
    }
}

void
cq_member_reached(cq_core_t *core, const cq_upstream_t *upstream)
{
    cq_zone_t *zone = zone_of(core, upstream);
    if (zone != NULL) {
        zone->suspect_until_us = 0;
        zone->failed_us = 0;
    }
}

/* Whether @zone has entry hosts, but no summary of any of them arrives. */
static gboolean
zone_silent(const cq_core_t *core, const char *zone)
{
    gboolean has_entry_hosts = FALSE;
    GHashTableIter iter;
    gpointer host;
    gpointer host_zone;
    g_hash_table_iter_init(&iter, core->entry_hosts);
    while (g_hash_table_iter_next(&iter, &host, &host_zone)) {
        if (g_str_equal(host_zone, zone)) {
            has_entry_hosts = TRUE;
            if (g_hash_table_contains(core->peer_by_host, host)) {
                return FALSE;
            }
        }
    }
    return has_entry_hosts;
}

gboolean
cq_member_zone_cut_off(const cq_core_t *core, const cq_upstream_t *upstream)
{
    const cq_zone_t *zone = zone_of(core, upstream);
    if (zone == NULL) {
        return FALSE;
    }
    if (core->now_us < zone->suspect_until_us) {
        return TRUE;
    }
    return zone->suspect_until_us > 0 &&
           core->now_us < zone->suspect_until_us + ZONE_SUSPECT_MAX_US &&
           zone_silent(core, upstream->zone);
}

/* A zone that is cut off may come back at any moment. */
static gint64
first_usable_us(const cq_core_t *core, const GPtrArray *upstreams,
                guint64 except)
{
    gint64 first_us = G_MAXINT64;
    for (guint i = 0; i < upstreams->len; i++) {
        const cq_upstream_t *upstream = g_ptr_array_index(upstreams, i);
        if (upstream->leaving || upstream->id == except) {
            continue;
        }
        gint64 usable_us = cq_member_zone_cut_off(core, upstream)
                               ? upstream->pause_until_us
                               : cq_member_accepts_from_us(upstream);
        usable_us = MAX(usable_us, cq_rate_next_us(upstream));
        first_us = MIN(first_us, MAX(usable_us, core->now_us));
    }
    return first_us;
}

/* Return: when the first upstream of @service that isn't @except accepts new
 * work; G_MAXINT64 if there is none. */
static gint64
usable_from_us(const cq_core_t *core, const cq_service_t *service,
               guint64 except)
{
    return MIN(first_usable_us(core, service->local, except),
               first_usable_us(core, service->remote, except));
}

gint64
cq_member_usable_from_us(const cq_core_t *core, const cq_service_t *service)
{
    return usable_from_us(core, service, 0);
}

gboolean
cq_member_usable_in_time(const cq_core_t *core, const cq_request_t *request)
{
    return cq_member_usable_from_us(core, request->service) <
           request->deadline_us;
}

void
cq_member_allow_last_failed(const cq_core_t *core, cq_request_t *request)
{
    if (request->last_failed != 0 &&
        usable_from_us(core, request->service, request->last_failed) >=
            request->deadline_us) {
        request->last_failed = 0;
    }
}

static gboolean
is_unused(const cq_upstream_t *upstream)
{
    return !upstream->listed && upstream->own_streams == 0 &&
           upstream->own_kv_tokens == 0 && upstream->peer_streams == 0 &&
           upstream->peer_kv_tokens == 0 && upstream->tasks->len == 0;
}

void
cq_member_sweep(cq_core_t *core)
{
    GPtrArray *unused = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->upstream_by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (is_unused(value)) {
            g_ptr_array_add(unused, value);
        }
    }
    for (guint i = 0; i < unused->len; i++) {
        cq_table_drop_upstream(core, g_ptr_array_index(unused, i));
    }
    g_ptr_array_unref(unused);
}
