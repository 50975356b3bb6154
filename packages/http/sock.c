#define _GNU_SOURCE
#include "http/sock.h"

#include <errno.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/limits.h"
#include "base/list.h"
#include "http/stall.h"
#include "http/tcpoptions.h"

/* Per iteration of the main loop, a connection reads at most this number of
 * times into a buffer of this size, so that the others get their turn. */
#define READ_BUFFER_BYTES (32 * 1024)
#define READS_PER_WAKEUP_MAX 4

/* Written bytes are dropped from a write buffer, and the memory of an empty
 * one is given back, from this size on. */
#define BUFFER_KEPT_BYTES (64 * 1024)

/* Maximum number of connections handled per iteration of the main loop. */
#define EVENTS_PER_WAKEUP_MAX 64

/*
 * A GSource for all connections of the main context. With a source for each of
 * them, each iteration of the main loop would poll every descriptor.
 * socks: number of connections; the source is destroyed with the last one
 * unwritten: bytes in all write buffers
 * unacked: connections that may have unacknowledged bytes; while there are
 * any, check_timer is set
 */
typedef struct {
    GSource source;
    int epoll_fd;
    gpointer epoll_tag;
    guint socks;
    gsize unwritten;
    cq_list_t unacked;
    guint check_timer;
    guint64 unopened;
} poller_t;

/*
 * events: epoll events that fd is registered for
 * registered: fd is registered with the poller
 */
struct cq_sock {
    int fd;
    cq_sock_ops_t ops;
    poller_t *poller;
    guint32 events;
    gboolean registered;
    GByteArray *write_buffer;
    gsize written_len; /* written bytes of write_buffer */
    gboolean opened;
    gboolean reading_paused;
    gboolean close_when_written;
    gboolean closed;
    guint refs;
    cq_list_t unacked_link;
    cq_stall_t stall;
};

static void
sock_unref(cq_sock_t *sock)
{
    if (--sock->refs > 0) {
        return;
    }
    g_byte_array_unref(sock->write_buffer);
    g_free(sock);
}

static void
unregister(cq_sock_t *sock)
{
    if (sock->registered) {
        sock->registered = FALSE;
        epoll_ctl(sock->poller->epoll_fd, EPOLL_CTL_DEL, sock->fd, NULL);
    }
}

static void
poller_remove(poller_t *poller)
{
    if (poller == NULL) {
        return;
    }
    if (--poller->socks == 0) {
        if (poller->check_timer != 0) {
            g_source_remove(poller->check_timer);
        }
        g_source_destroy(&poller->source);
    }
    g_source_unref(&poller->source);
}

static void
count_unwritten(cq_sock_t *sock, gssize change)
{
    if (sock->poller != NULL) {
        sock->poller->unwritten += (gsize)change;
    }
}

static void
sock_close(cq_sock_t *sock)
{
    if (sock->closed) {
        return;
    }
    sock->closed = TRUE;
    unregister(sock);
    cq_list_remove(&sock->unacked_link);
    count_unwritten(sock, -(gssize)cq_sock_unwritten_bytes(sock));
    poller_remove(sock->poller);
    if (sock->fd >= 0) {
        close(sock->fd);
    }
    sock_unref(sock);
}

static void
sock_end(cq_sock_t *sock, cq_sock_end_t how)
{
    if (sock->closed) {
        return;
    }
    if (sock->close_when_written) {
        sock_close(sock);
        return;
    }
    /* The connection is freed when the owner calls
     * cq_sock_close_when_written() or cq_sock_abort(). */
    unregister(sock);
    sock->reading_paused = TRUE;
    sock->ops.ended(sock->ops.data, how);
}

static void
update_events(cq_sock_t *sock)
{
    guint32 events = 0;
    if (!sock->reading_paused && !sock->close_when_written) {
        events |= EPOLLIN;
    }
    if (!sock->opened || sock->write_buffer->len > sock->written_len) {
        events |= EPOLLOUT;
    }
    if (sock->registered && sock->events != events) {
        struct epoll_event event = {.events = events, .data.ptr = sock};
        sock->events = events;
        epoll_ctl(sock->poller->epoll_fd, EPOLL_CTL_MOD, sock->fd, &event);
    }
}

/* Drops the written bytes once they are most of the buffer, so that no more
 * bytes are moved than are written. */
static void
drop_written(cq_sock_t *sock)
{
    GByteArray *buffer = sock->write_buffer;
    gsize unwritten = buffer->len - sock->written_len;
    if (sock->written_len < MAX(unwritten, BUFFER_KEPT_BYTES)) {
        return;
    }
    sock->write_buffer = g_byte_array_sized_new((guint)unwritten);
    g_byte_array_append(sock->write_buffer, buffer->data + sock->written_len,
                        (guint)unwritten);
    sock->written_len = 0;
    g_byte_array_unref(buffer);
}

static void
flush(cq_sock_t *sock)
{
    while (sock->written_len < sock->write_buffer->len) {
        gssize n =
            send(sock->fd, sock->write_buffer->data + sock->written_len,
                 sock->write_buffer->len - sock->written_len, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            break;
        }
        if (n < 0) {
            sock_end(sock, CQ_SOCK_RESET);
            return;
        }
        sock->written_len += (gsize)n;
        count_unwritten(sock, -n);
    }
    gboolean had_bytes = sock->written_len > 0;
    drop_written(sock);
    if (sock->written_len == sock->write_buffer->len) {
        g_byte_array_set_size(sock->write_buffer, 0);
        sock->written_len = 0;
        if (sock->close_when_written) {
            sock_close(sock);
            return;
        }
        update_events(sock);
        if (had_bytes && sock->ops.drained != NULL) {
            sock->ops.drained(sock->ops.data);
        }
        return;
    }
    update_events(sock);
}

static void
read_available(cq_sock_t *sock)
{
    char bytes[READ_BUFFER_BYTES];
    for (int i = 0;
         i < READS_PER_WAKEUP_MAX && !sock->closed && !sock->reading_paused;
         i++) {
        gssize n = recv(sock->fd, bytes, sizeof bytes, 0);
        if (n < 0 &&
            (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            return;
        }
        if (n <= 0) {
            sock_end(sock, n == 0 ? CQ_SOCK_EOF : CQ_SOCK_RESET);
            return;
        }
        sock->ops.received(sock->ops.data, bytes, (gsize)n);
        if ((gsize)n < sizeof bytes) {
            return;
        }
    }
}

static void
finish_connect(cq_sock_t *sock)
{
    int socket_error = 0;
    socklen_t len = sizeof socket_error;
    getsockopt(sock->fd, SOL_SOCKET, SO_ERROR, &socket_error, &len);
    if (socket_error != 0) {
        sock_end(sock, CQ_SOCK_REFUSED);
        return;
    }
    sock->opened = TRUE;
    if (sock->ops.opened != NULL) {
        sock->ops.opened(sock->ops.data);
    }
    if (!sock->closed) {
        flush(sock);
    }
}

static void
handle_ready(cq_sock_t *sock, guint32 ready)
{
    if (!sock->registered) {
        return;
    }
    if (!sock->opened) {
        finish_connect(sock);
        return;
    }
    if ((ready & EPOLLOUT) != 0) {
        flush(sock);
    }
    if (sock->closed) {
        return;
    }
    if (!sock->reading_paused &&
        (ready & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        read_available(sock);
    }
    else if ((ready & EPOLLERR) != 0) {
        sock_end(sock, CQ_SOCK_RESET);
    }
}

static gboolean
on_ready(GSource *source, GSourceFunc callback, gpointer data)
{
    (void)callback;
    (void)data;
    const poller_t *poller = (poller_t *)(void *)source;
    struct epoll_event events[EVENTS_PER_WAKEUP_MAX];
    int len = epoll_wait(poller->epoll_fd, events, EVENTS_PER_WAKEUP_MAX, 0);
    /* A callback of one connection may free another one. */
    for (int i = 0; i < len; i++) {
        ((cq_sock_t *)events[i].data.ptr)->refs++;
    }
    for (int i = 0; i < len; i++) {
        cq_sock_t *sock = events[i].data.ptr;
        handle_ready(sock, events[i].events);
        sock_unref(sock);
    }
    return G_SOURCE_CONTINUE;
}

static void
on_poller_finalized(GSource *source)
{
    close(((poller_t *)(void *)source)->epoll_fd);
}

static GSourceFuncs poller_funcs = {
    .dispatch = on_ready,
    .finalize = on_poller_finalized,
};

static poller_t *
find_poller(void)
{
    GSource *source = g_main_context_find_source_by_funcs_user_data(
        NULL, &poller_funcs, NULL);
    return (poller_t *)(void *)source;
}

/* Return: a reference to the poller of the default main context, or NULL if
 * there is no descriptor for one. */
static poller_t *
poller_add(void)
{
    poller_t *poller = find_poller();
    if (poller == NULL) {
        int epoll_fd = epoll_create1(EPOLL_CLOEXEC);
        if (epoll_fd < 0) {
            return NULL;
        }
        GSource *source = g_source_new(&poller_funcs, sizeof(poller_t));
        poller = (poller_t *)(void *)source;
        cq_list_init(&poller->unacked);
        poller->epoll_fd = epoll_fd;
        poller->epoll_tag =
            g_source_add_unix_fd(source, poller->epoll_fd, G_IO_IN);
        g_source_set_callback(source, NULL, NULL, NULL);
        g_source_attach(source, NULL);
        g_source_unref(source);
    }
    poller->socks++;
    g_source_ref(&poller->source);
    return poller;
}

static gboolean
on_unopened(gpointer data)
{
    cq_sock_t *sock = data;
    sock_end(sock, sock->fd < 0 ? CQ_SOCK_UNOPENED : CQ_SOCK_REFUSED);
    sock_unref(sock);
    return G_SOURCE_REMOVE;
}

/* The failure is reported from the main loop, after its caller has got the
 * connection. */
static void
report_unopened(cq_sock_t *sock)
{
    sock->opened = FALSE;
    unregister(sock);
    sock->refs++;
    g_idle_add(on_unopened, sock);
}

/* Return: a connection on @fd. Without a descriptor, for it or for the poller,
 * it ends at once. */
static cq_sock_t *
sock_new(int fd, const cq_sock_ops_t *ops, gboolean opened)
{
    cq_sock_t *sock = g_new0(cq_sock_t, 1);
    sock->fd = fd;
    sock->ops = *ops;
    sock->opened = opened;
    sock->refs = 1;
    sock->write_buffer = g_byte_array_new();
    cq_list_init(&sock->unacked_link);
    sock->poller = poller_add();
    struct epoll_event event = {.events = 0, .data.ptr = sock};
    sock->registered =
        fd >= 0 && sock->poller != NULL &&
        epoll_ctl(sock->poller->epoll_fd, EPOLL_CTL_ADD, fd, &event) == 0;
    if (sock->registered) {
        update_events(sock);
        return sock;
    }
    if (fd >= 0) {
        close(fd);
        sock->fd = -1;
    }
    if (sock->poller != NULL) {
        sock->poller->unopened++;
    }
    report_unopened(sock);
    return sock;
}

cq_sock_t *
cq_sock_from_fd(int fd, const cq_sock_ops_t *ops)
{
    g_unix_set_fd_nonblocking(fd, TRUE, NULL);
    cq_tcpoptions_set(fd);
    return sock_new(fd, ops, TRUE);
}

guint64
cq_sock_unopened(void)
{
    const poller_t *poller = find_poller();
    return poller != NULL ? poller->unopened : 0;
}

cq_sock_t *
cq_sock_connect(const char *addr, const cq_sock_ops_t *ops)
{
    struct sockaddr_in to;
    gboolean ok = cq_sock_parse_address(addr, &to);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0 && (guint)fd >= cq_sock_descriptors()) {
        close(fd);
        fd = -1;
    }
    if (fd < 0) {
        return sock_new(fd, ops, FALSE);
    }
    cq_tcpoptions_set(fd);
    if (ok) {
        int result = connect(fd, (struct sockaddr *)&to, sizeof to);
        ok = result == 0 || errno == EINPROGRESS;
    }
    cq_sock_t *sock = sock_new(fd, ops, FALSE);
    if (!ok && sock->registered) {
        report_unopened(sock);
    }
    return sock;
}

static gboolean
check_unacked(gpointer data)
{
    poller_t *poller = data;
    gsize held = 0;
    cq_list_t *link = poller->unacked.next;
    while (link != &poller->unacked) {
        cq_sock_t *sock = CQ_ENTRY(link, cq_sock_t, unacked_link);
        gsize unwritten = cq_sock_unwritten_bytes(sock);
        gboolean patient = held + unwritten <= CQ_STALL_BYTES_MAX;
        cq_stall_state_t state =
            cq_stall_check(&sock->stall, sock->fd, patient);
        link = link->next;
        if (state == CQ_STALL_SILENT) {
            /* Its owner may free others, and the poller with them. */
            sock_end(sock, CQ_SOCK_RESET);
            return G_SOURCE_CONTINUE;
        }
        if (state == CQ_STALL_CLOSED && patient) {
            held += unwritten;
        }
        if (state == CQ_STALL_NONE && unwritten == 0) {
            cq_list_remove(&sock->unacked_link);
        }
    }
    if (cq_list_empty(&poller->unacked)) {
        poller->check_timer = 0;
        return G_SOURCE_REMOVE;
    }
    return G_SOURCE_CONTINUE;
}

static void
check_later(cq_sock_t *sock)
{
    poller_t *poller = sock->poller;
    if (!sock->registered) {
        return;
    }
    if (cq_list_empty(&sock->unacked_link)) {
        cq_list_append(&poller->unacked, &sock->unacked_link);
    }
    if (poller->check_timer == 0) {
        poller->check_timer =
            g_timeout_add(CQ_STALL_CHECK_MS, check_unacked, poller);
    }
}

void
cq_sock_write(cq_sock_t *sock, const void *bytes, gsize len)
{
    if (sock->closed || sock->close_when_written) {
        return;
    }
    gboolean waiting = sock->write_buffer->len > sock->written_len;
    g_byte_array_append(sock->write_buffer, bytes, (guint)len);
    count_unwritten(sock, (gssize)len);
    check_later(sock);
    if (!sock->opened || waiting) {
        return;
    }
    gssize n = send(sock->fd, sock->write_buffer->data + sock->written_len,
                    sock->write_buffer->len - sock->written_len, MSG_NOSIGNAL);
    if (n > 0) {
        sock->written_len += (gsize)n;
        count_unwritten(sock, -n);
    }
    drop_written(sock);
    if (sock->written_len == sock->write_buffer->len) {
        g_byte_array_set_size(sock->write_buffer, 0);
        sock->written_len = 0;
    }
    /* An error of send() is not handled here: the bytes stay buffered, and
     * flush() gets the same error when it sends them, and reports it. */
    update_events(sock);
}

gsize
cq_sock_unwritten_bytes(const cq_sock_t *sock)
{
    return sock->write_buffer->len - sock->written_len;
}

gsize
cq_sock_all_unwritten_bytes(void)
{
    const poller_t *poller = find_poller();
    return poller != NULL ? poller->unwritten : 0;
}

gsize
cq_sock_undelivered_bytes(const cq_sock_t *sock)
{
    int unacked = 0;
    if (!sock->closed) {
        ioctl(sock->fd, SIOCOUTQ, &unacked);
    }
    return cq_sock_unwritten_bytes(sock) + (gsize)MAX(unacked, 0);
}

gboolean
cq_sock_is_open(const cq_sock_t *sock)
{
    return sock->opened && !sock->closed;
}

gboolean
cq_sock_has_unread(const cq_sock_t *sock)
{
    int len = 0;
    return !sock->closed && ioctl(sock->fd, FIONREAD, &len) == 0 && len > 0;
}

void
cq_sock_pause_reading(cq_sock_t *sock, gboolean paused)
{
    if (sock->closed || sock->reading_paused == paused) {
        return;
    }
    sock->reading_paused = paused;
    update_events(sock);
}

void
cq_sock_shut_sending(cq_sock_t *sock)
{
    if (!sock->closed) {
        shutdown(sock->fd, SHUT_WR);
    }
}

void
cq_sock_close_when_written(cq_sock_t *sock)
{
    if (sock->closed) {
        return;
    }
    sock->close_when_written = TRUE;
    cq_stall_leave(sock->fd);
    if (sock->write_buffer->len == sock->written_len || !sock->opened) {
        sock_close(sock);
        return;
    }
    update_events(sock);
}

void
cq_sock_abort(cq_sock_t *sock)
{
    if (sock->closed) {
        return;
    }
    struct linger reset = {.l_onoff = 1, .l_linger = 0};
    setsockopt(sock->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    sock_close(sock);
}
