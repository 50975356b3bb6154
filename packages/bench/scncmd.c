/* The commands of a scenario. */
#include <string.h>

#include "bench/scnstate.h"

static const char *const rules[] = {
    "[service]\nname = \"modelo\"\nkind = \"model\"\nauth = \"none\"\n"
    "[requests]\ntimeout_ms = 20000\n"
    "[engines]\ngroup_max = 8\nresume = true\n"
    "[[model]]\nname = \"m\"\n[[team]]\nname = \"t\"\n",
    "[service]\nname = \"reservas\"\nkind = \"plain\"\nauth = \"none\"\n"
    "[requests]\ntimeout_ms = 8000\n[[team]]\nname = \"t\"\n",
    NULL};

static cq_scn_request_t *
request_at(cq_scn_t *scn, guint64 tag)
{
    return g_ptr_array_index(scn->requests, (guint)tag);
}

static void
on_tokens(cq_sim_t *sim, guint64 tag, gint64 tokens, void *data)
{
    (void)sim;
    request_at(data, tag)->tokens += tokens;
}

static void
on_answered(cq_sim_t *sim, guint64 tag, const cq_ac_answer_t *answer,
            void *data)
{
    (void)sim;
    cq_scn_request_t *request = request_at(data, tag);
    request->id = answer->request;
    request->answered = TRUE;
    request->answer = *answer;
}

static void
on_lost(cq_sim_t *sim, guint64 tag, void *data)
{
    (void)sim;
    request_at(data, tag)->lost = TRUE;
}

static gboolean
do_world(cq_scn_t *scn)
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
    while (cq_scn_has_word(scn)) {
        char word[CQ_SCN_NAME_BYTES];
        guint64 number = 0;
        if (!cq_scn_word(scn, word) || !cq_scn_number(scn, &number)) {
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
            options.plain_upstreams = (guint)number;
        }
        else if (strcmp(word, "seed") == 0) {
            options.seed = (guint32)number;
        }
        else {
            return cq_scn_fail(
                scn, CQ_ERROR_SYNTAX,
                "expected zones, hosts, engines, plains or seed");
        }
    }
    scn->hosts = options.hosts;
    scn->upstreams = options.engines + options.plain_upstreams;
    scn->sim = cq_sim_new(&options);
    return TRUE;
}

static gboolean
read_request(cq_scn_t *scn, cq_scn_request_t *request, cq_sim_request_t *spec)
{
    spec->service = "reservas";
    spec->team = "t";
    spec->tag = scn->requests->len;
    if (!cq_scn_word(scn, request->name) || !cq_scn_literal(scn, "host") ||
        !cq_scn_host(scn, &spec->host)) {
        return FALSE;
    }
    while (cq_scn_has_word(scn)) {
        char word[CQ_SCN_NAME_BYTES];
        guint64 number = 0;
        gboolean ok = cq_scn_word(scn, word);
        if (ok && strcmp(word, "timeout") == 0) {
            ok = cq_scn_time(scn, &spec->timeout_us);
        }
        else if (ok && strcmp(word, "hold") == 0) {
            ok = cq_scn_number(scn, &spec->key);
        }
        else if (ok && strcmp(word, "check") == 0) {
            spec->repeatable = TRUE;
        }
        else if (ok && strcmp(word, "prompt") == 0) {
            ok = cq_scn_number(scn, &number);
            spec->prompt_tokens = (gint64)number;
            spec->service = "modelo";
            spec->repeatable = TRUE;
        }
        else if (ok && strcmp(word, "model") == 0) {
            ok = cq_scn_word(scn, request->model);
            spec->model = request->model;
        }
        else if (ok && strcmp(word, "output") == 0) {
            ok = cq_scn_number(scn, &number);
            spec->output_tokens = (gint64)number;
        }
        else if (ok && strcmp(word, "answer") == 0) {
            ok = cq_scn_number(scn, &number);
            spec->output_tokens = (gint64)number;
            spec->max_tokens = (gint64)number;
        }
        else if (ok && strcmp(word, "call") != 0) {
            ok = cq_scn_fail(
                scn, CQ_ERROR_SYNTAX,
                "expected hold, check, call, prompt, answer, output, "
                "model or timeout");
        }
        if (!ok) {
            return FALSE;
        }
    }
    return TRUE;
}

static gboolean
do_ask(cq_scn_t *scn)
{
    cq_scn_request_t *request = g_new0(cq_scn_request_t, 1);
    cq_sim_request_t spec = {0};
    gboolean ok = read_request(scn, request, &spec);
    g_ptr_array_add(scn->requests, request);
    if (!ok) {
        return FALSE;
    }
    request->expected_tokens = spec.output_tokens;
    guint64 id = cq_sim_send_request(scn->sim, &spec);
    request->id = id;
    request->lost = id == 0;
    return TRUE;
}

static gboolean
do_kill(cq_scn_t *scn)
{
    char word[CQ_SCN_NAME_BYTES];
    guint index = 0;
    if (!cq_scn_word(scn, word)) {
        return FALSE;
    }
    if (strcmp(word, "host") == 0 && cq_scn_host(scn, &index)) {
        cq_scn_append_events(scn);
        cq_sim_kill_host(scn->sim, index);
        scn->events_read[index] = 0;
        return TRUE;
    }
    if (strcmp(word, "upstream") == 0 && cq_scn_upstream(scn, &index)) {
        cq_sim_kill_upstream(scn->sim, index);
        return TRUE;
    }
    return cq_scn_fail(scn, CQ_ERROR_SYNTAX,
                       "expected host N or upstream NAME");
}

static gboolean
do_start(cq_scn_t *scn)
{
    char word[CQ_SCN_NAME_BYTES];
    guint index = 0;
    if (!cq_scn_word(scn, word)) {
        return FALSE;
    }
    if (strcmp(word, "host") == 0 && cq_scn_host(scn, &index)) {
        cq_sim_start_host(scn->sim, index);
        return TRUE;
    }
    if (strcmp(word, "upstream") == 0 && cq_scn_upstream(scn, &index)) {
        cq_sim_start_upstream(scn->sim, index);
        return TRUE;
    }
    return cq_scn_fail(scn, CQ_ERROR_SYNTAX,
                       "expected host N or upstream NAME");
}

static gboolean
do_freeze(cq_scn_t *scn)
{
    char word[CQ_SCN_NAME_BYTES];
    guint index = 0;
    gint64 us = 0;
    if (!cq_scn_word(scn, word)) {
        return FALSE;
    }
    gboolean is_host = strcmp(word, "host") == 0;
    gboolean ok =
        is_host ? cq_scn_host(scn, &index) : cq_scn_upstream(scn, &index);
    if (!ok || !cq_scn_literal(scn, "for") || !cq_scn_time(scn, &us)) {
        return FALSE;
    }
    if (is_host) {
        cq_sim_freeze_host(scn->sim, index, us);
    }
    else {
        cq_sim_freeze_upstream(scn->sim, index, us);
    }
    return TRUE;
}

static gboolean
do_drain(cq_scn_t *scn)
{
    guint host = 0;
    gint64 notice_us = 0;
    gint64 limit_us = 0;
    if (!cq_scn_literal(scn, "host") || !cq_scn_host(scn, &host) ||
        !cq_scn_literal(scn, "notice") || !cq_scn_time(scn, &notice_us) ||
        !cq_scn_literal(scn, "limit") || !cq_scn_time(scn, &limit_us)) {
        return FALSE;
    }
    cq_sim_drain_host(scn->sim, host, notice_us, limit_us);
    return TRUE;
}

static gboolean
do_leave(cq_scn_t *scn)
{
    guint index = 0;
    if (!cq_scn_literal(scn, "upstream") || !cq_scn_upstream(scn, &index)) {
        return FALSE;
    }
    cq_sim_leave_upstream(scn->sim, index);
    return TRUE;
}

static gboolean
do_silence(cq_scn_t *scn)
{
    guint host = 0;
    guint index = 0;
    if (!cq_scn_literal(scn, "host") || !cq_scn_host(scn, &host) ||
        !cq_scn_literal(scn, "upstream") || !cq_scn_upstream(scn, &index)) {
        return FALSE;
    }
    cq_sim_silence_connections(scn->sim, host, index);
    return TRUE;
}

static gboolean
set_partition(cq_scn_t *scn, gboolean partitioned)
{
    guint a = 0;
    guint b = 0;
    if (!cq_scn_zone(scn, &a) || !cq_scn_zone(scn, &b)) {
        return FALSE;
    }
    cq_sim_cut(scn->sim, a, b, partitioned);
    return TRUE;
}

static gboolean
do_cut(cq_scn_t *scn)
{
    return set_partition(scn, TRUE);
}

static gboolean
do_join(cq_scn_t *scn)
{
    return set_partition(scn, FALSE);
}

static gboolean
do_log(cq_scn_t *scn)
{
    char word[CQ_SCN_NAME_BYTES];
    guint64 keep = 0;
    if (!cq_scn_word(scn, word)) {
        return FALSE;
    }
    if (strcmp(word, "truncate") == 0) {
        if (!cq_scn_number(scn, &keep)) {
            return FALSE;
        }
        cq_sim_truncate_log(scn->sim, (guint)keep);
        return TRUE;
    }
    cq_sim_set_log_down(scn->sim, strcmp(word, "down") == 0);
    return TRUE;
}

static gboolean
do_list(cq_scn_t *scn)
{
    char word[CQ_SCN_NAME_BYTES];
    if (!cq_scn_word(scn, word)) {
        return FALSE;
    }
    cq_sim_set_list_down(scn->sim, strcmp(word, "down") == 0);
    return TRUE;
}

static gboolean
do_delay(cq_scn_t *scn)
{
    gint64 us = 0;
    if (!cq_scn_literal(scn, "orders") || !cq_scn_time(scn, &us)) {
        return FALSE;
    }
    cq_sim_delay_orders(scn->sim, us);
    return TRUE;
}

static gboolean
do_lose(cq_scn_t *scn)
{
    if (!cq_scn_literal(scn, "append") || !cq_scn_literal(scn, "answer")) {
        return FALSE;
    }
    cq_sim_lose_append_replies(scn->sim, 1);
    return TRUE;
}

static gboolean
do_publish(cq_scn_t *scn)
{
    char service[CQ_SCN_NAME_BYTES];
    char id[CQ_SCN_NAME_BYTES];
    guint64 base = 0;
    if (!cq_scn_word(scn, service) || !cq_scn_literal(scn, "base") ||
        !cq_scn_number(scn, &base) || !cq_scn_literal(scn, "id") ||
        !cq_scn_word(scn, id)) {
        return FALSE;
    }
    gboolean is_model = strcmp(service, "modelo") == 0;
    guint64 replicas = 0;
    if (cq_scn_has_word(scn) &&
        (!cq_scn_literal(scn, "replicas") || !cq_scn_number(scn, &replicas))) {
        return FALSE;
    }
    char *model_toml = g_strdup_printf("[[model]]\nname = \"big\"\n"
                                       "replicas = %" G_GUINT64_FORMAT "\n",
                                       replicas);
    char *body = g_strdup_printf("%s%s# %s\n", is_model ? rules[0] : rules[1],
                                 replicas > 0 ? model_toml : "", id);
    g_free(model_toml);
    cq_sim_publish(scn->sim, service, body, base, id);
    g_free(body);
    return TRUE;
}

static gboolean
do_note(cq_scn_t *scn)
{
    guint index = 0;
    if (!cq_scn_literal(scn, "arrivals") || !cq_scn_upstream(scn, &index)) {
        return FALSE;
    }
    scn->noted_arrivals[index] = cq_sim_arrivals(scn->sim, index);
    return TRUE;
}

static const cq_scn_command_t commands[] = {
    {"world", do_world},       {"ask", do_ask},         {"kill", do_kill},
    {"start", do_start},       {"freeze", do_freeze},   {"drain", do_drain},
    {"leave", do_leave},       {"silence", do_silence}, {"cut", do_cut},
    {"join", do_join},         {"log", do_log},         {"list", do_list},
    {"lose", do_lose},         {"publish", do_publish}, {"note", do_note},
    {"expect", cq_scn_expect}, {"delay", do_delay},
};

gboolean
cq_scn_command(cq_scn_t *scn)
{
    return cq_scn_dispatch(scn, commands, G_N_ELEMENTS(commands));
}
