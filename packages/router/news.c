#include "router/news.h"

#include "router/follow.h"

static void
send_records(cq_link_t *link, Cq__Records *records)
{
    Cq__Frame frame = CQ__FRAME__INIT;
    frame.kind_case = CQ__FRAME__KIND_RECORDS;
    frame.records = records;
    GBytes *bytes = cq_codec_pack(&frame);
    cq_link_send(link, bytes);
    g_bytes_unref(bytes);
}

/* One frame a record: together they may exceed the longest frame. */
static void
tell_record(cq_topic_t topic, const cq_store_record_t *record, void *data)
{
    Cq__Record row = CQ__RECORD__INIT;
    Cq__Record *rows[] = {&row};
    row.topic = topic;
    row.offset = record->offset;
    row.key = record->key;
    row.dropped = record->value == NULL;
    if (record->value != NULL) {
        row.value.data =
            (guint8 *)g_bytes_get_data(record->value, &row.value.len);
    }
    Cq__Records records = CQ__RECORDS__INIT;
    records.topic = topic;
    records.n_rows = 1;
    records.rows = rows;
    send_records(data, &records);
}

void
cq_news_tell(cq_app_t *app, cq_link_t *link, const Cq__Summary *summary)
{
    cq_follow_t *follow = cq_app_follow(app);
    gsize len = MIN(summary->n_topics_at, CQ_TOPIC_COUNT);
    for (gsize i = 0; follow != NULL && i < len; i++) {
        cq_topic_t topic = (cq_topic_t)i;
        if (cq_follow_lacks(follow, topic, summary->topics_at[i], tell_record,
                            link)) {
            Cq__Records records = CQ__RECORDS__INIT;
            records.topic = topic;
            records.at = cq_follow_at(follow, topic);
            send_records(link, &records);
        }
    }
}

gboolean
cq_news_take(cq_app_t *app, const Cq__Records *records)
{
    cq_follow_t *follow = cq_app_follow(app);
    if (follow == NULL || records->topic >= CQ_TOPIC_COUNT) {
        return FALSE;
    }
    cq_topic_t topic = (cq_topic_t)records->topic;
    for (gsize i = 0; i < records->n_rows; i++) {
        const Cq__Record *row = records->rows[i];
        cq_store_record_t record = {.offset = row->offset, .key = row->key};
        if (!row->dropped) {
            record.value = g_bytes_new(row->value.data, row->value.len);
        }
        cq_follow_take(follow, topic, &record);
        g_clear_pointer(&record.value, g_bytes_unref);
    }
    if (records->at > 0) {
        cq_follow_reached(follow, topic, records->at);
    }
    return TRUE;
}
