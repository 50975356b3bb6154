#include "router/gossip.h"

#include <string.h>

#include "core/place.h"
#include "router/follower.h"

/* A record larger than this, or records that are larger together, are sent to
 * a host by only LARGE_SENDERS of its peers at a time: if all peers sent them
 * at once, they would saturate the host's network link for seconds. */
#define LARGE_RECORD_BYTES (8 * 1024)
#define LARGE_TRANSFER_BYTES (64 * 1024)
#define LARGE_SENDERS 2
/* Records that a peer lacks are not sent while more bytes than this are
 * unsent: it lacks them still in its next summaries, and they would be sent
 * again. */
#define UNSENT_BYTES_MAX (64 * 1024)
/* Longer batches are not pushed; peers then ask for them by their offset. */
#define PUSH_BYTES_MAX (256 * 1024)
/* After this time other peers are elected as the senders. */
#define SENDER_ROTATION_US CQ_SECOND_US

/*
 * The transfer of one topic to a peer.
 * bytes: size of all records that it lacks
 * incomplete: at least one record was left out
 */
typedef struct {
    cq_app_t *app;
    cq_link_t *link;
    guint64 host; /* id of the receiving peer */
    gsize bytes;
    gboolean incomplete;
} transfer_t;

static GBytes *
pack_records(Cq__Records *records)
{
    Cq__Frame frame = CQ__FRAME__INIT;
    frame.kind_case = CQ__FRAME__KIND_RECORDS;
    frame.records = records;
    return cq_codec_pack(&frame);
}

static void
send_records(cq_app_t *app, cq_link_t *link, Cq__Records *records)
{
    records->store_era = cq_follower_era(cq_app_follower(app));
    GBytes *bytes = pack_records(records);
    cq_link_send(link, bytes);
    g_bytes_unref(bytes);
}

static void
fill_row(Cq__Record *row, cq_topic_t topic, const cq_store_record_t *record)
{
    cq__record__init(row);
    row->topic = topic;
    row->offset = record->offset;
    row->key = record->key;
    row->dropped = record->value == NULL;
    if (record->value != NULL) {
        row->value.data =
            (guint8 *)g_bytes_get_data(record->value, &row->value.len);
    }
}

/* Return: whether this host is now one of the senders of what is large to the
 * peer. Hosts that hear each other elect the same ones without a message; in
 * cells each zone elects its own. Those of another zone mostly have no link to
 * the peer, which gets the records from its own zone or the store, or some
 * seconds later. */
static gboolean
is_elected_sender(const transfer_t *transfer)
{
    const cq_core_t *core = cq_app_core(transfer->app);
    guint64 rotation = (guint64)(g_get_real_time() / SENDER_ROTATION_US);
    guint64 key = cq_place_mix(transfer->host ^ cq_place_mix(rotation));
    return cq_core_rank(core, key) < LARGE_SENDERS;
}

/* Return: whether @record is sent to the peer now. A record that exceeds a
 * frame is never sent. */
static gboolean
should_send(const transfer_t *transfer, const cq_store_record_t *record)
{
    gsize len = record->value != NULL ? g_bytes_get_size(record->value) : 0;
    if (len > CQ_FRAME_BYTES_MAX - CQ_FRAME_OVERHEAD_BYTES) {
        cq_app_log(transfer->app, "record_untold",
                   "key=%s offset=%" G_GUINT64_FORMAT " bytes=%" G_GSIZE_FORMAT
                   " why=\"too long for a frame\"",
                   record->key, record->offset, len);
        return FALSE;
    }
    return len <= LARGE_RECORD_BYTES || is_elected_sender(transfer);
}

/* Each record has its own frame, as several may exceed CQ_FRAME_BYTES_MAX. */
static void
send_record(cq_topic_t topic, const cq_store_record_t *record, void *data)
{
    transfer_t *transfer = data;
    if (!should_send(transfer, record)) {
        transfer->incomplete = TRUE;
        return;
    }
    Cq__Record row;
    Cq__Record *rows[] = {&row};
    fill_row(&row, topic, record);
    Cq__Records records = CQ__RECORDS__INIT;
    records.topic = topic;
    records.n_rows = 1;
    records.rows = rows;
    send_records(transfer->app, transfer->link, &records);
}

static gsize
record_bytes(const cq_store_record_t *record)
{
    gsize value_len =
        record->value != NULL ? g_bytes_get_size(record->value) : 0;
    return strlen(record->key) + value_len + CQ_FRAME_OVERHEAD_BYTES;
}

static void
add_bytes(cq_topic_t topic, const cq_store_record_t *record, void *data)
{
    (void)topic;
    transfer_t *transfer = data;
    transfer->bytes += record_bytes(record);
}

/* Tells the peer up to where it knows all records now. A peer that doesn't
 * understand a list of the keys that are left reads the store. */
static void
send_claim(const transfer_t *transfer, cq_topic_t topic,
           const cq_topicmap_t *map, guint64 at)
{
    GArray *live = g_array_new(FALSE, FALSE, sizeof(guint64));
    cq_topicmap_claim_t claim = cq_topicmap_get_claim(map, at, live);
    Cq__Records records = CQ__RECORDS__INIT;
    records.topic = topic;
    records.from = claim.from;
    records.at = claim.at;
    records.has_deletions = claim.has_deletions;
    records.complete = claim.complete;
    records.rows_from = claim.complete ? claim.rows_from : 0;
    records.live = (guint64 *)(void *)live->data;
    records.n_live = claim.live_len;
    records.live_has_operators = claim.live_has_operators;
    gsize bytes = live->len * sizeof(guint64);
    if (bytes < CQ_FRAME_BYTES_MAX - CQ_FRAME_OVERHEAD_BYTES) {
        send_records(transfer->app, transfer->link, &records);
    }
    g_array_unref(live);
}

/* Sends the peer the records of @map from offset @at on. */
static void
send_missing(transfer_t *transfer, cq_topic_t topic, const cq_topicmap_t *map,
             guint64 at)
{
    cq_topicmap_visit_from(map, at, add_bytes, transfer);
    gboolean large = transfer->bytes > LARGE_TRANSFER_BYTES;
    if (large && !is_elected_sender(transfer)) {
        return;
    }
    cq_topicmap_visit_from(map, at, send_record, transfer);
    if (!transfer->incomplete) {
        send_claim(transfer, topic, map, at);
    }
}

/* Whether the peer has read all that the store has, and still has an older
 * configuration: it started after the store had come back from an older copy.
 * One that a link carries is not sent again, as the peer may find it invalid.
 */
static gboolean
lacks_config(const transfer_t *transfer, const Cq__Summary *summary)
{
    const cq_follower_t *follower = cq_app_follower(transfer->app);
    guint64 version = cq_gossip_config_version(follower);
    gboolean is_told =
        summary->config_version > 0 && summary->n_topics_at > CQ_TOPIC_CONFIG;
    return is_told && summary->config_version - 1 < version &&
           summary->topics_at[CQ_TOPIC_CONFIG] >=
               cq_follower_offset(follower, CQ_TOPIC_CONFIG) &&
           cq_link_config_sent(transfer->link) < version;
}

static void
send_config(transfer_t *transfer)
{
    const cq_follower_t *follower = cq_app_follower(transfer->app);
    const cq_store_record_t *config =
        cq_catalog_config(cq_follower_catalog(follower));
    if (cq_link_unsent_bytes(transfer->link) > UNSENT_BYTES_MAX ||
        !is_elected_sender(transfer) || !should_send(transfer, config)) {
        return;
    }
    Cq__Record row;
    Cq__Record *rows[] = {&row};
    fill_row(&row, CQ_TOPIC_CONFIG, config);
    row.offset = 0;
    row.earlier_era = TRUE;
    Cq__Records records = CQ__RECORDS__INIT;
    records.topic = CQ_TOPIC_CONFIG;
    records.n_rows = 1;
    records.rows = rows;
    cq_link_note_config(transfer->link, cq_gossip_config_version(follower));
    send_records(transfer->app, transfer->link, &records);
}

guint64
cq_gossip_config_version(const cq_follower_t *follower)
{
    return follower != NULL
               ? cq_catalog_config_version(cq_follower_catalog(follower))
               : 0;
}

void
cq_gossip_send(cq_app_t *app, cq_link_t *link, const Cq__Summary *summary)
{
    cq_follower_t *follower = cq_app_follower(app);
    gsize len = MIN(summary->n_topics_at, CQ_TOPIC_COUNT);
    if (follower != NULL &&
        !cq_follower_note_era(follower, summary->store_era)) {
        return;
    }
    for (gsize i = 0; follower != NULL && i < len; i++) {
        cq_topic_t topic = (cq_topic_t)i;
        if (i < summary->n_topics_age_ms) {
            cq_follower_peer_read(follower, topic, summary->topics_at[i],
                                  summary->topics_age_ms[i]);
        }
        if (cq_link_unsent_bytes(link) > UNSENT_BYTES_MAX) {
            continue;
        }
        transfer_t transfer = {
            .app = app, .link = link, .host = summary->host};
        guint64 at = summary->topics_at[i];
        const cq_topicmap_t *map =
            cq_follower_get_missing(follower, topic, at);
        if (map != NULL) {
            send_missing(&transfer, topic, map, at);
        }
    }
    transfer_t transfer = {.app = app, .link = link, .host = summary->host};
    if (follower != NULL && lacks_config(&transfer, summary)) {
        send_config(&transfer);
    }
}

void
cq_gossip_push(cq_app_t *app, cq_topic_t topic, const GArray *records,
               guint64 from, guint64 at)
{
    Cq__Record *rows = g_new(Cq__Record, records->len);
    Cq__Record **row_ptrs = g_new(Cq__Record *, records->len);
    Cq__Records message = CQ__RECORDS__INIT;
    message.topic = topic;
    message.from = from;
    message.has_deletions = TRUE;
    message.store_era = cq_follower_era(cq_app_follower(app));
    message.rows = row_ptrs;
    gsize bytes = 0;
    for (guint i = 0; i < records->len && bytes <= PUSH_BYTES_MAX; i++) {
        const cq_store_record_t *record =
            &g_array_index(records, cq_store_record_t, i);
        fill_row(&rows[i], topic, record);
        row_ptrs[i] = &rows[i];
        message.n_rows++;
        bytes += record_bytes(record);
    }
    if (bytes <= PUSH_BYTES_MAX) {
        message.at = at;
        GBytes *frame = pack_records(&message);
        cq_app_send_zone(app, frame);
        g_bytes_unref(frame);
    }
    g_free(row_ptrs);
    g_free(rows);
}

/* Hosts of earlier versions don't say whether they have the deletions: they
 * may have started from a snapshot, which lacks those before it. They send a
 * read of the store as rows with its offsets, and what they know otherwise as
 * rows without offsets and offsets without rows. */
static gboolean
has_deletions(const Cq__Records *records)
{
    gboolean is_read = records->n_rows > 0;
    return records->has_deletions || records->complete || is_read;
}

gboolean
cq_gossip_receive(cq_app_t *app, const Cq__Records *records)
{
    cq_follower_t *follower = cq_app_follower(app);
    if (follower == NULL || records->topic >= CQ_TOPIC_COUNT) {
        return FALSE;
    }
    if (!cq_follower_note_era(follower, records->store_era)) {
        return TRUE;
    }
    cq_topic_t topic = (cq_topic_t)records->topic;
    gboolean valid = TRUE;
    for (gsize i = 0; i < records->n_rows; i++) {
        const Cq__Record *row = records->rows[i];
        if (strlen(row->key) > CQ_RECORD_KEY_BYTES_MAX) {
            valid = FALSE;
            continue;
        }
        cq_store_record_t record = {.offset = row->offset, .key = row->key};
        if (!row->dropped) {
            record.value = g_bytes_new(row->value.data, row->value.len);
        }
        if (!row->earlier_era) {
            cq_follower_add_record(follower, topic, &record);
        }
        else if (topic == CQ_TOPIC_CONFIG) {
            cq_catalog_apply_config(cq_follower_catalog(follower), &record);
        }
        g_clear_pointer(&record.value, g_bytes_unref);
    }
    if (records->at > 0) {
        cq_topicmap_claim_t claim = {
            .from = records->from,
            .at = records->at,
            .has_deletions = has_deletions(records),
            .complete = records->complete,
            .rows_from = records->rows_from,
            .live = records->live,
            .live_len = records->n_live,
            .live_has_operators = records->live_has_operators,
        };
        cq_follower_add_claim(follower, topic, &claim);
    }
    return valid;
}
