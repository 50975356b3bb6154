#include "bench/work.h"

#include <math.h>

#include "core/load.h"

#define TEAMS 10
#define PREFIXES 40
#define LEDGERS 4
#define GIANT_SHARE 0.02
#define COME_BACKS_MAX 6
#define SECONDS_MAX 1200
#define GROUP_PART (CQ_KV_TOKENS / 2)

static const char *const class_names[CQ_WORK_CLASSES] = {
    "1k-4k", "4k-32k", "32k-100k", "above-100k"};
static const gint64 timeouts_s[CQ_WORK_CLASSES] = {30, 45, 60, 300};
static const char *const team_names[TEAMS] = {"t0", "t1", "t2", "t3", "t4",
                                              "t5", "t6", "t7", "t8", "t9"};

/* A few large teams and many small ones. */
static const double team_shares[TEAMS] = {0.30, 0.20, 0.12, 0.09, 0.07,
                                          0.06, 0.05, 0.04, 0.04, 0.03};

const char *
cq_work_class_name(guint klass)
{
    return class_names[klass];
}

static guint
class_of(gint64 tokens)
{
    if (tokens <= CQ_CLASS_SHORT_TOKENS) {
        return 0;
    }
    if (tokens <= CQ_CLASS_MIDDLE_TOKENS) {
        return 1;
    }
    return tokens <= CQ_CLASS_LONG_TOKENS ? 2 : 3;
}

static gint64
log_uniform(GRand *rand, double from, double to)
{
    double at = g_rand_double(rand);
    return (gint64)(from * pow(to / from, at));
}

static guint
zipf(GRand *rand, guint n)
{
    double sum = 0;
    for (guint i = 1; i <= n; i++) {
        sum += 1.0 / i;
    }
    double at = g_rand_double(rand) * sum;
    for (guint i = 1; i <= n; i++) {
        at -= 1.0 / i;
        if (at <= 0) {
            return i - 1;
        }
    }
    return n - 1;
}

static guint
draw_team(GRand *rand, const cq_work_options_t *options)
{
    double shares[TEAMS];
    double sum = 0;
    for (int i = 0; i < TEAMS; i++) {
        gboolean flood = i == options->flood_team;
        shares[i] = team_shares[i] * (flood ? options->flood_factor : 1);
        sum += shares[i];
    }
    double at = g_rand_double(rand) * sum;
    for (guint i = 0; i < TEAMS; i++) {
        at -= shares[i];
        if (at <= 0) {
            return i;
        }
    }
    return TEAMS - 1;
}

/* A shared prefix keeps its length, whoever begins with it. */
static gint64
prefix_tokens(guint team, guint rank, gboolean giant)
{
    GRand *rand = g_rand_new_with_seed(team * 1000 + rank + giant * 500 + 1);
    gint64 prompt = giant ? log_uniform(rand, 100001, 1000000)
                          : log_uniform(rand, 1000, 100000);
    g_rand_free(rand);
    return prompt / 2;
}

static void
draw_prompt(GRand *rand, cq_work_call_t *call)
{
    gboolean giant = g_rand_double(rand) < GIANT_SHARE;
    gboolean shared = g_rand_boolean(rand);
    guint rank = zipf(rand, giant ? LEDGERS : PREFIXES);
    gint64 alone = giant ? log_uniform(rand, 100001, 1000000)
                         : log_uniform(rand, 1000, 100000);
    call->ask.prompt_tokens = alone;
    if (shared) {
        gint64 prefix = prefix_tokens(call->team, rank, giant);
        call->ask.prompt_tokens = prefix * 2;
        call->ask.prefix_tokens = prefix;
        call->ask.prefix =
            (call->team + 1) * 1000003ULL + rank + (giant ? 500 : 0);
    }
    call->klass = class_of(call->ask.prompt_tokens);
}

static void
add_call(cq_work_t *work, const cq_work_options_t *options, gint64 at_us,
         gboolean woken)
{
    cq_work_call_t call = {.at_us = at_us, .woken = woken};
    call.first_us = -1;
    call.done_us = -1;
    call.team = draw_team(work->rand, options);
    draw_prompt(work->rand, &call);
    call.ask.service = "modelo";
    call.ask.team = team_names[call.team];
    call.ask.repeatable = TRUE;
    call.ask.output_tokens = g_rand_int_range(work->rand, 100, 501);
    call.ask.timeout_us = timeouts_s[call.klass] * CQ_SECOND_US;
    call.ask.host =
        (guint)g_rand_int_range(work->rand, 0, (gint32)options->hosts);
    if (!options->short_only || call.klass == 0) {
        call.ask.tag = work->calls->len;
        g_array_append_val(work->calls, call);
    }
}

static void
draw_arrivals(cq_work_t *work, const cq_work_options_t *options)
{
    double rate = options->rate;
    if (options->flood_team >= 0) {
        double share = team_shares[options->flood_team];
        rate *= 1 + share * (options->flood_factor - 1);
    }
    double at = 0;
    for (;;) {
        at -= log(1 - g_rand_double(work->rand)) / rate;
        if (at >= options->seconds) {
            break;
        }
        add_call(work, options, (gint64)(at * 1e6), FALSE);
    }
    for (guint i = 0; i < options->wake_calls; i++) {
        double when = options->wake_at_s + g_rand_double(work->rand);
        add_call(work, options, (gint64)(when * 1e6), TRUE);
    }
}

cq_work_t *
cq_work_new(const cq_work_options_t *options)
{
    cq_work_t *work = g_new0(cq_work_t, 1);
    work->calls = g_array_new(FALSE, TRUE, sizeof(cq_work_call_t));
    work->gaps = g_array_new(FALSE, FALSE, sizeof(double));
    work->come_backs = g_array_new(FALSE, TRUE, sizeof(guint));
    g_array_set_size(work->come_backs, SECONDS_MAX);
    work->hosts = options->hosts;
    work->rand = g_rand_new_with_seed(options->seed);
    draw_arrivals(work, options);
    return work;
}

void
cq_work_free(cq_work_t *work)
{
    g_array_unref(work->calls);
    g_array_unref(work->gaps);
    g_array_unref(work->come_backs);
    g_rand_free(work->rand);
    g_free(work);
}

static cq_work_call_t *
call_at(cq_work_t *work, guint64 tag)
{
    return &g_array_index(work->calls, cq_work_call_t, (guint)tag);
}

static void
ask(cq_work_t *work, cq_sim_t *sim, guint64 tag);

static void
on_again(void *world, void *data, guint64 tag)
{
    cq_sim_t *sim = world;
    cq_work_t *work = data;
    gint64 second = cq_sim_heap(sim)->now_us / CQ_SECOND_US;
    if (second < SECONDS_MAX) {
        g_array_index(work->come_backs, guint, (guint)second)++;
    }
    ask(work, sim, tag);
}

static void
on_other_host(void *world, void *data, guint64 tag)
{
    cq_work_t *work = data;
    cq_work_call_t *call = call_at(work, tag);
    call->ask.host = (call->ask.host + 1) % work->hosts;
    ask(work, world, tag);
}

static void
come_back(cq_work_t *work, cq_sim_t *sim, cq_work_call_t *call,
          gint64 after_us)
{
    if (call->tries > COME_BACKS_MAX) {
        return;
    }
    cq_heap_t *heap = cq_sim_heap(sim);
    cq_heap_add(heap, heap->now_us + after_us, on_again, work, call->ask.tag);
}

static void
ask(cq_work_t *work, cq_sim_t *sim, guint64 tag)
{
    cq_work_call_t *call = call_at(work, tag);
    call->tries++;
    call->tokens = 0;
    work->attempts++;
    if (cq_sim_ask(sim, &call->ask) == 0) {
        /* The balancer takes a moment to see that a host is gone. */
        cq_heap_t *heap = cq_sim_heap(sim);
        cq_heap_add(heap, heap->now_us + 100 * CQ_MS_US, on_other_host, work,
                    tag);
    }
}

static void
on_tokens(cq_sim_t *sim, guint64 tag, gint64 tokens, void *data)
{
    cq_work_t *work = data;
    cq_work_call_t *call = call_at(work, tag);
    gint64 now_us = cq_sim_heap(sim)->now_us;
    if (call->first_us < 0) {
        call->first_us = now_us;
    }
    if (call->tokens > 0) {
        double gap = (double)(now_us - call->last_us) / 1e6;
        g_array_append_val(work->gaps, gap);
    }
    call->tokens += tokens;
    call->last_us = now_us;
}

static void
on_answered(cq_sim_t *sim, guint64 tag, const cq_ac_answer_t *answer,
            void *data)
{
    cq_work_t *work = data;
    cq_work_call_t *call = call_at(work, tag);
    switch (answer->outcome) {
    case CQ_OUT_DONE:
        call->done_us = cq_sim_heap(sim)->now_us;
        break;
    case CQ_OUT_EXPIRED:
        call->expired = TRUE;
        break;
    default:
        call->refused_first = call->refused_first || call->tries == 1;
        if (answer->retry_after_us > 0) {
            come_back(work, sim, call, answer->retry_after_us);
        }
        break;
    }
}

static void
on_lost(cq_sim_t *sim, guint64 tag, void *data)
{
    cq_work_t *work = data;
    cq_heap_t *heap = cq_sim_heap(sim);
    cq_heap_add(heap, heap->now_us + 100 * CQ_MS_US, on_other_host, work, tag);
}

void
cq_work_hook(cq_work_t *work, cq_sim_options_t *options)
{
    options->tokens = on_tokens;
    options->answered = on_answered;
    options->lost = on_lost;
    options->data = work;
}

static void
on_first(void *world, void *data, guint64 tag)
{
    ask(data, world, tag);
}

void
cq_work_start(cq_work_t *work, cq_sim_t *sim)
{
    /* Hosts need a moment to read the log and the list. */
    for (guint i = 0; i < work->calls->len; i++) {
        cq_work_call_t *call = call_at(work, i);
        call->at_us += 3 * CQ_SECOND_US;
        cq_heap_add(cq_sim_heap(sim), call->at_us, on_first, work, i);
    }
}

double
cq_work_alone_s(const cq_work_call_t *call)
{
    gint64 need = call->ask.prompt_tokens + call->ask.output_tokens;
    gint64 size =
        need > CQ_KV_TOKENS ? (need + GROUP_PART - 1) / GROUP_PART : 1;
    gint64 tokens = call->ask.prompt_tokens;
    if (size == 1) {
        tokens -= call->ask.prefix_tokens;
    }
    double prefill = (double)tokens / (double)size / CQ_PREFILL_TOKENS_PER_S;
    return prefill + (double)cq_load_decode_step_us(1) / 1e6 + 0.002;
}
