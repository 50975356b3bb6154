#include "core/pass.h"

#include "core/batchcost.h"

/* Events within this time of each other belong to the same pass. */
#define SAME_PASS_US (15 * CQ_MS_US)
/* A pass without an event counts as ended this long after its expected end. */
#define EVENT_GRACE_US (25 * CQ_MS_US)
/* If no event was observed for this long, the passes in between are not
 * computed: a new pass is assumed to begin now. */
#define UNOBSERVED_MAX_US CQ_SECOND_US
/* In tight_streams, each stream with the shortest gap limit counts once, and
 * once more for every TOKENS_PER_TIGHT_STREAM tokens that it holds. */
#define TOKENS_PER_TIGHT_STREAM 15000
/* Prefill that is overdue is expected to be done within this time. */
#define OVERDUE_PREFILL_US (10 * CQ_MS_US)

static void
add_stream(cq_pass_t *pass, const cq_task_t *task)
{
    pass->streams++;
    pass->kv_tokens += task->kv_tokens;
    pass->context_tokens += task->kv_tokens / task->engines_len;
    pass->decoding = pass->decoding || task->decoding;
    if (task->gap_max_us > 0 && task->gap_max_us < pass->gap_max_us) {
        pass->gap_max_us = task->gap_max_us;
        pass->tight_streams = 0;
    }
    if (task->gap_max_us == pass->gap_max_us) {
        pass->tight_streams +=
            (guint)(1 + task->kv_tokens / TOKENS_PER_TIGHT_STREAM);
    }
}

static void
add_prefill(cq_pass_t *pass, const cq_task_t *task, gint64 now_us)
{
    gint64 left_us = MAX(task->prefill_done_us - now_us, OVERDUE_PREFILL_US);
    pass->idle_after_us = MAX(pass->idle_after_us, left_us);
    if (task->prefill_start_us <= now_us) {
        pass->busy_us = MAX(pass->busy_us, left_us);
        return;
    }
    pass->next_booking_us =
        MIN(pass->next_booking_us, task->prefill_start_us - now_us);
    pass->booked_part_us = MAX(pass->booked_part_us, task->part_us);
}

static void
sum_tasks(const cq_upstream_t *engine, gint64 now_us, cq_pass_t *pass)
{
    *pass =
        (cq_pass_t){.gap_max_us = G_MAXINT64, .next_booking_us = G_MAXINT64};
    for (guint i = 0; i < engine->tasks->len; i++) {
        const cq_task_t *task = g_ptr_array_index(engine->tasks, i);
        if (task->engines[0] == engine) {
            add_stream(pass, task);
        }
        if (!task->decoding) {
            add_prefill(pass, task, now_us);
        }
    }
}

/* Prefill time of the tasks that start from @from_us until before @until_us.
 */
static gint64
placed_prefill_us(const cq_upstream_t *engine, gint64 from_us, gint64 until_us)
{
    gint64 sum_us = 0;
    for (guint i = 0; i < engine->tasks->len; i++) {
        const cq_task_t *task = g_ptr_array_index(engine->tasks, i);
        gboolean within = task->prefill_start_us >= from_us &&
                          task->prefill_start_us < until_us;
        if (!task->decoding && within) {
            sum_us += task->part_us;
        }
    }
    return sum_us;
}

/* Start of the oldest prefill that is not done. */
static gint64
oldest_start_us(const cq_upstream_t *engine)
{
    gint64 oldest_us = G_MAXINT64 - 1;
    for (guint i = 0; i < engine->tasks->len; i++) {
        const cq_task_t *task = g_ptr_array_index(engine->tasks, i);
        if (!task->decoding) {
            oldest_us = MIN(oldest_us, task->prefill_start_us);
        }
    }
    return oldest_us;
}

/* Expected end of the current pass: decode steps, plus prefill of the tasks
 * that were placed before it began. */
static gint64
pass_end_us(const cq_upstream_t *engine, gint64 decode_us)
{
    return engine->pass_start_us + decode_us +
           placed_prefill_us(engine, G_MININT64, engine->pass_start_us);
}

void
cq_pass_observe(const cq_core_t *core, cq_upstream_t *engine)
{
    if (core->now_us - engine->pass_start_us > SAME_PASS_US) {
        engine->pass_start_us = core->now_us;
    }
}

void
cq_pass_estimate(const cq_core_t *core, cq_upstream_t *engine, cq_pass_t *pass)
{
    const cq_engine_speed_t *speed = &engine->service->rules->speed;
    sum_tasks(engine, core->now_us, pass);
    pass->decode_us =
        cq_batchcost_decode_us(speed, pass->streams, pass->context_tokens);
    if (!pass->decoding) {
        /* Without decoding streams there is no pass to wait for. */
        pass->remaining_us = pass->busy_us;
        pass->queued_us = placed_prefill_us(
            engine, oldest_start_us(engine) + 1, core->now_us + 1);
        return;
    }
    if (core->now_us - engine->pass_start_us > UNOBSERVED_MAX_US) {
        engine->pass_start_us = core->now_us;
    }
    gint64 end_us = pass_end_us(engine, pass->decode_us);
    while (end_us + EVENT_GRACE_US < core->now_us) {
        engine->pass_start_us = end_us;
        end_us = pass_end_us(engine, pass->decode_us);
    }
    pass->remaining_us = MAX(end_us - core->now_us, 0);
    pass->queued_us =
        placed_prefill_us(engine, engine->pass_start_us, core->now_us + 1);
    pass->busy_us =
        pass->queued_us + MAX(pass->remaining_us - pass->decode_us, 0);
}
