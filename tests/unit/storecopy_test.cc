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

} // namespace
