#include "router/links.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/sock.h"
#include "router/follow.h"
#include "router/link.h"
#include "router/news.h"

#define CHECK_MS 100
/* A peer that does not answer is dialled again after doubling pauses. */
#define REDIAL_MIN_US (100 * CQ_MS_US)
#define REDIAL_MAX_US (400 * CQ_MS_US)
/* One connection serves both sides. That with the lower address dials at
 * once; the other one only when it is not dialled for so long. */
#define LISTEN_FIRST_US (300 * CQ_MS_US)
#define LINKS_MAX 256
/* A host that nobody names any more is looked for so long. */
#define FORGET_US (5 * CQ_SECOND_US)

struct cq_links {
    cq_app_t *app;
    guint listener;
    GHashTable *targets;
    GPtrArray *open;
    guint timer;
    guint refs;
    gint64 offered_us;
    GArray *tasks;
};

/* A peer to keep a connection to. */
typedef struct {
    char addr[CQ_ADDR_BYTES];
    cq_link_t *link;
    gint64 pause_us;
    gint64 due_us;
    gint64 lost_us; /* when it was first named, or its link ended */
} target_t;

static void
unref(cq_links_t *links)
{
    if (--links->refs > 0) {
        return;
    }
    g_hash_table_unref(links->targets);
    g_ptr_array_unref(links->open);
    g_array_unref(links->tasks);
    g_free(links);
}

static gboolean
want_entry(const cq_links_t *links, const Cq__Version *offered)
{
    const cq_config_entry_t *held =
        cq_fold_get(cq_app_fold(links->app), offered->service);
    if (held == NULL || offered->version > held->version) {
        return TRUE;
    }
    return offered->version == held->version &&
           strcmp(offered->hash, held->hash) > 0;
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
take_offer(cq_links_t *links, cq_link_t *link, const Cq__Offer *offer)
{
    if (offer->digest == cq_fold_digest(cq_app_fold(links->app))) {
        return;
    }
    if (offer->n_versions == 0) {
        send_want(link, NULL, 0);
        return;
    }
    char **names = g_new0(char *, offer->n_versions);
    gsize len = 0;
    for (gsize i = 0; i < offer->n_versions; i++) {
        if (want_entry(links, offer->versions[i])) {
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
    cq_record_t state = cq_fold_checkpoint(cq_app_fold(links->app));
    guint len = state.checkpoint->len;
    Cq__Version *rows = g_new0(Cq__Version, len + 1);
    Cq__Version **at = g_new0(Cq__Version *, len + 1);
    for (guint i = 0; i < len; i++) {
        cq_config_entry_t *entry =
            &g_array_index(state.checkpoint, cq_config_entry_t, i);
        cq__version__init(&rows[i]);
        rows[i].service = entry->service;
        rows[i].version = entry->version;
        rows[i].hash = entry->hash;
        at[i] = &rows[i];
    }
    GBytes *bytes = pack_offer(links, at, len);
    g_free(at);
    g_free(rows);
    cq_record_clear(&state);
    return bytes;
}

static void
take_want(cq_links_t *links, cq_link_t *link, const Cq__Want *want)
{
    if (want->n_services == 0) {
        GBytes *bytes = pack_versions(links);
        cq_link_send(link, bytes);
        g_bytes_unref(bytes);
    }
    for (gsize i = 0; i < want->n_services; i++) {
        const cq_config_entry_t *held =
            cq_fold_get(cq_app_fold(links->app), want->services[i]);
        if (held != NULL) {
            GBytes *bytes = cq_codec_encode_entry(held);
            cq_link_send(link, bytes);
            g_bytes_unref(bytes);
        }
    }
}

static void
take_entry(cq_links_t *links, const Cq__Entry *message)
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
take_summary(cq_links_t *links, cq_link_t *link, const Cq__Summary *message)
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
    cq_news_tell(links->app, link, message);
}

static void
take_tasks(cq_links_t *links, const Cq__Tasks *message)
{
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(cq_task_update_t));
    if (cq_codec_decode_tasks(message, rows)) {
        cq_event_t event = {.kind = CQ_EV_TASKS};
        event.tasks.host = message->host;
        event.tasks.rows = (const cq_task_update_t *)(const void *)rows->data;
        event.tasks.len = rows->len;
        cq_app_post(links->app, &event);
    }
    else {
        cq_app_count(links->app, CQ_N_PEER_FRAMES_BAD, 1);
    }
    g_array_unref(rows);
}

static void
on_frame(cq_link_t *link, const Cq__Frame *frame, void *data)
{
    cq_links_t *links = data;
    switch (frame->kind_case) {
    case CQ__FRAME__KIND_SUMMARY:
        take_summary(links, link, frame->summary);
        break;
    case CQ__FRAME__KIND_OFFER:
        take_offer(links, link, frame->offer);
        break;
    case CQ__FRAME__KIND_WANT:
        take_want(links, link, frame->want);
        break;
    case CQ__FRAME__KIND_TASKS:
        take_tasks(links, frame->tasks);
        break;
    case CQ__FRAME__KIND_RECORDS:
        if (!cq_news_take(links->app, frame->records)) {
            cq_app_count(links->app, CQ_N_PEER_FRAMES_BAD, 1);
        }
        break;
    case CQ__FRAME__KIND_ENTRY:
        take_entry(links, frame->entry);
        break;
    default:
        cq_app_count(links->app, CQ_N_PEER_FRAMES_BAD, 1);
        break;
    }
}

static gint64
patience_us(const cq_links_t *links, const char *addr)
{
    gboolean first = strcmp(cq_app_settings(links->app)->peers, addr) < 0;
    return first ? 0 : LISTEN_FIRST_US;
}

/* The peer at @addr, new or known; NULL for this host and when there are too
 * many. */
static target_t *
need_target(cq_links_t *links, const char *addr)
{
    target_t *target = g_hash_table_lookup(links->targets, addr);
    if (target != NULL) {
        return target;
    }
    if (strcmp(addr, cq_app_settings(links->app)->peers) == 0 ||
        g_hash_table_size(links->targets) >= LINKS_MAX) {
        return NULL;
    }
    target = g_new0(target_t, 1);
    g_strlcpy(target->addr, addr, sizeof target->addr);
    target->lost_us = cq_app_now_us(links->app);
    target->due_us = target->lost_us + patience_us(links, addr);
    g_hash_table_insert(links->targets, target->addr, target);
    return target;
}

/* A peer that dials is told over the same connection all that is under way
 * here. */
static void
on_proved(cq_link_t *link, const char *addr, void *data)
{
    cq_links_t *links = data;
    cq_event_t event = {.kind = CQ_EV_PEER_LINKED};
    target_t *target = NULL;
    if (addr[0] != '\0') {
        target = need_target(links, addr);
    }
    if (target != NULL) {
        target->pause_us = 0;
        if (target->link == NULL) {
            target->link = link;
        }
    }
    cq_app_post(links->app, &event);
}

static void
forget_link(cq_links_t *links, const cq_link_t *link)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, links->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        target_t *target = value;
        if (target->link == link) {
            gint64 us = patience_us(links, target->addr);
            /* A dial that fails is no link that ends. */
            if (cq_link_proved(link)) {
                target->lost_us = cq_app_now_us(links->app);
            }
            target->link = NULL;
            target->due_us =
                MAX(target->due_us, cq_app_now_us(links->app) + us);
        }
    }
}

static void
on_closed(cq_link_t *link, void *data)
{
    cq_links_t *links = data;
    forget_link(links, link);
    g_ptr_array_remove_fast(links->open, link);
    unref(links);
}

static cq_link_t *
add_link(cq_links_t *links, const char *dial, int fd)
{
    cq_link_options_t options = {
        .app = links->app,
        .dial = dial,
        .fd = fd,
        .proved = on_proved,
        .heard = on_frame,
        .closed = on_closed,
        .data = links,
    };
    links->refs++;
    cq_link_t *link = cq_link_new(&options);
    g_ptr_array_add(links->open, link);
    return link;
}

static gboolean
from_loopback(int fd)
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
    gboolean keyed = cq_app_settings(links->app)->peer_key[0] != '\0';
    gboolean full = links->open->len >= LINKS_MAX;
    if (full || (!keyed && !from_loopback(fd))) {
        cq_app_count(links->app, CQ_N_PEERS_REJECTED, 1);
        close(fd);
        return;
    }
    add_link(links, NULL, fd);
}

static void
dial(cq_links_t *links, target_t *target)
{
    target->pause_us =
        CLAMP(target->pause_us * 2, REDIAL_MIN_US, REDIAL_MAX_US);
    target->due_us = cq_app_now_us(links->app) + target->pause_us;
    target->link = add_link(links, target->addr, -1);
}

static void
check_open(cq_links_t *links)
{
    gint64 now_us = cq_app_now_us(links->app);
    for (guint i = links->open->len; i > 0; i--) {
        cq_link_check(g_ptr_array_index(links->open, i - 1), now_us);
    }
}

/* Whether the settings or the list of hosts name @addr. */
static gboolean
named(const cq_links_t *links, const char *addr)
{
    const cq_settings_t *settings = cq_app_settings(links->app);
    for (guint i = 0; i < settings->seeds_len; i++) {
        if (strcmp(settings->seeds[i], addr) == 0) {
            return TRUE;
        }
    }
    guint len;
    const cq_host_row_t *peers = cq_core_peers(cq_app_core(links->app), &len);
    for (guint i = 0; i < len; i++) {
        if (strcmp(peers[i].addr, addr) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
seek(cq_links_t *links)
{
    gint64 now_us = cq_app_now_us(links->app);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, links->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        target_t *target = value;
        if (target->link != NULL || now_us < target->due_us) {
            continue;
        }
        if (now_us - target->lost_us > FORGET_US &&
            !named(links, target->addr)) {
            g_hash_table_iter_remove(&iter);
        }
        else {
            dial(links, target);
        }
    }
}

static gboolean
on_timer(gpointer data)
{
    cq_links_t *links = data;
    check_open(links);
    seek(links);
    if (cq_app_now_us(links->app) - links->offered_us >=
        CQ_OFFER_INTERVAL_US) {
        cq_links_offer(links);
    }
    return G_SOURCE_CONTINUE;
}

cq_links_t *
cq_links_new(cq_app_t *app)
{
    cq_links_t *links = g_new0(cq_links_t, 1);
    links->app = app;
    links->refs = 1;
    links->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    links->open = g_ptr_array_new();
    links->tasks = g_array_new(FALSE, FALSE, sizeof(cq_task_update_t));
    links->timer = g_timeout_add(CHECK_MS, on_timer, links);
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
    while (links->open->len > 0) {
        cq_link_close(g_ptr_array_index(links->open, 0));
    }
    unref(links);
}

void
cq_links_dial(cq_links_t *links, const char *addr)
{
    target_t *target = need_target(links, addr);
    if (target != NULL && target->link == NULL &&
        cq_app_now_us(links->app) >= target->due_us) {
        dial(links, target);
    }
}

guint
cq_links_sought(const cq_links_t *links)
{
    return g_hash_table_size(links->targets);
}

gboolean
cq_links_settled(const cq_links_t *links)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, links->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const target_t *target = value;
        if (target->link == NULL || !cq_link_proved(target->link)) {
            return FALSE;
        }
    }
    return TRUE;
}

/* A pair of processes with two connections hears it once. */
static void
broadcast(cq_links_t *links, GBytes *frame)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, links->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const target_t *target = value;
        if (target->link != NULL) {
            cq_link_send(target->link, frame);
        }
    }
}

void
cq_links_summary(cq_links_t *links, const cq_summary_t *summary)
{
    cq_hlc_t clock = cq_core_ring(cq_app_core(links->app))->clock;
    guint64 at[CQ_TOPIC_COUNT] = {0};
    cq_follow_t *follow = cq_app_follow(links->app);
    for (guint i = 0; follow != NULL && i < CQ_TOPIC_COUNT; i++) {
        at[i] = cq_follow_at(follow, (cq_topic_t)i);
    }
    GBytes *frame = cq_codec_encode_summary(
        summary, clock, at, follow != NULL ? CQ_TOPIC_COUNT : 0);
    broadcast(links, frame);
    g_bytes_unref(frame);
}

void
cq_links_task(cq_links_t *links, const cq_task_update_t *news)
{
    g_array_append_val(links->tasks, *news);
}

void
cq_links_flush(cq_links_t *links)
{
    if (links->tasks->len == 0) {
        return;
    }
    guint32 host = cq_ident_host(cq_app_settings(links->app)->host);
    const cq_task_update_t *rows =
        (const cq_task_update_t *)(const void *)links->tasks->data;
    GBytes *frame = cq_codec_encode_tasks(host, rows, links->tasks->len);
    broadcast(links, frame);
    g_bytes_unref(frame);
    g_array_set_size(links->tasks, 0);
}

void
cq_links_offer(cq_links_t *links)
{
    GBytes *bytes = pack_offer(links, NULL, 0);
    broadcast(links, bytes);
    links->offered_us = cq_app_now_us(links->app);
    g_bytes_unref(bytes);
}
