/**
 * DOC: rules
 *
 * The rules of one service, from its service file or, on a fleet that routes
 * by host and path, from the configuration. A cq_rules_t is reference counted
 * and immutable once it is in force.
 */
#ifndef CQ_RULES_H
#define CQ_RULES_H

#include <glib.h>

#include "speed.h"
#include "limits.h"

G_BEGIN_DECLS

/** enum cq_service_kind_t - kind of a service's upstreams */
typedef enum {
    CQ_SERVICE_MODEL, /* engines with a known prefill rate and memory */
    CQ_SERVICE_PLAIN, /* plain HTTP services */
    CQ_SERVICE_BATCH, /* engines with a known cost model: cq_engine_speed_t */
} cq_service_kind_t;

/** enum cq_auth_t - how a caller's team is authenticated */
typedef enum {
    CQ_AUTH_TOKEN, /* by a bearer token */
    CQ_AUTH_NONE,  /* not authenticated */
} cq_auth_t;

/**
 * struct cq_team_rule_t - a team that may use the service
 * @name: name of the team
 * @token_sha256: lower-case hexadecimal SHA-256 of its bearer token, or ""
 * @weight: its share of the capacity relative to other teams, at least 1
 */
typedef struct {
    char name[CQ_NAME_BYTES];
    char token_sha256[CQ_TOKEN_HASH_BYTES * 2 + 1];
    gint64 weight;
} cq_team_rule_t;

/**
 * struct cq_model_rule_t - a model of the service
 * @name: name of the model
 * @replicas: number of engines that should have it loaded; 0: every engine
 *   has it, and none is ordered to load it
 */
typedef struct {
    char name[CQ_NAME_BYTES];
    gint64 replicas;
} cq_model_rule_t;

/**
 * struct cq_call_rule_t - whether calls of a plain service may be retried
 * @method: HTTP method, or "*" for any
 * @path: path prefix
 * @idempotent: whether a call may run more than once
 */
typedef struct {
    char method[CQ_NAME_BYTES];
    char path[CQ_NAME_BYTES];
    gboolean idempotent;
} cq_call_rule_t;

/**
 * struct cq_rules_t - the rules of one service
 * @name: name of the service
 * @kind: kind of its upstreams
 * @auth: how callers are authenticated
 * @version: version in force, which increases with each publication
 * @idempotent: MODEL only: whether a request may run more than once
 * @timeout_ms: time limit of a request that states none
 * @timeout_max_ms: longest time limit that a request may state
 * @queue_max: maximum number of requests queued in one process
 * @retry_percent: retries allowed per 100 first attempts
 * @attempts_max: maximum number of attempts of one request
 * @first_token_weight: from 0 to 100; the higher it is, the more placement
 *   favors a short time to first token over little slowdown of short requests
 * @prefill_tokens_per_s: prefill rate of an engine
 * @kv_tokens: KV cache memory of an engine in tokens
 * @streams_target: number of concurrent streams up to which an engine is not
 *   slowed
 * @streams_max: maximum number of concurrent streams on an engine
 * @group_max: number of engines that may prefill and hold one prompt together;
 *   1: engines can't do so
 * @resume: whether engines can resume a stream at a given token
 * @retry_burst: maximum number of retries that the retry budget can hold
 * @retry_shared: whether all hosts together share @retry_burst; if FALSE, each
 *   host has its own
 * @connect_timeout_us: time limit for a connection to an upstream to open
 * @progress_timeout_us: a request that may be retried and has made no progress
 *   for this time is moved to another upstream without first probing the
 *   current one; 0: the current one is always probed first
 * @speed: BATCH: cost model of an engine
 * @cold_start_us: how long an upstream is cold after its start, or 0
 * @cold_per_s: requests a second that a cold upstream takes from all hosts
 *   together; 0: not stated
 * @teams: array of cq_team_rule_t
 * @models: array of cq_model_rule_t
 * @calls: array of cq_call_rule_t
 */
typedef struct {
    char name[CQ_NAME_BYTES];
    cq_service_kind_t kind;
    cq_auth_t auth;
    guint64 version;
    gboolean idempotent;
    gint64 timeout_ms;
    gint64 timeout_max_ms;
    gint64 queue_max;
    gint64 retry_percent;
    gint64 attempts_max;
    gint64 first_token_weight;
    gint64 prefill_tokens_per_s;
    gint64 kv_tokens;
    gint64 streams_target;
    gint64 streams_max;
    gint64 group_max;
    gboolean resume;
    gint64 retry_burst;
    gboolean retry_shared;
    gint64 connect_timeout_us;
    gint64 progress_timeout_us;
    cq_engine_speed_t speed;
    gint64 cold_start_us;
    double cold_per_s;
    GArray *teams;
    GArray *models;
    GArray *calls;
} cq_rules_t;

/** cq_rules_new() - Return: rules with all defaults; cq_rules_unref() them */
cq_rules_t *
cq_rules_new(void);

/** cq_rules_ref() - add a reference; Return: @rules */
cq_rules_t *
cq_rules_ref(cq_rules_t *rules);

/** cq_rules_unref() - drop a reference; frees @rules with the last one */
void
cq_rules_unref(cq_rules_t *rules);

/** cq_rules_team_index() - Return: index of team @name, or -1 */
int
cq_rules_team_index(const cq_rules_t *rules, const char *name);

/** cq_rules_team_by_token() - Return: index of the team with bearer token
 * @token, or -1 */
int
cq_rules_team_by_token(const cq_rules_t *rules, const char *token);

/** cq_rules_has_model() - Return: whether the service has model @name */
gboolean
cq_rules_has_model(const cq_rules_t *rules, const char *name);

/** cq_rules_model_replicas() - Return: number of engines that should have
 * @model loaded; 0 if every engine has it or there is no such model */
gint64
cq_rules_model_replicas(const cq_rules_t *rules, const char *model);

/** cq_rules_orders_model_loads() - Return: whether engines are ordered to load
 * models, which is so if a model has @replicas above 0 */
gboolean
cq_rules_orders_model_loads(const cq_rules_t *rules);

/** cq_rules_may_retry() - Return: whether a request with @method and @path
 * may run more than once; for a plain service the first rule that matches
 * decides */
gboolean
cq_rules_may_retry(const cq_rules_t *rules, const char *method,
                   const char *path);

G_END_DECLS

#endif
