#include "bench/workload.h"

#include <math.h>

#include "core/load.h"

#define TEAMS 10
#define PREFIXES_PER_TEAM 40
#define LONG_PREFIXES_PER_TEAM 4
/* Share of the prompts that are above 100k tokens. */
#define VERY_LONG_SHARE 0.02
#define RETRIES_MAX 6
#define SECONDS_MAX 1200
/* KV tokens that each engine of a group holds of a prompt that is too long for
 * a single engine. */
#define GROUP_SHARE_TOKENS (CQ_KV_TOKENS / 2)

static const char *const class_names[CQ_WORKLOAD_CLASSES] = {
    "1k-4k", "4k-32k", "32k-100k", "above-100k"};
static const gint64 timeouts_s[CQ_WORKLOAD_CLASSES] = {30, 45, 60, 300};
static const char *const team_names[TEAMS] = {"t0", "t1", "t2", "t3", "t4",
                                              "t5", "t6", "t7", "t8", "t9"};

/* Each team's share of the calls: a few large teams, many small ones. */
static const double team_shares[TEAMS] = {0.30, 0.20, 0.12, 0.09, 0.07,
                                          0.06, 0.05, 0.04, 0.04, 0.03};

const char *
cq_workload_class_name(guint klass)
{
    return class_names[klass];
}

static guint
length_class(gint64 tokens)
{
    if (tokens <= CQ_CLASS_SHORT_TOKENS_MAX) {
        return 0;
    }
    if (tokens <= CQ_CLASS_MIDDLE_TOKENS_MAX) {
        return 1;
    }
    return tokens <= CQ_CLASS_LONG_TOKENS_MAX ? 2 : 3;
}

static gint64
draw_log_uniform(GRand *rand, double from, double to)
{
    double fraction = g_rand_double(rand);
    return (gint64)(from * pow(to / from, fraction));
}

static guint
draw_zipf(GRand *rand, guint n)
{
    double sum = 0;
    for (guint i = 1; i <= n; i++) {
        sum += 1.0 / i;
    }
    double remaining = g_rand_double(rand) * sum;
    for (guint i = 1; i <= n; i++) {
        remaining -= 1.0 / i;
        if (remaining <= 0) {
            return i - 1;
        }
    }
    return n - 1;
}

static guint
draw_team(GRand *rand, const cq_workload_options_t *options)
{
    double shares[TEAMS];
    double sum = 0;
    for (int i = 0; i < TEAMS; i++) {
        gboolean is_flood_team = i == options->flood_team;
        shares[i] =
            team_shares[i] * (is_flood_team ? options->flood_factor : 1);
        sum += shares[i];
    }
    double remaining = g_rand_double(rand) * sum;
    for (guint i = 0; i < TEAMS; i++) {
        remaining -= shares[i];
        if (remaining <= 0) {
            return i;
        }
    }
    return TEAMS - 1;
}

/* Returns the length of a shared prefix. It is drawn from a seed of its own,
 * so that it is the same in all calls that share the prefix. */
static gint64
prefix_tokens(guint team, guint rank, gboolean very_long)
{
    GRand *rand =
        g_rand_new_with_seed(team * 1000 + rank + very_long * 500 + 1);
    gint64 prompt = very_long ? draw_log_uniform(rand, 100001, 1000000)
                              : draw_log_uniform(rand, 1000, 100000);
    g_rand_free(rand);
    return prompt / 2;
}

static void
draw_prompt(GRand *rand, cq_workload_call_t *call)
{
    gboolean very_long = g_rand_double(rand) < VERY_LONG_SHARE;
    gboolean shared = g_rand_boolean(rand);
    guint rank = draw_zipf(rand, very_long ? LONG_PREFIXES_PER_TEAM
                                           : PREFIXES_PER_TEAM);
    gint64 unshared_tokens = very_long
                                 ? draw_log_uniform(rand, 100001, 1000000)
                                 : draw_log_uniform(rand, 1000, 100000);
    call->request.prompt_tokens = unshared_tokens;
    if (shared) {
        gint64 shared_tokens = prefix_tokens(call->team, rank, very_long);
        call->request.prompt_tokens = shared_tokens * 2;
        call->request.prefix_tokens = shared_tokens;
        call->request.prefix =
            (call->team + 1) * 1000003ULL + rank + (very_long ? 500 : 0);
    }
    call->klass = length_class(call->request.prompt_tokens);
}

static void
add_call(cq_workload_t *workload, const cq_workload_options_t *options,
         gint64 at_us, gboolean in_burst)
{
    cq_workload_call_t call = {.at_us = at_us, .in_burst = in_burst};
    call.first_us = -1;
    call.done_us = -1;
    call.team = draw_team(workload->rand, options);
    draw_prompt(workload->rand, &call);
    call.request.service = "modelo";
    call.request.team = team_names[call.team];
    call.request.repeatable = TRUE;
    call.request.output_tokens = g_rand_int_range(workload->rand, 100, 501);
    call.request.timeout_us = timeouts_s[call.klass] * CQ_SECOND_US;
    call.request.host =
        (guint)g_rand_int_range(workload->rand, 0, (gint32)options->hosts);
    if (!options->short_only || call.klass == 0) {
        call.request.tag = workload->calls->len;
        g_array_append_val(workload->calls, call);
    }
}

static void
draw_arrivals(cq_workload_t *workload, const cq_workload_options_t *options)
{
    double rate = options->rate;
    if (options->flood_team >= 0) {
        double share = team_shares[options->flood_team];
        rate *= 1 + share * (options->flood_factor - 1);
    }
    double arrival_s = 0;
    for (;;) {
        arrival_s -= log(1 - g_rand_double(workload->rand)) / rate;
        if (arrival_s >= options->seconds) {
            break;
        }
        add_call(workload, options, (gint64)(arrival_s * 1e6), FALSE);
    }
    for (guint i = 0; i < options->burst_calls; i++) {
        double burst_call_s =
            options->burst_at_s + g_rand_double(workload->rand);
        add_call(workload, options, (gint64)(burst_call_s * 1e6), TRUE);
    }
}

cq_workload_t *
cq_workload_new(const cq_workload_options_t *options)
{
    cq_workload_t *workload = g_new0(cq_workload_t, 1);
    workload->calls = g_array_new(FALSE, TRUE, sizeof(cq_workload_call_t));
    workload->gaps = g_array_new(FALSE, FALSE, sizeof(double));
    workload->retries_by_second = g_array_new(FALSE, TRUE, sizeof(guint));
    g_array_set_size(workload->retries_by_second, SECONDS_MAX);
    workload->hosts = options->hosts;
    workload->rand = g_rand_new_with_seed(options->seed);
    draw_arrivals(workload, options);
    return workload;
}

void
cq_workload_free(cq_workload_t *workload)
{
    g_array_unref(workload->calls);
    g_array_unref(workload->gaps);
    g_array_unref(workload->retries_by_second);
    g_rand_free(workload->rand);
    g_free(workload);
}

static cq_workload_call_t *
call_at(cq_workload_t *workload, guint64 tag)
{
    return &g_array_index(workload->calls, cq_workload_call_t, (guint)tag);
}

static void
send_call(cq_workload_t *workload, cq_sim_t *sim, guint64 tag);

static void
on_retry(void *context, void *data, guint64 tag)
{
    cq_sim_t *sim = context;
    cq_workload_t *workload = data;
    gint64 second = cq_sim_heap(sim)->now_us / CQ_SECOND_US;
    if (second < SECONDS_MAX) {
        g_array_index(workload->retries_by_second, guint, (guint)second)++;
    }
    send_call(workload, sim, tag);
}

static void
on_failover(void *context, void *data, guint64 tag)
{
    cq_workload_t *workload = data;
    cq_workload_call_t *call = call_at(workload, tag);
    call->request.host = (call->request.host + 1) % workload->hosts;
    send_call(workload, context, tag);
}

static void
schedule_retry(cq_workload_t *workload, cq_sim_t *sim,
               cq_workload_call_t *call, gint64 after_us)
{
    if (call->sends > RETRIES_MAX) {
        return;
    }
    cq_heap_t *heap = cq_sim_heap(sim);
    cq_heap_add(heap, heap->now_us + after_us, on_retry, workload,
                call->request.tag);
}

static void
send_call(cq_workload_t *workload, cq_sim_t *sim, guint64 tag)
{
    cq_workload_call_t *call = call_at(workload, tag);
    call->sends++;
    call->tokens = 0;
    workload->total_sends++;
    if (cq_sim_send_request(sim, &call->request) == 0) {
        /* Load balancers notice a dead host after a delay. */
        cq_heap_t *heap = cq_sim_heap(sim);
        cq_heap_add(heap, heap->now_us + 100 * CQ_MS_US, on_failover, workload,
                    tag);
    }
}

static void
on_tokens(cq_sim_t *sim, guint64 tag, gint64 tokens, void *data)
{
    cq_workload_t *workload = data;
    cq_workload_call_t *call = call_at(workload, tag);
    gint64 now_us = cq_sim_heap(sim)->now_us;
    if (call->first_us < 0) {
        call->first_us = now_us;
    }
    if (call->tokens > 0) {
        double gap = (double)(now_us - call->last_us) / 1e6;
        g_array_append_val(workload->gaps, gap);
    }
    call->tokens += tokens;
    call->last_us = now_us;
}

static void
on_answered(cq_sim_t *sim, guint64 tag, const cq_ac_answer_t *answer,
            void *data)
{
    cq_workload_t *workload = data;
    cq_workload_call_t *call = call_at(workload, tag);
    switch (answer->outcome) {
    case CQ_OUTCOME_DONE:
        call->done_us = cq_sim_heap(sim)->now_us;
        break;
    case CQ_OUTCOME_EXPIRED:
        call->expired = TRUE;
        break;
    default:
        call->refused_first = call->refused_first || call->sends == 1;
        if (answer->retry_after_us > 0) {
            schedule_retry(workload, sim, call, answer->retry_after_us);
        }
        break;
    }
}

static void
on_lost(cq_sim_t *sim, guint64 tag, void *data)
{
    cq_workload_t *workload = data;
    cq_heap_t *heap = cq_sim_heap(sim);
    cq_heap_add(heap, heap->now_us + 100 * CQ_MS_US, on_failover, workload,
                tag);
}

void
cq_workload_set_callbacks(cq_workload_t *workload, cq_sim_options_t *options)
{
    options->tokens = on_tokens;
    options->answered = on_answered;
    options->lost = on_lost;
    options->data = workload;
}

static void
on_first_send(void *context, void *data, guint64 tag)
{
    send_call(data, context, tag);
}

void
cq_workload_start(cq_workload_t *workload, cq_sim_t *sim)
{
    /* Start after the hosts have read the log and the host list. */
    for (guint i = 0; i < workload->calls->len; i++) {
        cq_workload_call_t *call = call_at(workload, i);
        call->at_us += 3 * CQ_SECOND_US;
        cq_heap_add(cq_sim_heap(sim), call->at_us, on_first_send, workload, i);
    }
}

double
cq_workload_idle_first_token_s(const cq_workload_call_t *call)
{
    gint64 kv_tokens =
        call->request.prompt_tokens + call->request.output_tokens;
    gint64 group_size =
        kv_tokens > CQ_KV_TOKENS
            ? (kv_tokens + GROUP_SHARE_TOKENS - 1) / GROUP_SHARE_TOKENS
            : 1;
    gint64 prefill_tokens = call->request.prompt_tokens;
    if (group_size == 1) {
        prefill_tokens -= call->request.prefix_tokens;
    }
    double prefill_s =
        (double)prefill_tokens / (double)group_size / CQ_PREFILL_TOKENS_PER_S;
    return prefill_s + (double)cq_load_decode_step_us(1) / 1e6 + 0.002;
}
