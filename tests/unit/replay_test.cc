// Replays the loads that were worst for the placement on engines that work in
// passes. Four hosts share eighteen engines; virtual time, fixed seeds. The
// bounds are the stated target, 95 in 100 on time, and the baselines.
#include <gtest/gtest.h>

#include <cstdio>

#include "bench/replay.h"

namespace {

constexpr double kTarget = 0.95;

cq_replay_options_t
make(cq_policy_t policy)
{
    cq_replay_options_t options = {};
    options.policy = policy;
    options.seed = 1;
    options.hosts = 4;
    options.engines = 18;
    return options;
}

cq_replay_span_t
span(double at_s, double shorts, double middles, double longs)
{
    cq_replay_span_t one = {};
    one.at_us = (gint64)(at_s * 1e6);
    one.rate[CQ_REPLAY_SHORT] = shorts;
    one.rate[CQ_REPLAY_MIDDLE] = middles;
    one.rate[CQ_REPLAY_LONG] = longs;
    return one;
}

// The same load for all of the time.
cq_replay_options_t
steady(cq_policy_t policy, const cq_replay_span_t &load, int seconds)
{
    cq_replay_options_t options = make(policy);
    options.spans[0] = load;
    options.spans_len = 1;
    options.length_us = seconds * CQ_SECOND_US;
    return options;
}

// A burst of long prompts, one of short ones, and the first again.
cq_replay_options_t
alternating(cq_policy_t policy)
{
    cq_replay_options_t options = make(policy);
    options.spans[0] = span(0, 12, 3, 2.4);
    options.spans[1] = span(12, 75, 1.2, 0.05);
    options.spans[2] = span(22, 12, 3, 2.4);
    options.spans_len = 3;
    options.length_us = 32 * CQ_SECOND_US;
    return options;
}

// Long prompts alone, several waiting on every host.
cq_replay_options_t
crowded(cq_policy_t policy)
{
    return steady(policy, span(0, 0, 2, 3), 20);
}

// A host starts again in the middle of a burst of short prompts.
cq_replay_options_t
restarted(cq_policy_t policy)
{
    cq_replay_options_t options = steady(policy, span(0, 75, 1.2, 0.05), 14);
    options.restart_us = 8 * CQ_SECOND_US;
    return options;
}

// The fleet of a larger deployment, in a burst of short prompts. Each host
// has part of a core, and takes in news a few milliseconds late.
cq_replay_options_t
wide(cq_policy_t policy)
{
    cq_replay_options_t options = steady(policy, span(0, 220, 9, 1), 8);
    options.hosts = 35;
    options.engines = 60;
    options.news_us = 5 * CQ_MS_US;
    return options;
}

double
share(const cq_replay_result_t &result, cq_replay_kind_t kind)
{
    const cq_replay_count_t &count = result.kinds[kind];
    std::printf("kind %d: asked %u on time %u late %u refused %u lost %u\n",
                kind, count.asked, count.on_time, count.late, count.refused,
                count.lost);
    return (double)count.on_time / count.asked;
}

TEST(Alternating, ShortsAreOnTime)
{
    cq_replay_options_t options = alternating(CQ_POLICY_COST);
    EXPECT_GE(share(cq_replay_run(&options), CQ_REPLAY_SHORT), kTarget);
}

TEST(Alternating, MiddlesAreOnTime)
{
    cq_replay_options_t options = alternating(CQ_POLICY_COST);
    EXPECT_GE(share(cq_replay_run(&options), CQ_REPLAY_MIDDLE), kTarget);
}

TEST(Alternating, LongsAreOnTime)
{
    cq_replay_options_t options = alternating(CQ_POLICY_COST);
    EXPECT_GE(share(cq_replay_run(&options), CQ_REPLAY_LONG), kTarget);
}

TEST(Alternating, EveryKindIsServedBetterThanByTheBaselines)
{
    cq_replay_options_t options = alternating(CQ_POLICY_COST);
    cq_replay_result_t ours = cq_replay_run(&options);
    for (cq_policy_t policy :
         {CQ_POLICY_ROUND_ROBIN, CQ_POLICY_LEAST_REQUESTS}) {
        cq_replay_options_t other = alternating(policy);
        cq_replay_result_t theirs = cq_replay_run(&other);
        for (int kind = 0; kind < CQ_REPLAY_KINDS; kind++) {
            EXPECT_GT(share(ours, (cq_replay_kind_t)kind),
                      share(theirs, (cq_replay_kind_t)kind));
        }
    }
}

// Hosts that book the same engines at the same moment: without settling it,
// what each sent was read behind the others' parts.
TEST(Crowded, LongsAreOnTime)
{
    cq_replay_options_t options = crowded(CQ_POLICY_COST);
    EXPECT_GE(share(cq_replay_run(&options), CQ_REPLAY_LONG), kTarget);
}

// The longest of prompts comes first. On as many engines as there are parts
// worth reading apart, it left two for every other request.
TEST(Longest, LeavesEnginesToShorts)
{
    cq_replay_options_t options = restarted(CQ_POLICY_COST);
    options.seed = 168;
    options.restart_us = 0;
    options.length_us = 5 * CQ_SECOND_US;
    cq_replay_result_t result = cq_replay_run(&options);
    EXPECT_GE(share(result, CQ_REPLAY_SHORT), kTarget);
    EXPECT_EQ(result.kinds[CQ_REPLAY_SHORT].refused, 0u);
    EXPECT_GE(share(result, CQ_REPLAY_LONG), kTarget);
}

// Hosts that heard of a few others only packed their prompts on the same
// engines as those they did not hear.
TEST(Wide, EveryKindIsOnTime)
{
    for (guint32 seed = 1; seed <= 4; seed++) {
        cq_replay_options_t options = wide(CQ_POLICY_COST);
        options.seed = seed;
        cq_replay_result_t result = cq_replay_run(&options);
        for (int kind = 0; kind < CQ_REPLAY_KINDS; kind++) {
            EXPECT_GE(share(result, (cq_replay_kind_t)kind), kTarget);
        }
    }
}

// The new process is told at once what is under way, and is careful until
// then.
TEST(Restarted, ShortsOfTheOtherHostsAreOnTime)
{
    cq_replay_options_t options = restarted(CQ_POLICY_COST);
    cq_replay_result_t result = cq_replay_run(&options);
    double lost = result.kinds[CQ_REPLAY_SHORT].lost;
    double asked = result.kinds[CQ_REPLAY_SHORT].asked;
    EXPECT_GE(share(result, CQ_REPLAY_SHORT), kTarget * (1 - lost / asked));
}

} // namespace
