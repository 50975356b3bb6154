// Tests of what copies of a topic of the platform's store hold, see
// storeworld.h.
#include <gtest/gtest.h>

#include <cstdlib>

#include "storeworld.h"

namespace {

using storeworld::options_t;
using storeworld::world_t;

constexpr unsigned kSeeds = 1000;

// STORECOPY_SEEDS sets another number of seeds.
unsigned
seeds_len()
{
    const char *text = g_getenv("STORECOPY_SEEDS");
    return text != nullptr ? (unsigned)strtoul(text, nullptr, 10) : kSeeds;
}

using map_ptr = std::unique_ptr<cq_topicmap_t, storeworld::map_free_t>;

void
add_entry(cq_topicmap_t *map, const char *key, guint64 offset,
          cq_record_source_t source)
{
    std::string text = storeworld::value_of(key);
    cq_store_record_t record = {};
    record.offset = offset;
    record.key = const_cast<char *>(key);
    record.value = g_bytes_new(text.data(), text.size());
    if (cq_topicmap_is_new(map, &record, source)) {
        cq_topicmap_add(map, &record, source);
    }
    g_bytes_unref(record.value);
}

guint
listed_len(cq_topicmap_t *map)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(cq_host_row_t));
    cq_topicmap_list_hosts(map, rows);
    guint len = rows->len;
    g_array_unref(rows);
    return len;
}

// Both readers of a zone were killed, and started from a snapshot after an
// upstream's entry had been removed; they tell a host that went on what it
// lacks, and it took that for everything (review/4).
TEST(StoreCopies, APeerThatStartedFromASnapshotHidesADeletion)
{
    map_ptr host(cq_topicmap_new(nullptr, CQ_TOPIC_UPSTREAMS));
    add_entry(host.get(), "stays", 0, CQ_SOURCE_LOG);
    add_entry(host.get(), "removed", 1, CQ_SOURCE_LOG);
    cq_topicmap_add_page(host.get(), 2);
    // Offset 2 is the deletion, and 3 another write of the entry that stays.
    map_ptr reader(cq_topicmap_new(nullptr, CQ_TOPIC_UPSTREAMS));
    cq_topicmap_begin_snapshot(reader.get());
    cq_topicmap_begin_page(reader.get(), 4);
    add_entry(reader.get(), "stays", 3, CQ_SOURCE_SNAPSHOT);
    cq_topicmap_end_snapshot(reader.get());
    GArray *live = g_array_new(FALSE, FALSE, sizeof(guint64));
    cq_topicmap_claim_t claim = cq_topicmap_get_claim(reader.get(), 2, live);
    add_entry(host.get(), "stays", 3, CQ_SOURCE_PEER);
    gboolean dropped = FALSE;
    cq_topicmap_add_claim(host.get(), &claim, &dropped);
    EXPECT_EQ(cq_topicmap_end(host.get()), 4u);
    EXPECT_EQ(listed_len(host.get()), 1u);
    g_array_unref(live);
}

// The same reader of an older version, which doesn't say what it lacks.
TEST(StoreCopies, AnOlderPeerThatStartedFromASnapshotHidesADeletion)
{
    map_ptr host(cq_topicmap_new(nullptr, CQ_TOPIC_UPSTREAMS));
    add_entry(host.get(), "removed", 1, CQ_SOURCE_LOG);
    cq_topicmap_add_page(host.get(), 2);
    cq_topicmap_claim_t claim = {};
    claim.from = 2;
    claim.at = 4;
    gboolean dropped = FALSE;
    EXPECT_FALSE(cq_topicmap_add_claim(host.get(), &claim, &dropped));
    EXPECT_EQ(cq_topicmap_end(host.get()), 2u);
}

// Seeds in whose orders an answer of the store arrives after a peer has told
// which keys are left.
TEST(StoreCopies, ALateAnswerOfTheStoreDoesNotUndoWhatAPeerTold)
{
    for (unsigned seed : {3182u, 3336u, 3722u, 3869u}) {
        EXPECT_EQ(world_t(seed).run(), "") << "seed " << seed;
    }
}

// Runs one seed in @each of seeds_len(), at least one.
void
expect_held(options_t options, unsigned each)
{
    unsigned failed = 0;
    unsigned len = MAX(seeds_len() / each, 1u);
    for (unsigned seed = 1; seed <= len; seed++) {
        std::string wrong = world_t(seed, options).run();
        if (!wrong.empty() && failed++ < 5) {
            ADD_FAILURE() << "seed " << seed << ": " << wrong;
        }
    }
    EXPECT_EQ(failed, 0u) << "of " << len << " seeds";
}

TEST(StoreCopies, HoldWhatTheStoreHasInAnyOrderOfDisruptions)
{
    expect_held({}, 1);
}

TEST(StoreCopies, HoldWhatTheStoreHasAt117Hosts)
{
    expect_held({9, 13, false}, 100);
}

TEST(StoreCopies, HoldWhatTheStoreHasAt330Hosts)
{
    expect_held({10, 33, false}, 500);
}

// A host of the version before says that it knows all records, and lacks the
// deletions before its snapshot.
TEST(StoreCopies, ADeletionIsNotLostBesideAnOlderVersion)
{
    expect_held({1, 4, true}, 1);
}

TEST(StoreCopies, ADeletionIsNotLostBesideAnOlderVersionAt117Hosts)
{
    expect_held({9, 13, true}, 100);
}

TEST(StoreCopies, ADeletionIsNotLostBesideAnOlderVersionAt330Hosts)
{
    expect_held({10, 33, true}, 500);
}

// The store comes back from an older copy beside all of these.
TEST(StoreCopies, HoldWhatTheStoreHasAfterItCameBackOlder)
{
    expect_held({1, 4, false, true}, 1);
}

TEST(StoreCopies, HoldWhatTheStoreHasAfterItCameBackOlderAt117Hosts)
{
    expect_held({9, 13, false, true}, 100);
}

TEST(StoreCopies, HoldWhatTheStoreHasAfterItCameBackOlderAt330Hosts)
{
    expect_held({10, 33, false, true}, 500);
}

// The operators' records: those of emptied zones go with their deletion, and
// the configuration stays.
TEST(OperatorsRecords, AreHeldInAnyOrderOfDisruptions)
{
    expect_held({1, 4, false, false, true}, 1);
}

TEST(OperatorsRecords, AreHeldAt117Hosts)
{
    expect_held({9, 13, false, false, true}, 100);
}

TEST(OperatorsRecords, AreHeldAt330Hosts)
{
    expect_held({10, 33, false, false, true}, 500);
}

TEST(OperatorsRecords, AreHeldBesideAnOlderVersion)
{
    expect_held({1, 4, true, false, true}, 1);
}

TEST(OperatorsRecords, AreHeldBesideAnOlderVersionAt117Hosts)
{
    expect_held({9, 13, true, false, true}, 100);
}

// A host of the version before drops none of these records, as it has no use
// for them: what it says to be left proves nothing.
TEST(OperatorsRecords, AreNotHeldForeverBesideAVersionThatKeepsThem)
{
    expect_held({1, 4, false, false, true, true}, 1);
}

TEST(OperatorsRecords, AreHeldAfterTheStoreCameBackOlder)
{
    expect_held({1, 4, false, true, true}, 1);
}

TEST(OperatorsRecords, AreHeldAfterTheStoreCameBackOlderAt117Hosts)
{
    expect_held({9, 13, false, true, true}, 100);
}

} // namespace
