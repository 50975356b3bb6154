/* Runs a scenario file and prints the hosts' event log. */
#include <stdio.h>

#include "bench/scn.h"

int
main(int argc, char **argv)
{
    char *text = NULL;
    if (argc != 2 || !g_file_get_contents(argv[1], &text, NULL, NULL)) {
        fprintf(stderr, "scn: cannot read the scenario; usage: cqscn FILE\n");
        return 2;
    }
    GString *output = g_string_new("");
    cq_error_t error = {0};
    char *file = g_path_get_basename(argv[1]);
    gboolean ok = cq_scn_run(text, file, output, &error);
    fputs(output->str, stdout);
    if (!ok) {
        fprintf(stderr, "%s\n", error.text);
    }
    g_string_free(output, TRUE);
    g_free(file);
    g_free(text);
    return ok ? 0 : 1;
}
