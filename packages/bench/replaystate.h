/**
 * DOC: replaystate
 *
 * State of a replay, and the messages between its hosts.
 */
#ifndef CQ_REPLAYSTATE_H
#define CQ_REPLAYSTATE_H

#include "bench/batchengine.h"
#include "bench/heap.h"
#include "bench/replay.h"

G_BEGIN_DECLS

#define CQ_REPLAY_ENGINES_MAX 160
#define CQ_REPLAY_HOSTS_MAX 160

/** typedef cq_replay_t - a run */
typedef struct replay cq_replay_t;

/** struct cq_replay_host_t - an entry host; @core is NULL while it is down */
typedef struct {
    cq_replay_t *run;
    guint index;
    char name[CQ_NAME_BYTES];
    cq_core_t *core;
    guint64 incarnation;
} cq_replay_host_t;

/** struct cq_replay_engine_t - an emulated engine */
typedef struct {
    cq_replay_t *run;
    guint64 id;
    cq_batch_engine_t *emulated;
} cq_replay_engine_t;

/** struct cq_replay_request_t - a caller's request that is not answered yet */
typedef struct {
    guint64 id;
    cq_replay_host_t *host;
    guint64 incarnation;
    cq_replay_kind_t kind;
    gint64 tokens;
    guint events;
    gint64 sent_us;
    gint64 event_us; /* when the caller got the latest event */
    gboolean begun;  /* the caller has got an event */
    gboolean late;   /* an event was late */
    guint32 attempt;
    guint group[CQ_PREFILL_GROUP_MAX]; /* its engines; the first decodes */
    guint group_len;
    guint prefills_left; /* engines that still prefill a shard */
} cq_replay_request_t;

struct replay {
    cq_replay_options_t options;
    cq_replay_result_t result;
    cq_heap_t heap;
    GRand *rand;
    cq_replay_host_t hosts[CQ_REPLAY_HOSTS_MAX];
    cq_replay_engine_t engines[CQ_REPLAY_ENGINES_MAX];
    cq_host_row_t rows[CQ_REPLAY_ENGINES_MAX + CQ_REPLAY_HOSTS_MAX];
    cq_rules_t *rules;
    GHashTable *requests;
    guint64 serial; /* of the latest request */
    gboolean ended;
};

/**
 * struct cq_replay_msg_t - a delayed event for the core of a host
 * @incarnation: it is dropped if the host no longer runs the process with this
 *   incarnation; 0 stands for any process
 * @rows: TASKS: owned
 * @summary: SUMMARY: owned
 * @spare: SPARE: owned
 */
typedef struct {
    cq_replay_host_t *host;
    guint64 incarnation;
    cq_event_t event;
    GArray *rows;
    cq_summary_t *summary;
    cq_spare_t *spare;
} cq_replay_msg_t;

/** cq_replay_step() - step the core of @host and carry out its actions */
void
cq_replay_step(cq_replay_host_t *host, const cq_event_t *event);

/** cq_replay_defer() - Return: a message that reaches @host after @after_us */
cq_replay_msg_t *
cq_replay_defer(cq_replay_host_t *host, gint64 after_us, guint64 incarnation);

/** cq_replay_connected() - Return: whether @a and @b have a connection */
gboolean
cq_replay_connected(const cq_replay_host_t *a, const cq_replay_host_t *b);

/** cq_replay_send_tasks() - send the peers of @host its task updates */
void
cq_replay_send_tasks(cq_replay_host_t *host, GArray *updates);

/** cq_replay_send_spare() - send an offer of idle engines, or a request for
 * offers */
void
cq_replay_send_spare(cq_replay_host_t *host, const cq_spare_t *spare);

/** cq_replay_send_summary() - send the peers of @host its summary */
void
cq_replay_send_summary(cq_replay_host_t *host, const cq_summary_t *summary);

G_END_DECLS

#endif
