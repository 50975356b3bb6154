/* An upstream of the platform, which can also misbehave: the last part of the
 * request's path selects the behaviour. Writes a line to its log for each
 * request received.
 *
 * Plain requests:
 *   ok             answers 200
 *   big            answers 200 with a body of 14 MiB
 *   fault          answers 500
 *   refuse         answers 503 with Cuminquay-Not-Executed
 *   pause          the same with a Retry-After of 2.5 s
 *   leave          answers 200 with Server-Leaving
 *   tear           sends fewer bytes than its Content-Length, then closes
 *   extra          sends a second answer
 *   other          answers with the id of another attempt
 *   bare           answers without an attempt id and without the seal
 *   nolength       ends an answer without a length by closing the connection
 *   nolengthreset  ends an answer without a length by a reset
 *   endless        sends a body without a length that never ends
 *   extrarefusal   sends a refusal without an id behind its answer
 *   claim          answers ?status=N with nothing else
 *   late           sends a refusal, then runs the request and answers it as
 *                  the path's type says; ?form= other: the refusal has another
 *                  id, bare: no id, own: the request's
 *   cut            resets the connection without an answer
 *   slow           answers 200 after the time ms of the query, default 100 ms
 *   tearhead       stops after as many bytes of its answer's head as the query
 *                  names with at, and closes, or resets with ?reset=1; ?form=
 *                  chunked, neither, interim: the head's kind; also of streams
 *   other words    no answer
 *
 * Streams, requested with /stream/ in the path. A stream that is resumed with
 * Last-Event-Id is sent whole unless said otherwise:
 *   tear           resets the connection within event 4
 *   stop           sends nothing from event 4 on
 *   endless        sends event 4 without an end
 *   tearagain      as tear, also when it is resumed
 *   thenfault      as tear; answers 500 when it is resumed
 *   thenplain      as tear; answers 200 without a stream when it is resumed
 *   thenanswer     as tear; when it is resumed it answers as ?with= says:
 *                  fields and body of an error with that status; refused;
 *                  moved (421); chunked: a 500 in chunks; unsealed: a
 *                  stream without the seal; interim: 103, then the rest;
 *                  old: a stream from its start, which ends with event 5
 *                  without an id
 *   noid           events without ids; breaks off within event 4
 *   other words    the whole stream
 * With ?bytes=N the data of an event is that long.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "fleet.h"

/* Header field that shows that an answer comes from a replica. */
#define SEAL_FIELD "Cuminquay-Replica-Seal: s\r\n"
#define EVENT_BYTES 64
/* Requests that name another version of the weights get 421. */
#define WEIGHTS_VERSION "2"
/* Time for which a request runs before the program crashes under it. */
#define CRASH_AFTER_MS 50
#define ENDLESS_CHUNK_BYTES 16384
#define BIG_BODY_BYTES (14 * 1024 * 1024)
/* Time that a slow answer takes. */
#define SLOW_MS 100

/* limit_field: the header line that names a rate limit, or "" */
typedef struct {
    const fleet_options_t *options;
    FILE *log;
    char limit_field[64];
} replica_t;

/* An event stream that is being written. */
typedef struct {
    standin_conn_t *conn;
    gint64 next;
    gint64 last;
    gint64 break_at;   /* resets the connection within this event; 0: never */
    gint64 stall_at;   /* sends nothing from this event on; 0: never */
    gint64 endless_at; /* this event never ends; 0: none */
    gint64 bare_at;    /* events have no id from this one on; 0: all have */
    gsize pad_bytes;   /* length of the data of an event */
} stream_t;

static const char *
field_or_dash(const cq_h1_head_t *head, const char *name)
{
    const char *value = cq_h1_get_field(head, name);
    return value != NULL ? value : "-";
}

/* POST /limit?per_s=TEXT: from now on every answer names this rate limit, or
 * none if there is no TEXT. */
static void
set_limit(replica_t *replica, standin_conn_t *conn, const char *query)
{
    char *per_s = standin_query_text(query, "per_s");
    replica->limit_field[0] = '\0';
    if (per_s != NULL) {
        g_snprintf(replica->limit_field, sizeof replica->limit_field,
                   "Server-Limit: %s\r\n", per_s);
    }
    g_free(per_s);
    standin_answer(conn, 200, "", "", 0);
}

static void
log_request(replica_t *replica, const cq_h1_head_t *head, const char *path,
            const GByteArray *body)
{
    fprintf(replica->log,
            "%s %s %s attempt=%s team=%s last=%s key=%s helpers=%s parts=%s "
            "at_ms=%" G_GINT64_FORMAT " body=%u\n",
            replica->options->name, head->method, path,
            field_or_dash(head, "Cuminquay-Attempt-Id"),
            field_or_dash(head, "Cuminquay-Tenant"),
            field_or_dash(head, "Last-Event-Id"),
            field_or_dash(head, "Cuminquay-Credential"),
            field_or_dash(head, "Cuminquay-Helpers"),
            field_or_dash(head, "Cuminquay-Prefix-Hash"),
            g_get_real_time() / 1000, body->len);
    fflush(replica->log);
}

/* Whether the program crashes when it begins to answer the request. */
static gboolean
is_poison(const replica_t *replica, const cq_h1_head_t *head)
{
    const char *parts = cq_h1_get_field(head, "Cuminquay-Prefix-Hash");
    const char *last = parts != NULL ? strrchr(parts, ',') : NULL;
    if (replica->options->crash_part == NULL || last == NULL) {
        return FALSE;
    }
    const char *found = strstr(parts, replica->options->crash_part);
    return found != NULL && found < last;
}

/* Whether the program crashes while it runs the plain request. */
static gboolean
is_poison_body(const replica_t *replica, const GByteArray *body)
{
    const char *poison = replica->options->crash_body;
    return poison != NULL && body->len == strlen(poison) &&
           memcmp(body->data, poison, body->len) == 0;
}

static gboolean
on_crash(gpointer data)
{
    const replica_t *replica = data;
    fprintf(replica->log, "%s crashes at_ms=%" G_GINT64_FORMAT "\n",
            replica->options->name, g_get_real_time() / 1000);
    fflush(replica->log);
    _exit(1);
}

static void
write_chunk(standin_conn_t *conn, const char *text)
{
    standin_printf(conn, "%zx\r\n%s\r\n", strlen(text), text);
}

static void
free_stream(stream_t *stream)
{
    standin_unref(stream->conn);
    g_free(stream);
}

static gboolean
on_event(gpointer data)
{
    stream_t *stream = data;
    if (!standin_is_open(stream->conn)) {
        free_stream(stream);
        return G_SOURCE_REMOVE;
    }
    if (stream->next == stream->break_at) {
        write_chunk(stream->conn, "id: 99\ndata: to");
        standin_disconnect(stream->conn, TRUE);
        free_stream(stream);
        return G_SOURCE_REMOVE;
    }
    if (stream->next == stream->stall_at) {
        return G_SOURCE_CONTINUE;
    }
    if (stream->next == stream->endless_at) {
        char bytes[ENDLESS_CHUNK_BYTES + 1];
        memset(bytes, 'x', ENDLESS_CHUNK_BYTES);
        bytes[ENDLESS_CHUNK_BYTES] = '\0';
        write_chunk(stream->conn, bytes);
        return G_SOURCE_CONTINUE;
    }
    char event[EVENT_BYTES];
    if (stream->bare_at > 0 && stream->next >= stream->bare_at) {
        g_strlcpy(event, "data: error\n\n", sizeof event);
    }
    else {
        g_snprintf(event, sizeof event,
                   "id: %" G_GINT64_FORMAT "\ndata: x\n\n", stream->next);
    }
    if (stream->pad_bytes > 0) {
        char *pad = g_strnfill(stream->pad_bytes, 'x');
        char *padded = g_strdup_printf(
            "id: %" G_GINT64_FORMAT "\ndata: %s\n\n", stream->next, pad);
        write_chunk(stream->conn, padded);
        g_free(padded);
        g_free(pad);
    }
    else {
        write_chunk(stream->conn, event);
    }
    if (stream->next++ < stream->last) {
        return G_SOURCE_CONTINUE;
    }
    standin_printf(stream->conn, "0\r\n\r\n");
    free_stream(stream);
    return G_SOURCE_REMOVE;
}

static gboolean
query_is(const char *query, const char *name, const char *wanted)
{
    char *text = standin_query_text(query, name);
    gboolean is = text != NULL && strcmp(text, wanted) == 0;
    g_free(text);
    return is;
}

static void
serve_stream(replica_t *replica, standin_conn_t *conn,
             const cq_h1_head_t *head, const char *behaviour,
             const char *query)
{
    const char *last = cq_h1_get_field(head, "Last-Event-Id");
    stream_t *stream = g_new0(stream_t, 1);
    stream->conn = standin_ref(conn);
    stream->next = last != NULL ? g_ascii_strtoll(last, NULL, 10) + 1 : 1;
    stream->last = standin_query_number(query, "n", 10);
    stream->pad_bytes = (gsize)standin_query_number(query, "bytes", 0);
    gboolean tears =
        g_str_has_prefix(behaviour, "then") || strcmp(behaviour, "tear") == 0;
    if (last == NULL && tears) {
        stream->break_at = 4;
    }
    if (strcmp(behaviour, "tearagain") == 0) {
        stream->break_at = MAX(stream->next, 4);
    }
    if (strcmp(behaviour, "noid") == 0) {
        stream->bare_at = 1;
        stream->break_at = 4;
    }
    if (last != NULL && query_is(query, "with", "old")) {
        stream->next = 1;
        stream->bare_at = 5;
    }
    if (strcmp(behaviour, "endless") == 0) {
        stream->endless_at = 4;
    }
    if (last == NULL && strcmp(behaviour, "stop") == 0) {
        stream->stall_at = 4;
    }
    standin_printf(conn,
                   "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                   "Cuminquay-Attempt-Id: %s\r\n" SEAL_FIELD
                   "%sTransfer-Encoding: chunked\r\n\r\n",
                   field_or_dash(head, "Cuminquay-Attempt-Id"),
                   replica->limit_field);
    guint ms = (guint)standin_query_number(query, "ms", 20);
    if (is_poison(replica, head)) {
        g_timeout_add(ms, on_crash, replica);
        return;
    }
    g_timeout_add(ms, on_event, stream);
}

static gboolean
on_more_body(gpointer data)
{
    standin_conn_t *conn = data;
    if (!standin_is_open(conn)) {
        standin_unref(conn);
        return G_SOURCE_REMOVE;
    }
    char bytes[ENDLESS_CHUNK_BYTES];
    memset(bytes, 'x', sizeof bytes);
    standin_write(conn, bytes, sizeof bytes);
    return G_SOURCE_CONTINUE;
}

/* A plain answer that is written later; head: of the request */
typedef struct {
    replica_t *replica;
    standin_conn_t *conn;
    cq_h1_head_t head;
} slow_t;

static void
answer_not_run(standin_conn_t *conn, const cq_h1_head_t *head, int status,
               const char *more_fields)
{
    char fields[256];
    g_snprintf(fields, sizeof fields,
               "Cuminquay-Attempt-Id: %s\r\nCuminquay-Not-Executed: 1\r\n%s",
               field_or_dash(head, "Cuminquay-Attempt-Id"), more_fields);
    standin_answer(conn, status, fields, "", 0);
}

static void
serve_plain(replica_t *replica, standin_conn_t *conn, const cq_h1_head_t *head,
            const char *behaviour)
{
    char fields[256];
    char body[128];
    g_snprintf(fields, sizeof fields,
               "Cuminquay-Attempt-Id: %s\r\n" SEAL_FIELD "X-Own: 1\r\n%s",
               field_or_dash(head, "Cuminquay-Attempt-Id"),
               replica->limit_field);
    g_snprintf(body, sizeof body, "from %s", replica->options->name);
    gsize len = strlen(body);
    if (strcmp(behaviour, "ok") == 0) {
        standin_answer(conn, 200, fields, body, len);
    }
    else if (strcmp(behaviour, "big") == 0) {
        char *bytes = g_strnfill(BIG_BODY_BYTES, 'x');
        standin_answer(conn, 200, fields, bytes, BIG_BODY_BYTES);
        g_free(bytes);
    }
    else if (strcmp(behaviour, "fault") == 0) {
        standin_answer(conn, 500, fields, body, len);
    }
    else if (strcmp(behaviour, "refuse") == 0) {
        answer_not_run(conn, head, 503, "");
    }
    else if (strcmp(behaviour, "pause") == 0) {
        answer_not_run(conn, head, 503, "Retry-After: 2.5\r\n");
    }
    else if (strcmp(behaviour, "leave") == 0) {
        g_strlcat(fields, "Server-Leaving: 1\r\n", sizeof fields);
        standin_answer(conn, 200, fields, body, len);
    }
    else if (strcmp(behaviour, "tear") == 0) {
        standin_printf(conn,
                       "HTTP/1.1 200 OK\r\n%sContent-Length: 100\r\n\r\n"
                       "half",
                       fields);
        standin_disconnect(conn, FALSE);
    }
    else if (strcmp(behaviour, "extra") == 0) {
        standin_answer(conn, 200, fields, body, len);
        standin_answer(conn, 200, fields, "extra", 5);
    }
    else if (strcmp(behaviour, "other") == 0) {
        standin_answer(conn, 200,
                       "Cuminquay-Attempt-Id: another\r\n" SEAL_FIELD, body,
                       len);
    }
    else if (strcmp(behaviour, "bare") == 0) {
        standin_answer(conn, 200, "", body, len);
    }
    else if (strcmp(behaviour, "nolength") == 0) {
        standin_printf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", fields, body);
        standin_disconnect(conn, FALSE);
    }
    else if (strcmp(behaviour, "nolengthreset") == 0) {
        standin_printf(conn, "HTTP/1.1 200 OK\r\n%s\r\n%s", fields, body);
        standin_disconnect(conn, TRUE);
    }
    else if (strcmp(behaviour, "endless") == 0) {
        standin_printf(conn, "HTTP/1.1 200 OK\r\n%s\r\n", fields);
        g_timeout_add(1, on_more_body, standin_ref(conn));
    }
    else if (strcmp(behaviour, "extrarefusal") == 0) {
        standin_answer(conn, 200, fields, body, len);
        standin_answer(conn, 503, "Cuminquay-Not-Executed: 1\r\n", "", 0);
    }
    else if (strcmp(behaviour, "cut") == 0) {
        standin_disconnect(conn, TRUE);
    }
}

static gboolean
on_slow_answer(gpointer data)
{
    slow_t *slow = data;
    serve_plain(slow->replica, slow->conn, &slow->head, "ok");
    standin_unref(slow->conn);
    cq_h1_clear_head(&slow->head);
    g_free(slow);
    return G_SOURCE_REMOVE;
}

static void
serve_slowly(replica_t *replica, standin_conn_t *conn,
             const cq_h1_head_t *head, const char *query)
{
    slow_t *slow = g_new0(slow_t, 1);
    slow->replica = replica;
    slow->conn = standin_ref(conn);
    cq_h1_copy_head(&slow->head, head);
    g_timeout_add((guint)standin_query_number(query, "ms", SLOW_MS),
                  on_slow_answer, slow);
}

/* Answers a stream that is resumed as ?with= says. Return: whether the rest of
 * the stream is to follow. */
static gboolean
answer_resumed(standin_conn_t *conn, const cq_h1_head_t *head,
               const char *query)
{
    const char *body = "id: 4\ndata: error\n\n";
    char fields[192];
    g_snprintf(fields, sizeof fields,
               "Cuminquay-Attempt-Id: %s\r\n"
               "Content-Type: text/event-stream\r\n",
               field_or_dash(head, "Cuminquay-Attempt-Id"));
    gint64 status = standin_query_number(query, "with", 0);
    if (query_is(query, "with", "old")) {
        return TRUE;
    }
    if (query_is(query, "with", "interim")) {
        standin_printf(conn, "HTTP/1.1 103 Early Hints\r\nX-Own: 1\r\n\r\n");
        return TRUE;
    }
    if (query_is(query, "with", "refused")) {
        answer_not_run(conn, head, 503, "");
    }
    else if (query_is(query, "with", "moved")) {
        answer_not_run(conn, head, 421, "");
    }
    else if (query_is(query, "with", "unsealed")) {
        standin_answer(conn, 200, fields, body, strlen(body));
    }
    else if (query_is(query, "with", "chunked")) {
        standin_printf(conn,
                       "HTTP/1.1 500 Error\r\n%s" SEAL_FIELD
                       "Transfer-Encoding: chunked\r\n\r\n",
                       fields);
        write_chunk(conn, body);
        standin_printf(conn, "0\r\nX-Trailer: error\r\n\r\n");
    }
    else if (status == 204 || status == 304) {
        standin_printf(conn, "HTTP/1.1 %d None\r\n%s" SEAL_FIELD "\r\n",
                       (int)status, fields);
    }
    else {
        g_strlcat(fields, SEAL_FIELD, sizeof fields);
        standin_answer(conn, (int)status, fields, body, strlen(body));
    }
    return FALSE;
}

/* Sends a refusal as if of an earlier request. */
static void
send_late_refusal(standin_conn_t *conn, const cq_h1_head_t *head,
                  const char *query)
{
    char id_field[128] = "";
    if (query_is(query, "form", "other")) {
        g_strlcpy(id_field, "Cuminquay-Attempt-Id: another\r\n",
                  sizeof id_field);
    }
    if (query_is(query, "form", "own")) {
        g_snprintf(id_field, sizeof id_field, "Cuminquay-Attempt-Id: %s\r\n",
                   field_or_dash(head, "Cuminquay-Attempt-Id"));
    }
    standin_printf(conn,
                   "HTTP/1.1 503 Full\r\n%sCuminquay-Not-Executed: 1\r\n"
                   "Content-Length: 0\r\n\r\n",
                   id_field);
}

/* Sends the beginning of an answer's head. */
static void
tear_head(standin_conn_t *conn, const cq_h1_head_t *head, const char *query)
{
    const char *framing = "Content-Length: 5\r\n";
    if (query_is(query, "form", "chunked")) {
        framing = "Content-Type: text/event-stream\r\n"
                  "Transfer-Encoding: chunked\r\n";
    }
    if (query_is(query, "form", "neither")) {
        framing = "";
    }
    char *text = g_strdup_printf(
        "%sHTTP/1.1 200 OK\r\nCuminquay-Attempt-Id: %s\r\n" SEAL_FIELD
        "%s\r\n",
        query_is(query, "form", "interim") ? "HTTP/1.1 103 Early Hints\r\n\r\n"
                                           : "",
        field_or_dash(head, "Cuminquay-Attempt-Id"), framing);
    gsize len = (gsize)standin_query_number(query, "at", 0);
    standin_write(conn, text, MIN(len, strlen(text) - 1));
    standin_disconnect(conn, standin_query_number(query, "reset", 0) != 0);
    g_free(text);
}

static void
on_request(standin_conn_t *conn, const cq_h1_head_t *head, const char *path,
           const char *query, const GByteArray *body, void *data)
{
    replica_t *replica = data;
    if (strcmp(path, "/limit") == 0) {
        set_limit(replica, conn, query);
        return;
    }
    log_request(replica, head, path, body);
    if (strcmp(path, "/v1/order") == 0) {
        fprintf(replica->log, "%s order %.*s\n", replica->options->name,
                (int)body->len, (const char *)body->data);
        fflush(replica->log);
        standin_answer(conn, 200, "", "{}", 2);
        return;
    }
    const char *expected_name =
        cq_h1_get_field(head, "Cuminquay-Expect-Replica");
    if (expected_name != NULL &&
        strcmp(expected_name, replica->options->name) != 0) {
        answer_not_run(conn, head, 421, "");
        return;
    }
    const char *version = cq_h1_get_field(head, "Cuminquay-Expect-Version");
    if (version != NULL && strcmp(version, WEIGHTS_VERSION) != 0) {
        answer_not_run(conn, head, 421, "");
        return;
    }
    const char *behaviour = strrchr(path, '/') + 1;
    gboolean resumed = cq_h1_get_field(head, "Last-Event-Id") != NULL;
    if (resumed && strcmp(behaviour, "thenfault") == 0) {
        serve_plain(replica, conn, head, "fault");
        return;
    }
    if (resumed && strcmp(behaviour, "thenplain") == 0) {
        serve_plain(replica, conn, head, "ok");
        return;
    }
    if (resumed && strcmp(behaviour, "thenanswer") == 0 &&
        !answer_resumed(conn, head, query)) {
        return;
    }
    if (strcmp(behaviour, "late") == 0) {
        send_late_refusal(conn, head, query);
        behaviour = "ok";
    }
    if (strcmp(behaviour, "claim") == 0) {
        char fields[128];
        g_snprintf(fields, sizeof fields, "Cuminquay-Attempt-Id: %s\r\n",
                   field_or_dash(head, "Cuminquay-Attempt-Id"));
        standin_answer(conn, (int)standin_query_number(query, "status", 503),
                       fields, "", 0);
        return;
    }
    if (is_poison_body(replica, body)) {
        g_timeout_add(CRASH_AFTER_MS, on_crash, replica);
        return;
    }
    if (strcmp(behaviour, "tearhead") == 0) {
        tear_head(conn, head, query);
        return;
    }
    if (strstr(path, "/stream/") != NULL) {
        serve_stream(replica, conn, head, behaviour, query);
        return;
    }
    if (strcmp(behaviour, "slow") == 0) {
        serve_slowly(replica, conn, head, query);
        return;
    }
    serve_plain(replica, conn, head, behaviour);
}

gboolean
fleet_replica(const fleet_options_t *options)
{
    replica_t *replica = g_new0(replica_t, 1);
    replica->options = options;
    replica->log = fopen(options->log, "ae");
    return replica->log != NULL &&
           standin_serve(options->listen_addr, on_request, replica);
}
