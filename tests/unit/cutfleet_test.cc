// Hosts that are cut off from all upstreams by resets, at fleets of several
// sizes. The load: callers send one and the same slow call, at any host.
#include "fleetfixture.h"

#include "core/quarantine.h"

namespace {

using core_test::fleet_options_t;
using core_test::kMs;
using core_test::kSecond;

constexpr guint64 kCall = 0xca11;
constexpr guint64 kBad = 0xbadca11;
constexpr guint kCutEvery = 4;
constexpr gint64 kCallTime = 2500 * kMs;
constexpr gint64 kResetAfter = 5 * kMs;
constexpr gint64 kCrashAfter = 60 * kMs;
// What a host says has arrived everywhere, in cells by way of another host.
constexpr gint64 kExchange = 200 * kMs;

class CutFleet : public core_test::Fleet {
  public:
    explicit CutFleet(const fleet_options_t &with)
        : core_test::Fleet(with), state(with.hosts, state_t::linked)
    {
    }
    void
    cut_some()
    {
        cut_us = now_us;
        for (guint i = 0; i < state.size(); i += kCutEvery) {
            state[i] = state_t::reset;
        }
    }
    // The hosts that are cut off know it.
    void
    find_cut()
    {
        for (guint i = 0; i < state.size(); i += kCutEvery) {
            state[i] = state_t::known;
            act(i, [this](cq_core_t *core, cq_actions_t *out) {
                core->now_us = now_us;
                core->actions = out;
                cq_quarantine_retract(core, cut_us);
                core->actions = nullptr;
            });
        }
    }
    // Host @i is linked with its peers again: both sides tell all they know.
    void
    relink(guint i)
    {
        guint len;
        const cq_host_row_t *peers = cq_core_peers(hosts[i]->core, &len);
        for (guint k = 0; k < len; k++) {
            guint peer = (guint)atoi(peers[k].name + 1);
            tell_all(i, peer);
            tell_all(peer, i);
        }
    }
    // Number of hosts that refuse the call.
    guint
    blocking(guint64 content)
    {
        guint count = 0;
        for (guint i = 0; i < hosts.size(); i++) {
            cq_event_t event = {};
            event.kind = CQ_EV_REQUEST;
            event.request.id =
                cq_ident_request(cq_ident_host(hosts[i]->name.c_str()),
                                 hosts[i]->incarnation, ++hosts[i]->serial);
            event.request.service = "p";
            event.request.team = "t";
            event.request.model = "";
            event.request.prompt_tokens = 1;
            event.request.timeout_us = 3 * kSecond;
            event.request.target_us = 300 * kMs;
            event.request.attempts_max = 1;
            event.request.fingerprint = content;
            probe = event.request.id;
            probe_blocked = false;
            step(i, event);
            count += probe_blocked;
            probe = 0;
            event = {};
            event.kind = CQ_EV_HANGUP;
            event.attempt.request =
                cq_ident_request(cq_ident_host(hosts[i]->name.c_str()),
                                 hosts[i]->incarnation, hosts[i]->serial);
            step(i, event);
        }
        return count;
    }

    // One call in so many crashes each upstream that runs it; 0: none.
    guint bad_every = 0;
    // All other calls are the same one.
    bool all_the_same = true;

  private:
    enum class state_t { linked, reset, known };

    void
    fill_request(cq_ev_request_t &request) override
    {
        count++;
        bool bad = bad_every > 0 && count % bad_every == 0;
        request.fingerprint = bad            ? kBad
                              : all_the_same ? kCall
                                             : kCall + count;
        is_bad[request.id] = bad;
    }
    void
    on_action(guint i, const cq_action_t &action) override
    {
        if (action.kind == CQ_AC_PART) {
            cq_part_report_t row = action.part;
            send_to_peers(i, [this, i, row](guint to) {
                apply(to, row);
                // In cells a host tells its zone what comes from another one.
                if (hosts[to]->zone != hosts[i]->zone &&
                    cq_core_has_cells(hosts[to]->core)) {
                    send_to_peers(to, [this, to, row](guint next) {
                        if (hosts[next]->zone == hosts[to]->zone) {
                            apply(next, row);
                        }
                    });
                }
            });
        }
        else if (action.kind == CQ_AC_ANSWER &&
                 action.answer.request == probe) {
            probe_blocked =
                action.answer.outcome == CQ_OUTCOME_REQUEST_BLOCKED;
        }
    }
    void
    tell_all(guint from, guint to)
    {
        GArray *reports = g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
        cq_core_part_reports(hosts[from]->core, reports);
        for (guint k = 0; k < reports->len; k++) {
            apply(to, g_array_index(reports, cq_part_report_t, k));
        }
        g_array_unref(reports);
    }
    void
    apply(guint i, const cq_part_report_t &row)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_PARTS;
        event.parts.rows = &row;
        event.parts.len = 1;
        step(i, event);
    }
    void
    on_send(guint i, const cq_ac_send_t &send) override
    {
        if (send.request == probe) {
            return;
        }
        if (state[i] == state_t::known) {
            later(kMs, [=, this] {
                attempt_event(i, CQ_EV_FAILED, send, CQ_FAIL_CONNECT);
            });
            return;
        }
        attempt_event(i, CQ_EV_SENT, send);
        if (state[i] == state_t::reset) {
            later(kResetAfter,
                  [=, this] { attempt_event(i, CQ_EV_FAILED, send); });
        }
        else if (is_bad[send.request]) {
            later(kCrashAfter, [=, this] {
                attempt_event(i, CQ_EV_FAILED, send);
                restart(send.upstream);
            });
        }
        else {
            later(kCallTime,
                  [=, this] { attempt_event(i, CQ_EV_DONE, send); });
        }
    }
    void
    restart(guint64 upstream)
    {
        for (cq_host_row_t &row : rows) {
            row.incarnation += cq_ident_hash(row.name) == upstream;
        }
        for (guint i = 0; i < hosts.size(); i++) {
            send_list(i);
        }
    }

    std::vector<state_t> state;
    std::map<guint64, bool> is_bad;
    gint64 cut_us = 0;
    guint64 count = 0;
    guint64 probe = 0;
    bool probe_blocked = false;
};

class CutOffHosts : public ::testing::TestWithParam<fleet_options_t> {};

TEST_P(CutOffHosts, HaveNoHostBlockACallOnceTheyKnow)
{
    CutFleet fleet(GetParam());
    fleet.cut_some();
    fleet.run(2 * kSecond);
    ASSERT_EQ(fleet.blocking(kCall), fleet.options.hosts);
    fleet.options.requests_per_s = 0;
    fleet.find_cut();
    fleet.run(kExchange);
    EXPECT_EQ(fleet.blocking(kCall), 0u);
}

// The host that froze is not one of those that are cut off.
TEST_P(CutOffHosts, HaveNoHostBlockACallThoughOneMissedIt)
{
    CutFleet fleet(GetParam());
    fleet.cut_some();
    fleet.run(2 * kSecond);
    ASSERT_EQ(fleet.blocking(kCall), fleet.options.hosts);
    fleet.options.requests_per_s = 0;
    fleet.hosts[1]->running = false;
    fleet.find_cut();
    fleet.run(kSecond);
    fleet.hosts[1]->running = true;
    fleet.relink(1);
    EXPECT_EQ(fleet.blocking(kCall), 0u);
}

TEST_P(CutOffHosts, LeaveACallBlockedThatCrashesUpstreams)
{
    CutFleet fleet(GetParam());
    fleet.all_the_same = false;
    fleet.bad_every = 5;
    fleet.run(5 * kSecond);
    ASSERT_EQ(fleet.blocking(kBad), fleet.options.hosts);
    fleet.cut_some();
    fleet.all_the_same = true;
    fleet.run(2 * kSecond);
    fleet.find_cut();
    fleet.run(kExchange);
    EXPECT_EQ(fleet.blocking(kBad), fleet.options.hosts);
}

INSTANTIATE_TEST_SUITE_P(Sizes, CutOffHosts,
                         ::testing::Values(fleet_options_t{4, 3, 8, 60},
                                           fleet_options_t{117, 5, 10, 120},
                                           fleet_options_t{330, 5, 12, 200}));

} // namespace
