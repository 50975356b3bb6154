/* Callers that read slowly: --count of them connect to the entry host, each
 * with one request for --kinds, and each reads a few bytes every --every-ms,
 * or none with 0. Prints `open=N ended=N` each time the number of those whose
 * connection has ended changes. */
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet.h"
#include "http/sock.h"

/* The window of a caller; the kernel's least is somewhat larger. */
#define RECEIVE_BUFFER_BYTES 4096
#define READ_BYTES 256
#define CONNECTS_PER_WAKEUP 20
#define CONNECT_INTERVAL_MS 10
#define END_CHECK_MS 100

typedef struct {
    const fleet_options_t *options;
    struct sockaddr_in to;
    GArray *fds;
    guint ended;
} slow_t;

static void
open_caller(slow_t *slow)
{
    int size = RECEIVE_BUFFER_BYTES;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    char *text = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: fleet.example\r\n"
        "Cuminquay-Credential: secret-1\r\nCuminquay-Attempt-Id: %s%u\r\n\r\n",
        slow->options->kinds, slow->options->name, slow->fds->len);
    if (connect(fd, (struct sockaddr *)&slow->to, sizeof slow->to) != 0 ||
        send(fd, text, strlen(text), MSG_NOSIGNAL) < 0) {
        perror("fleetstandin: slow caller");
    }
    g_free(text);
    g_array_append_val(slow->fds, fd);
}

static gboolean
on_connect(gpointer data)
{
    slow_t *slow = data;
    for (int i = 0; i < CONNECTS_PER_WAKEUP &&
                    slow->fds->len < (guint)slow->options->count;
         i++) {
        open_caller(slow);
    }
    return slow->fds->len < (guint)slow->options->count;
}

/* Reads up to @len bytes of each connection, or looks whether it has ended. */
static void
read_all(slow_t *slow, gsize len)
{
    char bytes[READ_BYTES];
    guint before = slow->ended;
    for (guint i = 0; i < slow->fds->len; i++) {
        int *fd = &g_array_index(slow->fds, int, i);
        int error = 0;
        socklen_t error_len = sizeof error;
        if (*fd < 0) {
            continue;
        }
        gboolean ended =
            getsockopt(*fd, SOL_SOCKET, SO_ERROR, &error, &error_len) != 0 ||
            error != 0;
        if (!ended && len > 0) {
            ended = recv(*fd, bytes, len, MSG_DONTWAIT) == 0;
        }
        if (ended) {
            close(*fd);
            *fd = -1;
            slow->ended++;
        }
    }
    if (slow->ended != before) {
        printf("open=%u ended=%u\n", slow->fds->len - slow->ended,
               slow->ended);
        fflush(stdout);
    }
}

static gboolean
on_read(gpointer data)
{
    read_all(data, READ_BYTES);
    return G_SOURCE_CONTINUE;
}

static gboolean
on_end_check(gpointer data)
{
    read_all(data, 0);
    return G_SOURCE_CONTINUE;
}

gboolean
fleet_slow_callers(const fleet_options_t *options)
{
    slow_t *slow = g_new0(slow_t, 1);
    slow->options = options;
    slow->fds = g_array_new(FALSE, FALSE, sizeof(int));
    if (!cq_sock_parse_address(options->listen_addr, &slow->to)) {
        return FALSE;
    }
    g_timeout_add(CONNECT_INTERVAL_MS, on_connect, slow);
    g_timeout_add(END_CHECK_MS, on_end_check, slow);
    if (options->every_ms > 0) {
        g_timeout_add((guint)options->every_ms, on_read, slow);
    }
    return TRUE;
}
