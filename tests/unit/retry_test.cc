// Retries after a failure: of which requests, to which upstream, how often.
#include "corefixture.h"

#include "core/member.h"

namespace {

using core_test::kMs;
using core_test::kSecond;

class Retry : public core_test::CoreTest {
  protected:
    // Calls fail until none is sent any more. Return: how many were sent.
    int
    fail_everywhere(cq_failure_t failure)
    {
        int sent = 0;
        for (int i = 0; i < 100; i++) {
            guint64 id = submit_short();
            if (last_send(id) == nullptr) {
                hang_up(id);
                return sent;
            }
            sent++;
            attempt_event(id, CQ_EV_FAILED, failure);
            hang_up(id);
        }
        return sent;
    }
    bool
    is_sent_at_once()
    {
        return last_send(submit_short()) != nullptr;
    }
};

TEST_F(Retry, ABrokenStreamContinuesOnAnotherEngine)
{
    start_core(2);
    guint64 id = submit_short();
    guint64 first = last_send(id)->upstream;
    attempt_event(id, CQ_EV_TOKENS);
    attempt_event(id, CQ_EV_FAILED);
    EXPECT_NE(last_send(id)->upstream, first);
    EXPECT_EQ(last_send(id)->attempt, 2u);
}

TEST_F(Retry, ARequestMovesAwayFromASilentEngine)
{
    start_core(2);
    guint64 id = submit_short();
    guint64 first = last_send(id)->upstream;
    attempt_event(id, CQ_EV_SENT);
    advance(kSecond);
    EXPECT_EQ(last_send(id)->upstream, first);
    advance(kSecond);
    EXPECT_NE(last_send(id)->upstream, first);
}

// A stream whose upstream sends nothing for 1.5 s and then goes on.
TEST_F(Retry, AStreamStaysWithASilentEngineIfThereIsNoOther)
{
    start_core(1);
    guint64 id = submit_short();
    attempt_event(id, CQ_EV_TOKENS);
    advance(1500 * kMs);
    attempt_event(id, CQ_EV_TOKENS);
    EXPECT_EQ(answer_of(id), nullptr);
    EXPECT_EQ(last_send(id)->attempt, 1u);
    attempt_event(id, CQ_EV_DONE);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->status, 200);
}

TEST_F(Retry, AStreamStaysWithASilentEngineIfTheBudgetIsSpent)
{
    start_core(2, 3);
    rules[0]->retry_burst = 0;
    rules[0]->retry_percent = 0;
    guint64 id = submit_short();
    attempt_event(id, CQ_EV_TOKENS);
    advance(1500 * kMs);
    attempt_event(id, CQ_EV_TOKENS);
    EXPECT_EQ(answer_of(id), nullptr);
    EXPECT_EQ(last_send(id)->attempt, 1u);
    attempt_event(id, CQ_EV_DONE);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->status, 200);
}

// A moved stream competes for an engine with requests that can be on time.
TEST_F(Retry, AStreamStaysWithASilentEngineIfTheOthersAreFull)
{
    start_core(2);
    guint64 id = submit_short();
    attempt_event(id, CQ_EV_TOKENS);
    guint64 silent = last_send(id)->upstream;
    guint64 queued = 0;
    while (queued == 0) {
        guint64 other = submit_short();
        if (last_send(other) == nullptr) {
            queued = other;
        }
        else if (last_send(other)->upstream != silent) {
            start_stream(other);
        }
        else {
            attempt_event(other, CQ_EV_SENT);
        }
    }
    advance(1500 * kMs);
    EXPECT_EQ(last_send(id)->attempt, 1u);
    attempt_event(id, CQ_EV_TOKENS);
    attempt_event(id, CQ_EV_DONE);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->status, 200);
}

TEST_F(Retry, ACallStaysWithASilentUpstreamIfThereIsNoOther)
{
    start_core(0, 1);
    guint64 id = submit(1, 300 * kMs, 0, "p");
    attempt_event(id, CQ_EV_SENT);
    advance(1200 * kMs);
    EXPECT_EQ(answer_of(id), nullptr);
    EXPECT_EQ(last_send(id)->attempt, 1u);
    attempt_event(id, CQ_EV_DONE);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->status, 200);
}

TEST_F(Retry, AStreamIsNeverRunMoreOftenThanAllowed)
{
    start_core(4);
    guint64 id = submit_short();
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_FAILED);
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_FAILED);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(last_send(id)->attempt, 2u);
    EXPECT_EQ(answer_of(id)->ran, CQ_RAN_UNKNOWN);
    EXPECT_EQ(answer_of(id)->status, 502);
}

// Three other hosts share the budget of 8 retries, so this host has 2.
TEST_F(Retry, AHostSpendsOnlyItsShareOfTheRetryBudget)
{
    start_core(0, 3, 3);
    rules[1]->retry_shared = TRUE;
    rules[1]->retry_burst = 8;
    rules[1]->retry_percent = 0;
    guint retried = 0;
    for (int i = 0; i < 6; i++) {
        guint64 id = submit(1, 300 * kMs, 0, "p");
        attempt_event(id, CQ_EV_SENT);
        attempt_event(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
        retried += last_send(id)->attempt == 2;
    }
    EXPECT_EQ(retried, 2u);
}

TEST_F(Retry, ACallThatMayHaveRunIsNotRepeated)
{
    start_core(0, 3);
    guint64 id = submit(1, 300 * kMs, 0, "p", FALSE);
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_FAILED);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(last_send(id)->attempt, 1u);
    EXPECT_EQ(answer_of(id)->ran, CQ_RAN_UNKNOWN);
}

TEST_F(Retry, ARefusedCallIsTriedAgain)
{
    start_core(0, 3);
    guint64 id = submit(1, 300 * kMs, 0, "p", FALSE);
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_REFUSED);
    EXPECT_EQ(last_send(id)->attempt, 2u);
    EXPECT_EQ(answer_of(id), nullptr);
}

TEST_F(Retry, AnUpstreamThatSaysThatItIsLeavingGetsNothingNew)
{
    start_core(0, 3);
    guint64 id = submit(1, 300 * kMs, 0, "p");
    guint64 first = last_send(id)->upstream;
    upstream_says(first, 1, TRUE, 0);
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_DONE);
    send_host_list(); /* the entry still says that it is ready */
    advance(60 * kSecond);
    for (int i = 0; i < 20; i++) {
        EXPECT_NE(last_send(submit(1, 300 * kMs, 0, "p"))->upstream, first);
    }
    restart(first);
    bool used = false;
    for (int i = 0; i < 40; i++) {
        used |= last_send(submit(1, 300 * kMs, 0, "p"))->upstream == first;
    }
    EXPECT_TRUE(used) << "it has started again";
}

// The load: a small service whose only upstreams have just broken off answers,
// and callers that wait half a second.
TEST_F(Retry, ARequestThatNoUpstreamCanTakeInTimeIsRefusedAtOnce)
{
    start_core(0, 1);
    timeout_us = 500 * kMs;
    guint64 first = submit(1, 300 * kMs, 0, "p");
    attempt_event(first, CQ_EV_SENT);
    attempt_event(first, CQ_EV_FAILED);
    ASSERT_NE(answer_of(first), nullptr) << "there is no other upstream";
    EXPECT_EQ(answer_of(first)->status, 502);
    EXPECT_EQ(answer_of(first)->ran, CQ_RAN_UNKNOWN);
    advance(100 * kMs);
    guint64 next = submit(1, 300 * kMs, 0, "p");
    ASSERT_NE(answer_of(next), nullptr);
    EXPECT_EQ(answer_of(next)->status, 503);
    EXPECT_EQ(answer_of(next)->ran, CQ_RAN_NO);
    EXPECT_GE(answer_of(next)->retry_after_us, 900 * kMs);
    advance(500 * kMs);
    guint64 later = submit(1, 300 * kMs, 0, "p");
    EXPECT_EQ(answer_of(later), nullptr) << "it can be tried in time";
    advance(450 * kMs);
    EXPECT_NE(last_send(later), nullptr);
}

TEST_F(Retry, AWaitingRequestIsRefusedOnceNoUpstreamCanTakeIt)
{
    start_core(0, 1);
    timeout_us = 1500 * kMs;
    std::vector<guint64> running;
    guint64 waiting = 0;
    while (waiting == 0) {
        guint64 id = submit(1, 1500 * kMs, 0, "p");
        (last_send(id) != nullptr ? running.push_back(id)
                                  : (void)(waiting = id));
    }
    advance(kSecond);
    for (guint64 id : running) {
        attempt_event(id, CQ_EV_SENT);
        attempt_event(id, CQ_EV_FAILED);
    }
    advance(50 * kMs);
    ASSERT_NE(answer_of(waiting), nullptr);
    EXPECT_EQ(answer_of(waiting)->ran, CQ_RAN_NO);
    EXPECT_EQ(answer_of(waiting)->status, 503);
}

// The load: all connections to an upstream are reset, and the upstream is
// sound.
TEST_F(Retry, ConnectionsThatBreakTogetherCountOnce)
{
    start_core(0, 2);
    timeout_us = 3 * kSecond;
    std::vector<guint64> calls;
    for (int i = 0; i < 8; i++) {
        calls.push_back(submit(1, 300 * kMs, 0, "p", FALSE));
        attempt_event(calls.back(), CQ_EV_SENT);
    }
    guint64 reset = last_send(calls[0])->upstream;
    guint64 other = 0;
    for (guint64 id : calls) {
        if (last_send(id)->upstream == reset) {
            attempt_event(id, CQ_EV_FAILED);
        }
        else {
            other = last_send(id)->upstream;
        }
    }
    ASSERT_NE(other, 0u);
    upstream_says(other, 1, FALSE, 60 * kSecond);
    advance(kSecond);
    guint64 id = submit(1, 300 * kMs, 0, "p");
    ASSERT_NE(last_send(id), nullptr);
    EXPECT_EQ(last_send(id)->upstream, reset);
}

TEST_F(Retry, AFailedAttemptDoesNotShortenAPause)
{
    start_core(0, 1);
    timeout_us = 3 * kSecond;
    for (cq_failure_t failure : {CQ_FAIL_BROKEN, CQ_FAIL_CONNECT}) {
        guint64 running = submit(1, 300 * kMs, 0, "p", FALSE);
        if (failure == CQ_FAIL_BROKEN) {
            attempt_event(running, CQ_EV_SENT);
        }
        upstream_says(last_send(running)->upstream, 1, FALSE, 10 * kSecond);
        attempt_event(running, CQ_EV_FAILED, failure);
        advance(9 * kSecond);
        guint64 next = submit(1, 300 * kMs, 0, "p", FALSE);
        EXPECT_EQ(last_send(next), nullptr) << failure;
        advance(kSecond);
        EXPECT_NE(last_send(next), nullptr) << failure;
        attempt_event(next, CQ_EV_DONE);
    }
}

// The load: requests that break off whatever answers them, beside sound ones.
TEST_F(Retry, UpstreamsThatBreakInTurnAreStillUsed)
{
    start_core(0, 2);
    timeout_us = 3 * kSecond;
    for (int i = 0; i < 12; i++) {
        guint64 id = submit(1, 300 * kMs, 0, "p", FALSE);
        for (int tick = 0; tick < 110 && last_send(id) == nullptr; tick++) {
            advance(10 * kMs);
        }
        ASSERT_NE(last_send(id), nullptr) << i;
        attempt_event(id, CQ_EV_SENT);
        attempt_event(id, CQ_EV_FAILED);
    }
}

TEST_F(Retry, WhatAnEarlierIncarnationSaidIsIgnored)
{
    start_core(0, 1);
    guint64 id = submit(1, 300 * kMs, 0, "p");
    upstream_says(last_send(id)->upstream, 0, TRUE, kSecond);
    EXPECT_NE(last_send(submit(1, 300 * kMs, 0, "p")), nullptr);
}

TEST_F(Retry, AnUpstreamThatAsksForAPauseGetsOne)
{
    start_core(0, 2);
    guint64 id = submit(1, 300 * kMs, 0, "p");
    guint64 first = last_send(id)->upstream;
    attempt_event(id, CQ_EV_SENT);
    upstream_says(first, 1, FALSE, 3 * kSecond);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_REFUSED);
    EXPECT_NE(last_send(id)->upstream, first);
    attempt_event(id, CQ_EV_DONE);
    // Whether the first upstream gets one of several calls.
    auto is_used = [&](int calls, gint64 pause_us) {
        bool used = false;
        for (int i = 0; i < calls; i++) {
            guint64 call = submit(1, 300 * kMs, 0, "p");
            used |= last_send(call)->upstream == first;
            attempt_event(call, CQ_EV_DONE);
            advance(pause_us);
        }
        return used;
    };
    EXPECT_FALSE(is_used(29, 100 * kMs));
    advance(200 * kMs);
    EXPECT_TRUE(is_used(40, 0));
}

TEST_F(Retry, AServerErrorIsForwardedAfterOneRetry)
{
    start_core(0, 3);
    guint64 id = submit(1, 300 * kMs, 0, "p");
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
    EXPECT_EQ(last_send(id)->attempt, 2u);
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_DONE);
    EXPECT_EQ(answer_of(id)->ran, CQ_RAN_YES);
}

TEST_F(Retry, AServerErrorOfAnUnrepeatableCallIsForwardedAtOnce)
{
    start_core(0, 3);
    guint64 id = submit(1, 300 * kMs, 0, "p", FALSE);
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(last_send(id)->attempt, 1u);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_DONE);
}

// The caller has part of the stream, so the error of the upstream that should
// continue it must not end the answer as a complete one.
TEST_F(Retry, AServerErrorAfterPartOfAStreamBreaksTheAnswer)
{
    start_core(2);
    guint64 id = submit_short();
    attempt_event(id, CQ_EV_TOKENS);
    attempt_event(id, CQ_EV_FAILED);
    ASSERT_EQ(last_send(id)->attempt, 2u);
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_BROKEN);
}

TEST_F(Retry, AnotherStatusAfterPartOfAStreamBreaksTheAnswer)
{
    start_core(2);
    guint64 id = submit_short();
    attempt_event(id, CQ_EV_TOKENS);
    attempt_event(id, CQ_EV_FAILED);
    ASSERT_EQ(last_send(id)->attempt, 2u);
    attempt_event(id, CQ_EV_DONE, CQ_FAIL_BROKEN, "", 400);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_BROKEN);
}

TEST_F(Retry, FailedConnectionsDoNotCountAsAttempts)
{
    start_core(0, 4);
    guint64 id = submit(1, 300 * kMs, 0, "p", FALSE);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    EXPECT_EQ(last_send(id)->attempt, 3u);
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_DONE);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_DONE);
}

TEST_F(Retry, TwoUnreachableUpstreamsMakeTheirZoneSuspect)
{
    start_core(8);
    guint64 tried = 0;
    for (int i = 0; tried < 2 && i < 20; i++) {
        guint64 id = submit_short(20000);
        if (in_zone_b(last_send(id)->upstream)) {
            attempt_event(id, CQ_EV_FAILED, CQ_FAIL_CONNECT);
            tried++;
        }
    }
    ASSERT_EQ(tried, 2u);
    for (int i = 0; i < 20; i++) {
        guint64 id = submit_short(20000);
        EXPECT_TRUE(last_send(id) == nullptr ||
                    !in_zone_b(last_send(id)->upstream));
    }
}

TEST_F(Retry, ARetryAvoidsTheHelperAtFault)
{
    start_core(12);
    guint64 id = submit_long();
    advance(20 * kMs);
    guint64 lost = last_send(id)->group[3];
    cq_upstream_view_t view;
    ASSERT_TRUE(cq_core_upstream(core, lost, &view));
    std::string addr = view.addr;
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_REFUSED, addr.c_str());
    advance(100 * kMs);
    ASSERT_EQ(last_send(id)->attempt, 2u);
    for (guint i = 0; i < last_send(id)->group_len; i++) {
        EXPECT_NE(last_send(id)->group[i], lost);
    }
}

// Its own network was cut, and is back.
TEST_F(Retry, AHostThatForgetsFailuresSendsAtOnceAfterFailedConnections)
{
    start_core(6);
    EXPECT_LT(fail_everywhere(CQ_FAIL_CONNECT), 100);
    EXPECT_FALSE(is_sent_at_once());
    cq_member_forget_failures(core);
    EXPECT_TRUE(is_sent_at_once());
}

TEST_F(Retry, AHostThatForgetsFailuresSendsAtOnceAfterResets)
{
    start_core(6);
    EXPECT_LT(fail_everywhere(CQ_FAIL_BROKEN), 100);
    EXPECT_FALSE(is_sent_at_once());
    cq_member_forget_failures(core);
    EXPECT_TRUE(is_sent_at_once());
}

// Two connections into another zone failed, so a third upstream there is not
// used either.
TEST_F(Retry, AHostThatForgetsFailuresTrustsOtherZones)
{
    start_core(1);
    for (const char *name : {"p0", "p1", "p2"}) {
        add_host_row(name, "p", "b");
    }
    send_host_list();
    guint64 id = submit(1, 300 * kMs, 0, "p");
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    hang_up(id);
    EXPECT_EQ(last_send(submit(1, 300 * kMs, 0, "p")), nullptr);
    cq_member_forget_failures(core);
    EXPECT_NE(last_send(submit(1, 300 * kMs, 0, "p")), nullptr);
}

// The time for which it is avoided after a break begins with a second again.
TEST_F(Retry, AHostThatForgetsFailuresForgetsHowManyThereWere)
{
    start_core(1, 2);
    auto ends_at_p0 = [this](cq_event_kind_t how) {
        for (int i = 0; i < 20; i++) {
            guint64 id = submit(1, 300 * kMs, 0, "p");
            bool found = last_send(id) != nullptr &&
                         last_send(id)->upstream == cq_ident_hash("p0");
            if (found) {
                attempt_event(id, how);
            }
            hang_up(id);
            if (found) {
                return true;
            }
        }
        return false;
    };
    for (int i = 0; i < 4; i++) {
        ASSERT_TRUE(ends_at_p0(CQ_EV_FAILED)) << i;
        advance(17 * kSecond);
    }
    cq_member_forget_failures(core);
    ASSERT_TRUE(ends_at_p0(CQ_EV_FAILED));
    advance(1100 * kMs);
    EXPECT_TRUE(ends_at_p0(CQ_EV_DONE));
}

TEST_F(Retry, AHostThatForgetsFailuresKeepsThePausesAskedFor)
{
    start_core(2);
    for (const char *name : {"e0", "e1"}) {
        upstream_says(cq_ident_hash(name), 1, FALSE, 5 * kSecond);
    }
    EXPECT_FALSE(is_sent_at_once());
    advance(kSecond);
    cq_member_forget_failures(core);
    EXPECT_FALSE(is_sent_at_once());
    advance(4100 * kMs);
    EXPECT_TRUE(is_sent_at_once());
}

// A pause that ends before the marks of this host do doesn't shorten them.
TEST_F(Retry, APauseDoesNotShortenTheTimeAfterAFailure)
{
    start_core(1);
    fail_everywhere(CQ_FAIL_CONNECT);
    upstream_says(cq_ident_hash("e0"), 1, FALSE, kSecond);
    advance(2 * kSecond);
    EXPECT_FALSE(is_sent_at_once());
    cq_member_forget_failures(core);
    EXPECT_TRUE(is_sent_at_once());
}

} // namespace
