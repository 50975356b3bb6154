/* Entry point of the program fleetstandin. */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "fleet.h"

typedef struct {
    const char *name;
    gboolean (*run)(const fleet_options_t *options);
} fleet_mode_t;

static const fleet_mode_t modes[] = {
    {"store", fleet_store},        {"replica", fleet_replica},
    {"wake", fleet_connect_burst}, {"links", fleet_links},
    {"callers", fleet_callers},    {"slow", fleet_slow_callers},
};

int
main(int argc, char **argv)
{
    static fleet_options_t options;
    GOptionEntry entries[] = {
        {"listen", 0, 0, G_OPTION_ARG_STRING, &options.listen_addr, "", NULL},
        {"name", 0, 0, G_OPTION_ARG_STRING, &options.name, "", NULL},
        {"log", 0, 0, G_OPTION_ARG_FILENAME, &options.log, "", NULL},
        {"crash-part", 0, 0, G_OPTION_ARG_STRING, &options.crash_part, "",
         NULL},
        {"crash-body", 0, 0, G_OPTION_ARG_STRING, &options.crash_body, "",
         NULL},
        {"also", 0, 0, G_OPTION_ARG_STRING, &options.also, "", NULL},
        {"ports", 0, 0, G_OPTION_ARG_STRING, &options.ports, "", NULL},
        {"kinds", 0, 0, G_OPTION_ARG_STRING, &options.kinds, "", NULL},
        {"body", 0, 0, G_OPTION_ARG_STRING, &options.body, "", NULL},
        {"key", 0, 0, G_OPTION_ARG_STRING, &options.key, "", NULL},
        {"field", 0, 0, G_OPTION_ARG_STRING, &options.field, "", NULL},
        {"every-ms", 0, 0, G_OPTION_ARG_INT, &options.every_ms, "", NULL},
        {"count", 0, 0, G_OPTION_ARG_INT, &options.count, "", NULL},
        {"for-ms", 0, 0, G_OPTION_ARG_INT, &options.for_ms, "", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new("MODE");
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) || argc < 2 ||
        options.listen_addr == NULL) {
        fprintf(stderr, "fleetstandin: give --listen IP:PORT and a mode\n");
        return 2;
    }
    g_option_context_free(context);
    signal(SIGPIPE, SIG_IGN);
    for (guint i = 0; i < G_N_ELEMENTS(modes); i++) {
        if (strcmp(modes[i].name, argv[1]) == 0 && modes[i].run(&options)) {
            GMainLoop *loop = g_main_loop_new(NULL, FALSE);
            g_main_loop_run(loop);
            return 0;
        }
    }
    return 1;
}
