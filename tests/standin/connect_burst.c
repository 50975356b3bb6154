/* Opens many connections at equal intervals within one second, each with one
 * request. Prints how long the slowest connect took. */
#include <stdio.h>
#include <string.h>

#include "base/limits.h"
#include "fleet.h"
#include "http/sock.h"

#define CALLERS 500
#define BURST_MS 1000
#define BURST_TIMEOUT_MS 10000

typedef struct {
    const fleet_options_t *options;
    guint started;
    guint opened;
    guint answered;
    gint64 slowest_us;
} burst_t;

/* One connection with one request. */
typedef struct {
    burst_t *burst;
    cq_sock_t *sock;
    gint64 started_us;
} caller_t;

static void
on_opened(void *data)
{
    caller_t *caller = data;
    gint64 connect_us = g_get_monotonic_time() - caller->started_us;
    caller->burst->opened++;
    caller->burst->slowest_us = MAX(caller->burst->slowest_us, connect_us);
}

static void
on_received(void *data, const char *bytes, gsize len)
{
    caller_t *caller = data;
    (void)len;
    if (g_str_has_prefix(bytes, "HTTP/1.1 200")) {
        caller->burst->answered++;
    }
}

static void
on_ended(void *data, cq_sock_end_t how)
{
    (void)data;
    (void)how;
}

/* Opens the next connection. Return: whether more are to be opened. */
static gboolean
on_next_caller(gpointer data)
{
    burst_t *burst = data;
    caller_t *caller = g_new0(caller_t, 1);
    cq_sock_ops_t ops = {
        .opened = on_opened,
        .received = on_received,
        .ended = on_ended,
        .data = caller,
    };
    caller->burst = burst;
    caller->started_us = g_get_monotonic_time();
    caller->sock = cq_sock_connect(burst->options->listen_addr, &ops);
    const char *text = "GET /safe/ok HTTP/1.1\r\nHost: fleet.example\r\n"
                       "Cuminquay-Credential: secret-1\r\n\r\n";
    cq_sock_write(caller->sock, text, strlen(text));
    return ++burst->started < CALLERS;
}

static gboolean
on_timeout(gpointer data)
{
    *(gboolean *)data = TRUE;
    return G_SOURCE_REMOVE;
}

gboolean
fleet_connect_burst(const fleet_options_t *options)
{
    burst_t burst = {.options = options};
    gboolean timed_out = FALSE;
    g_timeout_add(BURST_MS / CALLERS, on_next_caller, &burst);
    g_timeout_add(BURST_TIMEOUT_MS, on_timeout, &timed_out);
    while (burst.answered < CALLERS && !timed_out) {
        g_main_context_iteration(NULL, TRUE);
    }
    printf("callers=%d opened=%u answered=%u slowest_ms=%d\n", CALLERS,
           burst.opened, burst.answered, (int)(burst.slowest_us / CQ_MS_US));
    return FALSE;
}
