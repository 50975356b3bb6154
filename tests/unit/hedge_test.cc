// A second attempt beside a silent one: which of the two answers the caller,
// and what happens when one of them fails.
#include "corefixture.h"

#include <map>

namespace {

using core_test::kMs;
using core_test::kSecond;

class Hedge : public core_test::CoreTest {
  protected:
    // A request of the plain service whose upstream has been silent for so
    // long that another one is tried too; both have received it.
    guint64
    hedged_call()
    {
        guint64 id = submit(1, 300 * kMs, 0, "p");
        attempt_event(id, CQ_EV_SENT);
        advance(300 * kMs);
        attempt_event(id, CQ_EV_SENT);
        return id;
    }
    // The same for a stream of which the caller has one event.
    guint64
    hedged_stream(const char *service = "p")
    {
        guint64 id = submit(2000, 300 * kMs, 200 * kMs, service);
        attempt_event(id, CQ_EV_TOKENS);
        advance(1500 * kMs);
        attempt_event(id, CQ_EV_SENT);
        return id;
    }
    guint
    count_actions(cq_action_kind_t kind, guint64 request, guint32 attempt)
    {
        guint count = 0;
        for (const cq_action_t &action : all_actions) {
            count += action.kind == kind &&
                     action.attempt.request == request &&
                     action.attempt.attempt == attempt;
        }
        return count;
    }
    guint
    stops_of(guint64 request, guint32 attempt)
    {
        return count_actions(CQ_AC_STOP, request, attempt);
    }
    guint
    forwards_of(guint64 request, guint32 attempt)
    {
        return count_actions(CQ_AC_FORWARD, request, attempt);
    }
    void
    expect_success(guint64 request)
    {
        ASSERT_NE(answer_of(request), nullptr);
        EXPECT_EQ(answer_of(request)->outcome, CQ_OUTCOME_DONE);
        EXPECT_EQ(answer_of(request)->status, 200);
    }
};

// The load: streams on a service whose upstreams are nearly full, so that the
// one that looks free refuses.
TEST_F(Hedge, AStreamWhoseSecondUpstreamRefusesIsNotCut)
{
    start_core(0, 2);
    guint64 id = hedged_stream();
    ASSERT_EQ(last_send(id)->attempt, 2u);
    event_of(id, 2, CQ_EV_FAILED, CQ_FAIL_REFUSED);
    EXPECT_EQ(answer_of(id), nullptr);
    event_of(id, 1, CQ_EV_TOKENS);
    event_of(id, 1, CQ_EV_DONE);
    expect_success(id);
    EXPECT_EQ(stops_of(id, 1), 0u);
    EXPECT_EQ(forwards_of(id, 1), 2u);
}

TEST_F(Hedge, AStreamWhoseSecondEngineRefusesIsNotCut)
{
    start_core(2);
    guint64 id = hedged_stream("m");
    ASSERT_EQ(last_send(id)->attempt, 2u);
    event_of(id, 2, CQ_EV_FAILED, CQ_FAIL_REFUSED);
    EXPECT_EQ(answer_of(id), nullptr);
    event_of(id, 1, CQ_EV_TOKENS);
    event_of(id, 1, CQ_EV_DONE);
    expect_success(id);
}

TEST_F(Hedge, AStreamOnAPlainServiceWhoseEventsFlowIsNotSilent)
{
    start_core(0, 2);
    guint64 id = submit(2000, 300 * kMs, 200 * kMs, "p");
    start_stream(id);
    advance(3 * kSecond);
    EXPECT_EQ(last_send(id)->attempt, 1u);
}

// The load: upstreams that work 2.8 s on each call, with a time limit of 4 s.
TEST_F(Hedge, ASlowSafeCallIsAnsweredByItsFirstUpstream)
{
    start_core(0, 2);
    timeout_us = 4 * kSecond;
    guint64 id = hedged_call();
    ASSERT_EQ(last_send(id)->attempt, 2u);
    advance(2500 * kMs);
    event_of(id, 1, CQ_EV_DONE);
    expect_success(id);
    EXPECT_EQ(stops_of(id, 2), 1u) << "it would work for nobody";
}

// The load: callers that read their streams slowly.
TEST_F(Hedge, AStreamWhoseCallerReadsSlowlyIsNotSilent)
{
    start_core(0, 2);
    guint64 id = submit(2000, 300 * kMs, 200 * kMs, "p");
    attempt_event(id, CQ_EV_TOKENS);
    attempt_event(id, CQ_EV_PAUSED);
    advance(3 * kSecond);
    EXPECT_EQ(last_send(id)->attempt, 1u);
    attempt_event(id, CQ_EV_RESUMED);
    advance(kSecond);
    EXPECT_EQ(last_send(id)->attempt, 1u);
    advance(kSecond);
    EXPECT_EQ(last_send(id)->attempt, 2u) << "now its upstream is silent";
}

TEST_F(Hedge, TheAttemptThatAnswersFirstIsForwardedAlone)
{
    start_core(0, 2);
    guint64 id = hedged_stream();
    event_of(id, 2, CQ_EV_TOKENS);
    EXPECT_EQ(stops_of(id, 1), 1u);
    event_of(id, 1, CQ_EV_TOKENS);
    event_of(id, 2, CQ_EV_TOKENS);
    event_of(id, 2, CQ_EV_DONE);
    expect_success(id);
    EXPECT_EQ(forwards_of(id, 1), 1u);
    EXPECT_EQ(forwards_of(id, 2), 2u);
}

TEST_F(Hedge, TheSecondAttemptGoesOnWhenTheFirstOneFails)
{
    start_core(0, 2);
    guint64 id = hedged_stream();
    event_of(id, 1, CQ_EV_FAILED);
    EXPECT_EQ(answer_of(id), nullptr);
    EXPECT_EQ(last_send(id)->attempt, 2u);
    event_of(id, 2, CQ_EV_TOKENS);
    event_of(id, 2, CQ_EV_DONE);
    expect_success(id);
}

TEST_F(Hedge, AStreamWhoseBothAttemptsFailEndsAtOnce)
{
    start_core(0, 2);
    guint64 id = hedged_stream();
    event_of(id, 2, CQ_EV_FAILED);
    EXPECT_EQ(answer_of(id), nullptr);
    event_of(id, 1, CQ_EV_FAILED);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_BROKEN);
}

TEST_F(Hedge, AServerErrorOfTheSecondUpstreamIsNotTheAnswer)
{
    start_core(0, 2);
    guint64 id = hedged_call();
    event_of(id, 2, CQ_EV_FAILED, CQ_FAIL_FAULT);
    EXPECT_EQ(answer_of(id), nullptr);
    event_of(id, 1, CQ_EV_DONE);
    expect_success(id);
}

TEST_F(Hedge, BothAttemptsStopWhenTheCallerLeaves)
{
    start_core(0, 2);
    guint64 id = hedged_call();
    hang_up(id);
    EXPECT_EQ(stops_of(id, 1), 1u);
    EXPECT_EQ(stops_of(id, 2), 1u);
}

TEST_F(Hedge, BothAttemptsStopAtTheDeadline)
{
    start_core(0, 2);
    timeout_us = 2 * kSecond;
    guint64 id = hedged_call();
    advance(2 * kSecond);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_EXPIRED);
    EXPECT_EQ(answer_of(id)->ran, CQ_RAN_UNKNOWN);
    EXPECT_EQ(stops_of(id, 1), 1u);
    EXPECT_EQ(stops_of(id, 2), 1u);
}

TEST_F(Hedge, AnUnsafeCallGetsNoSecondAttempt)
{
    start_core(0, 2);
    guint64 id = submit(1, 300 * kMs, 0, "p", FALSE);
    attempt_event(id, CQ_EV_SENT);
    advance(3 * kSecond);
    EXPECT_EQ(last_send(id)->attempt, 1u);
}

TEST_F(Hedge, ASecondAttemptCountsAgainstTheLimitOnAttempts)
{
    start_core(0, 4);
    guint64 id = hedged_call();
    event_of(id, 2, CQ_EV_FAILED, CQ_FAIL_REFUSED);
    advance(3 * kSecond);
    EXPECT_EQ(last_send(id)->attempt, 2u);
}

// The load: an upstream that can't go on with another one's stream.
TEST_F(Hedge, AStreamThatTheSecondUpstreamWontResumeIsNotCut)
{
    start_core(0, 2);
    guint64 id = hedged_stream();
    ASSERT_EQ(last_send(id)->attempt, 2u);
    event_of(id, 2, CQ_EV_DONE, CQ_FAIL_BROKEN, "", 409);
    EXPECT_EQ(answer_of(id), nullptr);
    EXPECT_EQ(stops_of(id, 1), 0u) << "it is alive";
}

class ThreeAttempts : public Hedge {
  protected:
    ThreeAttempts()
    {
        attempts_max = 3;
    }
};

// The load: of three upstreams one is silent, one full and one free.
TEST_F(ThreeAttempts, ASecondAttemptThatIsRefusedIsNotSentThereAgain)
{
    for (int i = 0; i < 20; i++) {
        all_actions.clear();
        rows.clear();
        start_core(0, 3);
        for (int k = 0; k < i; k++) {
            guint64 other = submit(1, 300 * kMs, 0, "p");
            attempt_event(other, CQ_EV_SENT);
            attempt_event(other, CQ_EV_DONE);
        }
        guint64 id = hedged_call();
        ASSERT_EQ(last_send(id)->attempt, 2u);
        guint64 full = last_send(id)->upstream;
        event_of(id, 2, CQ_EV_FAILED, CQ_FAIL_REFUSED);
        advance(100 * kMs);
        if (last_send(id)->attempt == 3) {
            EXPECT_NE(last_send(id)->upstream, full) << "run " << i;
        }
        TearDown();
    }
    start_core(1);
}

// The load: a silent upstream, and another one that is full for a moment.
TEST_F(ThreeAttempts, RefusalsInARowDontUseUpTheAttempts)
{
    start_core(0, 2);
    guint64 id = hedged_call();
    gint64 first_us = now_us;
    event_of(id, 2, CQ_EV_FAILED, CQ_FAIL_REFUSED);
    for (int i = 0; i < 100 && last_send(id)->attempt < 3; i++) {
        advance(10 * kMs);
    }
    EXPECT_GE(now_us - first_us, 200 * kMs)
        << "returned to the upstream that refused it";
}

// A prompt larger than one engine's memory; another engine holds a part of it.
class HeldMemory : public Hedge {
  protected:
    void
    start_prompt()
    {
        start_core(12);
        id = submit_long(500000);
        advance(20 * kMs);
        cq_event_t event = {};
        event.kind = CQ_EV_RESERVED;
        event.reserved.request = id;
        event.reserved.upstream = engines_in(CQ_AC_RESERVE).at(0);
        event.reserved.granted = TRUE;
        step(event);
        attempt_event(id, CQ_EV_SENT);
    }
    void
    reached(gboolean opened, gboolean timed_out,
            cq_reach_purpose_t purpose = CQ_REACH_ALIVE)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_REACHED;
        event.reached.upstream = last_send(id)->upstream;
        event.reached.opened = opened;
        event.reached.timed_out = timed_out;
        event.reached.purpose = purpose;
        step(event);
    }
    guint
    connections_asked()
    {
        guint asked = 0;
        for (const cq_action_t &action : all_actions) {
            asked += action.kind == CQ_AC_REACH &&
                     action.reach.upstream == last_send(id)->upstream;
        }
        return asked;
    }
    guint64 id = 0;
};

TEST_F(HeldMemory, IsReleasedSoonAfterTheDecodingEngineWentDark)
{
    start_prompt();
    advance(1600 * kMs);
    EXPECT_EQ(connections_asked(), 1u);
    advance(700 * kMs);
    reached(FALSE, TRUE);
    EXPECT_EQ(engines_in(CQ_AC_RELEASE).size(), 0u) << "a packet may be lost";
    advance(700 * kMs);
    EXPECT_GE(connections_asked(), 2u);
    reached(FALSE, TRUE);
    EXPECT_EQ(engines_in(CQ_AC_RELEASE).size(), 1u);
    EXPECT_EQ(stops_of(id, 1), 1u);
}

TEST_F(HeldMemory, IsKeptWhileTheDecodingEngineTakesConnections)
{
    start_prompt();
    advance(2100 * kMs);
    reached(TRUE, FALSE);
    advance(1100 * kMs);
    reached(FALSE, FALSE);
    EXPECT_EQ(engines_in(CQ_AC_RELEASE).size(), 0u);
    attempt_event(id, CQ_EV_TOKENS);
    advance(900 * kMs);
    reached(FALSE, TRUE);
    reached(FALSE, TRUE);
    EXPECT_EQ(engines_in(CQ_AC_RELEASE).size(), 0u) << "it is not quiet";
}

TEST_F(HeldMemory, IsKeptWhenOnlyAProbeForACutTimedOut)
{
    start_prompt();
    advance(2100 * kMs);
    reached(TRUE, FALSE);
    EXPECT_EQ(engines_in(CQ_AC_RELEASE).size(), 0u);
    /* Of the probes of 300 ms that look into failures elsewhere. */
    reached(FALSE, TRUE, CQ_REACH_CUT);
    reached(FALSE, TRUE, CQ_REACH_CUT);
    EXPECT_EQ(stops_of(id, 1), 0u) << "its engine took a connection just now";
}

TEST_F(HeldMemory, OfACallThatMayNotBeRepeatedIsKeptWhileItMayBeAnswered)
{
    start_core(12);
    id = submit(500000, 3 * kSecond, 800 * kMs, "m", FALSE);
    advance(20 * kMs);
    cq_event_t event = {};
    event.kind = CQ_EV_RESERVED;
    event.reserved.request = id;
    event.reserved.upstream = engines_in(CQ_AC_RESERVE).at(0);
    event.reserved.granted = TRUE;
    step(event);
    attempt_event(id, CQ_EV_SENT);
    advance(2100 * kMs);
    reached(FALSE, TRUE);
    reached(FALSE, TRUE);
    EXPECT_EQ(stops_of(id, 1), 0u);
    EXPECT_EQ(answer_of(id), nullptr)
        << "ran=" << (answer_of(id) != nullptr ? answer_of(id)->ran : -1);
}

// Events of both attempts in every order: the caller gets the events of one
// attempt at a time, never of one that was stopped, and one answer.
TEST_F(Hedge, EventsOfTwoAttemptsAreNeverJoinedOutOfTurn)
{
    for (guint32 seed = 1; seed <= 400; seed++) {
        all_actions.clear();
        rows.clear();
        start_core(4, 4);
        GRand *rand = g_rand_new_with_seed(seed);
        guint64 id = hedged_stream(seed % 2 == 0 ? "p" : "m");
        ASSERT_EQ(last_send(id)->attempt, 2u) << seed;
        for (int i = 0; i < 12 && answer_of(id) == nullptr; i++) {
            guint32 attempts = last_send(id)->attempt;
            guint32 attempt =
                (guint32)g_rand_int_range(rand, 1, (gint32)attempts + 1);
            static const cq_event_kind_t kinds[] = {CQ_EV_TOKENS, CQ_EV_TOKENS,
                                                    CQ_EV_SENT, CQ_EV_FAILED,
                                                    CQ_EV_DONE};
            static const cq_failure_t failures[] = {
                CQ_FAIL_BROKEN, CQ_FAIL_REFUSED, CQ_FAIL_FAULT};
            event_of(id, attempt, kinds[g_rand_int_range(rand, 0, 5)],
                     failures[g_rand_int_range(rand, 0, 3)]);
            advance(g_rand_int_range(rand, 0, 2) * 400 * kMs);
        }
        g_rand_free(rand);
        guint32 forwarded = 0;
        std::map<guint32, bool> stopped;
        guint answers = 0;
        for (const cq_action_t &action : all_actions) {
            if (action.kind == CQ_AC_FORWARD) {
                EXPECT_FALSE(stopped[action.attempt.attempt]) << seed;
                EXPECT_GE(action.attempt.attempt, forwarded)
                    << "an older attempt goes on behind a newer one, seed "
                    << seed;
                forwarded = action.attempt.attempt;
            }
            if (action.kind == CQ_AC_STOP) {
                stopped[action.attempt.attempt] = true;
            }
            answers += action.kind == CQ_AC_ANSWER;
        }
        EXPECT_LE(answers, 1u) << seed;
        cq_actions_clear(&actions);
        cq_core_free(core);
        for (cq_rules_t *one : rules) {
            cq_rules_unref(one);
        }
    }
    start_core(1);
}

// Two attempts beside changes of the configuration and of the list of
// upstreams, in any order.
TEST_F(Hedge, TwoAttemptsBesideChangesKeepTheLedgersAndAreAnsweredOnce)
{
    guint ended_alive = 0;
    for (guint32 seed = 1; seed <= 1500; seed++) {
        all_actions.clear();
        rows.clear();
        request_serial = 0;
        start_core(4, 4);
        GRand *rand = g_rand_new_with_seed(seed);
        guint64 id = hedged_stream(seed % 2 == 0 ? "p" : "m");
        std::map<guint32, bool> over;
        guint64 version = 2;
        std::vector<cq_rules_t *> more;
        for (int i = 0; i < 25 && answer_of(id) == nullptr; i++) {
            guint32 attempts = last_send(id)->attempt;
            guint32 attempt =
                (guint32)g_rand_int_range(rand, 1, (gint32)attempts + 1);
            switch (g_rand_int_range(rand, 0, 9)) {
            case 0: {
                bool m = g_rand_boolean(rand);
                cq_rules_t *r = core_test::make_rules(
                    m ? "m" : "p", g_rand_boolean(rand) ? CQ_SERVICE_PLAIN
                                                        : CQ_SERVICE_BATCH);
                r->version = version++;
                more.push_back(r);
                cq_event_t event = {};
                event.kind = CQ_EV_RULES;
                event.rules = r;
                step(event);
                break;
            }
            case 1: {
                if (rows.size() > 1) {
                    rows.erase(rows.begin() +
                               g_rand_int_range(rand, 0, (gint32)rows.size()));
                    send_host_list();
                }
                break;
            }
            case 2: {
                cq_host_row_t &row = rows[(size_t)g_rand_int_range(
                    rand, 0, (gint32)rows.size())];
                g_strlcpy(row.service, row.service[0] == 'm' ? "p" : "m",
                          sizeof row.service);
                row.incarnation++;
                send_host_list();
                break;
            }
            case 3:
                if (!over[attempt]) {
                    over[attempt] = true;
                    event_of(id, attempt, CQ_EV_FAILED,
                             (cq_failure_t)g_rand_int_range(rand, 0, 6));
                }
                break;
            case 4:
                if (!over[attempt] && g_rand_int_range(rand, 0, 3) == 0) {
                    over[attempt] = true;
                    event_of(id, attempt, CQ_EV_DONE);
                }
                break;
            case 5:
                if (!over[attempt])
                    event_of(id, attempt, CQ_EV_TOKENS);
                break;
            case 6:
                if (!over[attempt])
                    event_of(id, attempt, CQ_EV_SENT);
                break;
            default:
                advance(g_rand_int_range(rand, 0, 200) * 10 * kMs);
            }
            for (const cq_action_t &action : all_actions) {
                if (action.kind == CQ_AC_STOP)
                    over[action.attempt.attempt] = true;
            }
        }
        const cq_ac_answer_t *answer = answer_of(id);
        if (answer != nullptr && answer->outcome != CQ_OUTCOME_DONE &&
            answer->outcome != CQ_OUTCOME_EXPIRED) {
            // Attempts stopped by the core at the very end were alive.
            guint alive = 0;
            for (guint i = 0; i < actions.items->len; i++) {
                alive += cq_actions_at(&actions, i)->kind == CQ_AC_STOP;
            }
            if (alive > 0) {
                ended_alive++;
            }
        }
        g_rand_free(rand);
        advance(25 * kSecond);
        EXPECT_NE(answer_of(id), nullptr) << "stays for ever, seed " << seed;
        TearDown();
        for (cq_rules_t *r : more)
            cq_rules_unref(r);
        if (HasFailure())
            break;
    }
    EXPECT_EQ(ended_alive, 0u);
    start_core(1);
}

} // namespace
