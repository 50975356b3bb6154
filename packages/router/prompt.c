#include "router/prompt.h"

#include <string.h>

#include "config/json.h"

#define PREFIX_GROWTH 4
#define OUTPUT_TOKENS_MAX 1000000
#define STREAM_MEMBER ",\"stream\":true}"

static void
add_prefixes(cq_prompt_t *prompt, const char *text, gsize len)
{
    gsize bytes = CQ_PREFIX_BYTES_MIN;
    while (prompt->prefixes_len < CQ_PREFIX_LEVELS && bytes <= len) {
        char *prefix_text = g_strndup(text, bytes);
        cq_prefix_t *prefix = &prompt->prefixes[prompt->prefixes_len++];
        prefix->hash = cq_ident_hash(prefix_text);
        prefix->tokens = (gint64)bytes / CQ_BYTES_PER_TOKEN;
        g_free(prefix_text);
        bytes *= PREFIX_GROWTH;
    }
}

static void
set_prompt(cq_prompt_t *prompt, const char *text)
{
    gsize len = strlen(text);
    prompt->tokens = (gint64)(len / CQ_BYTES_PER_TOKEN) + 1;
    add_prefixes(prompt, text, len);
}

static const char *
string_member(JsonObject *object, const char *key)
{
    JsonNode *node = json_object_get_member(object, key);
    if (node == NULL || json_node_get_value_type(node) != G_TYPE_STRING) {
        return NULL;
    }
    return json_node_get_string(node);
}

static gboolean
read_chat(JsonObject *object, cq_prompt_t *prompt, cq_error_t *error)
{
    JsonNode *node = json_object_get_member(object, "messages");
    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
        return cq_error_set(error, CQ_ERROR_KEY,
                            "messages: missing; write an array of objects "
                            "with role and content");
    }
    JsonArray *array = json_node_get_array(node);
    GString *text = g_string_new("");
    for (guint i = 0; i < json_array_get_length(array); i++) {
        JsonNode *element = json_array_get_element(array, i);
        const char *content = NULL;
        if (JSON_NODE_HOLDS_OBJECT(element)) {
            content = string_member(json_node_get_object(element), "content");
        }
        if (content == NULL) {
            g_string_free(text, TRUE);
            return cq_error_set(error, CQ_ERROR_VALUE,
                                "messages[%u].content: missing; write a "
                                "string",
                                i);
        }
        g_string_append(text, content);
    }
    set_prompt(prompt, text->str);
    g_string_free(text, TRUE);
    return TRUE;
}

static gboolean
read_completion(JsonObject *object, cq_prompt_t *prompt, cq_error_t *error)
{
    const char *text = string_member(object, "prompt");
    if (text == NULL) {
        return cq_error_set(error, CQ_ERROR_KEY,
                            "prompt: missing; write a string");
    }
    set_prompt(prompt, text);
    return TRUE;
}

static gboolean
read_max_tokens(JsonObject *object, cq_prompt_t *prompt, cq_error_t *error)
{
    JsonNode *node = json_object_get_member(object, "max_tokens");
    if (node == NULL) {
        return TRUE;
    }
    gint64 tokens = 0;
    if (json_node_get_value_type(node) == G_TYPE_INT64) {
        tokens = json_node_get_int(node);
    }
    if (tokens < 1 || tokens > OUTPUT_TOKENS_MAX) {
        return cq_error_set(error, CQ_ERROR_VALUE,
                            "max_tokens: write an integer from 1 to %d",
                            OUTPUT_TOKENS_MAX);
    }
    prompt->output_tokens = tokens;
    return TRUE;
}

static gboolean
read_object(JsonObject *object, cq_prompt_t *prompt, cq_error_t *error)
{
    const char *model = string_member(object, "model");
    if (model == NULL) {
        return cq_error_set(error, CQ_ERROR_KEY,
                            "model: missing; write a string");
    }
    g_strlcpy(prompt->model, model, sizeof prompt->model);
    JsonNode *stream = json_object_get_member(object, "stream");
    if (stream != NULL && json_node_get_value_type(stream) == G_TYPE_BOOLEAN) {
        prompt->stream = json_node_get_boolean(stream);
    }
    if (!read_max_tokens(object, prompt, error)) {
        return FALSE;
    }
    if (prompt->chat) {
        return read_chat(object, prompt, error);
    }
    return read_completion(object, prompt, error);
}

gboolean
cq_prompt_read(GBytes *body, gboolean chat, cq_prompt_t *prompt,
               cq_error_t *error)
{
    *prompt = (cq_prompt_t){.chat = chat};
    gsize len;
    const char *text = g_bytes_get_data(body, &len);
    JsonParser *parser = json_parser_new();
    JsonObject *object = cq_json_parse_object(parser, text, len, error);
    gboolean valid = object != NULL && read_object(object, prompt, error);
    g_object_unref(parser);
    return valid;
}

/* JSON parsers use the last of several members with the same name. So the
 * member is appended, and the body with its long prompt need not be serialized
 * again. */
GBytes *
cq_prompt_for_engine(GBytes *body)
{
    gsize len;
    const char *text = g_bytes_get_data(body, &len);
    while (len > 0 && text[len - 1] != '}') {
        len--;
    }
    GByteArray *out = g_byte_array_sized_new((guint)len + 32);
    g_byte_array_append(out, (const guint8 *)text, (guint)len - 1);
    g_byte_array_append(out, (const guint8 *)STREAM_MEMBER,
                        strlen(STREAM_MEMBER));
    return g_byte_array_free_to_bytes(out);
}

void
cq_prompt_format_parts(const cq_parts_t *parts, char *to, gsize size)
{
    to[0] = '\0';
    for (guint i = 0; i < parts->len; i++) {
        char id[32];
        g_snprintf(id, sizeof id, "%s%" G_GINT64_MODIFIER "x",
                   i > 0 ? "," : "", parts->ids[i]);
        g_strlcat(to, id, size);
    }
}
