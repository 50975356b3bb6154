/* Main program of the serving process: reads its settings and serves until
 * SIGTERM starts a drain. SIGHUP reloads the settings. */
#include <glib-unix.h>
#include <signal.h>
#include <stdio.h>
#include <sys/stat.h>

#include "base/version.h"
#include "router/app.h"

typedef struct {
    char *settings;
    char *log_level;
    gboolean check;
    gboolean version;
} options_t;

/* How often the settings file is checked for a new modification time. A
 * modified file is reloaded even without SIGHUP. */
#define SETTINGS_POLL_MS 1000

/**
 * struct process_t - the process and its settings file
 * @modified_us: modification time of the file when it was last read, or 0
 */
typedef struct {
    cq_app_t *app;
    const options_t *options;
    gint64 modified_us;
} process_t;

static gboolean
on_term(gpointer data)
{
    process_t *process = data;
    cq_app_drain(process->app);
    return G_SOURCE_CONTINUE;
}

static gint64
modified_us(const char *file)
{
    struct stat info;
    if (stat(file, &info) != 0) {
        return 0;
    }
    return (gint64)info.st_mtim.tv_sec * CQ_SECOND_US +
           info.st_mtim.tv_nsec / 1000;
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
    gboolean valid = g_option_context_parse(context, argc, argv, &error);
    if (!valid) {
        fprintf(stderr, "cuminquay: %s; see --help\n", error->message);
        g_clear_error(&error);
    }
    g_option_context_free(context);
    return valid;
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
    gboolean valid =
        cq_settings_parse(text, options->settings, settings, &error);
    g_free(text);
    if (!valid) {
        fprintf(stderr, "cuminquay: %s\n", error.text);
    }
    return valid;
}

static gboolean
override_level(const options_t *options, cq_settings_t *settings)
{
    if (options->log_level == NULL) {
        return TRUE;
    }
    for (int i = 0; cq_settings_level_name(i) != NULL; i++) {
        if (g_str_equal(cq_settings_level_name(i), options->log_level)) {
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

/* Applies the settings file; an invalid one changes nothing. */
static void
reload(process_t *process)
{
    cq_settings_t settings;
    process->modified_us = modified_us(process->options->settings);
    if (read_settings(process->options, &settings) &&
        override_level(process->options, &settings)) {
        cq_app_reload(process->app, &settings);
    }
    else {
        cq_app_log(process->app, "reload_refused", "file=%s",
                   process->options->settings);
    }
}

static gboolean
on_hup(gpointer data)
{
    reload(data);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_settings_poll(gpointer data)
{
    process_t *process = data;
    gint64 file_modified_us = modified_us(process->options->settings);
    if (file_modified_us != 0 && file_modified_us != process->modified_us) {
        reload(process);
    }
    return G_SOURCE_CONTINUE;
}

static int
serve(const cq_settings_t *settings, const options_t *options)
{
    cq_app_t *app = cq_app_new(settings);
    process_t process = {
        .app = app,
        .options = options,
        .modified_us = modified_us(options->settings),
    };
    cq_error_t error = {0};
    int code = CQ_EXIT_USAGE;
    signal(SIGPIPE, SIG_IGN);
    if (cq_app_start(app, &error)) {
        guint sources[] = {
            g_unix_signal_add(SIGTERM, on_term, &process),
            g_unix_signal_add(SIGHUP, on_hup, &process),
            g_timeout_add(SETTINGS_POLL_MS, on_settings_poll, &process),
        };
        code = cq_app_run(app);
        for (guint i = 0; i < G_N_ELEMENTS(sources); i++) {
            g_source_remove(sources[i]);
        }
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
        printf("%s: valid\n", options.settings);
        return CQ_EXIT_DONE;
    }
    return serve(&settings, &options);
}
