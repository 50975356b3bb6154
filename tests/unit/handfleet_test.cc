// Hosts that are cut off from all upstreams pass requests on to their peers,
// at fleets of several sizes, while hosts start again and freeze. The load:
// each host gets its share of calls; half of them may not be repeated.
#include "fleetfixture.h"

namespace {

using core_test::fleet_options_t;
using core_test::kMs;
using core_test::kSecond;

constexpr gint64 kCallTime = 40 * kMs;
// Time in which calls are answered, those that are sent again too.
constexpr gint64 kAnswerTime = kSecond;
constexpr gint64 kConnectTimeout = 300 * kMs;
constexpr gint64 kHopNear = 1 * kMs;
constexpr gint64 kHopFar = 30 * kMs;
// A planned stop.
constexpr gint64 kStopNotice = 300 * kMs;
constexpr gint64 kStopLimit = kSecond;
// What the rule counts begins this long after a cut.
constexpr gint64 kStable = 3 * kSecond;

enum class cut_t { none, silent, refused };

class HandFleet : public core_test::Fleet {
  public:
    explicit HandFleet(const fleet_options_t &with)
        : core_test::Fleet(with), cuts(with.hosts, cut_t::none)
    {
        for (cq_host_row_t &row : rows) {
            if (row.service[0] == '\0') {
                g_strlcpy(row.callers, row.name, sizeof row.callers);
            }
        }
        for (guint i = 0; i < hosts.size(); i++) {
            send_list(i);
        }
    }
    // Cuts the hosts for which @which holds off from all upstreams.
    void
    cut(const std::function<bool(guint)> &which, cut_t how)
    {
        for (guint i = 0; i < hosts.size(); i++) {
            cuts[i] = which(i) ? how : cut_t::none;
        }
    }
    void
    heal()
    {
        cut([](guint) { return false; }, cut_t::none);
    }
    // Hosts for which @which holds stop as planned, and start again then.
    void
    stop(const std::function<bool(guint)> &which)
    {
        for (guint i = 0; i < hosts.size(); i++) {
            if (which(i)) {
                cq_event_t event = {};
                event.kind = CQ_EV_DRAIN;
                event.drain.notice_us = kStopNotice;
                event.drain.limit_us = kStopLimit;
                step(i, event);
            }
        }
    }
    void
    restart(guint i)
    {
        start(i);
    }
    // Counts the calls of @us, of hosts that are cut off and of the others,
    // and waits for their answers.
    void
    count(gint64 us)
    {
        asked[0] = asked[1] = served[0] = served[1] = 0;
        counted_from_us = now_us;
        counted_until_us = now_us + us;
        run(us + kAnswerTime);
    }
    double
    share(bool cut_off) const
    {
        return asked[cut_off] == 0
                   ? 1
                   : (double)served[cut_off] / (double)asked[cut_off];
    }

    std::vector<cut_t> cuts;
    guint asked[2] = {};
    guint served[2] = {};
    guint twice = 0;

  private:
    struct call_t {
        guint host;
        gint64 at_us;
        bool cut_off;
        bool once;
        guint64 origin; // of the caller's request, also at a peer
        guint from;     // the host that passed it on
        guint32 attempt;
        bool handed;
    };

    void
    fill_request(cq_ev_request_t &request) override
    {
        request.repeatable = ++calls_count % 2 == 0;
        guint host = host_of(request.id);
        bool cut_off = cuts[host] != cut_t::none;
        open[request.id] = {host,       now_us, cut_off, !request.repeatable,
                            request.id, 0,      0,       false};
        asked[cut_off] += is_counted(now_us);
    }
    guint
    host_of(guint64 id) const
    {
        for (guint i = 0; i < hosts.size(); i++) {
            if (cq_ident_request(cq_ident_host(hosts[i]->name.c_str()),
                                 hosts[i]->incarnation,
                                 hosts[i]->serial) == id) {
                return i;
            }
        }
        return 0;
    }
    void
    on_action(guint i, const cq_action_t &action) override
    {
        if (action.kind == CQ_AC_REACH) {
            guint64 upstream = action.reach.upstream;
            later(delay_of(i), [this, i, upstream] {
                cq_event_t event = {};
                event.kind = CQ_EV_REACHED;
                event.reached.upstream = upstream;
                event.reached.opened = cuts[i] == cut_t::none;
                step(i, event);
            });
        }
        else if (action.kind == CQ_AC_STOPPED) {
            later(0, [this, i] { start(i); });
        }
        else if (action.kind == CQ_AC_HAND) {
            hand(i, action.hand);
        }
        else if (action.kind == CQ_AC_ANSWER) {
            finish(i, action.answer);
        }
    }
    gint64
    delay_of(guint i) const
    {
        return cuts[i] == cut_t::silent ? kConnectTimeout : kMs;
    }
    void
    hand(guint i, const cq_ac_hand_t &hand)
    {
        guint to = (guint)atoi(hand.addr + 1);
        gint64 hop = hosts[to]->zone == hosts[i]->zone ? kHopNear : kHopFar;
        later(hop, [=, this] {
            auto found = open.find(hand.request);
            if (found == open.end()) {
                return;
            }
            if (!hosts[to]->running) {
                return; /* the connection doesn't open */
            }
            report(i, CQ_EV_SENT, hand.request, hand.attempt, 0);
            const call_t &call = found->second;
            cq_event_t event = {};
            event.kind = CQ_EV_REQUEST;
            event.request.id =
                cq_ident_request(cq_ident_host(hosts[to]->name.c_str()),
                                 hosts[to]->incarnation, ++hosts[to]->serial);
            event.request.service = "p";
            event.request.team = "t";
            event.request.model = "";
            event.request.repeatable = !call.once;
            event.request.prompt_tokens = 1;
            event.request.timeout_us = call.at_us + 3 * kSecond - now_us;
            event.request.target_us = 300 * kMs;
            event.request.attempts_max = 2;
            event.request.handed = TRUE;
            call_t there = call;
            there.host = to;
            there.from = i;
            there.attempt = hand.attempt;
            there.handed = true;
            there.origin = hand.request;
            open[event.request.id] = there;
            step(to, event);
        });
    }
    void
    report(guint i, cq_event_kind_t kind, guint64 request, guint32 attempt,
           int status)
    {
        cq_event_t event = {};
        event.kind = kind;
        event.attempt.request = request;
        event.attempt.attempt = attempt;
        event.attempt.status = status;
        step(i, event);
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
        if (call.handed) {
            guint from = call.from;
            gint64 hop =
                hosts[from]->zone == hosts[i]->zone ? kHopNear : kHopFar;
            int status = answer.status;
            later(hop, [=, this] {
                report(from, CQ_EV_DONE, call.origin, call.attempt, status);
            });
            return;
        }
        served[call.cut_off] += is_counted(call.at_us) && answer.status == 200;
    }
    void
    on_send(guint i, const cq_ac_send_t &send) override
    {
        auto found = open.find(send.request);
        if (cuts[i] != cut_t::none || found == open.end()) {
            if (cuts[i] == cut_t::refused) {
                later(kMs, [=, this] {
                    attempt_event(i, CQ_EV_FAILED, send, CQ_FAIL_CONNECT);
                });
            }
            return;
        }
        guint runs = ++runs_of[found->second.origin];
        twice += found->second.once && runs > 1;
        attempt_event(i, CQ_EV_SENT, send);
        later(kCallTime, [=, this] { attempt_event(i, CQ_EV_DONE, send); });
    }

    std::map<guint64, call_t> open;
    std::map<guint64, guint> runs_of;
    guint64 calls_count = 0;
    bool
    is_counted(gint64 at_us) const
    {
        return at_us >= counted_from_us && at_us < counted_until_us;
    }
    gint64 counted_from_us = 0;
    gint64 counted_until_us = 0;
};

class HandingHosts : public ::testing::TestWithParam<fleet_options_t> {
  protected:
    // The rule: callers of hosts that are cut off are served at least two
    // thirds as often as others, from kStable after the cut on.
    static void
    expect_served(HandFleet &fleet, gint64 us)
    {
        fleet.run(kStable);
        fleet.count(us);
        EXPECT_GT(fleet.asked[true], 0u);
        EXPECT_GE(fleet.share(true) * 3, fleet.share(false) * 2);
        EXPECT_GE(fleet.share(false), 0.98);
        EXPECT_EQ(fleet.twice, 0u);
    }
    static void
    expect_whole(HandFleet &fleet)
    {
        fleet.heal();
        fleet.run(kStable);
        fleet.count(kSecond);
        EXPECT_GE(fleet.share(false), 0.98);
    }
};

TEST_P(HandingHosts, ServeWhileAFewAreCutSilently)
{
    HandFleet fleet(GetParam());
    fleet.run(kSecond);
    fleet.cut([](guint i) { return i % 30 == 0; }, cut_t::silent);
    expect_served(fleet, 2 * kSecond);
    expect_whole(fleet);
}

TEST_P(HandingHosts, ServeWhileAWholeZoneIsCut)
{
    HandFleet fleet(GetParam());
    fleet.run(kSecond);
    fleet.cut([&](guint i) { return fleet.hosts[i]->zone == "a"; },
              cut_t::refused);
    expect_served(fleet, kSecond);
    expect_whole(fleet);
}

TEST_P(HandingHosts, ServeWhileAHostStartsAgainBehindTheCut)
{
    HandFleet fleet(GetParam());
    fleet.run(kSecond);
    fleet.cut([](guint i) { return i % 2 == 0; }, cut_t::silent);
    fleet.run(kSecond);
    fleet.restart(0);
    expect_served(fleet, kSecond);
    expect_whole(fleet);
}

// A host that takes requests freezes; it is missed after two seconds.
TEST_P(HandingHosts, ServeThoughATakingHostFreezes)
{
    HandFleet fleet(GetParam());
    fleet.run(kSecond);
    fleet.cut([](guint i) { return i % 2 == 0; }, cut_t::refused);
    fleet.run(kSecond);
    fleet.hosts[1]->running = false;
    expect_served(fleet, kSecond);
    fleet.hosts[1]->running = true;
    expect_whole(fleet);
}

// What is in flight at the peers that stop has more time than their stop.
TEST_P(HandingHosts, ServeWhileHalfOfTheTakingHostsStop)
{
    HandFleet fleet(GetParam());
    fleet.run(kSecond);
    fleet.cut([](guint i) { return i % 2 == 0; }, cut_t::refused);
    fleet.run(kStable);
    fleet.stop([](guint i) { return i % 4 == 1; });
    fleet.count(kStopNotice);
    EXPECT_GT(fleet.asked[true], 0u);
    EXPECT_GE(fleet.share(true) * 3, fleet.share(false) * 2);
    EXPECT_EQ(fleet.twice, 0u);
    expect_whole(fleet);
}

TEST_P(HandingHosts, ServeOverCutsThatComeAgain)
{
    HandFleet fleet(GetParam());
    fleet.run(kSecond);
    for (cut_t how : {cut_t::silent, cut_t::refused}) {
        fleet.cut([](guint i) { return i % 4 < 2; }, how);
        expect_served(fleet, kSecond);
        fleet.heal();
        fleet.run(kSecond);
    }
    expect_whole(fleet);
}

INSTANTIATE_TEST_SUITE_P(Sizes, HandingHosts,
                         ::testing::Values(fleet_options_t{4, 2, 8, 40},
                                           fleet_options_t{117, 5, 30, 120},
                                           fleet_options_t{330, 5, 60, 200}));

} // namespace
