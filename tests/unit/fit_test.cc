// Placement, retries and refusals on engines that work in passes, through the
// core's one door.
#include <gtest/gtest.h>

#include <cstring>
#include <functional>
#include <string>
#include <vector>

#include "base/ident.h"
#include "core/core.h"

namespace {

constexpr gint64 kMs = 1000;
constexpr gint64 kSecond = 1000000;

cq_rules_t *
make_rules(const char *name, cq_service_kind_t kind)
{
    cq_team_rule_t team = {};
    g_strlcpy(team.name, "t", sizeof team.name);
    team.weight = 1;
    cq_rules_t *rules = cq_rules_new();
    g_strlcpy(rules->name, name, sizeof rules->name);
    rules->kind = kind;
    rules->version = 1;
    rules->speed = {16, 450000, 46, 925, 4.83, 0.00254, 3.906, 0.0000917, 100};
    rules->quiet_us = 1200 * kMs;
    rules->connect_us = 300 * kMs;
    g_array_append_val(rules->teams, team);
    return rules;
}

// A core with engines e0, e1, ... of service "m" and upstreams p0, p1, ... of
// the plain service "p". Engines of even number stand in zone "a", like the
// core.
class Fit : public ::testing::Test {
  protected:
    void
    start(guint engines, guint plain = 0, guint hosts = 0)
    {
        cq_core_options_t options = {};
        options.host = "h0";
        options.zone = "a";
        options.incarnation = 1;
        options.seed = 7;
        core = cq_core_new(&options);
        cq_actions_init(&actions);
        rules[0] = make_rules("m", CQ_SERVICE_BATCH);
        rules[1] = make_rules("p", CQ_SERVICE_PLAIN);
        for (cq_rules_t *one : rules) {
            cq_event_t event = {};
            event.kind = CQ_EV_RULES;
            event.rules = one;
            step(event);
        }
        for (guint i = 0; i < engines; i++) {
            add_row("e" + std::to_string(i), "m", i % 2 == 0 ? "a" : "b");
        }
        for (guint i = 0; i < plain; i++) {
            add_row("p" + std::to_string(i), "p", "a");
        }
        for (guint i = 1; i <= hosts; i++) {
            add_row("h" + std::to_string(i), "", "b");
        }
        list();
    }
    void
    TearDown() override
    {
        cq_actions_clear(&actions);
        cq_core_free(core);
        for (cq_rules_t *one : rules) {
            cq_rules_unref(one);
        }
    }
    void
    add_row(const std::string &name, const char *service, const char *zone)
    {
        cq_listed_t row = {};
        g_strlcpy(row.name, name.c_str(), sizeof row.name);
        g_strlcpy(row.addr, (name + ":1").c_str(), sizeof row.addr);
        g_strlcpy(row.zone, zone, sizeof row.zone);
        g_strlcpy(row.service, service, sizeof row.service);
        row.incarnation = 1;
        rows.push_back(row);
    }
    void
    list()
    {
        cq_event_t event = {};
        event.kind = CQ_EV_HOSTS;
        event.hosts.rows = rows.data();
        event.hosts.len = (guint)rows.size();
        step(event);
    }
    void
    step(const cq_event_t &event)
    {
        cq_actions_reset(&actions);
        cq_core_step(core, now_us, &event, &actions);
        for (guint i = 0; i < actions.items->len; i++) {
            all.push_back(*cq_actions_at(&actions, i));
        }
        EXPECT_STREQ(cq_core_check(core, now_us), nullptr);
    }
    void
    pass(gint64 us)
    {
        for (gint64 until_us = now_us + us; now_us < until_us;) {
            now_us += 10 * kMs;
            cq_event_t event = {};
            event.kind = CQ_EV_TICK;
            step(event);
            for (guint64 id : writing) {
                if (now_us / kMs % 50 == 0) {
                    news(id, CQ_EV_TOKENS);
                }
            }
        }
    }
    // From now on the request shows an event each 50 ms.
    void
    write(guint64 id)
    {
        news(id, CQ_EV_TOKENS);
        writing.push_back(id);
    }
    guint64
    ask(gint64 tokens, gint64 aim_us, gint64 gap_us, const char *service = "m",
        gboolean repeatable = TRUE)
    {
        cq_event_t event = {};
        event.kind = CQ_EV_REQUEST;
        event.request.id = cq_ident_request(cq_ident_host("h0"), 1, ++serial);
        event.request.service = service;
        event.request.team = "t";
        event.request.model = "";
        event.request.repeatable = repeatable;
        event.request.resumable = repeatable;
        event.request.prompt_tokens = tokens;
        event.request.output_tokens = 1500;
        event.request.timeout_us = 10 * kSecond;
        event.request.aim_us = aim_us;
        event.request.gap_us = gap_us;
        event.request.attempts_max = 2;
        step(event);
        return event.request.id;
    }
    guint64
    ask_short(gint64 tokens = 2000)
    {
        return ask(tokens, 300 * kMs, 200 * kMs);
    }
    guint64
    ask_long(gint64 tokens = 210000)
    {
        return ask(tokens, 3 * kSecond, 800 * kMs);
    }
    // The last SEND of a request, or none.
    const cq_ac_send_t *
    sent(guint64 request)
    {
        const cq_ac_send_t *last = nullptr;
        for (const cq_action_t &action : all) {
            if (action.kind == CQ_AC_SEND && action.send.request == request) {
                last = &action.send;
            }
        }
        return last;
    }
    const cq_ac_answer_t *
    answered(guint64 request)
    {
        for (const cq_action_t &action : all) {
            if (action.kind == CQ_AC_ANSWER &&
                action.answer.request == request) {
                return &action.answer;
            }
        }
        return nullptr;
    }
    std::vector<guint64>
    engines_of(cq_action_kind_t kind)
    {
        std::vector<guint64> found;
        for (const cq_action_t &action : all) {
            if (action.kind == kind) {
                found.push_back(action.memory.upstream);
            }
        }
        return found;
    }
    void
    news(guint64 request, cq_event_kind_t kind,
         cq_failure_t failure = CQ_FAIL_BROKEN, const char *at_fault = "")
    {
        cq_event_t event = {};
        event.kind = kind;
        event.attempt.request = request;
        event.attempt.attempt = sent(request)->attempt;
        event.attempt.tokens = 1;
        event.attempt.status = 200;
        event.attempt.failure = failure;
        g_strlcpy(event.attempt.at_fault, at_fault,
                  sizeof event.attempt.at_fault);
        step(event);
    }
    void
    peer_places(guint64 request, std::vector<const char *> engines,
                gint64 tokens, gint64 part_us, gint64 gap_us, gint64 age_us,
                gboolean writing)
    {
        cq_task_news_t one = {};
        one.kind = CQ_TASK_PLACED;
        one.request = request;
        one.tokens = tokens;
        one.part_us = part_us;
        one.gap_us = gap_us;
        one.age_us = age_us;
        one.writing = writing;
        for (const char *engine : engines) {
            one.engines[one.engines_len++] = cq_ident_hash(engine);
        }
        cq_event_t event = {};
        event.kind = CQ_EV_TASKS;
        event.tasks.host = cq_ident_host("h1");
        event.tasks.rows = &one;
        event.tasks.len = 1;
        step(event);
    }
    void
    hear_peer(const char *host)
    {
        cq_summary_t summary = {};
        summary.host = cq_ident_host(host);
        summary.incarnation = 1;
        cq_event_t event = {};
        event.kind = CQ_EV_SUMMARY;
        event.summary = &summary;
        step(event);
    }
    bool
    in_zone_b(guint64 upstream)
    {
        cq_upstream_view_t view;
        return cq_core_upstream(core, upstream, &view) &&
               std::string(view.zone) == "b";
    }

    cq_core_t *core = nullptr;
    cq_actions_t actions;
    cq_rules_t *rules[2];
    std::vector<cq_listed_t> rows;
    std::vector<cq_action_t> all;
    std::vector<guint64> writing;
    gint64 now_us = 1000 * kSecond;
    guint64 serial = 0;
};

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

TEST_F(Fit, ALongPromptIsReadByManyEngines)
{
    start(12);
    guint64 id = ask_long();
    EXPECT_EQ(sent(id), nullptr);
    pass(20 * kMs);
    ASSERT_NE(sent(id), nullptr);
    EXPECT_EQ(sent(id)->group_len, 11u);
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
    cq_task_news_t reset = {};
    reset.kind = CQ_TASK_RESET;
    cq_event_t event = {};
    event.kind = CQ_EV_TASKS;
    event.tasks.host = cq_ident_host("h1");
    event.tasks.rows = &reset;
    event.tasks.len = 1;
    step(event);
    EXPECT_NE(sent(ask_short()), nullptr);
}

TEST_F(Fit, TasksOnUnknownEnginesDoNoHarm)
{
    start(1);
    peer_places(100, {"e77"}, 3000, 10 * kMs, 200 * kMs, 0, FALSE);
    cq_task_news_t writing = {};
    writing.kind = CQ_TASK_WRITING;
    writing.request = 100;
    cq_event_t event = {};
    event.kind = CQ_EV_TASKS;
    event.tasks.host = cq_ident_host("h1");
    event.tasks.rows = &writing;
    event.tasks.len = 1;
    step(event);
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

TEST_F(Fit, ABrokenStreamGoesOnElsewhere)
{
    start(2);
    guint64 id = ask_short();
    guint64 first = sent(id)->upstream;
    news(id, CQ_EV_TOKENS);
    news(id, CQ_EV_FAILED);
    EXPECT_NE(sent(id)->upstream, first);
    EXPECT_EQ(sent(id)->attempt, 2u);
}

TEST_F(Fit, ASilentEngineIsLeft)
{
    start(2);
    guint64 id = ask_short();
    guint64 first = sent(id)->upstream;
    news(id, CQ_EV_SENT);
    pass(kSecond);
    EXPECT_EQ(sent(id)->upstream, first);
    pass(kSecond);
    EXPECT_NE(sent(id)->upstream, first);
}

TEST_F(Fit, AStreamIsNeverRunMoreOftenThanAllowed)
{
    start(4);
    guint64 id = ask_short();
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED);
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED);
    ASSERT_NE(answered(id), nullptr);
    EXPECT_EQ(sent(id)->attempt, 2u);
    EXPECT_EQ(answered(id)->ran, CQ_RAN_UNKNOWN);
    EXPECT_EQ(answered(id)->status, 502);
}

// Three other hosts share the budget.
TEST_F(Fit, AHostSpendsItsPartOfTheRetriesOnly)
{
    start(0, 3, 3);
    rules[1]->retry_shared = TRUE;
    rules[1]->retry_burst = 8;
    rules[1]->retry_percent = 0;
    guint retried = 0;
    for (int i = 0; i < 6; i++) {
        guint64 id = ask(1, 300 * kMs, 0, "p");
        news(id, CQ_EV_SENT);
        news(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
        retried += sent(id)->attempt == 2;
    }
    EXPECT_EQ(retried, 2u);
}

TEST_F(Fit, ACallThatMayHaveRunIsNotRepeated)
{
    start(0, 3);
    guint64 id = ask(1, 300 * kMs, 0, "p", FALSE);
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED);
    ASSERT_NE(answered(id), nullptr);
    EXPECT_EQ(sent(id)->attempt, 1u);
    EXPECT_EQ(answered(id)->ran, CQ_RAN_UNKNOWN);
}

TEST_F(Fit, ACallThatSurelyDidNotRunIsTriedAgain)
{
    start(0, 3);
    guint64 id = ask(1, 300 * kMs, 0, "p", FALSE);
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED, CQ_FAIL_REFUSED);
    EXPECT_EQ(sent(id)->attempt, 2u);
    EXPECT_EQ(answered(id), nullptr);
}

TEST_F(Fit, AnUpstreamsOwnFaultIsPassedOnAfterOneMoreTry)
{
    start(0, 3);
    guint64 id = ask(1, 300 * kMs, 0, "p");
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
    EXPECT_EQ(sent(id)->attempt, 2u);
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
    ASSERT_NE(answered(id), nullptr);
    EXPECT_EQ(answered(id)->outcome, CQ_OUT_DONE);
    EXPECT_EQ(answered(id)->ran, CQ_RAN_YES);
}

TEST_F(Fit, AFaultThatMayNotBeRepeatedIsPassedOnAtOnce)
{
    start(0, 3);
    guint64 id = ask(1, 300 * kMs, 0, "p", FALSE);
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED, CQ_FAIL_FAULT);
    ASSERT_NE(answered(id), nullptr);
    EXPECT_EQ(sent(id)->attempt, 1u);
    EXPECT_EQ(answered(id)->outcome, CQ_OUT_DONE);
}

TEST_F(Fit, ConnectionsThatFailCostNoAttempt)
{
    start(0, 4);
    guint64 id = ask(1, 300 * kMs, 0, "p", FALSE);
    news(id, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    news(id, CQ_EV_FAILED, CQ_FAIL_CONNECT);
    EXPECT_EQ(sent(id)->attempt, 3u);
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_DONE);
    EXPECT_EQ(answered(id)->outcome, CQ_OUT_DONE);
}

TEST_F(Fit, TwoUnreachableUpstreamsMakeTheirZoneSuspect)
{
    start(8);
    guint64 tried = 0;
    for (int i = 0; tried < 2 && i < 20; i++) {
        guint64 id = ask_short(20000);
        if (in_zone_b(sent(id)->upstream)) {
            news(id, CQ_EV_FAILED, CQ_FAIL_CONNECT);
            tried++;
        }
    }
    ASSERT_EQ(tried, 2u);
    for (int i = 0; i < 20; i++) {
        guint64 id = ask_short(20000);
        EXPECT_TRUE(sent(id) == nullptr || !in_zone_b(sent(id)->upstream));
    }
}

TEST_F(Fit, TheHelperAtFaultIsLeftAlone)
{
    start(12);
    guint64 id = ask_long();
    pass(20 * kMs);
    guint64 lost = sent(id)->group[3];
    cq_upstream_view_t view;
    ASSERT_TRUE(cq_core_upstream(core, lost, &view));
    std::string addr = view.addr;
    news(id, CQ_EV_SENT);
    news(id, CQ_EV_FAILED, CQ_FAIL_REFUSED, addr.c_str());
    pass(100 * kMs);
    ASSERT_EQ(sent(id)->attempt, 2u);
    for (guint i = 0; i < sent(id)->group_len; i++) {
        EXPECT_NE(sent(id)->group[i], lost);
    }
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
    for (cq_listed_t &row : rows) {
        row.leaving = cq_ident_hash(row.name) == first;
    }
    list();
    for (int i = 0; i < 5; i++) {
        EXPECT_NE(sent(ask_short())->upstream, first);
    }
}

} // namespace
