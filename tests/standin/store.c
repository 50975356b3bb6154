/* The platform's store: topics of keyed records, each with one partition.
 *
 * The body of a call to /v1/log-append is a sequence of encoded records. Each
 * record is the length of the rest (4 bytes), the length of the key (1 byte),
 * the key and the value, which is empty for a deletion. An answer to
 * /v1/log-read has the offsets of the topic's end and of its first readable
 * record (8 bytes each), then records in the same encoding. Numbers are in
 * network byte order.
 *
 * At each address of --also the records of the upstreams have that address's
 * IP in place of 127.0.0.1, so that a host which reads them there reaches the
 * upstreams through the mode links. */
#include <json-glib/json-glib.h>
#include <string.h>

#include "fleet.h"
#include "pace.h"

#define LENGTH_FIELD_BYTES 4
#define OFFSET_FIELD_BYTES 8
#define UPSTREAMS_TOPIC "keyed.servers"
#define UPSTREAM_IP "\"address\":\"127.0.0.1:"

typedef struct {
    char *key;
    GBytes *value; /* NULL: the key is deleted */
} record_t;

typedef struct {
    char *name;
    GPtrArray *records;
    guint64 first;   /* offset of the oldest record that can be read */
    guint reads;     /* number of read calls */
    gboolean losing; /* reads are not answered */
} topic_t;

typedef struct store store_t;

/* An address at which the store listens.
 * upstream_ip: takes the place of UPSTREAM_IP in the records; NULL: none does
 */
typedef struct {
    store_t *store;
    char *upstream_ip;
} view_t;

/* A read that waits for a record at offset @from. */
typedef struct {
    standin_conn_t *conn;
    const view_t *view;
    topic_t *topic;
    guint64 from;
    guint timer;
} waiter_t;

struct store {
    GHashTable *topics;
    GList *waiters;
    gboolean refusing; /* answers 503 to entry hosts */
    gboolean silent;   /* gives no answer to calls that arrive now */
    gboolean spoiling; /* adds items that can't be read to /v1/log-newest */
    guint era;         /* how often it came back from an older copy, plus 1 */
    standin_pace_t *pace; /* of the bodies of answers to entry hosts */
};

static topic_t *
get_topic(store_t *store, const char *name)
{
    topic_t *topic = g_hash_table_lookup(store->topics, name);
    if (topic == NULL) {
        topic = g_new0(topic_t, 1);
        topic->name = g_strdup(name);
        topic->records = g_ptr_array_new();
        g_hash_table_insert(store->topics, topic->name, topic);
    }
    return topic;
}

static void
append_number(GByteArray *out, guint64 number, int bytes)
{
    for (int i = bytes - 1; i >= 0; i--) {
        guint8 byte = (guint8)(number >> (8 * i));
        g_byte_array_append(out, &byte, 1);
    }
}

/* The only store; the timers of waiting reads need it. */
static store_t *the_store;

/* Answers an entry host; @fields are further header lines. */
static void
answer(standin_conn_t *conn, int status, const char *fields, const void *body,
       gsize len)
{
    standin_printf(conn,
                   "HTTP/1.1 %d %s\r\nStore-Era: %u\r\n%s"
                   "Content-Length: %zu\r\n\r\n",
                   status, cq_h1_reason_phrase(status), the_store->era, fields,
                   len);
    standin_pace_write(the_store->pace, conn, body, len);
}

/* Return: the record's value as it is read in @view; NULL: it is deleted. */
static GBytes *
value_in(const view_t *view, const topic_t *topic, const record_t *record)
{
    if (record->value == NULL || view->upstream_ip == NULL ||
        strcmp(topic->name, UPSTREAMS_TOPIC) != 0) {
        return record->value != NULL ? g_bytes_ref(record->value) : NULL;
    }
    gsize len;
    const char *bytes = g_bytes_get_data(record->value, &len);
    GString *text = g_string_new_len(bytes, (gssize)len);
    g_string_replace(text, UPSTREAM_IP, view->upstream_ip, 1);
    return g_string_free_to_bytes(text);
}

static void
answer_records(standin_conn_t *conn, const view_t *view, const topic_t *topic,
               guint64 from)
{
    GByteArray *out = g_byte_array_new();
    append_number(out, topic->records->len, OFFSET_FIELD_BYTES);
    append_number(out, topic->first, OFFSET_FIELD_BYTES);
    for (guint64 i = from; i < topic->records->len; i++) {
        const record_t *record = g_ptr_array_index(topic->records, i);
        gsize value_len = 0;
        GBytes *seen = value_in(view, topic, record);
        const void *value =
            seen != NULL ? g_bytes_get_data(seen, &value_len) : NULL;
        gsize key_len = strlen(record->key);
        guint8 key_byte = (guint8)key_len;
        append_number(out, 1 + key_len + value_len, LENGTH_FIELD_BYTES);
        g_byte_array_append(out, &key_byte, 1);
        g_byte_array_append(out, (const guint8 *)record->key, (guint)key_len);
        g_byte_array_append(out, value, (guint)value_len);
        g_clear_pointer(&seen, g_bytes_unref);
    }
    answer(conn, 200, "", out->data, out->len);
    g_byte_array_unref(out);
}

static void
finish_waiter(store_t *store, waiter_t *waiter)
{
    store->waiters = g_list_remove(store->waiters, waiter);
    if (waiter->timer != 0) {
        g_source_remove(waiter->timer);
    }
    answer_records(waiter->conn, waiter->view, waiter->topic, waiter->from);
    standin_unref(waiter->conn);
    g_free(waiter);
}

/* Leaves the read without an answer. */
static void
drop_waiter(store_t *store, waiter_t *waiter)
{
    store->waiters = g_list_remove(store->waiters, waiter);
    if (waiter->timer != 0) {
        g_source_remove(waiter->timer);
    }
    standin_unref(waiter->conn);
    g_free(waiter);
}

static gboolean
on_wait_over(gpointer data)
{
    waiter_t *waiter = data;
    waiter->timer = 0;
    if (the_store->silent) {
        drop_waiter(the_store, waiter);
    }
    else {
        finish_waiter(the_store, waiter);
    }
    return G_SOURCE_REMOVE;
}

/* Answers the reads whose records have come. */
static void
answer_waiters(store_t *store)
{
    GList *link = store->silent ? NULL : store->waiters;
    while (link != NULL) {
        waiter_t *waiter = link->data;
        link = link->next;
        if (waiter->from < waiter->topic->records->len) {
            finish_waiter(store, waiter);
        }
    }
}

static void
add_record(store_t *store, topic_t *topic, const char *key, GBytes *value)
{
    record_t *record = g_new0(record_t, 1);
    record->key = g_strdup(key);
    record->value = value;
    g_ptr_array_add(topic->records, record);
    answer_waiters(store);
}

/* Adds a number, an object without members and a key without a value. */
static void
add_unreadable_items(JsonBuilder *builder)
{
    json_builder_add_int_value(builder, 7);
    json_builder_begin_object(builder);
    json_builder_end_object(builder);
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "key");
    json_builder_add_string_value(builder, "no-value");
    json_builder_end_object(builder);
}

/* Answers with the current value of each key. */
static void
serve_newest(standin_conn_t *conn, const view_t *view, const topic_t *topic)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "items");
    json_builder_begin_array(builder);
    if (view->store->spoiling) {
        add_unreadable_items(builder);
    }
    for (guint i = 0; i < topic->records->len; i++) {
        const record_t *record = g_ptr_array_index(topic->records, i);
        gboolean newest = record->value != NULL;
        for (guint k = i + 1; k < topic->records->len; k++) {
            const record_t *later = g_ptr_array_index(topic->records, k);
            newest = newest && strcmp(later->key, record->key) != 0;
        }
        if (!newest) {
            continue;
        }
        gsize len;
        GBytes *seen = value_in(view, topic, record);
        const guchar *bytes = g_bytes_get_data(seen, &len);
        char *encoded = g_base64_encode(bytes, len);
        g_bytes_unref(seen);
        json_builder_begin_object(builder);
        json_builder_set_member_name(builder, "key");
        json_builder_add_string_value(builder, record->key);
        json_builder_set_member_name(builder, "value");
        json_builder_add_string_value(builder, encoded);
        json_builder_set_member_name(builder, "offset");
        json_builder_add_int_value(builder, i);
        json_builder_end_object(builder);
        g_free(encoded);
    }
    json_builder_end_array(builder);
    json_builder_set_member_name(builder, "has_more");
    json_builder_add_boolean_value(builder, FALSE);
    json_builder_set_member_name(builder, "end");
    json_builder_add_int_value(builder, topic->records->len);
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    answer(conn, 200, "Content-Type: application/json\r\n", text,
           strlen(text));
    g_free(text);
    json_node_unref(root);
    g_object_unref(builder);
}

static void
serve_read(const view_t *view, standin_conn_t *conn, topic_t *topic,
           const char *query)
{
    store_t *store = view->store;
    guint64 from = (guint64)standin_query_number(query, "from", 0);
    gint64 wait_ms = standin_query_number(query, "wait_ms", 0);
    if (from < topic->first || from > topic->records->len) {
        answer(conn, 410, "", "{}", 2);
        return;
    }
    if (from < topic->records->len || wait_ms == 0) {
        answer_records(conn, view, topic, from);
        return;
    }
    waiter_t *waiter = g_new0(waiter_t, 1);
    waiter->conn = standin_ref(conn);
    waiter->view = view;
    waiter->topic = topic;
    waiter->from = from;
    waiter->timer = g_timeout_add((guint)wait_ms, on_wait_over, waiter);
    store->waiters = g_list_prepend(store->waiters, waiter);
}

static void
serve_append(store_t *store, standin_conn_t *conn, topic_t *topic,
             const GByteArray *body)
{
    guint position = 0;
    while (position + LENGTH_FIELD_BYTES < body->len) {
        const guint8 *bytes = body->data + position;
        guint len = (guint)bytes[0] << 24 | (guint)bytes[1] << 16 |
                    (guint)bytes[2] << 8 | bytes[3];
        guint key_len = bytes[LENGTH_FIELD_BYTES];
        char *key =
            g_strndup((const char *)bytes + LENGTH_FIELD_BYTES + 1, key_len);
        GBytes *value = NULL;
        if (len > key_len + 1) {
            value = g_bytes_new(bytes + LENGTH_FIELD_BYTES + 1 + key_len,
                                len - key_len - 1);
        }
        add_record(store, topic, key, value);
        g_free(key);
        position += LENGTH_FIELD_BYTES + len;
    }
    answer(conn, 200, "", "{}", 2);
}

/* Comes back from an older copy, in which @topic has @len records. */
static void
restore(store_t *store, topic_t *topic, guint len)
{
    store->era++;
    g_ptr_array_set_size(topic->records, (gint)MIN(len, topic->records->len));
    topic->first = MIN(topic->first, topic->records->len);
    while (store->waiters != NULL) {
        waiter_t *waiter = store->waiters->data;
        standin_conn_t *conn = standin_ref(waiter->conn);
        gboolean lost = waiter->from > waiter->topic->records->len;
        if (lost) {
            drop_waiter(store, waiter);
            answer(conn, 410, "", "{}", 2);
        }
        else {
            finish_waiter(store, waiter);
        }
        standin_unref(conn);
    }
}

/* Forgets the reads of @topic that wait: they are never answered. */
static void
drop_waiters(store_t *store, const topic_t *topic)
{
    GList *link = store->waiters;
    while (link != NULL) {
        waiter_t *waiter = link->data;
        link = link->next;
        if (waiter->topic == topic) {
            drop_waiter(store, waiter);
        }
    }
}

/* Calls of the test scripts:
 *   /put, /drop  add a record or a deletion
 *   /forget      makes the records so far unreadable
 *   /refuse      answers 503 to every call of an entry host, while on=1
 *   /silence     ignores every call of an entry host, while on=1. A read that
 *                waited before goes on waiting, but is never answered if its
 *                time ends meanwhile, or with reads=drop
 *   /lose        while on=1: answers no read of the topic, also none that
 *                waits
 *   /spoil       while on=1: adds items that can't be read to
 *                /v1/log-newest
 *   /restore     comes back from a copy in which the topic has len records
 *   /era         changes only the era that it names
 *   /pace        lets the bodies of all answers together leave at bytes_per_s;
 *                0: at once
 *   /written     answers with the number of bytes of these bodies so far
 * All others answer with the topic's number of read calls. */
static void
serve_control(store_t *store, standin_conn_t *conn, const char *path,
              const char *query, topic_t *topic, const GByteArray *body)
{
    char *key = standin_query_text(query, "key");
    if (strcmp(path, "/put") == 0) {
        add_record(store, topic, key, g_bytes_new(body->data, body->len));
    }
    if (strcmp(path, "/drop") == 0) {
        add_record(store, topic, key, NULL);
    }
    if (strcmp(path, "/forget") == 0) {
        topic->first = topic->records->len;
    }
    if (strcmp(path, "/refuse") == 0) {
        store->refusing = standin_query_number(query, "on", 0) != 0;
    }
    if (strcmp(path, "/silence") == 0) {
        store->silent = standin_query_number(query, "on", 0) != 0;
        char *reads = standin_query_text(query, "reads");
        while (g_strcmp0(reads, "drop") == 0 && store->waiters != NULL) {
            drop_waiter(store, store->waiters->data);
        }
        g_free(reads);
        answer_waiters(store);
    }
    if (strcmp(path, "/lose") == 0) {
        topic->losing = standin_query_number(query, "on", 0) != 0;
        drop_waiters(store, topic);
    }
    if (strcmp(path, "/spoil") == 0) {
        store->spoiling = standin_query_number(query, "on", 0) != 0;
    }
    if (strcmp(path, "/era") == 0) {
        store->era = (guint)standin_query_number(query, "to", 1);
    }
    if (strcmp(path, "/pace") == 0) {
        standin_pace_set(store->pace,
                         (guint)standin_query_number(query, "bytes_per_s", 0));
    }
    if (strcmp(path, "/restore") == 0) {
        restore(store, topic, (guint)standin_query_number(query, "len", 0));
    }
    g_free(key);
    guint64 number = strcmp(path, "/written") == 0
                         ? standin_pace_written(store->pace)
                         : topic->reads;
    char *text = g_strdup_printf("%" G_GUINT64_FORMAT, number);
    standin_answer(conn, 200, "", text, strlen(text));
    g_free(text);
}

static void
on_request(standin_conn_t *conn, const cq_h1_head_t *head, const char *path,
           const char *query, const GByteArray *body, void *data)
{
    (void)head;
    const view_t *view = data;
    store_t *store = view->store;
    char *name = standin_query_text(query, "topic");
    topic_t *topic = get_topic(store, name != NULL ? name : "");
    g_free(name);
    if (!g_str_has_prefix(path, "/v1/")) {
        serve_control(store, conn, path, query, topic, body);
        return;
    }
    if (store->silent) {
        return;
    }
    if (store->refusing) {
        answer(conn, 503, "", "{}", 2);
        return;
    }
    if (strcmp(path, "/v1/log-newest") == 0) {
        serve_newest(conn, view, topic);
    }
    else if (strcmp(path, "/v1/log-read") == 0) {
        topic->reads++;
        if (topic->losing) {
            return;
        }
        serve_read(view, conn, topic, query);
    }
    else if (strcmp(path, "/v1/log-append") == 0) {
        serve_append(store, conn, topic, body);
    }
    else {
        standin_answer(conn, 404, "", "{}", 2);
    }
}

/* Listens at @addr, where upstreams have its IP if @other_ip. */
static gboolean
listen_at(const char *addr, gboolean other_ip)
{
    view_t *view = g_new0(view_t, 1);
    view->store = the_store;
    if (other_ip) {
        view->upstream_ip = g_strdup_printf(
            "\"address\":\"%.*s:", (int)strcspn(addr, ":"), addr);
    }
    return standin_serve(addr, on_request, view);
}

gboolean
fleet_store(const fleet_options_t *options)
{
    the_store = g_new0(store_t, 1);
    the_store->era = 1;
    the_store->pace = standin_pace_new();
    the_store->topics = g_hash_table_new(g_str_hash, g_str_equal);
    gboolean listens = listen_at(options->listen_addr, FALSE);
    char **others =
        g_strsplit(options->also != NULL ? options->also : "", ",", -1);
    for (guint i = 0; others[i] != NULL && listens; i++) {
        listens = listen_at(others[i], TRUE);
    }
    g_strfreev(others);
    return listens;
}
