#include "server.h"

#include <stdio.h>
#include <string.h>

#include "http/sock.h"

struct standin_conn {
    cq_sock_t *sock;
    cq_h1_t *parser;
    cq_h1_head_t head;
    GByteArray *body;
    standin_handler_t handler;
    void *data;
    gboolean open;
    guint refs;
};

/* The handler of a listening socket. */
typedef struct {
    standin_handler_t handler;
    void *data;
} listener_t;

standin_conn_t *
standin_ref(standin_conn_t *conn)
{
    conn->refs++;
    return conn;
}

gboolean
standin_unref(standin_conn_t *conn)
{
    gboolean open = conn->open;
    if (--conn->refs == 0) {
        cq_h1_free(conn->parser);
        cq_h1_clear_head(&conn->head);
        g_byte_array_unref(conn->body);
        g_free(conn);
    }
    return open;
}

gboolean
standin_is_open(const standin_conn_t *conn)
{
    return conn->open;
}

static void
on_head(void *data, const cq_h1_head_t *head)
{
    standin_conn_t *conn = data;
    cq_h1_clear_head(&conn->head);
    cq_h1_copy_head(&conn->head, head);
    g_byte_array_set_size(conn->body, 0);
}

static void
on_body(void *data, const char *bytes, gsize len)
{
    standin_conn_t *conn = data;
    g_byte_array_append(conn->body, (const guint8 *)bytes, (guint)len);
}

static void
on_done(void *data)
{
    standin_conn_t *conn = data;
    char **parts = g_strsplit(conn->head.target, "?", 2);
    conn->handler(conn, &conn->head, parts[0],
                  parts[1] != NULL ? parts[1] : "", conn->body, conn->data);
    g_strfreev(parts);
}

static void
on_received(void *data, const char *bytes, gsize len)
{
    standin_conn_t *conn = data;
    standin_ref(conn);
    while (len > 0 && conn->open) {
        gsize used = cq_h1_feed(conn->parser, bytes, len);
        bytes += used;
        len -= used;
        if (cq_h1_error(conn->parser) != CQ_H1_OK) {
            fprintf(
                stderr,
                "standin: can't read a malformed request; connection reset\n");
            standin_disconnect(conn, TRUE);
        }
    }
    standin_unref(conn);
}

static void
on_ended(void *data, cq_sock_end_t how)
{
    (void)how;
    standin_disconnect(data, FALSE);
}

static void
on_accepted(int fd, void *data)
{
    if (fd < 0) {
        return;
    }
    const listener_t *listener = data;
    standin_conn_t *conn = g_new0(standin_conn_t, 1);
    conn->refs = 1;
    conn->open = TRUE;
    conn->handler = listener->handler;
    conn->data = listener->data;
    conn->body = g_byte_array_new();
    cq_h1_options_t options = {
        .ops = {.head = on_head,
                .body = on_body,
                .done = on_done,
                .data = conn},
    };
    conn->parser = cq_h1_new(&options);
    cq_sock_ops_t ops = {
        .received = on_received,
        .ended = on_ended,
        .data = conn,
    };
    conn->sock = cq_sock_from_fd(fd, &ops);
}

gboolean
standin_serve(const char *addr, standin_handler_t handler, void *data)
{
    listener_t *listener = g_new0(listener_t, 1);
    listener->handler = handler;
    listener->data = data;
    cq_error_t error = {0};
    if (cq_sock_listen(addr, on_accepted, listener, &error) == 0) {
        fprintf(stderr, "standin: %s\n", error.text);
        return FALSE;
    }
    return TRUE;
}

void
standin_write(standin_conn_t *conn, const void *bytes, gsize len)
{
    if (conn->open) {
        cq_sock_write(conn->sock, bytes, len);
    }
}

void
standin_printf(standin_conn_t *conn, const char *format, ...)
{
    va_list args;
    va_start(args, format);
    char *text = g_strdup_vprintf(format, args);
    va_end(args);
    standin_write(conn, text, strlen(text));
    g_free(text);
}

void
standin_answer(standin_conn_t *conn, int status, const char *fields,
               const void *body, gsize len)
{
    standin_printf(conn, "HTTP/1.1 %d %s\r\n%sContent-Length: %zu\r\n\r\n",
                   status, cq_h1_reason_phrase(status), fields, len);
    standin_write(conn, body, len);
}

void
standin_disconnect(standin_conn_t *conn, gboolean reset)
{
    if (!conn->open) {
        return;
    }
    conn->open = FALSE;
    if (reset) {
        cq_sock_abort(conn->sock);
    }
    else {
        cq_sock_close_when_written(conn->sock);
    }
    standin_unref(conn);
}

char *
standin_query_text(const char *query, const char *name)
{
    char *found = NULL;
    char **parts = g_strsplit(query, "&", -1);
    gsize len = strlen(name);
    for (guint i = 0; parts[i] != NULL && found == NULL; i++) {
        if (strncmp(parts[i], name, len) == 0 && parts[i][len] == '=') {
            found = g_uri_unescape_string(parts[i] + len + 1, NULL);
        }
    }
    g_strfreev(parts);
    return found;
}

gint64
standin_query_number(const char *query, const char *name, gint64 fallback)
{
    char *text = standin_query_text(query, name);
    gint64 value = text != NULL ? g_ascii_strtoll(text, NULL, 10) : fallback;
    g_free(text);
    return value;
}
