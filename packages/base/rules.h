/**
 * DOC: rules
 *
 * The rules of one service, as its file states them. A rules object is
 * immutable once published and shared by reference.
 */
#ifndef CQ_RULES_H
#define CQ_RULES_H

#include <glib.h>

#include "speed.h"
#include "limits.h"

G_BEGIN_DECLS

/** enum cq_service_kind_t - what stands behind a service */
typedef enum {
    CQ_SERVICE_MODEL, /* engines of which only rate and memory are known */
    CQ_SERVICE_PLAIN, /* plain calls */
    CQ_SERVICE_BATCH, /* engines whose passes are known: cq_engine_speed_t */
} cq_service_kind_t;

/** enum cq_auth_t - how a caller shows its team */
typedef enum {
    CQ_AUTH_TOKEN,
    CQ_AUTH_NONE,
} cq_auth_t;

/**
 * struct cq_team_rule_t - one team's part of a service
 * @name: the team
 * @token_sha256: lower-case hexadecimal SHA-256 of its bearer token
 * @weight: its share against the other teams, at least 1
 */
typedef struct {
    char name[CQ_NAME_BYTES];
    char token_sha256[CQ_TOKEN_HASH_BYTES * 2 + 1];
    gint64 weight;
} cq_team_rule_t;

/**
 * struct cq_model_rule_t - one model of a service
 * @name: the model
 * @replicas: engines that should have it loaded; 0: every engine has it
 */
typedef struct {
    char name[CQ_NAME_BYTES];
    gint64 replicas;
} cq_model_rule_t;

/**
 * struct cq_call_rule_t - which calls of a plain service may be repeated
 * @method: HTTP method, or "*"
 * @path: path prefix
 * @idempotent: whether a call may run more than once
 */
typedef struct {
    char method[CQ_NAME_BYTES];
    char path[CQ_NAME_BYTES];
    gboolean idempotent;
} cq_call_rule_t;

/**
 * struct cq_rules_t - one service
 * @name: the service
 * @kind: model or plain
 * @auth: how callers show their team
 * @version: version in force, counted by the log
 * @idempotent: whether a model call may be repeated
 * @timeout_ms: deadline of a request that names none
 * @timeout_max_ms: the longest deadline a request may ask for
 * @queue_max: requests waiting in one process
 * @retry_percent: retries as a share of first attempts
 * @attempts_max: attempts of one request
 * @first_token_weight: 0 to 100: 100 weighs only the time to first token, 0
 *   only the slowdown of short requests
 * @prefill_tokens_per_s: an engine's prefill rate
 * @kv_tokens: an engine's memory
 * @streams_target: streams on one engine that keep its pace
 * @streams_max: streams on one engine
 * @group_max: engines that may hold one prompt together; 1: they cannot
 * @resume: whether engines resume a stream at a token
 * @retry_burst: retries that may be saved up
 * @retry_shared: @retry_burst is for all hosts together, not for each
 * @connect_timeout_us: an upstream that takes no connection for so long is
 * left
 * @quiet_us: a call that may be repeated and makes no progress for so long is
 *   moved without asking the upstream; 0: it is asked first
 * @speed: BATCH: speed of an engine
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
    gint64 quiet_us;
    cq_engine_speed_t speed;
    GArray *teams;
    GArray *models;
    GArray *calls;
} cq_rules_t;

/** cq_rules_new() - Return: rules with every default set */
cq_rules_t *
cq_rules_new(void);

/** cq_rules_ref() - Return: @rules, with one reference more */
cq_rules_t *
cq_rules_ref(cq_rules_t *rules);

/** cq_rules_unref() - give up one reference */
void
cq_rules_unref(cq_rules_t *rules);

/** cq_rules_team_index() - Return: index of team @name, or -1 */
int
cq_rules_team_index(const cq_rules_t *rules, const char *name);

/** cq_rules_team_by_token() - Return: index of the team of @token, or -1 */
int
cq_rules_team_by_token(const cq_rules_t *rules, const char *token);

/** cq_rules_has_model() - Return: whether the service has model @name */
gboolean
cq_rules_has_model(const cq_rules_t *rules, const char *name);

/** cq_rules_model_replicas() - Return: engines that should have @model loaded,
 * 0 when every engine has it */
gint64
cq_rules_model_replicas(const cq_rules_t *rules, const char *model);

/** cq_rules_orders_loads() - Return: whether engines are told which models to
 * load */
gboolean
cq_rules_orders_loads(const cq_rules_t *rules);

/** cq_rules_repeatable() - Return: whether @method on @path may repeat */
gboolean
cq_rules_repeatable(const cq_rules_t *rules, const char *method,
                    const char *path);

G_END_DECLS

#endif
