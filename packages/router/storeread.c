#include "router/storeread.h"

static gint64
oldest_start_us(const cq_storeread_t *reads)
{
    gint64 oldest_us = G_MAXINT64;
    for (guint i = 0; i < CQ_READPLAN_READS_MAX; i++) {
        if (reads->calls[i].busy) {
            oldest_us = MIN(oldest_us, reads->calls[i].started_us);
        }
    }
    return oldest_us;
}

static void
on_answer(const cq_store_page_t *page, void *data)
{
    cq_storeread_call_t *call = data;
    cq_storeread_t *reads = call->reads;
    cq_storeread_end_t end = {
        .started_us = call->started_us,
        .oldest_us = oldest_start_us(reads),
    };
    call->busy = FALSE;
    if (page->outcome != CQ_STORE_FAILED) {
        cq_storeread_cancel(reads);
    }
    end.len = cq_storeread_get(reads).len;
    reads->done(page, &end, reads->data);
}

void
cq_storeread_start(cq_storeread_t *reads, guint64 from, guint wait_ms,
                   gint64 now_us)
{
    for (guint i = 0; i < CQ_READPLAN_READS_MAX; i++) {
        cq_storeread_call_t *call = &reads->calls[i];
        if (!call->busy) {
            *call = (cq_storeread_call_t){
                .reads = reads, .busy = TRUE, .started_us = now_us};
            reads->wait_ms = wait_ms;
            cq_store_read(reads->store, reads->topic, from, wait_ms, on_answer,
                          call);
            return;
        }
    }
    g_assert_not_reached();
}

void
cq_storeread_cancel(cq_storeread_t *reads)
{
    for (guint i = 0; i < CQ_READPLAN_READS_MAX; i++) {
        cq_storeread_call_t *call = &reads->calls[i];
        if (call->busy) {
            call->busy = FALSE;
            cq_store_cancel(reads->store, call);
        }
    }
}

cq_readplan_reads_t
cq_storeread_get(const cq_storeread_t *reads)
{
    cq_readplan_reads_t get = {.wait_ms = reads->wait_ms,
                               .heard_ago_us = G_MAXINT64};
    for (guint i = 0; i < CQ_READPLAN_READS_MAX; i++) {
        if (reads->calls[i].busy) {
            gint64 ago_us =
                cq_store_heard_ago_us(reads->store, &reads->calls[i]);
            get.len++;
            get.heard_ago_us = MIN(get.heard_ago_us, ago_us);
            get.started_us = MAX(get.started_us, reads->calls[i].started_us);
        }
    }
    return get;
}
