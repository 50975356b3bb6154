// Whether an entry that is missing from the store may have lapsed in an
// outage.
#include <gtest/gtest.h>

#include "base/limits.h"
#include "router/outage.h"

namespace {

constexpr gint64 kStart = 100 * CQ_SECOND_US;

gint64
at_ms(gint64 ms)
{
    return kStart + ms * CQ_MS_US;
}

TEST(Outage, AMissingEntryMayHaveLapsedUntilTwoSecondsAfterTheStoresReturn)
{
    cq_outage_t outage = {};
    cq_outage_note_read(&outage, at_ms(0));
    cq_outage_note_read(&outage, at_ms(4500));
    EXPECT_EQ(at_ms(6500), cq_outage_lapsed_until_us(&outage, at_ms(4600)));
    EXPECT_EQ(0, cq_outage_lapsed_until_us(&outage, at_ms(6500)));
}

TEST(Outage, AHostThatWasCutOffAloneTakesAMissingEntryForGone)
{
    cq_outage_t outage = {};
    for (gint64 ms = 0; ms < 7000; ms += 900) {
        cq_outage_note_read(&outage, at_ms(ms)); // as a peer said
    }
    EXPECT_EQ(0, cq_outage_lapsed_until_us(&outage, at_ms(7000)));
}

TEST(Outage, PeersThatReadTheStoreSoonerTellWhenItReturned)
{
    cq_outage_t outage = {};
    cq_outage_note_read(&outage, at_ms(0));
    cq_outage_note_read(&outage, at_ms(5000)); // a peer
    cq_outage_note_read(&outage, at_ms(5900)); // this host
    EXPECT_EQ(at_ms(7000), cq_outage_lapsed_until_us(&outage, at_ms(6000)));
}

TEST(Outage, NewsFromAPeerBeforeItSaysThatItReadsMayBeOfAnOutage)
{
    cq_outage_t outage = {};
    cq_outage_note_read(&outage, at_ms(0));
    EXPECT_FALSE(cq_outage_is_unread(&outage, at_ms(2000)));
    EXPECT_TRUE(cq_outage_is_unread(&outage, at_ms(5000)));
    EXPECT_EQ(at_ms(7000), cq_outage_lapsed_until_us(&outage, at_ms(5000)));
}

TEST(Outage, AProcessThatStartsKnowsOfNoOutage)
{
    cq_outage_t outage = {};
    EXPECT_EQ(0, cq_outage_lapsed_until_us(&outage, at_ms(0)));
    cq_outage_note_read(&outage, at_ms(0));
    EXPECT_EQ(0, cq_outage_lapsed_until_us(&outage, at_ms(100)));
}

} // namespace
