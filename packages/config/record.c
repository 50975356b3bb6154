#include "config/record.h"

#include <string.h>

#include "config/json.h"

static const char *const kind_names[] = {"config", "claim", "checkpoint",
                                         "lease"};
static const char *const verb_names[] = {"take", "renew", "release"};
static const char *const verdict_names[] = {"take", "free", "ran"};

void
cq_record_hash(const char *body, char hash[CQ_TOKEN_HASH_BYTES * 2 + 1])
{
    char *sum = g_compute_checksum_for_string(G_CHECKSUM_SHA256, body, -1);
    g_strlcpy(hash, sum, CQ_TOKEN_HASH_BYTES * 2 + 1);
    g_free(sum);
}

static void
clear_entry(gpointer data)
{
    g_free(((cq_config_entry_t *)data)->body);
}

GArray *
cq_record_entries_new(void)
{
    GArray *entries = g_array_new(FALSE, TRUE, sizeof(cq_config_entry_t));
    g_array_set_clear_func(entries, clear_entry);
    return entries;
}

static void
add_text(JsonBuilder *builder, const char *key, const char *text)
{
    json_builder_set_member_name(builder, key);
    json_builder_add_string_value(builder, text);
}

/* Writes an identifier as a hexadecimal string, as many JSON readers lose bits
 * of numbers above 2^53. */
static void
add_id(JsonBuilder *builder, const char *key, guint64 id)
{
    char text[17];
    g_snprintf(text, sizeof text, "%016" G_GINT64_MODIFIER "x", id);
    add_text(builder, key, text);
}

static void
add_number(JsonBuilder *builder, const char *key, gint64 number)
{
    json_builder_set_member_name(builder, key);
    json_builder_add_int_value(builder, number);
}

static void
add_entry(JsonBuilder *builder, const cq_config_entry_t *entry)
{
    add_text(builder, "service", entry->service);
    add_number(builder, "base", (gint64)entry->base);
    add_number(builder, "version", (gint64)entry->version);
    add_text(builder, "hash", entry->hash);
    add_text(builder, "id", entry->id);
    add_text(builder, "body", entry->body);
}

static void
add_claim(JsonBuilder *builder, const cq_claim_t *claim)
{
    add_id(builder, "key_hi", claim->key.hi);
    add_id(builder, "key_lo", claim->key.lo);
    add_id(builder, "request", claim->request);
    add_text(builder, "verdict", verdict_names[claim->verdict]);
    add_number(builder, "status", claim->status);
}

static void
add_lease(JsonBuilder *builder, const cq_lease_t *lease)
{
    add_text(builder, "verb", verb_names[lease->verb]);
    add_number(builder, "host", lease->host);
    add_id(builder, "incarnation", lease->incarnation);
    add_id(builder, "fence", lease->fence);
    add_id(builder, "sent_us", (guint64)lease->sent_us);
}

static void
add_checkpoint(JsonBuilder *builder, const GArray *entries)
{
    json_builder_set_member_name(builder, "services");
    json_builder_begin_array(builder);
    for (guint i = 0; i < entries->len; i++) {
        json_builder_begin_object(builder);
        add_entry(builder, &g_array_index(entries, cq_config_entry_t, i));
        json_builder_end_object(builder);
    }
    json_builder_end_array(builder);
}

char *
cq_record_encode(const cq_record_t *record)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    add_text(builder, "type", kind_names[record->kind]);
    switch (record->kind) {
    case CQ_RECORD_CONFIG:
        add_entry(builder, &record->config);
        break;
    case CQ_RECORD_CLAIM:
        add_claim(builder, &record->claim);
        break;
    case CQ_RECORD_CHECKPOINT:
        add_checkpoint(builder, record->checkpoint);
        break;
    case CQ_RECORD_LEASE:
        add_lease(builder, &record->lease);
        break;
    }
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(builder);
    return text;
}

/* Sets @error for member @key; Return: FALSE. */
static gboolean
member_error(cq_error_t *error, const char *key, const char *remedy)
{
    return cq_error_set(error, CQ_ERROR_KEY, "record: %s: %s", key, remedy);
}

static gboolean
get_text(JsonObject *object, const char *key, char *to, gsize size,
         cq_error_t *error)
{
    JsonNode *node = json_object_get_member(object, key);
    if (node == NULL || json_node_get_value_type(node) != G_TYPE_STRING) {
        return member_error(error, key, "missing; write a string");
    }
    if (g_strlcpy(to, json_node_get_string(node), size) >= size) {
        return member_error(error, key, "too long; write a shorter string");
    }
    return TRUE;
}

static gboolean
get_number(JsonObject *object, const char *key, guint64 *to, cq_error_t *error)
{
    JsonNode *node = json_object_get_member(object, key);
    if (node == NULL || json_node_get_value_type(node) != G_TYPE_INT64) {
        return member_error(error, key, "missing; write an integer");
    }
    gint64 number = json_node_get_int(node);
    if (number < 0) {
        return member_error(error, key, "negative; write an integer from 0");
    }
    *to = (guint64)number;
    return TRUE;
}

static gboolean
get_id(JsonObject *object, const char *key, guint64 *to, cq_error_t *error)
{
    char text[32];
    if (!get_text(object, key, text, sizeof text, error)) {
        return FALSE;
    }
    if (!g_ascii_string_to_unsigned(text, 16, 0, G_MAXUINT64, to, NULL)) {
        return member_error(error, key, "not hexadecimal; write 16 digits");
    }
    return TRUE;
}

static gboolean
get_entry(JsonObject *object, cq_config_entry_t *entry, cq_error_t *error)
{
    gboolean valid =
        get_text(object, "service", entry->service, sizeof entry->service,
                 error) &&
        get_number(object, "base", &entry->base, error) &&
        get_number(object, "version", &entry->version, error) &&
        get_text(object, "hash", entry->hash, sizeof entry->hash, error) &&
        get_text(object, "id", entry->id, sizeof entry->id, error);
    JsonNode *body = json_object_get_member(object, "body");
    if (!valid || body == NULL ||
        json_node_get_value_type(body) != G_TYPE_STRING) {
        return valid ? member_error(error, "body", "missing; write a string")
                     : FALSE;
    }
    entry->body = g_strdup(json_node_get_string(body));
    char hash[sizeof entry->hash];
    cq_record_hash(entry->body, hash);
    if (strcmp(hash, entry->hash) != 0) {
        return member_error(error, "hash",
                            "does not match the body; publish again");
    }
    return TRUE;
}

static gboolean
get_claim(JsonObject *object, cq_claim_t *claim, cq_error_t *error)
{
    char verdict[CQ_NAME_BYTES];
    guint64 status = 0;
    if (!get_id(object, "key_hi", &claim->key.hi, error) ||
        !get_id(object, "key_lo", &claim->key.lo, error) ||
        !get_id(object, "request", &claim->request, error) ||
        !get_text(object, "verdict", verdict, sizeof verdict, error) ||
        !get_number(object, "status", &status, error)) {
        return FALSE;
    }
    claim->status = (int)MIN(status, 999);
    for (guint i = 0; i < G_N_ELEMENTS(verdict_names); i++) {
        if (strcmp(verdict, verdict_names[i]) == 0) {
            claim->verdict = (cq_claim_verdict_t)i;
            return TRUE;
        }
    }
    return member_error(error, "verdict",
                        "write \"take\", \"free\" or \"ran\"");
}

static gboolean
get_lease(JsonObject *object, cq_lease_t *lease, cq_error_t *error)
{
    char verb[CQ_NAME_BYTES];
    guint64 host = 0;
    guint64 sent_us = 0;
    if (!get_text(object, "verb", verb, sizeof verb, error) ||
        !get_number(object, "host", &host, error) ||
        !get_id(object, "incarnation", &lease->incarnation, error) ||
        !get_id(object, "fence", &lease->fence, error) ||
        !get_id(object, "sent_us", &sent_us, error)) {
        return FALSE;
    }
    lease->host = (guint32)host;
    lease->sent_us = (gint64)sent_us;
    for (guint i = 0; i < G_N_ELEMENTS(verb_names); i++) {
        if (strcmp(verb, verb_names[i]) == 0) {
            lease->verb = (cq_lease_verb_t)i;
            return TRUE;
        }
    }
    return member_error(error, "verb",
                        "write \"take\", \"renew\" or \"release\"");
}

static gboolean
get_checkpoint(JsonObject *object, cq_record_t *record, cq_error_t *error)
{
    record->checkpoint = cq_record_entries_new();
    JsonNode *node = json_object_get_member(object, "services");
    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
        return member_error(error, "services", "missing; write an array");
    }
    JsonArray *array = json_node_get_array(node);
    for (guint i = 0; i < json_array_get_length(array); i++) {
        JsonNode *element = json_array_get_element(array, i);
        if (!JSON_NODE_HOLDS_OBJECT(element)) {
            return member_error(error, "services", "write objects");
        }
        cq_config_entry_t entry = {0};
        gboolean valid =
            get_entry(json_node_get_object(element), &entry, error);
        g_array_append_val(record->checkpoint, entry);
        if (!valid) {
            return FALSE;
        }
    }
    return TRUE;
}

static gboolean
get_record(JsonObject *object, cq_record_t *record, cq_error_t *error)
{
    char type[CQ_NAME_BYTES];
    if (!get_text(object, "type", type, sizeof type, error)) {
        return FALSE;
    }
    if (strcmp(type, kind_names[CQ_RECORD_CONFIG]) == 0) {
        record->kind = CQ_RECORD_CONFIG;
        return get_entry(object, &record->config, error);
    }
    if (strcmp(type, kind_names[CQ_RECORD_CLAIM]) == 0) {
        record->kind = CQ_RECORD_CLAIM;
        return get_claim(object, &record->claim, error);
    }
    if (strcmp(type, kind_names[CQ_RECORD_CHECKPOINT]) == 0) {
        record->kind = CQ_RECORD_CHECKPOINT;
        return get_checkpoint(object, record, error);
    }
    if (strcmp(type, kind_names[CQ_RECORD_LEASE]) == 0) {
        record->kind = CQ_RECORD_LEASE;
        return get_lease(object, &record->lease, error);
    }
    return member_error(
        error, "type",
        "unknown; write \"config\", \"claim\", \"checkpoint\" or "
        "\"lease\"");
}

gboolean
cq_record_decode(const char *text, cq_record_t *record, cq_error_t *error)
{
    *record = (cq_record_t){0};
    JsonParser *parser = json_parser_new();
    JsonObject *root = cq_json_parse_object(parser, text, strlen(text), error);
    gboolean valid = root != NULL && get_record(root, record, error);
    g_object_unref(parser);
    if (!valid) {
        cq_record_clear(record);
    }
    return valid;
}

void
cq_record_clear(cq_record_t *record)
{
    g_free(record->config.body);
    record->config.body = NULL;
    if (record->checkpoint != NULL) {
        g_array_unref(record->checkpoint);
        record->checkpoint = NULL;
    }
}
