#include "router/refusal.h"

#include <json-glib/json-glib.h>

char *
cq_refusal_json(const char *code, cq_ran_t ran, gint64 retry_after_us,
                const char *remedy)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "code");
    json_builder_add_string_value(builder, code);
    json_builder_set_member_name(builder, "ran");
    json_builder_add_string_value(builder, cq_ran_text(ran));
    json_builder_set_member_name(builder, "retry_after_ms");
    json_builder_add_int_value(builder, retry_after_us / CQ_MS_US);
    json_builder_set_member_name(builder, "remedy");
    json_builder_add_string_value(builder, remedy);
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(builder);
    return text;
}
