#include "router/relay.h"

#include <string.h>

#include "platform/headers.h"
#include "router/inbound.h"
#include "router/memory.h"
#include "router/outbound.h"
#include "router/refusal.h"

/* How often connections are checked for their time limits, which are seconds
 * long. */
#define CHECK_MS 200
/* Addresses and tickets of the largest group. */
#define HELPERS_BYTES (CQ_GROUP_MAX * (CQ_ADDR_BYTES + CQ_NAME_BYTES))

struct cq_relay {
    cq_app_t *app;
    cq_inbound_t *inbound;
    cq_outbound_t *outbound;
    cq_memory_t *memory;
    const cq_routes_t *routes;
    GHashTable *passages;
    GRand *rand;
    guint timer;
};

/* A request between its caller and its upstreams. */
typedef struct {
    guint64 id;
    cq_exchange_t *exchange;
    char *attempt_id;
    char team[CQ_NAME_BYTES];
    gint64 deadline_us;
    gint64 last_event;
    gboolean begun;
    gboolean held;
} passage_t;

static void
free_passage(gpointer data)
{
    passage_t *passage = data;
    g_free(passage->attempt_id);
    g_free(passage);
}

static passage_t *
find(const cq_relay_t *relay, guint64 id)
{
    return g_hash_table_lookup(relay->passages, &id);
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

/* Refuses what can't be routed; it never reaches the core. */
static void
turn_away(cq_relay_t *relay, cq_exchange_t *exchange, int status,
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

/* Return: the team that is charged, "" on an open route, or NULL. */
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
    passage_t *passage = g_new0(passage_t, 1);
    passage->id = cq_app_request_id(relay->app);
    passage->exchange = exchange;
    passage->attempt_id = g_strdup(ask->attempt_id);
    passage->last_event = -1;
    g_strlcpy(passage->team, team, sizeof passage->team);
    gint64 timeout_us = route->timeout_us;
    if (ask->time_left_us > 0) {
        timeout_us = MIN(timeout_us, ask->time_left_us);
    }
    passage->deadline_us = now_us + timeout_us;
    cq_exchange_set(exchange, passage);
    g_hash_table_insert(relay->passages, &passage->id, passage);
    const char *service = cq_route_pick(route, g_rand_double(relay->rand));
    cq_app_log(relay->app, "asked",
               "request=%016" G_GINT64_MODIFIER "x attempt=%s team=%s "
               "service=%s tokens=%" G_GINT64_FORMAT
               " left_ms=%" G_GINT64_FORMAT " config=%" G_GUINT64_FORMAT,
               passage->id, ask->attempt_id != NULL ? ask->attempt_id : "-",
               team, service, ask->prompt_tokens, timeout_us / CQ_MS_US,
               relay->routes->version);
    cq_event_t event = {
        .kind = CQ_EV_REQUEST,
        .request = {.id = passage->id,
                    .service = service,
                    .team = passage->team,
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
on_asked(cq_exchange_t *exchange, void *data)
{
    cq_relay_t *relay = data;
    const cq_h1_head_t *head = cq_exchange_head(exchange);
    cq_request_fields_t ask = cq_headers_parse_request(head);
    if (relay->routes == NULL) {
        turn_away(relay, exchange, 503, "no_configuration",
                  "send it again after retry_after_ms");
        return;
    }
    if (cq_h1_count_fields(head, "Host") != 1) {
        turn_away(relay, exchange, 400, "bad_host", "send one Host field");
        return;
    }
    const cq_route_t *route =
        cq_routes_find(relay->routes, ask.host, head->target);
    if (route == NULL || route->targets->len == 0) {
        turn_away(relay, exchange, 404, "unknown_route",
                  "use a host and path that the configuration has");
        return;
    }
    const char *team = team_of(relay, route, &ask);
    if (team == NULL) {
        turn_away(relay, exchange, 401, "unknown_key",
                  "send a key that a team holds");
        return;
    }
    admit(relay, exchange, &ask, route, team);
}

static void
on_left(cq_exchange_t *exchange, void *data)
{
    cq_relay_t *relay = data;
    passage_t *passage = cq_exchange_owner(exchange);
    if (passage == NULL) {
        return;
    }
    passage->exchange = NULL;
    cq_event_t event = {.kind = CQ_EV_HANGUP};
    event.attempt.request = passage->id;
    cq_app_post(relay->app, &event);
}

static void
on_drained(cq_exchange_t *exchange, void *data)
{
    cq_relay_t *relay = data;
    passage_t *passage = cq_exchange_owner(exchange);
    if (passage != NULL && passage->held) {
        passage->held = FALSE;
        cq_outbound_hold(relay->outbound, passage->id, FALSE);
    }
}

static void
on_news(const cq_event_t *event, void *data)
{
    cq_relay_t *relay = data;
    cq_app_post(relay->app, event);
}

static gboolean
on_check(gpointer data)
{
    cq_relay_t *relay = data;
    cq_inbound_check(relay->inbound);
    cq_outbound_check(relay->outbound);
    return G_SOURCE_CONTINUE;
}

cq_relay_t *
cq_relay_new(cq_app_t *app)
{
    cq_relay_t *relay = g_new0(cq_relay_t, 1);
    relay->app = app;
    cq_inbound_ops_t in = {
        .asked = on_asked,
        .left = on_left,
        .drained = on_drained,
        .data = relay,
    };
    cq_outbound_ops_t out = {.post = on_news, .data = relay};
    relay->inbound = cq_inbound_new(&in);
    relay->outbound = cq_outbound_new(&out);
    cq_memory_ops_t memory = {.post = on_news, .data = relay};
    relay->memory = cq_memory_new(&memory);
    relay->passages =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_passage);
    relay->rand = g_rand_new();
    relay->timer = g_timeout_add(CHECK_MS, on_check, relay);
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
    g_source_remove(relay->timer);
    cq_inbound_free(relay->inbound);
    cq_outbound_free(relay->outbound);
    cq_memory_free(relay->memory);
    g_hash_table_unref(relay->passages);
    g_rand_free(relay->rand);
    g_free(relay);
}

void
cq_relay_routes(cq_relay_t *relay, const cq_routes_t *routes)
{
    relay->routes = routes;
    cq_inbound_limits(relay->inbound, routes);
}

static void
list_helpers(const cq_relay_t *relay, const cq_ac_send_t *send, char *to)
{
    to[0] = '\0';
    for (guint i = 1; i < send->group_len; i++) {
        cq_upstream_view_t view;
        if (cq_core_upstream(cq_app_core(relay->app), send->group[i], &view)) {
            if (to[0] != '\0') {
                g_strlcat(to, ",", HELPERS_BYTES);
            }
            g_strlcat(to, view.addr, HELPERS_BYTES);
            const char *ticket =
                cq_memory_ticket(relay->memory, send->request, send->group[i]);
            if (ticket != NULL) {
                g_strlcat(to, "/", HELPERS_BYTES);
                g_strlcat(to, ticket, HELPERS_BYTES);
            }
        }
    }
}

void
cq_relay_send(cq_relay_t *relay, const cq_ac_send_t *send)
{
    passage_t *passage = find(relay, send->request);
    cq_upstream_view_t view;
    if (passage == NULL || passage->exchange == NULL ||
        !cq_core_upstream(cq_app_core(relay->app), send->upstream, &view)) {
        return;
    }
    char helpers[HELPERS_BYTES];
    char last_event[32];
    list_helpers(relay, send, helpers);
    g_snprintf(last_event, sizeof last_event, "%" G_GINT64_FORMAT,
               passage->last_event);
    const cq_h1_head_t *head = cq_exchange_head(passage->exchange);
    const GByteArray *body = cq_exchange_body(passage->exchange);
    cq_forwarded_request_t forward = {
        .head = head,
        .body_len = body->len,
        .upstream = view.name,
        .team = passage->team,
        .time_left_us = passage->deadline_us - cq_app_now_us(relay->app),
        .last_event = passage->last_event >= 0 ? last_event : NULL,
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
        .attempt_id = passage->attempt_id,
        .method = head->method,
        .head = out,
        .body = body,
        .last_event = passage->last_event,
    };
    cq_outbound_send(relay->outbound, &call);
    g_string_free(out, TRUE);
}

void
cq_relay_stop(cq_relay_t *relay, const cq_ac_attempt_t *attempt)
{
    cq_outbound_stop(relay->outbound, attempt->request, attempt->attempt);
}

/* Passes on the events received so far. A stream keeps the head of its first
 * upstream. */
static void
pass_events(cq_relay_t *relay, passage_t *passage,
            const cq_outbound_answer_t *answer)
{
    if (!passage->begun) {
        passage->begun = TRUE;
        cq_exchange_begin(passage->exchange, answer->head);
    }
    gsize waiting = cq_exchange_write(passage->exchange, answer->body->data,
                                      answer->body->len);
    g_byte_array_set_size(answer->body, 0);
    passage->last_event = answer->last_event;
    if (waiting > CQ_CALLER_BUFFER_BYTES_MAX) {
        passage->held = TRUE;
        cq_outbound_hold(relay->outbound, passage->id, TRUE);
    }
}

void
cq_relay_memory(cq_relay_t *relay, cq_action_kind_t kind,
                const cq_ac_memory_t *order)
{
    cq_upstream_view_t view;
    if (kind == CQ_AC_RELEASE) {
        cq_memory_release(relay->memory, order);
    }
    else if (cq_core_upstream(cq_app_core(relay->app), order->upstream,
                              &view)) {
        cq_memory_reserve(relay->memory, order, &view);
    }
}

void
cq_relay_forward(cq_relay_t *relay, const cq_ac_attempt_t *attempt)
{
    passage_t *passage = find(relay, attempt->request);
    cq_outbound_answer_t answer;
    if (passage != NULL && passage->exchange != NULL &&
        cq_outbound_answer(relay->outbound, attempt->request, &answer) &&
        answer.head != NULL && answer.body->len > 0) {
        pass_events(relay, passage, &answer);
    }
}

/* 503 and its like promise that nothing ran; without that certainty the
 * answer is 502. */
static int
truthful(const cq_ac_answer_t *answer)
{
    gboolean promises = answer->status == 503 || answer->status == 429;
    return promises && answer->ran != CQ_RAN_NO ? 502 : answer->status;
}

static void
finish(cq_relay_t *relay, passage_t *passage, const cq_ac_answer_t *answer)
{
    cq_outbound_answer_t got;
    gboolean whole =
        answer->outcome == CQ_OUT_DONE &&
        cq_outbound_answer(relay->outbound, answer->request, &got) &&
        got.head != NULL;
    if (passage->begun && whole) {
        cq_exchange_end(passage->exchange);
    }
    else if (passage->begun) {
        cq_exchange_cut(passage->exchange);
    }
    else if (whole) {
        cq_exchange_answer(passage->exchange, got.head, got.body->data,
                           got.body->len);
    }
    else {
        refuse(passage->exchange, truthful(answer),
               cq_outcome_code(answer->outcome), answer->ran,
               answer->retry_after_us, cq_outcome_remedy(answer->outcome));
    }
}

void
cq_relay_answer(cq_relay_t *relay, const cq_ac_answer_t *answer)
{
    passage_t *passage = find(relay, answer->request);
    if (passage == NULL) {
        return;
    }
    if (passage->exchange != NULL) {
        cq_exchange_set(passage->exchange, NULL);
        finish(relay, passage, answer);
    }
    cq_outbound_drop(relay->outbound, answer->request);
    g_hash_table_remove(relay->passages, &answer->request);
}

void
cq_relay_drain(cq_relay_t *relay)
{
    cq_inbound_leave(relay->inbound);
}

void
cq_relay_close_idle(cq_relay_t *relay)
{
    cq_inbound_close_idle(relay->inbound);
}

guint
cq_relay_open(const cq_relay_t *relay)
{
    return cq_inbound_busy(relay->inbound) + cq_memory_open(relay->memory);
}

void
cq_relay_distrust(cq_relay_t *relay)
{
    cq_outbound_forget_idle(relay->outbound);
}
