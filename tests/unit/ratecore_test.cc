// What one host does with the rate limit of an upstream.
#include "corefixture.h"

namespace {

using core_test::kMs;
using core_test::kSecond;

class RateLimitCore : public core_test::CoreTest {
  protected:
    void
    peer_states_limit(const char *upstream, guint64 version, bool limited,
                      double per_s)
    {
        cq_summary_t summary = {};
        summary.host = cq_ident_host("h1");
        summary.incarnation = 1;
        summary.rates_len = 1;
        summary.rates[0] = {cq_ident_hash(upstream), 1, version, limited,
                            per_s};
        cq_event_t event = {};
        event.kind = CQ_EV_SUMMARY;
        event.summary = &summary;
        step(event);
    }
    // Requests that are sent to the upstream by now.
    guint
    sent_to(const char *upstream)
    {
        guint count = 0;
        for (const cq_action_t &action : all_actions) {
            count += action.kind == CQ_AC_SEND &&
                     action.send.upstream == cq_ident_hash(upstream);
        }
        return count;
    }
};

// Long prompts are read by several engines, planned ahead.
TEST_F(RateLimitCore, AnEngineWithALimitGetsNoPartsAndNoReservations)
{
    start_core(8);
    advance(2 * kSecond);
    upstream_states_limit("e0", 0, 2);
    for (int i = 0; i < 12; i++) {
        submit_long(i % 2 == 0 ? 210000 : 900000);
        advance(500 * kMs);
    }
    guint64 limited = cq_ident_hash("e0");
    guint groups = 0;
    for (const cq_action_t &action : all_actions) {
        if (action.kind == CQ_AC_RESERVE) {
            EXPECT_NE(action.memory.upstream, limited);
        }
        if (action.kind == CQ_AC_SEND) {
            groups += action.send.group_len > 1;
            for (guint i = 0; i < action.send.group_len; i++) {
                EXPECT_NE(action.send.group[i], limited);
            }
        }
    }
    EXPECT_GE(groups, 1u);
}

TEST_F(RateLimitCore, AnEngineWithALimitGetsShortPromptsInEvenSteps)
{
    start_core(1);
    advance(2 * kSecond);
    upstream_states_limit("e0", 0, 4);
    guint before = sent_to("e0");
    std::vector<guint64> waiting;
    for (int i = 0; i < 200; i++) {
        waiting.push_back(submit_short());
        advance(20 * kMs);
        for (guint64 &id : waiting) {
            if (id != 0 && last_send(id) != nullptr) {
                attempt_event(id, CQ_EV_TOKENS);
                attempt_event(id, CQ_EV_DONE);
                id = 0;
            }
        }
    }
    EXPECT_LE(sent_to("e0") - before, 17u);
    EXPECT_GE(sent_to("e0") - before, 12u);
}

// The answer was on its way when another one named the limit.
TEST_F(RateLimitCore, AnEarlierRequestsAnswerDoesNotEndALimit)
{
    start_core(0, 1);
    guint64 id = submit(1, 300 * kMs, 0, "p");
    attempt_event(id, CQ_EV_SENT);
    advance(20 * kMs);
    upstream_states_limit("p0", 0, 1);
    upstream_states_limit("p0", id, -1);
    guint before = sent_to("p0");
    for (int i = 0; i < 40; i++) {
        submit(1, 300 * kMs, 0, "p");
        advance(100 * kMs);
    }
    EXPECT_LE(sent_to("p0") - before, 5u);
}

// Newer statements hold, and of two with the same number the stricter one.
TEST_F(RateLimitCore, HostsAgreeOnTheNewestStatement)
{
    start_core(0, 1);
    peer_states_limit("p0", 3, true, 2);
    peer_states_limit("p0", 2, false, 0);
    guint64 id = submit(1, 300 * kMs, 0, "p");
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->outcome, CQ_OUTCOME_RATE_LIMITED);
    peer_states_limit("p0", 4, false, 0);
    id = submit(1, 300 * kMs, 0, "p");
    EXPECT_NE(last_send(id), nullptr);
    peer_states_limit("p0", 4, true, 1);
    EXPECT_EQ(last_send(submit(1, 300 * kMs, 0, "p")), nullptr);
}

// Its next incarnation has named nothing yet.
TEST_F(RateLimitCore, ALimitEndsWithTheIncarnation)
{
    start_core(0, 1);
    upstream_states_limit("p0", 0, 0);
    EXPECT_EQ(last_send(submit(1, 300 * kMs, 0, "p")), nullptr);
    for (cq_host_row_t &row : rows) {
        row.incarnation = 2;
    }
    send_host_list();
    EXPECT_NE(last_send(submit(1, 300 * kMs, 0, "p")), nullptr);
}

} // namespace
