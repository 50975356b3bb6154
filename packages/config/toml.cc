#include "config/toml.h"

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include <algorithm>
#include <sstream>
#include <string>

namespace {

struct table_ref_t {
    std::string section;
    guint table;
};

struct parse_out_t {
    GArray *items;
    const char *file;
    cq_error_t *error;
    bool ok;
};

void
add_value(parse_out_t &out, const table_ref_t &table_ref,
          const std::string &key, int element, const toml::node &node)
{
    cq_toml_item_t item = {};
    g_strlcpy(item.section, table_ref.section.c_str(), sizeof item.section);
    g_strlcpy(item.key, key.c_str(), sizeof item.key);
    item.table = table_ref.table;
    item.element = element;
    item.line = node.source().begin.line;
    item.type = CQ_TOML_OTHER;
    if (auto text = node.as_string()) {
        item.type = CQ_TOML_STRING;
        if (text->get().size() >= sizeof item.text) {
            out.ok = cq_error_set(
                out.error, CQ_ERROR_VALUE,
                "%s:%u: %s: the string has %zu bytes; write at most %zu",
                out.file, item.line, key.c_str(), text->get().size(),
                sizeof item.text - 1);
            return;
        }
        g_strlcpy(item.text, text->get().c_str(), sizeof item.text);
    }
    else if (auto number = node.as_integer()) {
        item.type = CQ_TOML_INTEGER;
        item.number = number->get();
        item.real = static_cast<double>(item.number);
        g_snprintf(item.text, sizeof item.text, "%" G_GINT64_FORMAT,
                   item.number);
    }
    else if (auto real = node.as_floating_point()) {
        item.type = CQ_TOML_FLOAT;
        item.real = real->get();
        g_ascii_dtostr(item.text, sizeof item.text, item.real);
    }
    else if (auto flag = node.as_boolean()) {
        item.type = CQ_TOML_BOOLEAN;
        item.flag = flag->get();
        g_strlcpy(item.text, item.flag ? "true" : "false", sizeof item.text);
    }
    else {
        g_strlcpy(item.text, "a table, array or date", sizeof item.text);
    }
    g_array_append_val(out.items, item);
}

void
add_table(parse_out_t &out, const table_ref_t &table_ref,
          const toml::table &table);

void
add_array(parse_out_t &out, const table_ref_t &table_ref,
          const std::string &key, const toml::array &array)
{
    int element = 0;
    for (const toml::node &node : array) {
        const toml::table *table = node.as_table();
        if (table != nullptr && table_ref.section.empty()) {
            add_table(out, {key, static_cast<guint>(element)}, *table);
        }
        else {
            add_value(out, table_ref, key, element, node);
        }
        element++;
    }
}

void
add_table(parse_out_t &out, const table_ref_t &table_ref,
          const toml::table &table)
{
    for (const auto &[key, node] : table) {
        std::string name(key.str());
        if (const toml::array *array = node.as_array()) {
            add_array(out, table_ref, name, *array);
        }
        else if (node.is_table() && table_ref.section.empty()) {
            add_table(out, {name, 0}, *node.as_table());
        }
        else {
            add_value(out, table_ref, name, -1, node);
        }
    }
}

int
by_line(gconstpointer a, gconstpointer b)
{
    auto x = static_cast<const cq_toml_item_t *>(a);
    auto y = static_cast<const cq_toml_item_t *>(b);
    return static_cast<int>(x->line) - static_cast<int>(y->line);
}

} // namespace

gboolean
cq_toml_parse(const char *text, const char *file, GArray *items,
              cq_error_t *error)
{
    try {
        toml::table table = toml::parse(text);
        parse_out_t out = {items, file, error, true};
        add_table(out, {"", 0}, table);
        g_array_sort(items, by_line);
        return out.ok ? TRUE : FALSE;
    } catch (const toml::parse_error &parse_failure) {
        std::string reason(parse_failure.description());
        return cq_error_set(error, CQ_ERROR_SYNTAX,
                            "%s:%u: not TOML: %s; correct the line", file,
                            parse_failure.source().begin.line, reason.c_str());
    }
}
