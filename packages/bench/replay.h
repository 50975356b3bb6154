/**
 * DOC: replay
 *
 * Runs a load of short, medium and long prompts, in virtual time, against
 * several hosts (each a scheduling core) that share emulated engines of the
 * BATCH kind (cq_batch_engine_t).
 */
#ifndef CQ_REPLAY_H
#define CQ_REPLAY_H

#include "core/core.h"

G_BEGIN_DECLS

#define CQ_REPLAY_KINDS 3
#define CQ_REPLAY_PHASES_MAX 8

/** enum cq_replay_kind_t - kinds of requests, with the mean length of their
 * prompts and the time limits within which an answer is on time */
typedef enum {
    CQ_REPLAY_SHORT,  /* 5,000 tokens; first event in 0.3 s, gaps 0.2 s */
    CQ_REPLAY_MEDIUM, /* 45,000 tokens; first event in 1.5 s, gaps 0.5 s */
    CQ_REPLAY_LONG,   /* 210,000 tokens; first event in 3 s, gaps 0.8 s */
} cq_replay_kind_t;

/**
 * struct cq_replay_phase_t - a part of the load; it lasts until the next phase
 * @at_us: when the phase begins
 * @rate: mean requests per second of each kind
 */
typedef struct {
    gint64 at_us;
    double rate[CQ_REPLAY_KINDS];
} cq_replay_phase_t;

/**
 * struct cq_replay_options_t - parameters of a replay
 * @policy: how engines are chosen
 * @seed: seed of sizes and arrivals
 * @hosts: number of hosts
 * @engines: number of engines
 * @zones: number of zones over which hosts and engines are spread; 0: three
 * @first_zone_share: share of the requests that the hosts of the first zone
 *   get; 0: every host gets as many
 * @phases: the load, in order of time
 * @phases_len: number of @phases
 * @duration_us: when the load ends
 * @peer_lag_us: time from when a host sends an update until a peer has
 *   processed it; 0: the network's one-way delay
 * @restart_us: when the first host is killed; it starts again without its
 *   state half a second later; 0: never
 */
typedef struct {
    cq_policy_t policy;
    guint32 seed;
    guint hosts;
    guint engines;
    guint zones;
    double first_zone_share;
    cq_replay_phase_t phases[CQ_REPLAY_PHASES_MAX];
    guint phases_len;
    gint64 duration_us;
    gint64 peer_lag_us;
    gint64 restart_us;
} cq_replay_options_t;

/**
 * struct cq_replay_count_t - how the requests of a kind ended
 * @sent: all of them
 * @on_time: complete, with the first event and every gap within their limits
 * @late: complete, but beyond a limit
 * @refused: rejected without having run, so the caller may retry
 * @lost: ended in any other way, for instance with its host
 */
typedef struct {
    guint sent;
    guint on_time;
    guint late;
    guint refused;
    guint lost;
} cq_replay_count_t;

/**
 * struct cq_replay_result_t - result of a replay
 * @kinds: counts by kind of request
 */
typedef struct {
    cq_replay_count_t kinds[CQ_REPLAY_KINDS];
} cq_replay_result_t;

/** cq_replay_run() - run a replay; Return: its result */
cq_replay_result_t
cq_replay_run(const cq_replay_options_t *options);

G_END_DECLS

#endif
