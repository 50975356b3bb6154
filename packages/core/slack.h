/**
 * DOC: slack
 *
 * How much later than expected first tokens have come, and so how much time is
 * left free beyond an estimate. An estimate misses what happens after it: work
 * that other hosts place at the same moment, a pass that has just begun. A
 * request whose estimate is only just in time is then late.
 *
 * The record is of the newest requests of one service at this host; it is
 * short, so that it follows the load. Before the first of them nothing is left
 * free.
 *
 * Load: a burst of short prompts, packed on few engines, whose aim is no
 * longer than one pass of an engine may take.
 */
#ifndef CQ_SLACK_H
#define CQ_SLACK_H

#include <glib.h>

G_BEGIN_DECLS

/* Number of requests in the record. */
#define CQ_SLACK_RECORD 32U

/**
 * struct cq_slack_t - how late first tokens came
 * @late_us: ring of the newest requests: time from the expected to the seen
 *   first token, below 0 if it came sooner
 * @len: number of @late_us that are set
 * @next: index of the one that is replaced next
 * @high_us: time that few of them exceed
 */
typedef struct {
    gint64 late_us[CQ_SLACK_RECORD];
    guint len;
    guint next;
    gint64 high_us;
} cq_slack_t;

/** cq_slack_needed() - Return: whether an answer with the target time @aim_us
 * needs slack, if streams beside it may pause for @gap_max_us. Engines' passes
 * may be as long as the pauses: where the aim is no longer,
 * one that the estimate misses makes the answer late */
gboolean
cq_slack_needed(gint64 aim_us, gint64 gap_max_us);

/** cq_slack_note() - a first token came @late_us after it was expected; below
 * 0: before */
void
cq_slack_note(cq_slack_t *slack, gint64 late_us);

/** cq_slack_us() - Return: time to leave free beyond an estimate; not below 0
 */
gint64
cq_slack_us(const cq_slack_t *slack);

G_END_DECLS

#endif
