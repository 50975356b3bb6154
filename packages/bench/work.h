/**
 * DOC: work
 *
 * The callers: seeded arrivals with prompts of very unlike lengths, who come
 * back when they are told to and go to another host when theirs is lost; and
 * what they saw.
 */
#ifndef CQ_WORK_H
#define CQ_WORK_H

#include "bench/sim.h"

G_BEGIN_DECLS

#define CQ_WORK_CLASSES 4

/**
 * struct cq_work_call_t - one caller's wish and what became of it
 * @at_us: when it first asks
 * @ask: what it asks
 * @klass: length class, 0 the shortest
 * @team: index of its team
 * @woken: part of the wake
 * @tries: times it asked
 * @first_us: first token, or -1
 * @last_us: newest token
 * @done_us: whole answer, or -1
 * @refused_first: the first try was refused
 * @expired: an admitted try missed its deadline
 */
typedef struct {
    gint64 at_us;
    cq_sim_ask_t ask;
    guint klass;
    guint team;
    gboolean woken;
    guint tries;
    gint64 first_us;
    gint64 last_us;
    gint64 done_us;
    gboolean refused_first;
    gboolean expired;
    gint64 tokens;
} cq_work_call_t;

/**
 * struct cq_work_options_t - the load
 * @seed: of the arrivals
 * @rate: requests a second
 * @seconds: length of the load
 * @engines: engines behind the hosts
 * @hosts: entry hosts
 * @wake_at_s: when the population wakes, or 0
 * @wake_calls: its size
 * @flood_team: team that sends @flood_factor times its share, or -1
 * @flood_factor: the factor
 * @short_only: leave every longer request out
 */
typedef struct {
    guint32 seed;
    double rate;
    guint seconds;
    guint hosts;
    guint wake_at_s;
    guint wake_calls;
    int flood_team;
    guint flood_factor;
    gboolean short_only;
} cq_work_options_t;

/**
 * struct cq_work_t - the callers of one run
 * @calls: array of cq_work_call_t
 * @gaps: array of double, seconds between tokens
 * @come_backs: come-backs by second
 */
typedef struct {
    GArray *calls;
    GArray *gaps;
    GArray *come_backs;
    guint hosts;
    GRand *rand;
    guint64 attempts;
} cq_work_t;

/** cq_work_new() - Return: callers with every arrival drawn */
cq_work_t *
cq_work_new(const cq_work_options_t *options);

/** cq_work_free() - free @work */
void
cq_work_free(cq_work_t *work);

/** cq_work_hook() - set the callbacks in @options */
void
cq_work_hook(cq_work_t *work, cq_sim_options_t *options);

/** cq_work_start() - put every arrival on the agenda */
void
cq_work_start(cq_work_t *work, cq_sim_t *sim);

/** cq_work_class_name() - Return: name of length class @klass */
const char *
cq_work_class_name(guint klass);

/** cq_work_alone_s() - Return: first token of @call alone on idle engines
 * with its prefix cached, in seconds */
double
cq_work_alone_s(const cq_work_call_t *call);

G_END_DECLS

#endif
