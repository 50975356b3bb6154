// Test fixture: a core with engines and plain upstreams, driven with events.
#ifndef COREFIXTURE_H
#define COREFIXTURE_H

#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <string>
#include <vector>

#include "base/ident.h"
#include "core/core.h"

namespace core_test {

constexpr gint64 kMs = 1000;
constexpr gint64 kSecond = 1000000;

inline cq_rules_t *
make_rules(const char *name, cq_service_kind_t kind)
{
    cq_team_rule_t team = {};
    g_strlcpy(team.name, "t", sizeof team.name);
    team.weight = 1;
    cq_rules_t *rules = cq_rules_new();
    g_strlcpy(rules->name, name, sizeof rules->name);
    rules->kind = kind;
    rules->version = 1;
    rules->speed = {16, 450000, 46, 925, 4.83, 0.00254, 3.906, 0.0000917, 100};
    rules->progress_timeout_us = 1200 * kMs;
    rules->connect_timeout_us = 300 * kMs;
    g_array_append_val(rules->teams, team);
    return rules;
}

// A core with engines e0, e1, ... of the BATCH service "m" and upstreams p0,
// ... of the plain service "p". Engines with an even number are in zone "a",
// the zone of the core; the others are in zone "b".
class CoreTest : public ::testing::Test {
  protected:
    void
    start_core(guint engines, guint plain = 0, guint hosts = 0)
    {
        cq_core_options_t options = {};
        options.host = "h0";
        options.zone = "a";
        options.incarnation = 1;
        options.seed = 7;
        options.finds_pace = finds_pace;
        core = cq_core_new(&options);
        cq_actions_init(&actions);
        rules[0] = make_rules("m", CQ_SERVICE_BATCH);
        rules[1] = make_rules("p", CQ_SERVICE_PLAIN);
        for (cq_rules_t *one : rules) {
            for (const char *name : more_teams) {
                cq_team_rule_t team = {};
                g_strlcpy(team.name, name, sizeof team.name);
                team.weight = 1;
                g_array_append_val(one->teams, team);
            }
            cq_event_t event = {};
            event.kind = CQ_EV_RULES;
            event.rules = one;
            step(event);
        }
        for (guint i = 0; i < engines; i++) {
            add_host_row("e" + std::to_string(i), "m", i % 2 == 0 ? "a" : "b");
        }
        for (guint i = 0; i < plain; i++) {
            add_host_row("p" + std::to_string(i), "p", "a");
        }
        for (guint i = 1; i <= hosts; i++) {
            add_host_row("h" + std::to_string(i), "", "b");
        }
        send_host_list();
    }
    void
    TearDown() override
    {
        cq_actions_clear(&actions);
        cq_core_free(core);
        for (cq_rules_t *one : rules) {
            cq_rules_unref(one);
        }
    }
    void
    add_host_row(const std::string &name, const char *service,
                 const char *zone)
    {
        cq_host_row_t row = {};
        g_strlcpy(row.name, name.c_str(), sizeof row.name);
        g_strlcpy(row.addr, (name + ":1").c_str(), sizeof row.addr);
        g_strlcpy(row.zone, zone, sizeof row.zone);
        g_strlcpy(row.service, service, sizeof row.service);
        row.incarnation = 1;
        rows.push_back(row);
    }
    void
    send_host_list(gint64 lapsed_until_us = 0)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_HOSTS;
        event.hosts.lapsed_until_us = lapsed_until_us;
        event.hosts.rows = rows.data();
        event.hosts.len = (guint)rows.size();
        step(event);
    }
    void
    step(const cq_event_t &event)
    {
        cq_actions_reset(&actions);
        cq_core_step(core, now_us, &event, &actions);
        for (guint i = 0; i < actions.items->len; i++) {
            all_actions.push_back(*cq_actions_at(&actions, i));
        }
        EXPECT_STREQ(cq_core_check(core, now_us), nullptr);
    }
    void
    advance(gint64 us)
    {
        for (gint64 until_us = now_us + us; now_us < until_us;) {
            now_us += 10 * kMs;
            cq_event_t event = {};
            event.kind = CQ_EV_TICK;
            step(event);
            for (guint64 id : streaming) {
                if (now_us / kMs % 50 == 0) {
                    attempt_event(id, CQ_EV_TOKENS);
                }
            }
        }
    }
    // From now on the upstream of the request sends a token every 50 ms.
    void
    start_stream(guint64 id)
    {
        attempt_event(id, CQ_EV_TOKENS);
        streaming.push_back(id);
    }
    guint64
    submit(gint64 tokens, gint64 target_us, gint64 gap_max_us,
           const char *service = "m", gboolean repeatable = TRUE)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_REQUEST;
        event.request.id =
            cq_ident_request(cq_ident_host("h0"), 1, ++request_serial);
        event.request.service = service;
        event.request.model = "";
        event.request.repeatable = repeatable;
        event.request.resumable = repeatable;
        event.request.prompt_tokens = tokens;
        event.request.output_tokens = 1500;
        event.request.timeout_us = timeout_us;
        event.request.target_us = target_us;
        event.request.gap_max_us = gap_max_us;
        event.request.attempts_max = attempts_max;
        event.request.team = team;
        for (guint64 part : parts) {
            event.request.parts.ids[event.request.parts.len++] = part;
        }
        event.request.fingerprint = fingerprint;
        event.request.handed = handed;
        event.request.kind = kind;
        step(event);
        return event.request.id;
    }
    guint64
    submit_short(gint64 tokens = 2000)
    {
        return submit(tokens, 300 * kMs, 200 * kMs);
    }
    guint64
    submit_long(gint64 tokens = 210000)
    {
        return submit(tokens, 3 * kSecond, 800 * kMs);
    }
    // The upstream starts again.
    void
    restart(guint64 upstream)
    {
        for (cq_host_row_t &row : rows) {
            row.incarnation += cq_ident_hash(row.name) == upstream;
        }
        send_host_list();
    }
    // The caller leaves.
    void
    hang_up(guint64 id)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_HANGUP;
        event.attempt.request = id;
        step(event);
    }
    // The last SEND action of a request, or nullptr.
    const cq_ac_send_t *
    last_send(guint64 request)
    {
        const cq_ac_send_t *last = nullptr;
        for (const cq_action_t &action : all_actions) {
            if (action.kind == CQ_AC_SEND && action.send.request == request) {
                last = &action.send;
            }
        }
        return last;
    }
    const cq_ac_answer_t *
    answer_of(guint64 request)
    {
        for (const cq_action_t &action : all_actions) {
            if (action.kind == CQ_AC_ANSWER &&
                action.answer.request == request) {
                return &action.answer;
            }
        }
        return nullptr;
    }
    std::vector<guint64>
    engines_in(cq_action_kind_t kind)
    {
        std::vector<guint64> found;
        for (const cq_action_t &action : all_actions) {
            if (action.kind == kind) {
                found.push_back(action.memory.upstream);
            }
        }
        return found;
    }
    void
    attempt_event(guint64 request, cq_event_kind_t kind,
                  cq_failure_t failure = CQ_FAIL_BROKEN,
                  const char *at_fault = "", int status = 200)
    {
        event_of(request, last_send(request)->attempt, kind, failure, at_fault,
                 status);
    }
    void
    event_of(guint64 request, guint32 attempt, cq_event_kind_t kind,
             cq_failure_t failure = CQ_FAIL_BROKEN, const char *at_fault = "",
             int status = 200)
    {
        cq_event_t event = {};
        event.kind = kind;
        event.attempt.request = request;
        event.attempt.attempt = attempt;
        event.attempt.tokens = 1;
        event.attempt.status = status;
        event.attempt.failure = failure;
        event.attempt.on_kept_conn = on_kept_conn;
        g_strlcpy(event.attempt.at_fault, at_fault,
                  sizeof event.attempt.at_fault);
        step(event);
    }
    void
    upstream_says(guint64 upstream, guint64 incarnation, gboolean leaving,
                  gint64 pause_us)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_UPSTREAM;
        event.upstream.upstream = upstream;
        event.upstream.incarnation = incarnation;
        event.upstream.leaving = leaving;
        event.upstream.pause_us = pause_us;
        step(event);
    }
    // An answer to @request states the rate limit; below 0: none.
    void
    upstream_states_limit(const char *upstream, guint64 request, double per_s)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_UPSTREAM;
        event.upstream.upstream = cq_ident_hash(upstream);
        event.upstream.incarnation = 1;
        event.upstream.request = request;
        event.upstream.rate.kind =
            per_s >= 0 ? CQ_RATE_LIMITED : CQ_RATE_UNLIMITED;
        event.upstream.rate.per_s = MAX(per_s, 0);
        step(event);
    }
    // The peer h1 tells the core that it placed a request on engines.
    void
    peer_places_task(guint64 request, std::vector<const char *> engines,
                     gint64 tokens, gint64 part_us, gint64 gap_max_us,
                     gint64 age_us, gboolean decoding)
    {
        cq_task_update_t update = {};
        update.kind = CQ_TASK_PLACED;
        update.request = request;
        update.tokens = tokens;
        update.part_us = part_us;
        update.gap_max_us = gap_max_us;
        update.age_us = age_us;
        update.decoding = decoding;
        for (const char *engine : engines) {
            update.engines[update.engines_len++] = cq_ident_hash(engine);
        }
        peer_sends_update(update);
    }
    void
    peer_sends_update(const cq_task_update_t &update)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_TASKS;
        event.tasks.host = cq_ident_host("h1");
        event.tasks.rows = &update;
        event.tasks.len = 1;
        step(event);
    }
    void
    peer_sends_summary(const char *host)
    {
        cq_summary_t summary = {};
        summary.host = cq_ident_host(host);
        summary.incarnation = 1;
        cq_event_t event = {};
        event.kind = CQ_EV_SUMMARY;
        event.summary = &summary;
        step(event);
    }
    bool
    in_zone_b(guint64 upstream)
    {
        cq_upstream_view_t view;
        return cq_core_upstream(core, upstream, &view) &&
               std::string(view.zone) == "b";
    }

    cq_core_t *core = nullptr;
    cq_actions_t actions;
    cq_rules_t *rules[2];
    std::vector<cq_host_row_t> rows;
    std::vector<cq_action_t> all_actions;
    std::vector<guint64> streaming;
    // Set before the core starts: it finds the pace of plain upstreams.
    gboolean finds_pace = FALSE;
    // Teams beside "t", to be set before the core starts.
    std::vector<const char *> more_teams;
    // Team and shared parts of the prompts of the requests that follow.
    const char *team = "t";
    std::vector<guint64> parts;
    // Fingerprint of the requests that follow; 0: none.
    guint64 fingerprint = 0;
    // What the run times of the requests that follow depend on.
    guint64 kind = 0;
    // Whether a peer passed on the requests that follow.
    gboolean handed = FALSE;
    // Whether attempts that fail from now on were sent on kept connections.
    gboolean on_kept_conn = FALSE;
    // Time limit of the requests that follow.
    gint64 timeout_us = 10 * kSecond;
    guint attempts_max = 2;
    gint64 now_us = 1000 * kSecond;
    guint64 request_serial = 0;
};

} // namespace core_test

#endif
