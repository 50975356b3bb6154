#include "config/json.h"

#include <string.h>

#include "base/limits.h"

/* All characters that JSON has outside of strings. The parser also takes
 * comments and other quotes, in which brackets and quotes mean something else
 * than here. */
static const char outside_strings[] = "{}[],: \t\r\n\"+-.0123456789Etruefalsn";

/* Return: the position of the quote that ends the string which begins before
 * @i, or @len. */
static gsize
string_end(const char *text, gsize len, gsize i)
{
    while (i < len && text[i] != '"') {
        i += text[i] == '\\' ? 2 : 1;
    }
    return MIN(i, len);
}

static gboolean
check_text(const char *text, gsize len, cq_error_t *error)
{
    if (len > CQ_JSON_BYTES_MAX) {
        return cq_error_set(error, CQ_ERROR_LIMIT,
                            "%zu bytes of JSON; write at most %d", len,
                            CQ_JSON_BYTES_MAX);
    }
    guint depth = 0;
    for (gsize i = 0; i < len; i++) {
        char c = text[i];
        if (c == '\0' || strchr(outside_strings, c) == NULL) {
            return cq_error_set(error, CQ_ERROR_SYNTAX,
                                "byte %zu is none that JSON has outside of "
                                "strings; write a JSON object",
                                i);
        }
        if (c == '"') {
            i = string_end(text, len, i + 1);
        }
        else if (c == '{' || c == '[') {
            depth++;
        }
        else if ((c == '}' || c == ']') && depth > 0) {
            depth--;
        }
        if (depth > CQ_JSON_DEPTH_MAX) {
            return cq_error_set(error, CQ_ERROR_LIMIT,
                                "nested deeper than %d at byte %zu; nest less",
                                CQ_JSON_DEPTH_MAX, i);
        }
    }
    return TRUE;
}

JsonNode *
cq_json_parse(JsonParser *parser, const char *text, gsize len,
              cq_error_t *error)
{
    if (len == 0) {
        cq_error_set(error, CQ_ERROR_SYNTAX, "empty; write a JSON object");
        return NULL;
    }
    if (!check_text(text, len, error)) {
        return NULL;
    }
    GError *cause = NULL;
    if (!json_parser_load_from_data(parser, text, (gssize)len, &cause)) {
        cq_error_set(error, CQ_ERROR_SYNTAX, "%s; write a JSON object",
                     cause->message);
        g_clear_error(&cause);
        return NULL;
    }
    JsonNode *root = json_parser_get_root(parser);
    if (root == NULL) {
        cq_error_set(error, CQ_ERROR_SYNTAX, "empty; write a JSON object");
    }
    return root;
}

JsonObject *
cq_json_parse_object(JsonParser *parser, const char *text, gsize len,
                     cq_error_t *error)
{
    JsonNode *root = cq_json_parse(parser, text, len, error);
    if (root == NULL) {
        return NULL;
    }
    if (!JSON_NODE_HOLDS_OBJECT(root)) {
        cq_error_set(error, CQ_ERROR_SYNTAX, "no object; write a JSON object");
        return NULL;
    }
    return json_node_get_object(root);
}

const char *
cq_json_text(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    if (node == NULL || json_node_get_value_type(node) != G_TYPE_STRING) {
        return "";
    }
    return json_node_get_string(node);
}

JsonArray *
cq_json_array(JsonObject *object, const char *name)
{
    JsonNode *node = json_object_get_member(object, name);
    if (node == NULL || !JSON_NODE_HOLDS_ARRAY(node)) {
        return NULL;
    }
    return json_node_get_array(node);
}

JsonObject *
cq_json_element(JsonArray *array, guint i)
{
    JsonNode *node = json_array_get_element(array, i);
    return JSON_NODE_HOLDS_OBJECT(node) ? json_node_get_object(node) : NULL;
}
