#include "http/client.h"

#include <string.h>

#include "base/limits.h"
#include "base/list.h"
#include "http/h1.h"
#include "http/sock.h"

/* An idle connection is not used again after so long: the other side may have
 * closed it unheard. */
#define IDLE_US (8 * CQ_SECOND_US)
#define ANSWER_BYTES_MAX (64 * 1024 * 1024)

typedef struct {
    cq_list_t link;
    cq_client_t *client;
    char addr[CQ_ADDR_BYTES];
    cq_sock_t *sock;
    cq_h1_t *reader;
    GByteArray *body;
    gboolean busy;
    gboolean keep;
    gboolean gone;
    int status;
    cq_client_done_t done;
    void *data;
    GDestroyNotify data_free;
    guint timer;
    gint64 used_us;
    guint refs;
} line_t;

struct cq_client {
    cq_list_t lines;
};

static void
line_unref(line_t *line)
{
    if (--line->refs > 0) {
        return;
    }
    cq_h1_free(line->reader);
    g_byte_array_unref(line->body);
    g_free(line);
}

static void
line_drop(line_t *line)
{
    if (line->gone) {
        return;
    }
    line->gone = TRUE;
    if (line->timer != 0) {
        g_source_remove(line->timer);
    }
    if (line->busy && line->data_free != NULL) {
        line->data_free(line->data);
    }
    cq_list_remove(&line->link);
    cq_sock_abort(line->sock);
    line_unref(line);
}

static void
answer(line_t *line, int status)
{
    if (!line->busy) {
        return;
    }
    line->busy = FALSE;
    if (line->timer != 0) {
        g_source_remove(line->timer);
        line->timer = 0;
    }
    line->used_us = g_get_monotonic_time();
    /* The callback may start a call on this very line. */
    GByteArray *body = line->body;
    GDestroyNotify data_free = line->data_free;
    void *data = line->data;
    line->body = g_byte_array_new();
    line->done(status, body, data);
    if (data_free != NULL) {
        data_free(data);
    }
    g_byte_array_unref(body);
}

static void
on_head(void *data, const cq_h1_head_t *head)
{
    line_t *line = data;
    line->status = head->status;
    line->keep = head->keep;
}

static void
on_body(void *data, const char *bytes, gsize len)
{
    line_t *line = data;
    if (line->body->len + len <= ANSWER_BYTES_MAX) {
        g_byte_array_append(line->body, (const guint8 *)bytes, (guint)len);
    }
}

static void
on_done(void *data)
{
    line_t *line = data;
    answer(line, line->status);
}

static void
on_received(void *data, const char *bytes, gsize len)
{
    line_t *line = data;
    line->refs++;
    gsize used = line->busy ? cq_h1_feed(line->reader, bytes, len) : 0;
    gboolean spent = !line->busy && !line->keep;
    if (used < len || spent || cq_h1_error(line->reader) != CQ_H1_OK) {
        answer(line, 0);
        line_drop(line);
    }
    line_unref(line);
}

static void
on_ended(void *data, cq_sock_end_t how)
{
    line_t *line = data;
    line->refs++;
    if (how == CQ_SOCK_EOF) {
        cq_h1_connection_closed(line->reader);
    }
    answer(line, 0);
    line_drop(line);
    line_unref(line);
}

static gboolean
on_timeout(gpointer data)
{
    line_t *line = data;
    line->timer = 0;
    line->refs++;
    answer(line, 0);
    line_drop(line);
    line_unref(line);
    return G_SOURCE_REMOVE;
}

static line_t *
line_new(cq_client_t *client, const char *addr)
{
    line_t *line = g_new0(line_t, 1);
    line->client = client;
    line->refs = 1;
    line->keep = TRUE;
    g_strlcpy(line->addr, addr, sizeof line->addr);
    line->body = g_byte_array_new();
    cq_list_init(&line->link);
    cq_list_append(&client->lines, &line->link);
    cq_h1_options_t options = {
        .answers = TRUE,
        .ops = {.head = on_head,
                .body = on_body,
                .done = on_done,
                .data = line},
    };
    line->reader = cq_h1_new(&options);
    cq_sock_ops_t ops = {
        .received = on_received,
        .ended = on_ended,
        .data = line,
    };
    line->sock = cq_sock_connect(addr, &ops);
    return line;
}

static line_t *
free_line(cq_client_t *client, const char *addr)
{
    gint64 now_us = g_get_monotonic_time();
    cq_list_t *link = client->lines.next;
    while (link != &client->lines) {
        line_t *line = CQ_ENTRY(link, line_t, link);
        link = link->next;
        if (line->busy || !line->keep) {
            continue;
        }
        if (now_us - line->used_us >= IDLE_US) {
            line_drop(line);
        }
        else if (strcmp(line->addr, addr) == 0) {
            return line;
        }
    }
    return line_new(client, addr);
}

cq_client_t *
cq_client_new(void)
{
    cq_client_t *client = g_new0(cq_client_t, 1);
    cq_list_init(&client->lines);
    return client;
}

void
cq_client_free(cq_client_t *client)
{
    while (!cq_list_empty(&client->lines)) {
        line_drop(CQ_ENTRY(client->lines.next, line_t, link));
    }
    g_free(client);
}

void
cq_client_call(cq_client_t *client, const cq_client_call_t *call)
{
    line_t *line = free_line(client, call->addr);
    line->busy = TRUE;
    line->status = 0;
    line->done = call->done;
    line->data = call->data;
    line->data_free = call->data_free;
    g_byte_array_set_size(line->body, 0);
    line->timer = g_timeout_add(call->timeout_ms, on_timeout, line);
    GString *out = g_string_new("");
    g_string_append_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", call->method,
                           call->path, call->addr);
    if (call->type != NULL) {
        g_string_append_printf(out, "Content-Type: %s\r\n", call->type);
    }
    if (call->body != NULL) {
        g_string_append_printf(out, "Content-Length: %zu\r\n", call->body_len);
    }
    g_string_append(out, "\r\n");
    g_string_append_len(out, call->body, (gssize)call->body_len);
    cq_sock_write(line->sock, out->str, out->len);
    g_string_free(out, TRUE);
}
