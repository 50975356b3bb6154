// Parts of prompts under which upstreams crash. The load: requests with one
// bad part a few times a second, each on another upstream, beside sound
// requests.
#include "corefixture.h"

namespace {

using core_test::kMs;
using core_test::kSecond;

constexpr guint64 kFirst = 0x5c1e07a2;
constexpr guint64 kBad = 0xbad;
constexpr guint64 kOther = 0x91bd3f06;

class Quarantine : public core_test::CoreTest {
  protected:
    // Sends a request with these parts; its upstream crashes before the
    // answer.
    guint64
    crash_under(std::vector<guint64> with)
    {
        parts = with;
        guint64 id = submit_short();
        if (last_send(id) != nullptr) {
            guint64 upstream = last_send(id)->upstream;
            attempt_event(id, CQ_EV_SENT);
            attempt_event(id, CQ_EV_FAILED);
            restart(upstream);
        }
        hang_up(id);
        advance(100 * kMs);
        return id;
    }
    void
    answer_on(std::vector<guint64> with)
    {
        parts = with;
        guint64 id = submit_short();
        ASSERT_NE(last_send(id), nullptr);
        for (int i = 0; i < 4; i++) {
            attempt_event(id, CQ_EV_TOKENS);
        }
        attempt_event(id, CQ_EV_DONE);
    }
    bool
    is_blocked(std::vector<guint64> with)
    {
        parts = with;
        guint64 id = submit_short();
        const cq_ac_answer_t *answer = answer_of(id);
        bool blocked =
            answer != nullptr && answer->outcome == CQ_OUTCOME_PART_BLOCKED;
        EXPECT_FALSE(blocked && last_send(id) != nullptr);
        hang_up(id);
        return blocked;
    }
    void
    peer_sends(const std::vector<cq_part_report_t> &sent)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_PARTS;
        event.parts.rows = sent.data();
        event.parts.len = (guint)sent.size();
        step(event);
    }
    void
    peer_reports(cq_part_report_kind_t kind, guint64 part, const char *crash,
                 const char *by_team = "t", gint64 age_us = 0)
    {
        cq_part_report_t row = {};
        row.kind = kind;
        row.service = cq_ident_hash("m");
        row.part = part;
        row.team = cq_ident_hash(by_team);
        row.crash = cq_ident_hash(crash);
        row.age_us = age_us;
        peer_sends({row});
        advance(50 * kMs);
    }
    // Reports one crash each under so many parts.
    void
    peer_accuses_parts(guint64 count)
    {
        for (guint64 part = 1; part <= count; part++) {
            cq_part_report_t row = {};
            row.service = cq_ident_hash("m");
            row.part = 0x10000 + part;
            row.crash = part;
            peer_sends({row});
        }
    }
    guint
    reports(cq_part_report_kind_t kind, guint64 part)
    {
        guint count = 0;
        for (const cq_action_t &action : all_actions) {
            count += action.kind == CQ_AC_PART && action.part.kind == kind &&
                     action.part.part == part;
        }
        return count;
    }
};

TEST_F(Quarantine, APartIsBlockedAfterThreeCrashes)
{
    start_core(12);
    crash_under({kFirst, kBad});
    crash_under({kFirst, kBad});
    EXPECT_FALSE(is_blocked({kFirst, kBad}));
    crash_under({kFirst, kBad});
    EXPECT_TRUE(is_blocked({kFirst, kBad}));
    EXPECT_TRUE(is_blocked({kBad, kOther}));
    EXPECT_FALSE(is_blocked({kFirst, kOther}));
}

TEST_F(Quarantine, AFirstPartIsBlockedIfAnyPartAfterItCrashes)
{
    start_core(12);
    for (guint64 i = 0; i < 3; i++) {
        crash_under({kBad, kOther + i});
    }
    EXPECT_TRUE(is_blocked({kBad, kFirst}));
}

TEST_F(Quarantine, TheCallerIsToldThatItHasNotRunAndWhenToComeBack)
{
    start_core(12);
    for (int i = 0; i < 3; i++) {
        crash_under({kBad});
    }
    parts = {kBad};
    const cq_ac_answer_t *answer = answer_of(submit_short());
    ASSERT_NE(answer, nullptr);
    EXPECT_EQ(answer->outcome, CQ_OUTCOME_PART_BLOCKED);
    EXPECT_EQ(answer->ran, CQ_RAN_NO);
    EXPECT_EQ(answer->status, 503);
    EXPECT_GT(answer->retry_after_us, 20 * kSecond);
}

TEST_F(Quarantine, ARequestOnAnUpstreamIsTakenBackAndMayHaveRun)
{
    start_core(12);
    parts = {kBad};
    guint64 running = submit_short();
    attempt_event(running, CQ_EV_SENT);
    for (int i = 0; i < 3; i++) {
        crash_under({kBad});
    }
    ASSERT_NE(answer_of(running), nullptr);
    EXPECT_EQ(answer_of(running)->outcome, CQ_OUTCOME_PART_BLOCKED);
    EXPECT_EQ(answer_of(running)->ran, CQ_RAN_UNKNOWN);
}

TEST_F(Quarantine, ACrashedRequestIsNotRepeatedOnceItsPartIsBlocked)
{
    start_core(12);
    crash_under({kBad});
    crash_under({kBad});
    parts = {kBad};
    guint64 id = submit_short();
    attempt_event(id, CQ_EV_SENT);
    attempt_event(id, CQ_EV_FAILED);
    EXPECT_EQ(last_send(id)->attempt, 1u);
    ASSERT_NE(answer_of(id), nullptr);
    EXPECT_EQ(answer_of(id)->ran, CQ_RAN_UNKNOWN);
}

TEST_F(Quarantine, APartThatOthersAreAnsweredOnIsNotBlocked)
{
    start_core(12);
    answer_on({kFirst, kOther});
    for (int i = 0; i < 12; i++) {
        crash_under({kFirst, kBad});
    }
    EXPECT_FALSE(is_blocked({kFirst, kOther}));
    EXPECT_FALSE(is_blocked({kFirst}));
    EXPECT_TRUE(is_blocked({kFirst, kBad}));
}

// Sound requests lose their connections in the same crashes.
TEST_F(Quarantine, ABlockedPartExplainsTheCrashesOfOthers)
{
    start_core(12);
    answer_on({kFirst, kOther});
    for (int i = 0; i < 8; i++) {
        parts = {kFirst, kOther};
        guint64 sound = submit_short();
        attempt_event(sound, CQ_EV_SENT);
        const char *crash = i % 2 == 0 ? "x" : "y";
        std::string name = crash + std::to_string(i);
        peer_reports(CQ_PART_CRASHED, kBad, name.c_str());
        peer_reports(CQ_PART_CRASHED, kFirst, name.c_str());
        hang_up(sound);
    }
    EXPECT_FALSE(is_blocked({kFirst, kOther}));
    EXPECT_TRUE(is_blocked({kFirst, kBad}));
}

TEST_F(Quarantine, ExplainedCrashesDoNotAddUpWithOthers)
{
    start_core(12);
    for (int i = 0; i < 3; i++) {
        crash_under({kFirst, kBad});
    }
    crash_under({kFirst, kOther});
    EXPECT_FALSE(is_blocked({kFirst}));
}

TEST_F(Quarantine, AnAnsweredPartThatTurnsBadIsBlockedLater)
{
    start_core(14);
    answer_on({kBad});
    for (int i = 0; i < 5; i++) {
        crash_under({kBad});
        EXPECT_FALSE(is_blocked({kBad})) << i;
    }
    crash_under({kBad});
    EXPECT_TRUE(is_blocked({kBad}));
}

// A link that fails ends the connections to many upstreams at once.
TEST_F(Quarantine, ConnectionsThatEndTogetherAreOneCrash)
{
    start_core(12);
    for (gint64 apart_us : {5 * kMs, 25 * kMs}) {
        std::vector<cq_part_report_t> reported;
        for (guint i = 0; i < 3; i++) {
            cq_part_report_t row = {};
            row.service = cq_ident_hash("m");
            row.part = kBad;
            row.team = cq_ident_hash("t");
            row.crash = 100 * (guint64)apart_us + i;
            row.age_us = i * apart_us;
            reported.push_back(row);
        }
        peer_sends(reported);
        EXPECT_EQ(is_blocked({kBad}), apart_us > 20 * kMs);
        advance(70 * kSecond);
    }
}

TEST_F(Quarantine, AnUpstreamCountsOnceEachTimeItStarts)
{
    start_core(1);
    for (int i = 0; i < 6; i++) {
        parts = {kBad};
        guint64 id = submit_short();
        attempt_event(id, CQ_EV_SENT);
        attempt_event(id, CQ_EV_FAILED);
        hang_up(id);
        advance(20 * kSecond);
    }
    EXPECT_FALSE(is_blocked({kBad}));
}

TEST_F(Quarantine, ATeamCanHavePartsBlockedOnlyForItself)
{
    more_teams = {"u"};
    start_core(12);
    for (int i = 0; i < 3; i++) {
        crash_under({kBad, kOther});
    }
    EXPECT_TRUE(is_blocked({kOther}));
    team = "u";
    EXPECT_FALSE(is_blocked({kOther}));
    peer_reports(CQ_PART_CRASHED, kOther, "x", "u");
    EXPECT_TRUE(is_blocked({kOther}));
}

TEST_F(Quarantine, ATeamMayBeRemovedWhileItsRequestRuns)
{
    more_teams = {"u"};
    start_core(4);
    team = "u";
    parts = {kBad};
    guint64 id = submit_short();
    attempt_event(id, CQ_EV_SENT);
    cq_rules_t *newer = core_test::make_rules("m", CQ_SERVICE_BATCH);
    newer->version = 2;
    cq_event_t event = {};
    event.kind = CQ_EV_RULES;
    event.rules = newer;
    step(event);
    cq_rules_unref(newer);
    attempt_event(id, CQ_EV_FAILED);
    EXPECT_EQ(reports(CQ_PART_CRASHED, kBad), 1u);
    for (const cq_action_t &action : all_actions) {
        if (action.kind == CQ_AC_PART) {
            EXPECT_EQ(action.part.team, cq_ident_hash("u"));
        }
    }
}

TEST_F(Quarantine, ATrialThatFallsSilentIsNotRepeated)
{
    start_core(12);
    for (int i = 0; i < 3; i++) {
        crash_under({kBad});
    }
    advance(35 * kSecond);
    parts = {kBad};
    guint64 id = submit_short();
    ASSERT_NE(last_send(id), nullptr);
    attempt_event(id, CQ_EV_SENT);
    advance(4 * kSecond);
    EXPECT_EQ(last_send(id)->attempt, 1u);
}

TEST_F(Quarantine, ANewHostLearnsOfBlockedPartsFirst)
{
    start_core(2);
    peer_accuses_parts(1500);
    for (const char *crash : {"x", "y", "z"}) {
        peer_reports(CQ_PART_CRASHED, kBad, crash);
    }
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
    cq_core_part_reports(core, rows);
    ASSERT_GE(rows->len, 3u);
    for (guint i = 0; i < 3; i++) {
        EXPECT_EQ(g_array_index(rows, cq_part_report_t, i).part, kBad);
    }
    g_array_unref(rows);
}

TEST_F(Quarantine, SeveralTeamsHaveAPartBlockedForAll)
{
    more_teams = {"u", "v"};
    start_core(12);
    crash_under({kBad});
    team = "u";
    crash_under({kBad});
    crash_under({kBad});
    team = "v";
    EXPECT_TRUE(is_blocked({kBad}));
}

TEST_F(Quarantine, ABlockedPartIsRecordedUntilItIsCleared)
{
    start_core(12);
    std::vector<guint> lens;
    for (int i = 0; i < 3; i++) {
        crash_under({kBad});
    }
    advance(35 * kSecond);
    answer_on({kBad});
    for (const cq_action_t &action : all_actions) {
        if (action.kind == CQ_AC_PART_RECORD) {
            EXPECT_EQ(action.part_record.part, kBad);
            lens.push_back(action.part_record.len);
        }
    }
    EXPECT_EQ(lens, (std::vector<guint>{3, 0}));
}

TEST_F(Quarantine, PeersAreToldOfEachCrashOnce)
{
    start_core(12);
    crash_under({kFirst, kBad});
    EXPECT_EQ(reports(CQ_PART_CRASHED, kBad), 1u);
    EXPECT_EQ(reports(CQ_PART_CRASHED, kFirst), 1u);
}

TEST_F(Quarantine, CrashesSeenByPeersCount)
{
    start_core(2);
    peer_reports(CQ_PART_CRASHED, kBad, "x");
    peer_reports(CQ_PART_CRASHED, kBad, "y");
    peer_reports(CQ_PART_CRASHED, kBad, "y");
    EXPECT_FALSE(is_blocked({kBad}));
    peer_reports(CQ_PART_CRASHED, kBad, "z");
    EXPECT_TRUE(is_blocked({kBad}));
}

TEST_F(Quarantine, ANewHostLearnsAllFromItsPeers)
{
    start_core(2);
    peer_reports(CQ_PART_CRASHED, kBad, "x", "t", 40 * kSecond);
    peer_reports(CQ_PART_CRASHED, kBad, "y", "t", 39 * kSecond);
    peer_reports(CQ_PART_CRASHED, kBad, "z", "t", 5 * kSecond);
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
    cq_core_part_reports(core, rows);
    ASSERT_EQ(rows->len, 3u);
    TearDown();
    start_core(2);
    const auto *first = &g_array_index(rows, cq_part_report_t, 0);
    peer_sends({first, first + rows->len});
    g_array_unref(rows);
    EXPECT_TRUE(is_blocked({kBad}));
}

TEST_F(Quarantine, AnAnswerAnywhereClearsAPart)
{
    start_core(12);
    for (int i = 0; i < 3; i++) {
        crash_under({kBad});
    }
    EXPECT_TRUE(is_blocked({kBad}));
    peer_reports(CQ_PART_ANSWERED, kBad, "");
    EXPECT_FALSE(is_blocked({kBad}));
}

TEST_F(Quarantine, PeersAreToldOfAnswersOnSuspectsOnly)
{
    start_core(12);
    answer_on({kFirst});
    EXPECT_EQ(reports(CQ_PART_ANSWERED, kFirst), 0u);
    crash_under({kFirst});
    answer_on({kFirst});
    EXPECT_EQ(reports(CQ_PART_ANSWERED, kFirst), 1u);
}

TEST_F(Quarantine, OneRequestShowsLaterWhetherThePartStillCrashes)
{
    start_core(12);
    for (int i = 0; i < 3; i++) {
        crash_under({kBad});
    }
    advance(25 * kSecond);
    EXPECT_TRUE(is_blocked({kBad}));
    advance(10 * kSecond);
    crash_under({kBad});
    guint crashed = reports(CQ_PART_CRASHED, kBad);
    EXPECT_EQ(crashed, 4u) << "one trial";
    for (int i = 0; i < 11; i++) {
        EXPECT_TRUE(is_blocked({kBad})) << i;
        advance(10 * kSecond);
    }
    advance(20 * kSecond);
    answer_on({kBad});
    EXPECT_FALSE(is_blocked({kBad}));
}

TEST_F(Quarantine, ATrialThatCrashesIsNotRepeated)
{
    start_core(12);
    for (int i = 0; i < 3; i++) {
        crash_under({kBad});
    }
    advance(35 * kSecond);
    parts = {kBad};
    guint64 id = submit_short();
    ASSERT_NE(last_send(id), nullptr);
    attempt_event(id, CQ_EV_SENT);
    EXPECT_TRUE(is_blocked({kBad})) << "one trial at a time";
    attempt_event(id, CQ_EV_FAILED);
    EXPECT_EQ(last_send(id)->attempt, 1u);
    EXPECT_NE(answer_of(id), nullptr);
}

TEST_F(Quarantine, OneOfTheHostsSendsTrials)
{
    guint senders = 0;
    for (guint64 part = 1; part <= 32; part++) {
        start_core(2, 0, 3);
        for (const char *crash : {"x", "y", "z"}) {
            peer_reports(CQ_PART_CRASHED, part, crash);
        }
        advance(35 * kSecond);
        for (const char *host : {"h1", "h2", "h3"}) {
            peer_sends_summary(host);
        }
        senders += !is_blocked({part});
        TearDown();
    }
    start_core(1);
    EXPECT_GT(senders, 0u);
    EXPECT_LT(senders, 20u);
}

TEST_F(Quarantine, ManySuspectsDoNotDisplaceABlockedPart)
{
    start_core(2);
    for (const char *crash : {"x", "y", "z"}) {
        peer_reports(CQ_PART_CRASHED, kBad, crash);
    }
    peer_accuses_parts(5000);
    EXPECT_TRUE(is_blocked({kBad}));
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(cq_part_report_t));
    cq_core_part_reports(core, rows);
    EXPECT_LE(rows->len, (guint)CQ_PART_REPORTS_MAX);
    g_array_unref(rows);
}

TEST_F(Quarantine, APartOfAnotherServiceIsNotConcerned)
{
    start_core(2, 2);
    for (const char *crash : {"x", "y", "z"}) {
        peer_reports(CQ_PART_CRASHED, kBad, crash);
    }
    parts = {kBad};
    EXPECT_NE(last_send(submit(1, 300 * kMs, 0, "p")), nullptr);
}

} // namespace
