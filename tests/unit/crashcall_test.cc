// Requests that crash each upstream which runs them. The load: one call comes
// again and again at every host, beside sound calls of the same team.
#include "corefixture.h"

namespace {

using core_test::kMs;
using core_test::kSecond;

constexpr guint64 kBad = 0xbadca11;
constexpr guint64 kSound = 0x50;

class CrashCall : public core_test::CoreTest {
  protected:
    guint64
    call(guint64 content)
    {
        fingerprint = content;
        return submit(1, 300 * kMs, 0, service);
    }
    bool
    is_blocked(guint64 id)
    {
        const cq_ac_answer_t *answer = answer_of(id);
        return answer != nullptr &&
               answer->outcome == CQ_OUTCOME_REQUEST_BLOCKED;
    }
    // The upstream of the request crashes; it is back at once.
    void
    crash(guint64 id)
    {
        guint64 upstream = last_send(id)->upstream;
        attempt_event(id, CQ_EV_FAILED);
        restart(upstream);
    }
    // Sends a call under which an upstream crashes, with no second attempt.
    // Return: whether it reached one.
    bool
    crash_once(guint64 content)
    {
        guint64 id = call(content);
        bool sent = last_send(id) != nullptr;
        if (sent) {
            attempt_event(id, CQ_EV_SENT);
            crash(id);
        }
        hang_up(id);
        advance(100 * kMs);
        return sent;
    }
    bool
    answer_once(guint64 content)
    {
        guint64 id = call(content);
        if (last_send(id) == nullptr) {
            return false;
        }
        attempt_event(id, CQ_EV_SENT);
        attempt_event(id, CQ_EV_DONE);
        return true;
    }

    const char *service = "p";
};

// Callers ask at once for more than this host can hold: each answer that it
// breaks off is its own doing.
TEST_F(CrashCall, IsNotBlockedForAnswersThatThisHostHasNoRoomFor)
{
    start_core(0, 8);
    for (int i = 0; i < 6; i++) {
        guint64 id = call(kSound);
        ASSERT_NE(last_send(id), nullptr);
        attempt_event(id, CQ_EV_SENT);
        attempt_event(id, CQ_EV_FAILED, CQ_FAIL_NO_ROOM);
        hang_up(id);
        advance(100 * kMs);
    }
    advance(3 * kSecond);
    EXPECT_TRUE(answer_once(kSound));
}

TEST_F(CrashCall, IsBlockedAfterThreeCrashes)
{
    start_core(0, 8);
    for (int i = 0; i < 3; i++) {
        EXPECT_TRUE(crash_once(kBad));
    }
    advance(3 * kSecond);
    guint64 id = call(kBad);
    ASSERT_TRUE(is_blocked(id));
    EXPECT_EQ(answer_of(id)->ran, CQ_RAN_NO);
    EXPECT_EQ(answer_of(id)->status, 503);
    EXPECT_GT(answer_of(id)->retry_after_us, 10 * kSecond);
    EXPECT_EQ(last_send(id), nullptr);
}

TEST_F(CrashCall, LeavesOtherCallsOfTheTeamAlone)
{
    start_core(0, 8);
    for (int i = 0; i < 3; i++) {
        crash_once(kBad);
    }
    advance(3 * kSecond);
    for (guint64 i = 0; i < 20; i++) {
        EXPECT_TRUE(answer_once(kSound + i));
    }
}

// It was sound a moment ago.
TEST_F(CrashCall, IsBlockedAfterThreeCrashesThoughItWasAnswered)
{
    start_core(0, 8);
    EXPECT_TRUE(answer_once(kBad));
    EXPECT_TRUE(crash_once(kBad));
    EXPECT_TRUE(answer_once(kBad));
    for (int i = 0; i < 3; i++) {
        EXPECT_TRUE(crash_once(kBad));
    }
    advance(3 * kSecond);
    EXPECT_FALSE(crash_once(kBad));
}

TEST_F(CrashCall, IsTrustedAgainAfterAnAnswer)
{
    start_core(0, 8);
    crash_once(kBad);
    crash_once(kBad);
    EXPECT_TRUE(answer_once(kBad));
    EXPECT_TRUE(crash_once(kBad));
    EXPECT_TRUE(crash_once(kBad));
    EXPECT_TRUE(answer_once(kBad));
}

// One trial after 30 s, the next one two minutes after that.
TEST_F(CrashCall, ReachesAtMostThreeUpstreamsInTenMinutesMore)
{
    start_core(0, 8);
    for (int i = 0; i < 3; i++) {
        crash_once(kBad);
    }
    int reached = 0;
    for (int second = 0; second < 600; second++) {
        reached += crash_once(kBad);
        advance(900 * kMs);
    }
    EXPECT_LE(reached, 3);
    EXPECT_GE(reached, 1);
}

// What waits when the third crash is known is not sent any more.
TEST_F(CrashCall, EndsWhatWaitsOrRuns)
{
    start_core(0, 8);
    guint64 running = call(kBad);
    attempt_event(running, CQ_EV_SENT);
    for (int i = 0; i < 3; i++) {
        crash_once(kBad);
    }
    ASSERT_TRUE(is_blocked(running));
    EXPECT_EQ(answer_of(running)->ran, CQ_RAN_UNKNOWN);
}

// A connection that was reset before the request could reach the upstream, as
// kept ones are when a zone is cut off, is no crash under it.
TEST_F(CrashCall, IsNotBlockedByConnectionsThatEndAtOnce)
{
    start_core(0, 8);
    on_kept_conn = TRUE;
    for (int i = 0; i < 4; i++) {
        guint64 id = call(kSound);
        ASSERT_NE(last_send(id), nullptr);
        attempt_event(id, CQ_EV_SENT);
        crash(id);
        hang_up(id);
        advance(3 * kSecond);
    }
    EXPECT_TRUE(answer_once(kSound));
}

TEST_F(CrashCall, IsBlockedAfterThreeCrashesOnKeptConnections)
{
    start_core(0, 8);
    on_kept_conn = TRUE;
    for (int i = 0; i < 3; i++) {
        guint64 id = call(kBad);
        ASSERT_NE(last_send(id), nullptr);
        attempt_event(id, CQ_EV_SENT);
        advance(10 * kMs);
        crash(id);
        hang_up(id);
        advance(100 * kMs);
    }
    EXPECT_TRUE(is_blocked(call(kBad)));
}

// Both were on each of three upstreams that crashed, and nothing tells which
// of them did it. The order in which the connections end must not decide.
TEST_F(CrashCall, IsBlockedThoughAnotherCallWasOnEachCrash)
{
    start_core(0, 1);
    for (int i = 0; i < 3; i++) {
        guint64 sound = call(kSound);
        guint64 bad = call(kBad);
        attempt_event(sound, CQ_EV_FAILED);
        crash(bad);
        hang_up(sound);
        hang_up(bad);
        advance(3 * kSecond);
    }
    EXPECT_TRUE(is_blocked(call(kBad)));
}

// Sound calls run on an upstream when it crashes under another one.
TEST_F(CrashCall, DoesNotBlockACallThatWasBesideItTwice)
{
    start_core(0, 1);
    for (int i = 0; i < 5; i++) {
        guint64 sound = i < 2 ? call(kSound) : 0;
        guint64 bad = call(kBad);
        if (sound != 0) {
            attempt_event(sound, CQ_EV_FAILED);
        }
        if (last_send(bad) != nullptr) {
            crash(bad);
        }
        hang_up(sound);
        hang_up(bad);
        advance(3 * kSecond);
    }
    EXPECT_TRUE(answer_once(kSound));
    EXPECT_TRUE(is_blocked(call(kBad)));
}

// Ten thousand calls that crash once each don't hide one that goes on.
TEST_F(CrashCall, IsFoundAmongManyThatCrashOnce)
{
    start_core(0, 8);
    crash_once(kBad);
    crash_once(kBad);
    std::vector<cq_part_report_t> rows(100);
    for (guint64 i = 0; i < 10000; i++) {
        cq_part_report_t &row = rows[i % rows.size()];
        row = {CQ_PART_CRASHED,
               cq_ident_hash("p"),
               1000 + i,
               TRUE,
               1,
               5000 + i,
               0};
        if ((i + 1) % rows.size() == 0) {
            cq_event_t event = {};
            event.kind = CQ_EV_PARTS;
            event.parts.rows = rows.data();
            event.parts.len = (guint)rows.size();
            step(event);
            advance(10 * kMs);
        }
    }
    EXPECT_TRUE(crash_once(kBad));
    advance(3 * kSecond);
    EXPECT_FALSE(crash_once(kBad));
}

// Crashes that hosts of other zones saw count, those of another team's same
// call don't block it.
TEST_F(CrashCall, IsBlockedByCrashesThatPeersSaw)
{
    start_core(0, 8);
    std::vector<cq_part_report_t> rows;
    for (guint64 i = 0; i < 3; i++) {
        rows.push_back({CQ_PART_CRASHED, cq_ident_hash("p"), kBad, TRUE,
                        cq_ident_hash("t"), 10 + i,
                        (gint64)(300 - 100 * i) * kMs});
        rows.push_back({CQ_PART_CRASHED, cq_ident_hash("p"), kSound, TRUE,
                        cq_ident_hash("other"), 20 + i,
                        (gint64)(300 - 100 * i) * kMs});
    }
    cq_event_t event = {};
    event.kind = CQ_EV_PARTS;
    event.parts.rows = rows.data();
    event.parts.len = (guint)rows.size();
    step(event);
    EXPECT_TRUE(is_blocked(call(kBad)));
    EXPECT_TRUE(answer_once(kSound));
}

// A whole request on engines is blocked, and the part that it shares with
// sound requests is not.
TEST_F(CrashCall, OnEnginesDoesNotBlockAPartThatOthersUse)
{
    start_core(8);
    service = "m";
    parts = {0x5c1e07a2};
    for (int i = 0; i < 3; i++) {
        guint64 sound = call(kSound + (guint64)i);
        for (int event = 0; event < 4; event++) {
            attempt_event(sound, CQ_EV_TOKENS);
        }
        attempt_event(sound, CQ_EV_DONE);
        crash_once(kBad);
    }
    advance(3 * kSecond);
    EXPECT_TRUE(is_blocked(call(kBad)));
    EXPECT_NE(last_send(call(kSound + 9)), nullptr);
}

// Return: whether the host of that row sends a trial of kBad when it is due.
// It hears from those hosts that it is linked with.
bool
sends_trial(cq_rules_t *rules, const std::vector<cq_host_row_t> &rows,
            const cq_host_row_t &self)
{
    cq_core_options_t options = {};
    options.host = self.name;
    options.zone = self.zone;
    options.incarnation = 1;
    options.seed = 7;
    cq_core_t *core = cq_core_new(&options);
    cq_actions_t actions;
    cq_actions_init(&actions);
    gint64 now_us = 1000 * kSecond;
    auto step = [&](const cq_event_t &event) {
        cq_actions_reset(&actions);
        cq_core_step(core, now_us, &event, &actions);
    };
    cq_event_t event = {};
    event.kind = CQ_EV_RULES;
    event.rules = rules;
    step(event);
    event = {};
    event.kind = CQ_EV_HOSTS;
    event.hosts.rows = rows.data();
    event.hosts.len = (guint)rows.size();
    step(event);
    std::vector<cq_part_report_t> reports;
    for (guint64 i = 0; i < 3; i++) {
        reports.push_back({CQ_PART_CRASHED, cq_ident_hash("p"), kBad, TRUE,
                           cq_ident_hash("t"), 10 + i,
                           (gint64)(300 - 100 * i) * kMs});
    }
    event = {};
    event.kind = CQ_EV_PARTS;
    event.parts.rows = reports.data();
    event.parts.len = (guint)reports.size();
    step(event);
    for (int tick = 0; tick < 64; tick++) {
        now_us += 500 * kMs;
        guint len;
        const cq_host_row_t *peers = cq_core_peers(core, &len);
        for (guint i = 0; i < len; i++) {
            cq_summary_t summary = {};
            summary.host = cq_ident_host(peers[i].name);
            summary.incarnation = 1;
            event = {};
            event.kind = CQ_EV_SUMMARY;
            event.summary = &summary;
            step(event);
        }
        event = {};
        event.kind = CQ_EV_TICK;
        step(event);
    }
    event = {};
    event.kind = CQ_EV_REQUEST;
    event.request.id = cq_ident_request(cq_ident_host(self.name), 1, 1);
    event.request.service = "p";
    event.request.team = "t";
    event.request.model = "";
    event.request.repeatable = TRUE;
    event.request.prompt_tokens = 1;
    event.request.timeout_us = 3 * kSecond;
    event.request.attempts_max = 2;
    event.request.fingerprint = kBad;
    step(event);
    bool sent = false;
    for (guint i = 0; i < actions.items->len; i++) {
        sent = sent || cq_actions_at(&actions, i)->kind == CQ_AC_SEND;
    }
    cq_actions_clear(&actions);
    cq_core_free(core);
    return sent;
}

// Hosts of a large fleet hear from those of their own zone and from a few
// others; still one of them alone tries a blocked call.
TEST(CrashCallFleet, IsTriedByOneHostOfALargeFleet)
{
    cq_rules_t *rules = core_test::make_rules("p", CQ_SERVICE_PLAIN);
    for (guint hosts : {4u, 35u, 117u}) {
        std::vector<cq_host_row_t> rows;
        for (guint i = 0; i < hosts + 5; i++) {
            cq_host_row_t row = {};
            bool is_host = i < hosts;
            g_snprintf(row.name, sizeof row.name, "%s%u", is_host ? "h" : "p",
                       i);
            g_snprintf(row.addr, sizeof row.addr, "%s:1", row.name);
            g_snprintf(row.zone, sizeof row.zone, "%c", 'a' + (char)(i % 5));
            g_strlcpy(row.service, is_host ? "" : "p", sizeof row.service);
            row.incarnation = 1;
            rows.push_back(row);
        }
        guint tries = 0;
        for (guint i = 0; i < hosts; i++) {
            tries += sends_trial(rules, rows, rows[i]);
        }
        EXPECT_EQ(tries, 1u) << hosts;
    }
    cq_rules_unref(rules);
}

} // namespace
