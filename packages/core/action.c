#include "core/action.h"

typedef struct {
    const char *code;
    int status;
    const char *remedy;
} outcome_t;

static const outcome_t outcomes[CQ_OUTCOME_COUNT] = {
    [CQ_OUTCOME_DONE] = {"done", 200, ""},
    [CQ_OUTCOME_UNKNOWN_NAME] = {"unknown_name", 404,
                                 "name a service, model and team that the "
                                 "service file lists"},
    [CQ_OUTCOME_TOO_LONG] = {"prompt_too_long", 413,
                             "shorten the prompt to the service's kv_tokens "
                             "times group_max"},
    [CQ_OUTCOME_OVERLOADED] = {"overloaded", 503,
                               "send it again after retry_after_ms, or allow "
                               "it more time"},
    [CQ_OUTCOME_NO_UPSTREAM] = {"no_upstream", 503,
                                "send it again after retry_after_ms"},
    [CQ_OUTCOME_NO_LOG] = {"log_unreachable", 503,
                           "send it again with the same key after "
                           "retry_after_ms"},
    [CQ_OUTCOME_IN_PROGRESS] = {"in_progress", 409,
                                "ask again with the same key after "
                                "retry_after_ms"},
    [CQ_OUTCOME_ALREADY_RAN] = {"already_ran", 409,
                                "take the first answer; the call ran once"},
    [CQ_OUTCOME_EXPIRED] = {"deadline_exceeded", 504, "allow it more time"},
    [CQ_OUTCOME_BROKEN] = {"upstream_failed", 502,
                           "see ran: a call that may have run is not repeated "
                           "for you"},
    [CQ_OUTCOME_DRAINING] = {"draining", 503, "send it to another entry host"},
    [CQ_OUTCOME_PART_BLOCKED] = {"prompt_part_blocked", 503,
                                 "leave out the part of the prompt under "
                                 "which upstreams crash, or send it again "
                                 "after retry_after_ms"},
    [CQ_OUTCOME_REQUEST_BLOCKED] = {"request_blocked", 503,
                                    "change the request, under which "
                                    "upstreams crash, or send it again after "
                                    "retry_after_ms"},
    [CQ_OUTCOME_RATE_LIMITED] = {"rate_limited", 503,
                                 "send it again after retry_after_ms"},
    [CQ_OUTCOME_HUNG_UP] = {"caller_left", 499, ""},
};

void
cq_actions_init(cq_actions_t *actions)
{
    actions->items = g_array_new(FALSE, FALSE, sizeof(cq_action_t));
}

void
cq_actions_reset(cq_actions_t *actions)
{
    for (guint i = 0; i < actions->items->len; i++) {
        cq_action_t *action = &g_array_index(actions->items, cq_action_t, i);
        if (action->kind == CQ_AC_SUMMARY) {
            g_free(action->summary);
        }
    }
    g_array_set_size(actions->items, 0);
}

void
cq_actions_clear(cq_actions_t *actions)
{
    cq_actions_reset(actions);
    g_array_unref(actions->items);
}

const cq_action_t *
cq_actions_at(const cq_actions_t *actions, guint i)
{
    return &g_array_index(actions->items, cq_action_t, i);
}

void
cq_actions_add(cq_actions_t *actions, const cq_action_t *action)
{
    g_array_append_val(actions->items, *action);
}

const char *
cq_outcome_code(cq_outcome_t outcome)
{
    return outcomes[outcome].code;
}

const char *
cq_outcome_remedy(cq_outcome_t outcome)
{
    return outcomes[outcome].remedy;
}

int
cq_outcome_status(cq_outcome_t outcome)
{
    return outcomes[outcome].status;
}

const char *
cq_ran_text(cq_ran_t ran)
{
    switch (ran) {
    case CQ_RAN_NO:
        return "no";
    case CQ_RAN_YES:
        return "yes";
    case CQ_RAN_UNKNOWN:
        return "unknown";
    }
    return "unknown";
}
