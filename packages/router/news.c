#include "router/news.h"

#include "core/place.h"
#include "router/follow.h"

/* A record longer than this is told to a host by a few of its peers at a
 * time: all of them at once would fill its link for seconds. */
#define LONG_BYTES (8 * 1024)
#define TELLERS 2
/* Others take their place after so long. */
#define TURN_US CQ_SECOND_US

typedef struct {
    cq_app_t *app;
    cq_link_t *link;
    guint64 host; /* the peer that lacks something */
    gboolean untold;
} telling_t;

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

static gboolean
its_turn(const telling_t *telling)
{
    cq_app_t *app = telling->app;
    cq_core_stats_t stats = cq_core_stats(cq_app_core(app));
    guint64 own = cq_ident_host(cq_app_settings(app)->host);
    guint64 turn = (guint64)(cq_app_now_us(app) / TURN_US);
    guint64 drawn =
        cq_place_mix(cq_place_mix(own << 32 | telling->host) + turn);
    return drawn % MAX(stats.peers, 1) < TELLERS;
}

/* Whether the peer is told @record now. */
static gboolean
tells(const telling_t *telling, const cq_store_record_t *record)
{
    gsize len = record->value != NULL ? g_bytes_get_size(record->value) : 0;
    if (len > CQ_FRAME_BYTES_MAX - CQ_FRAME_OVERHEAD_BYTES) {
        cq_app_log(telling->app, "record_untold",
                   "key=%s offset=%" G_GUINT64_FORMAT " bytes=%" G_GSIZE_FORMAT
                   " why=\"too long for a frame\"",
                   record->key, record->offset, len);
        return FALSE;
    }
    return len <= LONG_BYTES || its_turn(telling);
}

/* One frame a record: together they may exceed the longest frame. */
static void
tell_record(cq_topic_t topic, const cq_store_record_t *record, void *data)
{
    telling_t *telling = data;
    if (!tells(telling, record)) {
        telling->untold = TRUE;
        return;
    }
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
    send_records(telling->link, &records);
}

void
cq_news_tell(cq_app_t *app, cq_link_t *link, const Cq__Summary *summary)
{
    cq_follow_t *follow = cq_app_follow(app);
    gsize len = MIN(summary->n_topics_at, CQ_TOPIC_COUNT);
    for (gsize i = 0; follow != NULL && i < len; i++) {
        cq_topic_t topic = (cq_topic_t)i;
        telling_t telling = {.app = app, .link = link, .host = summary->host};
        gboolean lacks = cq_follow_lacks(follow, topic, summary->topics_at[i],
                                         tell_record, &telling);
        if (lacks && !telling.untold) {
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
