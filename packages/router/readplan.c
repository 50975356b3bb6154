#include "router/readplan.h"

#include "base/limits.h"

/* How long the store holds a read while there is no record. With OVERDUE_US
 * and the time of two answers this stays below the time within which a change
 * has to be in force, also if the answer with it is lost. */
#define READER_WAIT_MS 1200
/* The same where records that come late do no harm, or where peers show that
 * there are some. */
#define LONG_WAIT_MS 30000
/* The store answers within this time in normal operation. A slower answer is
 * asked for twice. */
#define OVERDUE_US (300 * CQ_MS_US)
/* A record that a peer knows has come to this host too within this time,
 * unless the answer with it is lost. */
#define BEHIND_US (100 * CQ_MS_US)
/* Time between two reads of the upstreams while the store doesn't answer: they
 * show when it is back. */
#define PROBE_US (500 * CQ_MS_US)
#define RETRY_MAX_MS 1000
/* Delay before the next read after a new record, so that upstreams and hosts
 * that start or stop together are read together. */
#define BATCH_DELAY_MS 200
/* Avoids a tight loop if the store doesn't hold a read. */
#define EMPTY_DELAY_MS 200
/* Peers that have not read the topic for this time don't show any more whether
 * there are new records. */
#define PEERS_FRESH_US (2000 * CQ_MS_US)

/* Whether this host has to find out by itself that there are new records. */
static gboolean
is_reader(const cq_readplan_t *plan, gint64 now_us)
{
    return plan->role != CQ_STORE_READER_NONE || plan->peers_read_us == 0 ||
           now_us - plan->peers_read_us > PEERS_FRESH_US;
}

/* The upstreams are the topic by which readers find that the store is back. */
static gboolean
probes(const cq_readplan_t *plan)
{
    return plan->topic == CQ_TOPIC_UPSTREAMS &&
           plan->role != CQ_STORE_READER_NONE;
}

/* Whether reads go on after one has failed while an older one is still under
 * way. That one may wait for LONG_WAIT_MS, and its answer may be lost too. */
static gboolean
retries_beside(const cq_readplan_t *plan, gint64 now_us)
{
    gboolean needs_config =
        plan->topic == CQ_TOPIC_CONFIG &&
        (is_reader(plan, now_us) || plan->behind_since_us != 0);
    return probes(plan) || needs_config;
}

guint
cq_readplan_wait_ms(const cq_readplan_t *plan, gint64 now_us)
{
    if (plan->first || plan->failures > 0) {
        return 0;
    }
    switch (plan->topic) {
    case CQ_TOPIC_UPSTREAMS:
        return READER_WAIT_MS;
    case CQ_TOPIC_CONFIG:
        return is_reader(plan, now_us) ? READER_WAIT_MS : LONG_WAIT_MS;
    default:
        return LONG_WAIT_MS;
    }
}

gboolean
cq_readplan_is_overdue(const cq_readplan_t *plan,
                       const cq_readplan_reads_t *reads, gint64 now_us)
{
    gint64 age_us = now_us - reads->started_us;
    gboolean is_arriving = reads->heard_ago_us < OVERDUE_US;
    if (reads->len == 0 || reads->len >= CQ_READPLAN_READS_MAX ||
        is_arriving) {
        return FALSE;
    }
    if (plan->failures > 0) {
        return retries_beside(plan, now_us) &&
               age_us >= (gint64)cq_readplan_retry_max_ms(plan) * CQ_MS_US;
    }
    gint64 wait_us = (gint64)reads->wait_ms * CQ_MS_US;
    if (plan->topic == CQ_TOPIC_CONFIG && is_reader(plan, now_us)) {
        wait_us = MIN(wait_us, READER_WAIT_MS * CQ_MS_US);
    }
    gboolean is_behind = plan->topic == CQ_TOPIC_CONFIG &&
                         plan->behind_since_us > reads->started_us &&
                         now_us - plan->behind_since_us >= BEHIND_US;
    return is_behind || age_us >= wait_us + OVERDUE_US;
}

guint
cq_readplan_retry_max_ms(const cq_readplan_t *plan)
{
    return probes(plan) ? PROBE_US / CQ_MS_US : RETRY_MAX_MS;
}

guint
cq_readplan_delay_ms(cq_topic_t topic, gboolean got_records, gint64 took_us)
{
    if (!got_records) {
        return took_us < EMPTY_DELAY_MS * CQ_MS_US ? EMPTY_DELAY_MS : 0;
    }
    return topic == CQ_TOPIC_CONFIG ? 0 : BATCH_DELAY_MS;
}
