/* Load generator: a fixed number of equal calls over persistent connections.
 * Prints the rate and percentiles of the latency. */
#include <stdio.h>
#include <string.h>

#include "standin.h"

typedef struct {
    const standin_options_t *options;
    SoupSession *session;
    GMainLoop *loop;
    GArray *latencies_us;
    int started;
    int in_flight;
    int failed;
} load_run_t;

/* One call of the load. */
typedef struct {
    load_run_t *load;
    SoupMessage *message;
    gint64 started_us;
} call_t;

static void
start_call(load_run_t *load);

static void
on_call_done(GObject *source, GAsyncResult *result, gpointer data)
{
    call_t *call = data;
    load_run_t *load = call->load;
    GBytes *body =
        soup_session_send_and_read_finish(SOUP_SESSION(source), result, NULL);
    gboolean succeeded =
        body != NULL && soup_message_get_status(call->message) == 200;
    gint64 latency_us = g_get_monotonic_time() - call->started_us;
    g_array_append_val(load->latencies_us, latency_us);
    load->failed += !succeeded;
    load->in_flight--;
    g_clear_pointer(&body, g_bytes_unref);
    g_object_unref(call->message);
    g_free(call);
    start_call(load);
    if (load->in_flight == 0) {
        g_main_loop_quit(load->loop);
    }
}

static void
start_call(load_run_t *load)
{
    if (load->started >= load->options->calls) {
        return;
    }
    load->started++;
    load->in_flight++;
    call_t *call = g_new0(call_t, 1);
    call->load = load;
    call->started_us = g_get_monotonic_time();
    call->message = soup_message_new("GET", load->options->url);
    soup_message_headers_replace(
        soup_message_get_request_headers(call->message), "Authorization",
        "Bearer demo-despacho");
    soup_session_send_and_read_async(load->session, call->message,
                                     G_PRIORITY_DEFAULT, NULL, on_call_done,
                                     call);
}

static gint
compare_latency(gconstpointer a, gconstpointer b)
{
    gint64 x = *(const gint64 *)a;
    gint64 y = *(const gint64 *)b;
    return x < y ? -1 : x > y;
}

static double
percentile_ms(GArray *latencies_us, guint percent)
{
    guint position = (latencies_us->len - 1) * percent / 100;
    return (double)g_array_index(latencies_us, gint64, position) / 1000.0;
}

int
standin_load(const standin_options_t *options)
{
    load_run_t load = {.options = options};
    load.loop = g_main_loop_new(NULL, FALSE);
    load.latencies_us = g_array_new(FALSE, FALSE, sizeof(gint64));
    load.session = soup_session_new_with_options(
        "max-conns", options->parallel, "max-conns-per-host",
        options->parallel, NULL);
    gint64 started_us = g_get_monotonic_time();
    for (int i = 0; i < options->parallel; i++) {
        start_call(&load);
    }
    g_main_loop_run(load.loop);
    double seconds = (double)(g_get_monotonic_time() - started_us) / 1e6;
    g_array_sort(load.latencies_us, compare_latency);
    printf("calls=%d failed=%d per_s=%.0f p50_ms=%.3f p99_ms=%.3f\n",
           options->calls, load.failed, options->calls / seconds,
           percentile_ms(load.latencies_us, 50),
           percentile_ms(load.latencies_us, 99));
    return load.failed > 0;
}
