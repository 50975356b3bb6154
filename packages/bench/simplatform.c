/* The platform: log, host list, engines' load reports; also the hosts'
 * exchange of configuration. */
#include <string.h>

#include "bench/simstate.h"

/* Time after which an append without a reply is repeated. */
#define APPEND_RETRY_US (200 * CQ_MS_US)
#define LOG_FAIL_US (100 * CQ_MS_US)

static cq_sim_record_t *
record_at(const cq_sim_t *sim, gint64 offset)
{
    return g_ptr_array_index(sim->log, (guint)offset);
}

void
cq_sim_record_free(gpointer data)
{
    cq_sim_record_t *record = data;
    g_free(record->config.body);
    g_free(record);
}

static void
apply_record(cq_sim_host_t *host, const cq_sim_record_t *record)
{
    cq_event_t event = {.kind = CQ_EV_CLAIM};
    switch (record->kind) {
    case CQ_RECORD_CLAIM:
        event.claim = record->claim;
        cq_sim_post_event(host->sim, host->index, &event);
        break;
    case CQ_RECORD_LEASE:
        event.kind = CQ_EV_LEASE;
        event.lease.record = record->lease;
        event.lease.offset = (guint64)host->log_offset;
        cq_sim_post_event(host->sim, host->index, &event);
        break;
    case CQ_RECORD_CONFIG:
        cq_fold_apply(host->fold, &record->config);
        break;
    case CQ_RECORD_CHECKPOINT:
        g_assert_not_reached();
    }
}

static void
read_log(cq_sim_host_t *host)
{
    cq_sim_t *sim = host->sim;
    gint64 now_us = cq_sim_now(sim);
    gboolean log_reachable =
        !sim->log_down && cq_sim_platform_reachable(sim, host->index);
    gboolean unread =
        log_reachable && host->log_offset < (gint64)sim->log->len;
    gint64 wait_us =
        log_reachable ? CQ_LOG_WAIT_MS * CQ_MS_US : CQ_LOG_RETRY_US;
    if (unread || now_us - host->last_read_us >= wait_us) {
        sim->totals.log_reads++;
        host->last_read_us = now_us;
    }
    if (log_reachable && host->log_offset > (gint64)sim->log->len) {
        host->log_offset = 0;
        host->appended_end = 0;
    }
    while (log_reachable && host->log_offset < (gint64)sim->log->len) {
        apply_record(host, record_at(sim, host->log_offset));
        host->log_offset++;
    }
    cq_event_t event = {.kind = CQ_EV_LOG, .log_up = log_reachable};
    cq_sim_post_event(sim, host->index, &event);
}

static gboolean
is_frozen(const cq_sim_host_t *host)
{
    return host->frozen_until_us > cq_sim_now(host->sim);
}

/* A process that does not need to follow the log polls it at long intervals,
 * unless a record of its own is still to be appended or to be read back. */
static gboolean
poll_due(cq_sim_host_t *host)
{
    gint64 now_us = cq_sim_now(host->sim);
    gboolean own_record_pending = !g_queue_is_empty(&host->appends) ||
                                  host->appending ||
                                  host->log_offset < host->appended_end;
    if (cq_core_follows_log(host->core) || own_record_pending) {
        return TRUE;
    }
    return now_us - host->last_poll_us >= CQ_LOG_NONREADER_POLL_US;
}

static void
on_log_poll(void *context, void *data, guint64 incarnation)
{
    cq_sim_t *sim = context;
    cq_sim_host_t *host = data;
    if (host->core == NULL || host->incarnation != incarnation) {
        return;
    }
    if (!is_frozen(host) && poll_due(host)) {
        host->last_poll_us = cq_sim_now(sim);
        read_log(host);
    }
    cq_heap_add(&sim->heap, cq_sim_now(sim) + CQ_SIM_LOG_POLL_US, on_log_poll,
                host, incarnation);
}

void
cq_sim_start_log_reader(cq_sim_t *sim, cq_sim_host_t *host)
{
    host->log_offset = 0;
    host->appended_end = 0;
    host->last_poll_us = -CQ_LOG_NONREADER_POLL_US;
    cq_heap_add(&sim->heap, cq_sim_now(sim) + CQ_SIM_LOG_POLL_US, on_log_poll,
                host, host->incarnation);
}

static void
start_append(cq_sim_host_t *host);

static void
on_append(void *context, void *data, guint64 incarnation)
{
    cq_sim_t *sim = context;
    cq_sim_host_t *host = data;
    if (host->core == NULL || host->incarnation != incarnation) {
        return;
    }
    gboolean log_reachable =
        !sim->log_down && cq_sim_platform_reachable(sim, host->index);
    cq_sim_record_t *record = g_queue_peek_head(&host->appends);
    gint64 delay_us = APPEND_RETRY_US;
    if (log_reachable) {
        cq_sim_record_t *copy = g_memdup2(record, sizeof *record);
        g_ptr_array_add(sim->log, copy);
        host->appended_end = sim->log->len;
        if (sim->append_replies_to_lose > 0) {
            sim->append_replies_to_lose--;
        }
        else {
            g_free(g_queue_pop_head(&host->appends));
            delay_us = CQ_SIM_APPEND_US;
        }
    }
    host->appending = FALSE;
    if (!g_queue_is_empty(&host->appends)) {
        host->appending = TRUE;
        cq_heap_add(&sim->heap, cq_sim_now(sim) + delay_us, on_append, host,
                    incarnation);
    }
}

static void
start_append(cq_sim_host_t *host)
{
    if (host->appending) {
        return;
    }
    host->appending = TRUE;
    cq_sim_t *sim = host->sim;
    cq_heap_add(&sim->heap, cq_sim_now(sim) + CQ_SIM_APPEND_US, on_append,
                host, host->incarnation);
}

void
cq_sim_append(cq_sim_host_t *host, const cq_sim_record_t *record)
{
    g_queue_push_tail(&host->appends, g_memdup2(record, sizeof *record));
    start_append(host);
}

void
cq_sim_publish(cq_sim_t *sim, const char *service, const char *body,
               guint64 base, const char *id)
{
    cq_sim_record_t *record = g_new0(cq_sim_record_t, 1);
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
append_row(GArray *rows, const char *name, guint zone, const char *service,
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
current_host_list(const cq_sim_t *sim)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(cq_host_row_t));
    for (guint i = 0; i < sim->options.hosts; i++) {
        const cq_sim_host_t *host = &sim->hosts[i];
        if (host->core != NULL) {
            append_row(rows, host->name, host->zone, "", host->incarnation,
                       FALSE);
        }
    }
    for (guint i = 0; i < sim->upstreams_len; i++) {
        const cq_sim_upstream_t *upstream = &sim->upstreams[i];
        if (upstream->up) {
            append_row(rows, upstream->name, upstream->zone,
                       upstream->engine != NULL ? "modelo" : "reservas",
                       upstream->incarnation, upstream->leaving);
        }
    }
    return rows;
}

static void
deliver_list(cq_sim_t *sim, const GArray *rows)
{
    cq_event_t event = {.kind = CQ_EV_HOSTS};
    event.hosts.rows = (const cq_host_row_t *)(const void *)rows->data;
    event.hosts.len = rows->len;
    for (guint i = 0; i < sim->options.hosts; i++) {
        gboolean is_running =
            sim->hosts[i].core != NULL && !is_frozen(&sim->hosts[i]);
        if (is_running && cq_sim_platform_reachable(sim, i)) {
            cq_sim_post_event(sim, i, &event);
        }
    }
}

static void
on_list_delivery(void *context, void *data, guint64 number)
{
    (void)number;
    cq_sim_t *sim = context;
    GArray *rows = data;
    if (!sim->list_down) {
        deliver_list(sim, rows);
    }
    g_array_unref(rows);
}

static void
on_list_snapshot(void *context, void *data, guint64 number)
{
    (void)data;
    (void)number;
    cq_sim_t *sim = context;
    gint64 now_us = cq_sim_now(sim);
    cq_heap_add(&sim->heap, now_us + sim->options.list_lag_us,
                on_list_delivery, current_host_list(sim), 0);
    cq_heap_add(&sim->heap, now_us + CQ_SIM_LIST_PERIOD_US, on_list_snapshot,
                NULL, 0);
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
} load_report_t;

static void
on_report_delivery(void *context, void *data, guint64 number)
{
    (void)number;
    cq_sim_t *sim = context;
    load_report_t *report = data;
    const cq_sim_upstream_t *upstream = &sim->upstreams[report->upstream];
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
        const cq_sim_host_t *host = &sim->hosts[i];
        gboolean is_running = host->core != NULL && !is_frozen(host);
        if (is_running && upstream->up &&
            cq_sim_reachable(sim, host->zone, upstream->zone)) {
            cq_sim_post_event(sim, i, &event);
        }
    }
    g_array_unref(report->holdings);
    g_free(report);
}

static void
on_report_due(void *context, void *data, guint64 number)
{
    (void)data;
    cq_sim_t *sim = context;
    gint64 now_us = cq_sim_now(sim);
    cq_sim_upstream_t *upstream = &sim->upstreams[number];
    if (upstream->up && upstream->engine != NULL) {
        load_report_t *report = g_new0(load_report_t, 1);
        report->upstream = (guint)number;
        report->at_us = now_us;
        report->load = cq_engine_load(upstream->engine);
        report->holdings = g_array_new(FALSE, FALSE, sizeof(cq_holding_t));
        cq_engine_reservations(upstream->engine, report->holdings);
        memcpy(report->models, upstream->models, sizeof report->models);
        report->models_len = upstream->models_len;
        report->loading = upstream->loading;
        cq_heap_add(&sim->heap, now_us + sim->options.report_lag_us,
                    on_report_delivery, report, 0);
    }
    cq_heap_add(&sim->heap, now_us + CQ_SIM_REPORT_PERIOD_US, on_report_due,
                NULL, number);
}

static void
offer_config(cq_sim_host_t *from, cq_sim_host_t *to)
{
    gboolean both_up = from->core != NULL && to->core != NULL;
    if (!both_up || is_frozen(from) || is_frozen(to) ||
        !cq_sim_reachable(from->sim, from->zone, to->zone)) {
        return;
    }
    cq_record_t state = cq_fold_checkpoint(from->fold);
    cq_fold_merge_all(to->fold, &state);
    cq_record_clear(&state);
}

/* Peers exchange their configuration in both directions, so that a host that
 * cannot reach the platform gets it too. */
static void
on_offer_due(void *context, void *data, guint64 index)
{
    (void)data;
    cq_sim_t *sim = context;
    cq_sim_host_t *host = &sim->hosts[index];
    guint len = 0;
    const cq_host_row_t *peers = NULL;
    if (host->core != NULL) {
        peers = cq_core_peers(host->core, &len);
    }
    for (guint i = 0; i < len; i++) {
        guint peer = cq_sim_host_index(sim, peers[i].name);
        offer_config(host, &sim->hosts[peer]);
        offer_config(&sim->hosts[peer], host);
    }
    cq_heap_add(&sim->heap, cq_sim_now(sim) + CQ_OFFER_INTERVAL_US,
                on_offer_due, NULL, index);
}

void
cq_sim_start_platform(cq_sim_t *sim)
{
    cq_heap_add(&sim->heap, 0, on_list_snapshot, NULL, 0);
    for (guint i = 0; i < sim->options.hosts; i++) {
        gint64 at_us = g_rand_int_range(sim->rand, 0, CQ_OFFER_INTERVAL_US);
        cq_heap_add(&sim->heap, at_us, on_offer_due, NULL, i);
    }
    for (guint i = 0; i < sim->upstreams_len; i++) {
        gint64 at_us = g_rand_int_range(sim->rand, 0, CQ_SIM_REPORT_PERIOD_US);
        cq_heap_add(&sim->heap, at_us, on_report_due, NULL, i);
    }
}

void
cq_sim_truncate_log(cq_sim_t *sim, guint keep)
{
    g_ptr_array_set_size(sim->log, (gint)MIN(keep, sim->log->len));
}

void
cq_sim_reach(cq_sim_t *sim, cq_sim_host_t *host, const cq_ac_reach_t *reach)
{
    guint index = GPOINTER_TO_UINT(
        g_hash_table_lookup(sim->upstream_by_id, &reach->upstream));
    const cq_sim_upstream_t *upstream = &sim->upstreams[index];
    gboolean silent = upstream->frozen_until_us > cq_sim_now(sim) ||
                      !cq_sim_reachable(sim, host->zone, upstream->zone);
    cq_event_t event = {.kind = CQ_EV_REACHED};
    event.reached.upstream = reach->upstream;
    event.reached.opened = upstream->up && !silent;
    event.reached.timed_out = silent;
    event.reached.purpose = reach->purpose;
    /* A host that is down refuses the connection; a cut network is silent. */
    cq_sim_post_event_after(host, &event,
                            silent ? reach->timeout_us : 2 * CQ_SIM_HOP_US);
}
