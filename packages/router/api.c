#include "router/api.h"

#include <string.h>

#include "router/caller.h"
#include "router/http.h"
#include "router/prompt.h"

#define BEARER "Bearer "
#define PLAIN_PATH_PREFIX "/s/"

struct cq_api {
    cq_app_t *app;
    SoupServer *server;
    GHashTable *callers;
    guint answers_unwritten;
};

static cq_caller_t *
find(cq_api_t *api, guint64 id)
{
    return g_hash_table_lookup(api->callers, &id);
}

static void
refuse(cq_api_t *api, SoupServerMessage *message, int status, const char *code,
       const char *remedy)
{
    cq_app_count(api->app, CQ_N_BAD_REQUESTS, 1);
    cq_caller_send_error(message, status, code, CQ_RAN_NO, 0, remedy);
}

static void
on_hangup(cq_caller_t *caller, void *data)
{
    cq_api_t *api = data;
    cq_event_t event = {.kind = CQ_EV_HANGUP};
    event.attempt.request = cq_caller_id(caller);
    cq_app_post(api->app, &event);
}

static void
on_writable(cq_caller_t *caller, void *data)
{
    cq_api_t *api = data;
    cq_app_t *app = api->app;
    cq_app_resume_reading(app, cq_caller_id(caller));
}

static const char *
request_header(SoupServerMessage *message, const char *name)
{
    return soup_message_headers_get_one(
        soup_server_message_get_request_headers(message), name);
}

/* Return: the team that the X-Team header names or, if the service requires
 * authentication, the team of the bearer token; NULL if there is no such team.
 */
static const char *
team_of(const cq_rules_t *rules, SoupServerMessage *message)
{
    int team = -1;
    if (rules->auth == CQ_AUTH_NONE) {
        const char *name = request_header(message, "X-Team");
        team = name != NULL ? cq_rules_team_index(rules, name) : -1;
    }
    else {
        const char *text = request_header(message, "Authorization");
        if (text != NULL && g_str_has_prefix(text, BEARER)) {
            team = cq_rules_team_by_token(rules, text + strlen(BEARER));
        }
    }
    if (team < 0) {
        return NULL;
    }
    return g_array_index(rules->teams, cq_team_rule_t, (guint)team).name;
}

/* Fills the fields that are the same for model engines and plain services.
 * Return: FALSE if the request was refused. */
static gboolean
fill_request(cq_api_t *api, SoupServerMessage *message, const char *service,
             cq_ev_request_t *request)
{
    const cq_rules_t *rules = cq_core_rules(cq_app_core(api->app), service);
    if (rules == NULL) {
        refuse(api, message, 404, "unknown_service",
               "name a service that has been published");
        return FALSE;
    }
    request->service = service;
    request->team = team_of(rules, message);
    if (request->team == NULL) {
        refuse(api, message, 401, "unknown_team",
               "send the bearer token of a team that the service file lists");
        return FALSE;
    }
    const char *timeout = request_header(message, "X-Request-Timeout-Ms");
    if (timeout != NULL) {
        guint64 ms;
        if (!g_ascii_string_to_unsigned(timeout, 10, 1, CQ_TIMEOUT_MAX_MS, &ms,
                                        NULL)) {
            refuse(api, message, 400, "bad_timeout",
                   "write X-Request-Timeout-Ms as an integer from 1 to "
                   "3600000");
            return FALSE;
        }
        request->timeout_us = (gint64)ms * CQ_MS_US;
    }
    const char *key = request_header(message, "Idempotency-Key");
    if (key != NULL &&
        (key[0] == '\0' || strlen(key) > CQ_IDEMPOTENCY_KEY_BYTES_MAX)) {
        refuse(api, message, 400, "bad_key",
               "write an Idempotency-Key of 1 to 256 bytes");
        return FALSE;
    }
    if (key != NULL) {
        request->key = cq_ident_key(service, request->team, key);
    }
    return TRUE;
}

static void
admit(cq_api_t *api, SoupServerMessage *message, cq_caller_options_t *options,
      cq_ev_request_t *request)
{
    request->id = cq_app_request_id(api->app);
    options->app = api->app;
    options->id = request->id;
    options->key = request_header(message, "Idempotency-Key");
    options->hangup = on_hangup;
    options->writable = on_writable;
    options->data = api;
    cq_caller_t *caller = cq_caller_new(message, options);
    g_hash_table_replace(api->callers, cq_caller_table_key(caller), caller);
    cq_event_t event = {.kind = CQ_EV_REQUEST, .request = *request};
    cq_app_post(api->app, &event);
}

static GBytes *
body_of(SoupServerMessage *message)
{
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    return soup_message_body_flatten(body);
}

static void
serve_model(cq_api_t *api, SoupServerMessage *message, const char *path)
{
    if (soup_server_message_get_method(message) != SOUP_METHOD_POST) {
        refuse(api, message, 405, "bad_method", "use POST");
        return;
    }
    GBytes *body = body_of(message);
    cq_prompt_t prompt;
    cq_error_t error = {0};
    gboolean chat = strcmp(path, "/v1/chat/completions") == 0;
    if (!cq_prompt_read(body, chat, &prompt, &error)) {
        refuse(api, message, 400, "invalid_body", error.text);
        g_bytes_unref(body);
        return;
    }
    const char *service =
        cq_core_model_service(cq_app_core(api->app), prompt.model);
    if (service == NULL) {
        refuse(api, message, 404, "unknown_model",
               "name a model that a published service lists");
        g_bytes_unref(body);
        return;
    }
    cq_ev_request_t request = {
        .model = prompt.model,
        .prompt_tokens = prompt.tokens,
        .output_tokens = prompt.output_tokens,
        .prefixes_len = prompt.prefixes_len,
    };
    memcpy(request.prefixes, prompt.prefixes, sizeof request.prefixes);
    if (fill_request(api, message, service, &request)) {
        cq_rules_t *rules = cq_core_rules(cq_app_core(api->app), service);
        request.repeatable = rules->idempotent;
        cq_caller_options_t options = {
            .model = TRUE,
            .stream = prompt.stream,
            .chat = prompt.chat,
            .method = "POST",
            .path = path,
            .content_type = "application/json",
            .body = cq_prompt_for_engine(body),
        };
        admit(api, message, &options, &request);
        g_bytes_unref(options.body);
    }
    g_bytes_unref(body);
}

static void
serve_plain(cq_api_t *api, SoupServerMessage *message, const char *path)
{
    const char *name = path + strlen(PLAIN_PATH_PREFIX);
    const char *slash = strchr(name, '/');
    gsize len = slash != NULL ? (gsize)(slash - name) : strlen(name);
    const char *upstream_path = slash != NULL ? slash : "/";
    char *service = g_strndup(name, len);
    cq_ev_request_t request = {.model = "", .prompt_tokens = 1};
    if (fill_request(api, message, service, &request)) {
        const cq_rules_t *rules =
            cq_core_rules(cq_app_core(api->app), service);
        const char *method = soup_server_message_get_method(message);
        request.repeatable = cq_rules_may_retry(rules, method, upstream_path);
        const char *query =
            g_uri_get_query(soup_server_message_get_uri(message));
        char *path_and_query =
            query != NULL ? g_strdup_printf("%s?%s", upstream_path, query)
                          : g_strdup(upstream_path);
        GBytes *body = body_of(message);
        cq_caller_options_t options = {
            .method = method,
            .path = path_and_query,
            .content_type = request_header(message, "Content-Type"),
            .body = body,
        };
        if (rules->kind != CQ_SERVICE_PLAIN) {
            refuse(api, message, 404, "model_service",
                   "send model calls to /v1/completions");
        }
        else {
            admit(api, message, &options, &request);
        }
        g_bytes_unref(body);
        g_free(path_and_query);
    }
    g_free(service);
}

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, gpointer data)
{
    (void)server;
    (void)query;
    cq_api_t *api = data;
    if (soup_server_message_get_status(message) != 0) {
        return;
    }
    if (strcmp(path, "/v1/completions") == 0 ||
        strcmp(path, "/v1/chat/completions") == 0) {
        serve_model(api, message, path);
        return;
    }
    if (g_str_has_prefix(path, PLAIN_PATH_PREFIX)) {
        serve_plain(api, message, path);
        return;
    }
    refuse(api, message, 404, "unknown_path",
           "use /v1/completions, /v1/chat/completions or /s/SERVICE/PATH");
}

static void
reject_long_body(cq_api_t *api, SoupServerMessage *message)
{
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    soup_message_body_set_accumulate(body, FALSE);
    if (soup_server_message_get_status(message) != 0) {
        return;
    }
    cq_app_count(api->app, CQ_N_BODIES_TOO_LONG, 1);
    cq_caller_send_error(message, 413, "body_too_long", CQ_RAN_NO, 0,
                         "send at most 16 MiB");
    SoupMessageHeaders *headers =
        soup_server_message_get_response_headers(message);
    soup_message_headers_replace(headers, "Connection", "close");
}

static void
on_chunk(SoupServerMessage *message, GBytes *chunk, gpointer data)
{
    (void)chunk;
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    if (body->length > CQ_BODY_BYTES_MAX) {
        reject_long_body(data, message);
    }
}

static void
on_headers(SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, gpointer data)
{
    (void)server;
    (void)path;
    (void)query;
    SoupMessageHeaders *headers =
        soup_server_message_get_request_headers(message);
    if (soup_message_headers_get_content_length(headers) > CQ_BODY_BYTES_MAX) {
        reject_long_body(data, message);
        return;
    }
    g_signal_connect(message, "got-chunk", G_CALLBACK(on_chunk), data);
}

static void
free_caller(gpointer data)
{
    cq_caller_unref(data);
}

cq_api_t *
cq_api_new(cq_app_t *app)
{
    cq_api_t *api = g_new0(cq_api_t, 1);
    api->app = app;
    api->server = soup_server_new("server-header", "cuminquay", NULL);
    api->callers =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_caller);
    soup_server_add_early_handler(api->server, NULL, on_headers, api, NULL);
    soup_server_add_handler(api->server, NULL, on_request, api, NULL);
    return api;
}

gboolean
cq_api_listen(cq_api_t *api, const char *addr, cq_error_t *error)
{
    return cq_http_listen(api->server, "listen.callers", addr, error);
}

void
cq_api_free(cq_api_t *api)
{
    soup_server_disconnect(api->server);
    g_hash_table_unref(api->callers);
    g_object_unref(api->server);
    g_free(api);
}

gboolean
cq_api_call_spec(cq_api_t *api, guint64 id, cq_call_spec_t *spec)
{
    cq_caller_t *caller = find(api, id);
    if (caller == NULL) {
        return FALSE;
    }
    cq_caller_spec(caller, spec);
    return TRUE;
}

gboolean
cq_api_write(cq_api_t *api, guint64 id, GBytes *bytes)
{
    cq_caller_t *caller = find(api, id);
    return caller != NULL && cq_caller_write(caller, bytes);
}

static void
on_finished(cq_caller_t *caller, void *data)
{
    (void)caller;
    cq_api_t *api = data;
    api->answers_unwritten--;
}

void
cq_api_answer(cq_api_t *api, const cq_ac_answer_t *answer,
              const cq_call_result_t *result)
{
    cq_caller_t *caller = find(api, answer->request);
    if (caller == NULL) {
        return;
    }
    api->answers_unwritten++;
    cq_caller_answer(caller, answer, result, on_finished);
    g_hash_table_remove(api->callers, &answer->request);
}

guint
cq_api_unfinished(const cq_api_t *api)
{
    return g_hash_table_size(api->callers) + api->answers_unwritten;
}
