// A host that is cut off from all upstreams: how it finds out, and what it
// does with requests.
#include "corefixture.h"

namespace {

using core_test::kMs;
using core_test::kSecond;

class Reach : public core_test::CoreTest {
  protected:
    // Upstreams p0, ... in zones "a" and "b", and peers h1, ... in zone "b"
    // that take requests.
    void
    start(guint plain, guint peers, guint engines = 0)
    {
        start_core(engines, plain);
        for (guint i = 0; i < plain; i++) {
            add_host_row("q" + std::to_string(i), "p", "b");
        }
        for (guint i = 1; i <= peers; i++) {
            std::string name = "h" + std::to_string(i);
            add_host_row(name, "", "b");
            g_strlcpy(rows.back().callers, (name + ":80").c_str(),
                      sizeof rows.back().callers);
        }
        send_host_list();
        for (guint i = 1; i <= peers; i++) {
            peer_says("h" + std::to_string(i), FALSE);
        }
    }
    void
    peer_says(const std::string &host, gboolean cut_off,
              gboolean draining = FALSE)
    {
        cq_summary_t summary = {};
        summary.host = cq_ident_host(host.c_str());
        summary.incarnation = 1;
        summary.cut_off = cut_off;
        summary.draining = draining;
        cq_event_t event = {};
        event.kind = CQ_EV_SUMMARY;
        event.summary = &summary;
        step(event);
    }
    guint64
    call(gboolean repeatable = TRUE)
    {
        return submit(1, 300 * kMs, 0, "p", repeatable);
    }
    // Answers the connections that the core has tried so far.
    guint
    answer_probes(bool opened)
    {
        guint answered = 0;
        for (size_t n = all_actions.size(); probes_seen < n; probes_seen++) {
            if (all_actions[probes_seen].kind == CQ_AC_REACH) {
                cq_event_t event = {};
                event.kind = CQ_EV_REACHED;
                event.reached.upstream =
                    all_actions[probes_seen].reach.upstream;
                event.reached.opened = opened;
                step(event);
                answered++;
            }
        }
        return answered;
    }
    // No connection to an upstream opens.
    void
    cut()
    {
        guint64 id = call(FALSE);
        while (answer_of(id) == nullptr && hand_of(id) == nullptr) {
            attempt_event(id, CQ_EV_FAILED, CQ_FAIL_CONNECT);
            answer_probes(false);
        }
    }
    const cq_ac_hand_t *
    hand_of(guint64 request)
    {
        const cq_ac_hand_t *last = nullptr;
        for (const cq_action_t &action : all_actions) {
            if (action.kind == CQ_AC_HAND && action.hand.request == request) {
                last = &action.hand;
            }
        }
        return last;
    }
    void
    peer_event(guint64 request, cq_event_kind_t kind, int status = 200)
    {
        cq_event_t event = {};
        event.kind = kind;
        event.attempt.request = request;
        event.attempt.attempt = hand_of(request)->attempt;
        event.attempt.tokens = 1;
        event.attempt.unnumbered = unnumbered;
        event.attempt.status = status;
        event.attempt.failure = CQ_FAIL_BROKEN;
        step(event);
    }

    size_t probes_seen = 0;
    // Whether the events that peers send from now on have no ids.
    gboolean unnumbered = FALSE;
};

TEST_F(Reach, ACutHostPassesRequestsOnToAPeer)
{
    start(3, 2);
    cut();
    for (int i = 0; i < 10; i++) {
        guint64 id = call(i % 2 == 0);
        EXPECT_EQ(last_send(id), nullptr);
        ASSERT_NE(hand_of(id), nullptr);
        EXPECT_EQ(hand_of(id)->fresh, i % 2 != 0);
        peer_event(id, CQ_EV_SENT);
        peer_event(id, CQ_EV_DONE);
        ASSERT_NE(answer_of(id), nullptr);
        EXPECT_EQ(answer_of(id)->status, 200);
    }
}

TEST_F(Reach, CrashesOfAThirdOfTheUpstreamsAreNoCut)
{
    start(3, 2);
    guint64 first = call();
    attempt_event(first, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    attempt_event(first, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    EXPECT_GE(answer_probes(true), 1u);
    EXPECT_EQ(hand_of(first), nullptr);
    guint64 next = call();
    EXPECT_EQ(hand_of(next), nullptr);
    EXPECT_NE(last_send(next), nullptr);
}

TEST_F(Reach, EachZoneIsTriedBeforeAHostCountsAsCut)
{
    start(3, 2);
    guint64 first = call();
    attempt_event(first, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    attempt_event(first, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    bool near = false;
    bool far = false;
    for (const cq_action_t &action : all_actions) {
        if (action.kind == CQ_AC_REACH) {
            (in_zone_b(action.reach.upstream) ? far : near) = true;
        }
    }
    EXPECT_TRUE(near);
    EXPECT_TRUE(far);
}

// Kept connections hang, so no connection is refused.
TEST_F(Reach, SilentUpstreamsShowACut)
{
    start(3, 1);
    on_kept_conn = TRUE;
    std::vector<guint64> calls;
    for (int i = 0; i < 12; i++) {
        calls.push_back(call());
        attempt_event(calls.back(), CQ_EV_SENT);
    }
    for (int i = 0; i < 100; i++) {
        advance(10 * kMs);
        peer_says("h1", FALSE);
        answer_probes(false);
    }
    for (guint64 id : calls) {
        EXPECT_NE(hand_of(id), nullptr);
    }
}

TEST_F(Reach, AStreamContinuesAtThePeer)
{
    start(3, 1, 2);
    guint64 id = submit_short();
    attempt_event(id, CQ_EV_TOKENS);
    attempt_event(id, CQ_EV_TOKENS);
    cut();
    attempt_event(id, CQ_EV_FAILED);
    ASSERT_NE(hand_of(id), nullptr);
    peer_event(id, CQ_EV_TOKENS);
    peer_event(id, CQ_EV_DONE);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->status, 200);
}

// Without ids a second peer can't go on after the last event.
TEST_F(Reach, AStreamWithoutIdsEndsWithItsPeer)
{
    start(3, 2);
    cut();
    guint64 id = call();
    unnumbered = TRUE;
    peer_event(id, CQ_EV_TOKENS);
    peer_event(id, CQ_EV_FAILED);
    EXPECT_EQ(hand_of(id)->attempt, 1u);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_BROKEN);
}

TEST_F(Reach, ACallThatMayHaveRunIsNotPassedOn)
{
    start(3, 1);
    guint64 id = call(FALSE);
    attempt_event(id, CQ_EV_SENT);
    cut();
    attempt_event(id, CQ_EV_FAILED);
    EXPECT_EQ(hand_of(id), nullptr);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->ran, CQ_RAN_UNKNOWN);
}

TEST_F(Reach, ACallThatMayHaveRunAtThePeerIsNotSentAgain)
{
    start(3, 2);
    cut();
    guint64 id = call(FALSE);
    peer_event(id, CQ_EV_SENT);
    peer_event(id, CQ_EV_FAILED);
    EXPECT_EQ(hand_of(id)->attempt, 1u);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->ran, CQ_RAN_UNKNOWN);
}

TEST_F(Reach, ARequestOfAPeerIsNotPassedOnAgain)
{
    start(3, 2);
    cut();
    handed = TRUE;
    guint64 id = call();
    EXPECT_EQ(hand_of(id), nullptr);
}

// The peer can't know that the request was sent from here before.
TEST_F(Reach, ARefusalOfThePeerIsNoPromiseForAnEarlierAttempt)
{
    start(3, 1);
    guint64 id = call();
    attempt_event(id, CQ_EV_SENT);
    cut();
    attempt_event(id, CQ_EV_FAILED);
    ASSERT_NE(hand_of(id), nullptr);
    peer_event(id, CQ_EV_SENT);
    peer_event(id, CQ_EV_DONE, 503);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->ran, CQ_RAN_UNKNOWN);
    EXPECT_EQ(answer_of(id)->status, 502);
}

// A request that may outlast the stop of the first peer.
TEST_F(Reach, WhatAStoppingPeerRefusesIsPassedOnToAnother)
{
    start(3, 2);
    cut();
    for (gboolean repeatable : {0, 1}) {
        peer_says("h1", FALSE);
        peer_says("h2", FALSE);
        guint64 id = call(repeatable);
        ASSERT_NE(hand_of(id), nullptr);
        std::string first = hand_of(id)->addr;
        peer_event(id, CQ_EV_SENT);
        peer_says(first.substr(0, 2), FALSE, TRUE);
        peer_event(id, CQ_EV_DONE, 503);
        EXPECT_EQ(answer_of(id), nullptr);
        EXPECT_NE(hand_of(id)->addr, first);
        peer_event(id, CQ_EV_SENT);
        peer_event(id, CQ_EV_DONE, 503);
        ASSERT_NE(answer_of(id), nullptr);
        EXPECT_EQ(answer_of(id)->status, 503);
    }
}

TEST_F(Reach, PeersThatAreCutOffGetNothing)
{
    start(3, 2);
    cut();
    peer_says("h1", TRUE);
    for (int i = 0; i < 10; i++) {
        guint64 id = call();
        ASSERT_NE(hand_of(id), nullptr);
        EXPECT_STREQ(hand_of(id)->addr, "h2:80");
    }
    peer_says("h2", TRUE);
    EXPECT_EQ(hand_of(call()), nullptr);
}

TEST_F(Reach, AHostThatReachesAnUpstreamAgainUsesThemAtOnce)
{
    start(3, 1);
    cut();
    EXPECT_NE(hand_of(call()), nullptr);
    advance(kSecond);
    EXPECT_GE(answer_probes(true), 1u);
    guint64 id = call();
    EXPECT_EQ(hand_of(id), nullptr);
    EXPECT_NE(last_send(id), nullptr);
}

TEST_F(Reach, ACallerThatLeavesEndsTheAttemptAtThePeer)
{
    start(3, 1);
    cut();
    guint64 id = call();
    peer_event(id, CQ_EV_SENT);
    size_t before = all_actions.size();
    hang_up(id);
    bool stopped = false;
    for (size_t i = before; i < all_actions.size(); i++) {
        stopped |= all_actions[i].kind == CQ_AC_STOP &&
                   all_actions[i].attempt.request == id;
    }
    EXPECT_TRUE(stopped);
}

// An upstream whose entry lapsed in an outage of the store is still in the
// arrays of candidates when the sweep frees it, and an attempt that is silent
// for too long was given up for a peer in the same tick.
TEST_F(Reach, ACutHostDoesntReadAnUpstreamThatTheSameTickHasFreed)
{
    start(4, 1);
    cq_upstream_view_t view;
    auto drop_row = [&](const char *name) {
        for (auto row = rows.begin(); row != rows.end(); ++row) {
            if (std::string(row->name) == name) {
                rows.erase(row);
                break;
            }
        }
        send_host_list();
    };
    drop_row("q3");
    while (cq_core_upstream(core, cq_ident_hash("q3"), &view)) {
        advance(10 * kMs);
    }
    gint64 sweep_us = now_us + 2 * kSecond;
    advance(sweep_us - 310 * kMs - now_us);
    peer_says("h1", FALSE);
    guint64 id = submit(1, 3 * kSecond, 0, "p");
    attempt_event(id, CQ_EV_SENT);
    cut();
    for (bool up : {true, false, true}) {
        cq_event_t event = {};
        event.kind = CQ_EV_LOG;
        event.log_up = up;
        step(event);
    }
    guint64 used = last_send(id)->upstream;
    drop_row(used == cq_ident_hash("p0") ? "p1" : "p0");
    guint64 freed = cq_ident_hash(used == cq_ident_hash("p0") ? "p1" : "p0");
    advance(300 * kMs);
    EXPECT_EQ(hand_of(id), nullptr);
    EXPECT_TRUE(cq_core_upstream(core, freed, &view));
    advance(10 * kMs);
    EXPECT_NE(hand_of(id), nullptr);
    EXPECT_FALSE(cq_core_upstream(core, freed, &view));
}

// The load: a part of the prompt is blocked while the peer writes the answer.
TEST_F(Reach, AStreamThatAPeerWritesIsNotCutByABlock)
{
    start(3, 1, 4);
    cut();
    parts = {0xbad};
    guint64 id = submit_short();
    ASSERT_NE(hand_of(id), nullptr);
    peer_event(id, CQ_EV_SENT);
    for (int i = 0; i < 6; i++) {
        peer_event(id, CQ_EV_TOKENS);
    }
    for (const char *crash :
         {"c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8"}) {
        cq_part_report_t row = {};
        row.kind = CQ_PART_CRASHED;
        row.service = cq_ident_hash("m");
        row.part = 0xbad;
        row.team = cq_ident_hash("t");
        row.crash = cq_ident_hash(crash);
        cq_event_t event = {};
        event.kind = CQ_EV_PARTS;
        event.parts.rows = &row;
        event.parts.len = 1;
        step(event);
        advance(50 * kMs);
        peer_event(id, CQ_EV_TOKENS);
    }
    EXPECT_EQ(answer_of(id), nullptr);
}

// The load: the peer's summaries are lost, its answer isn't.
TEST_F(Reach, AStreamThatAPeerWritesIsNotCutWhenItsSummariesStop)
{
    start(3, 2);
    cut();
    guint64 id = submit(2000, 300 * kMs, 200 * kMs, "p");
    ASSERT_NE(hand_of(id), nullptr);
    guint32 attempt = hand_of(id)->attempt;
    peer_event(id, CQ_EV_SENT);
    gint64 first_us = now_us;
    while (now_us < first_us + 3 * kSecond && answer_of(id) == nullptr &&
           hand_of(id)->attempt == attempt) {
        peer_event(id, CQ_EV_TOKENS);
        advance(50 * kMs);
    }
    EXPECT_EQ(hand_of(id)->attempt, attempt) << (now_us - first_us) / kMs;
    EXPECT_EQ(answer_of(id), nullptr) << (now_us - first_us) / kMs << " ms";
}

// The load: a cut host whose prompt holds memory at other engines; the peers
// refuse.
TEST_F(Reach, APromptWithMemorySetAsideIsKeptUntilAPeerAnswers)
{
    start(3, 1, 12);
    guint64 id = submit_long(500000);
    advance(20 * kMs);
    cq_event_t event = {};
    event.kind = CQ_EV_RESERVED;
    event.reserved.request = id;
    ASSERT_FALSE(engines_in(CQ_AC_RESERVE).empty());
    event.reserved.upstream = engines_in(CQ_AC_RESERVE).at(0);
    event.reserved.granted = TRUE;
    step(event);
    ASSERT_NE(last_send(id), nullptr);
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_TOKENS);
    cut();
    advance(400 * kMs);
    peer_says("h1", FALSE);
    guint stops = 0;
    for (const cq_action_t &action : all_actions) {
        stops += action.kind == CQ_AC_STOP && action.attempt.request == id &&
                 action.attempt.attempt == 1;
    }
    ASSERT_NE(hand_of(id), nullptr);
    EXPECT_EQ(stops, 0u) << "nobody has begun to answer in its place";
    peer_event(id, CQ_EV_SENT);
    peer_event(id, CQ_EV_DONE, 503);
    EXPECT_EQ(answer_of(id), nullptr);
}

// The load: the same; the engine that decodes has not begun, while connections
// to the others live on.
TEST_F(Reach, MemoryThatNothingUsesIsReleasedWhileAPeerIsAsked)
{
    start(3, 1, 12);
    guint64 id = submit_long(500000);
    advance(20 * kMs);
    gint64 reserved_us = now_us;
    guint64 holder = engines_in(CQ_AC_RESERVE).at(0);
    cq_event_t event = {};
    event.kind = CQ_EV_RESERVED;
    event.reserved.request = id;
    event.reserved.upstream = holder;
    event.reserved.granted = TRUE;
    step(event);
    attempt_event(id, CQ_EV_SENT);
    cut();
    while (hand_of(id) == nullptr) {
        ASSERT_LT(now_us, reserved_us + 4 * kSecond);
        advance(100 * kMs);
        peer_says("h1", FALSE);
    }
    peer_event(id, CQ_EV_SENT);
    event = {};
    event.kind = CQ_EV_INSPECTED;
    event.inspected.request = id;
    event.inspected.upstream = holder;
    event.inspected.report.use = CQ_MEMORY_HELD;
    while (engines_in(CQ_AC_RELEASE).empty()) {
        ASSERT_LT(now_us, reserved_us + 9 * kSecond);
        advance(500 * kMs);
        peer_says("h1", FALSE);
        step(event);
    }
    EXPECT_EQ(answer_of(id), nullptr);
    peer_event(id, CQ_EV_TOKENS);
    peer_event(id, CQ_EV_DONE);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_DONE);
}

} // namespace
