#include "core/task.h"

#include <string.h>

#include "core/pass.h"
#include "core/place.h"
#include "core/table.h"

/* A peer's task is dropped after this time, in case the update that reports
 * its end was lost with the connection. */
#define PEER_TASK_KEEP_US (20 * CQ_SECOND_US)
/* How often expired tasks are looked for. */
#define EXPIRY_CHECK_US CQ_SECOND_US
/* Each change is sent only once, so all tasks are sent again at this interval,
 * in case some changes were lost. */
#define BROADCAST_ALL_US (3 * CQ_SECOND_US)

static void
broadcast(cq_core_t *core, const cq_task_update_t *update)
{
    cq_action_t action = {.kind = CQ_AC_TASK, .task = *update};
    cq_actions_add(core->actions, &action);
}

/* Whether hosts of other zones also place on the engines of @task. */
static gboolean
is_cross_zone(const cq_core_t *core, const cq_task_t *task)
{
    for (guint i = 0; core->has_cells && i < task->engines_len; i++) {
        if (!g_str_equal(task->engines[i]->zone, core->zone)) {
            return TRUE;
        }
    }
    return !core->has_cells;
}

static void
broadcast_placed(cq_core_t *core, const cq_task_t *task)
{
    cq_task_update_t update = {
        .kind = CQ_TASK_PLACED,
        .request = task->request,
        .tokens = task->kv_tokens,
        .part_us = task->part_us,
        .gap_max_us = task->gap_max_us,
        .age_us = core->now_us - task->prefill_start_us,
        .wait_us =
            task->prefill_done_us - task->prefill_start_us - task->part_us,
        .decoding = task->decoding,
        .cross_zone = is_cross_zone(core, task),
        .engines_len = task->engines_len,
    };
    for (guint i = 0; i < task->engines_len; i++) {
        update.engines[i] = task->engines[i]->id;
    }
    broadcast(core, &update);
}

static void
broadcast_change(cq_core_t *core, const cq_task_t *task, cq_task_kind_t kind)
{
    cq_task_update_t update = {
        .kind = kind,
        .request = task->request,
        .cross_zone = is_cross_zone(core, task),
    };
    broadcast(core, &update);
}

static void
add_task(cq_core_t *core, cq_task_t *task)
{
    g_hash_table_replace(core->tasks, &task->request, task);
    for (guint i = 0; i < task->engines_len; i++) {
        g_ptr_array_add(task->engines[i]->tasks, task);
    }
}

static void
remove_task(cq_core_t *core, cq_task_t *task)
{
    for (guint i = 0; i < task->engines_len; i++) {
        g_ptr_array_remove_fast(task->engines[i]->tasks, task);
    }
    g_hash_table_remove(core->tasks, &task->request);
    core->placement_due = TRUE;
}

static void
set_decoding(cq_core_t *core, cq_task_t *task)
{
    task->decoding = TRUE;
    core->placement_due = TRUE;
}

void
cq_task_open(cq_core_t *core, cq_request_t *request,
             const cq_task_plan_t *plan)
{
    cq_task_t *task = g_new0(cq_task_t, 1);
    const cq_task_t *other = request->standby.task;
    gboolean id_taken = other != NULL && other->request == request->id;
    task->request = id_taken ? ~request->id : request->id;
    task->host = core->host;
    task->engines_len = plan->engines_len;
    memcpy(task->engines, plan->engines, sizeof task->engines);
    task->kv_tokens = cq_place_need_tokens(request) / (plan->holders_len + 1);
    task->part_us = plan->part_us;
    task->gap_max_us = request->gap_max_us;
    task->prefill_start_us = core->now_us + plan->start_delay_us;
    task->prefill_done_us =
        task->prefill_start_us + plan->wait_us + plan->part_us;
    task->first_token_us = core->now_us + plan->first_token_us;
    task->expires_us = request->deadline_us + CQ_SECOND_US;
    add_task(core, task);
    request->task = task;
    cq_table_log_event(
        core, request, "read_by",
        "engines=%u part_ms=%" G_GINT64_FORMAT " start_ms=%" G_GINT64_FORMAT
        " first_ms=%" G_GINT64_FORMAT " late=%s",
        plan->engines_len, plan->part_us / CQ_MS_US,
        plan->start_delay_us / CQ_MS_US, plan->first_token_us / CQ_MS_US,
        request->target_us < core->now_us ? "yes" : "no");
    broadcast_placed(core, task);
}

void
cq_task_start(cq_core_t *core, cq_request_t *request)
{
    cq_task_t *task = request->task;
    gint64 later_us = core->now_us - task->prefill_start_us;
    task->prefill_start_us += later_us;
    task->prefill_done_us += later_us;
    task->first_token_us += later_us;
    if (later_us != 0) {
        broadcast_placed(core, task);
    }
}

static gboolean
needs_slack(const cq_request_t *request)
{
    return cq_slack_needed(request->target_us - request->arrived_us,
                           request->gap_max_us);
}

gint64
cq_task_slack_us(const cq_request_t *request)
{
    return needs_slack(request) ? cq_slack_us(&request->service->slack) : 0;
}

void
cq_task_first_token(cq_core_t *core, cq_request_t *request)
{
    if (request->task == NULL || request->task->decoding) {
        return;
    }
    if (request->task->engines_len == 1 && needs_slack(request)) {
        cq_slack_note(&request->service->slack,
                      core->now_us - request->task->first_token_us);
    }
    set_decoding(core, request->task);
    broadcast_change(core, request->task, CQ_TASK_DECODING);
}

void
cq_task_close(cq_core_t *core, cq_request_t *request)
{
    if (request->task == NULL) {
        return;
    }
    broadcast_change(core, request->task, CQ_TASK_ENDED);
    remove_task(core, request->task);
    request->task = NULL;
}

typedef gboolean (*match_t)(const cq_core_t *core, const cq_task_t *task,
                            guint32 host);

static gboolean
is_of_host(const cq_core_t *core, const cq_task_t *task, guint32 host)
{
    (void)core;
    return task->host == host;
}

static gboolean
is_expired(const cq_core_t *core, const cq_task_t *task, guint32 own_host)
{
    return task->host != own_host && task->expires_us < core->now_us;
}

static void
drop_tasks(cq_core_t *core, match_t match, guint32 host)
{
    GPtrArray *matching = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->tasks);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (match(core, value, host)) {
            g_ptr_array_add(matching, value);
        }
    }
    for (guint i = 0; i < matching->len; i++) {
        remove_task(core, g_ptr_array_index(matching, i));
    }
    g_ptr_array_unref(matching);
}

static void
add_peer_task(cq_core_t *core, guint32 host, const cq_task_update_t *update)
{
    cq_task_t *task = g_new0(cq_task_t, 1);
    task->request = update->request;
    task->host = host;
    task->kv_tokens = update->tokens;
    task->part_us = update->part_us;
    task->gap_max_us = update->gap_max_us;
    task->prefill_start_us = core->now_us - update->age_us;
    task->prefill_done_us =
        task->prefill_start_us + update->wait_us + update->part_us;
    task->expires_us = task->prefill_start_us + PEER_TASK_KEEP_US;
    task->decoding = update->decoding;
    for (guint i = 0; i < update->engines_len; i++) {
        cq_upstream_t *engine = cq_table_upstream(core, update->engines[i]);
        if (engine != NULL) {
            task->engines[task->engines_len++] = engine;
        }
    }
    add_task(core, task);
}

void
cq_task_apply_updates(cq_core_t *core, const cq_ev_tasks_t *event)
{
    if (event->host == core->host) {
        return;
    }
    for (guint i = 0; i < event->len; i++) {
        const cq_task_update_t *update = &event->rows[i];
        cq_task_t *task = g_hash_table_lookup(core->tasks, &update->request);
        if (task != NULL && task->host != event->host) {
            continue;
        }
        switch (update->kind) {
        case CQ_TASK_RESET:
            drop_tasks(core, is_of_host, event->host);
            break;
        case CQ_TASK_PLACED:
            if (task != NULL) {
                remove_task(core, task);
            }
            add_peer_task(core, event->host, update);
            break;
        case CQ_TASK_DECODING:
            if (task != NULL) {
                /* A first token is emitted at the end of a pass. */
                if (task->engines_len > 0) {
                    cq_pass_observe(core, task->engines[0]);
                }
                set_decoding(core, task);
            }
            break;
        case CQ_TASK_ENDED:
            if (task != NULL) {
                remove_task(core, task);
            }
            break;
        }
    }
}

void
cq_task_broadcast_all(cq_core_t *core)
{
    gboolean has_tasks = g_hash_table_size(core->tasks) > 0;
    core->tasks_broadcast_us = core->now_us;
    if (!has_tasks) {
        return;
    }
    cq_task_update_t reset = {.kind = CQ_TASK_RESET, .cross_zone = TRUE};
    broadcast(core, &reset);
    const cq_list_t *link = core->requests.next;
    for (; link != &core->requests; link = link->next) {
        const cq_request_t *request = CQ_ENTRY(link, cq_request_t, link);
        if (request->task != NULL) {
            broadcast_placed(core, request->task);
        }
        if (request->standby.task != NULL) {
            broadcast_placed(core, request->standby.task);
        }
    }
}

void
cq_task_tick(cq_core_t *core)
{
    if (core->now_us - core->tasks_checked_us >= EXPIRY_CHECK_US) {
        core->tasks_checked_us = core->now_us;
        drop_tasks(core, is_expired, core->host);
    }
    if (core->now_us - core->tasks_broadcast_us >= BROADCAST_ALL_US) {
        cq_task_broadcast_all(core);
    }
}
