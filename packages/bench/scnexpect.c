/* The `expect` command of scenarios. */
#include <string.h>

#include "bench/scnstate.h"

/* Appends the result of an expectation to the output. Returns TRUE even if it
 * failed, so that the scenario goes on. */
static gboolean
expect(cq_scn_t *scn, gboolean holds, const char *format, ...)
    G_GNUC_PRINTF(3, 4);

static gboolean
expect(cq_scn_t *scn, gboolean holds, const char *format, ...)
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
        cq_error_set(scn->error, CQ_ERROR_VALUE,
                     "%s:%u: expectation failed, found: %s", scn->file,
                     g_scanner_cur_line(scn->scanner), text);
    }
    return TRUE;
}

static cq_scn_request_t *
read_request_name(cq_scn_t *scn)
{
    char word[CQ_SCN_NAME_BYTES];
    if (!cq_scn_word(scn, word)) {
        return NULL;
    }
    for (guint i = 0; i < scn->requests->len; i++) {
        cq_scn_request_t *request = g_ptr_array_index(scn->requests, i);
        if (strcmp(request->name, word) == 0) {
            return request;
        }
    }
    cq_scn_fail(scn, CQ_ERROR_VALUE, "there is no such request");
    return NULL;
}

static gboolean
expect_request(cq_scn_t *scn)
{
    char code[CQ_SCN_NAME_BYTES];
    char ran[CQ_SCN_NAME_BYTES];
    const cq_scn_request_t *request = read_request_name(scn);
    if (request == NULL || !cq_scn_literal(scn, "code") ||
        !cq_scn_word(scn, code) || !cq_scn_literal(scn, "ran") ||
        !cq_scn_word(scn, ran)) {
        return FALSE;
    }
    const cq_ac_answer_t *answer = &request->answer;
    const char *actual_code =
        request->answered ? cq_outcome_code(answer->outcome) : "open";
    const char *actual_ran =
        request->answered ? cq_ran_text(answer->ran) : "-";
    gboolean complete = answer->outcome != CQ_OUTCOME_DONE ||
                        request->tokens == request->expected_tokens;
    gboolean matches =
        strcmp(code, actual_code) == 0 && strcmp(ran, actual_ran) == 0;
    return expect(scn, matches && complete, "request %s code %s ran %s%s",
                  request->name, actual_code, actual_ran,
                  complete ? "" : ", incomplete");
}

static gboolean
expect_open(cq_scn_t *scn)
{
    const cq_scn_request_t *request = read_request_name(scn);
    if (request == NULL) {
        return FALSE;
    }
    return expect(scn, !request->answered && !request->lost,
                  "request %s is %s", request->name,
                  request->answered ? "answered" : "open");
}

static gboolean
expect_runs(cq_scn_t *scn)
{
    guint64 key = 0;
    guint64 runs = 0;
    if (!cq_scn_number(scn, &key) || !cq_scn_number(scn, &runs)) {
        return FALSE;
    }
    guint actual = cq_sim_key_runs(scn->sim, key);
    return expect(scn, actual == runs,
                  "key %" G_GUINT64_FORMAT " ran %u times", key, actual);
}

static gboolean
expect_ran(cq_scn_t *scn)
{
    guint64 runs = 0;
    const cq_scn_request_t *request = read_request_name(scn);
    if (request == NULL || !cq_scn_number(scn, &runs)) {
        return FALSE;
    }
    guint actual = cq_sim_request_runs(scn->sim, request->id);
    return expect(scn, actual == runs, "request %s ran %u times",
                  request->name, actual);
}

static gboolean
expect_held(cq_scn_t *scn)
{
    guint64 tokens = 0;
    if (!cq_scn_number(scn, &tokens)) {
        return FALSE;
    }
    gint64 actual = cq_sim_reserved_tokens(scn->sim);
    return expect(scn, actual == (gint64)tokens,
                  "%" G_GINT64_FORMAT " tokens of memory are held", actual);
}

static gboolean
expect_version(cq_scn_t *scn)
{
    guint host = 0;
    char service[CQ_SCN_NAME_BYTES];
    guint64 version = 0;
    if (!cq_scn_literal(scn, "host") || !cq_scn_host(scn, &host) ||
        !cq_scn_word(scn, service) || !cq_scn_number(scn, &version)) {
        return FALSE;
    }
    cq_fold_t *fold = cq_sim_fold(scn->sim, host);
    const cq_config_entry_t *entry =
        fold != NULL ? cq_fold_get(fold, service) : NULL;
    guint64 actual = entry != NULL ? entry->version : 0;
    return expect(scn, actual == version,
                  "host-%u has %s version %" G_GUINT64_FORMAT " id %s", host,
                  service, actual, entry != NULL ? entry->id : "-");
}

static gboolean
expect_id(cq_scn_t *scn)
{
    guint host = 0;
    char service[CQ_SCN_NAME_BYTES];
    char id[CQ_SCN_NAME_BYTES];
    if (!cq_scn_literal(scn, "host") || !cq_scn_host(scn, &host) ||
        !cq_scn_word(scn, service) || !cq_scn_word(scn, id)) {
        return FALSE;
    }
    cq_fold_t *fold = cq_sim_fold(scn->sim, host);
    const cq_config_entry_t *entry =
        fold != NULL ? cq_fold_get(fold, service) : NULL;
    const char *actual = entry != NULL ? entry->id : "-";
    return expect(scn, strcmp(actual, id) == 0, "host-%u has %s of %s", host,
                  service, actual);
}

static gboolean
expect_no(cq_scn_t *scn)
{
    guint index = 0;
    if (!cq_scn_literal(scn, "more") || !cq_scn_literal(scn, "arrivals") ||
        !cq_scn_upstream(scn, &index)) {
        return FALSE;
    }
    guint64 new_arrivals =
        cq_sim_arrivals(scn->sim, index) - scn->noted_arrivals[index];
    return expect(scn, new_arrivals == 0,
                  "%" G_GUINT64_FORMAT " more arrivals at %s", new_arrivals,
                  cq_sim_upstream_name(scn->sim, index));
}

static gboolean
expect_stopped(cq_scn_t *scn)
{
    guint host = 0;
    if (!cq_scn_literal(scn, "host") || !cq_scn_host(scn, &host)) {
        return FALSE;
    }
    gboolean stopped = cq_sim_host_stopped(scn->sim, host);
    return expect(scn, stopped, "host-%u %s", host,
                  stopped ? "has stopped" : "runs");
}

static gboolean
expect_loaded(cq_scn_t *scn)
{
    char model[CQ_SCN_NAME_BYTES];
    guint64 engines = 0;
    if (!cq_scn_word(scn, model) || !cq_scn_number(scn, &engines)) {
        return FALSE;
    }
    guint actual = cq_sim_engines_with_model(scn->sim, model);
    return expect(scn, actual == engines, "%u engines have %s", actual, model);
}

static gboolean
expect_loads(cq_scn_t *scn)
{
    guint64 loads = 0;
    guint64 max_at_once = 0;
    if (!cq_scn_number(scn, &loads) || !cq_scn_literal(scn, "at") ||
        !cq_scn_literal(scn, "most") || !cq_scn_number(scn, &max_at_once)) {
        return FALSE;
    }
    cq_sim_totals_t totals = cq_sim_totals(scn->sim);
    gboolean holds =
        totals.model_loads == loads && totals.model_loads_peak <= max_at_once;
    return expect(scn, holds, "%u loads, at most %u at once",
                  totals.model_loads, totals.model_loads_peak);
}

static gboolean
expect_old(cq_scn_t *scn)
{
    guint64 stale = 0;
    guint64 refused = 0;
    if (!cq_scn_number(scn, &stale) || !cq_scn_literal(scn, "refused") ||
        !cq_scn_number(scn, &refused)) {
        return FALSE;
    }
    cq_sim_totals_t totals = cq_sim_totals(scn->sim);
    gboolean holds =
        totals.stale_orders == stale && totals.stale_orders_refused == refused;
    return expect(scn, holds, "%u old orders, %u refused", totals.stale_orders,
                  totals.stale_orders_refused);
}

static gboolean
expect_running(cq_scn_t *scn)
{
    guint host = 0;
    if (!cq_scn_literal(scn, "host") || !cq_scn_host(scn, &host)) {
        return FALSE;
    }
    gboolean stopped = cq_sim_host_stopped(scn->sim, host);
    return expect(scn, !stopped, "host-%u %s", host,
                  stopped ? "has stopped" : "runs");
}

static const cq_scn_command_t expectations[] = {
    {"request", expect_request}, {"open", expect_open},
    {"runs", expect_runs},       {"ran", expect_ran},
    {"held", expect_held},       {"version", expect_version},
    {"no", expect_no},           {"stopped", expect_stopped},
    {"running", expect_running}, {"id", expect_id},
    {"loaded", expect_loaded},   {"loads", expect_loads},
    {"old", expect_old},
};

gboolean
cq_scn_expect(cq_scn_t *scn)
{
    cq_scn_append_events(scn);
    return cq_scn_dispatch(scn, expectations, G_N_ELEMENTS(expectations));
}
