#define _GNU_SOURCE
#include <arpa/inet.h>
#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/limits.h"
#include "http/sock.h"

/* Pause after a failure to accept, for want of a descriptor or memory. The
 * connection still waits then, and would wake the process at once. */
#define PAUSE_US (100 * CQ_MS_US)

/* Descriptors that connections don't use: this share of all, and at most this
 * number. Whatever else the process opens needs some. */
#define SPARE_SHARE 8
#define SPARE_MAX 16

typedef struct {
    GSource source;
    int fd;
    gpointer tag;
    gboolean paused;
    cq_sock_accepted_t accepted;
    void *data;
} listener_t;

static void
set_paused(listener_t *listener, gboolean paused)
{
    GSource *source = &listener->source;
    if (listener->paused == paused) {
        return;
    }
    listener->paused = paused;
    g_source_modify_unix_fd(source, listener->tag, paused ? 0 : G_IO_IN);
    g_source_set_ready_time(source,
                            paused ? g_get_monotonic_time() + PAUSE_US : -1);
}

static gboolean
on_connections(GSource *source, GSourceFunc callback, gpointer data)
{
    (void)callback;
    (void)data;
    listener_t *listener = (listener_t *)(void *)source;
    set_paused(listener, FALSE);
    while (!g_source_is_destroyed(source)) {
        int fd =
            accept4(listener->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0 && (errno == EINTR || errno == ECONNABORTED)) {
            continue;
        }
        if (fd < 0) {
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS ||
                errno == ENOMEM) {
                set_paused(listener, TRUE);
            }
            break;
        }
        if ((guint)fd >= cq_sock_descriptors()) {
            close(fd);
            fd = -1;
        }
        listener->accepted(fd, listener->data);
    }
    return G_SOURCE_CONTINUE;
}

static void
on_finalized(GSource *source)
{
    close(((listener_t *)(void *)source)->fd);
}

static GSourceFuncs listener_funcs = {
    .dispatch = on_connections,
    .finalize = on_finalized,
};

gboolean
cq_sock_parse_address(const char *addr, struct sockaddr_in *to)
{
    const char *colon = strrchr(addr, ':');
    char ip[INET_ADDRSTRLEN] = "";
    if (colon == NULL || (gsize)(colon - addr) >= sizeof ip) {
        return FALSE;
    }
    memcpy(ip, addr, (gsize)(colon - addr));
    guint64 port = 0;
    if (!g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16, &port,
                                    NULL)) {
        return FALSE;
    }
    memset(to, 0, sizeof *to);
    to->sin_family = AF_INET;
    to->sin_port = htons((guint16)port);
    return inet_pton(AF_INET, ip, &to->sin_addr) == 1;
}

gboolean
cq_sock_is_address(const char *addr)
{
    struct sockaddr_in address;
    return cq_sock_parse_address(addr, &address);
}

guint
cq_sock_descriptors(void)
{
    struct rlimit limit = {0};
    getrlimit(RLIMIT_NOFILE, &limit);
    guint max = (guint)MIN(limit.rlim_cur, G_MAXINT32);
    return max - MIN(max / SPARE_SHARE, SPARE_MAX);
}

guint
cq_sock_listen(const char *addr, cq_sock_accepted_t accepted, void *data,
               cq_error_t *error)
{
    struct sockaddr_in address;
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0 || !cq_sock_parse_address(addr, &address) ||
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
        bind(fd, (struct sockaddr *)&address, sizeof address) != 0 ||
        listen(fd, CQ_LISTEN_BACKLOG) != 0) {
        cq_error_set(error, CQ_ERROR_UNREACHABLE,
                     "%s: %s; give a free address of this host", addr,
                     g_strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return 0;
    }
    GSource *source = g_source_new(&listener_funcs, sizeof(listener_t));
    listener_t *listener = (listener_t *)(void *)source;
    listener->fd = fd;
    listener->accepted = accepted;
    listener->data = data;
    listener->tag = g_source_add_unix_fd(source, fd, G_IO_IN);
    guint id = g_source_attach(source, NULL);
    g_source_unref(source);
    return id;
}
