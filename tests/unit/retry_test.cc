// What is sent again after a failure, where to, and how often.
#include "fit.h"

namespace {

using fit::kMs;
using fit::kSecond;

class Retry : public fit::Fit {};

TEST_F(Retry, ABrokenStreamGoesOnElsewhere)
{
    start(2);
    guint64 id = ask_short();
    guint64 first = sent(id)->upstream;
    news(id, CQ_EV_TOKENS);
    news(id, CQ_EV_FAILED);
    EXPECT_NE(sent(id)->upstream, first);
    EXPECT_EQ(sent(id)->attempt, 2u);
}

TEST_F(Retry, ASilentEngineIsLeft)
{
    start(2);
    guint64 id = ask_short();
    guint64 first = sent(id)->upstream;
    news(id, CQ_EV_SENT);
    pass(kSecond);
    EXPECT_EQ(sent(id)->upstream, first);
    pass(kSecond);
    EXPECT_NE(sent(id)->upstream, first);
}

TEST_F(Retry, AStreamIsNeverRunMoreOftenThanAllowed)
{
    start(4);
    guint64 id = ask_short();
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED);
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED);
    ASSERT_NE(answered(id), nullptr);
    EXPECT_EQ(sent(id)->attempt, 2u);
    EXPECT_EQ(answered(id)->ran, CQ_RAN_UNKNOWN);
    EXPECT_EQ(answered(id)->status, 502);
}

// Three other hosts share the budget.
TEST_F(Retry, AHostSpendsItsPartOfTheRetriesOnly)
{
    start(0, 3, 3);
    rules[1]->retry_shared = TRUE;
    rules[1]->retry_burst = 8;
    rules[1]->retry_percent = 0;
    guint retried = 0;
    for (int i = 0; i < 6; i++) {
        guint64 id = ask(1, 300 * kMs, 0, "p");
        news(id, CQ_EV_SENT);
        news(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
        retried += sent(id)->attempt == 2;
    }
    EXPECT_EQ(retried, 2u);
}

TEST_F(Retry, ACallThatMayHaveRunIsNotRepeated)
{
    start(0, 3);
    guint64 id = ask(1, 300 * kMs, 0, "p", FALSE);
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED);
    ASSERT_NE(answered(id), nullptr);
    EXPECT_EQ(sent(id)->attempt, 1u);
    EXPECT_EQ(answered(id)->ran, CQ_RAN_UNKNOWN);
}

TEST_F(Retry, ACallThatSurelyDidNotRunIsTriedAgain)
{
    start(0, 3);
    guint64 id = ask(1, 300 * kMs, 0, "p", FALSE);
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED, CQ_FAIL_REFUSED);
    EXPECT_EQ(sent(id)->attempt, 2u);
    EXPECT_EQ(answered(id), nullptr);
}

TEST_F(Retry, AnUpstreamsOwnFaultIsPassedOnAfterOneMoreTry)
{
    start(0, 3);
    guint64 id = ask(1, 300 * kMs, 0, "p");
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
    EXPECT_EQ(sent(id)->attempt, 2u);
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
    ASSERT_NE(answered(id), nullptr);
    EXPECT_EQ(answered(id)->outcome, CQ_OUT_DONE);
    EXPECT_EQ(answered(id)->ran, CQ_RAN_YES);
}

TEST_F(Retry, AFaultThatMayNotBeRepeatedIsPassedOnAtOnce)
{
    start(0, 3);
    guint64 id = ask(1, 300 * kMs, 0, "p", FALSE);
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
    ASSERT_NE(answered(id), nullptr);
    EXPECT_EQ(sent(id)->attempt, 1u);
    EXPECT_EQ(answered(id)->outcome, CQ_OUT_DONE);
}

TEST_F(Retry, ConnectionsThatFailCostNoAttempt)
{
    start(0, 4);
    guint64 id = ask(1, 300 * kMs, 0, "p", FALSE);
    news(id, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    news(id, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    EXPECT_EQ(sent(id)->attempt, 3u);
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_DONE);
    EXPECT_EQ(answered(id)->outcome, CQ_OUT_DONE);
}

TEST_F(Retry, TwoUnreachableUpstreamsMakeTheirZoneSuspect)
{
    start(8);
    guint64 tried = 0;
    for (int i = 0; tried < 2 && i < 20; i++) {
        guint64 id = ask_short(20000);
        if (in_zone_b(sent(id)->upstream)) {
            news(id, CQ_EV_FAILED, CQ_FAIL_CONNECT);
            tried++;
        }
    }
    ASSERT_EQ(tried, 2u);
    for (int i = 0; i < 20; i++) {
        guint64 id = ask_short(20000);
        EXPECT_TRUE(sent(id) == nullptr || !in_zone_b(sent(id)->upstream));
    }
}

TEST_F(Retry, TheHelperAtFaultIsLeftAlone)
{
    start(12);
    guint64 id = ask_long();
    pass(20 * kMs);
    guint64 lost = sent(id)->group[3];
    cq_upstream_view_t view;
    ASSERT_TRUE(cq_core_upstream(core, lost, &view));
    std::string addr = view.addr;
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED, CQ_FAIL_REFUSED, addr.c_str());
    pass(100 * kMs);
    ASSERT_EQ(sent(id)->attempt, 2u);
    for (guint i = 0; i < sent(id)->group_len; i++) {
        EXPECT_NE(sent(id)->group[i], lost);
    }
}

} // namespace
