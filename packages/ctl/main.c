/* Entry point of cuminquayctl: parses options and runs the command. */
#include <stdio.h>
#include <string.h>

#include "base/limits.h"
#include "base/version.h"
#include "ctl/commands.h"

typedef struct {
    const char *name;
    int (*run)(const cq_ctl_options_t *options);
    const char *usage;
    const char *summary;
} command_t;

static const command_t commands[] = {
    {"check", cq_ctl_check, "[--fleet] FILE...",
     "check service files, or a fleet's configurations"},
    {"diff", cq_ctl_diff, "--store ADDRESS FILE...",
     "the same for a fleet, and what differs from the version in force"},
    {"publish", cq_ctl_publish, "--log ADDRESS FILE...",
     "put all service files in force; none if one is invalid"},
    {"config", cq_ctl_config, "--log ADDRESS show|history",
     "print the configuration in force, or how it changed"},
    {"status", cq_ctl_status, "--at ADDRESS...",
     "print the state of processes"},
    {"drain", cq_ctl_drain, "--at ADDRESS...", "begin a planned stop"},
    {"timeline", cq_ctl_timeline, "--at ADDRESS...",
     "print the events of all processes in order"},
    {"explain", cq_ctl_explain, "--at ADDRESS... REQUEST-ID",
     "print the events of one request in order"},
};

int
cq_ctl_fail(const cq_error_t *error)
{
    fprintf(stderr, "cuminquayctl: %s\n", error->text);
    switch (error->kind) {
    case CQ_ERROR_UNREACHABLE:
        return CQ_EXIT_UNREACHABLE;
    case CQ_ERROR_REFUSED:
        return CQ_EXIT_REFUSED;
    default:
        return CQ_EXIT_USAGE;
    }
}

static const command_t *
find_command(const char *name)
{
    for (guint i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (name != NULL && strcmp(commands[i].name, name) == 0) {
            return &commands[i];
        }
    }
    return NULL;
}

static char *
list_commands(void)
{
    GString *text = g_string_new("Commands:\n");
    for (guint i = 0; i < G_N_ELEMENTS(commands); i++) {
        g_string_append_printf(text, "  %-9s %-28s %s\n", commands[i].name,
                               commands[i].usage, commands[i].summary);
    }
    g_string_append(text, "\nExit codes: 0 done, 1 refused, 2 wrong use, "
                          "3 unreachable\n");
    return g_string_free(text, FALSE);
}

static gboolean
parse_options(int *argc, char ***argv, const command_t *command,
              cq_ctl_options_t *options, gboolean *version)
{
    GOptionEntry entries[] = {
        {"log", 0, 0, G_OPTION_ARG_STRING, &options->log_addr,
         "Address of the platform's log", "IP:PORT"},
        {"store", 0, 0, G_OPTION_ARG_STRING, &options->store_addr,
         "Address of the platform's store", "IP:PORT"},
        {"fleet", 0, 0, G_OPTION_ARG_NONE, &options->fleet,
         "The files are configurations of a fleet", NULL},
        {"at", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options->operator_addrs,
         "Operator address of a process; may be given again", "IP:PORT"},
        {"json", 0, 0, G_OPTION_ARG_NONE, &options->json, "Print JSON", NULL},
        {"version", 0, 0, G_OPTION_ARG_NONE, version, "Print the version",
         NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    char *title = g_strdup(command != NULL ? command->usage : "COMMAND");
    GOptionContext *context = g_option_context_new(title);
    g_option_context_add_main_entries(context, entries, NULL);
    char *command_list = list_commands();
    g_option_context_set_summary(context, command != NULL ? command->summary
                                                          : command_list);
    GError *error = NULL;
    gboolean parsed = g_option_context_parse(context, argc, argv, &error);
    if (!parsed) {
        fprintf(stderr, "cuminquayctl: %s; see --help\n", error->message);
        g_clear_error(&error);
    }
    g_option_context_free(context);
    g_free(command_list);
    g_free(title);
    return parsed;
}

int
main(int argc, char **argv)
{
    cq_ctl_options_t options = {0};
    gboolean version = FALSE;
    const command_t *command = find_command(argc > 1 ? argv[1] : NULL);
    if (!parse_options(&argc, &argv, command, &options, &version)) {
        return CQ_EXIT_USAGE;
    }
    if (version) {
        printf("cuminquayctl %s\n", CQ_VERSION);
        return CQ_EXIT_DONE;
    }
    command = find_command(argc > 1 ? argv[1] : NULL);
    if (command == NULL) {
        char *command_list = list_commands();
        fprintf(stderr,
                "cuminquayctl: no such command; write one of these\n%s",
                command_list);
        g_free(command_list);
        return CQ_EXIT_USAGE;
    }
    options.args = argv + 2;
    int code = command->run(&options);
    g_free(options.log_addr);
    g_free(options.store_addr);
    g_strfreev(options.operator_addrs);
    return code;
}
