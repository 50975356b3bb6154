// Placement, bookings and refusals in BATCH services.
#include "corefixture.h"

namespace {

using core_test::CoreTest;
using core_test::kMs;
using core_test::kSecond;

TEST_F(CoreTest, ShortPromptsArePackedOnOneEngine)
{
    start_core(6);
    guint64 first = 0;
    for (int i = 0; i < 6; i++) {
        guint64 id = submit_short();
        ASSERT_NE(last_send(id), nullptr);
        first = i == 0 ? last_send(id)->upstream : first;
        EXPECT_EQ(last_send(id)->upstream, first);
        advance(100 * kMs);
        start_stream(id);
        advance(100 * kMs);
    }
}

// An engine has 16 slots, so the last 4 of 20 requests go to the other one.
TEST_F(CoreTest, AnEngineWithoutRoomGetsNoMoreRequests)
{
    start_core(2);
    guint64 first = 0;
    guint elsewhere = 0;
    for (int i = 0; i < 20; i++) {
        guint64 id = submit_short(500);
        ASSERT_NE(last_send(id), nullptr) << i;
        first = i == 0 ? last_send(id)->upstream : first;
        elsewhere += last_send(id)->upstream != first;
        advance(60 * kMs);
        start_stream(id);
        advance(60 * kMs);
    }
    EXPECT_EQ(elsewhere, 4u);
}

// The prompt is on time with seven of the twelve engines; the others are left
// to short prompts.
TEST_F(CoreTest, ALongPromptIsPrefilledBySeveralEngines)
{
    start_core(12);
    guint64 id = submit_long();
    EXPECT_EQ(last_send(id), nullptr);
    advance(20 * kMs);
    ASSERT_NE(last_send(id), nullptr);
    EXPECT_EQ(last_send(id)->group_len, 7u);
    EXPECT_EQ(last_send(id)->group[0], last_send(id)->upstream);
}

// Three engines prefill the first prompt for nearly a second; the second
// prompt waits for them.
TEST_F(CoreTest, EnginesInPrefillAreNotChosenAgain)
{
    start_core(3);
    guint64 one = submit_long(160000);
    advance(20 * kMs);
    ASSERT_NE(last_send(one), nullptr);
    EXPECT_EQ(last_send(one)->group_len, 3u);
    guint64 two = submit_long(160000);
    advance(200 * kMs);
    EXPECT_EQ(last_send(two), nullptr);
    attempt_event(one, CQ_EV_TOKENS);
    advance(400 * kMs);
    EXPECT_NE(last_send(two), nullptr);
}

TEST_F(CoreTest, NoPartExceedsTheGapLimitOfManyStreams)
{
    start_core(1);
    for (int i = 0; i < 8; i++) {
        guint64 one = submit_short();
        advance(100 * kMs);
        start_stream(one);
    }
    guint64 id = submit(45000, 1500 * kMs, 500 * kMs);
    advance(kSecond);
    EXPECT_EQ(last_send(id), nullptr);
    for (guint64 one : streaming) {
        attempt_event(one, CQ_EV_DONE);
    }
    streaming.clear();
    advance(50 * kMs);
    EXPECT_NE(last_send(id), nullptr);
}

TEST_F(CoreTest, ALongPromptMayExceedTheGapLimitOfAFewStreams)
{
    start_core(4);
    for (int i = 0; i < 4; i++) {
        std::string name = "e" + std::to_string(i);
        peer_places_task(100 + i, {name.c_str()}, 3000, 10 * kMs, 200 * kMs,
                         kSecond, TRUE);
    }
    guint64 id = submit_long(150000);
    advance(100 * kMs);
    EXPECT_EQ(last_send(id), nullptr);
    advance(200 * kMs);
    EXPECT_NE(last_send(id), nullptr);
}

TEST_F(CoreTest, APromptThatCannotBeOnTimeIsRefusedWithRetryAfter)
{
    start_core(1);
    for (int i = 0; i < 12; i++) {
        peer_places_task(100 + i, {"e0"}, 3000, 10 * kMs, 200 * kMs, kSecond,
                         TRUE);
    }
    guint64 id = submit(45000, 1500 * kMs, 500 * kMs);
    advance(1700 * kMs);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->status, 503);
    EXPECT_EQ(answer_of(id)->ran, CQ_RAN_NO);
    EXPECT_GT(answer_of(id)->retry_after_us, 0);
    EXPECT_LE(answer_of(id)->retry_after_us, 10 * kSecond / 3);
}

TEST_F(CoreTest, PlacementCountsTasksOfPeers)
{
    start_core(2);
    for (int i = 0; i < 16; i++) {
        peer_places_task(100 + i, {"e0"}, 3000, 10 * kMs, 200 * kMs, kSecond,
                         TRUE);
    }
    guint64 id = submit_short();
    ASSERT_NE(last_send(id), nullptr);
    EXPECT_EQ(last_send(id)->upstream, cq_ident_hash("e1"));
}

TEST_F(CoreTest, AResetOfAPeersTasksFreesTheirEngine)
{
    start_core(1);
    for (int i = 0; i < 16; i++) {
        peer_places_task(100 + i, {"e0"}, 3000, 10 * kMs, 200 * kMs, kSecond,
                         TRUE);
    }
    EXPECT_EQ(last_send(submit_short()), nullptr);
    cq_task_update_t reset = {};
    reset.kind = CQ_TASK_RESET;
    peer_sends_update(reset);
    EXPECT_NE(last_send(submit_short()), nullptr);
}

TEST_F(CoreTest, TasksOnUnknownEnginesAreIgnored)
{
    start_core(1);
    peer_places_task(100, {"e77"}, 3000, 10 * kMs, 200 * kMs, 0, FALSE);
    cq_task_update_t decoding = {};
    decoding.kind = CQ_TASK_DECODING;
    decoding.request = 100;
    peer_sends_update(decoding);
    EXPECT_NE(last_send(submit_short()), nullptr);
}

// A peer has booked the same engines within a millisecond.
TEST_F(CoreTest, ABookingWaitsForOneWithASmallerRequestId)
{
    start_core(3);
    guint64 id = submit_long(160000);
    peer_places_task(id - 1, {"e0", "e1", "e2"}, 160000, 600 * kMs, 800 * kMs,
                     -4 * kMs, FALSE);
    advance(100 * kMs);
    EXPECT_EQ(last_send(id), nullptr);
    advance(900 * kMs);
    EXPECT_NE(last_send(id), nullptr);
}

TEST_F(CoreTest, ABookingDoesNotWaitForOneWithALargerRequestId)
{
    start_core(3);
    guint64 id = submit_long(160000);
    peer_places_task(id + 1, {"e0", "e1", "e2"}, 160000, 600 * kMs, 800 * kMs,
                     -4 * kMs, FALSE);
    advance(20 * kMs);
    EXPECT_NE(last_send(id), nullptr);
}

TEST_F(CoreTest, APromptLargerThanOneEngineReservesAndReleasesMemory)
{
    start_core(12);
    guint64 id = submit_long(500000);
    advance(20 * kMs);
    std::vector<guint64> held = engines_in(CQ_AC_RESERVE);
    ASSERT_EQ(held.size(), 1u);
    EXPECT_EQ(last_send(id), nullptr);
    cq_event_t event = {};
    event.kind = CQ_EV_RESERVED;
    event.reserved.request = id;
    event.reserved.upstream = held[0];
    event.reserved.granted = TRUE;
    step(event);
    ASSERT_NE(last_send(id), nullptr);
    EXPECT_NE(last_send(id)->upstream, held[0]);
    attempt_event(id, CQ_EV_TOKENS);
    attempt_event(id, CQ_EV_DONE);
    EXPECT_EQ(engines_in(CQ_AC_RELEASE), held);
    EXPECT_EQ(cq_core_stats(core).reserved, 0u);
}

TEST_F(CoreTest, ARefusedReservationIsReleasedAndTriedAgain)
{
    start_core(12);
    guint64 id = submit_long(500000);
    advance(20 * kMs);
    std::vector<guint64> held = engines_in(CQ_AC_RESERVE);
    ASSERT_EQ(held.size(), 1u);
    cq_event_t event = {};
    event.kind = CQ_EV_RESERVED;
    event.reserved.request = id;
    event.reserved.upstream = held[0];
    event.reserved.granted = FALSE;
    step(event);
    EXPECT_EQ(engines_in(CQ_AC_RELEASE).size(), 1u);
    advance(500 * kMs);
    EXPECT_EQ(engines_in(CQ_AC_RESERVE).size(), 2u);
    EXPECT_EQ(last_send(id), nullptr);
}

TEST_F(CoreTest, MemoryIsReleasedWhenTheCallerLeavesDuringReservation)
{
    start_core(12);
    guint64 id = submit_long(500000);
    advance(20 * kMs);
    cq_event_t event = {};
    event.kind = CQ_EV_HANGUP;
    event.attempt.request = id;
    step(event);
    EXPECT_EQ(engines_in(CQ_AC_RELEASE).size(), 1u);
    EXPECT_EQ(cq_core_stats(core).reserved, 0u);
    EXPECT_EQ(cq_core_stats(core).requests, 0u);
}

TEST_F(CoreTest, ANewHostHoldsLongPromptsUntilPeersSendSummaries)
{
    start_core(12, 0, 1);
    guint64 id = submit_long();
    advance(200 * kMs);
    EXPECT_EQ(last_send(id), nullptr);
    peer_sends_summary("h1");
    advance(20 * kMs);
    EXPECT_NE(last_send(id), nullptr);
}

TEST_F(CoreTest, ANewHostWaitsForPeersForALimitedTime)
{
    start_core(12, 0, 1);
    guint64 id = submit_long();
    advance(1100 * kMs);
    EXPECT_NE(last_send(id), nullptr);
}

TEST_F(CoreTest, EntriesThatExpiredInALogOutageStayUsableForAWhile)
{
    start_core(1);
    rows[0].name[0] = 'x';
    send_host_list(now_us + 2 * kSecond);
    guint64 id = submit_short();
    EXPECT_EQ(last_send(id)->upstream, cq_ident_hash("e0"));
    attempt_event(id, CQ_EV_TOKENS);
    attempt_event(id, CQ_EV_DONE);
    advance(2 * kSecond + 50 * kMs);
    id = submit_short();
    ASSERT_NE(last_send(id), nullptr);
    EXPECT_EQ(last_send(id)->upstream, cq_ident_hash("x0"));
}

TEST_F(CoreTest, EntriesThatDidNotExpireInALogOutageAreGoneAtOnce)
{
    start_core(1);
    cq_event_t event = {};
    event.kind = CQ_EV_LOG;
    for (int up : {1, 0, 1}) {
        event.log_up = up;
        step(event);
    }
    rows[0].name[0] = 'x';
    send_host_list();
    guint64 id = submit_short();
    ASSERT_NE(last_send(id), nullptr);
    EXPECT_EQ(last_send(id)->upstream, cq_ident_hash("x0"));
}

TEST_F(CoreTest, ALeavingEngineGetsNoNewRequests)
{
    start_core(2);
    guint64 first = last_send(submit_short())->upstream;
    for (cq_host_row_t &row : rows) {
        row.leaving = cq_ident_hash(row.name) == first;
    }
    send_host_list();
    for (int i = 0; i < 5; i++) {
        EXPECT_NE(last_send(submit_short())->upstream, first);
    }
}

} // namespace
