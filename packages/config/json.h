/**
 * DOC: json
 *
 * Reading of JSON texts from other processes. A text is checked before it is
 * parsed, as the parser calls itself for each level of nesting and would
 * exhaust the stack.
 */
#ifndef CQ_JSON_H
#define CQ_JSON_H

#include <json-glib/json-glib.h>

#include "base/error.h"

G_BEGIN_DECLS

/**
 * cq_json_parse() - parse a JSON text
 * @parser: gets the parsed text and owns the result
 * @text: the text; need not end in a zero byte; may be NULL if @len is 0
 * @len: its length in bytes
 * @error: gets CQ_ERROR_LIMIT if the text is longer than CQ_JSON_BYTES_MAX or
 *   nested deeper than CQ_JSON_DEPTH_MAX, or CQ_ERROR_SYNTAX
 *
 * Return: the root, or NULL and @error.
 */
JsonNode *
cq_json_parse(JsonParser *parser, const char *text, gsize len,
              cq_error_t *error);

/** cq_json_parse_object() - like cq_json_parse(), for a text that must be an
 * object; Return: the object, owned by @parser, or NULL and @error */
JsonObject *
cq_json_parse_object(JsonParser *parser, const char *text, gsize len,
                     cq_error_t *error);

/** cq_json_text() - Return: the text of member @name, or "" if it is missing
 * or of another type */
const char *
cq_json_text(JsonObject *object, const char *name);

/** cq_json_array() - Return: the array in member @name, or NULL if it is
 * missing or of another type */
JsonArray *
cq_json_array(JsonObject *object, const char *name);

/** cq_json_element() - Return: the object at index @i, or NULL if another
 * value is there */
JsonObject *
cq_json_element(JsonArray *array, guint i);

G_END_DECLS

#endif
