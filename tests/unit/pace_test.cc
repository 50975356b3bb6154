// The pace of plain upstreams that have started or recovered, at a fleet of 26
// hosts, with the feature and without it. The loads: an upstream starts again
// and serves one request at a time until it is warm, is slow, refuses, flaps,
// or can be reached again after a cut; hosts start again or are cut off.
#include "fleetfixture.h"

namespace {

using core_test::fleet_options_t;
using core_test::kMs;
using core_test::kSecond;

constexpr gint64 kCallTime = 40 * kMs;
constexpr gint64 kWarmTime = kSecond;
constexpr gint64 kConnectTime = 300 * kMs;
constexpr guint64 kHostsCutOff = 3;

enum class after_start_t { sound, one_by_one, slow, refuses };

struct upstream_t {
    bool reachable = true;
    gint64 cold_until_us = 0;
    gint64 free_at_us = 0;
    after_start_t how = after_start_t::sound;
    guint64 life = 1;
    std::vector<gint64> sent;
    // Attempts that run: host and what was sent.
    std::map<guint64, std::pair<guint, cq_ac_send_t>> running;
};

class PaceFleet : public core_test::Fleet {
  public:
    PaceFleet(gboolean finds_pace, guint upstreams = 6, double per_s = 900)
        : core_test::Fleet({26, 3, upstreams, per_s, finds_pace})
    {
    }
    void
    crash(guint i)
    {
        upstream_t &upstream = upstreams[upstream_id(i)];
        upstream.reachable = false;
        upstream.life++;
        auto running = std::move(upstream.running);
        upstream.running.clear();
        for (auto &[request, attempt] : running) {
            broken++;
            attempt_event(attempt.first, CQ_EV_FAILED, attempt.second);
        }
    }
    void
    start_upstream(guint i, after_start_t how)
    {
        upstream_t &upstream = upstreams[upstream_id(i)];
        upstream.reachable = true;
        upstream.how = how;
        upstream.cold_until_us = now_us + kWarmTime;
        upstream.free_at_us = now_us;
        for (cq_host_row_t &row : rows) {
            row.incarnation += row.name == "p" + std::to_string(i);
        }
        for (guint host = 0; host < hosts.size(); host++) {
            send_list(host);
        }
    }
    guint
    sent_since(guint i, gint64 from_us)
    {
        guint count = 0;
        for (gint64 at_us : upstreams[upstream_id(i)].sent) {
            count += at_us >= from_us;
        }
        return count;
    }

    std::map<guint64, upstream_t> upstreams;
    guint broken = 0;
    guint late = 0;
    guint failed = 0;
    guint refusals = 0;
    guint done = 0;

  private:
    void
    fill_request(cq_ev_request_t &request) override
    {
        asked_us[request.id] = now_us;
    }
    void
    on_action(guint i, const cq_action_t &action) override
    {
        (void)i;
        if (action.kind != CQ_AC_ANSWER) {
            return;
        }
        bool served = action.answer.outcome == CQ_OUTCOME_DONE;
        gint64 took_us = now_us - asked_us[action.answer.request];
        (served ? done : failed)++;
        late += served && took_us > 300 * kMs;
    }
    void
    on_send(guint i, const cq_ac_send_t &send) override
    {
        upstream_t &upstream = upstreams[send.upstream];
        if (!upstream.reachable || hosts[i]->cut_off) {
            later(kConnectTime, [=, this] {
                attempt_event(i, CQ_EV_FAILED, send, CQ_FAIL_CONNECT);
            });
            return;
        }
        upstream.sent.push_back(now_us);
        attempt_event(i, CQ_EV_SENT, send);
        bool is_cold = now_us < upstream.cold_until_us;
        if (is_cold && upstream.how == after_start_t::refuses &&
            upstream.running.size() >= 2) {
            refusals++;
            later(kMs, [=, this] {
                attempt_event(i, CQ_EV_FAILED, send, CQ_FAIL_REFUSED);
            });
            return;
        }
        gint64 takes_us = kCallTime;
        if (is_cold && upstream.how == after_start_t::one_by_one) {
            upstream.free_at_us = MAX(upstream.free_at_us, now_us) + kCallTime;
            takes_us = upstream.free_at_us - now_us;
        }
        else if (is_cold && upstream.how == after_start_t::slow) {
            takes_us = 10 * kCallTime;
        }
        upstream.running[send.request] = {i, send};
        guint64 life = upstream.life;
        later(takes_us, [=, this] {
            upstream_t &now = upstreams[send.upstream];
            if (now.life == life) {
                now.running.erase(send.request);
                attempt_event(i, CQ_EV_DONE, send);
            }
        });
    }

    std::map<guint64, gint64> asked_us;
};

struct seen_t {
    guint sent;
    guint late;
    guint refusals;
    guint broken;
    guint failed;
};

// What callers see in the two seconds after p0 starts again, and how much it
// gets in the first of them.
seen_t
start_again(gboolean finds_pace, after_start_t how)
{
    PaceFleet fleet(finds_pace);
    fleet.run(3 * kSecond);
    fleet.crash(0);
    fleet.run(2 * kSecond);
    guint late = fleet.late;
    guint failed = fleet.failed;
    gint64 from_us = fleet.now_us;
    fleet.start_upstream(0, how);
    fleet.run(kWarmTime);
    guint sent = fleet.sent_since(0, from_us);
    fleet.run(kSecond);
    return {sent, fleet.late - late, fleet.refusals, fleet.broken,
            fleet.failed - failed};
}

// p0 crashes again and again, half a second after each start.
seen_t
flap(gboolean finds_pace)
{
    PaceFleet fleet(finds_pace);
    fleet.run(3 * kSecond);
    for (int life = 0; life < 6; life++) {
        fleet.crash(0);
        fleet.run(kSecond);
        fleet.start_upstream(0, after_start_t::sound);
        fleet.run(500 * kMs);
    }
    return {0, fleet.late, 0, fleet.broken, fleet.failed};
}

// A third of the hosts are cut off from all upstreams for two seconds; what
// callers see in the six after it.
seen_t
cut_hosts(gboolean finds_pace)
{
    PaceFleet fleet(finds_pace);
    fleet.run(3 * kSecond);
    for (guint i = 0; i < fleet.hosts.size(); i += kHostsCutOff) {
        fleet.hosts[i]->cut_off = true;
    }
    fleet.run(2 * kSecond);
    guint late = fleet.late;
    guint failed = fleet.failed;
    for (guint i = 0; i < fleet.hosts.size(); i += kHostsCutOff) {
        fleet.hosts[i]->cut_off = false;
    }
    fleet.run(6 * kSecond);
    return {0, fleet.late - late, 0, 0, fleet.failed - failed};
}

// No host reaches p0 for two seconds; how much it gets in the six after it.
seen_t
reach_again(gboolean finds_pace)
{
    PaceFleet fleet(finds_pace);
    fleet.run(3 * kSecond);
    fleet.upstreams[fleet.upstream_id(0)].reachable = false;
    fleet.run(2 * kSecond);
    fleet.upstreams[fleet.upstream_id(0)].reachable = true;
    gint64 from_us = fleet.now_us;
    fleet.run(6 * kSecond);
    return {fleet.sent_since(0, from_us), fleet.late, 0, 0, fleet.failed};
}

TEST(Pace, ASlowUpstreamGetsLessAfterItsStart)
{
    for (auto how : {after_start_t::one_by_one, after_start_t::slow}) {
        seen_t without = start_again(FALSE, how);
        seen_t with = start_again(TRUE, how);
        EXPECT_LT(with.sent, without.sent);
        EXPECT_GT(with.sent, 0u);
        EXPECT_EQ(with.failed, 0u);
    }
}

TEST(Pace, ASoundUpstreamIsNotLeftIdleAfterItsStart)
{
    seen_t without = start_again(FALSE, after_start_t::sound);
    seen_t with = start_again(TRUE, after_start_t::sound);
    EXPECT_GE(with.sent, without.sent);
    EXPECT_EQ(with.failed, 0u);
}

TEST(Pace, AnUpstreamThatRefusesAfterItsStartIsAskedLessOften)
{
    seen_t without = start_again(FALSE, after_start_t::refuses);
    seen_t with = start_again(TRUE, after_start_t::refuses);
    EXPECT_LT(with.refusals, without.refusals);
    EXPECT_EQ(with.failed, 0u);
}

TEST(Pace, AnUpstreamThatFlapsBreaksFewerRequests)
{
    seen_t without = flap(FALSE);
    seen_t with = flap(TRUE);
    EXPECT_LT(with.broken, without.broken);
    EXPECT_LT(with.late, without.late);
    EXPECT_EQ(with.failed, 0u);
}

TEST(Pace, HostsThatWereCutOffServeSooner)
{
    seen_t without = cut_hosts(FALSE);
    seen_t with = cut_hosts(TRUE);
    EXPECT_LT(with.failed, without.failed);
    EXPECT_LT(with.failed + with.late, without.failed + without.late);
}

TEST(Pace, AnUpstreamThatCanBeReachedAgainGetsWorkSooner)
{
    seen_t without = reach_again(FALSE);
    seen_t with = reach_again(TRUE);
    EXPECT_GT(with.sent, without.sent);
    EXPECT_EQ(with.failed, 0u);
}

// Then there is nowhere else to go, and no request waits for a pace.
TEST(Pace, AllUpstreamsThatStartAtOnceTakeAllRequests)
{
    PaceFleet fleet(TRUE);
    fleet.run(3 * kSecond);
    guint done = fleet.done;
    for (guint i = 0; i < fleet.options.upstreams; i++) {
        fleet.start_upstream(i, after_start_t::sound);
    }
    fleet.run(2 * kSecond);
    EXPECT_EQ(fleet.late, 0u);
    EXPECT_EQ(fleet.failed, 0u);
    EXPECT_GT(fleet.done - done, 2 * fleet.options.requests_per_s * 0.95);
}

// Its first list shows it nothing that has started.
TEST(Pace, AHostThatStartsAgainUsesAllUpstreamsAtOnce)
{
    PaceFleet fleet(TRUE);
    fleet.run(3 * kSecond);
    guint failed = fleet.failed;
    for (guint i = 0; i < fleet.hosts.size(); i++) {
        fleet.start(i);
    }
    gint64 from_us = fleet.now_us;
    fleet.run(kSecond);
    for (guint i = 0; i < fleet.options.upstreams; i++) {
        EXPECT_GT(fleet.sent_since(i, from_us),
                  fleet.options.requests_per_s / fleet.options.upstreams / 2);
    }
    EXPECT_EQ(fleet.failed, failed);
}

class PaceCore : public core_test::CoreTest {
  protected:
    // Where short prompts go after e0 has started again.
    std::vector<guint64>
    engines_after_start(gboolean with)
    {
        finds_pace = with;
        start_core(4);
        advance(5 * kSecond);
        restart(cq_ident_hash("e0"));
        std::vector<guint64> engines;
        for (int i = 0; i < 12; i++) {
            guint64 id = submit_short();
            advance(20 * kMs);
            const cq_ac_send_t *send = last_send(id);
            engines.push_back(send != nullptr ? send->upstream : 0);
        }
        return engines;
    }
};

// The ledger holds all that runs on an engine.
TEST_F(PaceCore, EnginesAreUsedAsWithoutIt)
{
    std::vector<guint64> without = engines_after_start(FALSE);
    TearDown();
    rows.clear();
    all_actions.clear();
    now_us = 1000 * kSecond;
    request_serial = 0;
    EXPECT_EQ(engines_after_start(TRUE), without);
    EXPECT_NE(without.front(), 0u);
}

} // namespace
