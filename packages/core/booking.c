#include "core/booking.h"

#include "core/place.h"
#include "core/rate.h"
#include "core/usable.h"

/* Of two bookings that start this close to each other, the one with the
 * smaller request id has precedence; else the one that starts first. */
#define BOOKING_TIE_US (8 * CQ_MS_US)
/* A booked request is sent at the latest this long after its start time. */
#define START_LATE_MAX_US (150 * CQ_MS_US)

static gboolean
has_precedence(const cq_task_t *task, const cq_task_t *other)
{
    gint64 earlier_us = other->prefill_start_us - task->prefill_start_us;
    if (ABS(earlier_us) > BOOKING_TIE_US) {
        return earlier_us > 0;
    }
    return task->request < other->request;
}

static gboolean
overlaps(const cq_task_t *task, const cq_task_t *other)
{
    return task->prefill_done_us >
               other->prefill_start_us + CQ_BOOKING_PENDING_MAX_US &&
           task->prefill_start_us < other->prefill_done_us;
}

gboolean
cq_booking_superseded(const cq_task_t *own)
{
    for (guint i = 0; i < own->engines_len; i++) {
        const GPtrArray *tasks = own->engines[i]->tasks;
        for (guint k = 0; k < tasks->len; k++) {
            const cq_task_t *task = g_ptr_array_index(tasks, k);
            if (task != own && !task->decoding &&
                task->part_us > CQ_BOOKING_PENDING_MAX_US &&
                overlaps(task, own) && has_precedence(task, own)) {
                return TRUE;
            }
        }
    }
    return FALSE;
}

gboolean
cq_booking_due(const cq_core_t *core, const cq_task_t *own)
{
    gint64 late_us = core->now_us - own->prefill_start_us;
    if (late_us < 0) {
        return FALSE;
    }
    if (late_us > START_LATE_MAX_US) {
        return TRUE;
    }
    for (guint i = 0; i < own->engines_len; i++) {
        const GPtrArray *tasks = own->engines[i]->tasks;
        for (guint k = 0; k < tasks->len; k++) {
            const cq_task_t *task = g_ptr_array_index(tasks, k);
            gboolean is_earlier =
                task->prefill_start_us < own->prefill_start_us;
            if (task != own && is_earlier && !task->decoding &&
                task->prefill_done_us > core->now_us - START_LATE_MAX_US) {
                return FALSE;
            }
        }
    }
    return TRUE;
}

gboolean
cq_booking_usable(const cq_core_t *core, const cq_request_t *request)
{
    const cq_task_t *task = request->task;
    if (cq_rate_is_bounded(task->engines[0])) {
        return FALSE;
    }
    for (guint i = 0; i < task->engines_len; i++) {
        if (!cq_usable_now(core, task->engines[i]) ||
            task->engines[i]->rate.limited ||
            task->engines[i]->service != request->service) {
            return FALSE;
        }
    }
    return TRUE;
}
