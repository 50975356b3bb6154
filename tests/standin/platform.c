/* The platform: an append-only log with offsets, and a host list. A read
 * at the log's end may wait for the next record (long poll).
 *
 * Faults, set with POST /fault; N is the fault's value:
 *   down        if N is above 0, answers 503 to reads, appends and requests
 * for the host list lose_answer the next N appends take effect, and their
 * connections are closed without an answer */
#include <string.h>

#include "standin.h"

#define PAGE_RECORDS_MAX 1000
#define POLL_MS 10

static GPtrArray *records;  /* the records still retained */
static gint64 first_offset; /* offset of records[0] */
static int retain;          /* number of records kept */
static int read_calls;
static int append_calls;
static char *hosts; /* host list, JSON */

static gint64
end_offset(void)
{
    return first_offset + records->len;
}

static char *
encode_page(gint64 from)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "first");
    json_builder_add_int_value(builder, first_offset);
    json_builder_set_member_name(builder, "end");
    json_builder_add_int_value(builder, end_offset());
    json_builder_set_member_name(builder, "records");
    json_builder_begin_array(builder);
    gint64 start = MAX(from, first_offset);
    for (gint64 i = start; i < MIN(end_offset(), start + PAGE_RECORDS_MAX);
         i++) {
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "offset");
        json_builder_add_int_value(builder, i);
        json_builder_set_member_name(builder, "data");
        json_builder_add_string_value(builder,
                                      records->pdata[i - first_offset]);
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(builder);
    return text;
}

static gint64
query_number(GHashTable *query, const char *name)
{
    const char *text = query != NULL ? g_hash_table_lookup(query, name) : NULL;
    return text != NULL ? g_ascii_strtoll(text, NULL, 10) : 0;
}

/* A read that waits for a record at offset @from. */
typedef struct {
    SoupServerMessage *message;
    gint64 from;
    gint64 deadline_us;
    guint timer;
} waiting_read_t;

static void
on_read_finished(SoupServerMessage *message, gpointer data)
{
    (void)message;
    waiting_read_t *waiting = data;
    if (waiting->timer != 0) {
        g_source_remove(waiting->timer);
    }
    g_free(waiting);
}

static gboolean
on_poll(gpointer data)
{
    waiting_read_t *waiting = data;
    gboolean expired = g_get_monotonic_time() >= waiting->deadline_us;
    if (!expired && waiting->from >= end_offset() &&
        waiting->from >= first_offset) {
        return G_SOURCE_CONTINUE;
    }
    waiting->timer = 0;
    standin_reply(waiting->message, 200, encode_page(waiting->from));
    soup_server_message_unpause(waiting->message);
    return G_SOURCE_REMOVE;
}

/* GET /read?from=OFFSET&wait_ms=MS: a page of records. */
static void
on_read(SoupServer *server, SoupServerMessage *message, const char *path,
        GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)data;
    read_calls++;
    if (standin_fault("down") > 0) {
        standin_reply(message, 503, g_strdup("{}"));
        return;
    }
    gint64 from = query_number(query, "from");
    gint64 wait_ms = query_number(query, "wait_ms");
    if (from < end_offset() || wait_ms == 0 || from > end_offset()) {
        standin_reply(message, 200, encode_page(from));
        return;
    }
    waiting_read_t *waiting = g_new0(waiting_read_t, 1);
    waiting->message = message;
    waiting->from = from;
    waiting->deadline_us = g_get_monotonic_time() + wait_ms * 1000;
    waiting->timer = g_timeout_add(POLL_MS, on_poll, waiting);
    g_signal_connect(message, "finished", G_CALLBACK(on_read_finished),
                     waiting);
    soup_server_message_pause(message);
}

static void
append_record(const char *data)
{
    g_ptr_array_add(records, g_strdup(data));
    while (records->len > (guint)retain) {
        g_ptr_array_remove_index(records, 0);
        first_offset++;
    }
}

/* POST /append {"records":[TEXT...]}: answers with the first one's offset. */
static void
on_append(SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    append_calls++;
    if (standin_fault("down") > 0) {
        standin_reply(message, 503, g_strdup("{}"));
        return;
    }
    JsonNode *root = standin_json(message);
    JsonArray *rows =
        json_object_get_array_member(json_node_get_object(root), "records");
    gint64 offset = end_offset();
    for (guint i = 0; i < json_array_get_length(rows); i++) {
        append_record(json_array_get_string_element(rows, i));
    }
    json_node_unref(root);
    if (standin_fault_consume("lose_answer")) {
        standin_close(message);
        return;
    }
    standin_reply(
        message, 200,
        g_strdup_printf("{\"offset\":%" G_GINT64_FORMAT "}", offset));
}

/* GET /bounds: the log's offsets and the number of calls, for the test
 * scripts.
 */
static void
on_bounds(SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    standin_reply(message, 200,
                  g_strdup_printf("{\"first\":%" G_GINT64_FORMAT
                                  ",\"end\":%" G_GINT64_FORMAT
                                  ",\"reads\":%d,\"appends\":%d}",
                                  first_offset, end_offset(), read_calls,
                                  append_calls));
}

/* POST /truncate?keep=N: removes all retained records but the first N. */
static void
on_truncate(SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)data;
    guint keep = (guint)query_number(query, "keep");
    g_ptr_array_set_size(records, (gint)MIN(keep, records->len));
    standin_reply(message, 200, g_strdup("{}"));
}

void
standin_log(SoupServer *server, const standin_options_t *options)
{
    retain = options->retain;
    records = g_ptr_array_new_with_free_func(g_free);
    soup_server_add_handler(server, "/read", on_read, NULL, NULL);
    soup_server_add_handler(server, "/append", on_append, NULL, NULL);
    soup_server_add_handler(server, "/bounds", on_bounds, NULL, NULL);
    soup_server_add_handler(server, "/truncate", on_truncate, NULL, NULL);
}

/* /hosts: POST replaces the host list; every method answers with it. */
static void
on_hosts(SoupServer *server, SoupServerMessage *message, const char *path,
         GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    if (standin_fault("down") > 0) {
        standin_reply(message, 503, g_strdup("{}"));
        return;
    }
    if (soup_server_message_get_method(message) == SOUP_METHOD_POST) {
        g_free(hosts);
        hosts = standin_body(message);
    }
    standin_reply(message, 200, g_strdup(hosts));
}

void
standin_hosts(SoupServer *server, const standin_options_t *options)
{
    (void)options;
    hosts = g_strdup("{\"hosts\":[]}");
    soup_server_add_handler(server, "/hosts", on_hosts, NULL, NULL);
}
