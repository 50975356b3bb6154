// Rate limits that upstreams name, kept by fleets of several sizes. The load:
// an upstream in need beside others, or all upstreams in need at once.
#include "fleetfixture.h"

#include <set>

namespace {

using core_test::fleet_options_t;
using core_test::kMs;
using core_test::kSecond;

constexpr gint64 kCallTime = 40 * kMs;
constexpr gint64 kWindow = 4 * kSecond;
// The rule allows half more than the limit in each window, and 5 more.
constexpr double kAllowedFactor = 1.5;
constexpr double kAllowedSlack = 5;
// Upstreams may get more than they named until this long after it.
constexpr gint64 kSettled = 3 * kSecond;

struct sent_t {
    gint64 at_us;
    guint host;
};

// A fleet of which some upstreams name limits.
class Fleet : public core_test::Fleet {
  public:
    explicit Fleet(const fleet_options_t &with) : core_test::Fleet(with)
    {
    }
    // Hosts whose requests don't count: a restart, freeze or cut excuses them.
    void
    excuse(guint i)
    {
        excused.insert(i);
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

    guint refused = 0;
    guint refused_late = 0;
    std::map<std::string, gint64> told_longest;
    // Every n-th request is of the small team; 0: none.
    guint small_every = 0;

  private:
    void
    fill_request(cq_ev_request_t &request) override
    {
        request_count++;
        if (small_every > 0 && request_count % small_every == 0) {
            request.team = "small";
        }
        team_of[request.id] = request.team;
        arrived_at[request.id] = now_us;
    }
    void
    on_action(guint i, const cq_action_t &action) override
    {
        (void)i;
        const cq_ac_answer_t &answer = action.answer;
        if (action.kind != CQ_AC_ANSWER ||
            answer.outcome != CQ_OUTCOME_RATE_LIMITED) {
            return;
        }
        const std::string &team = team_of[answer.request];
        refused++;
        EXPECT_EQ(answer.ran, CQ_RAN_NO);
        EXPECT_GT(answer.retry_after_us, 0);
        refused_late += now_us - arrived_at[answer.request] > 80 * kMs;
        told_longest[team] = MAX(told_longest[team], answer.retry_after_us);
    }
    void
    on_send(guint i, const cq_ac_send_t &send) override
    {
        sent[send.upstream].push_back({now_us, i});
        // What the upstream names when the request reaches it; below 0: none.
        auto found = limits.find(send.upstream);
        double limit = found != limits.end() ? found->second : -1;
        guint64 incarnation = hosts[i]->incarnation;
        later(kCallTime, [=] {
            if (hosts[i]->incarnation == incarnation) {
                answer(i, send, limit);
            }
        });
        attempt_event(i, CQ_EV_SENT, send);
    }
    void
    answer(guint i, const cq_ac_send_t &send, double limit)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_UPSTREAM;
        event.upstream.upstream = send.upstream;
        event.upstream.incarnation = 1;
        event.upstream.request = send.request;
        event.upstream.rate.kind =
            limit >= 0 ? CQ_RATE_LIMITED : CQ_RATE_UNLIMITED;
        event.upstream.rate.per_s = MAX(limit, 0);
        step(i, event);
        attempt_event(i, CQ_EV_DONE, send);
    }

    std::map<guint64, std::vector<sent_t>> sent;
    std::map<guint64, double> limits;
    std::map<guint64, std::string> team_of;
    std::map<guint64, gint64> arrived_at;
    std::set<guint> excused;
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
