// Placement and refusals on engines that work in passes.
#include "fit.h"

namespace {

using fit::Fit;
using fit::kMs;
using fit::kSecond;

TEST_F(Fit, ShortPromptsArePackedOnOneEngine)
{
    start(6);
    guint64 first = 0;
    for (int i = 0; i < 6; i++) {
        guint64 id = ask_short();
        ASSERT_NE(sent(id), nullptr);
        first = i == 0 ? sent(id)->upstream : first;
        EXPECT_EQ(sent(id)->upstream, first);
        pass(100 * kMs);
        write(id);
        pass(100 * kMs);
    }
}

TEST_F(Fit, AFullEngineGetsNoMore)
{
    start(2);
    guint64 first = 0;
    guint elsewhere = 0;
    for (int i = 0; i < 20; i++) {
        guint64 id = ask_short(500);
        ASSERT_NE(sent(id), nullptr) << i;
        first = i == 0 ? sent(id)->upstream : first;
        elsewhere += sent(id)->upstream != first;
        pass(60 * kMs);
        write(id);
        pass(60 * kMs);
    }
    EXPECT_EQ(elsewhere, 4u);
}

// It is on time with seven of the twelve; the others are left to short ones.
TEST_F(Fit, ALongPromptIsReadByManyEngines)
{
    start(12);
    guint64 id = ask_long();
    EXPECT_EQ(sent(id), nullptr);
    pass(20 * kMs);
    ASSERT_NE(sent(id), nullptr);
    EXPECT_EQ(sent(id)->group_len, 7u);
    EXPECT_EQ(sent(id)->group[0], sent(id)->upstream);
}

// Three engines read it for nearly a second; the next one waits for them.
TEST_F(Fit, EnginesThatReadAreNotAskedAgain)
{
    start(3);
    guint64 one = ask_long(160000);
    pass(20 * kMs);
    ASSERT_NE(sent(one), nullptr);
    EXPECT_EQ(sent(one)->group_len, 3u);
    guint64 two = ask_long(160000);
    pass(200 * kMs);
    EXPECT_EQ(sent(two), nullptr);
    news(one, CQ_EV_TOKENS);
    pass(400 * kMs);
    EXPECT_NE(sent(two), nullptr);
}

TEST_F(Fit, NoPartBreaksThePauseOfManyStreams)
{
    start(1);
    for (int i = 0; i < 8; i++) {
        guint64 one = ask_short();
        pass(100 * kMs);
        write(one);
    }
    guint64 id = ask(45000, 1500 * kMs, 500 * kMs);
    pass(kSecond);
    EXPECT_EQ(sent(id), nullptr);
    for (guint64 one : writing) {
        news(one, CQ_EV_DONE);
    }
    writing.clear();
    pass(50 * kMs);
    EXPECT_NE(sent(id), nullptr);
}

TEST_F(Fit, AFewStreamsGiveWayToALongPrompt)
{
    start(4);
    for (int i = 0; i < 4; i++) {
        std::string name = "e" + std::to_string(i);
        peer_places(100 + i, {name.c_str()}, 3000, 10 * kMs, 200 * kMs,
                    kSecond, TRUE);
    }
    guint64 id = ask_long(150000);
    pass(100 * kMs);
    EXPECT_EQ(sent(id), nullptr);
    pass(200 * kMs);
    EXPECT_NE(sent(id), nullptr);
}

TEST_F(Fit, APromptThatCantBeOnTimeIsToldToComeBack)
{
    start(1);
    for (int i = 0; i < 12; i++) {
        peer_places(100 + i, {"e0"}, 3000, 10 * kMs, 200 * kMs, kSecond, TRUE);
    }
    guint64 id = ask(45000, 1500 * kMs, 500 * kMs);
    pass(1700 * kMs);
    ASSERT_NE(answered(id), nullptr);
    EXPECT_EQ(answered(id)->status, 503);
    EXPECT_EQ(answered(id)->ran, CQ_RAN_NO);
    EXPECT_GT(answered(id)->retry_after_us, 0);
    EXPECT_LE(answered(id)->retry_after_us, 10 * kSecond / 3);
}

TEST_F(Fit, WhatPeersHavePlacedCounts)
{
    start(2);
    for (int i = 0; i < 16; i++) {
        peer_places(100 + i, {"e0"}, 3000, 10 * kMs, 200 * kMs, kSecond, TRUE);
    }
    guint64 id = ask_short();
    ASSERT_NE(sent(id), nullptr);
    EXPECT_EQ(sent(id)->upstream, cq_ident_hash("e1"));
}

TEST_F(Fit, AnEngineOfAPeerThatForgotItIsFreeAgain)
{
    start(1);
    for (int i = 0; i < 16; i++) {
        peer_places(100 + i, {"e0"}, 3000, 10 * kMs, 200 * kMs, kSecond, TRUE);
    }
    EXPECT_EQ(sent(ask_short()), nullptr);
    cq_task_update_t reset = {};
    reset.kind = CQ_TASK_RESET;
    peer_says(reset);
    EXPECT_NE(sent(ask_short()), nullptr);
}

TEST_F(Fit, TasksOnUnknownEnginesDoNoHarm)
{
    start(1);
    peer_places(100, {"e77"}, 3000, 10 * kMs, 200 * kMs, 0, FALSE);
    cq_task_update_t writing = {};
    writing.kind = CQ_TASK_DECODING;
    writing.request = 100;
    peer_says(writing);
    EXPECT_NE(sent(ask_short()), nullptr);
}

// Both hosts booked the same engines within a millisecond.
TEST_F(Fit, OfTwoBookingsTheSmallerRequestGoesFirst)
{
    start(3);
    guint64 id = ask_long(160000);
    peer_places(id - 1, {"e0", "e1", "e2"}, 160000, 600 * kMs, 800 * kMs,
                -4 * kMs, FALSE);
    pass(100 * kMs);
    EXPECT_EQ(sent(id), nullptr);
    pass(900 * kMs);
    EXPECT_NE(sent(id), nullptr);
}

TEST_F(Fit, OfTwoBookingsTheLargerRequestGivesWay)
{
    start(3);
    guint64 id = ask_long(160000);
    peer_places(id + 1, {"e0", "e1", "e2"}, 160000, 600 * kMs, 800 * kMs,
                -4 * kMs, FALSE);
    pass(20 * kMs);
    EXPECT_NE(sent(id), nullptr);
}

TEST_F(Fit, APromptAboveOneMemoryReservesAndReleases)
{
    start(12);
    guint64 id = ask_long(500000);
    pass(20 * kMs);
    std::vector<guint64> held = engines_of(CQ_AC_RESERVE);
    ASSERT_EQ(held.size(), 1u);
    EXPECT_EQ(sent(id), nullptr);
    cq_event_t event = {};
    event.kind = CQ_EV_RESERVED;
    event.reserved.request = id;
    event.reserved.upstream = held[0];
    event.reserved.granted = TRUE;
    step(event);
    ASSERT_NE(sent(id), nullptr);
    EXPECT_NE(sent(id)->upstream, held[0]);
    news(id, CQ_EV_TOKENS);
    news(id, CQ_EV_DONE);
    EXPECT_EQ(engines_of(CQ_AC_RELEASE), held);
    EXPECT_EQ(cq_core_stats(core).reserved, 0u);
}

TEST_F(Fit, AReservationThatIsRefusedIsReleasedAndTriedAgain)
{
    start(12);
    guint64 id = ask_long(500000);
    pass(20 * kMs);
    std::vector<guint64> held = engines_of(CQ_AC_RESERVE);
    ASSERT_EQ(held.size(), 1u);
    cq_event_t event = {};
    event.kind = CQ_EV_RESERVED;
    event.reserved.request = id;
    event.reserved.upstream = held[0];
    event.reserved.granted = FALSE;
    step(event);
    EXPECT_EQ(engines_of(CQ_AC_RELEASE).size(), 1u);
    pass(500 * kMs);
    EXPECT_EQ(engines_of(CQ_AC_RESERVE).size(), 2u);
    EXPECT_EQ(sent(id), nullptr);
}

TEST_F(Fit, ACallerThatLeavesWhileMemoryIsAskedForLeavesNone)
{
    start(12);
    guint64 id = ask_long(500000);
    pass(20 * kMs);
    cq_event_t event = {};
    event.kind = CQ_EV_HANGUP;
    event.attempt.request = id;
    step(event);
    EXPECT_EQ(engines_of(CQ_AC_RELEASE).size(), 1u);
    EXPECT_EQ(cq_core_stats(core).reserved, 0u);
    EXPECT_EQ(cq_core_stats(core).requests, 0u);
}

TEST_F(Fit, ANewHostIsCarefulUntilItHasHeardItsPeers)
{
    start(12, 0, 1);
    guint64 id = ask_long();
    pass(200 * kMs);
    EXPECT_EQ(sent(id), nullptr);
    hear_peer("h1");
    pass(20 * kMs);
    EXPECT_NE(sent(id), nullptr);
}

TEST_F(Fit, ANewHostDoesNotWaitForPeersForEver)
{
    start(12, 0, 1);
    guint64 id = ask_long();
    pass(1100 * kMs);
    EXPECT_NE(sent(id), nullptr);
}

TEST_F(Fit, EntriesThatLapsedWithTheStoreAreGivenTimeToComeBack)
{
    start(1);
    cq_event_t event = {};
    event.kind = CQ_EV_LOG;
    for (int up : {1, 0, 1}) {
        event.log_up = up;
        step(event);
    }
    rows[0].name[0] = 'x';
    list();
    guint64 id = ask_short();
    EXPECT_EQ(sent(id)->upstream, cq_ident_hash("e0"));
    news(id, CQ_EV_TOKENS);
    news(id, CQ_EV_DONE);
    pass(2 * kSecond + 50 * kMs);
    id = ask_short();
    ASSERT_NE(sent(id), nullptr);
    EXPECT_EQ(sent(id)->upstream, cq_ident_hash("x0"));
}

TEST_F(Fit, ALeavingEngineGetsNothingNew)
{
    start(2);
    guint64 first = sent(ask_short())->upstream;
    for (cq_host_row_t &row : rows) {
        row.leaving = cq_ident_hash(row.name) == first;
    }
    list();
    for (int i = 0; i < 5; i++) {
        EXPECT_NE(sent(ask_short())->upstream, first);
    }
}

} // namespace
