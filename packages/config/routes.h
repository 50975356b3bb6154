/**
 * DOC: routes
 *
 * The configuration of a fleet that routes requests by host name and path:
 * routes, API keys of teams, limits and the rules of each service. A version
 * is immutable once it is in force.
 */
#ifndef CQ_ROUTES_H
#define CQ_ROUTES_H

#include <glib.h>

#include "base/limits.h"
#include "base/rules.h"

G_BEGIN_DECLS

/** enum cq_retry_policy_t - whether a request may be retried although an
 * upstream may have run it */
typedef enum {
    CQ_RETRY_NEVER,  /* no: it runs at most once */
    CQ_RETRY_ALWAYS, /* yes */
    CQ_RETRY_RESUME, /* yes: another upstream resumes its stream */
} cq_retry_policy_t;

/**
 * struct cq_route_target_t - one of the services of a route
 * @service: its name
 * @weight: its share of the route's requests, relative to the other targets
 */
typedef struct {
    char service[CQ_NAME_BYTES];
    gint64 weight;
} cq_route_target_t;

/**
 * struct cq_route_t - one route
 * @id: hash of @host and @prefix
 * @host: host name that callers use
 * @prefix: path prefix, with a slash at both ends
 * @targets: array of cq_route_target_t
 * @retry_policy: whether a request that may have run may be retried
 * @timeout_us: time limit of a request
 * @target_us: target time to the first event, or to the response of a service
 *   that does not stream
 * @gap_max_us: target for the longest pause between two events of a stream; 0:
 *   the route does not stream
 * @attempts_max: number of upstreams that may be tried for a request
 * @priority: 0 is the highest
 * @is_public: callers need no API key
 */
typedef struct {
    guint64 id;
    char *host;
    char *prefix;
    GArray *targets;
    cq_retry_policy_t retry_policy;
    gint64 timeout_us;
    gint64 target_us;
    gint64 gap_max_us;
    guint attempts_max;
    gint64 priority;
    gboolean is_public;
} cq_route_t;

/**
 * struct cq_routes_t - one version of the configuration
 * @version: increases with each change
 * @all: array of cq_route_t*, owned
 * @by_host: host name to GPtrArray of its routes, longest prefix first
 * @team_by_key: API key to team name
 * @needs_key: there are teams, so routes that aren't public need an API key,
 *   also if no team or key could be read
 * @notes: what holds and has no effect, as texts
 * @left_out: what could not be read, as texts; the first few
 * @left_out_max: how many of them are kept
 * @left_out_count: how much could not be read
 * @rules: array of cq_rules_t*, one per service
 * @head_bytes_max: longest head of a request
 * @body_bytes_max: longest body of a request
 * @head_timeout_us: time limit for a request's head to arrive completely
 * @idle_timeout_us: minimum time that a caller's idle connection is kept open
 */
typedef struct {
    guint64 version;
    GPtrArray *all;
    GHashTable *by_host;
    GHashTable *team_by_key;
    gboolean needs_key;
    GPtrArray *notes;
    GPtrArray *left_out;
    guint left_out_max;
    guint left_out_count;
    GPtrArray *rules;
    gsize head_bytes_max;
    gsize body_bytes_max;
    gint64 head_timeout_us;
    gint64 idle_timeout_us;
} cq_routes_t;

/** cq_routes_new() - Return: a configuration without routes, with default
 * limits */
cq_routes_t *
cq_routes_new(void);

/** cq_routes_free() - free @routes */
void
cq_routes_free(cq_routes_t *routes);

/** cq_route_new() - Return: a route without targets */
cq_route_t *
cq_route_new(const char *host, const char *prefix);

/** cq_routes_add() - add @route to @routes, which takes ownership */
void
cq_routes_add(cq_routes_t *routes, cq_route_t *route);

/** cq_routes_sort() - sort the routes by prefix; call after the last
 * cq_routes_add() and before cq_routes_find() */
void
cq_routes_sort(cq_routes_t *routes);

/** cq_routes_find() - Return: the route of @host with the longest prefix of
 * the path in @target, or NULL; case and a port in @host are ignored */
const cq_route_t *
cq_routes_find(const cq_routes_t *routes, const char *host,
               const char *target);

/** cq_routes_team_by_key() - Return: name of the team with API key @key, or
 * NULL */
const char *
cq_routes_team_by_key(const cq_routes_t *routes, const char *key);

/** cq_routes_set_retries() - let all services share a retry budget of @burst
 * retries at most, which gets @percent retries per 100 first attempts */
void
cq_routes_set_retries(const cq_routes_t *routes, gint64 burst, gint64 percent);

/** cq_route_pick() - Return: name of the service for a request, chosen by the
 * weights with the random number @random in [0, 1); "" without targets */
const char *
cq_route_pick(const cq_route_t *route, double random);

G_END_DECLS

#endif
