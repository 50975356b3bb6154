/* Callers that wake in the same second: connections opened evenly over it,
 * each with one request. Prints how long the slowest connection took. */
#include <stdio.h>
#include <string.h>

#include "base/limits.h"
#include "fleet.h"
#include "http/sock.h"

#define CALLERS 500
#define SPAN_MS 1000
#define LIMIT_MS 10000

typedef struct {
    const fleet_options_t *options;
    guint begun;
    guint opened;
    guint answered;
    gint64 slowest_us;
} wake_t;

typedef struct {
    wake_t *wake;
    cq_sock_t *sock;
    gint64 dialled_us;
} caller_t;

static void
on_opened(void *data)
{
    caller_t *caller = data;
    gint64 us = g_get_monotonic_time() - caller->dialled_us;
    caller->wake->opened++;
    caller->wake->slowest_us = MAX(caller->wake->slowest_us, us);
}

static void
on_received(void *data, const char *bytes, gsize len)
{
    caller_t *caller = data;
    (void)len;
    if (g_str_has_prefix(bytes, "HTTP/1.1 200")) {
        caller->wake->answered++;
    }
}

static void
on_ended(void *data, cq_sock_end_t how)
{
    (void)data;
    (void)how;
}

static gboolean
on_caller(gpointer data)
{
    wake_t *wake = data;
    caller_t *caller = g_new0(caller_t, 1);
    cq_sock_ops_t ops = {
        .opened = on_opened,
        .received = on_received,
        .ended = on_ended,
        .data = caller,
    };
    caller->wake = wake;
    caller->dialled_us = g_get_monotonic_time();
    caller->sock = cq_sock_connect(wake->options->listen_addr, &ops);
    const char *text = "GET /safe/ok HTTP/1.1\r\nHost: fleet.example\r\n"
                       "Cuminquay-Credential: secret-1\r\n\r\n";
    cq_sock_write(caller->sock, text, strlen(text));
    return ++wake->begun < CALLERS;
}

static gboolean
on_limit(gpointer data)
{
    *(gboolean *)data = TRUE;
    return G_SOURCE_REMOVE;
}

gboolean
fleet_wake(const fleet_options_t *options)
{
    wake_t wake = {.options = options};
    gboolean late = FALSE;
    g_timeout_add(SPAN_MS / CALLERS, on_caller, &wake);
    g_timeout_add(LIMIT_MS, on_limit, &late);
    while (wake.answered < CALLERS && !late) {
        g_main_context_iteration(NULL, TRUE);
    }
    printf("callers=%d opened=%u answered=%u slowest_ms=%d\n", CALLERS,
           wake.opened, wake.answered, (int)(wake.slowest_us / CQ_MS_US));
    return FALSE;
}
