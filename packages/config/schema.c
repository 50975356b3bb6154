#include "config/schema.h"

#include <string.h>

#define PORT_MAX 65535
#define SHA256_DIGITS 64

/* Sets @error for @item; Return: FALSE. */
static gboolean
value_error(cq_error_t *error, const cq_toml_item_t *item, const char *file,
            const char *remedy)
{
    return cq_error_set(error, CQ_ERROR_VALUE, "%s:%u: %s.%s: found %s; %s",
                        file, item->line, item->section, item->key, item->text,
                        remedy);
}

const cq_field_t *
cq_schema_find(const cq_field_t *fields, guint len, const cq_toml_item_t *item,
               const char *file, cq_error_t *error)
{
    GString *permitted = g_string_new("");
    for (guint i = 0; i < len; i++) {
        if (strcmp(fields[i].section, item->section) != 0) {
            continue;
        }
        if (strcmp(fields[i].key, item->key) == 0) {
            g_string_free(permitted, TRUE);
            return &fields[i];
        }
        g_string_append_printf(permitted, " %s", fields[i].key);
    }
    if (permitted->len == 0) {
        for (guint i = 0; i < len; i++) {
            if (i == 0 ||
                strcmp(fields[i].section, fields[i - 1].section) != 0) {
                g_string_append_printf(permitted, " [%s]", fields[i].section);
            }
        }
    }
    cq_error_set(error, CQ_ERROR_KEY,
                 "%s:%u: %s.%s: unknown key, found %s; write one of:%s", file,
                 item->line, item->section, item->key, item->text,
                 permitted->str);
    g_string_free(permitted, TRUE);
    return NULL;
}

static gboolean
is_name(const char *text)
{
    if (text[0] == '\0') {
        return FALSE;
    }
    for (; *text != '\0'; text++) {
        if (!g_ascii_isalnum(*text) && strchr("-_.", *text) == NULL) {
            return FALSE;
        }
    }
    return TRUE;
}

static gboolean
is_address(const char *text)
{
    const char *colon = strrchr(text, ':');
    if (colon == NULL) {
        return FALSE;
    }
    char *ip = g_strndup(text, (gsize)(colon - text));
    gsize len = strlen(ip);
    gboolean is_ipv6 = len > 2 && ip[0] == '[' && ip[len - 1] == ']';
    if (is_ipv6) {
        ip[len - 1] = '\0';
    }
    gboolean ip_valid = g_hostname_is_ip_address(is_ipv6 ? ip + 1 : ip);
    g_free(ip);
    guint64 port = 0;
    gboolean port_valid =
        g_ascii_string_to_unsigned(colon + 1, 10, 1, PORT_MAX, &port, NULL);
    return ip_valid && port_valid;
}

static gboolean
is_sha256(const char *text)
{
    if (strlen(text) != SHA256_DIGITS) {
        return FALSE;
    }
    for (; *text != '\0'; text++) {
        if (!g_ascii_isdigit(*text) && (*text < 'a' || *text > 'f')) {
            return FALSE;
        }
    }
    return TRUE;
}

static gboolean
store_string(const cq_field_t *field, const cq_toml_item_t *item,
             const char *file, char *to, cq_error_t *error)
{
    if (item->type != CQ_TOML_STRING) {
        return value_error(error, item, file,
                           "write a string in double quotes");
    }
    if (strlen(item->text) >= field->size) {
        return value_error(error, item, file, "write a shorter string");
    }
    if (field->type == CQ_FIELD_NAME && !is_name(item->text)) {
        return value_error(error, item, file,
                           "write letters, digits, '-', '_' and '.' only");
    }
    if (field->type == CQ_FIELD_ADDRESS && !is_address(item->text)) {
        return value_error(
            error, item, file,
            "write an IP number and a port, as \"127.0.0.1:8080\"");
    }
    if (field->type == CQ_FIELD_SHA256 && !is_sha256(item->text)) {
        return value_error(
            error, item, file,
            "write 64 lower-case hexadecimal digits, as sha256sum "
            "prints them");
    }
    g_strlcpy(to, item->text, field->size);
    return TRUE;
}

static gboolean
store_integer(const cq_field_t *field, const cq_toml_item_t *item,
              const char *file, gint64 *to, cq_error_t *error)
{
    gboolean is_integer = item->type == CQ_TOML_INTEGER;
    if (!is_integer || item->number < field->min ||
        item->number > field->max) {
        char remedy[128];
        g_snprintf(remedy, sizeof remedy,
                   "write an integer from %" G_GINT64_FORMAT
                   " to %" G_GINT64_FORMAT,
                   field->min, field->max);
        return value_error(error, item, file, remedy);
    }
    *to = item->number;
    return TRUE;
}

/* Return: whether @item is a number, bare or in quotes. */
static gboolean
parse_number(const cq_toml_item_t *item, double *number)
{
    *number = item->real;
    if (item->type == CQ_TOML_STRING) {
        char *end = NULL;
        *number = g_ascii_strtod(item->text, &end);
        return end != item->text && *end == '\0';
    }
    return item->type == CQ_TOML_INTEGER || item->type == CQ_TOML_FLOAT;
}

static gboolean
store_count(const cq_field_t *field, const cq_toml_item_t *item,
            const char *file, gint64 *to, cq_error_t *error)
{
    if (item->type == CQ_TOML_STRING && item->text[0] == '\0') {
        return TRUE;
    }
    double number;
    /* The comparisons are false for NaN. */
    if (!parse_number(item, &number) || !(number >= (double)field->min) ||
        !(number <= (double)field->max)) {
        char remedy[128];
        g_snprintf(remedy, sizeof remedy,
                   "write a number from %" G_GINT64_FORMAT
                   " to %" G_GINT64_FORMAT,
                   field->min, field->max);
        return value_error(error, item, file, remedy);
    }
    *to = (gint64)number;
    return TRUE;
}

static gboolean
store_choice(const cq_field_t *field, const cq_toml_item_t *item,
             const char *file, int *to, cq_error_t *error)
{
    for (int i = 0; field->words[i] != NULL; i++) {
        gboolean string = item->type == CQ_TOML_STRING;
        if (string && strcmp(field->words[i], item->text) == 0) {
            *to = i;
            return TRUE;
        }
    }
    char *words = g_strjoinv("\" or \"", (char **)field->words);
    char *remedy = g_strdup_printf("write \"%s\"", words);
    value_error(error, item, file, remedy);
    g_free(words);
    g_free(remedy);
    return FALSE;
}

gboolean
cq_schema_store(const cq_field_t *field, const cq_toml_item_t *item,
                const char *file, void *base, cq_error_t *error)
{
    void *to = (char *)base + field->offset;
    switch (field->type) {
    case CQ_FIELD_NAME:
    case CQ_FIELD_TEXT:
    case CQ_FIELD_ADDRESS:
    case CQ_FIELD_SHA256:
        return store_string(field, item, file, to, error);
    case CQ_FIELD_INTEGER:
        return store_integer(field, item, file, to, error);
    case CQ_FIELD_COUNT:
        return store_count(field, item, file, to, error);
    case CQ_FIELD_BOOLEAN:
        if (item->type != CQ_TOML_BOOLEAN) {
            return value_error(error, item, file, "write true or false");
        }
        *(gboolean *)to = item->flag;
        return TRUE;
    case CQ_FIELD_CHOICE:
        return store_choice(field, item, file, to, error);
    }
    return FALSE;
}

gboolean
cq_schema_required(const cq_field_t *fields, guint len, const GArray *items,
                   const char *section, guint table, const char *file,
                   cq_error_t *error)
{
    for (guint i = 0; i < len; i++) {
        if (!fields[i].required || strcmp(fields[i].section, section) != 0) {
            continue;
        }
        gboolean found = FALSE;
        guint line = 0;
        for (guint k = 0; k < items->len; k++) {
            const cq_toml_item_t *item =
                &g_array_index(items, cq_toml_item_t, k);
            if (strcmp(item->section, section) != 0 || item->table != table) {
                continue;
            }
            line = line == 0 ? item->line : line;
            found = found || strcmp(item->key, fields[i].key) == 0;
        }
        if (!found) {
            return cq_error_set(error, CQ_ERROR_KEY,
                                "%s:%u: %s.%s: missing; add %s = ... to [%s]",
                                file, MAX(line, 1), section, fields[i].key,
                                fields[i].key, section);
        }
    }
    return TRUE;
}

guint
cq_schema_count_tables(const GArray *items, const char *section)
{
    guint count = 0;
    for (guint i = 0; i < items->len; i++) {
        const cq_toml_item_t *item = &g_array_index(items, cq_toml_item_t, i);
        if (strcmp(item->section, section) == 0) {
            count = MAX(count, item->table + 1);
        }
    }
    return count;
}
