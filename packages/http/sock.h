/**
 * DOC: sock
 *
 * One non-blocking TCP connection on the GLib main loop, with a buffer for
 * what is not yet written. Callbacks may close and unref the connection.
 */
#ifndef CQ_SOCK_H
#define CQ_SOCK_H

#include <glib.h>

#include "base/error.h"

G_BEGIN_DECLS

typedef struct cq_sock cq_sock_t;

/** enum cq_sock_end_t - how a connection ended */
typedef enum {
    CQ_SOCK_EOF,     /* the other side closed it in order */
    CQ_SOCK_RESET,   /* reset, or the path is gone */
    CQ_SOCK_REFUSED, /* it was never opened */
} cq_sock_end_t;

/**
 * struct cq_sock_ops_t - who hears of the connection
 * @opened: the connection is established; may be NULL
 * @received: bytes arrived
 * @ended: the connection is over; called at most once, not after a close
 * @drained: the write buffer is empty again; may be NULL
 * @data: passed to each
 */
typedef struct {
    void (*opened)(void *data);
    void (*received)(void *data, const char *bytes, gsize len);
    void (*ended)(void *data, cq_sock_end_t how);
    void (*drained)(void *data);
    void *data;
} cq_sock_ops_t;

/** typedef cq_sock_accepted_t - takes the new connection's descriptor */
typedef void (*cq_sock_accepted_t)(int fd, void *data);

/** cq_sock_from_fd() - Return: a connection over the accepted @fd */
cq_sock_t *
cq_sock_from_fd(int fd, const cq_sock_ops_t *ops);

/** cq_sock_connect() - Return: a connection being opened to `ip:port`; a
 * failure is told through ended() */
cq_sock_t *
cq_sock_connect(const char *addr, const cq_sock_ops_t *ops);

/** cq_sock_write() - send @len bytes, now or as soon as the peer takes them */
void
cq_sock_write(cq_sock_t *sock, const void *bytes, gsize len);

/** cq_sock_unwritten_bytes() - Return: bytes not yet written */
gsize
cq_sock_unwritten_bytes(const cq_sock_t *sock);

/** cq_sock_is_open() - Return: whether the connection is established */
gboolean
cq_sock_is_open(const cq_sock_t *sock);

/** cq_sock_pause_reading() - stop or go on reading; an end is then not noticed
 */
void
cq_sock_pause_reading(cq_sock_t *sock, gboolean hold);

/** cq_sock_close_when_written() - close once everything is written, and free
 */
void
cq_sock_close_when_written(cq_sock_t *sock);

/** cq_sock_abort() - reset the connection and free */
void
cq_sock_abort(cq_sock_t *sock);

/**
 * cq_sock_listen() - accept connections at `ip:port`
 * @addr: the address
 * @accepted: called for each
 * @data: passed to @accepted
 * @error: gets CQ_ERROR_UNREACHABLE
 *
 * Return: the listener's source id, or 0.
 */
guint
cq_sock_listen(const char *addr, cq_sock_accepted_t accepted, void *data,
               cq_error_t *error);

G_END_DECLS

#endif
