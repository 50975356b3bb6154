#include "config/service.h"

#include <string.h>

#include "config/schema.h"

#define OFFSET(member) offsetof(cq_rules_t, member)
#define SIZE(member) sizeof(((cq_rules_t *)NULL)->member)
#define TEAM_OFFSET(member) offsetof(cq_team_rule_t, member)
#define MODEL_OFFSET(member) offsetof(cq_model_rule_t, member)
#define CALL_OFFSET(member) offsetof(cq_call_rule_t, member)
/* Largest values that a service file may state. */
#define TEAM_WEIGHT_MAX 1000
#define QUEUE_MAX 100000
#define PREFILL_TOKENS_PER_S_MAX 10000000
#define KV_TOKENS_MAX 100000000

static const char *const kind_names[] = {"model", "plain", NULL};
static const char *const auth_names[] = {"token", "none", NULL};

static const cq_field_t service_fields[] = {
    {"service", "name", CQ_FIELD_NAME, OFFSET(name), SIZE(name), 0, 0, TRUE,
     NULL},
    {"service", "kind", CQ_FIELD_CHOICE, OFFSET(kind), 0, 0, 0, TRUE,
     kind_names},
    {"service", "auth", CQ_FIELD_CHOICE, OFFSET(auth), 0, 0, 0, FALSE,
     auth_names},
    {"requests", "idempotent", CQ_FIELD_BOOLEAN, OFFSET(idempotent), 0, 0, 0,
     FALSE, NULL},
    {"requests", "timeout_ms", CQ_FIELD_INTEGER, OFFSET(timeout_ms), 0, 1,
     CQ_TIMEOUT_MAX_MS, FALSE, NULL},
    {"requests", "timeout_max_ms", CQ_FIELD_INTEGER, OFFSET(timeout_max_ms), 0,
     1, CQ_TIMEOUT_MAX_MS, FALSE, NULL},
    {"requests", "queue_max", CQ_FIELD_INTEGER, OFFSET(queue_max), 0, 0,
     QUEUE_MAX, FALSE, NULL},
    {"requests", "retry_percent", CQ_FIELD_INTEGER, OFFSET(retry_percent), 0,
     0, 100, FALSE, NULL},
    {"requests", "attempts_max", CQ_FIELD_INTEGER, OFFSET(attempts_max), 0, 1,
     10, FALSE, NULL},
    {"requests", "first_token_weight", CQ_FIELD_INTEGER,
     OFFSET(first_token_weight), 0, 0, 100, FALSE, NULL},
    {"engines", "prefill_tokens_per_s", CQ_FIELD_INTEGER,
     OFFSET(prefill_tokens_per_s), 0, 1, PREFILL_TOKENS_PER_S_MAX, FALSE,
     NULL},
    {"engines", "kv_tokens", CQ_FIELD_INTEGER, OFFSET(kv_tokens), 0, 1000,
     KV_TOKENS_MAX, FALSE, NULL},
    {"engines", "streams_target", CQ_FIELD_INTEGER, OFFSET(streams_target), 0,
     1, 4096, FALSE, NULL},
    {"engines", "streams_max", CQ_FIELD_INTEGER, OFFSET(streams_max), 0, 1,
     4096, FALSE, NULL},
    {"engines", "group_max", CQ_FIELD_INTEGER, OFFSET(group_max), 0, 1,
     CQ_PREFILL_GROUP_MAX, FALSE, NULL},
    {"engines", "resume", CQ_FIELD_BOOLEAN, OFFSET(resume), 0, 0, 0, FALSE,
     NULL},
};

static const cq_field_t team_fields[] = {
    {"team", "name", CQ_FIELD_NAME, TEAM_OFFSET(name), CQ_NAME_BYTES, 0, 0,
     TRUE, NULL},
    {"team", "token_sha256", CQ_FIELD_SHA256, TEAM_OFFSET(token_sha256),
     CQ_TOKEN_HASH_BYTES * 2 + 1, 0, 0, FALSE, NULL},
    {"team", "weight", CQ_FIELD_INTEGER, TEAM_OFFSET(weight), 0, 1,
     TEAM_WEIGHT_MAX, FALSE, NULL},
};

static const cq_field_t call_fields[] = {
    {"call", "method", CQ_FIELD_TEXT, CALL_OFFSET(method), CQ_NAME_BYTES, 0, 0,
     TRUE, NULL},
    {"call", "path", CQ_FIELD_TEXT, CALL_OFFSET(path), CQ_NAME_BYTES, 0, 0,
     TRUE, NULL},
    {"call", "idempotent", CQ_FIELD_BOOLEAN, CALL_OFFSET(idempotent), 0, 0, 0,
     TRUE, NULL},
};

static const cq_field_t model_fields[] = {
    {"model", "name", CQ_FIELD_NAME, MODEL_OFFSET(name), CQ_NAME_BYTES, 0, 0,
     TRUE, NULL},
    {"model", "replicas", CQ_FIELD_INTEGER, MODEL_OFFSET(replicas), 0, 0,
     CQ_UPSTREAMS_MAX, FALSE, NULL},
};

/* An array of tables of the file, such as [[team]]. */
typedef struct {
    const char *section;
    const cq_field_t *fields;
    guint len;
    guint max; /* largest number of tables */
} array_table_t;

static const array_table_t array_tables[] = {
    {"team", team_fields, G_N_ELEMENTS(team_fields), CQ_TEAMS_MAX},
    {"call", call_fields, G_N_ELEMENTS(call_fields), CQ_CALLS_MAX},
    {"model", model_fields, G_N_ELEMENTS(model_fields), CQ_MODELS_MAX},
};

static const array_table_t *
find_array_table(const char *section)
{
    for (guint i = 0; i < G_N_ELEMENTS(array_tables); i++) {
        if (strcmp(array_tables[i].section, section) == 0) {
            return &array_tables[i];
        }
    }
    return NULL;
}

/* Return: the element of @rules that holds the values of the array table that
 * @item belongs to. */
static void *
element_for_item(cq_rules_t *rules, const cq_toml_item_t *item)
{
    if (strcmp(item->section, "team") == 0) {
        return &g_array_index(rules->teams, cq_team_rule_t, item->table);
    }
    if (strcmp(item->section, "call") == 0) {
        return &g_array_index(rules->calls, cq_call_rule_t, item->table);
    }
    return &g_array_index(rules->models, cq_model_rule_t, item->table);
}

/* Sets the length of each array of @rules to the number of its tables in the
 * file. */
static gboolean
size_arrays(cq_rules_t *rules, const GArray *items, const char *file,
            cq_error_t *error)
{
    for (guint i = 0; i < G_N_ELEMENTS(array_tables); i++) {
        guint count = cq_schema_count_tables(items, array_tables[i].section);
        if (count > array_tables[i].max) {
            return cq_error_set(error, CQ_ERROR_LIMIT,
                                "%s:1: [[%s]]: found %u; write at most %u",
                                file, array_tables[i].section, count,
                                array_tables[i].max);
        }
    }
    g_array_set_size(rules->teams, cq_schema_count_tables(items, "team"));
    g_array_set_size(rules->calls, cq_schema_count_tables(items, "call"));
    for (guint i = 0; i < rules->teams->len; i++) {
        g_array_index(rules->teams, cq_team_rule_t, i).weight = 1;
    }
    g_array_set_size(rules->models, cq_schema_count_tables(items, "model"));
    return TRUE;
}

static gboolean
store_item(cq_rules_t *rules, const cq_toml_item_t *item, const char *file,
           cq_error_t *error)
{
    const array_table_t *array_table = find_array_table(item->section);
    const cq_field_t *fields =
        array_table ? array_table->fields : service_fields;
    guint len = array_table ? array_table->len : G_N_ELEMENTS(service_fields);
    void *base = array_table ? element_for_item(rules, item) : rules;
    const cq_field_t *field = cq_schema_find(fields, len, item, file, error);
    return field != NULL && cq_schema_store(field, item, file, base, error);
}

static gboolean
check_required(const cq_rules_t *rules, const GArray *items, const char *file,
               cq_error_t *error)
{
    (void)rules;
    if (!cq_schema_required(service_fields, G_N_ELEMENTS(service_fields),
                            items, "service", 0, file, error)) {
        return FALSE;
    }
    for (guint i = 0; i < G_N_ELEMENTS(array_tables); i++) {
        guint count = cq_schema_count_tables(items, array_tables[i].section);
        for (guint table = 0; table < count; table++) {
            if (!cq_schema_required(
                    array_tables[i].fields, array_tables[i].len, items,
                    array_tables[i].section, table, file, error)) {
                return FALSE;
            }
        }
    }
    return TRUE;
}

static gboolean
check_teams(const cq_rules_t *rules, const char *file, cq_error_t *error)
{
    if (rules->teams->len == 0) {
        return cq_error_set(error, CQ_ERROR_KEY,
                            "%s:1: [[team]]: missing; add at least one", file);
    }
    for (guint i = 0; i < rules->teams->len; i++) {
        const cq_team_rule_t *team =
            &g_array_index(rules->teams, cq_team_rule_t, i);
        if (cq_rules_team_index(rules, team->name) != (int)i) {
            return cq_error_set(error, CQ_ERROR_VALUE,
                                "%s:1: team.name: duplicate %s; list each "
                                "team once",
                                file, team->name);
        }
        gboolean has_token = team->token_sha256[0] != '\0';
        if (rules->auth == CQ_AUTH_TOKEN && !has_token) {
            return cq_error_set(error, CQ_ERROR_KEY,
                                "%s:1: team.token_sha256: missing for %s; "
                                "add it, or write auth = \"none\"",
                                file, team->name);
        }
    }
    return TRUE;
}

static gboolean
check_rules(const cq_rules_t *rules, const char *file, cq_error_t *error)
{
    if (!check_teams(rules, file, error)) {
        return FALSE;
    }
    gboolean is_model = rules->kind == CQ_SERVICE_MODEL;
    if (is_model && rules->models->len == 0) {
        return cq_error_set(error, CQ_ERROR_KEY,
                            "%s:1: [[model]]: missing; add at least one",
                            file);
    }
    if (!is_model && rules->models->len > 0) {
        return cq_error_set(error, CQ_ERROR_KEY,
                            "%s:1: [[model]]: a plain service has none; "
                            "remove it, or write kind = \"model\"",
                            file);
    }
    if (rules->timeout_ms > rules->timeout_max_ms) {
        return cq_error_set(
            error, CQ_ERROR_VALUE,
            "%s:1: requests.timeout_ms: found %" G_GINT64_FORMAT
            "; write at most "
            "timeout_max_ms (%" G_GINT64_FORMAT ")",
            file, rules->timeout_ms, rules->timeout_max_ms);
    }
    return TRUE;
}

static gboolean
fill_rules(cq_rules_t *rules, const GArray *items, const char *file,
           cq_error_t *error)
{
    if (!size_arrays(rules, items, file, error)) {
        return FALSE;
    }
    for (guint i = 0; i < items->len; i++) {
        const cq_toml_item_t *item = &g_array_index(items, cq_toml_item_t, i);
        if (!store_item(rules, item, file, error)) {
            return FALSE;
        }
    }
    return check_required(rules, items, file, error) &&
           check_rules(rules, file, error);
}

cq_rules_t *
cq_service_parse(const char *text, const char *file, cq_error_t *error)
{
    cq_rules_t *rules = cq_rules_new();
    GArray *items = g_array_new(FALSE, TRUE, sizeof(cq_toml_item_t));
    gboolean valid = cq_toml_parse(text, file, items, error);
    valid = valid && fill_rules(rules, items, file, error);
    g_array_unref(items);
    if (!valid) {
        cq_rules_unref(rules);
        return NULL;
    }
    return rules;
}
