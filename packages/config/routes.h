/**
 * DOC: routes
 *
 * One version of the whole configuration of a fleet whose callers are routed
 * by host and path: routes, the keys of teams, limits and the rules of each
 * service. A table is immutable once it is in force.
 */
#ifndef CQ_ROUTES_H
#define CQ_ROUTES_H

#include <glib.h>

#include "base/limits.h"
#include "base/rules.h"

G_BEGIN_DECLS

/** enum cq_repeat_t - what may be run again after it may have run */
typedef enum {
    CQ_REPEAT_NEVER,  /* runs at most once */
    CQ_REPEAT_ALWAYS, /* may run any number of times */
    CQ_REPEAT_RESUME, /* a stream that another upstream can go on with */
} cq_repeat_t;

/**
 * struct cq_route_target_t - a service behind a route
 * @service: its name
 * @weight: its share of the route's requests
 */
typedef struct {
    char service[CQ_NAME_BYTES];
    gint64 weight;
} cq_route_target_t;

/**
 * struct cq_route_t - one route
 * @host: host name that callers use
 * @prefix: path prefix, with a slash at both ends
 * @targets: array of cq_route_target_t
 * @repeat: what may be run again
 * @timeout_us: longest time that a caller is kept waiting
 * @aim_us: time within which an answer is worth most
 * @gap_us: longest pause between the events of a stream; 0: no stream
 * @attempts_max: upstreams that may run one request
 * @priority: rank, 0 is the highest
 * @open: no key is asked for
 */
typedef struct {
    char *host;
    char *prefix;
    GArray *targets;
    cq_repeat_t repeat;
    gint64 timeout_us;
    gint64 aim_us;
    gint64 gap_us;
    guint attempts_max;
    gint64 priority;
    gboolean open;
} cq_route_t;

/**
 * struct cq_routes_t - one version of the configuration
 * @version: grows with each change
 * @all: array of cq_route_t*
 * @by_host: host to GPtrArray of its routes, longest prefix first
 * @team_by_key: caller's key to team name
 * @rules: array of cq_rules_t*, one a service
 * @head_bytes_max: longest head of a request
 * @body_bytes_max: longest body of a request
 * @head_timeout_us: a request must have arrived within it
 * @idle_timeout_us: an idle connection is kept for at least so long
 */
typedef struct {
    guint64 version;
    GPtrArray *all;
    GHashTable *by_host;
    GHashTable *team_by_key;
    GPtrArray *rules;
    gsize head_bytes_max;
    gsize body_bytes_max;
    gint64 head_timeout_us;
    gint64 idle_timeout_us;
} cq_routes_t;

/** cq_routes_new() - Return: an empty table with default limits */
cq_routes_t *
cq_routes_new(void);

/** cq_routes_free() - free @routes */
void
cq_routes_free(cq_routes_t *routes);

/** cq_route_new() - Return: a route without targets */
cq_route_t *
cq_route_new(const char *host, const char *prefix);

/** cq_routes_add() - put @route into the table, which owns it then */
void
cq_routes_add(cq_routes_t *routes, cq_route_t *route);

/** cq_routes_sort() - sort the table after the last cq_routes_add() */
void
cq_routes_sort(cq_routes_t *routes);

/** cq_routes_find() - Return: the route of @host with the longest prefix of
 * the path in @target, or NULL; a port in @host does not count */
const cq_route_t *
cq_routes_find(const cq_routes_t *routes, const char *host,
               const char *target);

/** cq_routes_team_by_key() - Return: the team that holds @key, or NULL */
const char *
cq_routes_team_by_key(const cq_routes_t *routes, const char *key);

/** cq_route_pick() - Return: the service for a request, by the weights and
 * @random in [0, 1) */
const char *
cq_route_pick(const cq_route_t *route, double random);

G_END_DECLS

#endif
