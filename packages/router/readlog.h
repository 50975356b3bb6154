/**
 * DOC: readlog
 *
 * Counts the failures of the reads of a topic of the platform's store, and
 * logs the first one in a row, the success after them, and answers that were
 * lost.
 */
#ifndef CQ_READLOG_H
#define CQ_READLOG_H

#include "platform/store.h"
#include "router/app.h"

G_BEGIN_DECLS

/**
 * struct cq_readlog_t - the failures of a topic's reads
 * @app: the application
 * @topic: the topic
 * @failures: number of reads that have failed since the last success
 * @failing_since_us: when the first of them started
 */
typedef struct {
    cq_app_t *app;
    cq_topic_t topic;
    guint failures;
    gint64 failing_since_us;
} cq_readlog_t;

/** cq_readlog_failed() - a read that started at @started_us failed; @offset is
 * that after the last record known */
void
cq_readlog_failed(cq_readlog_t *log, gint64 started_us, guint64 offset);

/** cq_readlog_succeeded() - a read that started at @started_us was answered;
 * Return: whether it is the first one after failures */
gboolean
cq_readlog_succeeded(cq_readlog_t *log, gint64 started_us, guint64 offset);

/** cq_readlog_lost() - a read that started at @started_us has no answer, while
 * a later one has */
void
cq_readlog_lost(const cq_readlog_t *log, gint64 started_us, guint64 offset);

G_END_DECLS

#endif
