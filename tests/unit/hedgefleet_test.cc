// Sound upstreams that fall silent for a second and a half, at fleets of
// several sizes. The load: streams take three quarters of the upstreams'
// slots, so that upstreams often refuse, and an upstream that looks free to a
// host may have been filled by others.
#include "fleetfixture.h"

namespace {

using core_test::fleet_options_t;
using core_test::kMs;
using core_test::kSecond;

constexpr gint64 kEvents = 12;
constexpr gint64 kEventGap = 100 * kMs;
constexpr guint kSlots = 6;
constexpr gint64 kSilence = 1500 * kMs;
constexpr gint64 kSilencePeriod = 6 * kSecond;
constexpr gint64 kTimeout = 6 * kSecond;

class SilentFleet : public core_test::Fleet {
  public:
    explicit SilentFleet(const fleet_options_t &with)
        : core_test::Fleet(with), busy(with.upstreams)
    {
        for (guint i = 0; i < with.upstreams; i++) {
            index_of[upstream_id(i)] = i;
        }
    }

    guint begun = 0;
    guint done = 0;
    guint lost = 0;
    guint second_runs = 0;
    guint refused = 0;
    guint misordered = 0;

  private:
    struct run_t {
        guint host;
        guint upstream;
        gint64 next;
        bool running = true;
    };
    using key_t = std::pair<guint64, guint32>;

    void
    fill_request(cq_ev_request_t &request) override
    {
        request.resumable = TRUE;
        request.timeout_us = kTimeout;
    }
    // When the upstream sends what it has ready at @at_us.
    gint64
    sends_us(guint upstream, gint64 at_us) const
    {
        gint64 offset_us = upstream * kSilencePeriod / options.upstreams;
        gint64 in_period_us = (at_us + offset_us) % kSilencePeriod;
        return in_period_us < kSilence ? at_us + kSilence - in_period_us
                                       : at_us;
    }
    void
    on_send(guint i, const cq_ac_send_t &send) override
    {
        guint upstream = index_of[send.upstream];
        second_runs += send.attempt > 1;
        if (busy[upstream] >= kSlots) {
            refused++;
            later(kMs, [this, i, send] {
                attempt_event(i, CQ_EV_SENT, send);
                attempt_event(i, CQ_EV_FAILED, send, CQ_FAIL_REFUSED);
            });
            return;
        }
        busy[upstream]++;
        runs[{send.request, send.attempt}] = {i, upstream, send.resume_from};
        later(kMs, [this, i, send] { attempt_event(i, CQ_EV_SENT, send); });
        schedule(send);
    }
    void
    schedule(const cq_ac_send_t &send)
    {
        guint upstream = index_of[send.upstream];
        gint64 at_us = sends_us(upstream, now_us + kEventGap);
        later(at_us - now_us, [this, send] { emit(send); });
    }
    void
    emit(const cq_ac_send_t &send)
    {
        run_t &run = runs[{send.request, send.attempt}];
        if (!run.running) {
            return;
        }
        run.next++;
        cq_event_t event = {};
        event.kind = CQ_EV_TOKENS;
        event.attempt.request = send.request;
        event.attempt.attempt = send.attempt;
        event.attempt.tokens = 1;
        step(run.host, event);
        if (run.next < kEvents) {
            schedule(send);
            return;
        }
        end(run);
        attempt_event(run.host, CQ_EV_DONE, send);
    }
    void
    end(run_t &run)
    {
        busy[run.upstream] -= run.running;
        run.running = false;
    }
    void
    on_action(guint i, const cq_action_t &action) override
    {
        (void)i;
        if (action.kind == CQ_AC_STOP) {
            auto found =
                runs.find({action.attempt.request, action.attempt.attempt});
            if (found != runs.end()) {
                end(found->second);
            }
        }
        else if (action.kind == CQ_AC_FORWARD) {
            const cq_ac_attempt_t &attempt = action.attempt;
            gint64 event = runs[{attempt.request, attempt.attempt}].next;
            gint64 &last = forwarded[attempt.request];
            begun += last == 0;
            misordered += event != last + 1;
            last = event;
        }
        else if (action.kind == CQ_AC_ANSWER) {
            bool is_done = action.answer.outcome == CQ_OUTCOME_DONE;
            done += is_done;
            lost += !is_done && forwarded.count(action.answer.request) > 0;
        }
    }

    std::vector<guint> busy;
    std::map<guint64, guint> index_of;
    std::map<key_t, run_t> runs;
    std::map<guint64, gint64> forwarded;
};

class SilentUpstreams : public ::testing::TestWithParam<fleet_options_t> {};

TEST_P(SilentUpstreams, CutNoStreamThatASoundUpstreamRuns)
{
    SilentFleet fleet(GetParam());
    fleet.run(15 * kSecond);
    EXPECT_GT(fleet.second_runs, 0u);
    EXPECT_GT(fleet.refused, 0u);
    EXPECT_GT(fleet.done, 0u);
    EXPECT_EQ(fleet.lost, 0u) << "of " << fleet.begun;
    EXPECT_EQ(fleet.misordered, 0u);
}

INSTANTIATE_TEST_SUITE_P(Sizes, SilentUpstreams,
                         ::testing::Values(fleet_options_t{4, 2, 8, 30},
                                           fleet_options_t{117, 5, 30, 110},
                                           fleet_options_t{330, 5, 60, 220}));

} // namespace
