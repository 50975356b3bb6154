/**
 * DOC: replayload
 *
 * The load of a replay: kinds of requests, their sizes and their rates, and
 * the rules of the service they ask.
 */
#ifndef CQ_REPLAYLOAD_H
#define CQ_REPLAYLOAD_H

#include "bench/replay.h"

G_BEGIN_DECLS

/* Names of the one service and of the one team that asks. */
#define CQ_REPLAY_SERVICE "model"
#define CQ_REPLAY_TEAM "team"

/**
 * struct cq_replay_sheet_t - a kind of request
 * @tokens: mean length of its prompts
 * @spread: standard deviation of the logarithm of the length
 * @tokens_max: longest prompt
 * @aim_us: time within which the first event is on time
 * @gap_us: longest pause between events that is on time
 * @timeout_us: how long its callers wait
 * @events: mean number of events
 */
typedef struct {
    double tokens;
    double spread;
    gint64 tokens_max;
    gint64 aim_us;
    gint64 gap_us;
    gint64 timeout_us;
    guint events;
} cq_replay_sheet_t;

/** cq_replay_engine() - describe engine number @i in @row */
void
cq_replay_engine(guint i, cq_host_row_t *row);

/** cq_replay_host() - describe entry host number @i in @row */
void
cq_replay_host(guint i, cq_host_row_t *row);

/** cq_replay_sheet() - Return: what is known of @kind */
const cq_replay_sheet_t *
cq_replay_sheet(cq_replay_kind_t kind);

/** cq_replay_tokens() - Return: length of a prompt, log-normal */
gint64
cq_replay_tokens(GRand *rand, cq_replay_kind_t kind);

/** cq_replay_events() - Return: events of an answer, log-normal */
guint
cq_replay_events(GRand *rand, cq_replay_kind_t kind);

/** cq_replay_rate() - Return: requests of @kind a second at @now_us */
double
cq_replay_rate(const cq_replay_options_t *options, cq_replay_kind_t kind,
               gint64 now_us);

/** cq_replay_most() - Return: the highest rate of @kind */
double
cq_replay_most(const cq_replay_options_t *options, cq_replay_kind_t kind);

/**
 * cq_replay_rules() - the rules of the service
 *
 * Return: owned rules
 */
cq_rules_t *
cq_replay_rules(void);

G_END_DECLS

#endif
