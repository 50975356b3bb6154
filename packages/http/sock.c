#define _GNU_SOURCE
#include "http/sock.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/limits.h"

/* A connection takes no more than this from the loop before the others. */
#define READ_BYTES (32 * 1024)
#define READS_AT_ONCE 4

typedef struct {
    GSource source;
    cq_sock_t *sock;
} watch_t;

struct cq_sock {
    int fd;
    cq_sock_ops_t ops;
    watch_t *watch;
    gpointer tag;
    GByteArray *out;
    gsize out_at;
    gboolean opened;
    gboolean held;
    gboolean finishing;
    gboolean closed;
    guint refs;
};

static void
sock_unref(cq_sock_t *sock)
{
    if (--sock->refs > 0) {
        return;
    }
    g_byte_array_unref(sock->out);
    g_free(sock);
}

static void
sock_close(cq_sock_t *sock)
{
    if (sock->closed) {
        return;
    }
    sock->closed = TRUE;
    g_source_destroy(&sock->watch->source);
    g_source_unref(&sock->watch->source);
    close(sock->fd);
    sock_unref(sock);
}

static void
sock_end(cq_sock_t *sock, cq_sock_end_t how)
{
    if (sock->closed) {
        return;
    }
    if (sock->finishing) {
        sock_close(sock);
        return;
    }
    /* The owner answers with finish or abort. */
    g_source_modify_unix_fd(&sock->watch->source, sock->tag, 0);
    sock->held = TRUE;
    sock->ops.ended(sock->ops.data, how);
}

static void
set_interest(cq_sock_t *sock)
{
    GIOCondition want = 0;
    if (!sock->held && !sock->finishing) {
        want |= G_IO_IN;
    }
    if (!sock->opened || sock->out->len > sock->out_at) {
        want |= G_IO_OUT;
    }
    g_source_modify_unix_fd(&sock->watch->source, sock->tag, want);
}

static void
flush(cq_sock_t *sock)
{
    while (sock->out_at < sock->out->len) {
        gssize n = send(sock->fd, sock->out->data + sock->out_at,
                        sock->out->len - sock->out_at, MSG_NOSIGNAL);
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
        sock->out_at += (gsize)n;
    }
    if (sock->out_at == sock->out->len) {
        gboolean had = sock->out_at > 0;
        g_byte_array_set_size(sock->out, 0);
        sock->out_at = 0;
        if (sock->finishing) {
            sock_close(sock);
            return;
        }
        set_interest(sock);
        if (had && sock->ops.drained != NULL) {
            sock->ops.drained(sock->ops.data);
        }
        return;
    }
    set_interest(sock);
}

static void
take_bytes(cq_sock_t *sock)
{
    char bytes[READ_BYTES];
    for (int i = 0; i < READS_AT_ONCE && !sock->closed && !sock->held; i++) {
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
finish_dial(cq_sock_t *sock)
{
    int fault = 0;
    socklen_t len = sizeof fault;
    getsockopt(sock->fd, SOL_SOCKET, SO_ERROR, &fault, &len);
    if (fault != 0) {
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

static gboolean
on_ready(GSource *source, GSourceFunc callback, gpointer data)
{
    (void)callback;
    (void)data;
    cq_sock_t *sock = ((watch_t *)(void *)source)->sock;
    GIOCondition got = g_source_query_unix_fd(source, sock->tag);
    sock->refs++;
    if (!sock->opened && got != 0) {
        finish_dial(sock);
    }
    else {
        if ((got & G_IO_OUT) != 0) {
            flush(sock);
        }
        if (!sock->closed && !sock->held &&
            (got & (G_IO_IN | G_IO_HUP | G_IO_ERR)) != 0) {
            take_bytes(sock);
        }
        else if (!sock->closed && (got & G_IO_ERR) != 0) {
            sock_end(sock, CQ_SOCK_RESET);
        }
    }
    sock_unref(sock);
    return G_SOURCE_CONTINUE;
}

static GSourceFuncs watch_funcs = {.dispatch = on_ready};

static cq_sock_t *
sock_new(int fd, const cq_sock_ops_t *ops, gboolean opened)
{
    cq_sock_t *sock = g_new0(cq_sock_t, 1);
    sock->fd = fd;
    sock->ops = *ops;
    sock->opened = opened;
    sock->refs = 1;
    sock->out = g_byte_array_new();
    GSource *source = g_source_new(&watch_funcs, sizeof(watch_t));
    sock->watch = (watch_t *)(void *)source;
    sock->watch->sock = sock;
    sock->tag = g_source_add_unix_fd(source, fd, 0);
    g_source_attach(source, NULL);
    set_interest(sock);
    return sock;
}

/* Unacknowledged bytes and a silent path end the connection. */
static void
set_options(int fd)
{
    int on = 1;
    int idle_s = CQ_TCP_KEEPALIVE_IDLE_S;
    int gap_s = CQ_TCP_KEEPALIVE_INTERVAL_S;
    int probes = CQ_TCP_KEEPALIVE_PROBES;
    unsigned int unacked_ms = CQ_TCP_UNACKED_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &gap_s, sizeof gap_s);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
               sizeof unacked_ms);
}

static gboolean
parse_addr(const char *addr, struct sockaddr_in *to)
{
    const char *colon = strrchr(addr, ':');
    char ip[INET_ADDRSTRLEN] = "";
    if (colon == NULL || (gsize)(colon - addr) >= sizeof ip) {
        return FALSE;
    }
    memcpy(ip, addr, (gsize)(colon - addr));
    guint64 port = g_ascii_strtoull(colon + 1, NULL, 10);
    memset(to, 0, sizeof *to);
    to->sin_family = AF_INET;
    to->sin_port = htons((guint16)port);
    return port > 0 && port <= G_MAXUINT16 &&
           inet_pton(AF_INET, ip, &to->sin_addr) == 1;
}

cq_sock_t *
cq_sock_from_fd(int fd, const cq_sock_ops_t *ops)
{
    g_unix_set_fd_nonblocking(fd, TRUE, NULL);
    set_options(fd);
    return sock_new(fd, ops, TRUE);
}

static gboolean
on_undialled(gpointer data)
{
    cq_sock_t *sock = data;
    sock_end(sock, CQ_SOCK_REFUSED);
    sock_unref(sock);
    return G_SOURCE_REMOVE;
}

cq_sock_t *
cq_sock_connect(const char *addr, const cq_sock_ops_t *ops)
{
    struct sockaddr_in to;
    gboolean good = parse_addr(addr, &to);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    g_assert(fd >= 0);
    set_options(fd);
    if (good) {
        int result = connect(fd, (struct sockaddr *)&to, sizeof to);
        good = result == 0 || errno == EINPROGRESS;
    }
    cq_sock_t *sock = sock_new(fd, ops, FALSE);
    if (!good) {
        /* Told from the main loop, so that the caller has its handle. */
        g_source_modify_unix_fd(&sock->watch->source, sock->tag, 0);
        sock->refs++;
        g_idle_add(on_undialled, sock);
    }
    return sock;
}

void
cq_sock_write(cq_sock_t *sock, const void *bytes, gsize len)
{
    if (sock->closed || sock->finishing) {
        return;
    }
    gboolean waiting = sock->out->len > sock->out_at;
    g_byte_array_append(sock->out, bytes, (guint)len);
    if (!sock->opened || waiting) {
        return;
    }
    gssize n = send(sock->fd, sock->out->data + sock->out_at,
                    sock->out->len - sock->out_at, MSG_NOSIGNAL);
    if (n > 0) {
        sock->out_at += (gsize)n;
    }
    if (sock->out_at == sock->out->len) {
        g_byte_array_set_size(sock->out, 0);
        sock->out_at = 0;
    }
    /* An error shows again, and is told, when the loop writes the rest. */
    set_interest(sock);
}

gsize
cq_sock_unwritten_bytes(const cq_sock_t *sock)
{
    return sock->out->len - sock->out_at;
}

gboolean
cq_sock_is_open(const cq_sock_t *sock)
{
    return sock->opened && !sock->closed;
}

void
cq_sock_pause_reading(cq_sock_t *sock, gboolean hold)
{
    if (sock->closed || sock->held == hold) {
        return;
    }
    sock->held = hold;
    set_interest(sock);
}

void
cq_sock_close_when_written(cq_sock_t *sock)
{
    if (sock->closed) {
        return;
    }
    sock->finishing = TRUE;
    if (sock->out->len == sock->out_at || !sock->opened) {
        sock_close(sock);
        return;
    }
    set_interest(sock);
}

void
cq_sock_abort(cq_sock_t *sock)
{
    if (sock->closed) {
        return;
    }
    struct linger now = {.l_onoff = 1, .l_linger = 0};
    setsockopt(sock->fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    sock_close(sock);
}

typedef struct {
    cq_sock_accepted_t accepted;
    void *data;
} listener_t;

static gboolean
on_connection(gint fd, GIOCondition condition, gpointer data)
{
    (void)condition;
    listener_t *listener = data;
    for (;;) {
        int got = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (got < 0) {
            return G_SOURCE_CONTINUE;
        }
        listener->accepted(got, listener->data);
    }
}

guint
cq_sock_listen(const char *addr, cq_sock_accepted_t accepted, void *data,
               cq_error_t *error)
{
    struct sockaddr_in at;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || !parse_addr(addr, &at) ||
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        bind(fd, (struct sockaddr *)&at, sizeof at) != 0 ||
        listen(fd, CQ_LISTEN_BACKLOG) != 0) {
        cq_error_set(error, CQ_ERROR_UNREACHABLE,
                     "%s: %s; give a free address of this host", addr,
                     g_strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return 0;
    }
    listener_t *listener = g_new0(listener_t, 1);
    listener->accepted = accepted;
    listener->data = data;
    GSource *source = g_unix_fd_source_new(fd, G_IO_IN);
    g_source_set_callback(source, G_SOURCE_FUNC(on_connection), listener,
                          g_free);
    guint id = g_source_attach(source, NULL);
    g_source_unref(source);
    return id;
}
