// Randomised runs of the emulated deployment with faults of every kind, over
// 200 fixed seeds.
#include <gtest/gtest.h>

#include "bench/soak.h"

namespace {

constexpr guint kSteps = 400;

class Soak : public testing::TestWithParam<guint> {};

TEST_P(Soak, KeepsEveryInvariant)
{
    for (guint seed = GetParam(); seed < GetParam() + 10; seed++) {
        cq_soak_options_t options = {seed, kSteps, FALSE};
        cq_soak_report_t report;
        EXPECT_TRUE(cq_soak_run(&options, &report))
            << report.violation << "; replay: make soak SEED=" << seed
            << " STEPS=" << kSteps;
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, testing::Range(1u, 200u, 10u));

TEST(Soak, IsDeterministicForASeed)
{
    cq_soak_options_t options = {7, kSteps, FALSE};
    cq_soak_report_t first;
    cq_soak_report_t second;
    cq_soak_run(&options, &first);
    cq_soak_run(&options, &second);
    EXPECT_EQ(first.core_steps, second.core_steps);
    EXPECT_EQ(first.done, second.done);
    EXPECT_EQ(first.refused, second.refused);
    EXPECT_EQ(first.unknown, second.unknown);
}

} // namespace
