#include "router/follower.h"

#include "router/catalog.h"
#include "router/gossip.h"
#include "router/links.h"
#include "router/outage.h"
#include "router/partstore.h"
#include "router/readerrole.h"
#include "router/readlog.h"
#include "router/registration.h"
#include "router/relay.h"
#include "router/storeread.h"

/* A host that gets a topic from its peers reads it itself if none of them has
 * read it for this time; 0: each host always reads the topic. */
static const gint64 peers_read_max_us[CQ_TOPIC_COUNT] = {
    [CQ_TOPIC_UPSTREAMS] = 2000 * CQ_MS_US,
    [CQ_TOPIC_HOSTS] = 40 * CQ_SECOND_US,
};
/* After the store has come back from an older copy, what is missing in it
 * counts as present for this time, in which upstreams and hosts write again.
 */
#define ERA_SETTLE_MS 5000
/* A peer that names an era further ahead than this is not believed. */
#define ERA_STEP_MAX 16
/* Delay of the first read after a snapshot, by when a new process has links to
 * its peers and may get the topic from them. */
#define FIRST_READ_DELAY_MS 700
/* The store answers a long poll within this time after a new record. */
#define STORE_DELAY_MAX_US (400 * CQ_MS_US)
#define RETRY_MIN_MS 200
/* How often the reads that are under way are looked at. */
#define CHECK_MS 100
/* Peers don't send higher ages. */
#define PEER_READ_AGE_MAX_MS (24 * 3600 * 1000)
/* A peer that can read the store itself lags by at most this time. */
#define PEER_LAG_MAX_US (1500 * CQ_MS_US)

/*
 * The copy of a topic.
 * current: received from the store or a peer since the last suspension
 * snapshot_complete: a snapshot has been read completely
 * failing: the last read failed
 * read_us: the copy had every record that the store had then; 0: not read
 * peers_read_us: the same, as peers that read the store say
 * behind_since_us: since when a peer knows more than the copy has; 0: none
 */
typedef struct {
    cq_follower_t *follower;
    cq_topic_t topic;
    cq_topicmap_t *map;
    guint64 end_sampled; /* end of the map as it was at sampled_us */
    gboolean current;
    gboolean snapshot_complete;
    gboolean failing;
    cq_readlog_t log;
    guint retry_ms;
    guint timer;
    gint64 sampled_us;
    gint64 read_started_us;
    gint64 read_us;
    gint64 peers_read_us;
    gint64 behind_since_us;
    cq_storeread_t reads;
} table_t;

struct cq_follower {
    cq_app_t *app;
    cq_store_t *store;
    table_t tables[CQ_TOPIC_COUNT];
    cq_catalog_t *catalog;
    cq_registration_t *registration;
    cq_partstore_t *partstore;
    gboolean store_state_posted; /* a LOG event has been posted */
    cq_readerrole_t role;
    guint era_timer;
    guint check_timer;
    cq_outage_t outage;
};

static void
start_read(table_t *table);

static gboolean
any_failing(const cq_follower_t *follower)
{
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        if (follower->tables[i].failing) {
            return TRUE;
        }
    }
    return FALSE;
}

/* The store counts as unreachable while the last read of at least one topic
 * has failed. A LOG event tells the core the first state and each change. */
static void
set_failing(table_t *table, gboolean failing)
{
    cq_follower_t *follower = table->follower;
    gboolean was_failing = any_failing(follower);
    table->failing = failing;
    gboolean is_failing = any_failing(follower);
    if (was_failing != is_failing || !follower->store_state_posted) {
        follower->store_state_posted = TRUE;
        cq_event_t event = {.kind = CQ_EV_LOG, .log_up = !is_failing};
        cq_app_post(follower->app, &event);
    }
}

/* Return: time until this host has to read the topic itself, 0 or less if it
 * has to read now. */
static gint64
time_until_own_read_us(const table_t *table)
{
    gint64 now_us = cq_app_now_us(table->follower->app);
    if (!table->current || table->peers_read_us == 0 ||
        cq_readerrole_get(&table->follower->role) != CQ_STORE_READER_NONE) {
        return 0;
    }
    return table->peers_read_us + peers_read_max_us[table->topic] - now_us;
}

static void
schedule_read(table_t *table, guint ms);

static gboolean
on_read_timer(gpointer data)
{
    table_t *table = data;
    gint64 wait_us = time_until_own_read_us(table);
    table->timer = 0;
    if (wait_us > 0) {
        schedule_read(table, (guint)(wait_us / CQ_MS_US) + 1);
    }
    else {
        start_read(table);
    }
    return G_SOURCE_REMOVE;
}

static void
schedule_read(table_t *table, guint ms)
{
    if (table->timer == 0) {
        table->timer = g_timeout_add(ms, on_read_timer, table);
    }
}

static cq_readplan_t
get_plan(table_t *table)
{
    return (cq_readplan_t){
        .topic = table->topic,
        .role = cq_readerrole_get(&table->follower->role),
        .first = !table->current,
        .failures = table->log.failures,
        .peers_read_us = table->peers_read_us,
        .behind_since_us = table->behind_since_us,
    };
}

static void
retry_read(table_t *table)
{
    cq_readlog_failed(&table->log, table->read_started_us,
                      cq_topicmap_end(table->map));
    set_failing(table, TRUE);
    if (cq_storeread_get(&table->reads).len == 0) {
        cq_readplan_t plan = get_plan(table);
        guint max_ms = cq_readplan_retry_max_ms(&plan);
        table->retry_ms = CLAMP(table->retry_ms * 2, RETRY_MIN_MS, max_ms);
        schedule_read(table, table->retry_ms);
    }
}

static void
apply_page(table_t *table, const cq_store_page_t *page,
           cq_record_source_t source)
{
    if (page->unreadable > 0) {
        cq_app_log(table->follower->app, "records_unreadable",
                   "topic=%s offset=%" G_GUINT64_FORMAT " count=%u",
                   cq_topic_name(table->topic), cq_topicmap_end(table->map),
                   page->unreadable);
    }
    for (guint i = 0; i < page->records->len; i++) {
        cq_catalog_apply(table->follower->catalog, table->topic,
                         &g_array_index(page->records, cq_store_record_t, i),
                         source);
    }
}

static void
cancel_reads(table_t *table)
{
    cq_store_cancel(table->follower->store, table);
    cq_storeread_cancel(&table->reads);
}

/* The store did not answer a read of @table for a time. What it was to answer
 * in that time may be lost for other topics too, so their reads that still
 * wait from then are started again, and those that failed are not put off. */
static void
restart_other_reads(const table_t *table)
{
    cq_follower_t *follower = table->follower;
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        table_t *other = &follower->tables[i];
        gboolean waits = other->timer == 0 || other->log.failures > 0;
        if (other != table && waits &&
            other->read_started_us < table->read_started_us) {
            g_clear_handle_id(&other->timer, g_source_remove);
            cancel_reads(other);
            start_read(other);
        }
    }
}

static void
read_succeeded(table_t *table)
{
    cq_follower_t *follower = table->follower;
    gint64 now_us = cq_app_now_us(follower->app);
    table->retry_ms = 0;
    gboolean was_failing = cq_readlog_succeeded(
        &table->log, table->read_started_us, cq_topicmap_end(table->map));
    if (was_failing) {
        restart_other_reads(table);
    }
    table->read_us = MAX(table->read_started_us, now_us - STORE_DELAY_MAX_US);
    set_failing(table, FALSE);
    gint64 lapsed_until_us = 0;
    if (table->topic == CQ_TOPIC_UPSTREAMS) {
        cq_outage_note_read(&follower->outage, table->read_us);
        lapsed_until_us =
            was_failing ? cq_outage_lapsed_until_us(&follower->outage, now_us)
                        : 0;
    }
    cq_catalog_post(follower->catalog, lapsed_until_us);
}

/* Goes on after an answer that has no records. */
static void
read_failed(table_t *table, cq_store_outcome_t outcome)
{
    if (outcome == CQ_STORE_EXPIRED) {
        table->snapshot_complete = FALSE;
        schedule_read(table, 0);
        return;
    }
    retry_read(table);
}

static void
on_snapshot_page(const cq_store_page_t *page, void *data)
{
    table_t *table = data;
    if (page->outcome != CQ_STORE_DONE) {
        read_failed(table, page->outcome);
        return;
    }
    cq_topicmap_begin_page(table->map, page->end);
    apply_page(table, page, CQ_SOURCE_SNAPSHOT);
    if (page->more && page->records->len > 0) {
        const cq_store_record_t *last = &g_array_index(
            page->records, cq_store_record_t, page->records->len - 1);
        cq_store_read_newest(table->follower->store, table->topic, last->key,
                             on_snapshot_page, table);
        return;
    }
    cq_catalog_end_snapshot(table->follower->catalog, table->topic);
    table->snapshot_complete = TRUE;
    table->current = TRUE;
    read_succeeded(table);
    schedule_read(
        table, peers_read_max_us[table->topic] > 0 ? FIRST_READ_DELAY_MS : 0);
}

/* Return: whether peers depend on this host's reads of the topic. */
static gboolean
sends_to_peers(const table_t *table)
{
    return peers_read_max_us[table->topic] > 0 &&
           cq_readerrole_get(&table->follower->role) ==
               CQ_STORE_READER_FOR_PEERS;
}

static void
on_read(const cq_store_page_t *page, const cq_storeread_end_t *end, void *data)
{
    table_t *table = data;
    table->read_started_us = end->started_us;
    if (page->outcome != CQ_STORE_DONE) {
        read_failed(table, page->outcome);
        return;
    }
    guint64 from = cq_topicmap_end(table->map);
    apply_page(table, page, CQ_SOURCE_LOG);
    if (page->records->len > 0 && sends_to_peers(table)) {
        cq_gossip_push(table->follower->app, table->topic, page->records, from,
                       page->next);
    }
    cq_topicmap_add_page(table->map, page->next);
    table->current = TRUE;
    table->behind_since_us = 0;
    /* An older read was never answered: what it was to answer is lost, also
     * for reads of other topics from that time. */
    if (end->oldest_us < end->started_us && table->log.failures == 0) {
        cq_readlog_lost(&table->log, end->oldest_us,
                        cq_topicmap_end(table->map));
        restart_other_reads(table);
    }
    read_succeeded(table);
    gint64 took_us =
        cq_app_now_us(table->follower->app) - table->read_started_us;
    schedule_read(table, cq_readplan_delay_ms(
                             table->topic, page->records->len > 0, took_us));
}

static void
start_read(table_t *table)
{
    cq_follower_t *follower = table->follower;
    table->read_started_us = cq_app_now_us(follower->app);
    if (!table->snapshot_complete) {
        cq_topicmap_begin_snapshot(table->map);
        cq_store_read_newest(follower->store, table->topic, NULL,
                             on_snapshot_page, table);
        return;
    }
    cq_readplan_t plan = get_plan(table);
    cq_storeread_start(&table->reads, cq_topicmap_end(table->map),
                       cq_readplan_wait_ms(&plan, table->read_started_us),
                       table->read_started_us);
}

/* Finds reads whose answers may be lost, and starts others beside them. */
static gboolean
on_check(gpointer data)
{
    cq_follower_t *follower = data;
    gint64 now_us = cq_app_now_us(follower->app);
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        table_t *table = &follower->tables[i];
        cq_readplan_t plan = get_plan(table);
        cq_readplan_reads_t reads = cq_storeread_get(&table->reads);
        if (cq_readplan_is_overdue(&plan, &reads, now_us)) {
            table->read_started_us = now_us;
            cq_storeread_start(&table->reads, cq_topicmap_end(table->map), 0,
                               now_us);
        }
    }
    return G_SOURCE_CONTINUE;
}

static gboolean
on_era_settled(gpointer data)
{
    cq_follower_t *follower = data;
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        if (!follower->tables[i].snapshot_complete) {
            return G_SOURCE_CONTINUE;
        }
    }
    follower->era_timer = 0;
    cq_catalog_end_era(follower->catalog);
    return G_SOURCE_REMOVE;
}

/* Offsets start anew, so every topic is read again from a snapshot. */
static void
on_era_changed(void *data)
{
    cq_follower_t *follower = data;
    cq_app_log(follower->app, "store_era", "era=%" G_GUINT64_FORMAT,
               cq_store_era(follower->store));
    cq_catalog_begin_era(follower->catalog);
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        table_t *table = &follower->tables[i];
        table->end_sampled = 0;
        table->read_us = 0;
        table->peers_read_us = 0;
        table->behind_since_us = 0;
        table->snapshot_complete = FALSE;
        cancel_reads(table);
        schedule_read(table, 0);
    }
    cq_registration_renew(follower->registration);
    g_clear_handle_id(&follower->era_timer, g_source_remove);
    follower->era_timer =
        g_timeout_add(ERA_SETTLE_MS, on_era_settled, follower);
}

cq_follower_t *
cq_follower_new(cq_app_t *app)
{
    cq_follower_t *follower = g_new0(cq_follower_t, 1);
    follower->app = app;
    follower->role.app = app;
    follower->store =
        cq_store_new(cq_app_settings(app)->store, on_era_changed, follower);
    follower->partstore = cq_partstore_new(app, follower->store);
    follower->catalog = cq_catalog_new(app, follower->partstore);
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        table_t *table = &follower->tables[i];
        table->follower = follower;
        table->topic = (cq_topic_t)i;
        table->map = cq_catalog_map(follower->catalog, table->topic);
        table->log = (cq_readlog_t){.app = app, .topic = table->topic};
        table->reads = (cq_storeread_t){.store = follower->store,
                                        .topic = table->topic,
                                        .done = on_read,
                                        .data = table};
        start_read(table);
    }
    follower->check_timer = g_timeout_add(CHECK_MS, on_check, follower);
    follower->registration = cq_registration_new(app, follower->store);
    return follower;
}

void
cq_follower_free(cq_follower_t *follower)
{
    g_source_remove(follower->check_timer);
    g_clear_handle_id(&follower->era_timer, g_source_remove);
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        g_clear_handle_id(&follower->tables[i].timer, g_source_remove);
    }
    cq_registration_free(follower->registration);
    cq_partstore_free(follower->partstore);
    cq_store_free(follower->store);
    cq_catalog_free(follower->catalog);
    g_free(follower);
}

gboolean
cq_follower_ready(const cq_follower_t *follower)
{
    return cq_catalog_has_routes(follower->catalog) &&
           follower->tables[CQ_TOPIC_CONFIG].current &&
           follower->tables[CQ_TOPIC_UPSTREAMS].current;
}

void
cq_follower_write_part(cq_follower_t *follower, const cq_part_record_t *record)
{
    cq_partstore_write(follower->partstore, record);
}

void
cq_follower_deregister(cq_follower_t *follower)
{
    cq_registration_remove(follower->registration);
}

void
cq_follower_reread(cq_follower_t *follower)
{
    /* Answers to earlier reads are discarded: they may be out of date. */
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        cancel_reads(&follower->tables[i]);
    }
    cq_store_reset(follower->store);
    follower->outage = (cq_outage_t){0};
    for (guint i = 0; i < CQ_TOPIC_COUNT; i++) {
        table_t *table = &follower->tables[i];
        table->current = FALSE;
        table->read_us = 0;
        table->peers_read_us = 0;
        table->behind_since_us = 0;
        g_clear_handle_id(&table->timer, g_source_remove);
        start_read(table);
    }
    cq_registration_resume(follower->registration);
    cq_partstore_resume(follower->partstore);
}

cq_catalog_t *
cq_follower_catalog(const cq_follower_t *follower)
{
    return follower->catalog;
}

guint64
cq_follower_era(const cq_follower_t *follower)
{
    return cq_store_era(follower->store);
}

gboolean
cq_follower_note_era(cq_follower_t *follower, guint64 era)
{
    guint64 own = cq_store_era(follower->store);
    if (own != 0 && era > own + ERA_STEP_MAX) {
        return FALSE;
    }
    cq_store_note_era(follower->store, era);
    return own == 0 || era == 0 || era == own;
}

guint64
cq_follower_offset(const cq_follower_t *follower, cq_topic_t topic)
{
    return cq_topicmap_end(follower->tables[topic].map);
}

guint64
cq_follower_read_age_ms(const cq_follower_t *follower, cq_topic_t topic)
{
    const table_t *table = &follower->tables[topic];
    if (table->read_us == 0 || table->failing) {
        return 0;
    }
    gint64 age_us = cq_app_now_us(follower->app) - table->read_us;
    return (guint64)(MAX(age_us, 0) / CQ_MS_US) + 1;
}

void
cq_follower_peer_read(cq_follower_t *follower, cq_topic_t topic, guint64 at,
                      guint64 age_ms)
{
    table_t *table = &follower->tables[topic];
    gint64 now_us = cq_app_now_us(follower->app);
    if (at > cq_topicmap_end(table->map) && table->behind_since_us == 0) {
        table->behind_since_us = now_us;
    }
    gboolean reads = age_ms != 0 && age_ms <= PEER_READ_AGE_MAX_MS;
    if (reads && topic == CQ_TOPIC_UPSTREAMS) {
        cq_outage_note_read(&follower->outage,
                            now_us - (gint64)(age_ms - 1) * CQ_MS_US);
    }
    if (!reads || at > cq_topicmap_end(table->map)) {
        return;
    }
    gint64 read_us = now_us - (gint64)(age_ms - 1) * CQ_MS_US;
    table->peers_read_us = MAX(table->peers_read_us, read_us);
    if (table->failing && time_until_own_read_us(table) > 0) {
        set_failing(table, FALSE);
    }
}

/* Return: the offset up to which peers are sent records. Peers that read the
 * store themselves lag a little, so only what they should have by now is sent,
 * unless this host reads the topic for its peers. */
static guint64
offset_to_send(table_t *table)
{
    gint64 now_us = cq_app_now_us(table->follower->app);
    if (sends_to_peers(table) && table->read_us != 0 && !table->failing) {
        return cq_topicmap_end(table->map);
    }
    if (now_us - table->sampled_us > PEER_LAG_MAX_US) {
        table->sampled_us = now_us;
        table->end_sampled = cq_topicmap_end(table->map);
        return 0;
    }
    return table->end_sampled;
}

const cq_topicmap_t *
cq_follower_get_missing(cq_follower_t *follower, cq_topic_t topic, guint64 at)
{
    table_t *table = &follower->tables[topic];
    return at < offset_to_send(table) ? table->map : NULL;
}

void
cq_follower_add_record(cq_follower_t *follower, cq_topic_t topic,
                       const cq_store_record_t *record)
{
    cq_catalog_apply(follower->catalog, topic, record, CQ_SOURCE_PEER);
}

void
cq_follower_add_claim(cq_follower_t *follower, cq_topic_t topic,
                      const cq_topicmap_claim_t *claim)
{
    table_t *table = &follower->tables[topic];
    if (cq_catalog_apply_claim(follower->catalog, topic, claim)) {
        table->behind_since_us = 0;
        table->current = TRUE;
    }
    gint64 now_us = cq_app_now_us(follower->app);
    gboolean may_lapse =
        topic == CQ_TOPIC_UPSTREAMS &&
        (table->failing || cq_outage_is_unread(&follower->outage, now_us));
    cq_catalog_post(
        follower->catalog,
        may_lapse ? cq_outage_lapsed_until_us(&follower->outage, now_us) : 0);
}
