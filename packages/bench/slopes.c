#include "bench/slopes.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "bench/workload.h"
#include "config/service.h"
#include "wire/codec.h"

#define REQUESTS 20000
#define WARMUP_REQUESTS 2000
/* 11 requests per second: the load of one host in a deployment of the size
 * that the system is designed for. */
#define REQUEST_PERIOD_US (90 * CQ_MS_US)
/* Number of open requests: a request is finished as soon as this many newer
 * ones have been sent. */
#define OPEN_REQUESTS 64
#define TICKS 2000
#define TOKENS 200000
#define CLAIMS 100000
#define OWN_ZONE "z0"

static const guint upstream_counts[] = {20, 300, 4800};
static const guint host_counts[] = {4, 33, 330};

static const char rules_text[] =
    "[service]\nname = \"modelo\"\nkind = \"model\"\nauth = \"none\"\n"
    "[engines]\ngroup_max = 8\nresume = true\n"
    "[[model]]\nname = \"m\"\n[[team]]\nname = \"t\"\n";

typedef struct {
    cq_core_t *core;
    cq_actions_t actions;
    gint64 now_us;
    guint64 last_request; /* id of the latest request */
} fixture_t;

static gint64
cpu_time_ns(void)
{
    struct timespec at;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
    return at.tv_sec * G_GINT64_CONSTANT(1000000000) + at.tv_nsec;
}

static void
step(fixture_t *fixture, const cq_event_t *event)
{
    cq_actions_reset(&fixture->actions);
    cq_core_step(fixture->core, fixture->now_us, event, &fixture->actions);
}

/* The largest size has ten zones, as in the deployment that the system is
 * designed for; the others have three. */
static void
post_host_list(fixture_t *fixture, guint upstreams, guint hosts)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(cq_host_row_t));
    for (guint i = 0; i < upstreams + hosts; i++) {
        cq_host_row_t row = {.incarnation = 1};
        gboolean is_upstream = i < upstreams;
        g_snprintf(row.name, sizeof row.name, "%s-%u",
                   is_upstream ? "engine" : "host", i);
        g_snprintf(row.zone, sizeof row.zone, "z%u",
                   upstreams > 300 ? i % 10 : i % 3);
        g_strlcpy(row.service, is_upstream ? "modelo" : "",
                  sizeof row.service);
        g_strlcpy(row.addr, "127.0.0.1:1", sizeof row.addr);
        g_array_append_val(rows, row);
    }
    cq_event_t event = {.kind = CQ_EV_HOSTS};
    event.hosts.rows = (const cq_host_row_t *)(const void *)rows->data;
    event.hosts.len = rows->len;
    step(fixture, &event);
    g_array_unref(rows);
}

static void
post_peer_summaries(fixture_t *fixture, guint peers)
{
    for (guint i = 0; i < peers; i++) {
        cq_summary_t summary = {.host = i + 1000, .incarnation = 1};
        cq_event_t event = {.kind = CQ_EV_SUMMARY, .summary = &summary};
        step(fixture, &event);
    }
}

static void
init_fixture(fixture_t *fixture, guint upstreams, guint hosts)
{
    cq_core_options_t options = {
        .host = "host-0", .zone = OWN_ZONE, .seed = 1};
    *fixture = (fixture_t){.core = cq_core_new(&options)};
    cq_actions_init(&fixture->actions);
    fixture->now_us = CQ_SECOND_US;
    cq_error_t error = {0};
    cq_rules_t *rules = cq_service_parse(rules_text, "slopes", &error);
    rules->version = 1;
    cq_event_t event = {.kind = CQ_EV_RULES, .rules = rules};
    step(fixture, &event);
    cq_rules_unref(rules);
    post_host_list(fixture, upstreams, hosts);
    guint peers;
    cq_core_peers(fixture->core, &peers);
    post_peer_summaries(fixture, peers);
}

static void
clear_fixture(fixture_t *fixture)
{
    cq_core_free(fixture->core);
    cq_actions_clear(&fixture->actions);
}

static void
send_request(fixture_t *fixture)
{
    cq_event_t event = {.kind = CQ_EV_REQUEST};
    event.request.id = ++fixture->last_request;
    event.request.service = "modelo";
    event.request.team = "t";
    event.request.model = "m";
    event.request.repeatable = TRUE;
    event.request.prompt_tokens =
        1000 + (gint64)(fixture->last_request * 7919 % 90000);
    event.request.output_tokens = 300;
    event.request.prefixes_len = 1;
    event.request.prefixes[0].hash = fixture->last_request % 400 + 1;
    event.request.prefixes[0].tokens = 500;
    step(fixture, &event);
}

static void
finish_request(fixture_t *fixture, guint64 id)
{
    cq_event_t event = {.kind = CQ_EV_TOKENS};
    event.attempt.request = id;
    event.attempt.attempt = 1;
    event.attempt.tokens = 1;
    step(fixture, &event);
    event.kind = CQ_EV_DONE;
    event.attempt.status = 200;
    step(fixture, &event);
}

/* Returns the mean CPU time of a decision: the core's step for a new request,
 * which chooses an upstream. */
static double
measure_decision_ns(fixture_t *fixture)
{
    gint64 spent_ns = 0;
    for (guint i = 0; i < WARMUP_REQUESTS + REQUESTS; i++) {
        fixture->now_us += REQUEST_PERIOD_US;
        gint64 start_ns = cpu_time_ns();
        send_request(fixture);
        if (i >= WARMUP_REQUESTS) {
            spent_ns += cpu_time_ns() - start_ns;
        }
        if (fixture->last_request > OPEN_REQUESTS) {
            finish_request(fixture, fixture->last_request - OPEN_REQUESTS);
        }
    }
    /* Every request must have been sent to an upstream in its first step; a
     * step that queues the request makes no decision. */
    const cq_counters_t *counters = cq_core_counters(fixture->core);
    g_assert(counters->value[CQ_N_ATTEMPTS] == fixture->last_request);
    return (double)spent_ns / REQUESTS;
}

static double
measure_tick_ns(fixture_t *fixture)
{
    gint64 start_ns = cpu_time_ns();
    for (guint i = 0; i < TICKS; i++) {
        fixture->now_us += CQ_TICK_US;
        cq_event_t event = {.kind = CQ_EV_TICK};
        step(fixture, &event);
    }
    return (double)(cpu_time_ns() - start_ns) / TICKS;
}

/* Returns the mean CPU time of a step for a token after the first. */
static double
measure_token_ns(fixture_t *fixture)
{
    cq_event_t event = {.kind = CQ_EV_TOKENS};
    event.attempt.request = fixture->last_request;
    event.attempt.attempt = 1;
    event.attempt.tokens = 1;
    gint64 start_ns = cpu_time_ns();
    for (guint i = 0; i < TOKENS; i++) {
        fixture->now_us += 1;
        step(fixture, &event);
    }
    g_assert(fixture->actions.items->len == 1);
    return (double)(cpu_time_ns() - start_ns) / TOKENS;
}

static gsize
allocated_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static void
measure_size(guint upstreams, guint hosts)
{
    gsize start_bytes = allocated_bytes();
    fixture_t fixture;
    init_fixture(&fixture, upstreams, hosts);
    double decision_ns = measure_decision_ns(&fixture);
    gsize bytes = allocated_bytes() - start_bytes;
    double token_ns = measure_token_ns(&fixture);
    double tick_ns = measure_tick_ns(&fixture);
    clear_fixture(&fixture);
    printf("slope.decision.%u_upstreams.%u_hosts %.0f ns\n", upstreams, hosts,
           decision_ns);
    printf("slope.token.%u_upstreams.%u_hosts %.0f ns\n", upstreams, hosts,
           token_ns);
    printf("slope.tick.%u_upstreams.%u_hosts %.0f ns\n", upstreams, hosts,
           tick_ns);
    printf("slope.memory.%u_upstreams.%u_hosts %zu B\n", upstreams, hosts,
           bytes);
}

static void
measure_claims(void)
{
    fixture_t fixture;
    init_fixture(&fixture, 20, 4);
    gsize start_bytes = allocated_bytes();
    gint64 start_ns = cpu_time_ns();
    for (guint i = 0; i < CLAIMS; i++) {
        cq_event_t event = {.kind = CQ_EV_CLAIM};
        event.claim.key.hi = i + 1;
        event.claim.key.lo = cq_ident_hash("key") * i;
        event.claim.request = i + 1;
        step(&fixture, &event);
    }
    printf("slope.claim %.0f ns\n",
           (double)(cpu_time_ns() - start_ns) / CLAIMS);
    printf("slope.claim_memory %.0f B\n",
           (double)(allocated_bytes() - start_bytes) / CLAIMS);
    clear_fixture(&fixture);
}

static void
print_message_sizes(void)
{
    cq_hlc_t clock = {G_GINT64_CONSTANT(1700000000000000), 3};
    static const guint share_counts[] = {0, 1, 8, CQ_UPSTREAM_SUBSET_MAX};
    for (guint i = 0; i < G_N_ELEMENTS(share_counts); i++) {
        cq_summary_t summary = {.host = 1, .incarnation = 1700000000000};
        summary.shares_len = share_counts[i];
        for (guint k = 0; k < share_counts[i]; k++) {
            cq_share_t *share = &summary.shares[k];
            share->upstream = cq_ident_hash("engine") + k;
            share->streams = 8;
            share->kv_tokens = 250000;
            for (int klass = 0; klass < 4; klass++) {
                share->placed_us[klass] = 1000000000LL * (klass + 1);
            }
        }
        GBytes *frame = cq_codec_encode_summary(&summary, clock, NULL);
        printf("slope.summary.%u_shares %zu B\n", share_counts[i],
               g_bytes_get_size(frame));
        g_bytes_unref(frame);
    }
}

void
cq_slopes_print(void)
{
    for (guint i = 0; i < G_N_ELEMENTS(upstream_counts); i++) {
        measure_size(upstream_counts[i], host_counts[i]);
    }
    measure_claims();
    print_message_sizes();
}
