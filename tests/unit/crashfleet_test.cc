// A call that crashes each upstream which runs it, at fleets of several sizes,
// while hosts start again, freeze and are cut off. The load: the call comes
// four times a second, at any host, beside sound ones.
#include "fleetfixture.h"

namespace {

using core_test::fleet_options_t;
using core_test::kMs;
using core_test::kSecond;

constexpr guint64 kBad = 0xbadca11;
constexpr guint64 kSound = 0x50;
constexpr gint64 kCrashAfter = 60 * kMs;
constexpr gint64 kUpstreamDown = 3 * kSecond;
constexpr gint64 kCallTime = 40 * kMs;
// Hosts learn of new records of the store, and have links again, after this.
constexpr gint64 kLearnDelay = 100 * kMs;
// The rule counts what is sent later than this after the third crash, by hosts
// that have been undisturbed for as long, and allows three.
constexpr gint64 kStable = 3 * kSecond;
constexpr guint kAllowed = 3;

class CrashFleet : public core_test::Fleet {
  public:
    explicit CrashFleet(const fleet_options_t &with)
        : core_test::Fleet(with), disturbed_us(with.hosts, 0)
    {
    }
    void
    restart(guint i)
    {
        disturbed_us[i] = now_us;
        start(i);
        // A host that starts reads the store and is linked with its peers.
        later(kLearnDelay, [this, i] {
            for (const auto &record : records) {
                post_parts(i, record.second, written_us[record.first]);
            }
            relink(i);
        });
    }
    void
    set_running(guint i, bool running)
    {
        disturbed_us[i] = now_us;
        hosts[i]->running = running;
        if (running) {
            later(kLearnDelay, [this, i] { relink(i); });
        }
    }
    void
    cut(const std::string &zone, bool cut_off)
    {
        for (guint i = 0; i < hosts.size(); i++) {
            if (hosts[i]->zone == zone) {
                hosts[i]->cut_off = cut_off;
                disturbed_us[i] = now_us;
                if (!cut_off) {
                    later(kLearnDelay, [this, i] { relink(i); });
                }
            }
        }
    }
    // Runs of the bad call that count against the rule.
    guint
    late_runs() const
    {
        guint count = 0;
        for (const run_t &run : bad_runs) {
            count += crashes_us.size() >= 3 &&
                     run.at_us > crashes_us[2] + kStable && !run.excused;
        }
        return count;
    }
    bool
    third_crash_seen() const
    {
        return crashes_us.size() >= 3;
    }

    std::vector<gint64> crashes_us;
    guint sound_asked = 0;
    guint sound_answered = 0;

  private:
    struct run_t {
        gint64 at_us;
        bool excused;
    };
    struct upstream_t {
        guint64 incarnation = 1;
        bool is_down = false;
        std::vector<std::pair<guint, cq_ac_send_t>> runs;
    };

    void
    fill_request(cq_ev_request_t &request) override
    {
        bool bad = ++request_count % bad_every() == 0;
        request.fingerprint = bad ? kBad : kSound + request_count % 7;
        is_bad[request.id] = bad;
        sound_asked += !bad;
    }
    guint
    bad_every() const
    {
        return (guint)(options.requests_per_s / 4);
    }
    void
    on_action(guint i, const cq_action_t &action) override
    {
        if (action.kind == CQ_AC_PART) {
            std::vector<cq_part_report_t> rows = {action.part};
            gint64 at_us = now_us;
            send_to_peers(i, [=](guint to) {
                post_parts(to, rows, at_us);
                // In cells a host tells its zone what comes from another one.
                if (hosts[to]->zone != hosts[i]->zone &&
                    cq_core_has_cells(hosts[to]->core)) {
                    send_to_peers(to, [=](guint next) {
                        if (hosts[next]->zone == hosts[to]->zone) {
                            post_parts(next, rows, at_us);
                        }
                    });
                }
            });
        }
        else if (action.kind == CQ_AC_PART_RECORD) {
            const cq_part_record_t &record = action.part_record;
            records[record.part].assign(record.crashes,
                                        record.crashes + record.len);
            written_us[record.part] = now_us;
        }
        else if (action.kind == CQ_AC_ANSWER) {
            sound_answered += !is_bad[action.answer.request] &&
                              action.answer.outcome == CQ_OUTCOME_DONE;
        }
    }
    void
    post_parts(guint i, std::vector<cq_part_report_t> rows, gint64 at_us)
    {
        for (cq_part_report_t &row : rows) {
            row.age_us += now_us - at_us;
        }
        cq_event_t event = {};
        event.kind = CQ_EV_PARTS;
        event.parts.rows = rows.data();
        event.parts.len = (guint)rows.size();
        if (!rows.empty()) {
            step(i, event);
        }
    }
    // New links: both sides tell all that they know.
    void
    relink(guint i)
    {
        guint len;
        const cq_host_row_t *peers = cq_core_peers(hosts[i]->core, &len);
        for (guint k = 0; k < len; k++) {
            guint peer = (guint)atoi(peers[k].name + 1);
            if (hosts[peer]->running &&
                hosts[peer]->cut_off == hosts[i]->cut_off) {
                tell_all(i, peer);
                tell_all(peer, i);
            }
        }
    }
    void
    tell_all(guint from, guint to)
    {
        GArray *reports = g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
        cq_core_part_reports(hosts[from]->core, reports);
        const cq_part_report_t *rows =
            (const cq_part_report_t *)(const void *)reports->data;
        post_parts(to, {rows, rows + reports->len}, now_us);
        g_array_unref(reports);
    }
    void
    on_send(guint i, const cq_ac_send_t &send) override
    {
        upstream_t &upstream = upstreams[send.upstream];
        if (upstream.is_down) {
            later(kMs, [=] { fail(i, send, CQ_FAIL_CONNECT); });
            return;
        }
        guint64 incarnation = hosts[i]->incarnation;
        upstream.runs.push_back({i, send});
        attempt_event(i, CQ_EV_SENT, send);
        if (is_bad[send.request]) {
            bad_runs.push_back({now_us, now_us - disturbed_us[i] < kStable});
            guint64 run_by = upstream.incarnation;
            later(kCrashAfter, [=] { crash(send.upstream, run_by); });
            return;
        }
        later(kCallTime, [=] {
            std::vector<std::pair<guint, cq_ac_send_t>> &runs =
                upstreams[send.upstream].runs;
            for (size_t k = 0; k < runs.size(); k++) {
                if (runs[k].second.request == send.request &&
                    hosts[i]->incarnation == incarnation) {
                    runs.erase(runs.begin() + (long)k);
                    attempt_event(i, CQ_EV_DONE, send);
                    return;
                }
            }
        });
    }
    void
    fail(guint i, const cq_ac_send_t &send, cq_failure_t failure)
    {
        attempt_event(i, CQ_EV_FAILED, send, failure);
    }
    void
    crash(guint64 id, guint64 run_by)
    {
        if (upstreams[id].incarnation != run_by || upstreams[id].is_down) {
            return;
        }
        crashes_us.push_back(now_us);
        upstreams[id].is_down = true;
        std::vector<std::pair<guint, cq_ac_send_t>> runs;
        runs.swap(upstreams[id].runs);
        for (const auto &run : runs) {
            fail(run.first, run.second, CQ_FAIL_BROKEN);
        }
        later(kUpstreamDown, [=] {
            upstreams[id].is_down = false;
            upstreams[id].incarnation++;
            for (cq_host_row_t &row : rows) {
                row.incarnation += cq_ident_hash(row.name) == id;
            }
            for (guint i = 0; i < hosts.size(); i++) {
                later(kLearnDelay, [=] { send_list(i); });
            }
        });
    }

    std::vector<gint64> disturbed_us;
    std::vector<run_t> bad_runs;
    std::map<guint64, upstream_t> upstreams;
    std::map<guint64, bool> is_bad;
    std::map<guint64, std::vector<cq_part_report_t>> records;
    std::map<guint64, gint64> written_us;
    guint request_count = 0;
};

class CrashingCall : public ::testing::TestWithParam<fleet_options_t> {};

TEST_P(CrashingCall, StaysBlockedOverRestartsFreezesAndCuts)
{
    CrashFleet fleet(GetParam());
    guint n = fleet.options.hosts;
    guint every = MIN(n, 10);
    for (int i = 0; i < 30 && !fleet.third_crash_seen(); i++) {
        fleet.run(kSecond);
    }
    ASSERT_TRUE(fleet.third_crash_seen());
    fleet.run(6 * kSecond);
    for (guint i = 0; i < n; i += every) {
        fleet.restart(i);
    }
    fleet.run(6 * kSecond);
    for (guint i = 1; i < n; i += every) {
        fleet.set_running(i, false);
    }
    fleet.run(4 * kSecond);
    for (guint i = 1; i < n; i += every) {
        fleet.set_running(i, true);
    }
    fleet.run(6 * kSecond);
    fleet.cut("b", true);
    fleet.run(6 * kSecond);
    fleet.cut("b", false);
    fleet.run(6 * kSecond);
    for (guint i = 0; i < n; i++) {
        fleet.restart(i);
    }
    fleet.sound_asked = fleet.sound_answered = 0;
    fleet.run(8 * kSecond);
    EXPECT_LE(fleet.late_runs(), kAllowed);
    EXPECT_GE(fleet.sound_answered, fleet.sound_asked * 9 / 10);
}

// Frozen or cut off while the call crashes upstreams, and back afterwards.
TEST_P(CrashingCall, IsLearntByHostsThatMissedIt)
{
    CrashFleet fleet(GetParam());
    guint n = fleet.options.hosts;
    fleet.cut("b", true);
    for (guint i = 3; i < n; i += 10) {
        fleet.set_running(i, false);
    }
    for (int i = 0; i < 30 && !fleet.third_crash_seen(); i++) {
        fleet.run(kSecond);
    }
    ASSERT_TRUE(fleet.third_crash_seen());
    fleet.run(5 * kSecond);
    fleet.cut("b", false);
    for (guint i = 3; i < n; i += 10) {
        fleet.set_running(i, true);
    }
    fleet.run(15 * kSecond);
    EXPECT_LE(fleet.late_runs(), kAllowed);
}

// All hosts are killed just after the third crash.
TEST_P(CrashingCall, StaysBlockedIfAllHostsAreKilled)
{
    CrashFleet fleet(GetParam());
    for (int i = 0; i < 1500 && !fleet.third_crash_seen(); i++) {
        fleet.run(20 * kMs);
    }
    ASSERT_TRUE(fleet.third_crash_seen());
    fleet.run(200 * kMs);
    for (guint i = 0; i < fleet.options.hosts; i++) {
        fleet.restart(i);
    }
    fleet.run(15 * kSecond);
    EXPECT_LE(fleet.late_runs(), kAllowed);
}

INSTANTIATE_TEST_SUITE_P(Sizes, CrashingCall,
                         ::testing::Values(fleet_options_t{4, 3, 3, 12},
                                           fleet_options_t{4, 3, 8, 40},
                                           fleet_options_t{35, 3, 7, 80},
                                           fleet_options_t{117, 5, 6, 120},
                                           fleet_options_t{330, 5, 12, 200}));

} // namespace
