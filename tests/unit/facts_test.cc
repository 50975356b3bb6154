// What hosts believe of an upstream: an answer that one caller or one broken
// upstream brings about holds for that request, that upstream and a while.
#include "corefixture.h"

#include <set>

namespace {

using core_test::kMs;
using core_test::kSecond;

class Misdirected : public core_test::CoreTest {
  protected:
    // Return: how many upstreams the last summary to the peers calls leaving.
    guint
    told_leaving()
    {
        guint count = 0;
        for (const cq_action_t &action : all_actions) {
            if (action.kind == CQ_AC_SUMMARY) {
                count = action.summary->leaving_len;
            }
        }
        return count;
    }
    // The upstreams that get the requests that follow.
    std::set<guint64>
    used()
    {
        std::set<guint64> found;
        for (int i = 0; i < 40; i++) {
            guint64 id = submit(1, 300 * kMs, 0, "p");
            if (last_send(id) != nullptr) {
                found.insert(last_send(id)->upstream);
            }
            hang_up(id);
        }
        return found;
    }
    // Answers a request with 421. Return: its first upstream.
    guint64
    misdirect()
    {
        guint64 id = submit(1, 300 * kMs, 0, "p", FALSE);
        guint64 first = last_send(id)->upstream;
        attempt_event(id, CQ_EV_SENT);
        attempt_event(id, CQ_EV_FAILED, CQ_FAIL_MISDIRECTED);
        hang_up(id);
        return first;
    }
};

TEST_F(Misdirected, ACallIsTriedElsewhereAndItsUpstreamAvoidedForFiveSeconds)
{
    start_core(0, 3);
    guint64 id = submit(1, 300 * kMs, 0, "p", FALSE);
    guint64 first = last_send(id)->upstream;
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_MISDIRECTED);
    EXPECT_EQ(last_send(id)->attempt, 2u);
    EXPECT_NE(last_send(id)->upstream, first);
    EXPECT_EQ(used().count(first), 0u);
    advance(5 * kSecond);
    EXPECT_EQ(used().count(first), 1u) << "one answer holds for a while only";
}

// One caller's requests stopped a service at all hosts: each 421 was taken for
// an upstream that leaves, and told to the peers.
TEST_F(Misdirected, AnswersToOneCallerDontTakeAServiceFromTheOthers)
{
    start_core(0, 6, 1);
    peer_sends_summary("h1");
    for (int i = 0; i < 60; i++) {
        misdirect();
        advance(100 * kMs);
        EXPECT_GE(used().size(), 1u) << i;
    }
    advance(kSecond);
    EXPECT_EQ(told_leaving(), 0u);
    advance(5 * kSecond);
    EXPECT_EQ(used().size(), 6u);
}

TEST_F(Misdirected, ACallThatNobodyTakesDidNotRun)
{
    start_core(0, 3);
    guint64 id = submit(1, 300 * kMs, 0, "p", FALSE);
    for (int i = 0; i < 2; i++) {
        attempt_event(id, CQ_EV_SENT);
        attempt_event(id, CQ_EV_FAILED, CQ_FAIL_MISDIRECTED);
    }
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->status, 503);
    EXPECT_EQ(answer_of(id)->ran, CQ_RAN_NO);
}

} // namespace
