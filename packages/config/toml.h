/**
 * DOC: toml
 *
 * Parses TOML with toml++ into a flat array of items.
 */
#ifndef CQ_TOML_H
#define CQ_TOML_H

#include <glib.h>

#include "base/error.h"
#include "base/limits.h"

G_BEGIN_DECLS

/** enum cq_toml_type_t - type of a value */
typedef enum {
    CQ_TOML_STRING,
    CQ_TOML_INTEGER,
    CQ_TOML_FLOAT,
    CQ_TOML_BOOLEAN,
    CQ_TOML_OTHER,
} cq_toml_type_t;

/**
 * struct cq_toml_item_t - one value
 * @section: name of its table, "" at top level
 * @table: index of its table in an array of tables, else 0
 * @key: its key
 * @element: index in an array of values, or -1 for a single value
 * @type: its type
 * @line: line in the file, from 1
 * @text: the string, or the value as text
 * @number: INTEGER: the value
 * @real: INTEGER, FLOAT: the value
 * @flag: BOOLEAN: the value
 */
typedef struct {
    char section[CQ_NAME_BYTES];
    guint table;
    char key[CQ_NAME_BYTES];
    int element;
    cq_toml_type_t type;
    guint line;
    char text[256];
    gint64 number;
    double real;
    gboolean flag;
} cq_toml_item_t;

/**
 * cq_toml_parse() - parse TOML
 * @text: the text
 * @file: its name, for messages
 * @items: array of cq_toml_item_t, to which the values are appended in file
 *   order
 * @error: gets CQ_ERROR_SYNTAX or CQ_ERROR_VALUE
 *
 * Return: whether the text is valid TOML and its strings are short enough.
 */
gboolean
cq_toml_parse(const char *text, const char *file, GArray *items,
              cq_error_t *error);

G_END_DECLS

#endif
