#include "router/relay.h"

#include <string.h>

#include "platform/headers.h"
#include "router/inbound.h"
#include "router/prompt.h"
#include "router/reservations.h"
#include "router/outbound.h"
#include "router/refusal.h"
#include "router/shortage.h"

/* Interval between checks of connection timeouts, which are seconds long. */
#define TIMEOUT_CHECK_MS 200
/* Room for the addresses and reservation ids of the largest group. */
#define HELPERS_BYTES (CQ_PREFILL_GROUP_MAX * (CQ_ADDR_BYTES + CQ_NAME_BYTES))

/* Room for the id of a stream event. */
#define LAST_EVENT_BYTES 32

struct cq_relay {
    cq_app_t *app;
    cq_inbound_t *inbound;
    cq_outbound_t *outbound;
    cq_reservations_t *reservations;
    const cq_routes_t *routes;
    GHashTable *requests;
    GRand *rand;
    guint timeout_timer;
    cq_shortage_t shortage;
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
} open_request_t;

static void
free_request(gpointer data)
{
    open_request_t *open_request = data;
    g_free(open_request->attempt_id);
    g_free(open_request);
}

static open_request_t *
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

/* Answers a request that cannot be routed and is not posted to the core. */
static void
reject_until(cq_relay_t *relay, cq_exchange_t *exchange, int status,
             const char *code, gint64 retry_after_us, const char *remedy)
{
    cq_request_fields_t fields =
        cq_headers_parse_request(cq_exchange_head(exchange));
    cq_app_count(relay->app, CQ_N_BAD_REQUESTS, 1);
    cq_app_log(relay->app, "turned_away",
               "attempt=%s status=%d code=%s config=%" G_GUINT64_FORMAT,
               fields.attempt_id != NULL ? fields.attempt_id : "-", status,
               code, relay->routes != NULL ? relay->routes->version : 0);
    refuse(exchange, status, code, CQ_RAN_NO, retry_after_us, remedy);
}

static void
reject_request(cq_relay_t *relay, cq_exchange_t *exchange, int status,
               const char *code, const char *remedy)
{
    gint64 retry_after_us = status == 503 ? CQ_RETRY_AFTER_MIN_US : 0;
    reject_until(relay, exchange, status, code, retry_after_us, remedy);
}

/* Return: after how long there is room for a body of @len bytes: when a
 * request with such a body is over at the latest. */
static gint64
room_after(const cq_relay_t *relay, gsize len)
{
    gint64 until_us = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, relay->requests);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const open_request_t *other = value;
        if (other->exchange != NULL &&
            cq_exchange_body(other->exchange)->len >= len &&
            (until_us == 0 || other->deadline_us < until_us)) {
            until_us = other->deadline_us;
        }
    }
    gint64 left_us = until_us - cq_app_now_us(relay->app);
    return MAX(left_us, CQ_RETRY_AFTER_MIN_US);
}

/* Return: the team of the request's key. Without a known key: "" if none is
 * needed, as the route is open or no keys are configured, else NULL. */
static const char *
team_of(const cq_relay_t *relay, const cq_route_t *route,
        const cq_request_fields_t *fields)
{
    const char *team = NULL;
    if (fields->key != NULL) {
        team = cq_routes_team_by_key(relay->routes, fields->key);
    }
    if (team == NULL && (route->is_public || !relay->routes->needs_key)) {
        return "";
    }
    return team;
}

static guint64
fingerprint_of(const cq_relay_t *relay, cq_exchange_t *exchange,
               const cq_request_fields_t *fields, const char *team)
{
    const cq_h1_head_t *head = cq_exchange_head(exchange);
    const GByteArray *body = cq_exchange_body(exchange);
    cq_request_content_t content = {
        .team = team,
        .method = head->method,
        .host = fields->host,
        .target = head->target,
        .body = body->data,
        .body_len = body->len,
    };
    return cq_ident_fingerprint(cq_app_settings(relay->app)->peer_key,
                                &content);
}

static void
admit(cq_relay_t *relay, cq_exchange_t *exchange,
      const cq_request_fields_t *fields, const cq_route_t *route,
      const char *team)
{
    gint64 now_us = cq_app_now_us(relay->app);
    open_request_t *open_request = g_new0(open_request_t, 1);
    open_request->id = cq_app_request_id(relay->app);
    open_request->exchange = exchange;
    open_request->attempt_id = g_strdup(fields->attempt_id);
    open_request->last_event = -1;
    g_strlcpy(open_request->team, team, sizeof open_request->team);
    gint64 timeout_us = route->timeout_us;
    if (fields->time_left_us > 0) {
        timeout_us = MIN(timeout_us, fields->time_left_us);
    }
    open_request->deadline_us = now_us + timeout_us;
    cq_exchange_set_owner(exchange, open_request);
    g_hash_table_insert(relay->requests, &open_request->id, open_request);
    const char *service = cq_route_pick(route, g_rand_double(relay->rand));
    guint64 fingerprint = fingerprint_of(relay, exchange, fields, team);
    char parts[CQ_PROMPT_PARTS_BYTES];
    cq_prompt_format_parts(&fields->parts, parts, sizeof parts);
    cq_app_log(relay->app, "asked",
               "request=%016" G_GINT64_MODIFIER "x attempt=%s team=%s "
               "service=%s tokens=%" G_GINT64_FORMAT
               " left_ms=%" G_GINT64_FORMAT " config=%" G_GUINT64_FORMAT
               " parts=%s fingerprint=%016" G_GINT64_MODIFIER "x",
               open_request->id,
               fields->attempt_id != NULL ? fields->attempt_id : "-", team,
               service, fields->prompt_tokens, timeout_us / CQ_MS_US,
               relay->routes->version, parts, fingerprint);
    cq_event_t event = {
        .kind = CQ_EV_REQUEST,
        .request = {.id = open_request->id,
                    .service = service,
                    .team = open_request->team,
                    .model = "",
                    .repeatable = route->retry_policy != CQ_RETRY_NEVER,
                    .prompt_tokens = fields->prompt_tokens,
                    .output_tokens = fields->answer_tokens,
                    .timeout_us = timeout_us,
                    .target_us = route->target_us,
                    .gap_max_us = route->gap_max_us,
                    .attempts_max = route->attempts_max,
                    .resumable = route->retry_policy == CQ_RETRY_RESUME,
                    .parts = fields->parts,
                    .fingerprint = fingerprint,
                    .kind = route->id,
                    .handed = fields->handed},
    };
    cq_app_post(relay->app, &event);
}

static void
on_request(cq_exchange_t *exchange, void *data)
{
    cq_relay_t *relay = data;
    const cq_h1_head_t *head = cq_exchange_head(exchange);
    cq_request_fields_t fields = cq_headers_parse_request(head);
    gsize dropped = cq_exchange_dropped(exchange);
    if (dropped > 0) {
        reject_until(relay, exchange, 503, "bodies_full",
                     room_after(relay, dropped),
                     "send it again after retry_after_ms");
        return;
    }
    if (relay->routes == NULL) {
        reject_request(relay, exchange, 503, "no_configuration",
                       "send it again after retry_after_ms");
        return;
    }
    if (cq_h1_count_fields(head, "Host") != 1) {
        cq_exchange_close_after(exchange);
        reject_request(relay, exchange, 400, "bad_host",
                       "send one Host field");
        return;
    }
    const cq_route_t *route =
        cq_routes_find(relay->routes, fields.host, head->target);
    if (route == NULL || route->targets->len == 0) {
        reject_request(relay, exchange, 404, "unknown_route",
                       "use a host and path that the configuration has");
        return;
    }
    const char *team = team_of(relay, route, &fields);
    if (team == NULL) {
        reject_request(relay, exchange, 401, "unknown_key",
                       "send a key that a team holds");
        return;
    }
    admit(relay, exchange, &fields, route, team);
}

static void
on_caller_gone(cq_exchange_t *exchange, void *data)
{
    cq_relay_t *relay = data;
    open_request_t *open_request = cq_exchange_owner(exchange);
    if (open_request == NULL) {
        return;
    }
    open_request->exchange = NULL;
    cq_event_t event = {.kind = CQ_EV_HANGUP};
    event.attempt.request = open_request->id;
    cq_app_post(relay->app, &event);
}

static void
on_writable(cq_exchange_t *exchange, void *data)
{
    cq_relay_t *relay = data;
    open_request_t *open_request = cq_exchange_owner(exchange);
    if (open_request != NULL && open_request->reading_paused) {
        open_request->reading_paused = FALSE;
        cq_outbound_pause(relay->outbound, open_request->id, FALSE);
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
    cq_shortage_check(&relay->shortage, relay->app,
                      cq_inbound_refused(relay->inbound));
    cq_inbound_check_timeouts(relay->inbound);
    cq_outbound_close_expired(relay->outbound);
    return G_SOURCE_CONTINUE;
}

cq_relay_t *
cq_relay_new(cq_app_t *app)
{
    cq_relay_t *relay = g_new0(cq_relay_t, 1);
    relay->app = app;
    cq_inbound_ops_t inbound_ops = {
        .request_complete = on_request,
        .caller_gone = on_caller_gone,
        .writable = on_writable,
        .data = relay,
    };
    cq_outbound_ops_t outbound_ops = {.post = on_event, .data = relay};
    relay->inbound = cq_inbound_new(&inbound_ops);
    relay->outbound = cq_outbound_new(&outbound_ops);
    cq_reservations_ops_t reservations_ops = {.post = on_event, .data = relay};
    relay->reservations = cq_reservations_new(&reservations_ops);
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

/* Fills what a request has in common towards an upstream and towards a peer;
 * @last_event gets the text that @forward refers to. */
static void
init_forward(const cq_relay_t *relay, const open_request_t *open_request,
             char last_event[LAST_EVENT_BYTES],
             cq_forwarded_request_t *forward)
{
    g_snprintf(last_event, LAST_EVENT_BYTES, "%" G_GINT64_FORMAT,
               open_request->last_event);
    *forward = (cq_forwarded_request_t){
        .head = cq_exchange_head(open_request->exchange),
        .body_len = cq_exchange_body(open_request->exchange)->len,
        .time_left_us = open_request->deadline_us - cq_app_now_us(relay->app),
        .last_event = open_request->last_event >= 0 ? last_event : NULL,
    };
}

/* Starts @call, whose head is @out; takes @out. */
static void
start_call(cq_relay_t *relay, const open_request_t *open_request,
           cq_outbound_call_t *call, GString *out)
{
    call->request = open_request->id;
    call->attempt_id = open_request->attempt_id;
    call->method = cq_exchange_head(open_request->exchange)->method;
    call->head = out;
    call->body = cq_exchange_body(open_request->exchange);
    call->last_event = open_request->last_event;
    cq_outbound_send(relay->outbound, call);
    g_string_free(out, TRUE);
}

void
cq_relay_send(cq_relay_t *relay, const cq_ac_send_t *send)
{
    open_request_t *open_request = find(relay, send->request);
    cq_upstream_view_t view;
    if (open_request == NULL || open_request->exchange == NULL ||
        !cq_core_upstream(cq_app_core(relay->app), send->upstream, &view)) {
        return;
    }
    char helpers[HELPERS_BYTES];
    char last_event[LAST_EVENT_BYTES];
    cq_forwarded_request_t forward;
    format_helpers(relay, send, helpers);
    init_forward(relay, open_request, last_event, &forward);
    forward.upstream = view.name;
    forward.team = open_request->team;
    forward.helpers = helpers[0] != '\0' ? helpers : NULL;
    cq_app_log(relay->app, "sent",
               "request=%016" G_GINT64_MODIFIER "x try=%u upstream=%s "
               "addr=%s left_ms=%" G_GINT64_FORMAT " helpers=%s",
               send->request, send->attempt, view.name, view.addr,
               forward.time_left_us / CQ_MS_US, helpers);
    GString *out = g_string_new("");
    cq_headers_append_request(out, &forward);
    cq_outbound_call_t call = {
        .attempt = send->attempt,
        .upstream = send->upstream,
        .addr = view.addr,
        .incarnation = view.incarnation,
        .fresh = send->fresh,
        .conditional = cq_headers_has_condition(forward.head),
    };
    start_call(relay, open_request, &call, out);
}

void
cq_relay_hand(cq_relay_t *relay, const cq_ac_hand_t *hand)
{
    open_request_t *open_request = find(relay, hand->request);
    if (open_request == NULL || open_request->exchange == NULL) {
        return;
    }
    char last_event[LAST_EVENT_BYTES];
    cq_forwarded_request_t forward;
    init_forward(relay, open_request, last_event, &forward);
    cq_app_log(relay->app, "sent_on",
               "request=%016" G_GINT64_MODIFIER "x try=%u addr=%s "
               "left_ms=%" G_GINT64_FORMAT,
               hand->request, hand->attempt, hand->addr,
               forward.time_left_us / CQ_MS_US);
    GString *out = g_string_new("");
    cq_headers_append_handed(out, &forward);
    cq_outbound_call_t call = {
        .attempt = hand->attempt,
        .upstream = hand->peer,
        .to_peer = TRUE,
        .addr = hand->addr,
        .incarnation = hand->incarnation,
        .fresh = hand->fresh,
    };
    start_call(relay, open_request, &call, out);
}

void
cq_relay_stop(cq_relay_t *relay, const cq_ac_attempt_t *attempt)
{
    cq_outbound_stop(relay->outbound, attempt->request, attempt->attempt);
}

/* Forwards the stream events received so far. The head that the caller gets is
 * that of the first attempt with events, even if a later one resumes the
 * stream. If more than CQ_CALLER_BUFFER_BYTES_MAX bytes are then unsent,
 * reading from the upstream is paused until the caller has taken them. */
static void
forward_events(cq_relay_t *relay, open_request_t *open_request,
               const cq_outbound_answer_t *answer)
{
    if (!open_request->response_started) {
        open_request->response_started = TRUE;
        cq_exchange_begin(open_request->exchange, answer->head);
    }
    gsize unsent = cq_exchange_write(open_request->exchange,
                                     answer->body->data, answer->body->len);
    g_byte_array_set_size(answer->body, 0);
    open_request->last_event = answer->last_event;
    if (unsent > CQ_CALLER_BUFFER_BYTES_MAX) {
        open_request->reading_paused = TRUE;
        cq_outbound_pause(relay->outbound, open_request->id, TRUE);
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
    else if (kind == CQ_AC_INSPECT) {
        cq_reservations_inspect(relay->reservations, order);
    }
    else if (cq_core_upstream(cq_app_core(relay->app), order->upstream,
                              &view)) {
        cq_reservations_add(relay->reservations, order, &view);
    }
}

void
cq_relay_forward(cq_relay_t *relay, const cq_ac_attempt_t *attempt)
{
    open_request_t *open_request = find(relay, attempt->request);
    cq_outbound_answer_t answer;
    if (open_request != NULL && open_request->exchange != NULL &&
        cq_outbound_answer(relay->outbound, attempt->request, attempt->attempt,
                           &answer) &&
        answer.head != NULL && answer.body->len > 0) {
        forward_events(relay, open_request, &answer);
    }
}

/* Callers take 503 and 429 to mean that the request did not run, so 502 is
 * sent instead if it may have run. */
static int
status_for_caller(const cq_ac_answer_t *answer)
{
    gboolean claims_not_run = answer->status == 503 || answer->status == 429;
    return claims_not_run && answer->ran != CQ_RAN_NO ? 502 : answer->status;
}

static void
respond(cq_relay_t *relay, open_request_t *open_request,
        const cq_ac_answer_t *answer)
{
    cq_outbound_answer_t received;
    gboolean complete = answer->outcome == CQ_OUTCOME_DONE &&
                        cq_outbound_answer(relay->outbound, answer->request,
                                           answer->attempt, &received) &&
                        received.head != NULL;
    if (open_request->response_started && complete) {
        cq_exchange_end(open_request->exchange);
    }
    else if (open_request->response_started) {
        cq_exchange_abort(open_request->exchange);
    }
    else if (complete) {
        cq_exchange_answer(open_request->exchange, received.head,
                           received.body->data, received.body->len);
    }
    else {
        refuse(open_request->exchange, status_for_caller(answer),
               cq_outcome_code(answer->outcome), answer->ran,
               answer->retry_after_us, cq_outcome_remedy(answer->outcome));
    }
}

void
cq_relay_answer(cq_relay_t *relay, const cq_ac_answer_t *answer)
{
    open_request_t *open_request = find(relay, answer->request);
    if (open_request == NULL) {
        return;
    }
    if (open_request->exchange != NULL) {
        cq_exchange_set_owner(open_request->exchange, NULL);
        respond(relay, open_request, answer);
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
cq_relay_stop_listening(cq_relay_t *relay)
{
    cq_inbound_stop_listening(relay->inbound);
}

void
cq_relay_close_idle_callers(cq_relay_t *relay)
{
    cq_inbound_close_idle(relay->inbound);
}

guint
cq_relay_unfinished(const cq_relay_t *relay)
{
    return cq_inbound_unfinished(relay->inbound) +
           cq_reservations_count(relay->reservations);
}

void
cq_relay_close_idle_upstreams(cq_relay_t *relay)
{
    cq_outbound_close_idle(relay->outbound);
}
