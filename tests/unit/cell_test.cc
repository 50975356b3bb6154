// Fleets that are divided into cells: who places where, and which engines one
// zone lends to another.
#include "corefixture.h"

#include <set>

namespace {

using core_test::kMs;
using core_test::kSecond;

constexpr guint kManyHosts = 80;

class Cell : public core_test::CoreTest {
  protected:
    void
    send_spare(bool wanted, const char *zone,
               const std::vector<guint64> &engines = {})
    {
        cq_spare_t spare = {};
        spare.wanted = wanted;
        g_strlcpy(spare.zone, zone, sizeof spare.zone);
        for (guint64 engine : engines) {
            spare.engines[spare.len++] = engine;
        }
        cq_event_t event = {};
        event.kind = CQ_EV_SPARE;
        event.spare = &spare;
        step(event);
    }
    // Engines of the last offer to the zone.
    std::set<guint64>
    offered_to(const std::string &zone)
    {
        std::set<guint64> engines;
        for (const cq_action_t &action : all_actions) {
            if (action.kind == CQ_AC_SPARE && !action.spare.wanted &&
                zone == action.spare.zone) {
                engines.clear();
                engines.insert(action.spare.engines,
                               action.spare.engines + action.spare.len);
            }
        }
        return engines;
    }
    guint
    count_actions(bool wanted)
    {
        guint count = 0;
        for (const cq_action_t &action : all_actions) {
            count += action.kind == CQ_AC_SPARE &&
                     (bool)action.spare.wanted == wanted;
        }
        return count;
    }
    bool
    any_sent_to_zone_b()
    {
        for (const cq_action_t &action : all_actions) {
            if (action.kind == CQ_AC_SEND && in_zone_b(action.send.upstream)) {
                return true;
            }
        }
        return false;
    }
    // Submits short prompts until one finds no engine that keeps its limits.
    guint64
    fill_own_engines()
    {
        for (int i = 0; i < 1000; i++) {
            guint64 id = submit(20000, 300 * kMs, 200 * kMs);
            if (last_send(id) == nullptr) {
                return id;
            }
            attempt_event(id, CQ_EV_SENT);
        }
        return 0;
    }
};

TEST_F(Cell, ASmallFleetUsesTheEnginesOfAllZones)
{
    start_core(12, 0, 20);
    advance(2 * kSecond);
    std::set<bool> zones;
    for (int i = 0; i < 200; i++) {
        guint64 id = submit_short(20000);
        if (last_send(id) != nullptr) {
            zones.insert(in_zone_b(last_send(id)->upstream));
        }
    }
    EXPECT_EQ(zones.size(), 2u);
    EXPECT_FALSE(cq_core_has_cells(core));
}

TEST_F(Cell, ALargeFleetUsesTheEnginesOfItsZone)
{
    start_core(12, 0, kManyHosts);
    advance(2 * kSecond);
    ASSERT_TRUE(cq_core_has_cells(core));
    fill_own_engines();
    EXPECT_FALSE(any_sent_to_zone_b());
    for (const cq_action_t &action : all_actions) {
        if (action.kind == CQ_AC_TASK && action.task.kind == CQ_TASK_PLACED) {
            EXPECT_FALSE(action.task.cross_zone);
        }
    }
}

// All hosts of this zone and two of each other one.
TEST_F(Cell, AHostIsLinkedWithItsZone)
{
    start_core(2);
    for (guint i = 0; i < 40; i++) {
        add_host_row("a" + std::to_string(i), "", "a");
        add_host_row("b" + std::to_string(i), "", "b");
        add_host_row("c" + std::to_string(i), "", "c");
    }
    send_host_list();
    guint len;
    const cq_host_row_t *peers = cq_core_peers(core, &len);
    guint in_a = 0;
    for (guint i = 0; i < len; i++) {
        in_a += std::string(peers[i].zone) == "a";
    }
    EXPECT_EQ(in_a, 40u);
    EXPECT_EQ(len, 44u);
}

TEST_F(Cell, AZoneWithoutEnginesUsesThoseOfOtherZones)
{
    start_core(0, 0, kManyHosts);
    for (guint i = 0; i < 6; i++) {
        add_host_row("x" + std::to_string(i), "m", "b");
    }
    send_host_list();
    advance(2 * kSecond);
    guint64 id = submit_short();
    ASSERT_NE(last_send(id), nullptr);
    EXPECT_TRUE(in_zone_b(last_send(id)->upstream));
}

TEST_F(Cell, AnOfferedEngineTakesWhatTheOwnZoneCannotStart)
{
    start_core(12, 0, kManyHosts);
    advance(2 * kSecond);
    guint64 waiting = fill_own_engines();
    ASSERT_NE(waiting, 0u);
    EXPECT_EQ(count_actions(true), 1u);
    std::vector<guint64> all_b;
    for (int i = 1; i < 12; i += 2) {
        all_b.push_back(cq_ident_hash(("e" + std::to_string(i)).c_str()));
    }
    send_spare(false, "b", all_b);
    ASSERT_NE(last_send(waiting), nullptr);
    EXPECT_TRUE(in_zone_b(last_send(waiting)->upstream));
    const cq_task_update_t *last = nullptr;
    for (const cq_action_t &action : all_actions) {
        if (action.kind == CQ_AC_TASK) {
            last = &action.task;
        }
    }
    ASSERT_NE(last, nullptr);
    EXPECT_TRUE(last->cross_zone);
}

TEST_F(Cell, AnOfferEndsUnlessItIsRepeated)
{
    start_core(12, 0, kManyHosts);
    advance(2 * kSecond);
    std::vector<guint64> all_b;
    for (int i = 1; i < 12; i += 2) {
        all_b.push_back(cq_ident_hash(("e" + std::to_string(i)).c_str()));
    }
    send_spare(false, "b", all_b);
    advance(kSecond);
    ASSERT_NE(fill_own_engines(), 0u);
    EXPECT_FALSE(any_sent_to_zone_b());
}

// Unknown engines and engines of the own zone in an offer are ignored.
TEST_F(Cell, AnOfferOfWrongEnginesChangesNothing)
{
    start_core(12, 0, kManyHosts);
    advance(2 * kSecond);
    send_spare(false, "b", {1, 2, 3, cq_ident_hash("e0"), 0});
    ASSERT_NE(fill_own_engines(), 0u);
    EXPECT_FALSE(any_sent_to_zone_b());
}

// Each engine has one guest zone, a quarter stays with its zone, and engines
// with work are not offered.
TEST_F(Cell, IdleEnginesAreOfferedToOneZoneEach)
{
    start_core(0, 0, kManyHosts);
    for (guint i = 0; i < 16; i++) {
        add_host_row("own" + std::to_string(i), "m", "a");
    }
    for (const char *zone : {"c", "d", "e"}) {
        add_host_row(std::string("host-") + zone, "", zone);
    }
    send_host_list();
    advance(2 * kSecond);
    guint64 id = submit_short();
    ASSERT_NE(last_send(id), nullptr);
    attempt_event(id, CQ_EV_SENT);
    EXPECT_EQ(count_actions(false), 0u);
    std::set<guint64> all;
    guint total = 0;
    for (const char *zone : {"b", "c", "d", "e"}) {
        send_spare(true, zone);
        std::set<guint64> engines = offered_to(zone);
        all.insert(engines.begin(), engines.end());
        total += (guint)engines.size();
    }
    EXPECT_EQ(all.size(), total);
    EXPECT_EQ(total, 11u); /* 15 idle ones less a quarter of 16 */
    EXPECT_EQ(all.count(last_send(id)->upstream), 0u);
    advance(5 * kSecond);
    guint offers = count_actions(false);
    advance(2 * kSecond);
    EXPECT_EQ(count_actions(false), offers);
}

} // namespace
