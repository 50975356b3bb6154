#include "core/pass.h"

#include "core/batch.h"

/* Events of one pass arrive within this time of each other. */
#define SAME_PASS_US (15 * CQ_MS_US)
/* A pass that should have ended is given this time for its events to come. */
#define GRACE_US (25 * CQ_MS_US)
/* Passes of which nothing was seen for so long are not worked out. */
#define UNSEEN_US CQ_SECOND_US
/* A stream counts as one more for each so many tokens of its prompt. */
#define TIGHT_TOKENS 15000
/* Reading that should be done and is not is expected within this time. */
#define OVERDUE_US (10 * CQ_MS_US)

static void
add_stream(cq_pass_t *pass, const cq_task_t *task)
{
    pass->streams++;
    pass->memory += task->tokens;
    pass->context += task->tokens / task->engines_len;
    pass->writes = pass->writes || task->writing;
    if (task->gap_us > 0 && task->gap_us < pass->gap_us) {
        pass->gap_us = task->gap_us;
        pass->tight = 0;
    }
    if (task->gap_us == pass->gap_us) {
        pass->tight += (guint)(1 + task->tokens / TIGHT_TOKENS);
    }
}

static void
add_reading(cq_pass_t *pass, const cq_task_t *task, gint64 now_us)
{
    gint64 left_us = MAX(task->read_us - now_us, OVERDUE_US);
    pass->free_us = MAX(pass->free_us, left_us);
    if (task->placed_us <= now_us) {
        pass->busy_us = MAX(pass->busy_us, left_us);
        return;
    }
    pass->next_us = MIN(pass->next_us, task->placed_us - now_us);
    pass->booked_us = MAX(pass->booked_us, task->part_us);
}

static void
sum_up(const cq_upstream_t *engine, gint64 now_us, cq_pass_t *pass)
{
    *pass = (cq_pass_t){.gap_us = G_MAXINT64, .next_us = G_MAXINT64};
    for (guint i = 0; i < engine->tasks->len; i++) {
        const cq_task_t *task = g_ptr_array_index(engine->tasks, i);
        if (task->engines[0] == engine) {
            add_stream(pass, task);
        }
        if (!task->writing) {
            add_reading(pass, task, now_us);
        }
    }
}

/* Reading of what was placed in a span of time. */
static gint64
reading_us(const cq_upstream_t *engine, gint64 from_us, gint64 until_us)
{
    gint64 sum_us = 0;
    for (guint i = 0; i < engine->tasks->len; i++) {
        const cq_task_t *task = g_ptr_array_index(engine->tasks, i);
        gboolean within =
            task->placed_us >= from_us && task->placed_us < until_us;
        if (!task->writing && within) {
            sum_us += task->part_us;
        }
    }
    return sum_us;
}

static gint64
oldest_us(const cq_upstream_t *engine)
{
    gint64 at_us = G_MAXINT64 - 1;
    for (guint i = 0; i < engine->tasks->len; i++) {
        const cq_task_t *task = g_ptr_array_index(engine->tasks, i);
        if (!task->writing) {
            at_us = MIN(at_us, task->placed_us);
        }
    }
    return at_us;
}

static gint64
end_us(const cq_upstream_t *engine, gint64 steps_us)
{
    return engine->pass_us + steps_us +
           reading_us(engine, G_MININT64, engine->pass_us);
}

void
cq_pass_seen(const cq_core_t *core, cq_upstream_t *engine)
{
    if (core->now_us - engine->pass_us > SAME_PASS_US) {
        engine->pass_us = core->now_us;
    }
}

void
cq_pass_look(const cq_core_t *core, cq_upstream_t *engine, cq_pass_t *pass)
{
    const cq_engine_speed_t *speed = &engine->service->rules->speed;
    sum_up(engine, core->now_us, pass);
    pass->steps_us =
        cq_batchcost_decode_us(speed, pass->streams, pass->context);
    if (!pass->writes) {
        /* Without a stream there are no passes to wait for. */
        pass->left_us = pass->busy_us;
        pass->queued_us =
            reading_us(engine, oldest_us(engine) + 1, core->now_us + 1);
        return;
    }
    if (core->now_us - engine->pass_us > UNSEEN_US) {
        engine->pass_us = core->now_us;
    }
    gint64 until_us = end_us(engine, pass->steps_us);
    while (until_us + GRACE_US < core->now_us) {
        engine->pass_us = until_us;
        until_us = end_us(engine, pass->steps_us);
    }
    pass->left_us = MAX(until_us - core->now_us, 0);
    pass->queued_us = reading_us(engine, engine->pass_us, core->now_us + 1);
    pass->busy_us = pass->queued_us + MAX(pass->left_us - pass->steps_us, 0);
}
