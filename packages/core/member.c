#include "core/member.h"

#include "core/place.h"
#include "core/table.h"

/* Two upstreams of a zone that can't be reached within this time make the
 * zone suspect, for so long at first, and for so long at most while its entry
 * hosts are not heard either. */
#define ZONE_FAILS_US CQ_SECOND_US
#define ZONE_SUSPECT_US (1500 * CQ_MS_US)
#define ZONE_SILENT_US (20 * CQ_SECOND_US)

void
cq_member_leaving(cq_core_t *core, cq_upstream_t *upstream,
                  guint64 incarnation)
{
    if (upstream->leaving || incarnation < upstream->incarnation) {
        return;
    }
    upstream->incarnation = incarnation;
    upstream->leaving = TRUE;
    upstream->leaving_us = core->now_us;
    upstream->service->stale = TRUE;
    cq_ring_add(&core->ring, core->now_us, 0, 0, "leaving", "upstream=%s",
                upstream->name);
}

static void
take_row(cq_core_t *core, cq_upstream_t *upstream, const cq_host_row_t *row)
{
    upstream->listed = TRUE;
    if (row->incarnation < upstream->incarnation) {
        return;
    }
    if (row->incarnation > upstream->incarnation) {
        upstream->incarnation = row->incarnation;
        upstream->leaving = FALSE;
        upstream->suspect_until_us = 0;
        upstream->strikes = 0;
        upstream->service->stale = TRUE;
        upstream->models_len = 0;
        upstream->loading = 0;
        upstream->ordered = 0;
        g_hash_table_remove_all(upstream->beliefs);
    }
    g_strlcpy(upstream->addr, row->addr, sizeof upstream->addr);
    g_strlcpy(upstream->zone, row->zone, sizeof upstream->zone);
    if (row->leaving) {
        cq_member_leaving(core, upstream, row->incarnation);
    }
}

static void
add_row(cq_core_t *core, const cq_host_row_t *row)
{
    if (g_hash_table_size(core->upstream_by_id) >= CQ_UPSTREAMS_MAX) {
        return;
    }
    cq_service_t *service = cq_table_need_service(core, row->service);
    cq_upstream_t *upstream = cq_table_add_upstream(core, service, row->name);
    upstream->incarnation = row->incarnation;
    take_row(core, upstream, row);
    cq_ring_add(&core->ring, core->now_us, 0, 0, "upstream",
                "name=%s service=%s zone=%s", row->name, row->service,
                row->zone);
}

static void
take_entry_host(cq_core_t *core, const cq_host_row_t *row)
{
    guint32 host = cq_ident_host(row->name);
    if (!row->leaving && host != core->host) {
        g_hash_table_insert(core->entry_hosts, GUINT_TO_POINTER(host),
                            g_strdup(row->zone));
    }
}

typedef struct {
    const cq_host_row_t *row;
    gboolean far;
    guint64 rank;
} neighbour_t;

static gint
by_distance(gconstpointer a, gconstpointer b)
{
    const neighbour_t *x = a;
    const neighbour_t *y = b;
    if (x->far != y->far) {
        return x->far ? 1 : -1;
    }
    return x->rank < y->rank ? -1 : x->rank > y->rank;
}

/* The rank is the same from both ends, so that most links are mutual. */
static guint64
link_rank(guint32 a, guint32 b)
{
    guint64 low = MIN(a, b);
    guint64 high = MAX(a, b);
    return cq_place_mix(high << 32 | low);
}

guint
cq_member_link_count(guint others)
{
    return others <= CQ_FULL_MESH_PEERS_MAX ? others : CQ_SPARSE_MESH_PEERS;
}

static GArray *
neighbours(const cq_core_t *core, const cq_ev_hosts_t *list)
{
    GArray *found = g_array_new(FALSE, FALSE, sizeof(neighbour_t));
    for (guint i = 0; i < list->len; i++) {
        const cq_host_row_t *row = &list->rows[i];
        guint32 host = cq_ident_host(row->name);
        if (row->service[0] != '\0' || host == core->host) {
            continue;
        }
        neighbour_t neighbour = {
            .row = row,
            .far = !g_str_equal(row->zone, core->zone),
            .rank = link_rank(core->host, host),
        };
        g_array_append_val(found, neighbour);
    }
    g_array_sort(found, by_distance);
    return found;
}

/* Most peers are of this zone, so that it agrees when it is cut off; some are
 * of others, so that news crosses zones. */
static void
choose_peers(cq_core_t *core, const cq_ev_hosts_t *list)
{
    GArray *found = neighbours(core, list);
    guint links = cq_member_link_count(found->len);
    g_array_set_size(core->peers, 0);
    for (guint i = 0; i < found->len; i++) {
        const neighbour_t *one = &g_array_index(found, neighbour_t, i);
        guint left = found->len - i;
        guint room = links - core->peers->len;
        gboolean keep_room = room <= CQ_OTHER_ZONE_PEERS_MIN && left > room;
        if (room == 0 || (!one->far && keep_room)) {
            continue;
        }
        g_array_append_val(core->peers, *one->row);
    }
    g_array_unref(found);
}

/* A few hosts of each zone follow the log; the others hear from them, and
 * look themselves from time to time. */
static void
choose_reader(cq_core_t *core, const cq_ev_hosts_t *list)
{
    guint64 own = cq_place_mix(core->host);
    guint before = 0;
    for (guint i = 0; i < list->len; i++) {
        const cq_host_row_t *row = &list->rows[i];
        gboolean entry = row->service[0] == '\0' && !row->leaving;
        if (entry && g_str_equal(row->zone, core->zone)) {
            before += cq_place_mix(cq_ident_host(row->name)) < own;
        }
    }
    core->reads_log = before < CQ_LOG_READERS_PER_ZONE;
}

static void
unlist(const cq_core_t *core)
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

/* Goes through lists, whose order is that of arrival: the core must give the
 * same actions and events for the same input. */
static void
compare_lists(cq_core_t *core)
{
    for (guint i = 0; i < core->services->len; i++) {
        cq_service_t *service = g_ptr_array_index(core->services, i);
        cq_list_t *link = service->upstreams.next;
        for (; link != &service->upstreams; link = link->next) {
            cq_upstream_t *upstream = CQ_ENTRY(link, cq_upstream_t, link);
            if (upstream->was_listed == upstream->listed) {
                continue;
            }
            service->stale = TRUE;
            if (!upstream->listed) {
                upstream->unlisted_us = core->now_us;
                cq_ring_add(&core->ring, core->now_us, 0, 0, "unlisted",
                            "upstream=%s", upstream->name);
            }
        }
    }
}

void
cq_member_list(cq_core_t *core, const cq_ev_hosts_t *list)
{
    /* An empty list is a fault of the platform, not a fleet without hosts. */
    if (list->len == 0) {
        return;
    }
    core->listed = TRUE;
    unlist(core);
    g_hash_table_remove_all(core->entry_hosts);
    for (guint i = 0; i < list->len; i++) {
        const cq_host_row_t *row = &list->rows[i];
        if (row->service[0] == '\0') {
            take_entry_host(core, row);
            continue;
        }
        guint64 id = cq_ident_hash(row->name);
        cq_upstream_t *upstream = cq_table_upstream(core, id);
        if (upstream == NULL) {
            add_row(core, row);
            continue;
        }
        take_row(core, upstream, row);
    }
    compare_lists(core);
    choose_peers(core, list);
    choose_reader(core, list);
}

static cq_zone_t *
zone_of(const cq_core_t *core, const cq_upstream_t *upstream)
{
    return g_hash_table_lookup(core->zones, upstream->zone);
}

void
cq_member_unreachable(cq_core_t *core, const cq_upstream_t *upstream)
{
    if (g_str_equal(upstream->zone, core->zone)) {
        return;
    }
    cq_zone_t *zone = zone_of(core, upstream);
    if (zone == NULL) {
        zone = g_new0(cq_zone_t, 1);
        g_hash_table_insert(core->zones, g_strdup(upstream->zone), zone);
    }
    gboolean again = core->now_us - zone->failed_us < ZONE_FAILS_US &&
                     zone->upstream != upstream->id;
    zone->failed_us = core->now_us;
    zone->upstream = upstream->id;
    if (again && zone->suspect_until_us <= core->now_us) {
        cq_ring_add(&core->ring, core->now_us, 0, 0, "zone_suspect",
                    "zone=%s after=%s", upstream->zone, upstream->name);
    }
    if (again) {
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

/* Whether entry hosts of @zone should be heard and none is. */
static gboolean
silent(const cq_core_t *core, const char *zone)
{
    gboolean any = FALSE;
    GHashTableIter iter;
    gpointer host;
    gpointer in;
    g_hash_table_iter_init(&iter, core->entry_hosts);
    while (g_hash_table_iter_next(&iter, &host, &in)) {
        if (g_str_equal(in, zone)) {
            any = TRUE;
            if (g_hash_table_contains(core->peer_by_host, host)) {
                return FALSE;
            }
        }
    }
    return any;
}

gboolean
cq_member_cut_off(const cq_core_t *core, const cq_upstream_t *upstream)
{
    const cq_zone_t *zone = zone_of(core, upstream);
    if (zone == NULL) {
        return FALSE;
    }
    if (core->now_us < zone->suspect_until_us) {
        return TRUE;
    }
    return zone->suspect_until_us > 0 &&
           core->now_us < zone->suspect_until_us + ZONE_SILENT_US &&
           silent(core, upstream->zone);
}

static gboolean
unused(const cq_upstream_t *upstream)
{
    return !upstream->listed && upstream->own_streams == 0 &&
           upstream->own_kv_tokens == 0 && upstream->peer_streams == 0 &&
           upstream->peer_kv_tokens == 0 && upstream->tasks->len == 0;
}

void
cq_member_sweep(cq_core_t *core)
{
    GPtrArray *drop = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->upstream_by_id);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (unused(value)) {
            g_ptr_array_add(drop, value);
        }
    }
    for (guint i = 0; i < drop->len; i++) {
        cq_table_drop_upstream(core, g_ptr_array_index(drop, i));
    }
    g_ptr_array_unref(drop);
}
