#include "router/heads.h"

#include <string.h>

#define CLOSE_FIELD "Connection: close\r\n"

void
cq_heads_append_local(GString *out, int status, const char *extra, gsize len,
                      gboolean keep_open)
{
    g_string_append_printf(out,
                           "HTTP/1.1 %d %s\r\n%sContent-Type: "
                           "application/json\r\nContent-Length: %zu\r\n%s\r\n",
                           status, cq_h1_reason_phrase(status), extra, len,
                           keep_open ? "" : CLOSE_FIELD);
}

void
cq_heads_append_upstream(GString *out, const cq_h1_head_t *head,
                         gboolean keep_open)
{
    g_string_append_printf(out, "HTTP/1.1 %d %s\r\n", head->status,
                           cq_h1_reason_phrase(head->status));
    for (guint i = 0; i < head->fields->len; i++) {
        const cq_h1_field_t *field =
            &g_array_index(head->fields, cq_h1_field_t, i);
        if (!cq_h1_is_hop_by_hop(head, field->name) &&
            g_ascii_strcasecmp(field->name, "Content-Length") != 0) {
            g_string_append_printf(out, "%s: %s\r\n", field->name,
                                   field->value);
        }
    }
    if (!keep_open) {
        g_string_append(out, CLOSE_FIELD);
    }
}

void
cq_heads_to_origin_form(cq_h1_head_t *head)
{
    static const char scheme[] = "http://";
    gsize scheme_len = strlen(scheme);
    if (g_ascii_strncasecmp(head->target, scheme, scheme_len) != 0) {
        return;
    }
    const char *authority = head->target + scheme_len;
    gsize authority_len = strcspn(authority, "/?#");
    const char *path = authority + authority_len;
    char *target = g_strconcat(path[0] == '/' ? "" : "/", path, NULL);
    for (guint i = 0; i < head->fields->len; i++) {
        cq_h1_field_t *field = &g_array_index(head->fields, cq_h1_field_t, i);
        if (g_ascii_strcasecmp(field->name, "Host") == 0) {
            g_free(field->value);
            field->value = g_strndup(authority, authority_len);
        }
    }
    g_free(head->target);
    head->target = target;
}

gboolean
cq_heads_without_body(const cq_h1_head_t *request, int status)
{
    return strcmp(request->method, "HEAD") == 0 || status == 204 ||
           status == 304;
}

const char *
cq_heads_rejection(cq_h1_error_t error, gboolean body_too_long, int *status)
{
    if (error == CQ_H1_HEAD_TOO_LONG) {
        *status = 431;
        return "{\"code\":\"head_too_long\",\"ran\":\"no\"}";
    }
    if (error == CQ_H1_SYNTAX) {
        *status = 400;
        return "{\"code\":\"bad_request\",\"ran\":\"no\"}";
    }
    if (body_too_long) {
        *status = 413;
        return "{\"code\":\"body_too_long\",\"ran\":\"no\"}";
    }
    return NULL;
}
