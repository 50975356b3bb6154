/* A plain service that counts how often each idempotency key was run.
 *
 * Faults of calls, set with POST /fault; N is the fault's value:
 *   leaving     if N is above 0, refuses all with X-Leaving
 *   refuse_next refuses the next N with X-Not-Run
 *   close_next  closes the connections of the next N after counting them
 *   slow_ms     delays answers by N milliseconds */
#include <string.h>

#include "standin.h"

static GHashTable *runs_by_key;
static int total_runs;

static void
count_run(SoupServerMessage *message)
{
    const char *key = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), "Idempotency-Key");
    total_runs++;
    if (key != NULL) {
        int runs = GPOINTER_TO_INT(g_hash_table_lookup(runs_by_key, key));
        g_hash_table_replace(runs_by_key, g_strdup(key),
                             GINT_TO_POINTER(runs + 1));
    }
}

/* A call whose answer is delayed. */
typedef struct {
    SoupServerMessage *message;
    guint timer;
} delayed_t;

static void
on_finished(SoupServerMessage *message, gpointer data)
{
    (void)message;
    delayed_t *delayed = data;
    if (delayed->timer != 0) {
        g_source_remove(delayed->timer);
    }
    g_free(delayed);
}

static gboolean
on_delay_over(gpointer data)
{
    delayed_t *delayed = data;
    delayed->timer = 0;
    standin_reply(delayed->message, 200, g_strdup("{\"ok\":true}"));
    soup_server_message_unpause(delayed->message);
    return G_SOURCE_REMOVE;
}

static void
refuse(SoupServerMessage *message, const char *header_name)
{
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, header_name, "1");
    standin_reply(message, 503, g_strdup("{}"));
}

static void
on_call(SoupServer *server, SoupServerMessage *message, const char *path,
        GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    if (standin_fault("leaving") > 0) {
        refuse(message, "X-Leaving");
        return;
    }
    if (standin_fault_consume("refuse_next")) {
        refuse(message, "X-Not-Run");
        return;
    }
    count_run(message);
    if (standin_fault_consume("close_next")) {
        standin_close(message);
        return;
    }
    if (standin_fault("slow_ms") > 0) {
        delayed_t *delayed = g_new0(delayed_t, 1);
        delayed->message = message;
        delayed->timer = g_timeout_add((guint)standin_fault("slow_ms"),
                                       on_delay_over, delayed);
        g_signal_connect(message, "finished", G_CALLBACK(on_finished),
                         delayed);
        soup_server_message_pause(message);
        return;
    }
    standin_reply(message, 200, g_strdup("{\"ok\":true}"));
}

/* GET /counters: runs in all, runs of each key and the highest of these, for
 * the test scripts. */
static void
on_counters(SoupServer *server, SoupServerMessage *message, const char *path,
            GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    GString *text = g_string_new("");
    g_string_append_printf(text, "{\"total\":%d,\"by_key\":{", total_runs);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    const char *comma = "";
    int max_runs = 0;
    g_hash_table_iter_init(&iter, runs_by_key);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        int runs = GPOINTER_TO_INT(value);
        max_runs = MAX(max_runs, runs);
        g_string_append_printf(text, "%s\"%s\":%d", comma, (char *)key, runs);
        comma = ",";
    }
    g_string_append_printf(text, "},\"most\":%d}", max_runs);
    standin_reply(message, 200, g_string_free(text, FALSE));
}

static void
on_health(SoupServer *server, SoupServerMessage *message, const char *path,
          GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    (void)data;
    standin_reply(message, 200, g_strdup("{}"));
}

void
standin_plain(SoupServer *server, const standin_options_t *options)
{
    (void)options;
    runs_by_key = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    soup_server_add_handler(server, NULL, on_call, NULL, NULL);
    soup_server_add_handler(server, "/healthz", on_health, NULL, NULL);
    soup_server_add_handler(server, "/counters", on_counters, NULL, NULL);
}
