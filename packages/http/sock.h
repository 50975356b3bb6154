/**
 * DOC: sock
 *
 * A non-blocking TCP connection on the GLib main loop, with a buffer for bytes
 * that are not yet written. Callbacks may call cq_sock_close_when_written() or
 * cq_sock_abort() on their connection.
 */
#ifndef CQ_SOCK_H
#define CQ_SOCK_H

#include <glib.h>
#include <netinet/in.h>

#include "base/error.h"

G_BEGIN_DECLS

typedef struct cq_sock cq_sock_t;

/** enum cq_sock_end_t - how a connection ended */
typedef enum {
    CQ_SOCK_EOF,      /* closed by the other side */
    CQ_SOCK_RESET,    /* reset, or TCP timed out */
    CQ_SOCK_REFUSED,  /* could not be opened */
    CQ_SOCK_UNOPENED, /* was not tried: this process has no descriptor for it
                       */
} cq_sock_end_t;

/**
 * struct cq_sock_ops_t - callbacks of a connection
 * @opened: the connection is established; may be NULL
 * @received: bytes arrived
 * @ended: the connection has ended. The owner must then call
 *   cq_sock_close_when_written() or cq_sock_abort(). Called at most once, and
 *   never after the owner has called one of the two.
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

/** typedef cq_sock_accepted_t - takes ownership of an accepted descriptor; -1:
 * a connection was closed, as this process has no descriptor for it */
typedef void (*cq_sock_accepted_t)(int fd, void *data);

/** cq_sock_is_address() - Return: whether @addr is `ip:port`, with an IPv4
 * address and a port from 1 to 65535 */
gboolean
cq_sock_is_address(const char *addr);

/** cq_sock_parse_address() - Return: whether @addr is such an address; @to
 * gets it */
gboolean
cq_sock_parse_address(const char *addr, struct sockaddr_in *to);

/** cq_sock_descriptors() - Return: the number of descriptors that connections
 * may use; some of the process's own are left for other uses */
guint
cq_sock_descriptors(void);

/** cq_sock_unopened() - Return: how many connections to others were not tried,
 * as there was no descriptor; it begins again at 0 when no connection is left
 */
guint64
cq_sock_unopened(void);

/** cq_sock_from_fd() - Return: a connection that owns the accepted @fd */
cq_sock_t *
cq_sock_from_fd(int fd, const cq_sock_ops_t *ops);

/** cq_sock_connect() - Return: a connection that is being opened to @addr,
 * `ip:port`; a failure is reported through ended() */
cq_sock_t *
cq_sock_connect(const char *addr, const cq_sock_ops_t *ops);

/** cq_sock_write() - send @len bytes; what the kernel doesn't take at once is
 * copied and sent later */
void
cq_sock_write(cq_sock_t *sock, const void *bytes, gsize len);

/** cq_sock_undelivered_bytes() - Return: number of bytes given to
 * cq_sock_write() that the other side has not acknowledged */
gsize
cq_sock_undelivered_bytes(const cq_sock_t *sock);

/** cq_sock_unwritten_bytes() - Return: number of bytes not yet written */
gsize
cq_sock_unwritten_bytes(const cq_sock_t *sock);

/** cq_sock_all_unwritten_bytes() - Return: the same of all connections */
gsize
cq_sock_all_unwritten_bytes(void);

/** cq_sock_is_open() - Return: whether the connection is established */
gboolean
cq_sock_is_open(const cq_sock_t *sock);

/** cq_sock_has_unread() - Return: whether bytes have arrived that are not yet
 * read */
gboolean
cq_sock_has_unread(const cq_sock_t *sock);

/** cq_sock_pause_reading() - stop reading (@paused TRUE) or resume it; while
 * reading is stopped, errors of the connection are reported, but not that the
 * other side has closed it */
void
cq_sock_pause_reading(cq_sock_t *sock, gboolean paused);

/** cq_sock_shut_sending() - tell the other side that nothing more will be
 * sent; everything must be written. Bytes are still received. */
void
cq_sock_shut_sending(cq_sock_t *sock);

/** cq_sock_close_when_written() - close and free once everything is written;
 * TCP resets the connection if bytes are then unread */
void
cq_sock_close_when_written(cq_sock_t *sock);

/** cq_sock_abort() - reset the connection and free */
void
cq_sock_abort(cq_sock_t *sock);

/**
 * cq_sock_listen() - accept connections at `ip:port`
 * @addr: the address
 * @accepted: called for each connection
 * @data: passed to @accepted
 * @error: gets CQ_ERROR_UNREACHABLE
 *
 * Return: the GSource id of the listener, whose removal closes it, or 0 and
 * @error.
 */
guint
cq_sock_listen(const char *addr, cq_sock_accepted_t accepted, void *data,
               cq_error_t *error);

G_END_DECLS

#endif
