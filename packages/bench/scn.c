#include "bench/scn.h"

#include <string.h>

#include "bench/scnstate.h"

static gboolean
run_line(cq_scn_t *scn)
{
    GTokenType token = g_scanner_peek_next_token(scn->scanner);
    const char *word = scn->scanner->next_value.v_identifier;
    if (token == G_TOKEN_IDENTIFIER && strcmp(word, "at") == 0) {
        gint64 us = 0;
        if (!cq_scn_literal(scn, "at") || !cq_scn_time(scn, &us)) {
            return FALSE;
        }
        if (scn->sim == NULL) {
            return cq_scn_fail(scn, CQ_ERROR_SYNTAX,
                               "the first command must be world");
        }
        cq_sim_run(scn->sim, us);
    }
    if (!cq_scn_command(scn)) {
        return FALSE;
    }
    token = g_scanner_get_next_token(scn->scanner);
    if (token != '\n' && token != G_TOKEN_EOF) {
        return cq_scn_fail(scn, CQ_ERROR_SYNTAX,
                           "unexpected word after the command");
    }
    return TRUE;
}

static GScanner *
make_scanner(const char *text)
{
    GScanner *scanner = g_scanner_new(NULL);
    scanner->config->cset_skip_characters = " \t";
    scanner->config->cset_identifier_first =
        G_CSET_a_2_z G_CSET_A_2_Z "0123456789";
    scanner->config->cset_identifier_nth =
        G_CSET_a_2_z G_CSET_A_2_Z "0123456789-_.";
    scanner->config->cpair_comment_single = "#\n";
    scanner->config->scan_identifier_1char = TRUE;
    scanner->config->char_2_token = TRUE;
    scanner->config->scan_octal = FALSE;
    scanner->config->scan_float = FALSE;
    scanner->config->scan_hex = FALSE;
    scanner->config->scan_string_sq = FALSE;
    scanner->config->scan_string_dq = FALSE;
    g_scanner_input_text(scanner, text, (guint)strlen(text));
    return scanner;
}

static gboolean
run_lines(cq_scn_t *scn)
{
    for (;;) {
        GTokenType token = g_scanner_peek_next_token(scn->scanner);
        if (token == G_TOKEN_EOF) {
            return TRUE;
        }
        if (token == '\n') {
            g_scanner_get_next_token(scn->scanner);
            continue;
        }
        if (!run_line(scn)) {
            return FALSE;
        }
    }
}

gboolean
cq_scn_run(const char *text, const char *file, GString *output,
           cq_error_t *error)
{
    cq_scn_t scn = {.file = file, .output = output, .error = error};
    scn.scanner = make_scanner(text);
    scn.requests = g_ptr_array_new_with_free_func(g_free);
    gboolean ok = run_lines(&scn);
    if (scn.sim != NULL) {
        cq_scn_append_events(&scn);
        cq_sim_free(scn.sim);
    }
    g_scanner_destroy(scn.scanner);
    g_ptr_array_unref(scn.requests);
    return ok && error->kind == CQ_ERROR_NONE;
}
