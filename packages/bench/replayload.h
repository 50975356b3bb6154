/**
 * DOC: replayload
 *
 * The load of a replay: kinds of requests with their sizes and rates, and the
 * configuration of the service that they call.
 */
#ifndef CQ_REPLAYLOAD_H
#define CQ_REPLAYLOAD_H

#include "bench/replay.h"

G_BEGIN_DECLS

/* Names of the only service and of the only team. */
#define CQ_REPLAY_SERVICE "model"
#define CQ_REPLAY_TEAM "team"

/**
 * struct cq_replay_profile_t - a kind of request
 * @mean_tokens: mean length of its prompts
 * @log_spread: standard deviation of the logarithm of the length
 * @max_tokens: longest prompt
 * @first_limit_us: time within which the first event is on time
 * @gap_limit_us: longest gap between events that is on time
 * @timeout_us: the callers' time limit
 * @mean_events: mean number of events
 */
typedef struct {
    double mean_tokens;
    double log_spread;
    gint64 max_tokens;
    gint64 first_limit_us;
    gint64 gap_limit_us;
    gint64 timeout_us;
    guint mean_events;
} cq_replay_profile_t;

/** cq_replay_engine_row() - fill @row of the host list for engine @i, in
 * one of @zones zones */
void
cq_replay_engine_row(guint i, guint zones, cq_host_row_t *row);

/** cq_replay_host_row() - fill @row of the host list for entry host @i, in
 * one of @zones zones */
void
cq_replay_host_row(guint i, guint zones, cq_host_row_t *row);

/** cq_replay_profile() - Return: the static profile of @kind */
const cq_replay_profile_t *
cq_replay_profile(cq_replay_kind_t kind);

/** cq_replay_draw_tokens() - Return: log-normal length of a prompt */
gint64
cq_replay_draw_tokens(GRand *rand, cq_replay_kind_t kind);

/** cq_replay_draw_events() - Return: log-normal number of events of an answer
 */
guint
cq_replay_draw_events(GRand *rand, cq_replay_kind_t kind);

/** cq_replay_rate() - Return: requests of @kind per second at @now_us */
double
cq_replay_rate(const cq_replay_options_t *options, cq_replay_kind_t kind,
               gint64 now_us);

/** cq_replay_peak_rate() - Return: highest rate of @kind in any phase */
double
cq_replay_peak_rate(const cq_replay_options_t *options, cq_replay_kind_t kind);

/**
 * cq_replay_rules() - make the service's configuration
 *
 * Return: a reference that the caller owns
 */
cq_rules_t *
cq_replay_rules(void);

G_END_DECLS

#endif
