// Slack of short prompts. The load: short prompts are packed on the fullest
// engine, and first tokens come a pass later than expected.
#include "corefixture.h"
#include "core/slack.h"

namespace {

using core_test::CoreTest;
using core_test::kMs;
using core_test::kSecond;

constexpr gint64 kAim = 250 * kMs;

TEST(Slack, NothingIsLeftFreeBeforeTheFirstToken)
{
    cq_slack_t slack = {};
    EXPECT_EQ(cq_slack_us(&slack), 0);
}

TEST(Slack, FewFirstTokensComeLaterThanTheSlack)
{
    cq_slack_t slack = {};
    for (int i = 0; i < 100; i++) {
        cq_slack_note(&slack, i % 4 == 0 ? 50 * kMs : -4 * kMs);
    }
    EXPECT_EQ(cq_slack_us(&slack), 50 * kMs);
    // One that is much later than all others doesn't count.
    cq_slack_note(&slack, kSecond);
    EXPECT_EQ(cq_slack_us(&slack), 50 * kMs);
}

TEST(Slack, TheRecordIsOfTheNewest)
{
    cq_slack_t slack = {};
    for (guint i = 0; i < CQ_SLACK_RECORD; i++) {
        cq_slack_note(&slack, 90 * kMs);
    }
    for (guint i = 0; i < CQ_SLACK_RECORD; i++) {
        cq_slack_note(&slack, -5 * kMs);
    }
    EXPECT_EQ(cq_slack_us(&slack), 0);
}

TEST(Slack, OnlyAimsThatOnePassMayTakeNeedIt)
{
    EXPECT_TRUE(cq_slack_needed(kAim, kAim));
    EXPECT_FALSE(cq_slack_needed(300 * kMs, kAim));
    EXPECT_FALSE(cq_slack_needed(kAim, 0));
}

class Packed : public CoreTest {
  protected:
    // Answers short prompts whose first tokens come 70 ms after they are
    // expected, one after the other.
    void
    answer_late(gint64 aim_us)
    {
        for (int i = 0; i < 10; i++) {
            guint64 id = submit(2000, aim_us, kAim);
            advance(90 * kMs);
            attempt_event(id, CQ_EV_TOKENS);
            attempt_event(id, CQ_EV_DONE);
            advance(50 * kMs);
        }
    }
    // The engine with the most streams is about to read prompts for 110 ms.
    void
    fill_engine()
    {
        for (int i = 0; i < 4; i++) {
            peer_places_task(100 + i, {"e0"}, 3000, 10 * kMs, kAim, kSecond,
                             TRUE);
        }
        peer_places_task(200, {"e0"}, 3000, 110 * kMs, kAim, 0, FALSE);
    }
    bool
    is_packed(guint64 id)
    {
        const cq_ac_send_t *sent = last_send(id);
        EXPECT_NE(sent, nullptr);
        return sent != nullptr && sent->upstream == cq_ident_hash("e0");
    }
};

TEST_F(Packed, APromptThatIsOnlyJustInTimeGoesToAnotherEngine)
{
    start_core(6);
    answer_late(kAim);
    fill_engine();
    EXPECT_FALSE(is_packed(submit(2000, kAim, kAim)));
}

TEST_F(Packed, WithoutLateTokensTheFullestEngineIsTaken)
{
    start_core(6);
    fill_engine();
    EXPECT_TRUE(is_packed(submit(2000, kAim, kAim)));
}

TEST_F(Packed, ALongerAimIsServedAsBefore)
{
    start_core(6);
    answer_late(300 * kMs);
    fill_engine();
    EXPECT_TRUE(is_packed(submit(2000, 300 * kMs, kAim)));
}

TEST_F(Packed, WithNoSlackAnywhereThePromptIsPlacedAllTheSame)
{
    start_core(1);
    answer_late(kAim);
    fill_engine();
    EXPECT_TRUE(is_packed(submit(2000, kAim, kAim)));
}

} // namespace
