// Planned stops at fleets of several sizes. The load: short and long calls
// whose time limit is far beyond the stop; half of them may not be repeated. A
// call that was refused as not run is sent to another host.
#include "fleetfixture.h"

namespace {

using core_test::fleet_options_t;
using core_test::kMs;
using core_test::kSecond;

constexpr gint64 kNotice = 560 * kMs;
constexpr gint64 kLimit = 1500 * kMs;
constexpr gint64 kShort = 40 * kMs;
constexpr gint64 kLong = 1200 * kMs;
constexpr gint64 kTimeout = 30 * kSecond;
// Calls that each host has answered before a stop, on average.
constexpr gint64 kKnownCalls = 120;

class StopFleet : public core_test::Fleet {
  public:
    explicit StopFleet(const fleet_options_t &with)
        : core_test::Fleet(with), stopping(with.hosts, 0)
    {
        // The hosts learn how long calls take.
        options.requests_per_s =
            (double)kKnownCalls * with.hosts / (double)(kLong / kSecond + 1);
        run((kLong / kSecond + 1) * kSecond + kLong);
        options.requests_per_s = with.requests_per_s;
    }
    void
    stop(const std::function<bool(guint)> &which)
    {
        for (guint i = 0; i < hosts.size(); i++) {
            if (which(i)) {
                stopping[i] = now_us;
                cq_event_t event = {};
                event.kind = CQ_EV_DRAIN;
                event.drain.notice_us = kNotice;
                event.drain.limit_us = kLimit;
                step(i, event);
            }
        }
    }

    // At hosts that stop, within the notice: calls, and those refused.
    guint noticed[2] = {}; // short, long
    guint refused[2] = {};
    guint cut = 0;      // started, and ended without the upstream's answer
    guint untrue = 0;   // refused as not run, and has run or runs later
    guint twice = 0;    // may run once, and ran more than once
    guint unserved = 0; // refused with no other host to go to
    guint stopped = 0;
    guint served = 0;

  private:
    struct call_t {
        guint64 origin; // id of the caller's first request
        gint64 at_us;
        bool is_long;
        bool once;
    };

    void
    fill_request(cq_ev_request_t &request) override
    {
        calls_count++;
        describe(request, {request.id, now_us, calls_count % 4 == 0,
                           calls_count % 8 < 4});
    }
    void
    describe(cq_ev_request_t &request, const call_t &call)
    {
        request.repeatable = !call.once;
        request.timeout_us = call.at_us + kTimeout - now_us;
        // Four routes, of which two may not be repeated.
        request.kind = 1 + (call.is_long ? 2 : 0) + (call.once ? 1 : 0);
        open[request.id] = call;
    }
    void
    on_action(guint i, const cq_action_t &action) override
    {
        if (action.kind == CQ_AC_STOPPED) {
            stopped++;
        }
        else if (action.kind == CQ_AC_ANSWER) {
            finish(i, action.answer);
        }
    }
    void
    finish(guint i, const cq_ac_answer_t &answer)
    {
        auto found = open.find(answer.request);
        if (found == open.end()) {
            return;
        }
        call_t call = found->second;
        open.erase(found);
        bool in_notice = stopping[i] > 0 && now_us - stopping[i] < kNotice &&
                         call.at_us >= stopping[i];
        noticed[call.is_long] += in_notice || asked_in_notice(i, call);
        if (answer.status == 200) {
            served++;
            return;
        }
        if (answer.ran != CQ_RAN_NO) {
            cut++;
            return;
        }
        untrue += runs_of[call.origin] > 0;
        refused[call.is_long] += in_notice;
        later(kMs, [=, this] { send_elsewhere(call); });
    }
    bool
    asked_in_notice(guint i, const call_t &call) const
    {
        return stopping[i] > 0 && call.at_us >= stopping[i] &&
               call.at_us - stopping[i] < kNotice;
    }
    void
    send_elsewhere(const call_t &call)
    {
        for (guint tried = 0; tried < hosts.size(); tried++) {
            guint to = next_host++ % (guint)hosts.size();
            if (stopping[to] > 0) {
                continue;
            }
            cq_event_t event = {};
            event.kind = CQ_EV_REQUEST;
            event.request.id =
                cq_ident_request(cq_ident_host(hosts[to]->name.c_str()),
                                 hosts[to]->incarnation, ++hosts[to]->serial);
            event.request.service = "p";
            event.request.team = "t";
            event.request.model = "";
            event.request.prompt_tokens = 1;
            event.request.target_us = 300 * kMs;
            event.request.attempts_max = 2;
            describe(event.request, call);
            step(to, event);
            return;
        }
        unserved++;
    }
    void
    on_send(guint i, const cq_ac_send_t &send) override
    {
        auto found = open.find(send.request);
        ASSERT_NE(found, open.end());
        const call_t &call = found->second;
        twice += ++runs_of[call.origin] > 1 && call.once;
        attempt_event(i, CQ_EV_SENT, send);
        later(call.is_long ? kLong : kShort,
              [=, this] { attempt_event(i, CQ_EV_DONE, send); });
    }

    std::vector<gint64> stopping;
    std::map<guint64, call_t> open;
    std::map<guint64, guint> runs_of;
    guint64 calls_count = 0;
    guint next_host = 0;
};

class StoppingHosts : public ::testing::TestWithParam<fleet_options_t> {
  protected:
    static void
    expect_nothing_cut(StopFleet &fleet)
    {
        EXPECT_EQ(fleet.cut, 0u);
        EXPECT_EQ(fleet.untrue, 0u);
        EXPECT_EQ(fleet.twice, 0u);
    }
    // Stops the hosts for which @which holds, and waits for their end.
    static void
    stop(StopFleet &fleet, const std::function<bool(guint)> &which)
    {
        guint count = 0;
        for (guint i = 0; i < fleet.hosts.size(); i++) {
            count += which(i);
        }
        expect_nothing_cut(fleet);
        fleet.stop(which);
        fleet.run(kLimit + 100 * kMs);
        EXPECT_EQ(fleet.stopped, count);
        expect_nothing_cut(fleet);
        // Short calls are served where they arrive.
        EXPECT_EQ(fleet.refused[0], 0u);
        GTEST_LOG_(INFO) << "short " << fleet.noticed[0] << ", long "
                         << fleet.noticed[1] << ", of them refused "
                         << fleet.refused[1] << ", without another host "
                         << fleet.unserved;
    }
};

TEST_P(StoppingHosts, OneCutsNoCall)
{
    StopFleet fleet(GetParam());
    stop(fleet, [](guint i) { return i == 0; });
    EXPECT_EQ(fleet.unserved, 0u);
}

TEST_P(StoppingHosts, AZoneCutsNoCall)
{
    StopFleet fleet(GetParam());
    stop(fleet, [&](guint i) { return fleet.hosts[i]->zone == "a"; });
    EXPECT_GT(fleet.refused[1], 0u);
    EXPECT_EQ(fleet.unserved, 0u);
}

TEST_P(StoppingHosts, AllButOneCutNoCall)
{
    StopFleet fleet(GetParam());
    stop(fleet, [](guint i) { return i != 1; });
    EXPECT_GT(fleet.refused[1], 0u);
    EXPECT_EQ(fleet.unserved, 0u);
}

// There is no other host: what may not end in time is refused, and nothing is
// cut.
TEST_P(StoppingHosts, AllCutNoCall)
{
    StopFleet fleet(GetParam());
    stop(fleet, [](guint) { return true; });
    EXPECT_GT(fleet.refused[1], 0u);
}

INSTANTIATE_TEST_SUITE_P(Sizes, StoppingHosts,
                         ::testing::Values(fleet_options_t{4, 2, 60, 100},
                                           fleet_options_t{117, 5, 200, 800},
                                           fleet_options_t{330, 5, 400,
                                                           1600}));

} // namespace
