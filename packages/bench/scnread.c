/* Parses the words of a scenario and collects the hosts' event logs. */
#include <string.h>

#include "bench/scnstate.h"

/* Events before this time are left out of the output. Until then, the hosts
 * read the log and the host list for the first time. */
#define START_US (2 * CQ_SECOND_US)

gboolean
cq_scn_fail(cq_scn_t *scn, cq_error_kind_t kind, const char *what)
{
    return cq_error_set(scn->error, kind, "%s:%u: %s", scn->file,
                        g_scanner_cur_line(scn->scanner), what);
}

gboolean
cq_scn_word(cq_scn_t *scn, char word[CQ_SCN_NAME_BYTES])
{
    GTokenType token = g_scanner_get_next_token(scn->scanner);
    if (token != G_TOKEN_IDENTIFIER) {
        return cq_scn_fail(scn, CQ_ERROR_SYNTAX, "a word is missing");
    }
    g_strlcpy(word, scn->scanner->value.v_identifier, CQ_SCN_NAME_BYTES);
    return TRUE;
}

gboolean
cq_scn_literal(cq_scn_t *scn, const char *expected)
{
    char word[CQ_SCN_NAME_BYTES];
    if (!cq_scn_word(scn, word)) {
        return FALSE;
    }
    if (strcmp(word, expected) != 0) {
        char text[128];
        g_snprintf(text, sizeof text, "found %s, expected %s", word, expected);
        return cq_scn_fail(scn, CQ_ERROR_SYNTAX, text);
    }
    return TRUE;
}

/* The scanner yields words and numbers alike as identifiers, so that "2s" and
 * "plain-0" are one token each. */
gboolean
cq_scn_number(cq_scn_t *scn, guint64 *number)
{
    char word[CQ_SCN_NAME_BYTES];
    if (!cq_scn_word(scn, word)) {
        return FALSE;
    }
    if (!g_ascii_string_to_unsigned(word, 10, 0, G_MAXINT64, number, NULL)) {
        return cq_scn_fail(scn, CQ_ERROR_SYNTAX, "expected a whole number");
    }
    return TRUE;
}

gboolean
cq_scn_time(cq_scn_t *scn, gint64 *us)
{
    char word[CQ_SCN_NAME_BYTES];
    if (!cq_scn_word(scn, word)) {
        return FALSE;
    }
    char *end;
    double value = g_ascii_strtod(word, &end);
    if (strcmp(end, "s") == 0) {
        *us = (gint64)(value * 1e6);
        return TRUE;
    }
    if (strcmp(end, "ms") == 0) {
        *us = (gint64)(value * 1e3);
        return TRUE;
    }
    return cq_scn_fail(scn, CQ_ERROR_SYNTAX,
                       "expected a time such as 2s or 50ms");
}

gboolean
cq_scn_host(cq_scn_t *scn, guint *host)
{
    guint64 number = 0;
    if (!cq_scn_number(scn, &number)) {
        return FALSE;
    }
    if (number >= scn->hosts) {
        return cq_scn_fail(scn, CQ_ERROR_VALUE, "there is no such host");
    }
    *host = (guint)number;
    return TRUE;
}

gboolean
cq_scn_upstream(cq_scn_t *scn, guint *upstream)
{
    char word[CQ_SCN_NAME_BYTES];
    if (!cq_scn_word(scn, word)) {
        return FALSE;
    }
    for (guint i = 0; i < scn->upstreams; i++) {
        if (strcmp(cq_sim_upstream_name(scn->sim, i), word) == 0) {
            *upstream = i;
            return TRUE;
        }
    }
    return cq_scn_fail(scn, CQ_ERROR_VALUE, "there is no such upstream");
}

gboolean
cq_scn_zone(cq_scn_t *scn, guint *zone)
{
    char word[CQ_SCN_NAME_BYTES];
    if (!cq_scn_word(scn, word)) {
        return FALSE;
    }
    if (strcmp(word, "platform") == 0) {
        *zone = CQ_SIM_PLATFORM;
        return TRUE;
    }
    guint64 number = 0;
    if (strcmp(word, "zone") != 0 || !cq_scn_number(scn, &number)) {
        return cq_scn_fail(scn, CQ_ERROR_SYNTAX,
                           "expected zone N or platform");
    }
    *zone = (guint)number;
    return *zone < CQ_SIM_PLATFORM;
}

gboolean
cq_scn_has_word(cq_scn_t *scn)
{
    return g_scanner_peek_next_token(scn->scanner) == G_TOKEN_IDENTIFIER;
}

gboolean
cq_scn_dispatch(cq_scn_t *scn, const cq_scn_command_t *commands, guint len)
{
    char word[CQ_SCN_NAME_BYTES];
    if (!cq_scn_word(scn, word)) {
        return FALSE;
    }
    for (guint i = 0; i < len; i++) {
        if (strcmp(commands[i].name, word) == 0) {
            return commands[i].run(scn);
        }
    }
    return cq_scn_fail(scn, CQ_ERROR_SYNTAX, "there is no such command");
}

/* Merges the hosts' new events by time. */
void
cq_scn_append_events(cq_scn_t *scn)
{
    for (;;) {
        const cq_ring_event_t *earliest = NULL;
        guint earliest_host = 0;
        for (guint i = 0; i < scn->hosts; i++) {
            cq_core_t *core = cq_sim_core(scn->sim, i);
            if (core == NULL ||
                scn->events_read[i] >= cq_core_ring(core)->count) {
                continue;
            }
            const cq_ring_event_t *event =
                cq_ring_at(cq_core_ring(core), scn->events_read[i]);
            if (earliest == NULL ||
                event->hlc.wall_us < earliest->hlc.wall_us) {
                earliest = event;
                earliest_host = i;
            }
        }
        if (earliest == NULL) {
            return;
        }
        scn->events_read[earliest_host]++;
        if (earliest->hlc.wall_us < START_US) {
            continue;
        }
        char name[CQ_SCN_NAME_BYTES] = "-";
        for (guint i = 0; i < scn->requests->len; i++) {
            const cq_scn_request_t *request =
                g_ptr_array_index(scn->requests, i);
            if (request->id == earliest->request && earliest->request != 0) {
                g_strlcpy(name, request->name, sizeof name);
            }
        }
        g_string_append_printf(scn->output, "%8.3f host-%u %s/%u %s %s\n",
                               (double)earliest->hlc.wall_us / 1e6,
                               earliest_host, name, earliest->attempt,
                               earliest->kind, earliest->text);
    }
}
