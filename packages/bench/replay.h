/**
 * DOC: replay
 *
 * Replays a load of prompts of very unlike lengths against several decision
 * cores that share engines which work in passes, in virtual time.
 */
#ifndef CQ_REPLAY_H
#define CQ_REPLAY_H

#include "core/core.h"

G_BEGIN_DECLS

#define CQ_REPLAY_KINDS 3
#define CQ_REPLAY_SPANS 8

/** enum cq_replay_kind_t - kinds of requests */
typedef enum {
    CQ_REPLAY_SHORT,  /* 5,000 tokens, first token in 0.3 s, pauses 0.2 s */
    CQ_REPLAY_MIDDLE, /* 45,000 tokens, 1.5 s, 0.5 s */
    CQ_REPLAY_LONG,   /* 210,000 tokens, 3 s, 0.8 s */
} cq_replay_kind_t;

/**
 * struct cq_replay_span_t - load from a time on
 * @at_us: from when
 * @rate: requests a second of each kind
 */
typedef struct {
    gint64 at_us;
    double rate[CQ_REPLAY_KINDS];
} cq_replay_span_t;

/**
 * struct cq_replay_options_t - what to replay
 * @policy: how engines are chosen
 * @seed: of sizes and arrivals
 * @hosts: decision cores
 * @engines: engines, in three zones
 * @spans: the load
 * @spans_len: number of @spans
 * @length_us: when the load ends
 * @news_us: time until a host has taken in what another told; 0: that of a
 *   message on a quiet network
 * @restart_us: when the first host loses all that it knows and starts anew
 *   half a second later; 0: never
 */
typedef struct {
    cq_policy_t policy;
    guint32 seed;
    guint hosts;
    guint engines;
    cq_replay_span_t spans[CQ_REPLAY_SPANS];
    guint spans_len;
    gint64 length_us;
    gint64 news_us;
    gint64 restart_us;
} cq_replay_options_t;

/**
 * struct cq_replay_count_t - how the requests of a kind ended
 * @asked: all of them
 * @on_time: first token and every pause within their aims, and complete
 * @late: complete, and not on time
 * @refused: told to come back
 * @lost: anything else
 */
typedef struct {
    guint asked;
    guint on_time;
    guint late;
    guint refused;
    guint lost;
} cq_replay_count_t;

/**
 * struct cq_replay_result_t - what came of it
 * @kinds: the requests
 */
typedef struct {
    cq_replay_count_t kinds[CQ_REPLAY_KINDS];
} cq_replay_result_t;

/** cq_replay_run() - Return: what came of a load */
cq_replay_result_t
cq_replay_run(const cq_replay_options_t *options);

G_END_DECLS

#endif
