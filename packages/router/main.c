/* The serving process: reads its settings, then serves until SIGTERM. */
#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>

#include "base/version.h"
#include "router/app.h"

typedef struct {
    char *settings;
    char *log_level;
    gboolean check;
    gboolean version;
} options_t;

static gboolean
on_term(gpointer data)
{
    cq_app_drain(data);
    return G_SOURCE_CONTINUE;
}

static gboolean
parse_options(int *argc, char ***argv, options_t *options)
{
    GOptionEntry entries[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings,
         "Settings of this process (TOML)", "FILE"},
        {"check", 'c', 0, G_OPTION_ARG_NONE, &options->check,
         "Check the settings and exit", NULL},
        {"log-level", 'l', 0, G_OPTION_ARG_STRING, &options->log_level,
         "debug, info, warn or error", "LEVEL"},
        {"version", 'v', 0, G_OPTION_ARG_NONE, &options->version,
         "Print the version and exit", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new("- serve callers");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    gboolean good = g_option_context_parse(context, argc, argv, &error);
    if (!good) {
        fprintf(stderr, "cuminquay: %s; see --help\n", error->message);
        g_clear_error(&error);
    }
    g_option_context_free(context);
    return good;
}

static gboolean
read_settings(const options_t *options, cq_settings_t *settings)
{
    if (options->settings == NULL) {
        fprintf(stderr, "cuminquay: no settings; give --settings FILE\n");
        return FALSE;
    }
    char *text = NULL;
    GError *cause = NULL;
    if (!g_file_get_contents(options->settings, &text, NULL, &cause)) {
        fprintf(stderr, "cuminquay: %s; give a readable file\n",
                cause->message);
        g_clear_error(&cause);
        return FALSE;
    }
    cq_error_t error = {0};
    gboolean good =
        cq_settings_parse(text, options->settings, settings, &error);
    g_free(text);
    if (!good) {
        fprintf(stderr, "cuminquay: %s\n", error.text);
    }
    return good;
}

static gboolean
override_level(const options_t *options, cq_settings_t *settings)
{
    if (options->log_level == NULL) {
        return TRUE;
    }
    for (int i = 0; cq_settings_level(i) != NULL; i++) {
        if (g_str_equal(cq_settings_level(i), options->log_level)) {
            settings->log_level = i;
            return TRUE;
        }
    }
    fprintf(stderr,
            "cuminquay: --log-level: found %s; write debug, info, warn or "
            "error\n",
            options->log_level);
    return FALSE;
}

static int
serve(const cq_settings_t *settings)
{
    cq_app_t *app = cq_app_new(settings);
    cq_error_t error = {0};
    int code = CQ_EXIT_USAGE;
    signal(SIGPIPE, SIG_IGN);
    if (cq_app_start(app, &error)) {
        guint term = g_unix_signal_add(SIGTERM, on_term, app);
        code = cq_app_run(app);
        g_source_remove(term);
    }
    else {
        fprintf(stderr, "cuminquay: %s\n", error.text);
    }
    cq_app_free(app);
    return code;
}

int
main(int argc, char **argv)
{
    options_t options = {0};
    cq_settings_t settings;
    if (!parse_options(&argc, &argv, &options)) {
        return CQ_EXIT_USAGE;
    }
    if (options.version) {
        printf("cuminquay %s\n", CQ_VERSION);
        return CQ_EXIT_DONE;
    }
    if (!read_settings(&options, &settings) ||
        !override_level(&options, &settings)) {
        return CQ_EXIT_USAGE;
    }
    if (options.check) {
        printf("%s: right\n", options.settings);
        return CQ_EXIT_DONE;
    }
    return serve(&settings);
}
