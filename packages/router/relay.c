#include "router/relay.h"

#include <string.h>

#include "platform/headers.h"
#include "router/inbound.h"
#include "router/reservations.h"
#include "router/outbound.h"
#include "router/refusal.h"

/* Interval between checks of connection timeouts, which are seconds long. */
#define TIMEOUT_CHECK_MS 200
/* Room for the addresses and reservation ids of the largest group. */
#define HELPERS_BYTES (CQ_GROUP_MAX * (CQ_ADDR_BYTES + CQ_NAME_BYTES))

struct cq_relay {
    cq_app_t *app;
    cq_inbound_t *inbound;
    cq_outbound_t *outbound;
    cq_reservations_t *reservations;
    const cq_routes_t *routes;
    GHashTable *requests;
    GRand *rand;
    guint timeout_timer;
};

/*
 * A caller's request while it is open.
 * exchange: NULL once the caller has closed its connection
 * last_event: id of the last stream event sent to the caller, or -1
 * response_started: the head of a streamed answer has been sent
 * reading_paused: the upstream is not read because the caller is slow
 */
typedef struct {
    guint64 id;
    cq_exchange_t *exchange;
    char *attempt_id;
    char team[CQ_NAME_BYTES];
    gint64 deadline_us;
    gint64 last_event;
    gboolean response_started;
    gboolean reading_paused;
} request_t;

static void
free_request(gpointer data)
{
    request_t *request_entry = data;
    g_free(request_entry->attempt_id);
    g_free(request_entry);
}

static request_t *
find(const cq_relay_t *relay, guint64 id)
{
    return g_hash_table_lookup(relay->requests, &id);
}

static void
refuse(cq_exchange_t *exchange, int status, const char *code, cq_ran_t ran,
       gint64 retry_after_us, const char *remedy)
{
    char extra[64] = "";
    if (retry_after_us > 0) {
        g_snprintf(extra, sizeof extra, "Retry-After: %.2f\r\n",
                   (double)retry_after_us / (double)CQ_SECOND_US);
    }
    char *text = cq_refusal_json(code, ran, retry_after_us, remedy);
    cq_exchange_refuse(exchange, status, extra, text);
    g_free(text);
}

/* Answers a request that cannot be routed. The core never sees it. */
static void
reject_request(cq_relay_t *relay, cq_exchange_t *exchange, int status,
               const char *code, const char *remedy)
{
    cq_request_fields_t ask =
        cq_headers_parse_request(cq_exchange_head(exchange));
    cq_app_count(relay->app, CQ_N_BAD_REQUESTS, 1);
    cq_app_log(relay->app, "turned_away",
               "attempt=%s status=%d code=%s config=%" G_GUINT64_FORMAT,
               ask.attempt_id != NULL ? ask.attempt_id : "-", status, code,
               relay->routes != NULL ? relay->routes->version : 0);
    gint64 retry_after_us = status == 503 ? CQ_RETRY_AFTER_MIN_US : 0;
    refuse(exchange, status, code, CQ_RAN_NO, retry_after_us, remedy);
}

/* Return: the team that the request counts for; "" if the route is open or no
 * keys are configured; NULL if the key is missing or unknown. */
static const char *
team_of(const cq_relay_t *relay, const cq_route_t *route,
        const cq_request_fields_t *ask)
{
    const char *team = NULL;
    if (ask->key != NULL) {
        team = cq_routes_team_by_key(relay->routes, ask->key);
    }
    if (team == NULL &&
        (route->open || g_hash_table_size(relay->routes->team_by_key) == 0)) {
        return "";
    }
    return team;
}

static void
admit(cq_relay_t *relay, cq_exchange_t *exchange,
      const cq_request_fields_t *ask, const cq_route_t *route,
      const char *team)
{
    gint64 now_us = cq_app_now_us(relay->app);
    request_t *request_entry = g_new0(request_t, 1);
    request_entry->id = cq_app_request_id(relay->app);
    request_entry->exchange = exchange;
    request_entry->attempt_id = g_strdup(ask->attempt_id);
    request_entry->last_event = -1;
    g_strlcpy(request_entry->team, team, sizeof request_entry->team);
    gint64 timeout_us = route->timeout_us;
    if (ask->time_left_us > 0) {
        timeout_us = MIN(timeout_us, ask->time_left_us);
    }
    request_entry->deadline_us = now_us + timeout_us;
    cq_exchange_set_owner(exchange, request_entry);
    g_hash_table_insert(relay->requests, &request_entry->id, request_entry);
    const char *service = cq_route_pick(route, g_rand_double(relay->rand));
    cq_app_log(relay->app, "asked",
               "request=%016" G_GINT64_MODIFIER "x attempt=%s team=%s "
               "service=%s tokens=%" G_GINT64_FORMAT
               " left_ms=%" G_GINT64_FORMAT " config=%" G_GUINT64_FORMAT,
               request_entry->id,
               ask->attempt_id != NULL ? ask->attempt_id : "-", team, service,
               ask->prompt_tokens, timeout_us / CQ_MS_US,
               relay->routes->version);
    cq_event_t event = {
        .kind = CQ_EV_REQUEST,
        .request = {.id = request_entry->id,
                    .service = service,
                    .team = request_entry->team,
                    .model = "",
                    .repeatable = route->repeat != CQ_REPEAT_NEVER,
                    .prompt_tokens = ask->prompt_tokens,
                    .output_tokens = ask->answer_tokens,
                    .timeout_us = timeout_us,
                    .aim_us = route->aim_us,
                    .gap_us = route->gap_us,
                    .attempts_max = route->attempts_max,
                    .resumable = route->repeat == CQ_REPEAT_RESUME},
    };
    cq_app_post(relay->app, &event);
}

static void
on_request(cq_exchange_t *exchange, void *data)
{
    cq_relay_t *relay = data;
    const cq_h1_head_t *head = cq_exchange_head(exchange);
    cq_request_fields_t ask = cq_headers_parse_request(head);
    if (relay->routes == NULL) {
        reject_request(relay, exchange, 503, "no_configuration",
                       "send it again after retry_after_ms");
        return;
    }
    if (cq_h1_count_fields(head, "Host") != 1) {
        reject_request(relay, exchange, 400, "bad_host",
                       "send one Host field");
        return;
    }
    const cq_route_t *route =
        cq_routes_find(relay->routes, ask.host, head->target);
    if (route == NULL || route->targets->len == 0) {
        reject_request(relay, exchange, 404, "unknown_route",
                       "use a host and path that the configuration has");
        return;
    }
    const char *team = team_of(relay, route, &ask);
    if (team == NULL) {
        reject_request(relay, exchange, 401, "unknown_key",
                       "send a key that a team holds");
        return;
    }
    admit(relay, exchange, &ask, route, team);
}

static void
on_caller_gone(cq_exchange_t *exchange, void *data)
{
    cq_relay_t *relay = data;
    request_t *request_entry = cq_exchange_owner(exchange);
    if (request_entry == NULL) {
        return;
    }
    request_entry->exchange = NULL;
    cq_event_t event = {.kind = CQ_EV_HANGUP};
    event.attempt.request = request_entry->id;
    cq_app_post(relay->app, &event);
}

static void
on_writable(cq_exchange_t *exchange, void *data)
{
    cq_relay_t *relay = data;
    request_t *request_entry = cq_exchange_owner(exchange);
    if (request_entry != NULL && request_entry->reading_paused) {
        request_entry->reading_paused = FALSE;
        cq_outbound_pause(relay->outbound, request_entry->id, FALSE);
    }
}

static void
on_event(const cq_event_t *event, void *data)
{
    cq_relay_t *relay = data;
    cq_app_post(relay->app, event);
}

static gboolean
on_timeout_check(gpointer data)
{
    cq_relay_t *relay = data;
    cq_inbound_check_timeouts(relay->inbound);
    cq_outbound_close_expired(relay->outbound);
    return G_SOURCE_CONTINUE;
}

cq_relay_t *
cq_relay_new(cq_app_t *app)
{
    cq_relay_t *relay = g_new0(cq_relay_t, 1);
    relay->app = app;
    cq_inbound_ops_t in = {
        .request_complete = on_request,
        .caller_gone = on_caller_gone,
        .writable = on_writable,
        .data = relay,
    };
    cq_outbound_ops_t out = {.post = on_event, .data = relay};
    relay->inbound = cq_inbound_new(&in);
    relay->outbound = cq_outbound_new(&out);
    cq_reservations_ops_t reservations = {.post = on_event, .data = relay};
    relay->reservations = cq_reservations_new(&reservations);
    relay->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
    relay->rand = g_rand_new();
    relay->timeout_timer =
        g_timeout_add(TIMEOUT_CHECK_MS, on_timeout_check, relay);
    return relay;
}

gboolean
cq_relay_listen(cq_relay_t *relay, const char *addr, cq_error_t *error)
{
    return cq_inbound_listen(relay->inbound, addr, error);
}

void
cq_relay_free(cq_relay_t *relay)
{
    g_source_remove(relay->timeout_timer);
    cq_inbound_free(relay->inbound);
    cq_outbound_free(relay->outbound);
    cq_reservations_free(relay->reservations);
    g_hash_table_unref(relay->requests);
    g_rand_free(relay->rand);
    g_free(relay);
}

void
cq_relay_set_routes(cq_relay_t *relay, const cq_routes_t *routes)
{
    relay->routes = routes;
    cq_inbound_set_limits(relay->inbound, routes);
}

static void
format_helpers(const cq_relay_t *relay, const cq_ac_send_t *send, char *to)
{
    to[0] = '\0';
    for (guint i = 1; i < send->group_len; i++) {
        cq_upstream_view_t view;
        if (cq_core_upstream(cq_app_core(relay->app), send->group[i], &view)) {
            if (to[0] != '\0') {
                g_strlcat(to, ",", HELPERS_BYTES);
            }
            g_strlcat(to, view.addr, HELPERS_BYTES);
            const char *reservation_id = cq_reservations_id(
                relay->reservations, send->request, send->group[i]);
            if (reservation_id != NULL) {
                g_strlcat(to, "/", HELPERS_BYTES);
                g_strlcat(to, reservation_id, HELPERS_BYTES);
            }
        }
    }
}

void
cq_relay_send(cq_relay_t *relay, const cq_ac_send_t *send)
{
    request_t *request_entry = find(relay, send->request);
    cq_upstream_view_t view;
    if (request_entry == NULL || request_entry->exchange == NULL ||
        !cq_core_upstream(cq_app_core(relay->app), send->upstream, &view)) {
        return;
    }
    char helpers[HELPERS_BYTES];
    char last_event[32];
    format_helpers(relay, send, helpers);
    g_snprintf(last_event, sizeof last_event, "%" G_GINT64_FORMAT,
               request_entry->last_event);
    const cq_h1_head_t *head = cq_exchange_head(request_entry->exchange);
    const GByteArray *body = cq_exchange_body(request_entry->exchange);
    cq_forwarded_request_t forward = {
        .head = head,
        .body_len = body->len,
        .upstream = view.name,
        .team = request_entry->team,
        .time_left_us = request_entry->deadline_us - cq_app_now_us(relay->app),
        .last_event = request_entry->last_event >= 0 ? last_event : NULL,
        .helpers = helpers[0] != '\0' ? helpers : NULL,
    };
    cq_app_log(relay->app, "sent",
               "request=%016" G_GINT64_MODIFIER "x try=%u upstream=%s "
               "addr=%s left_ms=%" G_GINT64_FORMAT " helpers=%s",
               send->request, send->attempt, view.name, view.addr,
               forward.time_left_us / CQ_MS_US, helpers);
    GString *out = g_string_new("");
    cq_headers_append_request(out, &forward);
    cq_outbound_call_t call = {
        .request = send->request,
        .attempt = send->attempt,
        .upstream = send->upstream,
        .addr = view.addr,
        .incarnation = view.incarnation,
        .fresh = send->fresh,
        .attempt_id = request_entry->attempt_id,
        .method = head->method,
        .head = out,
        .body = body,
        .last_event = request_entry->last_event,
    };
    cq_outbound_send(relay->outbound, &call);
    g_string_free(out, TRUE);
}

void
cq_relay_stop(cq_relay_t *relay, const cq_ac_attempt_t *attempt)
{
    cq_outbound_stop(relay->outbound, attempt->request, attempt->attempt);
}

/* Forwards the stream events received so far. The head comes from the first
 * upstream, also when a later attempt resumes the stream. Reading from the
 * upstream is paused while the caller has more than CQ_CALLER_BUFFER_BYTES_MAX
 * to take. */
static void
forward_events(cq_relay_t *relay, request_t *request_entry,
               const cq_outbound_answer_t *answer)
{
    if (!request_entry->response_started) {
        request_entry->response_started = TRUE;
        cq_exchange_begin(request_entry->exchange, answer->head);
    }
    gsize unsent = cq_exchange_write(request_entry->exchange,
                                     answer->body->data, answer->body->len);
    g_byte_array_set_size(answer->body, 0);
    request_entry->last_event = answer->last_event;
    if (unsent > CQ_CALLER_BUFFER_BYTES_MAX) {
        request_entry->reading_paused = TRUE;
        cq_outbound_pause(relay->outbound, request_entry->id, TRUE);
    }
}

void
cq_relay_reservation(cq_relay_t *relay, cq_action_kind_t kind,
                     const cq_ac_memory_t *order)
{
    cq_upstream_view_t view;
    if (kind == CQ_AC_RELEASE) {
        cq_reservations_release(relay->reservations, order);
    }
    else if (cq_core_upstream(cq_app_core(relay->app), order->upstream,
                              &view)) {
        cq_reservations_add(relay->reservations, order, &view);
    }
}

void
cq_relay_forward(cq_relay_t *relay, const cq_ac_attempt_t *attempt)
{
    request_t *request_entry = find(relay, attempt->request);
    cq_outbound_answer_t answer;
    if (request_entry != NULL && request_entry->exchange != NULL &&
        cq_outbound_answer(relay->outbound, attempt->request, &answer) &&
        answer.head != NULL && answer.body->len > 0) {
        forward_events(relay, request_entry, &answer);
    }
}

/* Clients take 503 and 429 to mean that the request did not run. The status
 * is 502 instead if it may have run. */
static int
status_for_client(const cq_ac_answer_t *answer)
{
    gboolean claims_not_run = answer->status == 503 || answer->status == 429;
    return claims_not_run && answer->ran != CQ_RAN_NO ? 502 : answer->status;
}

static void
respond(cq_relay_t *relay, request_t *request_entry,
        const cq_ac_answer_t *answer)
{
    cq_outbound_answer_t received;
    gboolean complete =
        answer->outcome == CQ_OUT_DONE &&
        cq_outbound_answer(relay->outbound, answer->request, &received) &&
        received.head != NULL;
    if (request_entry->response_started && complete) {
        cq_exchange_end(request_entry->exchange);
    }
    else if (request_entry->response_started) {
        cq_exchange_abort(request_entry->exchange);
    }
    else if (complete) {
        cq_exchange_answer(request_entry->exchange, received.head,
                           received.body->data, received.body->len);
    }
    else {
        refuse(request_entry->exchange, status_for_client(answer),
               cq_outcome_code(answer->outcome), answer->ran,
               answer->retry_after_us, cq_outcome_remedy(answer->outcome));
    }
}

void
cq_relay_answer(cq_relay_t *relay, const cq_ac_answer_t *answer)
{
    request_t *request_entry = find(relay, answer->request);
    if (request_entry == NULL) {
        return;
    }
    if (request_entry->exchange != NULL) {
        cq_exchange_set_owner(request_entry->exchange, NULL);
        respond(relay, request_entry, answer);
    }
    cq_outbound_remove(relay->outbound, answer->request);
    g_hash_table_remove(relay->requests, &answer->request);
}

void
cq_relay_drain(cq_relay_t *relay)
{
    cq_inbound_drain(relay->inbound);
}

void
cq_relay_close_idle_callers(cq_relay_t *relay)
{
    cq_inbound_close_idle(relay->inbound);
}

guint
cq_relay_unfinished(const cq_relay_t *relay)
{
    return cq_inbound_unanswered(relay->inbound) +
           cq_reservations_count(relay->reservations);
}

void
cq_relay_close_idle_upstreams(cq_relay_t *relay)
{
    cq_outbound_close_idle(relay->outbound);
}
