/**
 * DOC: storeread
 *
 * The reads of one topic of the platform's store that are under way. There is
 * one, or several beside one another where the answer of the first may be
 * lost; the first answer ends them all.
 */
#ifndef CQ_STOREREAD_H
#define CQ_STOREREAD_H

#include "platform/store.h"
#include "router/readplan.h"

G_BEGIN_DECLS

typedef struct cq_storeread cq_storeread_t;

/**
 * struct cq_storeread_end_t - how a read ended
 * @started_us: when it had started
 * @oldest_us: when the oldest read that was under way had started
 * @len: number of reads that are still under way
 */
typedef struct {
    gint64 started_us;
    gint64 oldest_us;
    guint len;
} cq_storeread_end_t;

/** typedef cq_storeread_done_t - called with the answer to a read, which is
 * borrowed */
typedef void (*cq_storeread_done_t)(const cq_store_page_t *page,
                                    const cq_storeread_end_t *end, void *data);

/** struct cq_storeread_call_t - a read that is under way, or was */
typedef struct {
    cq_storeread_t *reads;
    gboolean busy;
    gint64 started_us;
} cq_storeread_call_t;

/** struct cq_storeread - the reads of @topic; @done is called with @data */
struct cq_storeread {
    cq_store_t *store;
    cq_topic_t topic;
    cq_storeread_done_t done;
    void *data;
    guint wait_ms; /* of the newest one */
    cq_storeread_call_t calls[CQ_READPLAN_READS_MAX];
};

/** cq_storeread_start() - start a read from offset @from beside those under
 * way, of which there are fewer than CQ_READPLAN_READS_MAX */
void
cq_storeread_start(cq_storeread_t *reads, guint64 from, guint wait_ms,
                   gint64 now_us);

/** cq_storeread_cancel() - end all reads without an answer */
void
cq_storeread_cancel(cq_storeread_t *reads);

/** cq_storeread_get() - Return: the reads that are under way */
cq_readplan_reads_t
cq_storeread_get(const cq_storeread_t *reads);

G_END_DECLS

#endif
