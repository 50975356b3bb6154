#include "core/slack.h"

#include <stdlib.h>
#include <string.h>

/* Share of the first tokens that come within the slack. */
#define WITHIN_PERCENT 95U

static gint
compare_times(gconstpointer a, gconstpointer b)
{
    gint64 x = *(const gint64 *)a;
    gint64 y = *(const gint64 *)b;
    return x < y ? -1 : x > y;
}

gboolean
cq_slack_needed(gint64 aim_us, gint64 gap_max_us)
{
    return aim_us > 0 && gap_max_us >= aim_us;
}

void
cq_slack_note(cq_slack_t *slack, gint64 late_us)
{
    slack->late_us[slack->next] = late_us;
    slack->next = (slack->next + 1) % CQ_SLACK_RECORD;
    slack->len = MIN(slack->len + 1, CQ_SLACK_RECORD);
    gint64 sorted[CQ_SLACK_RECORD];
    memcpy(sorted, slack->late_us, sizeof sorted);
    qsort(sorted, slack->len, sizeof sorted[0], compare_times);
    slack->high_us = sorted[slack->len * WITHIN_PERCENT / 100];
}

gint64
cq_slack_us(const cq_slack_t *slack)
{
    return MAX(slack->high_us, 0);
}
