#include "router/log_client.h"

#include <string.h>

#include "config/json.h"
#include "router/http.h"

#define CALL_TIMEOUT_MS 2000
#define READ_TIMEOUT_MS (CQ_LOG_WAIT_MS + 2000)
#define APPEND_BATCH_MAX 256
/* Largest number of records that wait to be appended; more are dropped. */
#define PENDING_RECORDS_MAX 65536
/* Largest random delay before a checkpoint. */
#define CHECKPOINT_JITTER_US (2 * CQ_SECOND_US)
#define CHECKPOINT_RECORDS_MIN 64

struct cq_log_client {
    cq_app_t *app;
    SoupSession *session;
    GQueue pending;
    guint in_flight;
    gboolean stopped;
    gint64 next;            /* offset after the last record read */
    gint64 appended_end;    /* offset after the last record appended here */
    gint64 last_checkpoint; /* last checkpoint's offset, or -1 */
    gint64 checkpoint_due_us;
    guint references; /* open calls and timers that use this client */
    guint poll_timer; /* timer until the next occasional read, or 0 */
    GRand *rand;
    gboolean unreadable; /* the last answer was */
};

static void
read_log(cq_log_client_t *client);
static void
flush(cq_log_client_t *client);

static char *
url_of(const cq_log_client_t *client, const char *path)
{
    const cq_settings_t *settings = cq_app_settings(client->app);
    return g_strdup_printf("http://%s%s", settings->log, path);
}

/* Logs the first unreadable answer in a row. Return: the object in @body, or
 * NULL. */
static JsonObject *
read_answer(cq_log_client_t *client, JsonParser *parser, GBytes *body)
{
    cq_error_t error = {0};
    JsonObject *object = cq_http_parse_object(parser, body, &error);
    if (object == NULL && !client->unreadable) {
        cq_app_log(client->app, "answer_ignored", "why=\"%s\"", error.text);
    }
    client->unreadable = object == NULL;
    return object;
}

static void
free_if_idle(cq_log_client_t *client)
{
    if (!client->stopped || client->references > 0) {
        return;
    }
    g_queue_clear_full(&client->pending, g_free);
    g_object_unref(client->session);
    g_rand_free(client->rand);
    g_free(client);
}

/* Drops the reference of a call or timer that has ended. Return: FALSE if the
 * client is stopped; it may have been freed then. */
static gboolean
release_reference(cq_log_client_t *client)
{
    client->references--;
    if (client->stopped) {
        free_if_idle(client);
        return FALSE;
    }
    return TRUE;
}

static void
post_log(cq_log_client_t *client, gboolean up)
{
    cq_event_t event = {.kind = CQ_EV_LOG, .log_up = up};
    cq_app_post(client->app, &event);
}

static void
apply_record(cq_log_client_t *client, gint64 offset, const char *data)
{
    cq_record_t record;
    cq_error_t error = {0};
    if (!cq_record_decode(data, &record, &error)) {
        cq_app_count(client->app, CQ_N_CONFIG_IGNORED, 1);
        return;
    }
    cq_fold_t *fold = cq_app_fold(client->app);
    switch (record.kind) {
    case CQ_RECORD_CONFIG:
        if (cq_fold_apply(fold, &record.config) != CQ_FOLD_APPLIED) {
            cq_app_count(client->app, CQ_N_CONFIG_IGNORED, 1);
        }
        break;
    case CQ_RECORD_CHECKPOINT:
        cq_fold_merge_all(fold, &record);
        client->last_checkpoint = offset;
        client->checkpoint_due_us = 0;
        break;
    case CQ_RECORD_LEASE: {
        cq_event_t event = {.kind = CQ_EV_LEASE};
        event.lease.record = record.lease;
        event.lease.offset = (guint64)offset;
        cq_app_post(client->app, &event);
        break;
    }
    case CQ_RECORD_CLAIM: {
        cq_event_t event = {.kind = CQ_EV_CLAIM, .claim = record.claim};
        cq_app_post(client->app, &event);
        break;
    }
    }
    cq_record_clear(&record);
}

static void
append_checkpoint(cq_log_client_t *client)
{
    client->checkpoint_due_us = 0;
    if (cq_fold_size(cq_app_fold(client->app)) == 0) {
        return;
    }
    cq_record_t record = cq_fold_checkpoint(cq_app_fold(client->app));
    cq_log_client_append(client, &record);
    cq_record_clear(&record);
}

/* Appends a checkpoint when the last one is in the older half of what the log
 * retains and more than CHECKPOINT_RECORDS_MIN records follow it. The random
 * delay makes it likely that only one process does so. */
static void
check_retention(cq_log_client_t *client, gint64 first, gint64 end)
{
    gint64 now_us = cq_app_now_us(client->app);
    gboolean outdated = client->last_checkpoint < first + (end - first) / 2;
    gboolean enough =
        end - MAX(client->last_checkpoint, 0) > CHECKPOINT_RECORDS_MIN;
    if (!outdated || !enough) {
        return;
    }
    if (client->checkpoint_due_us == 0) {
        gint64 jitter_us =
            g_rand_int_range(client->rand, 1, CHECKPOINT_JITTER_US);
        client->checkpoint_due_us = now_us + jitter_us;
        return;
    }
    if (now_us >= client->checkpoint_due_us) {
        append_checkpoint(client);
        client->last_checkpoint = end;
    }
}

static void
apply_records(cq_log_client_t *client, JsonArray *records)
{
    for (guint i = 0; i < json_array_get_length(records); i++) {
        JsonObject *row = cq_json_element(records, i);
        gint64 offset =
            row != NULL
                ? json_object_get_int_member_with_default(row, "offset", -1)
                : -1;
        if (offset < client->next) {
            continue;
        }
        apply_record(client, offset, cq_json_text(row, "data"));
        client->next = offset + 1;
    }
}

/* The log has lost records: it is now empty or shorter than what was read. The
 * configuration stays in force and is appended again as a checkpoint, and
 * reading restarts at the log's first offset. */
static void
handle_log_reset(cq_log_client_t *client, gint64 first)
{
    cq_app_count(client->app, CQ_N_LOG_BACKWARD, 1);
    client->next = first;
    client->appended_end = 0;
    client->last_checkpoint = first;
    append_checkpoint(client);
}

static gboolean
handle_page(cq_log_client_t *client, GBytes *body)
{
    JsonParser *parser = json_parser_new();
    JsonObject *page = read_answer(client, parser, body);
    if (page != NULL) {
        gint64 first =
            json_object_get_int_member_with_default(page, "first", 0);
        gint64 end = json_object_get_int_member_with_default(page, "end", 0);
        if (end < client->next) {
            handle_log_reset(client, first);
        }
        else if (cq_json_array(page, "records") != NULL) {
            apply_records(client, cq_json_array(page, "records"));
        }
        if (client->next >= end) {
            post_log(client, TRUE);
        }
        check_retention(client, first, end);
    }
    g_object_unref(parser);
    return page != NULL;
}

static gboolean
on_poll(gpointer data)
{
    cq_log_client_t *client = data;
    client->poll_timer = 0;
    if (release_reference(client)) {
        read_log(client);
    }
    return G_SOURCE_REMOVE;
}

static gboolean
on_read_retry(gpointer data)
{
    cq_log_client_t *client = data;
    if (release_reference(client)) {
        read_log(client);
    }
    return G_SOURCE_REMOVE;
}

/* Starts the next read at once if this process is one of those that follow the
 * log, or if it has records that it has not appended or not yet read back.
 * Otherwise it reads only every CQ_LOG_NONREADER_POLL_US. */
static void
schedule_read(cq_log_client_t *client)
{
    gboolean read_now = cq_core_follows_log(cq_app_core(client->app)) ||
                        client->next < client->appended_end ||
                        !g_queue_is_empty(&client->pending);
    if (read_now) {
        read_log(client);
        return;
    }
    client->references++;
    client->poll_timer =
        g_timeout_add(CQ_LOG_NONREADER_POLL_US / CQ_MS_US, on_poll, client);
}

static void
on_page(int status, GBytes *body, void *data)
{
    cq_log_client_t *client = data;
    if (!release_reference(client)) {
        return;
    }
    if (status == 200 && handle_page(client, body)) {
        schedule_read(client);
        return;
    }
    post_log(client, FALSE);
    client->references++;
    g_timeout_add(CQ_LOG_RETRY_US / CQ_MS_US, on_read_retry, client);
}

static void
read_log(cq_log_client_t *client)
{
    char path[128];
    g_snprintf(path, sizeof path, "/read?from=%" G_GINT64_FORMAT "&wait_ms=%d",
               client->next, CQ_LOG_WAIT_MS);
    char *url = url_of(client, path);
    client->references++;
    cq_http_call_t call = {.method = "GET",
                           .url = url,
                           .answer_bytes_max = CQ_JSON_BYTES_MAX,
                           .timeout_ms = READ_TIMEOUT_MS,
                           .done = on_page,
                           .data = client};
    cq_http_call(client->session, &call);
    g_free(url);
}

static gboolean
on_flush_retry(gpointer data)
{
    cq_log_client_t *client = data;
    client->in_flight = 0;
    if (release_reference(client)) {
        flush(client);
    }
    return G_SOURCE_REMOVE;
}

/* Return: offset of a batch's first record, from the log's answer. */
static gint64
first_offset(cq_log_client_t *client, GBytes *body)
{
    JsonParser *parser = json_parser_new();
    JsonObject *object = read_answer(client, parser, body);
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
    cq_log_client_t *client = data;
    if (!release_reference(client)) {
        return;
    }
    if (status == 200) {
        client->appended_end = first_offset(client, body) + client->in_flight;
        for (guint i = 0; i < client->in_flight; i++) {
            g_free(g_queue_pop_head(&client->pending));
        }
        client->in_flight = 0;
        flush(client);
        return;
    }
    post_log(client, FALSE);
    client->references++;
    g_timeout_add(CQ_LOG_RETRY_US / CQ_MS_US, on_flush_retry, client);
}

static void
flush(cq_log_client_t *client)
{
    if (client->in_flight > 0 || g_queue_is_empty(&client->pending)) {
        return;
    }
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "records");
    json_builder_begin_array(builder);
    GList *link = client->pending.head;
    for (; link != NULL && client->in_flight < APPEND_BATCH_MAX;
         link = link->next) {
        json_builder_add_string_value(builder, link->data);
        client->in_flight++;
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    GBytes *body = g_bytes_new_take(text, strlen(text));
    char *url = url_of(client, "/append");
    client->references++;
    cq_http_call_t call = {.method = "POST",
                           .url = url,
                           .body = body,
                           .answer_bytes_max = CQ_JSON_BYTES_MAX,
                           .timeout_ms = CALL_TIMEOUT_MS,
                           .done = on_appended,
                           .data = client};
    cq_http_call(client->session, &call);
    g_free(url);
    g_bytes_unref(body);
    json_node_unref(root);
    g_object_unref(builder);
}

static void
copy_member(JsonObject *row, const char *key, char *to, gsize size)
{
    g_strlcpy(to, cq_json_text(row, key), size);
}

static void
handle_hosts(cq_log_client_t *client, JsonArray *rows)
{
    GArray *list = g_array_new(FALSE, TRUE, sizeof(cq_host_row_t));
    for (guint i = 0; i < json_array_get_length(rows); i++) {
        JsonObject *row = cq_json_element(rows, i);
        if (row == NULL) {
            continue;
        }
        cq_host_row_t listed = {0};
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
    event.hosts.rows = (cq_host_row_t *)(void *)list->data;
    event.hosts.len = list->len;
    cq_app_post(client->app, &event);
    cq_app_connect_peers(client->app);
    g_array_unref(list);
}

static gboolean
on_hosts_timer(gpointer data);

static void
on_hosts(int status, GBytes *body, void *data)
{
    cq_log_client_t *client = data;
    if (!release_reference(client)) {
        return;
    }
    if (status == 200) {
        JsonParser *parser = json_parser_new();
        JsonObject *object = read_answer(client, parser, body);
        JsonArray *rows =
            object != NULL ? cq_json_array(object, "hosts") : NULL;
        if (rows != NULL) {
            handle_hosts(client, rows);
        }
        g_object_unref(parser);
    }
    client->references++;
    g_timeout_add(CQ_HOST_LIST_POLL_US / CQ_MS_US, on_hosts_timer, client);
}

static void
read_hosts(cq_log_client_t *client)
{
    const cq_settings_t *settings = cq_app_settings(client->app);
    char *url = g_strdup_printf("http://%s/hosts", settings->hosts);
    client->references++;
    cq_http_call_t call = {.method = "GET",
                           .url = url,
                           .answer_bytes_max = CQ_JSON_BYTES_MAX,
                           .timeout_ms = CALL_TIMEOUT_MS,
                           .done = on_hosts,
                           .data = client};
    cq_http_call(client->session, &call);
    g_free(url);
}

static gboolean
on_hosts_timer(gpointer data)
{
    cq_log_client_t *client = data;
    if (release_reference(client)) {
        read_hosts(client);
    }
    return G_SOURCE_REMOVE;
}

cq_log_client_t *
cq_log_client_new(cq_app_t *app)
{
    cq_log_client_t *client = g_new0(cq_log_client_t, 1);
    client->app = app;
    client->session = cq_http_new_session();
    client->rand = g_rand_new();
    client->last_checkpoint = -1;
    g_queue_init(&client->pending);
    read_log(client);
    read_hosts(client);
    return client;
}

void
cq_log_client_free(cq_log_client_t *client)
{
    client->stopped = TRUE;
    soup_session_abort(client->session);
    free_if_idle(client);
}

void
cq_log_client_append(cq_log_client_t *client, const cq_record_t *record)
{
    if (g_queue_get_length(&client->pending) >= PENDING_RECORDS_MAX) {
        return;
    }
    g_queue_push_tail(&client->pending, cq_record_encode(record));
    if (client->poll_timer != 0) {
        g_source_remove(client->poll_timer);
        on_poll(client);
    }
    flush(client);
}

guint
cq_log_client_pending(const cq_log_client_t *client)
{
    return g_queue_get_length((GQueue *)&client->pending);
}
