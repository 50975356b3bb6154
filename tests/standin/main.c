/* Entry point of the program standin, and the helpers that its modes share. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "standin.h"

static GHashTable *faults;

void
standin_reply(SoupServerMessage *message, guint status, char *text)
{
    soup_server_message_set_status(message, status, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_TAKE, text, strlen(text));
}

int
standin_fault(const char *name)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(faults, name));
}

gboolean
standin_fault_consume(const char *name)
{
    int left = standin_fault(name);
    if (left <= 0) {
        return FALSE;
    }
    g_hash_table_replace(faults, g_strdup(name), GINT_TO_POINTER(left - 1));
    return TRUE;
}

void
standin_close(SoupServerMessage *message)
{
    GIOStream *stream = soup_server_message_steal_connection(message);
    g_io_stream_close(stream, NULL, NULL);
    g_object_unref(stream);
}

char *
standin_body(SoupServerMessage *message)
{
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    return g_strndup(body->data != NULL ? body->data : "",
                     (gsize)body->length);
}

JsonNode *
standin_json(SoupServerMessage *message)
{
    char *text = standin_body(message);
    JsonNode *root = json_from_string(text, NULL);
    g_free(text);
    return root;
}

static void
on_fault(SoupServer *server, SoupServerMessage *message, const char *path,
         GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)data;
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    if (query != NULL) {
        g_hash_table_iter_init(&iter, query);
        while (g_hash_table_iter_next(&iter, &key, &value)) {
            int number = (int)g_ascii_strtoll(value, NULL, 10);
            g_hash_table_replace(faults, g_strdup(key),
                                 GINT_TO_POINTER(number));
        }
    }
    standin_reply(message, 200, g_strdup("{}"));
}

typedef struct {
    const char *name;
    void (*add_handlers)(SoupServer *server, const standin_options_t *options);
} standin_mode_t;

static const standin_mode_t modes[] = {
    {"engine", standin_engine},
    {"plain", standin_plain},
    {"log", standin_log},
    {"hosts", standin_hosts},
};

static gboolean
listen_on(SoupServer *server, const char *addr)
{
    char **parts = g_strsplit(addr, ":", 2);
    GSocketAddress *address = g_inet_socket_address_new_from_string(
        parts[0], (guint)g_ascii_strtoull(parts[1], NULL, 10));
    GError *error = NULL;
    gboolean listening = soup_server_listen(server, address, 0, &error);
    if (!listening) {
        fprintf(stderr, "standin: %s: %s\n", addr, error->message);
        g_clear_error(&error);
    }
    g_object_unref(address);
    g_strfreev(parts);
    return listening;
}

int
main(int argc, char **argv)
{
    standin_options_t options = {
        .prefill_tokens_per_s = 60000,
        .step_ms = 5,
        .kv_tokens = 400000,
        .retain = 100000,
        .calls = 1000,
        .parallel = 1,
    };
    GOptionEntry entries[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &options.listen_addr, "", NULL},
        {"name", 0, 0, G_OPTION_ARG_STRING, &options.name, "", NULL},
        {"prefill", 0, 0, G_OPTION_ARG_INT, &options.prefill_tokens_per_s, "",
         NULL},
        {"step-ms", 0, 0, G_OPTION_ARG_INT, &options.step_ms, "", NULL},
        {"kv", 0, 0, G_OPTION_ARG_INT, &options.kv_tokens, "", NULL},
        {"retain", 0, 0, G_OPTION_ARG_INT, &options.retain, "", NULL},
        {"url", 0, 0, G_OPTION_ARG_STRING, &options.url, "", NULL},
        {"calls", 0, 0, G_OPTION_ARG_INT, &options.calls, "", NULL},
        {"parallel", 0, 0, G_OPTION_ARG_INT, &options.parallel, "", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new("MODE");
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) || argc < 2) {
        fprintf(stderr, "standin: give --listen IP:PORT and a mode\n");
        return 2;
    }
    g_option_context_free(context);
    signal(SIGPIPE, SIG_IGN);
    if (strcmp(argv[1], "load") == 0) {
        return standin_load(&options);
    }
    faults = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    SoupServer *server = soup_server_new(NULL, NULL);
    soup_server_add_handler(server, "/fault", on_fault, NULL, NULL);
    for (guint i = 0; i < G_N_ELEMENTS(modes); i++) {
        if (strcmp(modes[i].name, argv[1]) == 0) {
            modes[i].add_handlers(server, &options);
        }
    }
    if (!listen_on(server, options.listen_addr)) {
        return 1;
    }
    GMainLoop *loop = g_main_loop_new(NULL, FALSE);
    g_main_loop_run(loop);
    return 0;
}
