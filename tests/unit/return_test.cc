// Whether a request returns to the only upstream of its service, at which it
// failed before.
#include "corefixture.h"

namespace {

using core_test::kMs;
using core_test::kSecond;

class Return : public core_test::CoreTest {};

// A request avoids the upstream at which it failed for as long as another one
// is there.
TEST_F(Return, ACallReturnsToTheOnlyUpstream)
{
    start_core(0, 1);
    guint64 id = submit(1, 300 * kMs, 0, "p");
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_REFUSED);
    EXPECT_EQ(last_send(id)->attempt, 1u);
    advance(300 * kMs);
    EXPECT_EQ(last_send(id)->attempt, 2u);
    attempt_event(id, CQ_EV_DONE);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->status, 200);
}

TEST_F(Return, AnUnsafeCallReturnsToTheOnlyUpstreamThatWasUnreachable)
{
    start_core(0, 1);
    guint64 id = submit(1, 300 * kMs, 0, "p", FALSE);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    advance(6 * kSecond);
    EXPECT_EQ(last_send(id)->attempt, 2u);
}

TEST_F(Return, APromptReturnsToTheOnlyEngine)
{
    start_core(1);
    guint64 id = submit(2000, 5 * kSecond, 200 * kMs);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_REFUSED);
    advance(kSecond);
    EXPECT_EQ(last_send(id)->attempt, 2u);
}

TEST_F(Return, ACallThatFailedHoldsUpNoOther)
{
    start_core(0, 1);
    guint64 id = submit(1, 300 * kMs, 0, "p");
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_REFUSED);
    guint64 other = submit(1, 300 * kMs, 0, "p");
    EXPECT_NE(last_send(other), nullptr);
}

} // namespace
