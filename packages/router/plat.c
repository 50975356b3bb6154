#include "router/plat.h"

#include <json-glib/json-glib.h>
#include <string.h>

#include "router/http.h"

#define CALL_TIMEOUT_MS 2000
#define READ_TIMEOUT_MS (CQ_LOG_WAIT_MS + 2000)
#define APPEND_BATCH_MAX 256
#define PENDING_RECORDS_MAX 65536
#define CHECKPOINT_JITTER_US (2 * CQ_SECOND_US)
#define CHECKPOINT_RECORDS_MIN 64

struct cq_plat {
    cq_app_t *app;
    SoupSession *session;
    GQueue pending;
    guint in_flight;
    gboolean stopped;
    gint64 next;            /* offset after the last record read */
    gint64 appended_end;    /* offset after the last record appended here */
    gint64 last_checkpoint; /* last checkpoint's offset, or -1 */
    gint64 checkpoint_due_us;
    guint references; /* calls and timers that still refer to this */
    guint poll_timer; /* timer until the next occasional read, or 0 */
    GRand *rand;
};

static void
read_log(cq_plat_t *plat);
static void
flush(cq_plat_t *plat);

static char *
url_of(const cq_plat_t *plat, const char *path)
{
    const cq_settings_t *settings = cq_app_settings(plat->app);
    return g_strdup_printf("http://%s%s", settings->log, path);
}

static void
free_if_idle(cq_plat_t *plat)
{
    if (!plat->stopped || plat->references > 0) {
        return;
    }
    g_queue_clear_full(&plat->pending, g_free);
    g_object_unref(plat->session);
    g_rand_free(plat->rand);
    g_free(plat);
}

/* Drops the reference of a call or timer that has ended. Return: FALSE if the
 * client is stopped; it may be freed then. */
static gboolean
release_reference(cq_plat_t *plat)
{
    plat->references--;
    if (plat->stopped) {
        free_if_idle(plat);
        return FALSE;
    }
    return TRUE;
}

static void
post_log(cq_plat_t *plat, gboolean up)
{
    cq_event_t event = {.kind = CQ_EV_LOG, .log_up = up};
    cq_app_post(plat->app, &event);
}

static void
apply_record(cq_plat_t *plat, gint64 offset, const char *data)
{
    cq_record_t record;
    cq_error_t error = {0};
    if (!cq_record_decode(data, &record, &error)) {
        cq_app_count(plat->app, CQ_N_CONFIG_IGNORED, 1);
        return;
    }
    cq_fold_t *fold = cq_app_fold(plat->app);
    switch (record.kind) {
    case CQ_RECORD_CONFIG:
        if (cq_fold_config(fold, &record.config) != CQ_FOLD_APPLIED) {
            cq_app_count(plat->app, CQ_N_CONFIG_IGNORED, 1);
        }
        break;
    case CQ_RECORD_CHECKPOINT:
        cq_fold_merge_all(fold, &record);
        plat->last_checkpoint = offset;
        plat->checkpoint_due_us = 0;
        break;
    case CQ_RECORD_LEASE: {
        cq_event_t event = {.kind = CQ_EV_LEASE};
        event.lease.record = record.lease;
        event.lease.offset = (guint64)offset;
        cq_app_post(plat->app, &event);
        break;
    }
    case CQ_RECORD_CLAIM: {
        cq_event_t event = {.kind = CQ_EV_CLAIM, .claim = record.claim};
        cq_app_post(plat->app, &event);
        break;
    }
    }
    cq_record_clear(&record);
}

static void
append_checkpoint(cq_plat_t *plat)
{
    plat->checkpoint_due_us = 0;
    if (cq_fold_size(cq_app_fold(plat->app)) == 0) {
        return;
    }
    cq_record_t record = cq_fold_checkpoint(cq_app_fold(plat->app));
    cq_plat_append(plat, &record);
    cq_record_clear(&record);
}

/* Appends a checkpoint when the last one is in the older half of what the log
 * retains. The random delay makes it likely that only one process does so. */
static void
check_retention(cq_plat_t *plat, gint64 first, gint64 end)
{
    gint64 now_us = cq_app_now_us(plat->app);
    gboolean outdated = plat->last_checkpoint < first + (end - first) / 2;
    gboolean enough =
        end - MAX(plat->last_checkpoint, 0) > CHECKPOINT_RECORDS_MIN;
    if (!outdated || !enough) {
        return;
    }
    if (plat->checkpoint_due_us == 0) {
        gint64 jitter = g_rand_int_range(plat->rand, 1, CHECKPOINT_JITTER_US);
        plat->checkpoint_due_us = now_us + jitter;
        return;
    }
    if (now_us >= plat->checkpoint_due_us) {
        append_checkpoint(plat);
        plat->last_checkpoint = end;
    }
}

static void
apply_records(cq_plat_t *plat, JsonArray *records)
{
    for (guint i = 0; i < json_array_get_length(records); i++) {
        JsonObject *row = json_array_get_object_element(records, i);
        gint64 offset = json_object_get_int_member(row, "offset");
        if (offset < plat->next) {
            continue;
        }
        const char *data = json_object_get_string_member(row, "data");
        apply_record(plat, offset, data);
        plat->next = offset + 1;
    }
}

/* The log has lost records: it is now empty or shorter than what was read. The
 * configuration stays in force and is appended again as a checkpoint, and
 * reading restarts at the log's first offset. */
static void
handle_log_reset(cq_plat_t *plat, gint64 first)
{
    cq_app_count(plat->app, CQ_N_LOG_BACKWARD, 1);
    plat->next = first;
    plat->appended_end = 0;
    plat->last_checkpoint = first;
    append_checkpoint(plat);
}

static gboolean
handle_page(cq_plat_t *plat, GBytes *body)
{
    JsonParser *parser = json_parser_new();
    JsonObject *page = cq_http_object(parser, body);
    if (page != NULL) {
        gint64 first =
            json_object_get_int_member_with_default(page, "first", 0);
        gint64 end = json_object_get_int_member_with_default(page, "end", 0);
        if (end < plat->next) {
            handle_log_reset(plat, first);
        }
        else if (json_object_has_member(page, "records")) {
            apply_records(plat, json_object_get_array_member(page, "records"));
        }
        if (plat->next >= end) {
            post_log(plat, TRUE);
        }
        check_retention(plat, first, end);
    }
    g_object_unref(parser);
    return page != NULL;
}

static gboolean
on_poll(gpointer data)
{
    cq_plat_t *plat = data;
    plat->poll_timer = 0;
    if (release_reference(plat)) {
        read_log(plat);
    }
    return G_SOURCE_REMOVE;
}

static gboolean
on_read_retry(gpointer data)
{
    cq_plat_t *plat = data;
    if (release_reference(plat)) {
        read_log(plat);
    }
    return G_SOURCE_REMOVE;
}

/* Reads on at once if this process is one of those that follow the log, or has
 * appended records that it has not read back. Otherwise it reads only every
 * CQ_LOG_LOOK_US. */
static void
schedule_read(cq_plat_t *plat)
{
    gboolean read_now = cq_core_reads_log(cq_app_core(plat->app)) ||
                        plat->next < plat->appended_end ||
                        !g_queue_is_empty(&plat->pending);
    if (read_now) {
        read_log(plat);
        return;
    }
    plat->references++;
    plat->poll_timer = g_timeout_add(CQ_LOG_LOOK_US / CQ_MS_US, on_poll, plat);
}

static void
on_page(int status, GBytes *body, void *data)
{
    cq_plat_t *plat = data;
    if (!release_reference(plat)) {
        return;
    }
    if (status == 200 && handle_page(plat, body)) {
        schedule_read(plat);
        return;
    }
    post_log(plat, FALSE);
    plat->references++;
    g_timeout_add(CQ_LOG_RETRY_US / CQ_MS_US, on_read_retry, plat);
}

static void
read_log(cq_plat_t *plat)
{
    char path[128];
    g_snprintf(path, sizeof path, "/read?from=%" G_GINT64_FORMAT "&wait_ms=%d",
               plat->next, CQ_LOG_WAIT_MS);
    char *url = url_of(plat, path);
    plat->references++;
    cq_http_call(plat->session, "GET", url, NULL, READ_TIMEOUT_MS, on_page,
                 plat);
    g_free(url);
}

static gboolean
on_flush_retry(gpointer data)
{
    cq_plat_t *plat = data;
    plat->in_flight = 0;
    if (release_reference(plat)) {
        flush(plat);
    }
    return G_SOURCE_REMOVE;
}

/* Return: offset of a batch's first record, from the log's answer. */
static gint64
first_offset(GBytes *body)
{
    JsonParser *parser = json_parser_new();
    JsonObject *object = cq_http_object(parser, body);
    gint64 offset = 0;
    if (object != NULL) {
        offset = json_object_get_int_member_with_default(object, "offset", 0);
    }
    g_object_unref(parser);
    return offset;
}

/* Without an answer it is unknown whether the log has the records. They are
 * appended again; readers ignore the duplicates. */
static void
on_appended(int status, GBytes *body, void *data)
{
    cq_plat_t *plat = data;
    if (!release_reference(plat)) {
        return;
    }
    if (status == 200) {
        plat->appended_end = first_offset(body) + plat->in_flight;
        for (guint i = 0; i < plat->in_flight; i++) {
            g_free(g_queue_pop_head(&plat->pending));
        }
        plat->in_flight = 0;
        flush(plat);
        return;
    }
    post_log(plat, FALSE);
    plat->references++;
    g_timeout_add(CQ_LOG_RETRY_US / CQ_MS_US, on_flush_retry, plat);
}

static void
flush(cq_plat_t *plat)
{
    if (plat->in_flight > 0 || g_queue_is_empty(&plat->pending)) {
        return;
    }
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "records");
    json_builder_begin_array(builder);
    GList *link = plat->pending.head;
    for (; link != NULL && plat->in_flight < APPEND_BATCH_MAX;
         link = link->next) {
        json_builder_add_string_value(builder, link->data);
        plat->in_flight++;
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    GBytes *body = g_bytes_new_take(text, strlen(text));
    char *url = url_of(plat, "/append");
    plat->references++;
    cq_http_call(plat->session, "POST", url, body, CALL_TIMEOUT_MS,
                 on_appended, plat);
    g_free(url);
    g_bytes_unref(body);
    json_node_unref(root);
    g_object_unref(builder);
}

static void
copy_member(JsonObject *row, const char *key, char *to, gsize size)
{
    g_strlcpy(to, json_object_get_string_member_with_default(row, key, ""),
              size);
}

static void
handle_hosts(cq_plat_t *plat, JsonArray *rows)
{
    GArray *list = g_array_new(FALSE, TRUE, sizeof(cq_listed_t));
    for (guint i = 0; i < json_array_get_length(rows); i++) {
        JsonObject *row = json_array_get_object_element(rows, i);
        cq_listed_t listed = {0};
        copy_member(row, "name", listed.name, sizeof listed.name);
        copy_member(row, "addr", listed.addr, sizeof listed.addr);
        copy_member(row, "zone", listed.zone, sizeof listed.zone);
        copy_member(row, "service", listed.service, sizeof listed.service);
        listed.incarnation = (guint64)json_object_get_int_member_with_default(
            row, "incarnation", 0);
        listed.leaving =
            json_object_get_boolean_member_with_default(row, "leaving", FALSE);
        g_array_append_val(list, listed);
    }
    cq_event_t event = {.kind = CQ_EV_HOSTS};
    event.hosts.rows = (cq_listed_t *)(void *)list->data;
    event.hosts.len = list->len;
    cq_app_post(plat->app, &event);
    cq_app_connect_peers(plat->app);
    g_array_unref(list);
}

static gboolean
on_hosts_timer(gpointer data);

static void
on_hosts(int status, GBytes *body, void *data)
{
    cq_plat_t *plat = data;
    if (!release_reference(plat)) {
        return;
    }
    if (status == 200) {
        JsonParser *parser = json_parser_new();
        JsonObject *object = cq_http_object(parser, body);
        if (object != NULL && json_object_has_member(object, "hosts")) {
            handle_hosts(plat, json_object_get_array_member(object, "hosts"));
        }
        g_object_unref(parser);
    }
    plat->references++;
    g_timeout_add(CQ_LIST_POLL_US / CQ_MS_US, on_hosts_timer, plat);
}

static void
read_hosts(cq_plat_t *plat)
{
    const cq_settings_t *settings = cq_app_settings(plat->app);
    char *url = g_strdup_printf("http://%s/hosts", settings->hosts);
    plat->references++;
    cq_http_call(plat->session, "GET", url, NULL, CALL_TIMEOUT_MS, on_hosts,
                 plat);
    g_free(url);
}

static gboolean
on_hosts_timer(gpointer data)
{
    cq_plat_t *plat = data;
    if (release_reference(plat)) {
        read_hosts(plat);
    }
    return G_SOURCE_REMOVE;
}

cq_plat_t *
cq_plat_new(cq_app_t *app)
{
    cq_plat_t *plat = g_new0(cq_plat_t, 1);
    plat->app = app;
    plat->session = cq_http_session();
    plat->rand = g_rand_new();
    plat->last_checkpoint = -1;
    g_queue_init(&plat->pending);
    read_log(plat);
    read_hosts(plat);
    return plat;
}

void
cq_plat_free(cq_plat_t *plat)
{
    plat->stopped = TRUE;
    soup_session_abort(plat->session);
    free_if_idle(plat);
}

void
cq_plat_append(cq_plat_t *plat, const cq_record_t *record)
{
    if (g_queue_get_length(&plat->pending) >= PENDING_RECORDS_MAX) {
        return;
    }
    g_queue_push_tail(&plat->pending, cq_record_encode(record));
    if (plat->poll_timer != 0) {
        g_source_remove(plat->poll_timer);
        on_poll(plat);
    }
    flush(plat);
}

guint
cq_plat_pending(const cq_plat_t *plat)
{
    return g_queue_get_length((GQueue *)&plat->pending);
}
