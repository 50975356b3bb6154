/**
 * DOC: schema
 *
 * Checks TOML items against a table of permitted keys, and stores their values
 * in a struct.
 */
#ifndef CQ_SCHEMA_H
#define CQ_SCHEMA_H

#include <glib.h>

#include "base/error.h"
#include "config/toml.h"

G_BEGIN_DECLS

/** enum cq_field_type_t - type of a key's value and of the struct member */
typedef enum {
    CQ_FIELD_NAME,    /* letters, digits, '-', '_' and '.' */
    CQ_FIELD_TEXT,    /* any string shorter than @size */
    CQ_FIELD_ADDRESS, /* ip:port */
    CQ_FIELD_INTEGER, /* stored as a gint64 */
    CQ_FIELD_COUNT,   /* a number, bare or in quotes, stored as a gint64
                         without its fraction; "" keeps the default */
    CQ_FIELD_BOOLEAN, /* stored as a gboolean */
    CQ_FIELD_CHOICE,  /* one of @words, stored as its index, an int */
    CQ_FIELD_SHA256,  /* 64 lower-case hexadecimal digits */
} cq_field_type_t;

/**
 * struct cq_field_t - a permitted key
 * @section: name of the TOML table that it belongs to
 * @key: its name
 * @type: type of its value
 * @offset: offset of the member in the struct
 * @size: for strings: size of the member in bytes
 * @min: INTEGER, COUNT: smallest value
 * @max: INTEGER, COUNT: largest value
 * @required: whether the key must be present
 * @words: CHOICE: the permitted words, ended by NULL
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
 * cq_schema_find() - find the field of an item
 * @fields: the fields
 * @len: number of @fields
 * @item: the item
 * @file: file name for messages
 * @error: gets CQ_ERROR_KEY, with the permitted keys
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
 * @base: the struct that @offset of @field refers to
 * @error: gets CQ_ERROR_VALUE
 *
 * Return: whether the value is valid.
 */
gboolean
cq_schema_store(const cq_field_t *field, const cq_toml_item_t *item,
                const char *file, void *base, cq_error_t *error);

/**
 * cq_schema_required() - check that a TOML table has its required keys
 * @fields: the fields
 * @len: number of @fields
 * @items: array of cq_toml_item_t
 * @section: name of the TOML table
 * @table: its index in an array of tables, else 0
 * @file: file name for messages
 * @error: gets CQ_ERROR_KEY
 *
 * Return: whether none is missing.
 */
gboolean
cq_schema_required(const cq_field_t *fields, guint len, const GArray *items,
                   const char *section, guint table, const char *file,
                   cq_error_t *error);

/** cq_schema_count_tables() - Return: number of TOML tables named @section in
 * @items */
guint
cq_schema_count_tables(const GArray *items, const char *section);

G_END_DECLS

#endif
