#include "bench/batchengine.h"

#include "base/list.h"
#include "core/batchcost.h"

/* Prompt tokens that are prefilled per decode step, or per pass without
 * streams. */
#define STEP_PREFILL_TOKENS 2048

typedef struct {
    cq_list_t link;
    guint64 id;
    gint64 left_tokens;
    double left_us;
    gint64 pass_tokens; /* prefilled in the running pass */
    gboolean is_shard;
} prefill_t;

typedef struct {
    cq_list_t link;
    guint64 id;
    gint64 context_tokens;
    guint events_left;
    gboolean in_pass;
} decode_t;

struct cq_batch_engine {
    cq_engine_speed_t speed;
    cq_batch_engine_ops_t ops;
    cq_list_t prefills;
    cq_list_t decodes;
    guint streams;
    gboolean pass_running;
};

cq_batch_engine_t *
cq_batch_engine_new(const cq_engine_speed_t *speed,
                    const cq_batch_engine_ops_t *ops)
{
    cq_batch_engine_t *engine = g_new0(cq_batch_engine_t, 1);
    engine->speed = *speed;
    engine->ops = *ops;
    cq_list_init(&engine->prefills);
    cq_list_init(&engine->decodes);
    return engine;
}

static void
free_prefill(prefill_t *prefill)
{
    cq_list_remove(&prefill->link);
    g_free(prefill);
}

static void
free_decode(cq_batch_engine_t *engine, decode_t *decode)
{
    engine->streams--;
    cq_list_remove(&decode->link);
    g_free(decode);
}

void
cq_batch_engine_free(cq_batch_engine_t *engine)
{
    while (!cq_list_empty(&engine->prefills)) {
        free_prefill(CQ_ENTRY(engine->prefills.next, prefill_t, link));
    }
    while (!cq_list_empty(&engine->decodes)) {
        free_decode(engine, CQ_ENTRY(engine->decodes.next, decode_t, link));
    }
    g_free(engine);
}

void
cq_batch_engine_prefill(cq_batch_engine_t *engine, guint64 id, gint64 tokens,
                        gint64 prefill_us, gboolean is_shard)
{
    prefill_t *prefill = g_new0(prefill_t, 1);
    prefill->id = id;
    prefill->left_tokens = MAX(tokens, 1);
    prefill->left_us = (double)prefill_us;
    prefill->is_shard = is_shard;
    cq_list_init(&prefill->link);
    cq_list_t *link = engine->prefills.next;
    while (is_shard && link != &engine->prefills &&
           CQ_ENTRY(link, prefill_t, link)->is_shard) {
        link = link->next;
    }
    /* Appending to an entry inserts right before it. */
    cq_list_append(is_shard ? link : &engine->prefills, &prefill->link);
}

void
cq_batch_engine_decode(cq_batch_engine_t *engine, guint64 id,
                       gint64 context_tokens, guint events)
{
    decode_t *decode = g_new0(decode_t, 1);
    decode->id = id;
    decode->context_tokens = context_tokens;
    decode->events_left = events;
    engine->streams++;
    cq_list_init(&decode->link);
    cq_list_append(&engine->decodes, &decode->link);
}

void
cq_batch_engine_cancel(cq_batch_engine_t *engine, guint64 id)
{
    cq_list_t *link = engine->prefills.next;
    while (link != &engine->prefills) {
        prefill_t *prefill = CQ_ENTRY(link, prefill_t, link);
        link = link->next;
        if (prefill->id == id) {
            free_prefill(prefill);
        }
    }
    link = engine->decodes.next;
    while (link != &engine->decodes) {
        decode_t *decode = CQ_ENTRY(link, decode_t, link);
        link = link->next;
        if (decode->id == id) {
            free_decode(engine, decode);
        }
    }
}

static gint64
begin_decodes(cq_batch_engine_t *engine, gint64 *prefill_budget)
{
    gint64 context_tokens = 0;
    cq_list_t *link = engine->decodes.next;
    for (; link != &engine->decodes; link = link->next) {
        decode_t *decode = CQ_ENTRY(link, decode_t, link);
        decode->in_pass = TRUE;
        context_tokens += decode->context_tokens;
    }
    if (engine->streams == 0) {
        *prefill_budget = STEP_PREFILL_TOKENS;
        return (gint64)engine->speed.step_us;
    }
    *prefill_budget = engine->speed.steps_per_pass * STEP_PREFILL_TOKENS;
    return cq_batchcost_decode_us(&engine->speed, engine->streams,
                                  context_tokens);
}

gint64
cq_batch_engine_begin_pass(cq_batch_engine_t *engine)
{
    gboolean idle = cq_list_empty(&engine->prefills) && engine->streams == 0;
    if (engine->pass_running || idle) {
        return 0;
    }
    gint64 prefill_budget;
    double pass_us = (double)begin_decodes(engine, &prefill_budget);
    cq_list_t *link = engine->prefills.next;
    for (; link != &engine->prefills && prefill_budget > 0;
         link = link->next) {
        prefill_t *prefill = CQ_ENTRY(link, prefill_t, link);
        prefill->pass_tokens = MIN(prefill->left_tokens, prefill_budget);
        prefill_budget -= prefill->pass_tokens;
        pass_us += prefill->left_us * (double)prefill->pass_tokens /
                   (double)prefill->left_tokens;
    }
    engine->pass_running = TRUE;
    return (gint64)pass_us;
}

static void
end_decodes(cq_batch_engine_t *engine)
{
    cq_list_t *link = engine->decodes.next;
    while (link != &engine->decodes) {
        decode_t *decode = CQ_ENTRY(link, decode_t, link);
        link = link->next;
        if (!decode->in_pass) {
            continue;
        }
        guint64 id = decode->id;
        guint events_left = --decode->events_left;
        if (events_left == 0) {
            free_decode(engine, decode);
        }
        engine->ops.decoded(engine, id, events_left, engine->ops.data);
    }
}

static void
end_prefills(cq_batch_engine_t *engine)
{
    cq_list_t *link = engine->prefills.next;
    while (link != &engine->prefills) {
        prefill_t *prefill = CQ_ENTRY(link, prefill_t, link);
        link = link->next;
        double share =
            (double)prefill->pass_tokens / (double)prefill->left_tokens;
        prefill->left_us -= prefill->left_us * share;
        prefill->left_tokens -= prefill->pass_tokens;
        prefill->pass_tokens = 0;
        if (prefill->left_tokens == 0) {
            guint64 id = prefill->id;
            free_prefill(prefill);
            engine->ops.prefilled(engine, id, engine->ops.data);
        }
    }
}

void
cq_batch_engine_end_pass(cq_batch_engine_t *engine)
{
    end_decodes(engine);
    end_prefills(engine);
    /* Cleared only now, so that a callback cannot begin the next pass before
     * all results of this one are reported. */
    engine->pass_running = FALSE;
}

guint
cq_batch_engine_streams(const cq_batch_engine_t *engine)
{
    return engine->streams;
}
