/**
 * DOC: core
 *
 * The core makes every decision of the serving process: which requests to
 * accept, where to run them, when to retry. cq_core_step() takes one event and
 * returns actions. The core is deterministic: the same options and events give
 * the same actions. It uses no socket, clock, thread or environment variable.
 */
#ifndef CQ_CORE_H
#define CQ_CORE_H

#include "base/counters.h"
#include "base/ring.h"
#include "core/action.h"
#include "core/event.h"

G_BEGIN_DECLS

typedef struct cq_core cq_core_t;

/** enum cq_policy_t - how an upstream is chosen */
typedef enum {
    CQ_POLICY_COST,           /* by estimated cost; used in production */
    CQ_POLICY_ROUND_ROBIN,    /* baseline for the benchmarks */
    CQ_POLICY_LEAST_REQUESTS, /* baseline for the benchmarks */
} cq_policy_t;

/**
 * struct cq_core_options_t - how to build a core
 * @host: this host's name
 * @zone: this host's availability zone
 * @incarnation: higher at every start of the process
 * @seed: seed of the core's random number generator
 * @policy: how upstreams are chosen
 * @finds_pace: upstreams that have started or recovered get work at the pace
 *   that their answers show, see core/pace.h
 */
typedef struct {
    const char *host;
    const char *zone;
    guint64 incarnation;
    guint32 seed;
    cq_policy_t policy;
    gboolean finds_pace;
} cq_core_options_t;

/**
 * struct cq_upstream_view_t - what the adapters need of an upstream. Strings
 * are borrowed until the next step
 * @name: its name
 * @addr: `ip:port`
 * @zone: availability zone
 * @service: its service
 * @incarnation: newest incarnation seen
 * @leaving: whether it is leaving and gets no new work
 */
typedef struct {
    const char *name;
    const char *addr;
    const char *zone;
    const char *service;
    guint64 incarnation;
    gboolean leaving;
} cq_upstream_view_t;

/**
 * struct cq_core_stats_t - sizes of the core's tables
 * @requests: requests without a final answer
 * @queued: those of them that wait for an upstream
 * @reserved: reservations of engine memory that are not released yet
 * @upstreams: known upstreams
 * @peers: peers whose summaries arrive
 * @services: services with rules
 */
typedef struct {
    guint requests;
    guint queued;
    guint reserved;
    guint upstreams;
    guint peers;
    guint services;
} cq_core_stats_t;

/** cq_core_new() - Return: a core without rules, upstreams or peers; free it
 * with cq_core_free() */
cq_core_t *
cq_core_new(const cq_core_options_t *options);

/** cq_core_free() - free @core */
void
cq_core_free(cq_core_t *core);

/**
 * cq_core_step() - process one event, then place waiting requests if possible
 * @core: the core
 * @now_us: monotonic time in microseconds; never less than in the last step
 * @event: the event; TICK also runs the periodic work
 * @actions: the actions to carry out are appended here
 */
void
cq_core_step(cq_core_t *core, gint64 now_us, const cq_event_t *event,
             cq_actions_t *actions);

/** cq_core_rules() - Return: the rules in force for @service, or NULL;
 * borrowed */
cq_rules_t *
cq_core_rules(const cq_core_t *core, const char *service);

/** cq_core_model_service() - Return: the service that has @model, or NULL */
const char *
cq_core_model_service(const cq_core_t *core, const char *model);

/** cq_core_upstream() - Return: whether upstream @id is known; if so, fills
 * @view */
gboolean
cq_core_upstream(const cq_core_t *core, guint64 id, cq_upstream_view_t *view);

/**
 * cq_core_polled_engines() - the engines whose load this process should poll
 * @core: the core
 * @ids: gets at most @max ids
 * @max: room in @ids
 *
 * Return: number of ids.
 */
guint
cq_core_polled_engines(const cq_core_t *core, guint64 *ids, guint max);

/** cq_core_has_waiting() - Return: whether a request is not running yet; if
 * so, TICK is due every CQ_TICK_US, else every CQ_IDLE_TICK_US */
gboolean
cq_core_has_waiting(const cq_core_t *core);

/** cq_core_peers() - Return: the entry hosts to keep links to; @len gets their
 * number; borrowed until the next HOSTS event */
const cq_host_row_t *
cq_core_peers(const cq_core_t *core, guint *len);

/** cq_core_rank() - Return: how many of the hosts that place on the same
 * upstreams come before this one, in an order that @key gives and that is the
 * same at all of them */
guint
cq_core_rank(const cq_core_t *core, guint64 key);

/** cq_core_has_cells() - Return: whether the fleet is divided into cells, so
 * that each zone's hosts place on the engines of their zone */
gboolean
cq_core_has_cells(const cq_core_t *core);

/** cq_core_follows_log() - Return: whether this process should read the log
 * continuously; if not, it gets records from peers and reads the log only
 * every CQ_LOG_NONREADER_POLL_US */
gboolean
cq_core_follows_log(const cq_core_t *core);

/** cq_core_part_reports() - append to @reports, an array of cq_part_report_t,
 * what a new peer needs to know of parts of prompts */
void
cq_core_part_reports(const cq_core_t *core, GArray *reports);

/** enum cq_store_reader_t - part of this process in reading the store */
typedef enum {
    CQ_STORE_READER_ALONE,     /* every host of the zone reads it */
    CQ_STORE_READER_FOR_PEERS, /* sends the hosts of its zone what it reads */
    CQ_STORE_READER_NONE,      /* gets the records from its peers */
} cq_store_reader_t;

/** cq_core_store_reader() - Return: which part this process has now; it
 * changes when peers start, stop or fall silent */
cq_store_reader_t
cq_core_store_reader(const cq_core_t *core);

/** cq_core_peer_missing() - Return: whether summaries of some peer are
 * missing, so that placement also needs the engines' load reports */
gboolean
cq_core_peer_missing(const cq_core_t *core);

/** cq_core_counters() - Return: the core's counters, also for adapters */
cq_counters_t *
cq_core_counters(cq_core_t *core);

/** cq_core_ring() - Return: the core's event ring, also for adapters */
cq_ring_t *
cq_core_ring(cq_core_t *core);

/** cq_core_stats() - Return: sizes of the core's tables */
cq_core_stats_t
cq_core_stats(const cq_core_t *core);

/**
 * cq_core_check() - test every invariant of the tables
 * @core: the core
 * @now_us: the time of the last step
 *
 * Return: NULL, or a static text that names the first broken invariant.
 */
const char *
cq_core_check(const cq_core_t *core, gint64 now_us);

G_END_DECLS

#endif
