/**
 * DOC: schema
 *
 * Checks a list of TOML items against a table of keys and fills a struct.
 */
#ifndef CQ_SCHEMA_H
#define CQ_SCHEMA_H

#include <glib.h>

#include "base/error.h"
#include "config/toml.h"

G_BEGIN_DECLS

/** enum cq_field_type_t - type of a field */
typedef enum {
    CQ_FIELD_NAME,    /* letters, digits, '-', '_' and '.' */
    CQ_FIELD_TEXT,    /* any string that fits */
    CQ_FIELD_ADDRESS, /* ip:port */
    CQ_FIELD_INTEGER,
    CQ_FIELD_BOOLEAN,
    CQ_FIELD_CHOICE, /* one of the words in @words, stored as its index */
    CQ_FIELD_SHA256, /* 64 hexadecimal digits */
} cq_field_type_t;

/**
 * struct cq_field_t - one key
 * @section: its table
 * @key: its name
 * @type: its type
 * @offset: where the value goes in the struct
 * @size: bytes there, for strings
 * @min: INTEGER: least value
 * @max: INTEGER: largest value
 * @required: whether it must be given
 * @words: CHOICE: NULL-terminated words
 */
typedef struct {
    const char *section;
    const char *key;
    cq_field_type_t type;
    gsize offset;
    gsize size;
    gint64 min;
    gint64 max;
    gboolean required;
    const char *const *words;
} cq_field_t;

/**
 * cq_schema_find() - the field of an item
 * @fields: the fields
 * @len: number of @fields
 * @item: the item
 * @file: file name for messages
 * @error: gets CQ_ERROR_KEY, with the keys that the table knows
 *
 * Return: the field, or NULL.
 */
const cq_field_t *
cq_schema_find(const cq_field_t *fields, guint len, const cq_toml_item_t *item,
               const char *file, cq_error_t *error);

/**
 * cq_schema_store() - check an item and store its value
 * @field: its field
 * @item: the item
 * @file: file name for messages
 * @base: the struct
 * @error: gets CQ_ERROR_VALUE
 *
 * Return: whether the value is right.
 */
gboolean
cq_schema_store(const cq_field_t *field, const cq_toml_item_t *item,
                const char *file, void *base, cq_error_t *error);

/**
 * cq_schema_required() - test that a table has its required keys
 * @fields: the fields
 * @len: number of @fields
 * @items: array of cq_toml_item_t
 * @section: the table
 * @table: its index
 * @file: file name for messages
 * @error: gets CQ_ERROR_KEY
 *
 * Return: whether none is missing.
 */
gboolean
cq_schema_required(const cq_field_t *fields, guint len, const GArray *items,
                   const char *section, guint table, const char *file,
                   cq_error_t *error);

/** cq_schema_count_tables() - Return: number of tables named @section in
 * @items */
guint
cq_schema_count_tables(const GArray *items, const char *section);

G_END_DECLS

#endif
