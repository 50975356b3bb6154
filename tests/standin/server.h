/**
 * DOC: server
 *
 * A small HTTP server for stand-ins that must also misbehave: each request is
 * handed over whole, and the answer is written byte by byte as wanted.
 */
#ifndef STANDIN_SERVER_H
#define STANDIN_SERVER_H

#include "http/h1.h"

typedef struct standin_conn standin_conn_t;

/** typedef standin_ask_t - takes a request: @path without and @query with the
 * part behind the question mark, or "" */
typedef void (*standin_ask_t)(standin_conn_t *conn, const cq_h1_head_t *head,
                              const char *path, const char *query,
                              const GByteArray *body, void *data);

/** standin_serve() - serve @ask at `ip:port`; FALSE when it is taken */
gboolean
standin_serve(const char *addr, standin_ask_t ask, void *data);

/** standin_write() - write bytes as they are */
void
standin_write(standin_conn_t *conn, const void *bytes, gsize len);

/** standin_text() - write formatted text as it is */
void
standin_text(standin_conn_t *conn, const char *format, ...)
    G_GNUC_PRINTF(2, 3);

/** standin_answer() - write a whole answer; @fields are whole header lines */
void
standin_answer(standin_conn_t *conn, int status, const char *fields,
               const void *body, gsize len);

/** standin_end() - close the connection, in order or by a reset */
void
standin_end(standin_conn_t *conn, gboolean reset);

/** standin_ref() - keep @conn for a later answer; Return: @conn */
standin_conn_t *
standin_ref(standin_conn_t *conn);

/** standin_unref() - give it up; Return: whether it was still open */
gboolean
standin_unref(standin_conn_t *conn);

/** standin_open() - Return: whether the caller is still there */
gboolean
standin_open(const standin_conn_t *conn);

/** standin_query() - Return: value of @name in @query, or @fallback */
gint64
standin_query(const char *query, const char *name, gint64 fallback);

/** standin_query_text() - Return: value of @name in @query, or NULL; free it
 */
char *
standin_query_text(const char *query, const char *name);

#endif
