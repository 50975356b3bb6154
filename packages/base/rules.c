#include "rules.h"

#include <string.h>

static void
free_arrays(gpointer data)
{
    cq_rules_t *rules = data;
    g_array_unref(rules->teams);
    g_array_unref(rules->models);
    g_array_unref(rules->calls);
}

cq_rules_t *
cq_rules_new(void)
{
    cq_rules_t *rules = g_rc_box_new0(cq_rules_t);
    rules->idempotent = TRUE;
    rules->timeout_ms = 60000;
    rules->timeout_max_ms = CQ_TIMEOUT_MAX_MS;
    rules->queue_max = 2000;
    rules->retry_percent = 20;
    rules->attempts_max = 3;
    rules->first_token_weight = 50;
    rules->prefill_tokens_per_s = CQ_PREFILL_TOKENS_PER_S;
    rules->kv_tokens = CQ_KV_TOKENS;
    rules->streams_target = CQ_STREAMS_TARGET;
    rules->streams_max = CQ_STREAMS_MAX;
    rules->group_max = 1;
    rules->retry_burst = CQ_RETRY_BURST;
    rules->connect_timeout_us = CQ_CONNECT_TIMEOUT_US;
    rules->teams = g_array_new(FALSE, TRUE, sizeof(cq_team_rule_t));
    rules->models = g_array_new(FALSE, TRUE, sizeof(cq_model_rule_t));
    rules->calls = g_array_new(FALSE, TRUE, sizeof(cq_call_rule_t));
    return rules;
}

cq_rules_t *
cq_rules_ref(cq_rules_t *rules)
{
    return g_rc_box_acquire(rules);
}

void
cq_rules_unref(cq_rules_t *rules)
{
    g_rc_box_release_full(rules, free_arrays);
}

int
cq_rules_team_index(const cq_rules_t *rules, const char *name)
{
    for (guint i = 0; i < rules->teams->len; i++) {
        cq_team_rule_t *team = &g_array_index(rules->teams, cq_team_rule_t, i);
        if (strcmp(team->name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

int
cq_rules_team_by_token(const cq_rules_t *rules, const char *token)
{
    char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
    int found = -1;
    for (guint i = 0; i < rules->teams->len; i++) {
        cq_team_rule_t *team = &g_array_index(rules->teams, cq_team_rule_t, i);
        if (strcmp(team->token_sha256, hash) == 0) {
            found = (int)i;
        }
    }
    g_free(hash);
    return found;
}

static const cq_model_rule_t *
find_model(const cq_rules_t *rules, const char *name)
{
    for (guint i = 0; i < rules->models->len; i++) {
        const cq_model_rule_t *model =
            &g_array_index(rules->models, cq_model_rule_t, i);
        if (strcmp(model->name, name) == 0) {
            return model;
        }
    }
    return NULL;
}

gboolean
cq_rules_has_model(const cq_rules_t *rules, const char *name)
{
    return find_model(rules, name) != NULL;
}

gint64
cq_rules_model_replicas(const cq_rules_t *rules, const char *model)
{
    const cq_model_rule_t *found = find_model(rules, model);
    return found != NULL ? found->replicas : 0;
}

gboolean
cq_rules_orders_model_loads(const cq_rules_t *rules)
{
    for (guint i = 0; i < rules->models->len; i++) {
        if (g_array_index(rules->models, cq_model_rule_t, i).replicas > 0) {
            return TRUE;
        }
    }
    return FALSE;
}

gboolean
cq_rules_may_retry(const cq_rules_t *rules, const char *method,
                   const char *path)
{
    if (rules->kind == CQ_SERVICE_MODEL) {
        return rules->idempotent;
    }
    for (guint i = 0; i < rules->calls->len; i++) {
        cq_call_rule_t *call = &g_array_index(rules->calls, cq_call_rule_t, i);
        gboolean any_method = strcmp(call->method, "*") == 0;
        if ((any_method || strcmp(call->method, method) == 0) &&
            g_str_has_prefix(path, call->path)) {
            return call->idempotent;
        }
    }
    return FALSE;
}
