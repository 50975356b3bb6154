/* Callers that send requests to entry hosts at a constant rate, whether
 * earlier ones are answered or not, and never a request twice. Every
 * --every-ms each host gets one request of each kind of --kinds at the same
 * moment, one host after the other; every second time each has a new
 * connection, otherwise one that is kept.
 *
 * The log has a line for each request:
 *
 *   id=ID port=PORT path=PATH conn=new|kept at_ms=TIME result=RESULT ms=MS
 *
 * RESULT is `served` for a complete answer with a status of 2xx, the status of
 * another complete answer, `cut` for an incomplete answer, `unread` for a
 * connection that ended without any, `refused`, `late`, or `disorder` for a
 * stream of 2xx whose events don't have the ids from 1 to the number that the
 * path asks for, in order. A request at_ms is when it was sent, MS how long it
 * took. On SIGTERM no more are sent, and the program ends when all are
 * answered.
 */
#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/limits.h"
#include "fleet.h"
#include "http/sock.h"

#define TIME_LIMIT_MS 3000
/* Time after the time limit that an answer may still take. */
#define GRACE_MS 1000
#define SERVED_STATUS_CLASS 2
#define STATUSES_PER_CLASS 100
#define DEFAULT_KEY "secret-1"
#define STREAM_PART "/stream/"
#define DEFAULT_EVENTS 10

typedef struct {
    const fleet_options_t *options;
    FILE *log;
    GPtrArray *hosts;
    char **kinds;
    guint sent;
    guint in_flight;
    gboolean ending;
} callers_t;

/* idle: connections without a request
 * rounds: how often requests of all kinds were sent
 * timer: sends the next ones */
typedef struct {
    callers_t *callers;
    char *addr;
    guint rounds;
    guint timer;
    GList *idle;
} host_t;

/* A caller's connection, with at most one request at a time.
 * path: of the request; NULL: there is none
 * status: of its answer; 0: no head yet
 * line: of the answer's stream, not yet ended
 * events: ids of the stream received in order
 * disordered: another id was received
 * timer: of the request */
typedef struct {
    host_t *host;
    cq_sock_t *sock;
    cq_h1_t *parser;
    const char *path;
    guint number;
    gboolean kept;
    gboolean reused;
    gboolean keep_alive;
    gboolean done;
    int status;
    GString *line;
    gint64 events;
    gboolean disordered;
    gint64 sent_at_ms;
    gint64 sent_us;
    guint timer;
} caller_t;

/* Logs how the request ended. */
static void
finish(caller_t *caller, const char *result)
{
    callers_t *callers = caller->host->callers;
    fprintf(callers->log,
            "id=%s%u port=%s path=%s conn=%s at_ms=%" G_GINT64_FORMAT
            " result=%s ms=%" G_GINT64_FORMAT "\n",
            callers->options->name, caller->number,
            strchr(caller->host->addr, ':') + 1, caller->path,
            caller->reused ? "kept" : "new", caller->sent_at_ms, result,
            (g_get_monotonic_time() - caller->sent_us) / CQ_MS_US);
    fflush(callers->log);
    caller->path = NULL;
    g_source_remove(caller->timer);
    callers->in_flight--;
}

static void
free_caller(caller_t *caller)
{
    caller->host->idle = g_list_remove(caller->host->idle, caller);
    cq_sock_abort(caller->sock);
    cq_h1_free(caller->parser);
    g_string_free(caller->line, TRUE);
    g_free(caller);
}

static void
on_head(void *data, const cq_h1_head_t *head)
{
    caller_t *caller = data;
    caller->status = head->status;
    caller->keep_alive = head->keep_alive;
}

static gboolean
is_served_stream(const caller_t *caller)
{
    return caller->status / STATUSES_PER_CLASS == SERVED_STATUS_CLASS &&
           caller->path != NULL && strstr(caller->path, STREAM_PART) != NULL;
}

static void
note_line(caller_t *caller)
{
    const char *text = caller->line->str;
    if (g_str_has_prefix(text, "id: ")) {
        caller->events++;
        caller->disordered |=
            g_ascii_strtoll(text + strlen("id: "), NULL, 10) != caller->events;
    }
    g_string_truncate(caller->line, 0);
}

static void
on_body(void *data, const char *bytes, gsize len)
{
    caller_t *caller = data;
    for (gsize i = 0; i < len && is_served_stream(caller); i++) {
        if (bytes[i] == '\n') {
            note_line(caller);
        }
        else {
            g_string_append_c(caller->line, bytes[i]);
        }
    }
}

/* Return: whether the answer so far is no stream, or one without a gap;
 * @whole: it has ended. */
static gboolean
is_in_order(const caller_t *caller, gboolean whole)
{
    if (!is_served_stream(caller)) {
        return TRUE;
    }
    const char *query = strchr(caller->path, '?');
    gint64 wanted = standin_query_number(query != NULL ? query + 1 : "", "n",
                                         DEFAULT_EVENTS);
    return !caller->disordered && (!whole || caller->events == wanted);
}

static void
on_done(void *data)
{
    caller_t *caller = data;
    char status[16];
    if (caller->path == NULL) {
        return;
    }
    caller->done = TRUE;
    g_snprintf(status, sizeof status, "%d", caller->status);
    finish(caller, !is_in_order(caller, TRUE) ? "disorder"
                   : caller->status / STATUSES_PER_CLASS == SERVED_STATUS_CLASS
                       ? "served"
                       : status);
}

static void
on_received(void *data, const char *bytes, gsize len)
{
    caller_t *caller = data;
    while (len > 0 && caller->path != NULL &&
           cq_h1_error(caller->parser) == CQ_H1_OK) {
        gsize used = cq_h1_feed(caller->parser, bytes, len);
        bytes += used;
        len -= used;
    }
    if (caller->path != NULL && cq_h1_error(caller->parser) == CQ_H1_OK) {
        return;
    }
    if (caller->path != NULL) {
        finish(caller, "malformed");
    }
    if (caller->done && caller->kept && caller->keep_alive && len == 0) {
        caller->host->idle = g_list_prepend(caller->host->idle, caller);
        return;
    }
    free_caller(caller);
}

static void
on_ended(void *data, cq_sock_end_t how)
{
    caller_t *caller = data;
    if (caller->path != NULL && how == CQ_SOCK_EOF) {
        cq_h1_connection_closed(caller->parser);
    }
    if (caller->path != NULL) {
        finish(caller, how == CQ_SOCK_REFUSED        ? "refused"
                       : !is_in_order(caller, FALSE) ? "disorder"
                       : caller->status != 0         ? "cut"
                                                     : "unread");
    }
    free_caller(caller);
}

static gboolean
on_late(gpointer data)
{
    caller_t *caller = data;
    finish(caller, is_in_order(caller, FALSE) ? "late" : "disorder");
    free_caller(caller);
    return G_SOURCE_CONTINUE;
}

static caller_t *
new_caller(host_t *host, gboolean kept)
{
    caller_t *caller = g_new0(caller_t, 1);
    cq_sock_ops_t ops = {
        .received = on_received, .ended = on_ended, .data = caller};
    cq_h1_options_t options = {
        .parse_responses = TRUE,
        .ops = {.head = on_head,
                .body = on_body,
                .done = on_done,
                .data = caller},
    };
    caller->host = host;
    caller->kept = kept;
    caller->line = g_string_new(NULL);
    caller->parser = cq_h1_new(&options);
    caller->sock = cq_sock_connect(host->addr, &ops);
    return caller;
}

/* Sends a request of this kind to the host. */
static void
send_request(host_t *host, const char *kind, gboolean kept)
{
    callers_t *callers = host->callers;
    caller_t *caller =
        kept && host->idle != NULL ? host->idle->data : new_caller(host, kept);
    caller->reused = g_list_find(host->idle, caller) != NULL;
    host->idle = g_list_remove(host->idle, caller);
    gboolean posts = kind[0] == '+';
    caller->path = posts ? kind + 1 : kind;
    caller->number = ++callers->sent;
    caller->status = 0;
    caller->done = FALSE;
    g_string_truncate(caller->line, 0);
    caller->events = 0;
    caller->disordered = FALSE;
    caller->sent_at_ms = g_get_real_time() / CQ_MS_US;
    caller->sent_us = g_get_monotonic_time();
    caller->timer = g_timeout_add(TIME_LIMIT_MS + GRACE_MS, on_late, caller);
    callers->in_flight++;
    char own[32];
    g_snprintf(own, sizeof own, "body %u", caller->number);
    const fleet_options_t *asked = callers->options;
    const char *body = asked->body;
    body = !posts ? "" : body != NULL ? body : own;
    char *text = g_strdup_printf(
        "%s %s HTTP/1.1\r\nHost: fleet.example\r\n"
        "Cuminquay-Credential: %s\r\nCuminquay-Attempt-Id: %s%u\r\n"
        "%s%sCuminquay-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n%s",
        posts ? "POST" : "GET", caller->path,
        asked->key != NULL ? asked->key : DEFAULT_KEY, asked->name,
        caller->number, asked->field != NULL ? asked->field : "",
        asked->field != NULL ? "\r\n" : "", TIME_LIMIT_MS, strlen(body), body);
    cq_h1_set_request_method(caller->parser, posts ? "POST" : "GET");
    cq_sock_write(caller->sock, text, strlen(text));
    g_free(text);
}

static gboolean
on_round(gpointer data)
{
    host_t *host = data;
    char **kinds = host->callers->kinds;
    gboolean kept = host->rounds++ % 2 == 0;
    for (guint i = 0; kinds[i] != NULL; i++) {
        send_request(host, kinds[i], kept);
    }
    return G_SOURCE_CONTINUE;
}

static gboolean
on_first_round(gpointer data)
{
    host_t *host = data;
    guint every_ms = (guint)host->callers->options->every_ms;
    host->timer = g_timeout_add(every_ms, on_round, host);
    on_round(host);
    return G_SOURCE_REMOVE;
}

static gboolean
on_sigterm(gpointer data)
{
    callers_t *callers = data;
    callers->ending = TRUE;
    return G_SOURCE_CONTINUE;
}

gboolean
fleet_callers(const fleet_options_t *options)
{
    callers_t *callers = g_new0(callers_t, 1);
    callers->options = options;
    callers->log = fopen(options->log, "ae");
    callers->kinds = g_strsplit(options->kinds, ",", -1);
    callers->hosts = g_ptr_array_new();
    char **addrs = g_strsplit(options->listen_addr, ",", -1);
    for (guint i = 0; addrs[i] != NULL; i++) {
        host_t *host = g_new0(host_t, 1);
        host->callers = callers;
        host->addr = addrs[i];
        g_ptr_array_add(callers->hosts, host);
    }
    gint64 end_us =
        g_get_monotonic_time() + (gint64)options->for_ms * CQ_MS_US;
    for (guint i = 0; i < callers->hosts->len; i++) {
        host_t *host = g_ptr_array_index(callers->hosts, i);
        guint offset_ms = (guint)options->every_ms * i / callers->hosts->len;
        host->timer = g_timeout_add(offset_ms, on_first_round, host);
    }
    g_unix_signal_add(SIGTERM, on_sigterm, callers);
    while (!callers->ending && g_get_monotonic_time() < end_us) {
        g_main_context_iteration(NULL, TRUE);
    }
    for (guint i = 0; i < callers->hosts->len; i++) {
        host_t *host = g_ptr_array_index(callers->hosts, i);
        g_source_remove(host->timer);
    }
    while (callers->in_flight > 0) {
        g_main_context_iteration(NULL, TRUE);
    }
    return FALSE;
}
