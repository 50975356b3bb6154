/* A bounded load of equal calls over kept connections, and how long each
 * took. */
#include <stdio.h>
#include <string.h>

#include "standin.h"

typedef struct {
    const standin_options_t *options;
    SoupSession *session;
    GMainLoop *loop;
    GArray *times;
    int started;
    int open;
    int failed;
} load_t;

typedef struct {
    load_t *load;
    SoupMessage *message;
    gint64 from_us;
} call_t;

static void
start(load_t *load);

static void
on_done(GObject *source, GAsyncResult *result, gpointer data)
{
    call_t *call = data;
    load_t *load = call->load;
    GBytes *body =
        soup_session_send_and_read_finish(SOUP_SESSION(source), result, NULL);
    gboolean good =
        body != NULL && soup_message_get_status(call->message) == 200;
    gint64 took_us = g_get_monotonic_time() - call->from_us;
    g_array_append_val(load->times, took_us);
    load->failed += !good;
    load->open--;
    g_clear_pointer(&body, g_bytes_unref);
    g_object_unref(call->message);
    g_free(call);
    start(load);
    if (load->open == 0) {
        g_main_loop_quit(load->loop);
    }
}

static void
start(load_t *load)
{
    if (load->started >= load->options->calls) {
        return;
    }
    load->started++;
    load->open++;
    call_t *call = g_new0(call_t, 1);
    call->load = load;
    call->from_us = g_get_monotonic_time();
    call->message = soup_message_new("GET", load->options->url);
    soup_message_headers_replace(
        soup_message_get_request_headers(call->message), "Authorization",
        "Bearer demo-despacho");
    soup_session_send_and_read_async(load->session, call->message,
                                     G_PRIORITY_DEFAULT, NULL, on_done, call);
}

static gint
by_time(gconstpointer a, gconstpointer b)
{
    gint64 x = *(const gint64 *)a;
    gint64 y = *(const gint64 *)b;
    return x < y ? -1 : x > y;
}

static double
percentile_ms(GArray *times, guint percent)
{
    guint at = (times->len - 1) * percent / 100;
    return (double)g_array_index(times, gint64, at) / 1000.0;
}

int
standin_load(const standin_options_t *options)
{
    load_t load = {.options = options};
    load.loop = g_main_loop_new(NULL, FALSE);
    load.times = g_array_new(FALSE, FALSE, sizeof(gint64));
    load.session = soup_session_new_with_options(
        "max-conns", options->parallel, "max-conns-per-host",
        options->parallel, NULL);
    gint64 from_us = g_get_monotonic_time();
    for (int i = 0; i < options->parallel; i++) {
        start(&load);
    }
    g_main_loop_run(load.loop);
    double seconds = (double)(g_get_monotonic_time() - from_us) / 1e6;
    g_array_sort(load.times, by_time);
    printf("calls=%d failed=%d per_s=%.0f p50_ms=%.3f p99_ms=%.3f\n",
           options->calls, load.failed, options->calls / seconds,
           percentile_ms(load.times, 50), percentile_ms(load.times, 99));
    return load.failed > 0;
}
