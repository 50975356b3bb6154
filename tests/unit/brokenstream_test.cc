// Streams that break off: where they continue, and when they end.
#include "corefixture.h"

namespace {

using core_test::kMs;
using core_test::kSecond;

// The load: streams whose upstreams break off, also the one that should go on.
class BrokenStream : public core_test::CoreTest {
  protected:
    // A stream at a small service breaks off after its first event. Return:
    // the request.
    guint64
    break_stream(cq_failure_t failure = CQ_FAIL_BROKEN)
    {
        guint64 id = submit(1, 300 * kMs, 0, "p");
        attempt_event(id, CQ_EV_TOKENS);
        attempt_event(id, CQ_EV_FAILED, failure);
        return id;
    }
    guint64
    other_than(guint64 upstream)
    {
        return upstream == cq_ident_hash("p0") ? cq_ident_hash("p1")
                                               : cq_ident_hash("p0");
    }
};

TEST_F(BrokenStream, ContinuesAtItsOnlyUpstreamOnceThatIsUsableAgain)
{
    start_core(0, 1);
    timeout_us = 3 * kSecond;
    guint64 id = break_stream();
    EXPECT_EQ(last_send(id)->attempt, 1u) << "it is avoided for a second";
    advance(kSecond + 20 * kMs);
    EXPECT_EQ(answer_of(id), nullptr);
    EXPECT_EQ(last_send(id)->attempt, 2u);
}

TEST_F(BrokenStream, EndsAtOnceIfNoUpstreamCanContinueItInTime)
{
    start_core(0, 2);
    timeout_us = 3 * kSecond;
    guint64 id = submit(1, 300 * kMs, 0, "p");
    attempt_event(id, CQ_EV_TOKENS);
    guint64 first = last_send(id)->upstream;
    upstream_says(other_than(first), 1, FALSE, 10 * kSecond);
    upstream_says(first, 1, FALSE, 10 * kSecond);
    attempt_event(id, CQ_EV_FAILED);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_BROKEN);
}

TEST_F(BrokenStream, ContinuesWhereItBrokeOffIfTheOtherIsAvoidedTooLong)
{
    start_core(0, 2);
    timeout_us = 3 * kSecond;
    guint64 id = submit(1, 300 * kMs, 0, "p");
    attempt_event(id, CQ_EV_TOKENS);
    guint64 first = last_send(id)->upstream;
    upstream_says(other_than(first), 1, FALSE, 10 * kSecond);
    attempt_event(id, CQ_EV_FAILED);
    EXPECT_EQ(answer_of(id), nullptr);
    advance(kSecond + 20 * kMs);
    ASSERT_EQ(last_send(id)->attempt, 2u);
    EXPECT_EQ(last_send(id)->upstream, first);
}

TEST_F(BrokenStream, EndsWhenTheUpstreamThatItWaitsForIsPaused)
{
    start_core(0, 2);
    timeout_us = 3 * kSecond;
    guint64 id = submit(1, 300 * kMs, 0, "p");
    attempt_event(id, CQ_EV_TOKENS);
    guint64 first = last_send(id)->upstream;
    guint64 other = other_than(first);
    upstream_says(other, 1, FALSE, kSecond);
    attempt_event(id, CQ_EV_FAILED);
    EXPECT_EQ(answer_of(id), nullptr) << "the other is usable in a second";
    upstream_says(other, 1, FALSE, 10 * kSecond);
    upstream_says(first, 1, FALSE, 10 * kSecond);
    advance(20 * kMs);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_BROKEN);
}

TEST_F(BrokenStream, EndsWhenItsUpstreamsLeave)
{
    start_core(0, 2);
    timeout_us = 3 * kSecond;
    guint64 id = submit(1, 300 * kMs, 0, "p");
    attempt_event(id, CQ_EV_TOKENS);
    guint64 first = last_send(id)->upstream;
    guint64 other = other_than(first);
    upstream_says(other, 1, FALSE, kSecond);
    attempt_event(id, CQ_EV_FAILED);
    EXPECT_EQ(answer_of(id), nullptr);
    upstream_says(other, 1, TRUE, 0);
    upstream_says(first, 1, TRUE, 0);
    advance(20 * kMs);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_BROKEN);
}

TEST_F(BrokenStream, EndsAtOnceIfTheUpstreamThatGoesOnRefusesToo)
{
    start_core(0, 2);
    timeout_us = 3 * kSecond;
    guint64 id = break_stream();
    ASSERT_EQ(last_send(id)->attempt, 2u);
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_REFUSED);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_BROKEN);
    EXPECT_EQ(answer_of(id)->ran, CQ_RAN_YES);
}

TEST_F(BrokenStream, EndsAtOnceIfItsRetryIsDenied)
{
    start_core(0, 3, 3);
    timeout_us = 3 * kSecond;
    rules[1]->retry_shared = TRUE;
    rules[1]->retry_burst = 8;
    rules[1]->retry_percent = 0;
    guint denied = 0;
    for (int i = 0; i < 6; i++) {
        guint64 id = break_stream(CQ_FAIL_FAULT);
        ASSERT_TRUE(answer_of(id) != nullptr || last_send(id)->attempt == 2u);
        denied += answer_of(id) != nullptr;
    }
    EXPECT_EQ(denied, 4u);
}

TEST_F(BrokenStream, OfAnEngineEndsAtOnceIfNoEngineCanContinueIt)
{
    start_core(1);
    timeout_us = 3 * kSecond;
    guint64 id = submit_short();
    attempt_event(id, CQ_EV_TOKENS);
    upstream_says(last_send(id)->upstream, 1, FALSE, 10 * kSecond);
    attempt_event(id, CQ_EV_FAILED);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_BROKEN);
}

TEST_F(BrokenStream, OfAnEngineContinuesThereIfThereIsNoOther)
{
    start_core(1);
    timeout_us = 3 * kSecond;
    guint64 id = submit_short();
    attempt_event(id, CQ_EV_TOKENS);
    attempt_event(id, CQ_EV_FAILED);
    advance(kSecond + 20 * kMs);
    EXPECT_EQ(answer_of(id), nullptr);
    EXPECT_EQ(last_send(id)->attempt, 2u);
}

TEST_F(BrokenStream, OfACallWithOneUpstreamThatFaultsGetsItsErrorInTime)
{
    start_core(0, 1);
    timeout_us = 3 * kSecond;
    guint64 id = submit(1, 300 * kMs, 0, "p");
    for (int attempt = 1; attempt <= 2; attempt++) {
        ASSERT_EQ((int)last_send(id)->attempt, attempt);
        attempt_event(id, CQ_EV_SENT);
        attempt_event(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
        advance(20 * kMs);
    }
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_DONE);
}

// Nothing tells at which of its events another attempt would go on.
TEST_F(BrokenStream, WithoutIdsEndsAtOnce)
{
    start_core(0, 3);
    guint64 id = submit(1, 300 * kMs, 0, "p");
    cq_event_t event = {};
    event.kind = CQ_EV_TOKENS;
    event.attempt.request = id;
    event.attempt.attempt = 1;
    event.attempt.tokens = 1;
    event.attempt.unnumbered = TRUE;
    step(event);
    attempt_event(id, CQ_EV_FAILED);
    EXPECT_EQ(last_send(id)->attempt, 1u);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_BROKEN);
}

} // namespace
