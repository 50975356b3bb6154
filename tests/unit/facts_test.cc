// What hosts believe of an upstream: an answer that one caller or one broken
// upstream brings about holds for that request, that upstream and a while.
#include "corefixture.h"

#include <set>

#include "core/lease.h"
#include "core/member.h"
#include "core/table.h"

namespace {

using core_test::CoreTest;
using core_test::kMs;
using core_test::kSecond;

class Misdirected : public core_test::CoreTest {
  protected:
    // Advances the time, and counts the summaries to the peers and the
    // upstreams that they call leaving.
    void
    advance_and_count(gint64 us)
    {
        for (gint64 until_us = now_us + us; now_us < until_us;) {
            advance(10 * kMs);
            for (guint i = 0; i < actions.items->len; i++) {
                const cq_action_t *action = cq_actions_at(&actions, i);
                if (action->kind == CQ_AC_SUMMARY) {
                    summaries++;
                    told_leaving += action->summary->leaving_len;
                }
            }
        }
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

    guint summaries = 0;
    guint told_leaving = 0;
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
        advance_and_count(100 * kMs);
        EXPECT_GE(used().size(), 1u) << i;
    }
    advance_and_count(6 * kSecond);
    EXPECT_GT(summaries, 0u);
    EXPECT_EQ(told_leaving, 0u);
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

class AnotherService : public core_test::CoreTest {
  protected:
    // Beside "p" there is the plain service "q", without upstreams.
    void
    start()
    {
        start_core(0, 2);
        other = core_test::make_rules("q", CQ_SERVICE_PLAIN);
        cq_event_t event = {};
        event.kind = CQ_EV_RULES;
        event.rules = other;
        step(event);
    }
    void
    TearDown() override
    {
        CoreTest::TearDown();
        cq_rules_unref(other);
    }
    void
    p0_enters_q(guint64 incarnation)
    {
        for (cq_host_row_t &row : rows) {
            if (std::string(row.name) == "p0") {
                g_strlcpy(row.service, "q", sizeof row.service);
                row.incarnation = incarnation;
            }
        }
        send_host_list();
    }
    // Whether requests to the service reach p0, of 20.
    bool
    reaches_p0(const char *service)
    {
        bool reached = false;
        for (int i = 0; i < 20; i++) {
            guint64 id = submit(1, 300 * kMs, 0, service);
            const cq_ac_send_t *send = last_send(id);
            reached |= send != nullptr && send->upstream == p0;
            hang_up(id);
        }
        return reached;
    }

    guint64 p0 = cq_ident_hash("p0");
    cq_rules_t *other = nullptr;
};

// An upstream that starts again under its id for another service kept getting
// the requests of the first one.
TEST_F(AnotherService, GetsTheIdAndItsRequests)
{
    start();
    EXPECT_TRUE(reaches_p0("p"));
    guint64 running = 0;
    while (running == 0) {
        guint64 id = submit(1, 300 * kMs, 0, "p");
        running = last_send(id)->upstream == p0 ? id : 0;
    }
    p0_enters_q(2);
    EXPECT_FALSE(reaches_p0("p"));
    EXPECT_TRUE(reaches_p0("q"));
    attempt_event(running, CQ_EV_SENT);
    attempt_event(running, CQ_EV_DONE);
    advance(5 * kSecond);
    EXPECT_FALSE(reaches_p0("p"));
    EXPECT_TRUE(reaches_p0("q"));
}

TEST_F(AnotherService, DoesntGetTheIdByAnOlderEntry)
{
    start();
    restart(p0);
    p0_enters_q(1);
    EXPECT_TRUE(reaches_p0("p"));
    EXPECT_FALSE(reaches_p0("q"));
}

// A prompt that is booked on engines, or whose memory is set aside there,
// doesn't start on one that has passed to another service meanwhile.
TEST_F(AnotherService, TakesItsEngineOutOfBookings)
{
    start_core(12);
    other = core_test::make_rules("q", CQ_SERVICE_BATCH);
    guint64 booked = submit_long(160000);
    ASSERT_EQ(last_send(booked), nullptr);
    for (cq_host_row_t &row : rows) {
        g_strlcpy(row.service, "q", sizeof row.service);
        row.incarnation = 2;
    }
    rows.pop_back();
    add_host_row("e99", "m", "a");
    send_host_list();
    advance(kSecond);
    const cq_ac_send_t *send = last_send(booked);
    for (guint i = 0; send != nullptr && i < send->group_len; i++) {
        EXPECT_EQ(send->group[i], cq_ident_hash("e99"));
    }
}

TEST_F(AnotherService, TakesItsEngineOutOfReservations)
{
    start_core(12);
    other = core_test::make_rules("q", CQ_SERVICE_BATCH);
    guint64 id = submit_long(500000);
    advance(20 * kMs);
    std::vector<guint64> held = engines_in(CQ_AC_RESERVE);
    ASSERT_FALSE(held.empty());
    ASSERT_EQ(last_send(id), nullptr);
    for (cq_host_row_t &row : rows) {
        if (cq_ident_hash(row.name) == held[0]) {
            g_strlcpy(row.service, "q", sizeof row.service);
            row.incarnation = 2;
        }
    }
    send_host_list();
    for (guint64 engine : held) {
        cq_event_t event = {};
        event.kind = CQ_EV_RESERVED;
        event.reserved.request = id;
        event.reserved.upstream = engine;
        event.reserved.granted = TRUE;
        step(event);
    }
    EXPECT_EQ(last_send(id), nullptr);
    EXPECT_EQ(engines_in(CQ_AC_RELEASE), held);
}

class AtFault : public core_test::CoreTest {
  protected:
    // No connection to the engine opens; the accuser says so, or with "" the
    // host sees it itself.
    void
    unreachable(const char *engine, const char *accuser)
    {
        const cq_upstream_t *upstream =
            cq_table_upstream(core, cq_ident_hash(engine));
        cq_member_unreachable(core, upstream,
                              accuser[0] != '\0' ? cq_ident_hash(accuser) : 0);
    }
    bool
    zone_b_is_suspect()
    {
        return cq_member_zone_cut_off(
            core, cq_table_upstream(core, cq_ident_hash("e5")));
    }
};

// One broken engine that names its helpers one after the other doesn't make
// the host avoid all upstreams of their zone; two that agree do.
TEST_F(AtFault, AZoneIsSuspectOnlyIfTwoEnginesAccuseIt)
{
    start_core(6);
    unreachable("e1", "e0");
    unreachable("e3", "e0");
    unreachable("e1", "e0");
    EXPECT_FALSE(zone_b_is_suspect());
    unreachable("e3", "e2");
    EXPECT_TRUE(zone_b_is_suspect());
}

TEST_F(AtFault, AHostBelievesItsOwnConnections)
{
    start_core(6);
    unreachable("e1", "");
    unreachable("e1", "");
    EXPECT_FALSE(zone_b_is_suspect());
    unreachable("e3", "");
    EXPECT_TRUE(zone_b_is_suspect());
}

// An engine can accuse the engines of the request's own task only.
TEST_F(AtFault, AnEngineOfAnotherRequestIsNotAvoided)
{
    start_core(2);
    guint64 id = submit_short();
    std::string other =
        last_send(id)->upstream == cq_ident_hash("e0") ? "e1" : "e0";
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_FAILED, CQ_FAIL_REFUSED, (other + ":1").c_str());
    EXPECT_EQ(last_send(id)->upstream, cq_ident_hash(other.c_str()));
    EXPECT_LE(cq_member_accepts_from_us(
                  cq_table_upstream(core, cq_ident_hash(other.c_str()))),
              now_us);
}

// An engine that answers an order with an error made the host give up its
// lease, with all orders to other engines.
TEST_F(CoreTest, OnlyANewerFencingNumberEndsALease)
{
    start_core(1);
    cq_event_t lease = {};
    lease.kind = CQ_EV_LEASE;
    lease.lease.offset = 6;
    lease.lease.record.verb = CQ_LEASE_TAKE;
    lease.lease.record.host = cq_ident_host("h0");
    lease.lease.record.incarnation = 1;
    lease.lease.record.sent_us = now_us;
    step(lease);
    ASSERT_EQ(cq_lease_fence(core), 7u);
    cq_event_t answer = {};
    answer.kind = CQ_EV_ORDERED;
    answer.ordered.upstream = cq_ident_hash("e0");
    answer.ordered.fence = 7;
    step(answer);
    EXPECT_EQ(cq_lease_fence(core), 7u);
    answer.ordered.outdated = TRUE;
    step(answer);
    EXPECT_EQ(cq_lease_fence(core), 0u);
}

} // namespace
