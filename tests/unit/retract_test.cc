// Crashes that a host takes back, since a cut of its network ended the
// connections. The load: one call comes again and again at all hosts.
#include "corefixture.h"

#include <algorithm>

#include "core/quarantine.h"

namespace {

using core_test::kMs;
using core_test::kSecond;

constexpr guint64 kCall = 0xca11;
// More than a host reports in a second.
constexpr guint64 kManyCalls = 300;

class Retract : public core_test::CoreTest {
  protected:
    guint64
    call(guint64 content)
    {
        fingerprint = content;
        return submit(1, 300 * kMs, 0, "p");
    }
    bool
    is_blocked(guint64 content)
    {
        guint64 id = call(content);
        const cq_ac_answer_t *answer = answer_of(id);
        bool blocked =
            answer != nullptr && answer->outcome == CQ_OUTCOME_REQUEST_BLOCKED;
        hang_up(id);
        return blocked;
    }
    // The connection of a call is reset. Return: whether it was sent.
    bool
    reset_once(guint64 content, gint64 then_us = 100 * kMs)
    {
        guint64 id = call(content);
        bool sent = last_send(id) != nullptr;
        if (sent) {
            guint64 upstream = last_send(id)->upstream;
            attempt_event(id, CQ_EV_SENT);
            attempt_event(id, CQ_EV_FAILED);
            restart(upstream);
        }
        hang_up(id);
        advance(then_us);
        return sent;
    }
    void
    retract(gint64 since_us)
    {
        cq_actions_reset(&actions);
        core->now_us = now_us;
        core->actions = &actions;
        cq_quarantine_retract(core, since_us);
        core->actions = nullptr;
        for (guint i = 0; i < actions.items->len; i++) {
            all_actions.push_back(*cq_actions_at(&actions, i));
        }
    }
    void
    peer_says(cq_part_report_kind_t kind, guint64 crash, gint64 age_us = 0)
    {
        cq_part_report_t row = {kind,  cq_ident_hash("p"), kCall,
                                TRUE,  cq_ident_hash("t"), crash,
                                age_us};
        cq_event_t event = {};
        event.kind = CQ_EV_PARTS;
        event.parts.rows = &row;
        event.parts.len = 1;
        step(event);
    }
    std::vector<guint64>
    reported(cq_part_report_kind_t kind)
    {
        std::vector<guint64> crashes;
        for (const cq_action_t &action : all_actions) {
            if (action.kind == CQ_AC_PART && action.part.kind == kind) {
                crashes.push_back(action.part.crash);
            }
        }
        return crashes;
    }
    // How many reports of this kind a new peer gets.
    guint
    listed(cq_part_report_kind_t kind)
    {
        GArray *list = g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
        cq_core_part_reports(core, list);
        guint count = 0;
        for (guint i = 0; i < list->len; i++) {
            count += g_array_index(list, cq_part_report_t, i).kind == kind;
        }
        g_array_unref(list);
        return count;
    }
    std::vector<guint>
    records()
    {
        std::vector<guint> lens;
        for (const cq_action_t &action : all_actions) {
            if (action.kind == CQ_AC_PART_RECORD) {
                lens.push_back(action.part_record.len);
            }
        }
        return lens;
    }
};

TEST_F(Retract, UnblocksACallAndTellsPeersAndTheStore)
{
    start_core(0, 8);
    gint64 since_us = now_us;
    for (int i = 0; i < 3; i++) {
        EXPECT_TRUE(reset_once(kCall));
    }
    ASSERT_TRUE(is_blocked(kCall));
    retract(since_us);
    EXPECT_FALSE(is_blocked(kCall));
    std::vector<guint64> told = reported(CQ_PART_CRASHED);
    std::vector<guint64> taken_back = reported(CQ_PART_RETRACTED);
    std::sort(told.begin(), told.end());
    std::sort(taken_back.begin(), taken_back.end());
    EXPECT_EQ(told.size(), 3u);
    EXPECT_EQ(taken_back, told);
    EXPECT_EQ(records(), (std::vector<guint>{3, 0}));
}

// Three crashes block it again, as if it had never been blocked.
TEST_F(Retract, LeavesNoTraceOfTheBlock)
{
    start_core(0, 8);
    gint64 since_us = now_us;
    for (int i = 0; i < 3; i++) {
        reset_once(kCall);
    }
    retract(since_us);
    advance(3 * kSecond);
    for (int i = 0; i < 3; i++) {
        EXPECT_TRUE(reset_once(kCall)) << i;
    }
    EXPECT_TRUE(is_blocked(kCall));
}

// One crash is left that a peer saw, and two more are needed.
TEST_F(Retract, LeavesNoTraceOfTheBlockAtASuspectThatStays)
{
    start_core(0, 8);
    gint64 since_us = now_us;
    peer_says(CQ_PART_CRASHED, 1);
    advance(100 * kMs);
    reset_once(kCall);
    reset_once(kCall);
    ASSERT_TRUE(is_blocked(kCall));
    retract(since_us);
    EXPECT_TRUE(reset_once(kCall));
    EXPECT_TRUE(reset_once(kCall));
    EXPECT_TRUE(is_blocked(kCall));
}

TEST_F(Retract, LeavesWhatWasBeforeTheCut)
{
    start_core(0, 8);
    for (int i = 0; i < 3; i++) {
        reset_once(kCall);
    }
    retract(now_us);
    EXPECT_TRUE(is_blocked(kCall));
    EXPECT_EQ(reported(CQ_PART_RETRACTED).size(), 0u);
}

TEST_F(Retract, LeavesWhatPeersSaw)
{
    start_core(0, 8);
    gint64 since_us = now_us;
    for (guint64 crash = 1; crash <= 3; crash++) {
        peer_says(CQ_PART_CRASHED, crash);
        advance(100 * kMs);
    }
    retract(since_us);
    EXPECT_TRUE(is_blocked(kCall));
}

TEST_F(Retract, OfAPeerRemovesThisCrashOnly)
{
    start_core(0, 8);
    for (guint64 crash = 1; crash <= 3; crash++) {
        peer_says(CQ_PART_CRASHED, crash);
        advance(100 * kMs);
    }
    peer_says(CQ_PART_RETRACTED, 9);
    EXPECT_TRUE(is_blocked(kCall));
    peer_says(CQ_PART_RETRACTED, 2);
    EXPECT_FALSE(is_blocked(kCall));
    EXPECT_EQ(records(), std::vector<guint>{0});
    peer_says(CQ_PART_CRASHED, 4);
    EXPECT_TRUE(is_blocked(kCall));
}

// What this host saw too it tells the peers once more.
TEST_F(Retract, OfAPeerLeavesWhatThisHostSawToo)
{
    start_core(0, 8);
    for (int i = 0; i < 3; i++) {
        reset_once(kCall);
    }
    std::vector<guint64> seen = reported(CQ_PART_CRASHED);
    ASSERT_EQ(seen.size(), 3u);
    peer_says(CQ_PART_RETRACTED, seen[1]);
    EXPECT_TRUE(is_blocked(kCall));
    EXPECT_EQ(reported(CQ_PART_CONFIRMED), std::vector<guint64>{seen[1]});
}

// The peer told of the crash first, so this host didn't report it.
TEST_F(Retract, OfAPeerLeavesWhatThisHostSawLater)
{
    start_core(0, 1);
    reset_once(kCall);
    guint64 crash = reported(CQ_PART_CRASHED)[0];
    TearDown();
    rows.clear();
    all_actions.clear();
    start_core(0, 1);
    peer_says(CQ_PART_CRASHED, crash);
    advance(100 * kMs);
    reset_once(kCall);
    EXPECT_EQ(reported(CQ_PART_CRASHED).size(), 0u);
    peer_says(CQ_PART_RETRACTED, crash);
    EXPECT_EQ(reported(CQ_PART_CONFIRMED), std::vector<guint64>{crash});
}

// A trial that the cut ended doesn't put the next one off to two minutes.
TEST_F(Retract, OfATrialKeepsTheBlockAndItsNextTrial)
{
    start_core(0, 8);
    for (guint64 crash = 1; crash <= 3; crash++) {
        peer_says(CQ_PART_CRASHED, crash);
        advance(100 * kMs);
    }
    advance(35 * kSecond);
    gint64 since_us = now_us;
    EXPECT_TRUE(reset_once(kCall));
    retract(since_us);
    EXPECT_TRUE(is_blocked(kCall));
    advance(35 * kSecond);
    EXPECT_TRUE(reset_once(kCall));
}

// The block had ended, and one crash brought it back.
TEST_F(Retract, OfTheCrashThatBroughtABlockBackLeavesTheEarlierOneEnded)
{
    start_core(0, 8);
    for (guint64 crash = 1; crash <= 3; crash++) {
        peer_says(CQ_PART_CRASHED, crash);
        advance(100 * kMs);
    }
    advance(610 * kSecond);
    ASSERT_FALSE(is_blocked(kCall));
    gint64 since_us = now_us;
    EXPECT_TRUE(reset_once(kCall));
    ASSERT_TRUE(is_blocked(kCall));
    retract(since_us);
    EXPECT_FALSE(is_blocked(kCall));
    EXPECT_TRUE(reset_once(kCall));
    EXPECT_TRUE(is_blocked(kCall));
}

// Reports have a limit a second; what is taken back hasn't.
TEST_F(Retract, TakesAllBackAtOnce)
{
    start_core(0, 8);
    for (guint64 i = 0; i < kManyCalls; i++) {
        EXPECT_TRUE(reset_once(kCall + i, 0));
    }
    EXPECT_LT(reported(CQ_PART_CRASHED).size(), (size_t)kManyCalls);
    retract(now_us);
    EXPECT_EQ(reported(CQ_PART_RETRACTED).size(), (size_t)kManyCalls);
    EXPECT_EQ(listed(CQ_PART_CRASHED), 0u);
}

// A host that missed what was taken back is linked again.
TEST_F(Retract, IsNotUndoneByAHostThatMissedIt)
{
    start_core(0, 8);
    gint64 since_us = now_us;
    for (int i = 0; i < 3; i++) {
        reset_once(kCall);
    }
    std::vector<guint64> seen = reported(CQ_PART_CRASHED);
    retract(since_us);
    advance(kSecond);
    for (size_t i = 0; i < seen.size(); i++) {
        peer_says(CQ_PART_CRASHED, seen[i],
                  now_us - since_us - (gint64)i * 100 * kMs);
    }
    EXPECT_FALSE(is_blocked(kCall));
    EXPECT_EQ(listed(CQ_PART_CRASHED), 0u);
    EXPECT_EQ(listed(CQ_PART_RETRACTED), 3u);
}

TEST_F(Retract, OfAPeerIsNotUndoneByAHostThatMissedIt)
{
    start_core(0, 8);
    for (guint64 crash = 1; crash <= 3; crash++) {
        peer_says(CQ_PART_CRASHED, crash);
        advance(100 * kMs);
        peer_says(CQ_PART_RETRACTED, crash);
    }
    for (guint64 crash = 1; crash <= 3; crash++) {
        peer_says(CQ_PART_CRASHED, crash, (gint64)crash * kSecond);
    }
    EXPECT_EQ(listed(CQ_PART_CRASHED), 0u);
    EXPECT_FALSE(is_blocked(kCall));
}

// The same upstreams crash after the cut.
TEST_F(Retract, LeavesLaterCrashesOfTheSameUpstreams)
{
    start_core(0, 8);
    for (guint64 crash = 1; crash <= 3; crash++) {
        peer_says(CQ_PART_CRASHED, crash);
        peer_says(CQ_PART_RETRACTED, crash);
    }
    for (guint64 crash = 1; crash <= 3; crash++) {
        advance(100 * kMs);
        peer_says(CQ_PART_CRASHED, crash);
    }
    EXPECT_TRUE(is_blocked(kCall));
}

TEST_F(Retract, DoesNotHoldAgainstAHostThatSawTheCrashToo)
{
    start_core(0, 8);
    for (guint64 crash = 1; crash <= 3; crash++) {
        peer_says(CQ_PART_CRASHED, crash);
        peer_says(CQ_PART_RETRACTED, crash);
    }
    advance(kSecond);
    for (guint64 crash = 1; crash <= 3; crash++) {
        peer_says(CQ_PART_CONFIRMED, crash,
                  kSecond + (gint64)crash * 100 * kMs);
    }
    EXPECT_TRUE(is_blocked(kCall));
    EXPECT_EQ(listed(CQ_PART_RETRACTED), 0u);
}

} // namespace
