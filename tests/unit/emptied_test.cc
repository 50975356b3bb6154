// What one host does with the upstreams of a zone that operators want emptied.
#include "corefixture.h"

namespace {

using core_test::kMs;
using core_test::kSecond;

class Emptied : public core_test::CoreTest {
  protected:
    void
    empty_zone(const char *zone, gboolean emptied = TRUE)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_EMPTIED;
        g_strlcpy(event.emptied.zone, zone, sizeof event.emptied.zone);
        event.emptied.emptied = emptied;
        step(event);
    }
    bool
    in_zone_a(guint64 upstream)
    {
        return !in_zone_b(upstream);
    }
    // Engines of zone a that have been named since action @from: as the one
    // that decodes, that prefills a part or that reserves memory.
    guint
    named_in_a(size_t from)
    {
        guint count = 0;
        for (size_t i = from; i < all_actions.size(); i++) {
            const cq_action_t &action = all_actions[i];
            if (action.kind == CQ_AC_RESERVE) {
                count += in_zone_a(action.memory.upstream);
            }
            if (action.kind != CQ_AC_SEND) {
                continue;
            }
            count += in_zone_a(action.send.upstream);
            for (guint k = 0; k < action.send.group_len; k++) {
                count += in_zone_a(action.send.group[k]);
            }
        }
        return count;
    }
};

TEST_F(Emptied, NothingNewReachesAnUpstreamOfAnEmptiedZone)
{
    start_core(8);
    advance(2 * kSecond);
    for (int i = 0; i < 20; i++) {
        submit_short();
    }
    ASSERT_GT(named_in_a(0), 0u);
    empty_zone("a");
    size_t from = all_actions.size();
    for (int i = 0; i < 40; i++) {
        submit_short();
        if (i % 8 == 0) {
            submit_long(900000);
            submit_long();
        }
        advance(100 * kMs);
    }
    EXPECT_GT(all_actions.size(), from);
    EXPECT_EQ(named_in_a(from), 0u);
}

// The streams go on there, and one that breaks off is resumed elsewhere.
TEST_F(Emptied, WhatRunsThereIsFinished)
{
    start_core(4);
    advance(2 * kSecond);
    std::vector<guint64> in_a;
    for (int i = 0; i < 20; i++) {
        guint64 id = submit_short();
        if (last_send(id) != nullptr && in_zone_a(last_send(id)->upstream)) {
            in_a.push_back(id);
            attempt_event(id, CQ_EV_SENT);
            start_stream(id);
        }
    }
    ASSERT_GE(in_a.size(), 2u);
    empty_zone("a");
    advance(kSecond);
    for (const cq_action_t &action : all_actions) {
        EXPECT_NE(action.kind, CQ_AC_STOP);
    }
    streaming.clear();
    attempt_event(in_a[0], CQ_EV_DONE);
    ASSERT_NE(answer_of(in_a[0]), nullptr);
    EXPECT_EQ(answer_of(in_a[0])->outcome, CQ_OUTCOME_DONE);
    attempt_event(in_a[1], CQ_EV_FAILED);
    advance(100 * kMs);
    EXPECT_FALSE(in_zone_a(last_send(in_a[1])->upstream));
}

// Memory is being set aside at engines of the zone when it is emptied.
TEST_F(Emptied, APromptThatIsReservingThereIsPlacedElsewhereAtOnce)
{
    start_core(12);
    advance(2 * kSecond);
    guint64 id = submit_long(700000);
    advance(50 * kMs);
    ASSERT_GT(named_in_a(0), 0u);
    ASSERT_EQ(last_send(id), nullptr);
    size_t from = all_actions.size();
    empty_zone("a");
    advance(50 * kMs);
    EXPECT_EQ(named_in_a(from), 0u);
    std::vector<guint64> asked = engines_in(CQ_AC_RESERVE);
    for (guint64 engine : asked) {
        cq_event_t event = {};
        event.kind = CQ_EV_RESERVED;
        event.reserved = {id, engine, TRUE};
        step(event);
    }
    advance(kSecond);
    EXPECT_EQ(named_in_a(from), 0u);
}

TEST_F(Emptied, WithAllZonesEmptiedRequestsAreRefusedAtOnceAsNotRun)
{
    start_core(4, 2);
    advance(2 * kSecond);
    empty_zone("b");
    empty_zone("a");
    for (guint64 id :
         {submit_short(), submit_long(), submit(1, 300 * kMs, 0, "p")}) {
        ASSERT_NE(answer_of(id), nullptr);
        EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_NO_UPSTREAM);
        EXPECT_EQ(answer_of(id)->ran, CQ_RAN_NO);
        EXPECT_GT(answer_of(id)->retry_after_us, 0);
    }
}

// Upstreams that start there get nothing; those that move away from it do.
TEST_F(Emptied, AnUpstreamIsMarkedByTheZoneThatItHasNow)
{
    start_core(0, 1);
    empty_zone("a");
    add_host_row("p1", "p", "a");
    send_host_list();
    EXPECT_EQ(last_send(submit(1, 300 * kMs, 0, "p")), nullptr);
    g_strlcpy(rows[0].zone, "b", sizeof rows[0].zone);
    send_host_list();
    guint64 id = submit(1, 300 * kMs, 0, "p");
    ASSERT_NE(last_send(id), nullptr);
    EXPECT_EQ(last_send(id)->upstream, cq_ident_hash("p0"));
}

TEST_F(Emptied, AZoneThatIsNoLongerEmptiedIsUsedAgain)
{
    start_core(2);
    advance(2 * kSecond);
    empty_zone("a");
    empty_zone("b");
    empty_zone("unknown");
    empty_zone("b", FALSE);
    guint64 id = submit_short();
    ASSERT_NE(last_send(id), nullptr);
    EXPECT_TRUE(in_zone_b(last_send(id)->upstream));
}

// In cells this host's requests are placed by hosts of zones that take work.
TEST_F(Emptied, ACellWhoseZoneIsEmptiedPassesItsRequestsOn)
{
    start_core(8, 1, 70);
    for (cq_host_row_t &row : rows) {
        if (row.service[0] == '\0') {
            g_strlcpy(row.callers, "127.0.0.1:7", sizeof row.callers);
        }
    }
    send_host_list();
    ASSERT_TRUE(cq_core_has_cells(core));
    guint len = 0;
    const cq_host_row_t *peers = cq_core_peers(core, &len);
    for (guint i = 0; i < len; i++) {
        peer_sends_summary(peers[i].name);
    }
    advance(2 * kSecond);
    auto handed = [this] {
        guint count = 0;
        for (const cq_action_t &action : all_actions) {
            count += action.kind == CQ_AC_HAND;
        }
        return count;
    };
    submit_short();
    EXPECT_EQ(handed(), 0u);
    empty_zone("a");
    for (guint i = 0; i < len; i++) {
        peer_sends_summary(peers[i].name);
    }
    submit_short();
    submit_long();
    EXPECT_EQ(handed(), 2u);
    // With no zone left that takes work, nobody is asked.
    empty_zone("b");
    guint64 id = submit_short();
    EXPECT_EQ(handed(), 2u);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_NO_UPSTREAM);
}

} // namespace
