#include "core/task.h"

#include <string.h>

#include "core/pass.h"
#include "core/place.h"
#include "core/table.h"

/* A peer's task whose end was lost with its connection is forgotten then. */
#define FORGET_US (20 * CQ_SECOND_US)
/* Such tasks are looked for so often. */
#define LOOK_US CQ_SECOND_US
/* News are sent once each; the whole is told again in case some were lost. */
#define TELL_ALL_US (3 * CQ_SECOND_US)

static void
tell(cq_core_t *core, const cq_task_update_t *news)
{
    cq_action_t action = {.kind = CQ_AC_TASK, .task = *news};
    cq_actions_add(core->actions, &action);
}

static void
tell_placed(cq_core_t *core, const cq_task_t *task)
{
    cq_task_update_t news = {
        .kind = CQ_TASK_PLACED,
        .request = task->request,
        .tokens = task->tokens,
        .part_us = task->part_us,
        .gap_us = task->gap_us,
        .age_us = core->now_us - task->placed_us,
        .wait_us = task->read_us - task->placed_us - task->part_us,
        .writing = task->writing,
        .engines_len = task->engines_len,
    };
    for (guint i = 0; i < task->engines_len; i++) {
        news.engines[i] = task->engines[i]->id;
    }
    tell(core, &news);
}

static void
tell_change(cq_core_t *core, guint64 request, cq_task_kind_t kind)
{
    cq_task_update_t news = {.kind = kind, .request = request};
    tell(core, &news);
}

static void
enter(cq_core_t *core, cq_task_t *task)
{
    g_hash_table_replace(core->tasks, &task->request, task);
    for (guint i = 0; i < task->engines_len; i++) {
        g_ptr_array_add(task->engines[i]->tasks, task);
    }
}

static void
leave(cq_core_t *core, cq_task_t *task)
{
    for (guint i = 0; i < task->engines_len; i++) {
        g_ptr_array_remove_fast(task->engines[i]->tasks, task);
    }
    g_hash_table_remove(core->tasks, &task->request);
    core->placeable = TRUE;
}

static void
set_writing(cq_core_t *core, cq_task_t *task)
{
    task->writing = TRUE;
    core->placeable = TRUE;
}

void
cq_task_open(cq_core_t *core, cq_request_t *request,
             const cq_task_plan_t *plan)
{
    cq_task_t *task = g_new0(cq_task_t, 1);
    task->request = request->id;
    task->host = core->host;
    task->engines_len = plan->engines_len;
    memcpy(task->engines, plan->engines, sizeof task->engines);
    task->tokens = cq_place_need(request) / (plan->holders_len + 1);
    task->part_us = plan->part_us;
    task->gap_us = request->gap_us;
    task->placed_us = core->now_us + plan->start_us;
    task->read_us = task->placed_us + plan->wait_us + plan->part_us;
    task->first_us = core->now_us + plan->first_us;
    task->until_us = request->deadline_us + CQ_SECOND_US;
    enter(core, task);
    request->task = task;
    cq_table_note(core, request, "read_by",
                  "engines=%u part_ms=%" G_GINT64_FORMAT
                  " start_ms=%" G_GINT64_FORMAT " first_ms=%" G_GINT64_FORMAT
                  " late=%s",
                  plan->engines_len, plan->part_us / CQ_MS_US,
                  plan->start_us / CQ_MS_US, plan->first_us / CQ_MS_US,
                  request->aim_us < core->now_us ? "yes" : "no");
    tell_placed(core, task);
}

void
cq_task_start(cq_core_t *core, cq_request_t *request)
{
    cq_task_t *task = request->task;
    gint64 later_us = core->now_us - task->placed_us;
    task->placed_us += later_us;
    task->read_us += later_us;
    task->first_us += later_us;
    if (later_us != 0) {
        tell_placed(core, task);
    }
}

void
cq_task_first_token(cq_core_t *core, cq_request_t *request)
{
    if (request->task == NULL || request->task->writing) {
        return;
    }
    set_writing(core, request->task);
    tell_change(core, request->id, CQ_TASK_DECODING);
}

void
cq_task_close(cq_core_t *core, cq_request_t *request)
{
    if (request->task == NULL) {
        return;
    }
    leave(core, request->task);
    request->task = NULL;
    tell_change(core, request->id, CQ_TASK_ENDED);
}

typedef gboolean (*match_t)(const cq_core_t *core, const cq_task_t *task,
                            guint32 host);

static gboolean
of_host(const cq_core_t *core, const cq_task_t *task, guint32 host)
{
    (void)core;
    return task->host == host;
}

static gboolean
lapsed(const cq_core_t *core, const cq_task_t *task, guint32 host)
{
    return task->host != host && task->until_us < core->now_us;
}

static void
forget(cq_core_t *core, match_t match, guint32 host)
{
    GPtrArray *gone = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (match(core, value, host)) {
            g_ptr_array_add(gone, value);
        }
    }
    for (guint i = 0; i < gone->len; i++) {
        leave(core, g_ptr_array_index(gone, i));
    }
    g_ptr_array_unref(gone);
}

static void
take_placed(cq_core_t *core, guint32 host, const cq_task_update_t *news)
{
    cq_task_t *task = g_new0(cq_task_t, 1);
    task->request = news->request;
    task->host = host;
    task->tokens = news->tokens;
    task->part_us = news->part_us;
    task->gap_us = news->gap_us;
    task->placed_us = core->now_us - news->age_us;
    task->read_us = task->placed_us + news->wait_us + news->part_us;
    task->until_us = task->placed_us + FORGET_US;
    task->writing = news->writing;
    for (guint i = 0; i < news->engines_len; i++) {
        cq_upstream_t *engine = cq_table_upstream(core, news->engines[i]);
        if (engine != NULL) {
            task->engines[task->engines_len++] = engine;
        }
    }
    enter(core, task);
}

void
cq_task_news(cq_core_t *core, const cq_ev_tasks_t *event)
{
    if (event->host == core->host) {
        return;
    }
    for (guint i = 0; i < event->len; i++) {
        const cq_task_update_t *news = &event->rows[i];
        cq_task_t *task = g_hash_table_lookup(core->tasks, &news->request);
        if (task != NULL && task->host != event->host) {
            continue;
        }
        switch (news->kind) {
        case CQ_TASK_RESET:
            forget(core, of_host, event->host);
            break;
        case CQ_TASK_PLACED:
            if (task != NULL) {
                leave(core, task);
            }
            take_placed(core, event->host, news);
            break;
        case CQ_TASK_DECODING:
            if (task != NULL) {
                /* A first token shows where a pass ended. */
                if (task->engines_len > 0) {
                    cq_pass_seen(core, task->engines[0]);
                }
                set_writing(core, task);
            }
            break;
        case CQ_TASK_ENDED:
            if (task != NULL) {
                leave(core, task);
            }
            break;
        }
    }
}

void
cq_task_tell_all(cq_core_t *core)
{
    gboolean any = g_hash_table_size(core->tasks) > 0;
    core->tasks_told_us = core->now_us;
    if (!any) {
        return;
    }
    tell_change(core, 0, CQ_TASK_RESET);
    const cq_list_t *link = core->requests.next;
    for (; link != &core->requests; link = link->next) {
        const cq_request_t *request = CQ_ENTRY(link, cq_request_t, link);
        if (request->task != NULL) {
            tell_placed(core, request->task);
        }
    }
}

void
cq_task_tick(cq_core_t *core)
{
    if (core->now_us - core->tasks_looked_us >= LOOK_US) {
        core->tasks_looked_us = core->now_us;
        forget(core, lapsed, core->host);
    }
    if (core->now_us - core->tasks_told_us >= TELL_ALL_US) {
        cq_task_tell_all(core);
    }
}
