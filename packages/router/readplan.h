/**
 * DOC: readplan
 *
 * When a topic of the platform's store is read, and when a read that has no
 * answer counts as overdue. Pure functions of what is known of the topic.
 */
#ifndef CQ_READPLAN_H
#define CQ_READPLAN_H

#include "core/core.h"
#include "platform/store.h"

G_BEGIN_DECLS

/** Reads of a topic that may be under way beside one another. */
#define CQ_READPLAN_READS_MAX 3

/**
 * struct cq_readplan_t - what is known of a topic and of its reads
 * @topic: the topic
 * @role: this host's part in reading the store
 * @first: nothing has been read since this process started or was suspended
 * @failures: number of reads that have failed since the last success
 * @peers_read_us: when a peer read the topic last, or 0
 * @behind_since_us: since when a peer knows records that this host lacks, or 0
 */
typedef struct {
    cq_topic_t topic;
    cq_store_reader_t role;
    gboolean first;
    guint failures;
    gint64 peers_read_us;
    gint64 behind_since_us;
} cq_readplan_t;

/**
 * struct cq_readplan_reads_t - the reads of a topic that are under way
 * @len: their number
 * @started_us: when the newest one started
 * @wait_ms: how long the store holds that one while there is no record
 * @heard_ago_us: time since bytes of an answer came, or G_MAXINT64
 */
typedef struct {
    guint len;
    gint64 started_us;
    guint wait_ms;
    gint64 heard_ago_us;
} cq_readplan_reads_t;

/** cq_readplan_wait_ms() - Return: how long the store is to hold the next read
 * while there is no record */
guint
cq_readplan_wait_ms(const cq_readplan_t *plan, gint64 now_us);

/** cq_readplan_is_overdue() - Return: whether the answer to @reads may be
 * lost, so that another read is to be started beside them */
gboolean
cq_readplan_is_overdue(const cq_readplan_t *plan,
                       const cq_readplan_reads_t *reads, gint64 now_us);

/** cq_readplan_delay_ms() - Return: delay before the next read, after one of
 * @topic that took @took_us */
guint
cq_readplan_delay_ms(cq_topic_t topic, gboolean got_records, gint64 took_us);

/** cq_readplan_retry_max_ms() - Return: longest delay after a read that failed
 */
guint
cq_readplan_retry_max_ms(const cq_readplan_t *plan);

G_END_DECLS

#endif
