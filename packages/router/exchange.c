#include <string.h>

#include "http/sock.h"
#include "router/heads.h"
#include "router/inboundstate.h"

/* Longer bodies are written by themselves, so that they aren't copied twice.
 */
#define LARGE_BODY_BYTES (64 * 1024)

/* Decides whether the connection is kept after the answer, whose head says so:
 * a stop that begins later changes nothing. Return: whether it is kept. */
static gboolean
decide_kept(cq_exchange_t *exchange, gboolean has_framing)
{
    exchange->kept = has_framing && exchange->head.keep_alive &&
                     !exchange->conn->inbound->draining;
    return exchange->kept;
}

const cq_h1_head_t *
cq_exchange_head(const cq_exchange_t *exchange)
{
    return &exchange->head;
}

const GByteArray *
cq_exchange_body(const cq_exchange_t *exchange)
{
    return exchange->body;
}

gsize
cq_exchange_dropped(const cq_exchange_t *exchange)
{
    return exchange->no_room ? exchange->body_len : 0;
}

void
cq_exchange_set_owner(cq_exchange_t *exchange, void *owner)
{
    exchange->owner = owner;
}

void *
cq_exchange_owner(const cq_exchange_t *exchange)
{
    return exchange->owner;
}

void
cq_exchange_close_after(cq_exchange_t *exchange)
{
    exchange->head.keep_alive = FALSE;
}

void
cq_exchange_answer(cq_exchange_t *exchange, const cq_h1_head_t *head,
                   const void *body, gsize len)
{
    GString *out = g_string_new("");
    cq_heads_append_upstream(out, head, decide_kept(exchange, TRUE));
    gboolean no_body = cq_heads_without_body(&exchange->head, head->status);
    if (!no_body || len > 0) {
        g_string_append_printf(out, "Content-Length: %zu\r\n", len);
    }
    g_string_append(out, "\r\n");
    gboolean is_large = len > LARGE_BODY_BYTES;
    if (!no_body && !is_large) {
        g_string_append_len(out, body, (gssize)len);
    }
    cq_sock_write(exchange->conn->sock, out->str, out->len);
    g_string_free(out, TRUE);
    if (!no_body && is_large) {
        cq_sock_write(exchange->conn->sock, body, len);
    }
    cq_inbound_end_exchange(exchange);
}

void
cq_exchange_refuse(cq_exchange_t *exchange, int status, const char *extra,
                   const char *text)
{
    GString *out = g_string_new("");
    cq_heads_append_local(out, status, extra, strlen(text),
                          decide_kept(exchange, TRUE));
    if (!cq_heads_without_body(&exchange->head, status)) {
        g_string_append(out, text);
    }
    cq_sock_write(exchange->conn->sock, out->str, out->len);
    g_string_free(out, TRUE);
    cq_inbound_end_exchange(exchange);
}

void
cq_exchange_begin(cq_exchange_t *exchange, const cq_h1_head_t *head)
{
    exchange->started = TRUE;
    /* HTTP/1.0 has no chunks: there the close of the connection ends the
     * body. */
    exchange->chunked = !exchange->head.is_http10;
    gboolean kept = decide_kept(exchange, exchange->chunked);
    GString *out = g_string_new("");
    cq_heads_append_upstream(out, head, kept);
    g_string_append(out, exchange->chunked
                             ? "Transfer-Encoding: chunked\r\n\r\n"
                             : "\r\n");
    cq_sock_write(exchange->conn->sock, out->str, out->len);
    g_string_free(out, TRUE);
}

gsize
cq_exchange_write(cq_exchange_t *exchange, const void *bytes, gsize len)
{
    cq_sock_t *sock = exchange->conn->sock;
    if (!exchange->chunked) {
        cq_sock_write(sock, bytes, len);
        return cq_sock_unwritten_bytes(sock);
    }
    GString *out = g_string_new("");
    cq_h1_append_chunk(out, bytes, len);
    cq_sock_write(sock, out->str, out->len);
    g_string_free(out, TRUE);
    return cq_sock_unwritten_bytes(sock);
}

void
cq_exchange_end(cq_exchange_t *exchange)
{
    const char *last = "0\r\n\r\n";
    if (exchange->chunked) {
        cq_sock_write(exchange->conn->sock, last, strlen(last));
    }
    cq_inbound_end_exchange(exchange);
}

void
cq_exchange_abort(cq_exchange_t *exchange)
{
    cq_inbound_conn_t *conn = exchange->conn;
    cq_sock_abort(conn->sock);
    cq_inbound_remove_conn(conn);
}
