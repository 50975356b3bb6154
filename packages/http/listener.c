#define _GNU_SOURCE
#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/limits.h"
#include "http/sock.h"

typedef struct {
    int fd;
    cq_sock_accepted_t accepted;
    void *data;
} listener_t;

static void
listener_free(gpointer data)
{
    listener_t *listener = data;
    close(listener->fd);
    g_free(listener);
}

static gboolean
on_connection(gint fd, GIOCondition condition, gpointer data)
{
    (void)condition;
    listener_t *listener = data;
    for (;;) {
        int accepted_fd =
            accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted_fd < 0) {
            return G_SOURCE_CONTINUE;
        }
        listener->accepted(accepted_fd, listener->data);
    }
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
    listener_t *listener = g_new0(listener_t, 1);
    listener->fd = fd;
    listener->accepted = accepted;
    listener->data = data;
    GSource *source = g_unix_fd_source_new(fd, G_IO_IN);
    g_source_set_callback(source, G_SOURCE_FUNC(on_connection), listener,
                          listener_free);
    guint id = g_source_attach(source, NULL);
    g_source_unref(source);
    return id;
}
