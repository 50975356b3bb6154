#include "core/book.h"

#include "core/place.h"

/* Bookings this close to each other are ordered by the request's id. */
#define TIE_US (8 * CQ_MS_US)
/* A booked request is sent this long after its time at the latest. */
#define TURN_US (150 * CQ_MS_US)

static gboolean
goes_before(const cq_task_t *task, const cq_task_t *other)
{
    gint64 sooner_us = other->placed_us - task->placed_us;
    if (ABS(sooner_us) > TIE_US) {
        return sooner_us > 0;
    }
    return task->request < other->request;
}

static gboolean
overlaps(const cq_task_t *task, const cq_task_t *other)
{
    return task->read_us > other->placed_us + CQ_BOOK_PENDING_US &&
           task->placed_us < other->read_us;
}

gboolean
cq_book_beaten(const cq_task_t *own)
{
    for (guint i = 0; i < own->engines_len; i++) {
        const GPtrArray *tasks = own->engines[i]->tasks;
        for (guint k = 0; k < tasks->len; k++) {
            const cq_task_t *task = g_ptr_array_index(tasks, k);
            if (task != own && !task->writing &&
                task->part_us > CQ_BOOK_PENDING_US && overlaps(task, own) &&
                goes_before(task, own)) {
                return TRUE;
            }
        }
    }
    return FALSE;
}

gboolean
cq_book_due(const cq_core_t *core, const cq_task_t *own)
{
    gint64 late_us = core->now_us - own->placed_us;
    if (late_us < 0) {
        return FALSE;
    }
    if (late_us > TURN_US) {
        return TRUE;
    }
    for (guint i = 0; i < own->engines_len; i++) {
        const GPtrArray *tasks = own->engines[i]->tasks;
        for (guint k = 0; k < tasks->len; k++) {
            const cq_task_t *task = g_ptr_array_index(tasks, k);
            gboolean before = task->placed_us < own->placed_us;
            if (task != own && before && !task->writing &&
                task->read_us > core->now_us - TURN_US) {
                return FALSE;
            }
        }
    }
    return TRUE;
}

gboolean
cq_book_usable(const cq_core_t *core, const cq_task_t *task)
{
    for (guint i = 0; i < task->engines_len; i++) {
        if (!cq_place_usable(core, task->engines[i])) {
            return FALSE;
        }
    }
    return TRUE;
}
