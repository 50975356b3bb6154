#include "bench/scn.h"

#include <string.h>

#include "bench/sim.h"

#define NAME_BYTES 32
/* Until then hosts read the log and the list for the first time. */
#define START_US (2 * CQ_SECOND_US)

static const char *const rules[] = {
    "[service]\nname = \"modelo\"\nkind = \"model\"\nauth = \"none\"\n"
    "[requests]\ntimeout_ms = 20000\n"
    "[engines]\ngroup_max = 8\nresume = true\n"
    "[[model]]\nname = \"m\"\n[[team]]\nname = \"t\"\n",
    "[service]\nname = \"reservas\"\nkind = \"plain\"\nauth = \"none\"\n"
    "[requests]\ntimeout_ms = 8000\n[[team]]\nname = \"t\"\n",
    NULL};

/**
 * struct named_t - a request of the scenario
 */
typedef struct {
    char name[NAME_BYTES];
    guint64 id;
    gboolean answered;
    gboolean lost;
    cq_ac_answer_t answer;
    gint64 tokens;
    gint64 wanted;
} named_t;

typedef struct {
    const char *file;
    GScanner *scanner;
    GString *output;
    cq_error_t *error;
    cq_sim_t *sim;
    GPtrArray *requests;
    guint64 read[CQ_SIM_HOSTS_MAX];
    guint64 noted[CQ_SIM_UPSTREAMS_MAX];
    guint hosts;
    guint upstreams;
} scn_t;

static gboolean
fail(scn_t *scn, cq_error_kind_t kind, const char *what)
{
    return cq_error_set(scn->error, kind, "%s:%u: %s", scn->file,
                        g_scanner_cur_line(scn->scanner), what);
}

static gboolean
next_word(scn_t *scn, char word[NAME_BYTES])
{
    GTokenType token = g_scanner_get_next_token(scn->scanner);
    if (token != G_TOKEN_IDENTIFIER) {
        return fail(scn, CQ_ERROR_SYNTAX, "a word is missing");
    }
    g_strlcpy(word, scn->scanner->value.v_identifier, NAME_BYTES);
    return TRUE;
}

static gboolean
skip_word(scn_t *scn, const char *expected)
{
    char word[NAME_BYTES];
    if (!next_word(scn, word)) {
        return FALSE;
    }
    if (strcmp(word, expected) != 0) {
        char text[128];
        g_snprintf(text, sizeof text, "found %s; write %s", word, expected);
        return fail(scn, CQ_ERROR_SYNTAX, text);
    }
    return TRUE;
}

/* Words and numbers are both identifiers to the scanner, so that "2s" and
 * "plain-0" are one token each. */
static gboolean
next_number(scn_t *scn, guint64 *number)
{
    char word[NAME_BYTES];
    if (!next_word(scn, word)) {
        return FALSE;
    }
    if (!g_ascii_string_to_unsigned(word, 10, 0, G_MAXINT64, number, NULL)) {
        return fail(scn, CQ_ERROR_SYNTAX, "write a whole number");
    }
    return TRUE;
}

static gboolean
next_time(scn_t *scn, gint64 *us)
{
    char word[NAME_BYTES];
    if (!next_word(scn, word)) {
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
    return fail(scn, CQ_ERROR_SYNTAX, "write a time, as 2s or 50ms");
}

static gboolean
next_host(scn_t *scn, guint *host)
{
    guint64 number = 0;
    if (!next_number(scn, &number)) {
        return FALSE;
    }
    if (number >= scn->hosts) {
        return fail(scn, CQ_ERROR_VALUE, "there is no such host");
    }
    *host = (guint)number;
    return TRUE;
}

static gboolean
next_upstream(scn_t *scn, guint *upstream)
{
    char word[NAME_BYTES];
    if (!next_word(scn, word)) {
        return FALSE;
    }
    for (guint i = 0; i < scn->upstreams; i++) {
        if (strcmp(cq_sim_upstream_name(scn->sim, i), word) == 0) {
            *upstream = i;
            return TRUE;
        }
    }
    return fail(scn, CQ_ERROR_VALUE, "there is no such upstream");
}

static gboolean
next_zone(scn_t *scn, guint *zone)
{
    char word[NAME_BYTES];
    if (!next_word(scn, word)) {
        return FALSE;
    }
    if (strcmp(word, "platform") == 0) {
        *zone = CQ_SIM_PLATFORM;
        return TRUE;
    }
    guint64 number = 0;
    if (strcmp(word, "zone") != 0 || !next_number(scn, &number)) {
        return fail(scn, CQ_ERROR_SYNTAX, "write zone N or platform");
    }
    *zone = (guint)number;
    return *zone < CQ_SIM_PLATFORM;
}

/* Appends the events that hosts have written since the last time. */
static void
harvest(scn_t *scn)
{
    for (;;) {
        const cq_ring_event_t *first = NULL;
        guint from = 0;
        for (guint i = 0; i < scn->hosts; i++) {
            cq_core_t *core = cq_sim_core(scn->sim, i);
            if (core == NULL || scn->read[i] >= cq_core_ring(core)->count) {
                continue;
            }
            const cq_ring_event_t *event =
                cq_ring_at(cq_core_ring(core), scn->read[i]);
            if (first == NULL || event->hlc.wall_us < first->hlc.wall_us) {
                first = event;
                from = i;
            }
        }
        if (first == NULL) {
            return;
        }
        scn->read[from]++;
        if (first->hlc.wall_us < START_US) {
            continue;
        }
        char name[NAME_BYTES] = "-";
        for (guint i = 0; i < scn->requests->len; i++) {
            const named_t *named = g_ptr_array_index(scn->requests, i);
            if (named->id == first->request && first->request != 0) {
                g_strlcpy(name, named->name, sizeof name);
            }
        }
        g_string_append_printf(scn->output, "%8.3f host-%u %s/%u %s %s\n",
                               (double)first->hlc.wall_us / 1e6, from, name,
                               first->attempt, first->kind, first->text);
    }
}

static named_t *
named_at(scn_t *scn, guint64 tag)
{
    return g_ptr_array_index(scn->requests, (guint)tag);
}

static void
on_tokens(cq_sim_t *sim, guint64 tag, gint64 tokens, void *data)
{
    (void)sim;
    named_at(data, tag)->tokens += tokens;
}

static void
on_answered(cq_sim_t *sim, guint64 tag, const cq_ac_answer_t *answer,
            void *data)
{
    (void)sim;
    named_t *named = named_at(data, tag);
    named->id = answer->request;
    named->answered = TRUE;
    named->answer = *answer;
}

static void
on_lost(cq_sim_t *sim, guint64 tag, void *data)
{
    (void)sim;
    named_at(data, tag)->lost = TRUE;
}

static gboolean
do_world(scn_t *scn)
{
    cq_sim_options_t options = {
        .zones = 1,
        .hosts = 1,
        .policy = CQ_POLICY_COST,
        .seed = 1,
        .report_lag_us = CQ_SECOND_US,
        .list_lag_us = CQ_SECOND_US,
        .rules = rules,
        .tokens = on_tokens,
        .answered = on_answered,
        .lost = on_lost,
        .data = scn,
    };
    while (g_scanner_peek_next_token(scn->scanner) == G_TOKEN_IDENTIFIER) {
        char word[NAME_BYTES];
        guint64 number = 0;
        if (!next_word(scn, word) || !next_number(scn, &number)) {
            return FALSE;
        }
        if (strcmp(word, "zones") == 0) {
            options.zones = (guint)number;
        }
        else if (strcmp(word, "hosts") == 0) {
            options.hosts = (guint)number;
        }
        else if (strcmp(word, "engines") == 0) {
            options.engines = (guint)number;
        }
        else if (strcmp(word, "plains") == 0) {
            options.plains = (guint)number;
        }
        else if (strcmp(word, "seed") == 0) {
            options.seed = (guint32)number;
        }
        else {
            return fail(scn, CQ_ERROR_SYNTAX,
                        "write zones, hosts, engines, plains or seed");
        }
    }
    scn->hosts = options.hosts;
    scn->upstreams = options.engines + options.plains;
    scn->sim = cq_sim_new(&options);
    return TRUE;
}

static gboolean
read_ask(scn_t *scn, named_t *named, cq_sim_ask_t *ask)
{
    ask->service = "reservas";
    ask->team = "t";
    ask->tag = scn->requests->len;
    if (!next_word(scn, named->name) || !skip_word(scn, "host") ||
        !next_host(scn, &ask->host)) {
        return FALSE;
    }
    while (g_scanner_peek_next_token(scn->scanner) == G_TOKEN_IDENTIFIER) {
        char word[NAME_BYTES];
        guint64 number = 0;
        gboolean good = next_word(scn, word);
        if (good && strcmp(word, "timeout") == 0) {
            good = next_time(scn, &ask->timeout_us);
        }
        else if (good && strcmp(word, "hold") == 0) {
            good = next_number(scn, &ask->key);
        }
        else if (good && strcmp(word, "check") == 0) {
            ask->repeatable = TRUE;
        }
        else if (good && strcmp(word, "prompt") == 0) {
            good = next_number(scn, &number);
            ask->prompt_tokens = (gint64)number;
            ask->service = "modelo";
            ask->repeatable = TRUE;
        }
        else if (good && strcmp(word, "output") == 0) {
            good = next_number(scn, &number);
            ask->output_tokens = (gint64)number;
        }
        else if (good && strcmp(word, "answer") == 0) {
            good = next_number(scn, &number);
            ask->output_tokens = (gint64)number;
            ask->max_tokens = (gint64)number;
        }
        else if (good && strcmp(word, "call") != 0) {
            good = fail(scn, CQ_ERROR_SYNTAX,
                        "write hold, check, call, prompt, answer, output "
                        "or timeout");
        }
        if (!good) {
            return FALSE;
        }
    }
    return TRUE;
}

static gboolean
do_ask(scn_t *scn)
{
    named_t *named = g_new0(named_t, 1);
    cq_sim_ask_t ask = {0};
    gboolean good = read_ask(scn, named, &ask);
    g_ptr_array_add(scn->requests, named);
    if (!good) {
        return FALSE;
    }
    named->wanted = ask.output_tokens;
    guint64 id = cq_sim_ask(scn->sim, &ask);
    named->id = id;
    named->lost = id == 0;
    return TRUE;
}

static gboolean
do_kill(scn_t *scn)
{
    char word[NAME_BYTES];
    guint index = 0;
    if (!next_word(scn, word)) {
        return FALSE;
    }
    if (strcmp(word, "host") == 0 && next_host(scn, &index)) {
        harvest(scn);
        cq_sim_kill_host(scn->sim, index);
        scn->read[index] = 0;
        return TRUE;
    }
    if (strcmp(word, "upstream") == 0 && next_upstream(scn, &index)) {
        cq_sim_kill_upstream(scn->sim, index);
        return TRUE;
    }
    return fail(scn, CQ_ERROR_SYNTAX, "write host N or upstream NAME");
}

static gboolean
do_start(scn_t *scn)
{
    char word[NAME_BYTES];
    guint index = 0;
    if (!next_word(scn, word)) {
        return FALSE;
    }
    if (strcmp(word, "host") == 0 && next_host(scn, &index)) {
        cq_sim_start_host(scn->sim, index);
        return TRUE;
    }
    if (strcmp(word, "upstream") == 0 && next_upstream(scn, &index)) {
        cq_sim_start_upstream(scn->sim, index);
        return TRUE;
    }
    return fail(scn, CQ_ERROR_SYNTAX, "write host N or upstream NAME");
}

static gboolean
do_freeze(scn_t *scn)
{
    char word[NAME_BYTES];
    guint index = 0;
    gint64 us = 0;
    if (!next_word(scn, word)) {
        return FALSE;
    }
    gboolean host = strcmp(word, "host") == 0;
    gboolean good =
        host ? next_host(scn, &index) : next_upstream(scn, &index);
    if (!good || !skip_word(scn, "for") || !next_time(scn, &us)) {
        return FALSE;
    }
    if (host) {
        cq_sim_freeze_host(scn->sim, index, us);
    }
    else {
        cq_sim_freeze_upstream(scn->sim, index, us);
    }
    return TRUE;
}

static gboolean
do_drain(scn_t *scn)
{
    guint host = 0;
    gint64 notice_us = 0;
    gint64 limit_us = 0;
    if (!skip_word(scn, "host") || !next_host(scn, &host) ||
        !skip_word(scn, "notice") || !next_time(scn, &notice_us) ||
        !skip_word(scn, "limit") || !next_time(scn, &limit_us)) {
        return FALSE;
    }
    cq_sim_drain_host(scn->sim, host, notice_us, limit_us);
    return TRUE;
}

static gboolean
do_leave(scn_t *scn)
{
    guint index = 0;
    if (!skip_word(scn, "upstream") || !next_upstream(scn, &index)) {
        return FALSE;
    }
    cq_sim_leave_upstream(scn->sim, index);
    return TRUE;
}

static gboolean
do_silence(scn_t *scn)
{
    guint host = 0;
    guint index = 0;
    if (!skip_word(scn, "host") || !next_host(scn, &host) ||
        !skip_word(scn, "upstream") || !next_upstream(scn, &index)) {
        return FALSE;
    }
    cq_sim_silence(scn->sim, host, index);
    return TRUE;
}

static gboolean
cut(scn_t *scn, gboolean apart)
{
    guint a = 0;
    guint b = 0;
    if (!next_zone(scn, &a) || !next_zone(scn, &b)) {
        return FALSE;
    }
    cq_sim_cut(scn->sim, a, b, apart);
    return TRUE;
}

static gboolean
do_cut(scn_t *scn)
{
    return cut(scn, TRUE);
}

static gboolean
do_join(scn_t *scn)
{
    return cut(scn, FALSE);
}

static gboolean
do_log(scn_t *scn)
{
    char word[NAME_BYTES];
    guint64 keep = 0;
    if (!next_word(scn, word)) {
        return FALSE;
    }
    if (strcmp(word, "truncate") == 0) {
        if (!next_number(scn, &keep)) {
            return FALSE;
        }
        cq_sim_truncate_log(scn->sim, (guint)keep);
        return TRUE;
    }
    cq_sim_log_down(scn->sim, strcmp(word, "down") == 0);
    return TRUE;
}

static gboolean
do_list(scn_t *scn)
{
    char word[NAME_BYTES];
    if (!next_word(scn, word)) {
        return FALSE;
    }
    cq_sim_list_down(scn->sim, strcmp(word, "down") == 0);
    return TRUE;
}

static gboolean
do_lose(scn_t *scn)
{
    if (!skip_word(scn, "append") || !skip_word(scn, "answer")) {
        return FALSE;
    }
    cq_sim_lose_appends(scn->sim, 1);
    return TRUE;
}

static gboolean
do_publish(scn_t *scn)
{
    char service[NAME_BYTES];
    char id[NAME_BYTES];
    guint64 base = 0;
    if (!next_word(scn, service) || !skip_word(scn, "base") ||
        !next_number(scn, &base) || !skip_word(scn, "id") ||
        !next_word(scn, id)) {
        return FALSE;
    }
    const char *text = strcmp(service, "modelo") == 0 ? rules[0] : rules[1];
    char *body = g_strdup_printf("%s# %s\n", text, id);
    cq_sim_publish(scn->sim, service, body, base, id);
    g_free(body);
    return TRUE;
}

static gboolean
do_note(scn_t *scn)
{
    guint index = 0;
    if (!skip_word(scn, "arrivals") || !next_upstream(scn, &index)) {
        return FALSE;
    }
    scn->noted[index] = cq_sim_arrivals(scn->sim, index);
    return TRUE;
}

static gboolean
expect(scn_t *scn, gboolean holds, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

static gboolean
expect(scn_t *scn, gboolean holds, const char *format, ...)
{
    char text[256];
    va_list args;
    va_start(args, format);
    g_vsnprintf(text, sizeof text, format, args);
    va_end(args);
    g_string_append_printf(scn->output, "%8.3f %s: %s\n",
                           (double)cq_sim_heap(scn->sim)->now_us / 1e6,
                           holds ? "as expected" : "NOT AS EXPECTED", text);
    if (!holds) {
        cq_error_set(scn->error, CQ_ERROR_VALUE, "%s:%u: seen: %s", scn->file,
                     g_scanner_cur_line(scn->scanner), text);
    }
    return TRUE;
}

static named_t *
next_named(scn_t *scn)
{
    char word[NAME_BYTES];
    if (!next_word(scn, word)) {
        return NULL;
    }
    for (guint i = 0; i < scn->requests->len; i++) {
        named_t *named = g_ptr_array_index(scn->requests, i);
        if (strcmp(named->name, word) == 0) {
            return named;
        }
    }
    fail(scn, CQ_ERROR_VALUE, "there is no such request");
    return NULL;
}

static gboolean
expect_request(scn_t *scn)
{
    char code[NAME_BYTES];
    char ran[NAME_BYTES];
    const named_t *named = next_named(scn);
    if (named == NULL || !skip_word(scn, "code") || !next_word(scn, code) ||
        !skip_word(scn, "ran") || !next_word(scn, ran)) {
        return FALSE;
    }
    const cq_ac_answer_t *answer = &named->answer;
    const char *seen_code =
        named->answered ? cq_outcome_code(answer->outcome) : "open";
    const char *seen_ran = named->answered ? cq_ran_text(answer->ran) : "-";
    gboolean whole = answer->outcome != CQ_OUT_DONE ||
                     named->tokens == named->wanted;
    gboolean same =
        strcmp(code, seen_code) == 0 && strcmp(ran, seen_ran) == 0;
    return expect(scn, same && whole, "request %s code %s ran %s%s",
                  named->name, seen_code, seen_ran,
                  whole ? "" : ", not whole");
}

static gboolean
expect_open(scn_t *scn)
{
    const named_t *named = next_named(scn);
    if (named == NULL) {
        return FALSE;
    }
    return expect(scn, !named->answered && !named->lost, "request %s is %s",
                  named->name, named->answered ? "answered" : "open");
}

static gboolean
expect_runs(scn_t *scn)
{
    guint64 key = 0;
    guint64 runs = 0;
    if (!next_number(scn, &key) || !next_number(scn, &runs)) {
        return FALSE;
    }
    guint seen = cq_sim_runs(scn->sim, key);
    return expect(scn, seen == runs, "key %" G_GUINT64_FORMAT " ran %u times",
                  key, seen);
}

static gboolean
expect_ran(scn_t *scn)
{
    guint64 runs = 0;
    const named_t *named = next_named(scn);
    if (named == NULL || !next_number(scn, &runs)) {
        return FALSE;
    }
    guint seen = cq_sim_request_runs(scn->sim, named->id);
    return expect(scn, seen == runs, "request %s ran %u times", named->name,
                  seen);
}

static gboolean
expect_held(scn_t *scn)
{
    guint64 tokens = 0;
    if (!next_number(scn, &tokens)) {
        return FALSE;
    }
    gint64 seen = cq_sim_held(scn->sim);
    return expect(scn, seen == (gint64)tokens,
                  "%" G_GINT64_FORMAT " tokens of memory are held", seen);
}

static gboolean
expect_version(scn_t *scn)
{
    guint host = 0;
    char service[NAME_BYTES];
    guint64 version = 0;
    if (!skip_word(scn, "host") || !next_host(scn, &host) ||
        !next_word(scn, service) || !next_number(scn, &version)) {
        return FALSE;
    }
    cq_fold_t *fold = cq_sim_fold(scn->sim, host);
    const cq_config_entry_t *held =
        fold != NULL ? cq_fold_get(fold, service) : NULL;
    guint64 seen = held != NULL ? held->version : 0;
    return expect(scn, seen == version,
                  "host-%u has %s version %" G_GUINT64_FORMAT " id %s", host,
                  service, seen, held != NULL ? held->id : "-");
}

static gboolean
expect_no(scn_t *scn)
{
    guint index = 0;
    if (!skip_word(scn, "more") || !skip_word(scn, "arrivals") ||
        !next_upstream(scn, &index)) {
        return FALSE;
    }
    guint64 more = cq_sim_arrivals(scn->sim, index) - scn->noted[index];
    return expect(scn, more == 0,
                  "%" G_GUINT64_FORMAT " more arrivals at %s", more,
                  cq_sim_upstream_name(scn->sim, index));
}

static gboolean
expect_stopped(scn_t *scn)
{
    guint host = 0;
    if (!skip_word(scn, "host") || !next_host(scn, &host)) {
        return FALSE;
    }
    gboolean stopped = cq_sim_host_stopped(scn->sim, host);
    return expect(scn, stopped, "host-%u %s", host,
                  stopped ? "has stopped" : "runs");
}

typedef struct {
    const char *name;
    gboolean (*run)(scn_t *scn);
} command_t;

static const command_t expectations[] = {
    {"request", expect_request}, {"open", expect_open},
    {"runs", expect_runs},       {"ran", expect_ran},
    {"held", expect_held},       {"version", expect_version},
    {"no", expect_no},           {"stopped", expect_stopped},
};

static gboolean
dispatch(scn_t *scn, const command_t *commands, guint len)
{
    char word[NAME_BYTES];
    if (!next_word(scn, word)) {
        return FALSE;
    }
    for (guint i = 0; i < len; i++) {
        if (strcmp(commands[i].name, word) == 0) {
            return commands[i].run(scn);
        }
    }
    return fail(scn, CQ_ERROR_SYNTAX, "there is no such command");
}

static gboolean
do_expect(scn_t *scn)
{
    harvest(scn);
    return dispatch(scn, expectations, G_N_ELEMENTS(expectations));
}

static const command_t commands[] = {
    {"world", do_world},     {"ask", do_ask},         {"kill", do_kill},
    {"start", do_start},     {"freeze", do_freeze},   {"drain", do_drain},
    {"leave", do_leave},     {"silence", do_silence}, {"cut", do_cut},
    {"join", do_join},       {"log", do_log},         {"list", do_list},
    {"lose", do_lose},       {"publish", do_publish}, {"note", do_note},
    {"expect", do_expect},
};

static gboolean
run_line(scn_t *scn)
{
    GTokenType token = g_scanner_peek_next_token(scn->scanner);
    const char *word = scn->scanner->next_value.v_identifier;
    if (token == G_TOKEN_IDENTIFIER && strcmp(word, "at") == 0) {
        gint64 us = 0;
        if (!skip_word(scn, "at") || !next_time(scn, &us)) {
            return FALSE;
        }
        if (scn->sim == NULL) {
            return fail(scn, CQ_ERROR_SYNTAX, "write world first");
        }
        cq_sim_run(scn->sim, us);
    }
    if (!dispatch(scn, commands, G_N_ELEMENTS(commands))) {
        return FALSE;
    }
    token = g_scanner_get_next_token(scn->scanner);
    if (token != '\n' && token != G_TOKEN_EOF) {
        return fail(scn, CQ_ERROR_SYNTAX, "the line is too long");
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
run_lines(scn_t *scn)
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
    scn_t scn = {.file = file, .output = output, .error = error};
    scn.scanner = make_scanner(text);
    scn.requests = g_ptr_array_new_with_free_func(g_free);
    gboolean good = run_lines(&scn);
    if (scn.sim != NULL) {
        harvest(&scn);
        cq_sim_free(scn.sim);
    }
    g_scanner_destroy(scn.scanner);
    g_ptr_array_unref(scn.requests);
    return good && error->kind == CQ_ERROR_NONE;
}
