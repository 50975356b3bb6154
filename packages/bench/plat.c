/* The platform: log, host list, and the engines' load reports. */
#include <string.h>

#include "bench/world.h"

#define APPEND_RETRY_US (200 * CQ_MS_US)
#define LOG_FAIL_US (100 * CQ_MS_US)

static cq_world_record_t *
record_at(const cq_sim_t *sim, gint64 offset)
{
    return g_ptr_array_index(sim->log, (guint)offset);
}

void
cq_world_record_free(gpointer data)
{
    cq_world_record_t *record = data;
    g_free(record->config.body);
    g_free(record);
}

static void
take_record(cq_world_host_t *host, const cq_world_record_t *record)
{
    cq_event_t event = {.kind = CQ_EV_CLAIM};
    switch (record->kind) {
    case CQ_RECORD_CLAIM:
        event.claim = record->claim;
        cq_world_post(host->sim, host->index, &event);
        break;
    case CQ_RECORD_LEASE:
        event.kind = CQ_EV_LEASE;
        event.lease.record = record->lease;
        event.lease.offset = (guint64)host->log_next;
        cq_world_post(host->sim, host->index, &event);
        break;
    case CQ_RECORD_CONFIG:
        cq_fold_apply(host->fold, &record->config);
        break;
    case CQ_RECORD_CHECKPOINT:
        g_assert_not_reached();
    }
}

static void
read_log(cq_world_host_t *host)
{
    cq_sim_t *sim = host->sim;
    gint64 now_us = cq_world_now(sim);
    gboolean up = !sim->log_down && cq_world_platform(sim, host->index);
    gboolean news = up && host->log_next < (gint64)sim->log->len;
    gint64 wait_us = up ? CQ_LOG_WAIT_MS * CQ_MS_US : CQ_LOG_RETRY_US;
    if (news || now_us - host->read_us >= wait_us) {
        sim->totals.log_reads++;
        host->read_us = now_us;
    }
    if (up && host->log_next > (gint64)sim->log->len) {
        host->log_next = 0;
        host->appended = 0;
    }
    while (up && host->log_next < (gint64)sim->log->len) {
        take_record(host, record_at(sim, host->log_next));
        host->log_next++;
    }
    cq_event_t event = {.kind = CQ_EV_LOG, .log_up = up};
    cq_world_post(sim, host->index, &event);
}

static gboolean
frozen(const cq_world_host_t *host)
{
    return host->frozen_until_us > cq_world_now(host->sim);
}

/* A process that need not follow the log looks only from time to time,
 * unless a record of its own is on the way. */
static gboolean
due(cq_world_host_t *host)
{
    gint64 now_us = cq_world_now(host->sim);
    gboolean own = !g_queue_is_empty(&host->appends) || host->appending ||
                   host->log_next < host->appended;
    if (cq_core_follows_log(host->core) || own) {
        return TRUE;
    }
    return now_us - host->looked_us >= CQ_LOG_NONREADER_POLL_US;
}

static void
on_read(void *world, void *data, guint64 incarnation)
{
    cq_sim_t *sim = world;
    cq_world_host_t *host = data;
    if (host->core == NULL || host->incarnation != incarnation) {
        return;
    }
    if (!frozen(host) && due(host)) {
        host->looked_us = cq_world_now(sim);
        read_log(host);
    }
    cq_heap_add(&sim->heap, cq_world_now(sim) + CQ_WORLD_READ_US, on_read,
                host, incarnation);
}

void
cq_world_start_reader(cq_sim_t *sim, cq_world_host_t *host)
{
    host->log_next = 0;
    host->appended = 0;
    host->looked_us = -CQ_LOG_NONREADER_POLL_US;
    cq_heap_add(&sim->heap, cq_world_now(sim) + CQ_WORLD_READ_US, on_read,
                host, host->incarnation);
}

static void
start_append(cq_world_host_t *host);

static void
on_append(void *world, void *data, guint64 incarnation)
{
    cq_sim_t *sim = world;
    cq_world_host_t *host = data;
    if (host->core == NULL || host->incarnation != incarnation) {
        return;
    }
    gboolean up = !sim->log_down && cq_world_platform(sim, host->index);
    cq_world_record_t *record = g_queue_peek_head(&host->appends);
    gint64 again_us = APPEND_RETRY_US;
    if (up) {
        cq_world_record_t *copy = g_memdup2(record, sizeof *record);
        g_ptr_array_add(sim->log, copy);
        host->appended = sim->log->len;
        if (sim->lose_appends > 0) {
            sim->lose_appends--;
        }
        else {
            g_free(g_queue_pop_head(&host->appends));
            again_us = CQ_WORLD_APPEND_US;
        }
    }
    host->appending = FALSE;
    if (!g_queue_is_empty(&host->appends)) {
        host->appending = TRUE;
        cq_heap_add(&sim->heap, cq_world_now(sim) + again_us, on_append, host,
                    incarnation);
    }
}

static void
start_append(cq_world_host_t *host)
{
    if (host->appending) {
        return;
    }
    host->appending = TRUE;
    cq_sim_t *sim = host->sim;
    cq_heap_add(&sim->heap, cq_world_now(sim) + CQ_WORLD_APPEND_US, on_append,
                host, host->incarnation);
}

void
cq_world_append(cq_world_host_t *host, const cq_world_record_t *record)
{
    g_queue_push_tail(&host->appends, g_memdup2(record, sizeof *record));
    start_append(host);
}

void
cq_sim_publish(cq_sim_t *sim, const char *service, const char *body,
               guint64 base, const char *id)
{
    cq_world_record_t *record = g_new0(cq_world_record_t, 1);
    cq_config_entry_t *entry = &record->config;
    g_strlcpy(entry->service, service, sizeof entry->service);
    g_strlcpy(entry->id, id, sizeof entry->id);
    entry->base = base;
    entry->version = base + 1;
    entry->body = g_strdup(body);
    cq_record_hash(body, entry->hash);
    g_ptr_array_add(sim->log, record);
}

static void
add_row(GArray *rows, const char *name, guint zone, const char *service,
        guint64 incarnation, gboolean leaving)
{
    cq_host_row_t row = {.incarnation = incarnation, .leaving = leaving};
    g_strlcpy(row.name, name, sizeof row.name);
    g_snprintf(row.zone, sizeof row.zone, "z%u", zone);
    g_strlcpy(row.service, service, sizeof row.service);
    g_strlcpy(row.addr, "127.0.0.1:1", sizeof row.addr);
    g_array_append_val(rows, row);
}

static GArray *
list_now(const cq_sim_t *sim)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(cq_host_row_t));
    for (guint i = 0; i < sim->options.hosts; i++) {
        const cq_world_host_t *host = &sim->hosts[i];
        if (host->core != NULL) {
            add_row(rows, host->name, host->zone, "", host->incarnation,
                    FALSE);
        }
    }
    for (guint i = 0; i < sim->upstreams_len; i++) {
        const cq_world_upstream_t *upstream = &sim->upstreams[i];
        if (upstream->up) {
            add_row(rows, upstream->name, upstream->zone,
                    upstream->engine != NULL ? "modelo" : "reservas",
                    upstream->incarnation, upstream->leaving);
        }
    }
    return rows;
}

static void
give_list(cq_sim_t *sim, const GArray *rows)
{
    cq_event_t event = {.kind = CQ_EV_HOSTS};
    event.hosts.rows = (const cq_host_row_t *)(const void *)rows->data;
    event.hosts.len = rows->len;
    for (guint i = 0; i < sim->options.hosts; i++) {
        gboolean up = sim->hosts[i].core != NULL && !frozen(&sim->hosts[i]);
        if (up && cq_world_platform(sim, i)) {
            cq_world_post(sim, i, &event);
        }
    }
}

static void
on_list_old(void *world, void *data, guint64 number)
{
    (void)number;
    cq_sim_t *sim = world;
    GArray *rows = data;
    if (!sim->list_down) {
        give_list(sim, rows);
    }
    g_array_unref(rows);
}

static void
on_list(void *world, void *data, guint64 number)
{
    (void)data;
    (void)number;
    cq_sim_t *sim = world;
    gint64 now_us = cq_world_now(sim);
    cq_heap_add(&sim->heap, now_us + sim->options.list_lag_us, on_list_old,
                list_now(sim), 0);
    cq_heap_add(&sim->heap, now_us + CQ_WORLD_LIST_US, on_list, NULL, 0);
}

typedef struct {
    guint upstream;
    guint64 incarnation;
    gint64 at_us;
    cq_engine_load_t load;
    GArray *holdings;
    guint64 models[CQ_ENGINE_MODELS_MAX];
    guint models_len;
    guint64 loading;
} report_t;

static void
on_report(void *world, void *data, guint64 number)
{
    (void)number;
    cq_sim_t *sim = world;
    report_t *report = data;
    const cq_world_upstream_t *upstream = &sim->upstreams[report->upstream];
    cq_event_t event = {.kind = CQ_EV_LOAD};
    event.load.upstream = upstream->id;
    event.load.at_us = report->at_us;
    event.load.streams = report->load.streams;
    event.load.prefill_tokens = report->load.prefill_tokens;
    event.load.kv_tokens = report->load.kv_tokens;
    event.load.holdings =
        (const cq_holding_t *)(const void *)report->holdings->data;
    event.load.holdings_len = report->holdings->len;
    event.load.models = report->models;
    event.load.models_len = report->models_len;
    event.load.loading = report->loading;
    for (guint i = 0; i < sim->options.hosts; i++) {
        const cq_world_host_t *host = &sim->hosts[i];
        gboolean up = host->core != NULL && !frozen(host);
        if (up && upstream->up &&
            cq_world_reachable(sim, host->zone, upstream->zone)) {
            cq_world_post(sim, i, &event);
        }
    }
    g_array_unref(report->holdings);
    g_free(report);
}

static void
on_load(void *world, void *data, guint64 number)
{
    (void)data;
    cq_sim_t *sim = world;
    gint64 now_us = cq_world_now(sim);
    cq_world_upstream_t *upstream = &sim->upstreams[number];
    if (upstream->up && upstream->engine != NULL) {
        report_t *report = g_new0(report_t, 1);
        report->upstream = (guint)number;
        report->at_us = now_us;
        report->load = cq_engine_load(upstream->engine);
        report->holdings = g_array_new(FALSE, FALSE, sizeof(cq_holding_t));
        cq_engine_holdings(upstream->engine, report->holdings);
        memcpy(report->models, upstream->models, sizeof report->models);
        report->models_len = upstream->models_len;
        report->loading = upstream->loading;
        cq_heap_add(&sim->heap, now_us + sim->options.report_lag_us, on_report,
                    report, 0);
    }
    cq_heap_add(&sim->heap, now_us + CQ_WORLD_LOAD_US, on_load, NULL, number);
}

static void
offer(cq_world_host_t *from, cq_world_host_t *to)
{
    gboolean up = from->core != NULL && to->core != NULL;
    if (!up || frozen(from) || frozen(to) ||
        !cq_world_reachable(from->sim, from->zone, to->zone)) {
        return;
    }
    cq_record_t state = cq_fold_checkpoint(from->fold);
    cq_fold_merge_all(to->fold, &state);
    cq_record_clear(&state);
}

/* Processes offer their peers what they have in force, both ways, so that
 * one without the platform hears it. */
static void
on_offer(void *world, void *data, guint64 index)
{
    (void)data;
    cq_sim_t *sim = world;
    cq_world_host_t *host = &sim->hosts[index];
    guint len = 0;
    const cq_host_row_t *peers = NULL;
    if (host->core != NULL) {
        peers = cq_core_peers(host->core, &len);
    }
    for (guint i = 0; i < len; i++) {
        guint peer = cq_world_host_index(sim, peers[i].name);
        offer(host, &sim->hosts[peer]);
        offer(&sim->hosts[peer], host);
    }
    cq_heap_add(&sim->heap, cq_world_now(sim) + CQ_OFFER_INTERVAL_US, on_offer,
                NULL, index);
}

void
cq_world_start_plat(cq_sim_t *sim)
{
    cq_heap_add(&sim->heap, 0, on_list, NULL, 0);
    for (guint i = 0; i < sim->options.hosts; i++) {
        gint64 at_us = g_rand_int_range(sim->rand, 0, CQ_OFFER_INTERVAL_US);
        cq_heap_add(&sim->heap, at_us, on_offer, NULL, i);
    }
    for (guint i = 0; i < sim->upstreams_len; i++) {
        gint64 at_us = g_rand_int_range(sim->rand, 0, CQ_WORLD_LOAD_US);
        cq_heap_add(&sim->heap, at_us, on_load, NULL, i);
    }
}

void
cq_sim_truncate_log(cq_sim_t *sim, guint keep)
{
    g_ptr_array_set_size(sim->log, (gint)MIN(keep, sim->log->len));
}
