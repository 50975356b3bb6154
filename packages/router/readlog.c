#include "router/readlog.h"

void
cq_readlog_failed(cq_readlog_t *log, gint64 started_us, guint64 offset)
{
    log->failures++;
    if (log->failures > 1) {
        return;
    }
    log->failing_since_us = started_us;
    gint64 took_us = cq_app_now_us(log->app) - started_us;
    cq_app_log(log->app, "store_read_failed",
               "topic=%s took_ms=%" G_GINT64_FORMAT
               " offset=%" G_GUINT64_FORMAT,
               cq_topic_name(log->topic), took_us / CQ_MS_US, offset);
}

gboolean
cq_readlog_succeeded(cq_readlog_t *log, gint64 started_us, guint64 offset)
{
    if (log->failures == 0) {
        return FALSE;
    }
    gint64 now_us = cq_app_now_us(log->app);
    cq_app_log(log->app, "store_read_again",
               "topic=%s failures=%u for_ms=%" G_GINT64_FORMAT
               " started_ms_ago=%" G_GINT64_FORMAT
               " offset=%" G_GUINT64_FORMAT,
               cq_topic_name(log->topic), log->failures,
               (now_us - log->failing_since_us) / CQ_MS_US,
               (now_us - started_us) / CQ_MS_US, offset);
    log->failures = 0;
    return TRUE;
}

void
cq_readlog_lost(const cq_readlog_t *log, gint64 started_us, guint64 offset)
{
    gint64 waited_us = cq_app_now_us(log->app) - started_us;
    cq_app_log(log->app, "store_answer_lost",
               "topic=%s waited_ms=%" G_GINT64_FORMAT
               " offset=%" G_GUINT64_FORMAT,
               cq_topic_name(log->topic), waited_us / CQ_MS_US, offset);
}
