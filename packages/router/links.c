#include "router/links.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/sock.h"
#include "router/follower.h"
#include "router/link.h"
#include "router/gossip.h"
#include "router/partsync.h"
#include "router/tasksync.h"

#define CHECK_INTERVAL_MS 100
/* Delay before a peer is dialled again; it doubles from MIN to MAX. */
#define REDIAL_MIN_US (100 * CQ_MS_US)
#define REDIAL_MAX_US (400 * CQ_MS_US)
/* One connection serves both sides. The side with the lower address dials at
 * once, the other one only if it has not been dialled within this time. */
#define PASSIVE_DIAL_DELAY_US (300 * CQ_MS_US)
#define LINKS_MAX 256
/* A lost peer that is neither in the settings nor in the list of hosts is
 * dialled for this long before it is forgotten. */
#define UNLISTED_PEER_KEEP_US (5 * CQ_SECOND_US)

struct cq_links {
    cq_app_t *app;
    guint listener;
    GHashTable *peer_by_addr;
    GPtrArray *open_links;
    guint timer;
    guint refs;
    gint64 last_offer_us;
    cq_tasksync_t *tasksync;
    cq_partsync_t *partsync;
};

/* A peer to stay connected to. */
typedef struct {
    char addr[CQ_ADDR_BYTES];
    cq_link_t *link;
    gint64 redial_delay_us;
    gint64 dial_due_us;
    gint64 disconnected_us; /* when it was added, or last lost */
} peer_t;

static void
unref(cq_links_t *links)
{
    if (--links->refs > 0) {
        return;
    }
    g_hash_table_unref(links->peer_by_addr);
    g_ptr_array_unref(links->open_links);
    cq_tasksync_free(links->tasksync);
    cq_partsync_free(links->partsync);
    g_free(links);
}

static gboolean
is_newer(const cq_links_t *links, const Cq__Version *offered)
{
    const cq_config_entry_t *current =
        cq_fold_get(cq_app_fold(links->app), offered->service);
    if (current == NULL || offered->version > current->version) {
        return TRUE;
    }
    return offered->version == current->version &&
           strcmp(offered->hash, current->hash) > 0;
}

static void
send_want(cq_link_t *link, char **names, gsize len)
{
    Cq__Want want = CQ__WANT__INIT;
    want.n_services = len;
    want.services = names;
    Cq__Frame frame = CQ__FRAME__INIT;
    frame.kind_case = CQ__FRAME__KIND_WANT;
    frame.want = &want;
    GBytes *bytes = cq_codec_pack(&frame);
    cq_link_send(link, bytes);
    g_bytes_unref(bytes);
}

static void
handle_offer(cq_links_t *links, cq_link_t *link, const Cq__Offer *offer)
{
    if (offer->digest == cq_fold_digest(cq_app_fold(links->app))) {
        return;
    }
    /* An offer without versions has only the digest. A WANT without services
     * requests the list of versions. */
    if (offer->n_versions == 0) {
        send_want(link, NULL, 0);
        return;
    }
    char **names = g_new0(char *, offer->n_versions);
    gsize len = 0;
    for (gsize i = 0; i < offer->n_versions; i++) {
        if (is_newer(links, offer->versions[i])) {
            names[len++] = offer->versions[i]->service;
        }
    }
    if (len > 0) {
        send_want(link, names, len);
    }
    g_free(names);
}

static GBytes *
pack_offer(cq_links_t *links, Cq__Version **versions, gsize len)
{
    Cq__Offer offer = CQ__OFFER__INIT;
    offer.n_versions = len;
    offer.versions = versions;
    offer.digest = cq_fold_digest(cq_app_fold(links->app));
    Cq__Frame frame = CQ__FRAME__INIT;
    frame.kind_case = CQ__FRAME__KIND_OFFER;
    frame.offer = &offer;
    return cq_codec_pack(&frame);
}

static GBytes *
pack_versions(cq_links_t *links)
{
    cq_record_t record = cq_fold_checkpoint(cq_app_fold(links->app));
    guint len = record.checkpoint->len;
    Cq__Version *rows = g_new0(Cq__Version, len + 1);
    Cq__Version **versions = g_new0(Cq__Version *, len + 1);
    for (guint i = 0; i < len; i++) {
        cq_config_entry_t *entry =
            &g_array_index(record.checkpoint, cq_config_entry_t, i);
        cq__version__init(&rows[i]);
        rows[i].service = entry->service;
        rows[i].version = entry->version;
        rows[i].hash = entry->hash;
        versions[i] = &rows[i];
    }
    GBytes *bytes = pack_offer(links, versions, len);
    g_free(versions);
    g_free(rows);
    cq_record_clear(&record);
    return bytes;
}

static void
handle_want(cq_links_t *links, cq_link_t *link, const Cq__Want *want)
{
    if (want->n_services == 0) {
        GBytes *bytes = pack_versions(links);
        cq_link_send(link, bytes);
        g_bytes_unref(bytes);
    }
    for (gsize i = 0; i < want->n_services; i++) {
        const cq_config_entry_t *current =
            cq_fold_get(cq_app_fold(links->app), want->services[i]);
        if (current != NULL) {
            GBytes *bytes = cq_codec_encode_entry(current);
            cq_link_send(link, bytes);
            g_bytes_unref(bytes);
        }
    }
}

static void
handle_entry(cq_links_t *links, const Cq__Entry *message)
{
    cq_config_entry_t entry;
    if (!cq_codec_decode_entry(message, &entry)) {
        cq_app_count(links->app, CQ_N_PEER_FRAMES_BAD, 1);
        return;
    }
    cq_fold_merge(cq_app_fold(links->app), &entry);
    g_free(entry.body);
}

static void
handle_summary(cq_links_t *links, cq_link_t *link, const Cq__Summary *message)
{
    cq_summary_t summary;
    if (!cq_codec_decode_summary(message, &summary)) {
        cq_app_count(links->app, CQ_N_PEER_FRAMES_BAD, 1);
        return;
    }
    cq_hlc_t clock = {message->clock_us, message->clock_logical};
    cq_ring_observe(cq_core_ring(cq_app_core(links->app)), clock);
    cq_event_t event = {.kind = CQ_EV_SUMMARY, .summary = &summary};
    cq_app_post(links->app, &event);
    cq_gossip_send(links->app, link, message);
}

static void
count_unless(cq_links_t *links, gboolean valid)
{
    if (!valid) {
        cq_app_count(links->app, CQ_N_PEER_FRAMES_BAD, 1);
    }
}

static void
on_frame(cq_link_t *link, const Cq__Frame *frame, void *data)
{
    cq_links_t *links = data;
    switch (frame->kind_case) {
    case CQ__FRAME__KIND_SUMMARY:
        handle_summary(links, link, frame->summary);
        break;
    case CQ__FRAME__KIND_OFFER:
        handle_offer(links, link, frame->offer);
        break;
    case CQ__FRAME__KIND_WANT:
        handle_want(links, link, frame->want);
        break;
    case CQ__FRAME__KIND_TASKS:
        count_unless(links, cq_tasksync_receive(links->tasksync, frame->tasks,
                                                cq_link_zone(link)));
        break;
    case CQ__FRAME__KIND_SPARE:
        count_unless(links,
                     cq_tasksync_receive_spare(links->tasksync, frame->spare,
                                               cq_link_zone(link)));
        break;
    case CQ__FRAME__KIND_PARTS:
        count_unless(links, cq_partsync_receive(links->partsync, frame->parts,
                                                cq_link_zone(link)));
        break;
    case CQ__FRAME__KIND_RECORDS:
        count_unless(links, cq_gossip_receive(links->app, frame->records));
        break;
    case CQ__FRAME__KIND_ENTRY:
        handle_entry(links, frame->entry);
        break;
    default:
        cq_app_count(links->app, CQ_N_PEER_FRAMES_BAD, 1);
        break;
    }
}

static gint64
first_dial_delay_us(const cq_links_t *links, const char *addr)
{
    gboolean dials_first =
        strcmp(cq_app_settings(links->app)->peers, addr) < 0;
    return dials_first ? 0 : PASSIVE_DIAL_DELAY_US;
}

/* Return: the peer at @addr, which is added if it is new; NULL if it is this
 * host or there are LINKS_MAX peers. */
static peer_t *
find_or_add_peer(cq_links_t *links, const char *addr)
{
    peer_t *peer = g_hash_table_lookup(links->peer_by_addr, addr);
    if (peer != NULL) {
        return peer;
    }
    if (strcmp(addr, cq_app_settings(links->app)->peers) == 0 ||
        g_hash_table_size(links->peer_by_addr) >= LINKS_MAX) {
        return NULL;
    }
    peer = g_new0(peer_t, 1);
    g_strlcpy(peer->addr, addr, sizeof peer->addr);
    peer->disconnected_us = cq_app_now_us(links->app);
    peer->dial_due_us =
        peer->disconnected_us + first_dial_delay_us(links, addr);
    g_hash_table_insert(links->peer_by_addr, peer->addr, peer);
    return peer;
}

/* Posts PEER_LINKED, so that the core sends the new peer its current state. */
static void
on_authenticated(cq_link_t *link, const char *addr, void *data)
{
    cq_links_t *links = data;
    cq_event_t event = {.kind = CQ_EV_PEER_LINKED};
    peer_t *peer = NULL;
    if (addr[0] != '\0') {
        peer = find_or_add_peer(links, addr);
    }
    if (peer != NULL) {
        peer->redial_delay_us = 0;
        if (peer->link == NULL) {
            peer->link = link;
        }
    }
    cq_app_post(links->app, &event);
    cq_partsync_send_all(links->partsync, link);
}

static void
detach_link(cq_links_t *links, const cq_link_t *link)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, links->peer_by_addr);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        peer_t *peer = value;
        if (peer->link == link) {
            gint64 delay_us = first_dial_delay_us(links, peer->addr);
            /* A failed dial does not count as a lost connection. */
            if (cq_link_authenticated(link)) {
                peer->disconnected_us = cq_app_now_us(links->app);
            }
            peer->link = NULL;
            peer->dial_due_us =
                MAX(peer->dial_due_us, cq_app_now_us(links->app) + delay_us);
        }
    }
}

static void
on_closed(cq_link_t *link, void *data)
{
    cq_links_t *links = data;
    detach_link(links, link);
    g_ptr_array_remove_fast(links->open_links, link);
    unref(links);
}

static cq_link_t *
add_link(cq_links_t *links, const char *dial_addr, int fd)
{
    cq_link_options_t options = {
        .app = links->app,
        .dial = dial_addr,
        .fd = fd,
        .authenticated = on_authenticated,
        .received = on_frame,
        .closed = on_closed,
        .data = links,
    };
    links->refs++;
    cq_link_t *link = cq_link_new(&options);
    g_ptr_array_add(links->open_links, link);
    return link;
}

static gboolean
is_from_loopback(int fd)
{
    struct sockaddr_in from = {0};
    socklen_t len = sizeof from;
    return getpeername(fd, (struct sockaddr *)&from, &len) == 0 &&
           from.sin_family == AF_INET &&
           ntohl(from.sin_addr.s_addr) >> IN_CLASSA_NSHIFT == IN_LOOPBACKNET;
}

static void
on_incoming(int fd, void *data)
{
    cq_links_t *links = data;
    gboolean has_key = cq_app_settings(links->app)->peer_key[0] != '\0';
    gboolean at_limit = fd < 0 || links->open_links->len >= LINKS_MAX;
    if (at_limit || (!has_key && !is_from_loopback(fd))) {
        cq_app_count(links->app, CQ_N_PEERS_REJECTED, 1);
        close(fd);
        return;
    }
    add_link(links, NULL, fd);
}

static void
dial_peer(cq_links_t *links, peer_t *peer)
{
    peer->redial_delay_us =
        CLAMP(peer->redial_delay_us * 2, REDIAL_MIN_US, REDIAL_MAX_US);
    peer->dial_due_us = cq_app_now_us(links->app) + peer->redial_delay_us;
    peer->link = add_link(links, peer->addr, -1);
}

static void
check_links(cq_links_t *links)
{
    gint64 now_us = cq_app_now_us(links->app);
    for (guint i = links->open_links->len; i > 0; i--) {
        cq_link_check_timeouts(g_ptr_array_index(links->open_links, i - 1),
                               now_us);
    }
}

/* Return: whether the settings or the list of hosts have @addr. */
static gboolean
is_listed(const cq_links_t *links, const char *addr)
{
    const cq_settings_t *settings = cq_app_settings(links->app);
    for (guint i = 0; i < settings->seeds_len; i++) {
        if (strcmp(settings->seeds[i], addr) == 0) {
            return TRUE;
        }
    }
    guint len;
    const cq_host_row_t *listed = cq_core_peers(cq_app_core(links->app), &len);
    for (guint i = 0; i < len; i++) {
        if (strcmp(listed[i].addr, addr) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
dial_due_peers(cq_links_t *links)
{
    gint64 now_us = cq_app_now_us(links->app);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, links->peer_by_addr);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        peer_t *peer = value;
        if (peer->link != NULL || now_us < peer->dial_due_us) {
            continue;
        }
        if (now_us - peer->disconnected_us > UNLISTED_PEER_KEEP_US &&
            !is_listed(links, peer->addr)) {
            g_hash_table_iter_remove(&iter);
        }
        else {
            dial_peer(links, peer);
        }
    }
}

static gboolean
on_timer(gpointer data)
{
    cq_links_t *links = data;
    check_links(links);
    dial_due_peers(links);
    if (cq_app_now_us(links->app) - links->last_offer_us >=
        CQ_OFFER_INTERVAL_US) {
        cq_links_send_offer(links);
    }
    return G_SOURCE_CONTINUE;
}

cq_links_t *
cq_links_new(cq_app_t *app)
{
    cq_links_t *links = g_new0(cq_links_t, 1);
    links->app = app;
    links->refs = 1;
    links->peer_by_addr =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    links->open_links = g_ptr_array_new();
    links->tasksync = cq_tasksync_new(app, links);
    links->partsync = cq_partsync_new(app, links);
    links->timer = g_timeout_add(CHECK_INTERVAL_MS, on_timer, links);
    return links;
}

gboolean
cq_links_listen(cq_links_t *links, const char *addr, cq_error_t *error)
{
    cq_error_t cause = {0};
    links->listener = cq_sock_listen(addr, on_incoming, links, &cause);
    return links->listener != 0 ||
           cq_error_set(error, cause.kind, "listen.peers: %s", cause.text);
}

void
cq_links_free(cq_links_t *links)
{
    g_source_remove(links->timer);
    if (links->listener != 0) {
        g_source_remove(links->listener);
    }
    while (links->open_links->len > 0) {
        cq_link_close(g_ptr_array_index(links->open_links, 0));
    }
    unref(links);
}

void
cq_links_dial(cq_links_t *links, const char *addr)
{
    peer_t *peer = find_or_add_peer(links, addr);
    if (peer != NULL && peer->link == NULL &&
        cq_app_now_us(links->app) >= peer->dial_due_us) {
        dial_peer(links, peer);
    }
}

guint
cq_links_peer_count(const cq_links_t *links)
{
    return g_hash_table_size(links->peer_by_addr);
}

gboolean
cq_links_all_connected(const cq_links_t *links)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, links->peer_by_addr);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const peer_t *peer = value;
        if (peer->link == NULL || !cq_link_authenticated(peer->link)) {
            return FALSE;
        }
    }
    return TRUE;
}

static gboolean
in_scope(const peer_t *peer, cq_links_scope_t scope, const char *zone)
{
    if (peer->link == NULL) {
        return FALSE;
    }
    switch (scope) {
    case CQ_LINKS_IN_ZONE:
        return g_str_equal(cq_link_zone(peer->link), zone);
    case CQ_LINKS_OUTSIDE_ZONE:
        return !g_str_equal(cq_link_zone(peer->link), zone);
    case CQ_LINKS_ALL:
        break;
    }
    return TRUE;
}

/* Each peer gets @frame once, even if there are two connections to it. */
void
cq_links_send_frame(cq_links_t *links, cq_links_scope_t scope,
                    const char *zone, GBytes *frame)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, links->peer_by_addr);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const peer_t *peer = value;
        if (in_scope(peer, scope, zone)) {
            cq_link_send(peer->link, frame);
        }
    }
}

/* Sends every peer @summary and, for each topic of the store, the offset up to
 * which this process has read it. */
static void
send_summary(cq_links_t *links, const cq_summary_t *summary)
{
    cq_hlc_t clock = cq_core_ring(cq_app_core(links->app))->clock;
    guint64 offsets[CQ_TOPIC_COUNT] = {0};
    guint64 ages_ms[CQ_TOPIC_COUNT] = {0};
    cq_follower_t *follower = cq_app_follower(links->app);
    for (guint i = 0; follower != NULL && i < CQ_TOPIC_COUNT; i++) {
        offsets[i] = cq_follower_offset(follower, (cq_topic_t)i);
        ages_ms[i] = cq_follower_read_age_ms(follower, (cq_topic_t)i);
    }
    cq_topics_known_t known = {
        .offsets = offsets,
        .ages_ms = ages_ms,
        .len = CQ_TOPIC_COUNT,
        .era = follower != NULL ? cq_follower_era(follower) : 0,
        .config_version = cq_gossip_config_version(follower),
    };
    GBytes *frame = cq_codec_encode_summary(summary, clock,
                                            follower != NULL ? &known : NULL);
    cq_links_send_frame(links, CQ_LINKS_ALL, NULL, frame);
    g_bytes_unref(frame);
}

void
cq_links_send_action(cq_links_t *links, const cq_action_t *action)
{
    switch (action->kind) {
    case CQ_AC_SUMMARY:
        send_summary(links, action->summary);
        break;
    case CQ_AC_TASK:
        cq_tasksync_queue(links->tasksync, &action->task);
        break;
    case CQ_AC_PART:
        cq_partsync_queue(links->partsync, &action->part);
        break;
    case CQ_AC_SPARE:
        cq_tasksync_send_spare(links->tasksync, &action->spare);
        break;
    default:
        g_assert_not_reached();
    }
}

void
cq_links_flush(cq_links_t *links)
{
    cq_tasksync_flush(links->tasksync);
    cq_partsync_flush(links->partsync);
}

void
cq_links_send_offer(cq_links_t *links)
{
    GBytes *bytes = pack_offer(links, NULL, 0);
    cq_links_send_frame(links, CQ_LINKS_ALL, NULL, bytes);
    links->last_offer_us = cq_app_now_us(links->app);
    g_bytes_unref(bytes);
}
