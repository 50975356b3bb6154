#include "http/h1.h"

#include <http_parser.h>
#include <string.h>

struct cq_h1 {
    cq_h1_options_t options;
    http_parser parser;
    http_parser_settings callbacks;
    cq_h1_head_t head;
    GString *target;
    GString *name;
    GString *value;
    gboolean in_value; /* the last bytes were of a field's value */
    gboolean in_message;
    gboolean message_complete; /* done() is still to be called */
    gboolean no_body;          /* the response is to a HEAD request */
    gsize head_bytes;
    const char *bytes;      /* given to the running cq_h1_feed() */
    gboolean after_newline; /* those before ended with a newline and blanks */
    cq_h1_error_t error;
};

static void
clear_field(gpointer data)
{
    cq_h1_field_t *field = data;
    g_free(field->name);
    g_free(field->value);
}

static gboolean
is_blank(char c)
{
    return c == ' ' || c == '\t';
}

/* Whether @text has the characters of a token (RFC 9110, 5.6.2) only. */
static gboolean
is_token(const char *text)
{
    for (const char *c = text; *c != '\0'; c++) {
        if (!g_ascii_isalnum(*c) && strchr("!#$%&'*+-.^_`|~", *c) == NULL) {
            return FALSE;
        }
    }
    return text[0] != '\0';
}

/* Blanks before the colon are removed from a response, and make a request
 * invalid (RFC 9112, 5.1). Return: FALSE if the field is invalid. */
static gboolean
add_field(cq_h1_t *reader)
{
    if (reader->name->len > 0) {
        if (reader->options.parse_responses) {
            g_strchomp(reader->name->str);
        }
        if (!is_token(reader->name->str)) {
            reader->error = CQ_H1_SYNTAX;
            return FALSE;
        }
        cq_h1_field_t field = {
            .name = g_strdup(reader->name->str),
            .value = g_strstrip(g_strdup(reader->value->str)),
        };
        g_array_append_val(reader->head.fields, field);
    }
    g_string_truncate(reader->name, 0);
    g_string_truncate(reader->value, 0);
    reader->in_value = FALSE;
    return TRUE;
}

static int
on_begin(http_parser *parser)
{
    cq_h1_t *reader = parser->data;
    g_array_set_size(reader->head.fields, 0);
    g_string_truncate(reader->target, 0);
    g_string_truncate(reader->name, 0);
    g_string_truncate(reader->value, 0);
    reader->in_value = FALSE;
    reader->head_bytes = 0;
    reader->in_message = TRUE;
    return 0;
}

/* Counts @len bytes of the head; Return: 1, which stops the parser, when the
 * head is too long, else 0. */
static int
count_head_bytes(cq_h1_t *reader, gsize len)
{
    gsize max = reader->options.head_bytes_max;
    reader->head_bytes += len;
    if (max == 0 || reader->head_bytes <= max) {
        return 0;
    }
    reader->error = CQ_H1_HEAD_TOO_LONG;
    return 1;
}

static int
on_target(http_parser *parser, const char *at, size_t len)
{
    cq_h1_t *reader = parser->data;
    g_string_append_len(reader->target, at, (gssize)len);
    return count_head_bytes(reader, len);
}

static int
on_name(http_parser *parser, const char *at, size_t len)
{
    cq_h1_t *reader = parser->data;
    if (reader->in_value && !add_field(reader)) {
        return 1;
    }
    g_string_append_len(reader->name, at, (gssize)len);
    return count_head_bytes(reader, len);
}

/* Whether only blanks are between @at and the beginning of its line: the line
 * continues the field before it. */
static gboolean
is_folded(const cq_h1_t *reader, const char *at)
{
    while (at > reader->bytes && is_blank(at[-1])) {
        at--;
    }
    return at > reader->bytes ? at[-1] == '\n' : reader->after_newline;
}

static int
on_value(http_parser *parser, const char *at, size_t len)
{
    cq_h1_t *reader = parser->data;
    /* An empty value is reported at the beginning of the next line. */
    if (len > 0 && is_folded(reader, at)) {
        reader->error = CQ_H1_SYNTAX;
        return 1;
    }
    reader->in_value = TRUE;
    g_string_append_len(reader->value, at, (gssize)len);
    return count_head_bytes(reader, len);
}

static gboolean
is_interim(const cq_h1_t *reader)
{
    return reader->options.parse_responses && reader->parser.status_code < 200;
}

/* Whether the body comes as the head says: the only coding that is known is
 * one `chunked`, which HTTP/1.0 doesn't have (RFC 9112, 6.1). */
static gboolean
has_known_framing(const cq_h1_t *reader)
{
    const cq_h1_head_t *head = &reader->head;
    guint codings = cq_h1_count_fields(head, "Transfer-Encoding");
    if (codings == 0) {
        return TRUE;
    }
    const char *coding = cq_h1_get_field(head, "Transfer-Encoding");
    return codings == 1 && g_ascii_strcasecmp(coding, "chunked") == 0 &&
           (!head->is_http10 || reader->options.parse_responses);
}

static int
on_head(http_parser *parser)
{
    cq_h1_t *reader = parser->data;
    if (!add_field(reader)) {
        return -1;
    }
    cq_h1_head_t *head = &reader->head;
    head->target = reader->target->str;
    head->status =
        reader->options.parse_responses ? (int)parser->status_code : 0;
    const char *method = http_method_str((enum http_method)parser->method);
    head->method = reader->options.parse_responses ? "" : (char *)method;
    head->has_framing = (parser->flags & F_CHUNKED) != 0 ||
                        parser->content_length != ULLONG_MAX;
    head->keep_alive = http_should_keep_alive(parser) != 0;
    head->is_http10 = parser->http_major == 1 && parser->http_minor == 0;
    const char *expect = cq_h1_get_field(head, "Expect");
    head->expects_continue =
        expect != NULL && g_ascii_strcasecmp(expect, "100-continue") == 0;
    /* 1 means that no body follows. An interim response has none, whatever its
     * fields say (RFC 9110, 15.2). */
    if (is_interim(reader)) {
        return 1;
    }
    if (!has_known_framing(reader)) {
        reader->error = CQ_H1_SYNTAX;
        return -1;
    }
    reader->options.ops.head(reader->options.ops.data, head);
    return reader->no_body ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *at, size_t len)
{
    cq_h1_t *reader = parser->data;
    reader->options.ops.body(reader->options.ops.data, at, len);
    return 0;
}

static int
on_done(http_parser *parser)
{
    cq_h1_t *reader = parser->data;
    reader->in_message = FALSE;
    if (!is_interim(reader)) {
        reader->message_complete = TRUE;
        http_parser_pause(parser, 1);
    }
    return 0;
}

cq_h1_t *
cq_h1_new(const cq_h1_options_t *options)
{
    cq_h1_t *reader = g_new0(cq_h1_t, 1);
    reader->options = *options;
    http_parser_init(&reader->parser,
                     options->parse_responses ? HTTP_RESPONSE : HTTP_REQUEST);
    http_parser_settings_init(&reader->callbacks);
    reader->callbacks.on_message_begin = on_begin;
    reader->callbacks.on_url = on_target;
    reader->callbacks.on_header_field = on_name;
    reader->callbacks.on_header_value = on_value;
    reader->callbacks.on_headers_complete = on_head;
    reader->callbacks.on_body = on_body;
    reader->callbacks.on_message_complete = on_done;
    reader->parser.data = reader;
    reader->head.fields = g_array_new(FALSE, FALSE, sizeof(cq_h1_field_t));
    g_array_set_clear_func(reader->head.fields, clear_field);
    reader->target = g_string_new("");
    reader->name = g_string_new("");
    reader->value = g_string_new("");
    return reader;
}

void
cq_h1_free(cq_h1_t *reader)
{
    g_array_unref(reader->head.fields);
    g_string_free(reader->target, TRUE);
    g_string_free(reader->name, TRUE);
    g_string_free(reader->value, TRUE);
    g_free(reader);
}

void
cq_h1_set_request_method(cq_h1_t *reader, const char *method)
{
    reader->no_body = strcmp(method, "HEAD") == 0;
}

/* Calls done() if a message is complete and prepares for the next one. */
static void
finish_message(cq_h1_t *reader)
{
    if (!reader->message_complete) {
        return;
    }
    reader->message_complete = FALSE;
    http_parser_pause(&reader->parser, 0);
    /* After a message with `Connection: close` http_parser accepts no further
     * message unless it is initialized again. */
    http_parser_init(&reader->parser, reader->options.parse_responses
                                          ? HTTP_RESPONSE
                                          : HTTP_REQUEST);
    reader->parser.data = reader;
    reader->options.ops.done(reader->options.ops.data);
}

static void
note_newline(cq_h1_t *reader, gsize used)
{
    const char *end = reader->bytes + used;
    while (end > reader->bytes && is_blank(end[-1])) {
        end--;
    }
    if (end > reader->bytes) {
        reader->after_newline = end[-1] == '\n';
    }
    reader->bytes = NULL;
}

gsize
cq_h1_feed(cq_h1_t *reader, const char *bytes, gsize len)
{
    if (reader->error != CQ_H1_OK) {
        return 0;
    }
    reader->bytes = bytes;
    gsize used =
        http_parser_execute(&reader->parser, &reader->callbacks, bytes, len);
    note_newline(reader, used);
    enum http_errno code = HTTP_PARSER_ERRNO(&reader->parser);
    if (reader->error != CQ_H1_OK) {
        return used;
    }
    if (code == HPE_HEADER_OVERFLOW) {
        reader->error = CQ_H1_HEAD_TOO_LONG;
        return used;
    }
    if (code != HPE_OK && code != HPE_PAUSED) {
        reader->error = CQ_H1_SYNTAX;
        return used;
    }
    /* If on_done() has paused the parser, http_parser_execute() returns the
     * number of bytes up to and including the last one of the message. */
    finish_message(reader);
    return used;
}

gboolean
cq_h1_connection_closed(cq_h1_t *reader)
{
    if (!reader->in_message) {
        return TRUE;
    }
    if (reader->error != CQ_H1_OK) {
        return FALSE;
    }
    http_parser_execute(&reader->parser, &reader->callbacks, NULL, 0);
    gboolean complete = reader->message_complete;
    finish_message(reader);
    return complete;
}

cq_h1_error_t
cq_h1_error(const cq_h1_t *reader)
{
    return reader->error;
}

gboolean
cq_h1_in_message(const cq_h1_t *reader)
{
    return reader->in_message;
}

void
cq_h1_copy_head(cq_h1_head_t *to, const cq_h1_head_t *head)
{
    *to = *head;
    to->method = g_strdup(head->method);
    to->target = g_strdup(head->target);
    to->fields = g_array_sized_new(FALSE, FALSE, sizeof(cq_h1_field_t),
                                   head->fields->len);
    g_array_set_clear_func(to->fields, clear_field);
    for (guint i = 0; i < head->fields->len; i++) {
        const cq_h1_field_t *from =
            &g_array_index(head->fields, cq_h1_field_t, i);
        cq_h1_field_t field = {g_strdup(from->name), g_strdup(from->value)};
        g_array_append_val(to->fields, field);
    }
}

void
cq_h1_clear_head(cq_h1_head_t *head)
{
    g_clear_pointer(&head->fields, g_array_unref);
    g_clear_pointer(&head->method, g_free);
    g_clear_pointer(&head->target, g_free);
}

const char *
cq_h1_get_field(const cq_h1_head_t *head, const char *name)
{
    for (guint i = 0; i < head->fields->len; i++) {
        const cq_h1_field_t *field =
            &g_array_index(head->fields, cq_h1_field_t, i);
        if (g_ascii_strcasecmp(field->name, name) == 0) {
            return field->value;
        }
    }
    return NULL;
}

guint
cq_h1_count_fields(const cq_h1_head_t *head, const char *name)
{
    guint count = 0;
    for (guint i = 0; i < head->fields->len; i++) {
        const cq_h1_field_t *field =
            &g_array_index(head->fields, cq_h1_field_t, i);
        count += g_ascii_strcasecmp(field->name, name) == 0;
    }
    return count;
}

/* Return: whether @name is in the comma-separated @list. */
static gboolean
list_contains(const char *list, const char *name)
{
    gsize len = strlen(name);
    while (*list != '\0') {
        list += strspn(list, " \t,");
        gsize item_len = strcspn(list, " \t,");
        if (item_len == len && g_ascii_strncasecmp(list, name, len) == 0) {
            return TRUE;
        }
        list += item_len;
    }
    return FALSE;
}

gboolean
cq_h1_is_hop_by_hop(const cq_h1_head_t *head, const char *name)
{
    static const char *const hop_by_hop[] = {
        "Connection", "Keep-Alive", "Proxy-Connection", "TE",
        "Trailer",    "Upgrade",    "Transfer-Encoding"};
    for (guint i = 0; i < G_N_ELEMENTS(hop_by_hop); i++) {
        if (g_ascii_strcasecmp(name, hop_by_hop[i]) == 0) {
            return TRUE;
        }
    }
    const char *connection = cq_h1_get_field(head, "Connection");
    return connection != NULL && list_contains(connection, name);
}

gboolean
cq_h1_is_success(const cq_h1_head_t *head)
{
    return head->status >= 200 && head->status < 300;
}

const char *
cq_h1_reason_phrase(int status)
{
    switch (status) {
#define REASON(number, name, text)                                            \
    case number:                                                              \
        return #text;
        HTTP_STATUS_MAP(REASON)
#undef REASON
    default:
        return "Unknown";
    }
}

void
cq_h1_append_chunk(GString *out, const char *bytes, gsize len)
{
    g_string_append_printf(out, "%zx\r\n", len);
    g_string_append_len(out, bytes, (gssize)len);
    g_string_append(out, "\r\n");
}
