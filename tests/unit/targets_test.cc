// The stated performance targets, checked on the benchmark's fixed loads in
// virtual time. A failing check prints the measured value and the target.
// Targets that are not met are listed in KNOWN-RED.txt; their bounds here stay
// as stated.
#include <gtest/gtest.h>

#include <map>
#include <string>

#include "bench/spread.h"
#include "bench/stats.h"
#include "bench/trial.h"

namespace {

constexpr guint32 kSeed = 1;

struct observed_t {
    cq_figures_t figures;
    double attempts;
    gint64 reserved_tokens;
};

cq_trial_t
run(const char *scenario, cq_policy_t policy, gboolean short_only,
    guint32 seed = kSeed)
{
    cq_trial_t trial = {};
    trial.scenario = cq_trial_scenario(scenario);
    trial.policy = policy;
    trial.seed = seed;
    trial.short_only = short_only;
    cq_trial_run(&trial);
    return trial;
}

observed_t
measure(const char *scenario, cq_policy_t policy)
{
    cq_trial_t mixed = run(scenario, policy, FALSE);
    cq_trial_t short_load = run(scenario, policy, TRUE);
    observed_t observed;
    observed.figures = cq_stats_figures(mixed.workload, short_load.workload,
                                        &mixed.totals, mixed.scenario->rate);
    observed.attempts = (double)mixed.attempts / (double)mixed.requests;
    observed.reserved_tokens = mixed.reserved_tokens;
    cq_trial_clear(&mixed);
    cq_trial_clear(&short_load);
    return observed;
}

// Runs each scenario once and caches the result for the other tests.
const observed_t &
observe(const char *scenario, cq_policy_t policy = CQ_POLICY_COST)
{
    static std::map<std::pair<std::string, int>, observed_t> results;
    auto key = std::make_pair(std::string(scenario), (int)policy);
    auto found = results.find(key);
    if (found == results.end()) {
        found = results.emplace(key, measure(scenario, policy)).first;
    }
    return found->second;
}

guint
total_expired(const observed_t &observed)
{
    guint sum = 0;
    for (guint count : observed.figures.expired) {
        sum += count;
    }
    return sum;
}

TEST(Steady, FirstTokenWithin2sFor95In100)
{
    EXPECT_GE(observe("steady").figures.ttft_within_2s, 0.95);
}

TEST(Steady, TokensWithin37msFor95In100)
{
    EXPECT_LE(observe("steady").figures.gap_s[1], 0.037);
}

TEST(Steady, ShortRequestsAreSlowedByAtMostAFifth)
{
    EXPECT_LE(observe("steady").figures.short_slowdown, 1.2);
}

TEST(Steady, ShortRequestsAreSlowedByAtMostHalfOfTheBetterBaselines)
{
    double ours = observe("steady").figures.short_slowdown;
    double round_robin =
        observe("steady", CQ_POLICY_ROUND_ROBIN).figures.short_slowdown;
    double least_requests =
        observe("steady", CQ_POLICY_LEAST_REQUESTS).figures.short_slowdown;
    EXPECT_LE(ours, std::min(round_robin, least_requests) / 2);
}

TEST(Steady, LongWorkFinishesInItsTime)
{
    EXPECT_GE(observe("steady").figures.long_finished, 0.99);
}

TEST(TwoThirds, FirstTokenWithin2sFor95In100)
{
    EXPECT_GE(observe("two_thirds").figures.ttft_within_2s, 0.95);
}

TEST(TwoThirds, TokensWithin37msFor95In100)
{
    EXPECT_LE(observe("two_thirds").figures.gap_s[1], 0.037);
}

TEST(TwoThirds, ShortRequestsAreSlowedByAtMostAFifth)
{
    EXPECT_LE(observe("two_thirds").figures.short_slowdown, 1.2);
}

TEST(Wake, RetriesStayUnderTwiceTheSteadyRate)
{
    EXPECT_LT(observe("wake").figures.retry_rate_peak, 2.0);
}

TEST(Wake, NothingAdmittedMissesItsDeadline)
{
    EXPECT_EQ(0u, total_expired(observe("wake")));
}

TEST(Wake, NothingAdmittedMissesItsDeadlineWithOtherSeeds)
{
    for (guint32 seed = 2; seed <= 6; seed++) {
        cq_trial_t trial = run("wake", CQ_POLICY_COST, FALSE, seed);
        cq_figures_t figures =
            cq_stats_figures(trial.workload, trial.workload, &trial.totals,
                             trial.scenario->rate);
        for (guint count : figures.expired) {
            EXPECT_EQ(0u, count) << "seed " << seed;
        }
        EXPECT_LT(figures.retry_rate_peak, 2.0) << "seed " << seed;
        cq_trial_clear(&trial);
    }
}

TEST(EnginesLost, AttemptsARequestAreAtMost1point2)
{
    EXPECT_LE(observe("engines_lost").attempts, 1.2);
}

TEST(EnginesLost, NothingAdmittedMissesItsDeadline)
{
    EXPECT_EQ(0u, total_expired(observe("engines_lost")));
}

TEST(HostLost, LeavesNoMemoryHeld)
{
    const observed_t &observed = observe("host_lost");
    EXPECT_EQ(0, observed.reserved_tokens);
    EXPECT_EQ(0u, total_expired(observed));
}

TEST(LateReports, FirstTokenWithin2sFor95In100)
{
    EXPECT_GE(observe("late_reports").figures.ttft_within_2s, 0.95);
}

TEST(Flood, OthersWaitAtMostATenthLonger)
{
    cq_trial_t flood = run("flood", CQ_POLICY_COST, FALSE);
    cq_trial_t unflooded = run("two_thirds", CQ_POLICY_COST, FALSE);
    int team = flood.scenario->flood_team;
    GArray *with = cq_stats_first_token(flood.workload, -1, team);
    GArray *without = cq_stats_first_token(unflooded.workload, -1, team);
    EXPECT_LE(cq_stats_percentile(with, 95) / cq_stats_percentile(without, 95),
              1.1);
    g_array_unref(with);
    g_array_unref(without);
    cq_trial_clear(&flood);
    cq_trial_clear(&unflooded);
}

TEST(Configuration, EverywhereWithin11sAt330Hosts)
{
    cq_spread_t joined = {330, 10, -1, 0, 0};
    cq_spread_run(&joined);
    EXPECT_GE(joined.propagation_s, 0);
    EXPECT_LE(joined.propagation_s, 11);
}

TEST(Configuration, EverywhereWithin11sWithAZoneCutFromThePlatform)
{
    cq_spread_t cut = {330, 10, 4, 0, 0};
    cq_spread_run(&cut);
    EXPECT_GE(cut.propagation_s, 0);
    EXPECT_LE(cut.propagation_s, 11);
}

} // namespace
