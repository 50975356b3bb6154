/* The links between one entry host and its upstreams: listens at the address
 * --name, at each port of --ports, and forwards to the same port of 127.0.0.1.
 * A call to the address --listen cuts and restores all links:
 *
 *   /cut?how=silent      connections carry nothing; new ones get no answer to
 *                        their SYN, as the listening socket's queue is full
 *   /cut?how=reset       connections are reset, new ones refused;
 *                        with spread_ms one after the other at this interval
 *   /cut?how=reset_used  connections are reset when either side sends bytes
 *                        next, which are lost; new ones are refused
 *   /cut?how=refuse_new  connections live on, new ones are refused
 *   /heal                the links work again; connections that were silent
 *                        carry what was written meanwhile, or are reset with
 *                        reset=1, as when the upstreams' TCP has given up
 *
 * All answer with the number of connections. On loopback the kernel still
 * acknowledges what a silent connection gets; so that the host's TCP gives up
 * as in a real silence, its side is reset after the time for which it waits
 * for an acknowledgement. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib-unix.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/limits.h"
#include "fleet.h"
#include "http/sock.h"

#define UPSTREAM_IP "127.0.0.1"
#define LISTEN_QUEUE 256
/* How often silent links are looked at. */
#define SILENCE_CHECK_MS 100

typedef enum {
    LINKS_WHOLE,
    LINKS_SILENT,
    LINKS_RESET,
    LINKS_RESET_USED,
    LINKS_REFUSE_NEW,
} links_state_t;

typedef struct {
    GPtrArray *ports;
    GList *links;
    links_state_t state;
    guint silence_check;
    guint next_reset;
} links_t;

/* A port at which the host reaches an upstream.
 * fd: listening socket; -1: none
 * filler_fd: connection that fills the queue of @fd; -1: none */
typedef struct {
    links_t *links;
    struct sockaddr_in addr;
    char upstream_addr[32];
    int fd;
    guint source;
    int filler_fd;
} port_t;

typedef struct link link_t;

/* One end of a link; sock is NULL once it has ended. */
typedef struct {
    link_t *link;
    cq_sock_t *sock;
} end_t;

/* host_fd: descriptor of host.sock
 * unread: bytes of the host wait in it while the link is silent
 * silent_us: since when the host gets no acknowledgement; 0: it does */
struct link {
    links_t *links;
    int host_fd;
    gboolean unread;
    gint64 silent_us;
    end_t host;
    end_t upstream;
};

static void
drop_sock(end_t *end, gboolean reset)
{
    cq_sock_t *sock = g_steal_pointer(&end->sock);
    if (sock != NULL && reset) {
        cq_sock_abort(sock);
    }
    else if (sock != NULL) {
        cq_sock_close_when_written(sock);
    }
}

static void
drop_link(link_t *link, gboolean reset)
{
    link->links->links = g_list_remove(link->links->links, link);
    drop_sock(&link->host, reset);
    drop_sock(&link->upstream, reset);
    g_free(link);
}

static void
on_received(void *data, const char *bytes, gsize len)
{
    end_t *end = data;
    link_t *link = end->link;
    if (link->links->state == LINKS_RESET_USED) {
        drop_link(link, TRUE);
        return;
    }
    end_t *other = end == &link->host ? &link->upstream : &link->host;
    if (other->sock != NULL) {
        cq_sock_write(other->sock, bytes, len);
    }
}

static void
on_ended(void *data, cq_sock_end_t how)
{
    end_t *end = data;
    if (end->link->links->state == LINKS_SILENT) {
        /* The other end learns nothing before the links work again. */
        drop_sock(end, TRUE);
        return;
    }
    drop_link(end->link, how != CQ_SOCK_EOF);
}

static void
open_end(end_t *end, link_t *link, int fd, const char *addr)
{
    cq_sock_ops_t ops = {
        .received = on_received, .ended = on_ended, .data = end};
    end->link = link;
    end->sock =
        addr != NULL ? cq_sock_connect(addr, &ops) : cq_sock_from_fd(fd, &ops);
}

static gboolean
is_filler(const port_t *port, int fd)
{
    struct sockaddr_in theirs = {0};
    struct sockaddr_in ours = {0};
    socklen_t len = sizeof theirs;
    getpeername(fd, (struct sockaddr *)&theirs, &len);
    len = sizeof ours;
    return port->filler_fd >= 0 &&
           getsockname(port->filler_fd, (struct sockaddr *)&ours, &len) == 0 &&
           ours.sin_port == theirs.sin_port;
}

/* Accepts all connections that wait. */
static void
accept_waiting(port_t *port)
{
    int fd;
    while ((fd = accept(port->fd, NULL, NULL)) >= 0) {
        g_unix_set_fd_nonblocking(fd, TRUE, NULL);
        if (is_filler(port, fd)) {
            close(fd);
            continue;
        }
        link_t *link = g_new0(link_t, 1);
        link->links = port->links;
        link->links->links = g_list_prepend(link->links->links, link);
        link->host_fd = fd;
        open_end(&link->host, link, fd, NULL);
        open_end(&link->upstream, link, -1, port->upstream_addr);
    }
}

static gboolean
on_connection(gint fd, GIOCondition condition, gpointer data)
{
    (void)fd;
    (void)condition;
    accept_waiting(data);
    return G_SOURCE_CONTINUE;
}

static void
stop_listening(port_t *port)
{
    if (port->source != 0) {
        g_source_remove(port->source);
        port->source = 0;
    }
    if (port->fd >= 0) {
        close(port->fd);
        port->fd = -1;
    }
}

static int
new_socket(void)
{
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

/* Return: FALSE when it can't listen. */
static gboolean
start_listening(port_t *port)
{
    int on = 1;
    if (port->fd < 0) {
        port->fd = new_socket();
        setsockopt(port->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (bind(port->fd, (struct sockaddr *)&port->addr,
                 sizeof port->addr) != 0) {
            fprintf(stderr, "standin: can't listen for %s: %s\n",
                    port->upstream_addr, g_strerror(errno));
            return FALSE;
        }
    }
    if (listen(port->fd, LISTEN_QUEUE) != 0) {
        return FALSE;
    }
    if (port->filler_fd >= 0) {
        accept_waiting(port);
        close(port->filler_fd);
        port->filler_fd = -1;
    }
    if (port->source == 0) {
        port->source = g_unix_fd_add(port->fd, G_IO_IN, on_connection, port);
    }
    return TRUE;
}

/* Fills the queue of connections to accept: the kernel ignores the SYN of
 * further ones. */
static void
stop_accepting(port_t *port)
{
    accept_waiting(port);
    g_source_remove(port->source);
    port->source = 0;
    listen(port->fd, 0);
    port->filler_fd = new_socket();
    if (connect(port->filler_fd, (struct sockaddr *)&port->addr,
                sizeof port->addr) != 0 &&
        errno != EINPROGRESS) {
        fprintf(stderr, "standin: can't fill the queue: %s\n",
                g_strerror(errno));
    }
}

static void
set_paused(links_t *links, gboolean paused)
{
    for (GList *item = links->links; item != NULL; item = item->next) {
        link_t *link = item->data;
        if (link->host.sock != NULL) {
            cq_sock_pause_reading(link->host.sock, paused);
        }
        if (link->upstream.sock != NULL) {
            cq_sock_pause_reading(link->upstream.sock, paused);
        }
    }
}

/* Resets the host's side of links on which its TCP would have given up. */
static gboolean
on_silence_check(gpointer data)
{
    links_t *links = data;
    gint64 now_us = g_get_monotonic_time();
    for (GList *item = links->links; item != NULL; item = item->next) {
        link_t *link = item->data;
        int unread = 0;
        if (link->host.sock == NULL) {
            continue;
        }
        ioctl(link->host_fd, FIONREAD, &unread);
        if (unread > 0 && !link->unread) {
            link->unread = TRUE;
            link->silent_us = now_us;
        }
        if (now_us - link->silent_us >= CQ_TCP_UNACKED_MS * CQ_MS_US) {
            drop_sock(&link->host, TRUE);
        }
    }
    return G_SOURCE_CONTINUE;
}

static void
start_silence(links_t *links)
{
    set_paused(links, TRUE);
    for (GList *item = links->links; item != NULL; item = item->next) {
        link_t *link = item->data;
        link->unread = FALSE;
        link->silent_us = g_get_monotonic_time();
    }
    links->silence_check =
        g_timeout_add(SILENCE_CHECK_MS, on_silence_check, links);
}

static void
heal(links_t *links, gboolean reset)
{
    gboolean was_silent = links->state == LINKS_SILENT;
    links->state = LINKS_WHOLE;
    if (links->next_reset != 0) {
        g_source_remove(links->next_reset);
        links->next_reset = 0;
    }
    for (GList *item = links->links; item != NULL && was_silent;) {
        link_t *link = item->data;
        item = item->next;
        if (reset || link->host.sock == NULL || link->upstream.sock == NULL) {
            drop_link(link, TRUE);
        }
    }
    if (was_silent) {
        g_source_remove(links->silence_check);
        set_paused(links, FALSE);
    }
    for (guint i = 0; i < links->ports->len; i++) {
        start_listening(g_ptr_array_index(links->ports, i));
    }
}

static gboolean
on_next_reset(gpointer data)
{
    links_t *links = data;
    if (links->links != NULL) {
        drop_link(links->links->data, TRUE);
        return G_SOURCE_CONTINUE;
    }
    links->next_reset = 0;
    return G_SOURCE_REMOVE;
}

static void
cut(links_t *links, links_state_t state, guint spread_ms)
{
    for (guint i = 0; i < links->ports->len; i++) {
        port_t *port = g_ptr_array_index(links->ports, i);
        if (state == LINKS_SILENT) {
            stop_accepting(port);
        }
        else {
            stop_listening(port);
        }
    }
    links->state = state;
    if (state == LINKS_SILENT) {
        start_silence(links);
    }
    while (state == LINKS_RESET && spread_ms == 0 && links->links != NULL) {
        drop_link(links->links->data, TRUE);
    }
    if (state == LINKS_RESET && spread_ms > 0) {
        links->next_reset = g_timeout_add(spread_ms, on_next_reset, links);
    }
}

static links_state_t
state_named(const char *how)
{
    if (g_strcmp0(how, "silent") == 0) {
        return LINKS_SILENT;
    }
    if (g_strcmp0(how, "reset") == 0) {
        return LINKS_RESET;
    }
    return g_strcmp0(how, "reset_used") == 0 ? LINKS_RESET_USED
                                             : LINKS_REFUSE_NEW;
}

static void
on_request(standin_conn_t *conn, const cq_h1_head_t *head, const char *path,
           const char *query, const GByteArray *body, void *data)
{
    (void)head;
    (void)body;
    links_t *links = data;
    guint connections = g_list_length(links->links);
    heal(links, standin_query_number(query, "reset", 0) != 0);
    if (strcmp(path, "/cut") == 0) {
        char *how = standin_query_text(query, "how");
        cut(links, state_named(how),
            (guint)standin_query_number(query, "spread_ms", 0));
        g_free(how);
    }
    char *text = g_strdup_printf("%u", connections);
    standin_answer(conn, 200, "", text, strlen(text));
    g_free(text);
}

gboolean
fleet_links(const fleet_options_t *options)
{
    links_t *links = g_new0(links_t, 1);
    links->ports = g_ptr_array_new();
    char **ports = g_strsplit(options->ports, ",", -1);
    gboolean listens = TRUE;
    for (guint i = 0; ports[i] != NULL && listens; i++) {
        port_t *port = g_new0(port_t, 1);
        port->links = links;
        port->fd = -1;
        port->filler_fd = -1;
        port->addr.sin_family = AF_INET;
        port->addr.sin_port =
            htons((guint16)g_ascii_strtoull(ports[i], NULL, 10));
        inet_pton(AF_INET, options->name, &port->addr.sin_addr);
        g_snprintf(port->upstream_addr, sizeof port->upstream_addr,
                   UPSTREAM_IP ":%s", ports[i]);
        g_ptr_array_add(links->ports, port);
        listens = start_listening(port);
    }
    g_strfreev(ports);
    return listens && standin_serve(options->listen_addr, on_request, links);
}
