// A planned stop: which requests a host that is stopping still starts.
#include "corefixture.h"

namespace {

using core_test::kMs;
using core_test::kSecond;

constexpr gint64 kNotice = 2800 * kMs;
constexpr gint64 kLimit = 7500 * kMs;
constexpr gint64 kLong = 6 * kSecond;
constexpr gint64 kShort = 40 * kMs;
constexpr guint64 kShortRoute = 11;
constexpr guint64 kLongRoute = 12;

class Stop : public core_test::CoreTest {
  protected:
    // A host that knows how long the calls of both routes take.
    void
    SetUp() override
    {
        timeout_us = 30 * kSecond;
        start_core(0, 2);
    }
    void
    learn(guint64 route, gint64 run_us)
    {
        std::vector<guint64> ids;
        for (int i = 0; i < 10; i++) {
            ids.push_back(call(route));
            attempt_event(ids.back(), CQ_EV_SENT);
        }
        advance(run_us);
        for (guint64 id : ids) {
            attempt_event(id, CQ_EV_DONE);
        }
    }
    guint64
    call(guint64 route, gboolean repeatable = FALSE)
    {
        kind = route;
        return submit(1, 300 * kMs, 0, "p", repeatable);
    }
    void
    stop(gint64 notice_us = kNotice, gint64 limit_us = kLimit)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_DRAIN;
        event.drain.notice_us = notice_us;
        event.drain.limit_us = limit_us;
        step(event);
        stopped_us = now_us;
    }
    void
    advance_to(gint64 after_stop_us)
    {
        advance(stopped_us + after_stop_us - now_us);
    }
    // The request was refused as not run and never sent.
    void
    expect_refused(guint64 id)
    {
        const cq_ac_answer_t *answer = answer_of(id);
        ASSERT_NE(answer, nullptr);
        EXPECT_EQ(answer->outcome, CQ_OUTCOME_DRAINING);
        EXPECT_EQ(answer->status, 503);
        EXPECT_EQ(answer->ran, CQ_RAN_NO);
        EXPECT_GT(answer->retry_after_us, 0);
        EXPECT_EQ(last_send(id), nullptr);
    }
    void
    expect_started(guint64 id)
    {
        EXPECT_EQ(answer_of(id), nullptr);
        EXPECT_NE(last_send(id), nullptr);
    }

    gint64 stopped_us = 0;
};

TEST_F(Stop, ACallThatMayOutlastItIsRefusedAsNotRun)
{
    learn(kLongRoute, kLong);
    stop();
    advance_to(2000 * kMs);
    for (gboolean repeatable : {0, 1}) {
        expect_refused(call(kLongRoute, repeatable));
    }
}

TEST_F(Stop, ACallThatEndsBeforeItDoesIsStarted)
{
    learn(kLongRoute, kLong);
    stop();
    advance_to(1000 * kMs);
    guint64 id = call(kLongRoute);
    expect_started(id);
    attempt_event(id, CQ_EV_SENT);
    advance(kLong);
    attempt_event(id, CQ_EV_DONE);
    EXPECT_EQ(answer_of(id)->status, 200);
}

// The routes' timeout is far beyond the end of the stop.
TEST_F(Stop, ShortCallsAreServedThroughTheNotice)
{
    learn(kShortRoute, kShort);
    learn(kLongRoute, kLong);
    stop();
    for (int i = 0; i < 27; i++) {
        advance(100 * kMs);
        guint64 id = call(kShortRoute);
        expect_started(id);
        attempt_event(id, CQ_EV_SENT);
        attempt_event(id, CQ_EV_DONE);
        EXPECT_EQ(answer_of(id)->status, 200);
    }
}

TEST_F(Stop, ACallWhoseTimeEndsBeforeItDoesIsStarted)
{
    stop();
    advance_to(2000 * kMs);
    timeout_us = 5 * kSecond;
    expect_started(call(kLongRoute));
}

TEST_F(Stop, AnUnknownKindOfCallCountsByItsTimeLimit)
{
    learn(kShortRoute, kShort);
    stop();
    advance_to(2000 * kMs);
    expect_refused(call(kLongRoute));
}

TEST_F(Stop, ACallThatRunsWhenItBeginsGoesOn)
{
    learn(kLongRoute, kLong);
    guint64 id = call(kLongRoute);
    attempt_event(id, CQ_EV_SENT);
    stop();
    advance_to(kLong);
    EXPECT_EQ(answer_of(id), nullptr);
    attempt_event(id, CQ_EV_DONE);
    EXPECT_EQ(answer_of(id)->status, 200);
}

// Both upstreams ask for a pause, so the call waits.
TEST_F(Stop, AWaitingCallIsRefusedOnceItMayOutlastIt)
{
    learn(kLongRoute, kLong);
    upstream_says(cq_ident_hash("p0"), 1, FALSE, 5 * kSecond);
    upstream_says(cq_ident_hash("p1"), 1, FALSE, 5 * kSecond);
    guint64 id = call(kLongRoute);
    EXPECT_EQ(last_send(id), nullptr);
    stop();
    advance_to(1400 * kMs);
    EXPECT_EQ(answer_of(id), nullptr);
    advance_to(1600 * kMs);
    expect_refused(id);
}

// A call that may have run is no longer refused, as "not run" may be untrue.
TEST_F(Stop, ACallThatMayHaveRunIsNotRefusedAsNotRun)
{
    learn(kLongRoute, kLong);
    guint64 id = call(kLongRoute);
    attempt_event(id, CQ_EV_SENT);
    stop();
    advance_to(kLimit + 20 * kMs);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->ran, CQ_RAN_UNKNOWN);
}

TEST_F(Stop, ALongRunCountsThoughAHundredShorterOnesFollowed)
{
    learn(kLongRoute, kLong);
    for (int i = 0; i < 12; i++) {
        learn(kLongRoute, kShort);
    }
    stop();
    advance_to(2000 * kMs);
    expect_refused(call(kLongRoute));
}

TEST_F(Stop, ALongRunIsForgottenAfterSomeHundredShorterOnes)
{
    learn(kLongRoute, kLong);
    for (int i = 0; i < 26; i++) {
        learn(kLongRoute, kShort);
    }
    stop();
    advance_to(2000 * kMs);
    expect_started(call(kLongRoute));
}

// Its answer would come back through this host.
TEST_F(Stop, ACutHostPassesOnNothingThatMayOutlastIt)
{
    learn(kLongRoute, kLong);
    learn(kShortRoute, kShort);
    add_host_row("h1", "", "a");
    g_strlcpy(rows.back().callers, "h1:80", sizeof rows.back().callers);
    send_host_list();
    peer_sends_summary("h1");
    on_kept_conn = FALSE;
    guint64 failing = call(kShortRoute);
    for (int i = 0; i < 2; i++) {
        attempt_event(failing, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    }
    for (size_t i = 0; i < all_actions.size(); i++) {
        if (all_actions[i].kind == CQ_AC_REACH) {
            cq_event_t event = {};
            event.kind = CQ_EV_REACHED;
            event.reached.upstream = all_actions[i].reach.upstream;
            step(event);
        }
    }
    auto handed_on = [this](guint64 id) {
        for (const cq_action_t &action : all_actions) {
            if (action.kind == CQ_AC_HAND && action.hand.request == id) {
                return true;
            }
        }
        return false;
    };
    stop();
    EXPECT_TRUE(handed_on(call(kShortRoute)));
    EXPECT_TRUE(handed_on(call(kLongRoute)));
    advance(1000 * kMs);
    peer_sends_summary("h1");
    advance(1000 * kMs);
    peer_sends_summary("h1");
    EXPECT_TRUE(handed_on(call(kShortRoute)));
    guint64 id = call(kLongRoute);
    EXPECT_FALSE(handed_on(id));
    expect_refused(id);
    advance_to(kNotice);
    peer_sends_summary("h1");
    id = call(kShortRoute);
    EXPECT_FALSE(handed_on(id));
    expect_refused(id);
}

TEST_F(Stop, PeersLearnOfItAtOnce)
{
    auto told = [this] {
        for (const cq_action_t &action : all_actions) {
            if (action.kind == CQ_AC_SUMMARY) {
                return true;
            }
        }
        return false;
    };
    all_actions.clear();
    while (!told()) {
        advance(10 * kMs);
    }
    advance(60 * kMs);
    all_actions.clear();
    stop();
    advance(60 * kMs);
    EXPECT_TRUE(told());
}

} // namespace
