#include "bench/replayload.h"

#include <math.h>

/* Standard deviation of the logarithm of an answer's number of events. The
 * profile gives the mean of the number itself. */
#define EVENTS_LOG_SPREAD 0.6

static const cq_replay_profile_t profiles[CQ_REPLAY_KINDS] = {
    [CQ_REPLAY_SHORT] = {4960, 0.9, 23800, 300 * CQ_MS_US, 200 * CQ_MS_US,
                         10 * CQ_SECOND_US, 35},
    [CQ_REPLAY_MEDIUM] = {45000, 0.5, 110000, 1500 * CQ_MS_US, 500 * CQ_MS_US,
                          10 * CQ_SECOND_US, 21},
    [CQ_REPLAY_LONG] = {210000, 0.55, 440000, 3 * CQ_SECOND_US, 800 * CQ_MS_US,
                        15 * CQ_SECOND_US, 17},
};

static const cq_engine_speed_t speed = {
    .slots = 16,
    .memory_tokens = 450000,
    .steps_per_pass = 46,
    .step_us = 925,
    .stream_us = 4.83,
    .context_us = 0.00254,
    .prefill_token_us = 3.906,
    .pair_us = 0.0000917,
    .hop_us = 100,
};

/* Returns a standard normal deviate (Box and Muller, 1958). */
static double
draw_normal(GRand *rand)
{
    double u = 1 - g_rand_double(rand);
    double v = g_rand_double(rand);
    return sqrt(-2 * log(u)) * cos(2 * G_PI * v);
}

/* Returns a log-normal deviate whose mean is @mean. */
static double
draw_log_normal(GRand *rand, double mean, double log_spread)
{
    return exp(log(mean) - log_spread * log_spread / 2 +
               log_spread * draw_normal(rand));
}

void
cq_replay_engine_row(guint i, guint zones, cq_host_row_t *row)
{
    g_snprintf(row->name, sizeof row->name, "e%u", i);
    g_snprintf(row->addr, sizeof row->addr, "10.0.0.%u:1", i);
    g_snprintf(row->zone, sizeof row->zone, "z%u", i % zones);
    g_strlcpy(row->service, CQ_REPLAY_SERVICE, sizeof row->service);
    row->incarnation = 1;
}

void
cq_replay_host_row(guint i, guint zones, cq_host_row_t *row)
{
    g_snprintf(row->name, sizeof row->name, "h%u", i);
    g_snprintf(row->zone, sizeof row->zone, "z%u", i % zones);
    row->incarnation = 1;
}

const cq_replay_profile_t *
cq_replay_profile(cq_replay_kind_t kind)
{
    return &profiles[kind];
}

gint64
cq_replay_draw_tokens(GRand *rand, cq_replay_kind_t kind)
{
    const cq_replay_profile_t *profile = &profiles[kind];
    double tokens =
        draw_log_normal(rand, profile->mean_tokens, profile->log_spread);
    return CLAMP((gint64)tokens, 1, profile->max_tokens);
}

guint
cq_replay_draw_events(GRand *rand, cq_replay_kind_t kind)
{
    double factor = exp(EVENTS_LOG_SPREAD * draw_normal(rand) -
                        EVENTS_LOG_SPREAD * EVENTS_LOG_SPREAD / 2);
    return (guint)MAX(profiles[kind].mean_events * factor, 1);
}

double
cq_replay_rate(const cq_replay_options_t *options, cq_replay_kind_t kind,
               gint64 now_us)
{
    double rate = 0;
    for (guint i = 0; i < options->phases_len; i++) {
        if (now_us >= options->phases[i].at_us) {
            rate = options->phases[i].rate[kind];
        }
    }
    return rate;
}

double
cq_replay_peak_rate(const cq_replay_options_t *options, cq_replay_kind_t kind)
{
    double peak = 0;
    for (guint i = 0; i < options->phases_len; i++) {
        peak = MAX(peak, options->phases[i].rate[kind]);
    }
    return peak;
}

cq_rules_t *
cq_replay_rules(void)
{
    cq_team_rule_t team = {.name = CQ_REPLAY_TEAM, .weight = 1};
    cq_rules_t *rules = cq_rules_new();
    g_strlcpy(rules->name, CQ_REPLAY_SERVICE, sizeof rules->name);
    rules->kind = CQ_SERVICE_BATCH;
    rules->version = 1;
    rules->speed = speed;
    rules->progress_timeout_us = 1200 * CQ_MS_US;
    rules->connect_timeout_us = 300 * CQ_MS_US;
    g_array_append_val(rules->teams, team);
    return rules;
}
