// Rate limits that upstreams name, kept by fleets of several sizes. The load:
// an upstream in need beside others, or all upstreams in need at once. Each
// host of a fleet is a core; summaries between them take some milliseconds.
#include "corefixture.h"

#include <map>
#include <memory>
#include <set>

namespace {

using core_test::kMs;
using core_test::kSecond;

constexpr gint64 kTick = 20 * kMs;
constexpr gint64 kCallTime = 40 * kMs;
constexpr gint64 kWindow = 4 * kSecond;
// The rule allows half more than the limit in each window, and 5 more.
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedSlack = 5;
// Upstreams may get more than they named until this long after it.
constexpr gint64 kSettled = 3 * kSecond;

struct fleet_options_t {
    guint hosts;
    guint zones;
    guint upstreams;
    double requests_per_s; // of the whole fleet
};

struct host_t {
    cq_core_t *core = nullptr;
    std::string name;
    std::string zone;
    guint64 incarnation = 1;
    guint32 serial = 0;
    bool running = true;
    bool cut_off = false;
};

struct sent_t {
    gint64 at_us;
    guint host;
};

struct answer_t {
    guint host;
    guint64 incarnation;
    cq_ac_send_t send;
    // What the upstream named when the request reached it; below 0: nothing.
    double limit;
};

class Fleet {
  public:
    explicit Fleet(const fleet_options_t &with) : options(with)
    {
        rules = core_test::make_rules("p", CQ_SERVICE_PLAIN);
        cq_team_rule_t small = {};
        g_strlcpy(small.name, "small", sizeof small.name);
        small.weight = 1;
        g_array_append_val(rules->teams, small);
        for (guint i = 0; i < options.upstreams; i++) {
            add_row("p" + std::to_string(i), "p", zone_name(i));
        }
        for (guint i = 0; i < options.hosts; i++) {
            hosts.push_back(std::make_unique<host_t>());
            hosts[i]->name = "h" + std::to_string(i);
            hosts[i]->zone = zone_name(i);
            add_row(hosts[i]->name, "", hosts[i]->zone);
        }
        cq_actions_init(&actions);
        for (guint i = 0; i < options.hosts; i++) {
            start(i);
        }
    }
    ~Fleet()
    {
        for (auto &host : hosts) {
            cq_core_free(host->core);
        }
        cq_actions_clear(&actions);
        cq_rules_unref(rules);
    }
    Fleet(const Fleet &) = delete;
    Fleet &
    operator=(const Fleet &) = delete;
    void
    start(guint i)
    {
        host_t &host = *hosts[i];
        if (host.core != nullptr) {
            cq_core_free(host.core);
            host.incarnation++;
        }
        cq_core_options_t with = {};
        with.host = host.name.c_str();
        with.zone = host.zone.c_str();
        with.incarnation = host.incarnation;
        with.seed = i + 1;
        host.core = cq_core_new(&with);
        host.running = true;
        cq_event_t event = {};
        event.kind = CQ_EV_RULES;
        event.rules = rules;
        step(i, event);
        send_list(i);
    }
    void
    send_list(guint i)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_HOSTS;
        event.hosts.rows = rows.data();
        event.hosts.len = (guint)rows.size();
        step(i, event);
    }
    // Hosts whose requests don't count: a restart, freeze or cut excuses them.
    void
    excuse(guint i)
    {
        excused.insert(i);
    }
    void
    run(gint64 us)
    {
        gint64 per_request = (gint64)(kSecond / (options.requests_per_s > 0
                                                     ? options.requests_per_s
                                                     : 1e-3));
        for (gint64 until_us = now_us + us; now_us < until_us;) {
            now_us += kTick;
            deliver();
            for (guint i = 0; i < hosts.size(); i++) {
                cq_event_t event = {};
                event.kind = CQ_EV_TICK;
                step(i, event);
            }
            while (next_request_us <= now_us) {
                next_request_us += per_request;
                request();
            }
        }
    }
    // All requests to the upstream in the worst window from @from_us on.
    guint
    worst_window(guint upstream, gint64 from_us)
    {
        std::vector<gint64> at;
        for (const sent_t &one : sent[upstream_id(upstream)]) {
            if (one.at_us >= from_us && excused.count(one.host) == 0) {
                at.push_back(one.at_us);
            }
        }
        guint most = 0;
        for (size_t first = 0, i = 0; i < at.size(); i++) {
            while (at[first] <= at[i] - kWindow) {
                first++;
            }
            most = MAX(most, (guint)(i - first + 1));
        }
        return most;
    }
    guint
    sent_since(guint upstream, gint64 from_us)
    {
        guint count = 0;
        for (const sent_t &one : sent[upstream_id(upstream)]) {
            count += one.at_us >= from_us;
        }
        return count;
    }
    guint64
    upstream_id(guint i)
    {
        return cq_ident_hash(("p" + std::to_string(i)).c_str());
    }
    void
    set_limit(guint upstream, double per_s)
    {
        limits[upstream_id(upstream)] = per_s;
    }
    void
    end_limit(guint upstream)
    {
        limits.erase(upstream_id(upstream));
    }

    fleet_options_t options;
    cq_rules_t *rules;
    std::vector<cq_host_row_t> rows;
    std::vector<std::unique_ptr<host_t>> hosts;
    gint64 now_us = 1000 * kSecond;
    gint64 next_request_us = 1000 * kSecond;
    guint refused = 0;
    guint refused_late = 0;
    std::map<std::string, guint> asked_by;
    std::map<std::string, guint> served_by;
    std::map<std::string, gint64> told_longest;
    // Every n-th request is of the small team; 0: none.
    guint small_every = 0;

  private:
    std::string
    zone_name(guint i)
    {
        return std::string(1, (char)('a' + i % options.zones));
    }
    void
    add_row(const std::string &name, const char *service,
            const std::string &zone)
    {
        cq_host_row_t row = {};
        g_strlcpy(row.name, name.c_str(), sizeof row.name);
        g_strlcpy(row.addr, (name + ":1").c_str(), sizeof row.addr);
        g_strlcpy(row.zone, zone.c_str(), sizeof row.zone);
        g_strlcpy(row.service, service, sizeof row.service);
        row.incarnation = 1;
        rows.push_back(row);
    }
    void
    request()
    {
        guint i = (guint)(random_state = cq_ident_hash(
                              std::to_string(random_state).c_str())) %
                  (guint)hosts.size();
        host_t &host = *hosts[i];
        if (!host.running) {
            return;
        }
        request_count++;
        bool small = small_every > 0 && request_count % small_every == 0;
        cq_event_t event = {};
        event.kind = CQ_EV_REQUEST;
        event.request.id = cq_ident_request(cq_ident_host(host.name.c_str()),
                                            host.incarnation, ++host.serial);
        event.request.service = "p";
        event.request.team = small ? "small" : "t";
        event.request.model = "";
        event.request.repeatable = TRUE;
        event.request.prompt_tokens = 1;
        event.request.timeout_us = 3 * kSecond;
        event.request.target_us = 300 * kMs;
        event.request.attempts_max = 2;
        asked_by[event.request.team]++;
        team_of[event.request.id] = event.request.team;
        arrived_at[event.request.id] = now_us;
        step(i, event);
    }
    void
    step(guint i, const cq_event_t &event)
    {
        host_t &host = *hosts[i];
        if (!host.running) {
            return;
        }
        cq_actions_reset(&actions);
        cq_core_step(host.core, now_us, &event, &actions);
        std::vector<cq_ac_send_t> sends;
        for (guint k = 0; k < actions.items->len; k++) {
            const cq_action_t &action = *cq_actions_at(&actions, k);
            if (action.kind == CQ_AC_SEND) {
                sends.push_back(action.send);
            }
            else if (action.kind == CQ_AC_SUMMARY) {
                spread(i, *action.summary);
            }
            else if (action.kind == CQ_AC_ANSWER) {
                note_answer(action.answer);
            }
        }
        for (const cq_ac_send_t &send : sends) {
            on_send(i, send);
        }
    }
    void
    note_answer(const cq_ac_answer_t &answer)
    {
        const std::string &team = team_of[answer.request];
        if (answer.outcome == CQ_OUTCOME_DONE) {
            served_by[team]++;
            return;
        }
        if (answer.outcome != CQ_OUTCOME_RATE_LIMITED) {
            return;
        }
        refused++;
        EXPECT_EQ(answer.ran, CQ_RAN_NO);
        EXPECT_GT(answer.retry_after_us, 0);
        refused_late += now_us - arrived_at[answer.request] > 80 * kMs;
        told_longest[team] = MAX(told_longest[team], answer.retry_after_us);
    }
    void
    on_send(guint i, const cq_ac_send_t &send)
    {
        sent[send.upstream].push_back({now_us, i});
        auto found = limits.find(send.upstream);
        double limit = found != limits.end() ? found->second : -1;
        calls.emplace(now_us + kCallTime,
                      answer_t{i, hosts[i]->incarnation, send, limit});
        cq_event_t event = {};
        event.kind = CQ_EV_SENT;
        event.attempt.request = send.request;
        event.attempt.attempt = send.attempt;
        step(i, event);
    }
    void
    spread(guint from, const cq_summary_t &summary)
    {
        auto copy = std::make_shared<cq_summary_t>(summary);
        guint len;
        const cq_host_row_t *peers = cq_core_peers(hosts[from]->core, &len);
        for (guint i = 0; i < len; i++) {
            guint to = (guint)atoi(peers[i].name + 1);
            gint64 delay =
                hosts[to]->zone == hosts[from]->zone ? 1 * kMs : 30 * kMs;
            messages.emplace(now_us + delay, message_t{from, to, copy});
        }
    }
    void
    deliver()
    {
        while (!messages.empty() && messages.begin()->first <= now_us) {
            message_t message = messages.begin()->second;
            messages.erase(messages.begin());
            if (hosts[message.from]->cut_off == hosts[message.to]->cut_off) {
                cq_event_t event = {};
                event.kind = CQ_EV_SUMMARY;
                event.summary = message.summary.get();
                step(message.to, event);
            }
        }
        while (!calls.empty() && calls.begin()->first <= now_us) {
            answer_t call = calls.begin()->second;
            calls.erase(calls.begin());
            if (hosts[call.host]->incarnation == call.incarnation) {
                answer(call);
            }
        }
    }
    void
    answer(const answer_t &call)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_UPSTREAM;
        event.upstream.upstream = call.send.upstream;
        event.upstream.incarnation = 1;
        event.upstream.request = call.send.request;
        event.upstream.rate.kind =
            call.limit >= 0 ? CQ_RATE_LIMITED : CQ_RATE_UNLIMITED;
        event.upstream.rate.per_s = MAX(call.limit, 0);
        step(call.host, event);
        event = {};
        event.kind = CQ_EV_DONE;
        event.attempt.request = call.send.request;
        event.attempt.attempt = call.send.attempt;
        event.attempt.status = 200;
        step(call.host, event);
    }

    struct message_t {
        guint from;
        guint to;
        std::shared_ptr<cq_summary_t> summary;
    };
    cq_actions_t actions;
    std::multimap<gint64, message_t> messages;
    std::multimap<gint64, answer_t> calls;
    std::map<guint64, std::vector<sent_t>> sent;
    std::map<guint64, double> limits;
    std::map<guint64, std::string> team_of;
    std::map<guint64, gint64> arrived_at;
    std::set<guint> excused;
    guint64 random_state = 1;
    guint request_count = 0;
};

guint
allowed(double per_s)
{
    return (guint)(kAllowedFactor * per_s * 4 + kAllowedSlack);
}

struct size_case_t {
    fleet_options_t fleet;
    double per_s;
};

class RateLimit : public ::testing::TestWithParam<size_case_t> {};

// The upstream named its limit, then hosts come and go.
TEST_P(RateLimit, HoldsOverRestartsFreezesAndCuts)
{
    Fleet fleet(GetParam().fleet);
    double per_s = GetParam().per_s;
    guint n = fleet.options.hosts;
    fleet.run(3 * kSecond);
    fleet.set_limit(0, per_s);
    gint64 from_us = fleet.now_us + kSettled;
    fleet.run(4 * kSecond);
    guint calm = fleet.worst_window(0, from_us);
    EXPECT_LE(calm, allowed(per_s));
    // A tenth of the hosts starts again.
    for (guint i = 0; i < n; i += 10) {
        fleet.excuse(i);
        fleet.start(i);
    }
    fleet.run(4 * kSecond);
    // Others freeze and wake.
    for (guint i = 1; i < n; i += 10) {
        fleet.excuse(i);
        fleet.hosts[i]->running = false;
    }
    fleet.run(4 * kSecond);
    for (guint i = 1; i < n; i += 10) {
        fleet.hosts[i]->running = true;
    }
    fleet.run(2 * kSecond);
    // A zone is cut off.
    for (guint i = 0; i < n; i++) {
        fleet.hosts[i]->cut_off = fleet.hosts[i]->zone == "b";
        if (fleet.hosts[i]->cut_off) {
            fleet.excuse(i);
        }
    }
    fleet.run(6 * kSecond);
    for (guint i = 0; i < n; i++) {
        fleet.hosts[i]->cut_off = false;
    }
    fleet.run(5 * kSecond);
    EXPECT_LE(fleet.worst_window(0, from_us), allowed(per_s));
    EXPECT_GE(fleet.sent_since(0, from_us), 1u);
}

INSTANTIATE_TEST_SUITE_P(Sizes, RateLimit,
                         ::testing::Values(size_case_t{{4, 3, 3, 40}, 1},
                                           size_case_t{{4, 3, 3, 40}, 1.7},
                                           size_case_t{{4, 3, 3, 40}, 0.2},
                                           size_case_t{{4, 3, 1, 40}, 2.4},
                                           size_case_t{{35, 3, 7, 100}, 1},
                                           size_case_t{{35, 3, 2, 100}, 6},
                                           size_case_t{{117, 5, 6, 200}, 1},
                                           size_case_t{{117, 5, 5, 200}, 3.3},
                                           size_case_t{{330, 5, 5, 300}, 2}));

// Over a long time the upstream gets no more than the limit itself, and most
// of it where it is needed.
TEST(RateLimitFleet, IsUsedAndNotExceeded)
{
    Fleet fleet({4, 3, 1, 40});
    fleet.set_limit(0, 2);
    fleet.run(5 * kSecond);
    gint64 from_us = fleet.now_us;
    fleet.run(60 * kSecond);
    guint sent = fleet.sent_since(0, from_us);
    EXPECT_LE(sent, 2 * 60 + 3u);
    EXPECT_GE(sent, 2 * 60 * 9 / 10u);
}

// All upstreams in need: what they can't take is refused at once, as not run.
TEST(RateLimitFleet, RefusesAtOnceWhatNoUpstreamTakes)
{
    Fleet fleet({4, 3, 3, 40});
    for (guint i = 0; i < 3; i++) {
        fleet.set_limit(i, 2);
    }
    fleet.run(5 * kSecond);
    fleet.refused_late = 0;
    fleet.run(20 * kSecond);
    EXPECT_GT(fleet.refused, 100u);
    EXPECT_EQ(fleet.refused_late, 0u);
    for (guint i = 0; i < 3; i++) {
        EXPECT_LE(fleet.worst_window(i, 1005 * kSecond), allowed(2));
    }
}

// A team that sends twenty times as much doesn't put off the others: the
// requests of the small one are told to come back no later.
TEST(RateLimitFleet, TellsASmallTeamToComeBackSooner)
{
    Fleet fleet({1, 1, 1, 20});
    fleet.small_every = 20;
    fleet.set_limit(0, 8);
    fleet.run(5 * kSecond);
    fleet.told_longest.clear();
    fleet.run(20 * kSecond);
    EXPECT_LT(fleet.told_longest["small"], fleet.told_longest["t"]);
    EXPECT_LT(fleet.told_longest["small"], 500 * kMs);
}

// Nothing is sent for a time in which every host could have saved up a
// request.
TEST(RateLimitFleet, ABurstAfterAQuietTimeStaysWithinIt)
{
    Fleet fleet({35, 3, 1, 100});
    fleet.set_limit(0, 2);
    fleet.run(5 * kSecond);
    fleet.options.requests_per_s = 0;
    fleet.run(20 * kSecond);
    gint64 from_us = fleet.now_us;
    fleet.next_request_us = from_us;
    fleet.options.requests_per_s = 2000;
    fleet.run(4 * kSecond);
    EXPECT_LE(fleet.worst_window(0, from_us), allowed(2));
    EXPECT_GE(fleet.worst_window(0, from_us), 4u);
}

TEST(RateLimitFleet, EndsWhenTheUpstreamNamesNone)
{
    Fleet fleet({4, 3, 3, 40});
    fleet.set_limit(0, 1);
    fleet.run(5 * kSecond);
    fleet.end_limit(0);
    fleet.run(5 * kSecond);
    gint64 from_us = fleet.now_us;
    fleet.run(10 * kSecond);
    EXPECT_GE(fleet.sent_since(0, from_us), 60u);
}

// A limit of 0 can only be found to have ended by a request now and then.
TEST(RateLimitFleet, TriesAnUpstreamThatTakesNone)
{
    Fleet fleet({4, 3, 3, 40});
    fleet.set_limit(0, 0);
    fleet.run(5 * kSecond);
    gint64 from_us = fleet.now_us;
    fleet.run(40 * kSecond);
    EXPECT_GE(fleet.sent_since(0, from_us), 3u);
    EXPECT_LE(fleet.sent_since(0, from_us), 5u);
}

TEST(RateLimitFleet, FollowsALimitThatFallsAndRises)
{
    Fleet fleet({4, 3, 3, 40});
    fleet.set_limit(0, 5);
    fleet.run(8 * kSecond);
    fleet.set_limit(0, 1);
    fleet.run(kSettled);
    gint64 low_us = fleet.now_us;
    fleet.run(8 * kSecond);
    EXPECT_LE(fleet.worst_window(0, low_us), allowed(1));
    fleet.set_limit(0, 5);
    fleet.run(kSettled);
    gint64 high_us = fleet.now_us;
    fleet.run(8 * kSecond);
    EXPECT_GE(fleet.sent_since(0, high_us), 20u);
}

} // namespace
