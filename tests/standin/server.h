/**
 * DOC: server
 *
 * A small HTTP server for tests that need malformed answers too: a handler
 * gets each request with its whole body and can write any bytes as the answer.
 */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include "http/h1.h"

/** struct standin_conn_t - a caller's connection, counted by reference */
typedef struct standin_conn standin_conn_t;

/** typedef standin_handler_t - handles a request; @path is the target up to
 * the question mark, @query the part after it or "" */
typedef void (*standin_handler_t)(standin_conn_t *conn,
                                  const cq_h1_head_t *head, const char *path,
                                  const char *query, const GByteArray *body,
                                  void *data);

/** standin_serve() - call @handler for each request to @addr (`ip:port`);
 * Return: FALSE when it can't listen there */
gboolean
standin_serve(const char *addr, standin_handler_t handler, void *data);

/** standin_write() - write @bytes; does nothing on a closed connection */
void
standin_write(standin_conn_t *conn, const void *bytes, gsize len);

/** standin_printf() - write formatted text */
void
standin_printf(standin_conn_t *conn, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/** standin_answer() - write a complete answer; @fields are header lines, each
 * with its line end */
void
standin_answer(standin_conn_t *conn, int status, const char *fields,
               const void *body, gsize len);

/** standin_disconnect() - close the connection; @reset: by a TCP reset,
 * otherwise after the pending bytes are written */
void
standin_disconnect(standin_conn_t *conn, gboolean reset);

/** standin_ref() - add a reference, to answer later; Return: @conn */
standin_conn_t *
standin_ref(standin_conn_t *conn);

/** standin_unref() - release a reference; Return: whether @conn was open */
gboolean
standin_unref(standin_conn_t *conn);

/** standin_is_open() - Return: whether the connection is open */
gboolean
standin_is_open(const standin_conn_t *conn);

/** standin_query_number() - Return: value of @name in @query, or @fallback */
gint64
standin_query_number(const char *query, const char *name, gint64 fallback);

/** standin_query_text() - Return: value of @name in @query, decoded, to be
 * freed with g_free(); NULL when it is missing */
char *
standin_query_text(const char *query, const char *name);

#endif
