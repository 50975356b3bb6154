#include "bench/slopes.h"

#include <malloc.h>
#include <stdio.h>
#include <time.h>

#include "bench/work.h"
#include "config/service.h"
#include "core/member.h"
#include "wire/codec.h"

#define REQUESTS 20000
#define WARM_REQUESTS 2000
/* 11 requests a second, a host's part of the size to design for. */
#define STEP_US (90 * CQ_MS_US)
#define ANSWER_AFTER 64
#define TICKS 2000
#define TOKENS 200000
#define CLAIMS 100000
#define PEERS_LISTED_ZONE "z0"

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
    guint64 next;
} bed_t;

static gint64
processor_ns(void)
{
    struct timespec at;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
    return at.tv_sec * G_GINT64_CONSTANT(1000000000) + at.tv_nsec;
}

static void
step(bed_t *bed, const cq_event_t *event)
{
    cq_actions_reset(&bed->actions);
    cq_core_step(bed->core, bed->now_us, event, &bed->actions);
}

/* Zones as the size to design for has them: one in ten. */
static void
add_hosts(bed_t *bed, guint upstreams, guint hosts)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(cq_host_row_t));
    for (guint i = 0; i < upstreams + hosts; i++) {
        cq_host_row_t row = {.incarnation = 1};
        gboolean upstream = i < upstreams;
        g_snprintf(row.name, sizeof row.name, "%s-%u",
                   upstream ? "engine" : "host", i);
        g_snprintf(row.zone, sizeof row.zone, "z%u",
                   upstreams > 300 ? i % 10 : i % 3);
        g_strlcpy(row.service, upstream ? "modelo" : "", sizeof row.service);
        g_strlcpy(row.addr, "127.0.0.1:1", sizeof row.addr);
        g_array_append_val(rows, row);
    }
    cq_event_t event = {.kind = CQ_EV_HOSTS};
    event.hosts.rows = (const cq_host_row_t *)(const void *)rows->data;
    event.hosts.len = rows->len;
    step(bed, &event);
    g_array_unref(rows);
}

static void
add_peers(bed_t *bed, guint peers)
{
    for (guint i = 0; i < peers; i++) {
        cq_summary_t summary = {.host = i + 1000, .incarnation = 1};
        cq_event_t event = {.kind = CQ_EV_SUMMARY, .summary = &summary};
        step(bed, &event);
    }
}

static void
make_bed(bed_t *bed, guint upstreams, guint hosts)
{
    cq_core_options_t options = {
        .host = "host-0", .zone = PEERS_LISTED_ZONE, .seed = 1};
    *bed = (bed_t){.core = cq_core_new(&options)};
    cq_actions_init(&bed->actions);
    bed->now_us = CQ_SECOND_US;
    cq_error_t error = {0};
    cq_rules_t *rules = cq_service_parse(rules_text, "slopes", &error);
    rules->version = 1;
    cq_event_t event = {.kind = CQ_EV_RULES, .rules = rules};
    step(bed, &event);
    cq_rules_unref(rules);
    add_hosts(bed, upstreams, hosts);
    add_peers(bed, cq_member_link_count(hosts - 1));
}

static void
free_bed(bed_t *bed)
{
    cq_core_free(bed->core);
    cq_actions_clear(&bed->actions);
}

static void
ask(bed_t *bed)
{
    cq_event_t event = {.kind = CQ_EV_REQUEST};
    event.request.id = ++bed->next;
    event.request.service = "modelo";
    event.request.team = "t";
    event.request.model = "m";
    event.request.repeatable = TRUE;
    event.request.prompt_tokens = 1000 + (gint64)(bed->next * 7919 % 90000);
    event.request.output_tokens = 300;
    event.request.prefixes_len = 1;
    event.request.prefixes[0].hash = bed->next % 400 + 1;
    event.request.prefixes[0].tokens = 500;
    step(bed, &event);
}

static void
finish(bed_t *bed, guint64 id)
{
    cq_event_t event = {.kind = CQ_EV_TOKENS};
    event.attempt.request = id;
    event.attempt.attempt = 1;
    event.attempt.tokens = 1;
    step(bed, &event);
    event.kind = CQ_EV_DONE;
    event.attempt.status = 200;
    step(bed, &event);
}

/* A decision is the step that takes a request in and places it. */
static double
decision_ns(bed_t *bed)
{
    gint64 spent_ns = 0;
    for (guint i = 0; i < WARM_REQUESTS + REQUESTS; i++) {
        bed->now_us += STEP_US;
        gint64 before = processor_ns();
        ask(bed);
        if (i >= WARM_REQUESTS) {
            spent_ns += processor_ns() - before;
        }
        if (bed->next > ANSWER_AFTER) {
            finish(bed, bed->next - ANSWER_AFTER);
        }
    }
    /* Every request was placed at once, or it would not be a decision. */
    const cq_counters_t *counters = cq_core_counters(bed->core);
    g_assert(counters->value[CQ_N_ATTEMPTS] == bed->next);
    return (double)spent_ns / REQUESTS;
}

static double
tick_ns(bed_t *bed)
{
    gint64 before = processor_ns();
    for (guint i = 0; i < TICKS; i++) {
        bed->now_us += CQ_TICK_US;
        cq_event_t event = {.kind = CQ_EV_TICK};
        step(bed, &event);
    }
    return (double)(processor_ns() - before) / TICKS;
}

/* A token of a stream that has begun. */
static double
token_ns(bed_t *bed)
{
    cq_event_t event = {.kind = CQ_EV_TOKENS};
    event.attempt.request = bed->next;
    event.attempt.attempt = 1;
    event.attempt.tokens = 1;
    gint64 before = processor_ns();
    for (guint i = 0; i < TOKENS; i++) {
        bed->now_us += 1;
        step(bed, &event);
    }
    g_assert(bed->actions.items->len == 1);
    return (double)(processor_ns() - before) / TOKENS;
}

static gsize
allocated(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

static void
measure(guint upstreams, guint hosts)
{
    gsize before = allocated();
    bed_t bed;
    make_bed(&bed, upstreams, hosts);
    double decision = decision_ns(&bed);
    gsize bytes = allocated() - before;
    double token = token_ns(&bed);
    double tick = tick_ns(&bed);
    free_bed(&bed);
    printf("slope.decision.%u_upstreams.%u_hosts %.0f ns\n", upstreams, hosts,
           decision);
    printf("slope.token.%u_upstreams.%u_hosts %.0f ns\n", upstreams, hosts,
           token);
    printf("slope.tick.%u_upstreams.%u_hosts %.0f ns\n", upstreams, hosts,
           tick);
    printf("slope.memory.%u_upstreams.%u_hosts %zu B\n", upstreams, hosts,
           bytes);
}

static void
measure_claims(void)
{
    bed_t bed;
    make_bed(&bed, 20, 4);
    gsize before = allocated();
    gint64 before_ns = processor_ns();
    for (guint i = 0; i < CLAIMS; i++) {
        cq_event_t event = {.kind = CQ_EV_CLAIM};
        event.claim.key.hi = i + 1;
        event.claim.key.lo = cq_ident_hash("key") * i;
        event.claim.request = i + 1;
        step(&bed, &event);
    }
    printf("slope.claim %.0f ns\n",
           (double)(processor_ns() - before_ns) / CLAIMS);
    printf("slope.claim_memory %.0f B\n",
           (double)(allocated() - before) / CLAIMS);
    free_bed(&bed);
}

static void
print_message_sizes(void)
{
    cq_hlc_t clock = {G_GINT64_CONSTANT(1700000000000000), 3};
    static const guint shares[] = {0, 1, 8, CQ_UPSTREAM_SUBSET_MAX};
    for (guint i = 0; i < G_N_ELEMENTS(shares); i++) {
        cq_summary_t summary = {.host = 1, .incarnation = 1700000000000};
        summary.shares_len = shares[i];
        for (guint k = 0; k < shares[i]; k++) {
            cq_share_t *share = &summary.shares[k];
            share->upstream = cq_ident_hash("engine") + k;
            share->streams = 8;
            share->kv_tokens = 250000;
            for (int klass = 0; klass < 4; klass++) {
                share->placed_us[klass] = 1000000000LL * (klass + 1);
            }
        }
        GBytes *frame = cq_codec_encode_summary(&summary, clock, NULL, 0);
        printf("slope.summary.%u_shares %zu B\n", shares[i],
               g_bytes_get_size(frame));
        g_bytes_unref(frame);
    }
}

void
cq_slopes_print(void)
{
    for (guint i = 0; i < G_N_ELEMENTS(upstream_counts); i++) {
        measure(upstream_counts[i], host_counts[i]);
    }
    measure_claims();
    print_message_sizes();
}
