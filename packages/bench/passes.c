#include "bench/passes.h"

#include "base/list.h"
#include "core/batch.h"

/* Tokens of prompts that are read with each token step. */
#define CHUNK_TOKENS 2048

typedef struct {
    cq_list_t link;
    guint64 id;
    gint64 tokens;
    double us;
    gint64 taken; /* in the pass that is under way */
    gboolean part;
} reading_t;

typedef struct {
    cq_list_t link;
    guint64 id;
    gint64 context;
    guint events;
    gboolean in_pass;
} writing_t;

struct cq_passes {
    cq_engine_speed_t speed;
    cq_passes_ops_t ops;
    cq_list_t readings;
    cq_list_t writings;
    guint writers;
    gboolean busy;
};

cq_passes_t *
cq_passes_new(const cq_engine_speed_t *speed, const cq_passes_ops_t *ops)
{
    cq_passes_t *engine = g_new0(cq_passes_t, 1);
    engine->speed = *speed;
    engine->ops = *ops;
    cq_list_init(&engine->readings);
    cq_list_init(&engine->writings);
    return engine;
}

static void
drop_reading(reading_t *reading)
{
    cq_list_remove(&reading->link);
    g_free(reading);
}

static void
drop_writing(cq_passes_t *engine, writing_t *writing)
{
    engine->writers--;
    cq_list_remove(&writing->link);
    g_free(writing);
}

void
cq_passes_free(cq_passes_t *engine)
{
    while (!cq_list_empty(&engine->readings)) {
        drop_reading(CQ_ENTRY(engine->readings.next, reading_t, link));
    }
    while (!cq_list_empty(&engine->writings)) {
        drop_writing(engine, CQ_ENTRY(engine->writings.next, writing_t, link));
    }
    g_free(engine);
}

void
cq_passes_read(cq_passes_t *engine, guint64 id, gint64 tokens, gint64 read_us,
               gboolean part)
{
    reading_t *reading = g_new0(reading_t, 1);
    reading->id = id;
    reading->tokens = MAX(tokens, 1);
    reading->us = (double)read_us;
    reading->part = part;
    cq_list_init(&reading->link);
    cq_list_t *link = engine->readings.next;
    while (part && link != &engine->readings &&
           CQ_ENTRY(link, reading_t, link)->part) {
        link = link->next;
    }
    /* Appending to an entry puts the new one right before it. */
    cq_list_append(part ? link : &engine->readings, &reading->link);
}

void
cq_passes_write(cq_passes_t *engine, guint64 id, gint64 context, guint events)
{
    writing_t *writing = g_new0(writing_t, 1);
    writing->id = id;
    writing->context = context;
    writing->events = events;
    engine->writers++;
    cq_list_init(&writing->link);
    cq_list_append(&engine->writings, &writing->link);
}

void
cq_passes_drop(cq_passes_t *engine, guint64 id)
{
    cq_list_t *link = engine->readings.next;
    while (link != &engine->readings) {
        reading_t *reading = CQ_ENTRY(link, reading_t, link);
        link = link->next;
        if (reading->id == id) {
            drop_reading(reading);
        }
    }
    link = engine->writings.next;
    while (link != &engine->writings) {
        writing_t *writing = CQ_ENTRY(link, writing_t, link);
        link = link->next;
        if (writing->id == id) {
            drop_writing(engine, writing);
        }
    }
}

static gint64
steps_us(cq_passes_t *engine, gint64 *budget)
{
    gint64 context = 0;
    cq_list_t *link = engine->writings.next;
    for (; link != &engine->writings; link = link->next) {
        writing_t *writing = CQ_ENTRY(link, writing_t, link);
        writing->in_pass = TRUE;
        context += writing->context;
    }
    if (engine->writers == 0) {
        *budget = CHUNK_TOKENS;
        return (gint64)engine->speed.step_us;
    }
    *budget = engine->speed.stride * CHUNK_TOKENS;
    return cq_batchcost_decode_us(&engine->speed, engine->writers, context);
}

gint64
cq_passes_begin(cq_passes_t *engine)
{
    gboolean idle = cq_list_empty(&engine->readings) && engine->writers == 0;
    if (engine->busy || idle) {
        return 0;
    }
    gint64 budget;
    double us = (double)steps_us(engine, &budget);
    cq_list_t *link = engine->readings.next;
    for (; link != &engine->readings && budget > 0; link = link->next) {
        reading_t *reading = CQ_ENTRY(link, reading_t, link);
        reading->taken = MIN(reading->tokens, budget);
        budget -= reading->taken;
        us += reading->us * (double)reading->taken / (double)reading->tokens;
    }
    engine->busy = TRUE;
    return (gint64)us;
}

static void
end_writings(cq_passes_t *engine)
{
    cq_list_t *link = engine->writings.next;
    while (link != &engine->writings) {
        writing_t *writing = CQ_ENTRY(link, writing_t, link);
        link = link->next;
        if (!writing->in_pass) {
            continue;
        }
        guint64 id = writing->id;
        guint left = --writing->events;
        if (left == 0) {
            drop_writing(engine, writing);
        }
        engine->ops.wrote(engine, id, left, engine->ops.data);
    }
}

static void
end_readings(cq_passes_t *engine)
{
    cq_list_t *link = engine->readings.next;
    while (link != &engine->readings) {
        reading_t *reading = CQ_ENTRY(link, reading_t, link);
        link = link->next;
        double share = (double)reading->taken / (double)reading->tokens;
        reading->us -= reading->us * share;
        reading->tokens -= reading->taken;
        reading->taken = 0;
        if (reading->tokens == 0) {
            guint64 id = reading->id;
            drop_reading(reading);
            engine->ops.read(engine, id, engine->ops.data);
        }
    }
}

void
cq_passes_end(cq_passes_t *engine)
{
    end_writings(engine);
    end_readings(engine);
    /* Not before: what hears of it may ask for the next pass. */
    engine->busy = FALSE;
}

guint
cq_passes_streams(const cq_passes_t *engine)
{
    return engine->writers;
}
