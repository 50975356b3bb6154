/* Stands in for an upstream of the platform, proper or not: the last part of
 * the path says how it behaves. Each arrival is a line of its log. */
#include <stdio.h>
#include <string.h>

#include "fleet.h"

#define SEAL "Cuminquay-Replica-Seal: s\r\n"
#define EVENT_BYTES 64

typedef struct {
    const fleet_options_t *options;
    FILE *log;
} replica_t;

/* A stream that is being written. */
typedef struct {
    standin_conn_t *conn;
    gint64 next;
    gint64 last;
    gint64 tear_at;  /* breaks off within this event; 0: never */
    gint64 fault_at; /* stops without a word after this event; 0: never */
} stream_t;

static const char *
field(const cq_h1_head_t *head, const char *name)
{
    const char *value = cq_h1_get_field(head, name);
    return value != NULL ? value : "-";
}

static void
note(replica_t *replica, const cq_h1_head_t *head, const char *path,
     const GByteArray *body)
{
    fprintf(replica->log,
            "%s %s %s attempt=%s team=%s last=%s key=%s helpers=%s body=%u\n",
            replica->options->name, head->method, path,
            field(head, "Cuminquay-Attempt-Id"),
            field(head, "Cuminquay-Tenant"), field(head, "Last-Event-Id"),
            field(head, "Cuminquay-Credential"),
            field(head, "Cuminquay-Helpers"), body->len);
    fflush(replica->log);
}

static void
write_chunk(standin_conn_t *conn, const char *text)
{
    standin_text(conn, "%zx\r\n%s\r\n", strlen(text), text);
}

static void
end_stream(stream_t *stream)
{
    standin_unref(stream->conn);
    g_free(stream);
}

static gboolean
on_event(gpointer data)
{
    stream_t *stream = data;
    if (!standin_open(stream->conn)) {
        end_stream(stream);
        return G_SOURCE_REMOVE;
    }
    if (stream->next == stream->tear_at) {
        write_chunk(stream->conn, "id: 99\ndata: to");
        standin_end(stream->conn, TRUE);
        end_stream(stream);
        return G_SOURCE_REMOVE;
    }
    if (stream->next == stream->fault_at) {
        return G_SOURCE_CONTINUE;
    }
    char event[EVENT_BYTES];
    g_snprintf(event, sizeof event, "id: %" G_GINT64_FORMAT "\ndata: x\n\n",
               stream->next);
    write_chunk(stream->conn, event);
    if (stream->next++ < stream->last) {
        return G_SOURCE_CONTINUE;
    }
    standin_text(stream->conn, "0\r\n\r\n");
    end_stream(stream);
    return G_SOURCE_REMOVE;
}

static void
serve_stream(replica_t *replica, standin_conn_t *conn,
             const cq_h1_head_t *head, const char *how, const char *query)
{
    (void)replica;
    const char *last = cq_h1_get_field(head, "Last-Event-Id");
    stream_t *stream = g_new0(stream_t, 1);
    stream->conn = standin_ref(conn);
    stream->next = last != NULL ? g_ascii_strtoll(last, NULL, 10) + 1 : 1;
    stream->last = standin_query(query, "n", 10);
    if (last == NULL && strcmp(how, "tear") == 0) {
        stream->tear_at = 4;
    }
    if (last == NULL && strcmp(how, "stop") == 0) {
        stream->fault_at = 4;
    }
    standin_text(conn,
                 "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                 "Cuminquay-Attempt-Id: %s\r\n" SEAL
                 "Transfer-Encoding: chunked\r\n\r\n",
                 field(head, "Cuminquay-Attempt-Id"));
    g_timeout_add((guint)standin_query(query, "ms", 20), on_event, stream);
}

static void
serve_plain(replica_t *replica, standin_conn_t *conn, const cq_h1_head_t *head,
            const char *how)
{
    char fields[256];
    char body[128];
    g_snprintf(fields, sizeof fields,
               "Cuminquay-Attempt-Id: %s\r\n" SEAL "X-Own: 1\r\n",
               field(head, "Cuminquay-Attempt-Id"));
    g_snprintf(body, sizeof body, "from %s", replica->options->name);
    gsize len = strlen(body);
    if (strcmp(how, "ok") == 0) {
        standin_answer(conn, 200, fields, body, len);
    }
    else if (strcmp(how, "fault") == 0) {
        standin_answer(conn, 500, fields, body, len);
    }
    else if (strcmp(how, "refuse") == 0) {
        standin_answer(conn, 503, "Cuminquay-Not-Executed: 1\r\n", "", 0);
    }
    else if (strcmp(how, "tear") == 0) {
        standin_text(conn,
                     "HTTP/1.1 200 OK\r\n%sContent-Length: 100\r\n\r\n"
                     "half",
                     fields);
        standin_end(conn, FALSE);
    }
    else if (strcmp(how, "extra") == 0) {
        standin_answer(conn, 200, fields, body, len);
        standin_answer(conn, 200, fields, "extra", 5);
    }
    else if (strcmp(how, "other") == 0) {
        standin_answer(conn, 200, "Cuminquay-Attempt-Id: another\r\n" SEAL,
                       body, len);
    }
    else if (strcmp(how, "bare") == 0) {
        standin_answer(conn, 200, "", body, len);
    }
    else if (strcmp(how, "nolength") == 0) {
        standin_text(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", fields, body);
        standin_end(conn, FALSE);
    }
    else if (strcmp(how, "nolengthreset") == 0) {
        standin_text(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", fields, body);
        standin_end(conn, TRUE);
    }
    else if (strcmp(how, "cut") == 0) {
        standin_end(conn, TRUE);
    }
}

static void
on_ask(standin_conn_t *conn, const cq_h1_head_t *head, const char *path,
       const char *query, const GByteArray *body, void *data)
{
    replica_t *replica = data;
    note(replica, head, path, body);
    if (strcmp(path, "/v1/order") == 0) {
        fprintf(replica->log, "%s order %.*s\n", replica->options->name,
                (int)body->len, (const char *)body->data);
        fflush(replica->log);
        standin_answer(conn, 200, "", "{}", 2);
        return;
    }
    const char *meant = cq_h1_get_field(head, "Cuminquay-Expect-Replica");
    if (meant != NULL && strcmp(meant, replica->options->name) != 0) {
        standin_answer(conn, 421, "", "", 0);
        return;
    }
    const char *how = strrchr(path, '/') + 1;
    if (strstr(path, "/stream/") != NULL) {
        serve_stream(replica, conn, head, how, query);
        return;
    }
    serve_plain(replica, conn, head, how);
}

gboolean
fleet_replica(const fleet_options_t *options)
{
    replica_t *replica = g_new0(replica_t, 1);
    replica->options = options;
    replica->log = fopen(options->log, "ae");
    return replica->log != NULL &&
           standin_serve(options->listen_addr, on_ask, replica);
}
