#include "router/links.h"

#include <string.h>

#include "router/follow.h"
#include "router/http.h"
#include "router/link.h"
#include "router/news.h"

#define CHECK_MS 100
/* A peer that does not answer is dialled again after doubling pauses. */
#define REDIAL_MIN_US (100 * CQ_MS_US)
#define REDIAL_MAX_US (400 * CQ_MS_US)
#define DIAL_TIMEOUT_S 1
#define LINKS_MAX 256

struct cq_links {
    cq_app_t *app;
    GSocketService *service;
    GHashTable *targets;
    GPtrArray *open;
    GCancellable *cancellable;
    guint timer;
    guint refs;
    gint64 offered_us;
    GArray *tasks;
    gboolean stopped;
};

/* A peer to keep a connection to. */
typedef struct {
    char addr[CQ_ADDR_BYTES];
    cq_link_t *link;
    gboolean dialling;
    gint64 pause_us;
    gint64 due_us;
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
    g_object_unref(links->cancellable);
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
            GBytes *bytes = cq_codec_entry(held);
            cq_link_send(link, bytes);
            g_bytes_unref(bytes);
        }
    }
}

static void
take_entry(cq_links_t *links, const Cq__Entry *message)
{
    cq_config_entry_t entry;
    if (!cq_codec_read_entry(message, &entry)) {
        cq_app_count(links->app, CQ_N_FRAME_BAD, 1);
        return;
    }
    cq_fold_merge(cq_app_fold(links->app), &entry);
    g_free(entry.body);
}

static void
take_summary(cq_links_t *links, cq_link_t *link, const Cq__Summary *message)
{
    cq_summary_t summary;
    if (!cq_codec_read_summary(message, &summary)) {
        cq_app_count(links->app, CQ_N_FRAME_BAD, 1);
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
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(cq_task_news_t));
    if (cq_codec_read_tasks(message, rows)) {
        cq_event_t event = {.kind = CQ_EV_TASKS};
        event.tasks.host = message->host;
        event.tasks.rows = (const cq_task_news_t *)(const void *)rows->data;
        event.tasks.len = rows->len;
        cq_app_post(links->app, &event);
    }
    else {
        cq_app_count(links->app, CQ_N_FRAME_BAD, 1);
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
            cq_app_count(links->app, CQ_N_FRAME_BAD, 1);
        }
        break;
    case CQ__FRAME__KIND_ENTRY:
        take_entry(links, frame->entry);
        break;
    default:
        cq_app_count(links->app, CQ_N_FRAME_BAD, 1);
        break;
    }
}

/* A peer that dials is dialled back, and told all that is under way here. */
static void
on_proved(cq_link_t *link, const char *addr, void *data)
{
    cq_links_t *links = data;
    cq_event_t event = {.kind = CQ_EV_PEER_LINKED};
    if (addr[0] != '\0' && !cq_link_dialled(link)) {
        cq_links_dial(links, addr);
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
            target->link = NULL;
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
add_link(cq_links_t *links, GSocketConnection *connection, gboolean dialled)
{
    cq_link_options_t options = {
        .app = links->app,
        .connection = connection,
        .dialled = dialled,
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
from_loopback(GSocketConnection *connection)
{
    GSocketAddress *address =
        g_socket_connection_get_remote_address(connection, NULL);
    gboolean loopback = FALSE;
    if (address != NULL && G_IS_INET_SOCKET_ADDRESS(address)) {
        loopback = g_inet_address_get_is_loopback(
            g_inet_socket_address_get_address(G_INET_SOCKET_ADDRESS(address)));
    }
    g_clear_object(&address);
    return loopback;
}

static gboolean
on_incoming(GSocketService *service, GSocketConnection *connection,
            GObject *source, gpointer data)
{
    (void)service;
    (void)source;
    cq_links_t *links = data;
    gboolean keyed = cq_app_settings(links->app)->peer_key[0] != '\0';
    gboolean full = links->open->len >= LINKS_MAX;
    if (full || (!keyed && !from_loopback(connection))) {
        cq_app_count(links->app, CQ_N_PEER_REJECTED, 1);
        return TRUE;
    }
    add_link(links, connection, FALSE);
    return TRUE;
}

typedef struct {
    cq_links_t *links;
    char addr[CQ_ADDR_BYTES];
} dial_t;

static void
on_connected(GObject *source, GAsyncResult *result, gpointer data)
{
    dial_t *dial = data;
    cq_links_t *links = dial->links;
    GSocketConnection *connection =
        g_socket_client_connect_finish(G_SOCKET_CLIENT(source), result, NULL);
    target_t *target = g_hash_table_lookup(links->targets, dial->addr);
    if (target != NULL) {
        target->dialling = FALSE;
    }
    if (connection != NULL && target != NULL && !links->stopped) {
        target->link = add_link(links, connection, TRUE);
        target->pause_us = 0;
    }
    g_clear_object(&connection);
    g_free(dial);
    unref(links);
}

static void
dial(cq_links_t *links, target_t *target)
{
    GSocketAddress *address = cq_http_address(target->addr);
    if (address == NULL) {
        return;
    }
    GSocketClient *client = g_socket_client_new();
    g_socket_client_set_enable_proxy(client, FALSE);
    g_socket_client_set_timeout(client, DIAL_TIMEOUT_S);
    dial_t *dial = g_new0(dial_t, 1);
    dial->links = links;
    g_strlcpy(dial->addr, target->addr, sizeof dial->addr);
    target->dialling = TRUE;
    target->pause_us =
        CLAMP(target->pause_us * 2, REDIAL_MIN_US, REDIAL_MAX_US);
    target->due_us = cq_app_now_us(links->app) + target->pause_us;
    links->refs++;
    g_socket_client_connect_async(client, G_SOCKET_CONNECTABLE(address),
                                  links->cancellable, on_connected, dial);
    g_object_unref(client);
    g_object_unref(address);
}

static void
check_open(cq_links_t *links)
{
    gint64 now_us = cq_app_now_us(links->app);
    for (guint i = links->open->len; i > 0; i--) {
        cq_link_check(g_ptr_array_index(links->open, i - 1), now_us);
    }
}

static gboolean
on_timer(gpointer data)
{
    cq_links_t *links = data;
    check_open(links);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, links->targets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        target_t *target = value;
        gboolean due = cq_app_now_us(links->app) >= target->due_us;
        if (target->link == NULL && !target->dialling && due) {
            dial(links, target);
        }
    }
    if (cq_app_now_us(links->app) - links->offered_us >= CQ_OFFER_US) {
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
    links->tasks = g_array_new(FALSE, FALSE, sizeof(cq_task_news_t));
    links->cancellable = g_cancellable_new();
    links->timer = g_timeout_add(CHECK_MS, on_timer, links);
    return links;
}

gboolean
cq_links_listen(cq_links_t *links, const char *addr, cq_error_t *error)
{
    GSocketAddress *address = cq_http_address(addr);
    GError *cause = NULL;
    links->service = g_socket_service_new();
    gboolean good =
        address != NULL &&
        g_socket_listener_add_address(
            G_SOCKET_LISTENER(links->service), address, G_SOCKET_TYPE_STREAM,
            G_SOCKET_PROTOCOL_TCP, NULL, NULL, &cause);
    if (!good) {
        cq_http_taken(error, "listen.peers", addr, cause);
    }
    g_clear_error(&cause);
    g_clear_object(&address);
    g_signal_connect(links->service, "incoming", G_CALLBACK(on_incoming),
                     links);
    return good;
}

void
cq_links_free(cq_links_t *links)
{
    links->stopped = TRUE;
    g_source_remove(links->timer);
    g_cancellable_cancel(links->cancellable);
    if (links->service != NULL) {
        g_socket_service_stop(links->service);
        g_socket_listener_close(G_SOCKET_LISTENER(links->service));
        g_object_unref(links->service);
    }
    while (links->open->len > 0) {
        cq_link_close(g_ptr_array_index(links->open, 0));
    }
    unref(links);
}

void
cq_links_dial(cq_links_t *links, const char *addr)
{
    const cq_settings_t *settings = cq_app_settings(links->app);
    if (strcmp(addr, settings->peers) == 0 ||
        g_hash_table_contains(links->targets, addr) ||
        g_hash_table_size(links->targets) >= LINKS_MAX) {
        return;
    }
    target_t *target = g_new0(target_t, 1);
    g_strlcpy(target->addr, addr, sizeof target->addr);
    g_hash_table_insert(links->targets, target->addr, target);
    dial(links, target);
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

static void
broadcast(cq_links_t *links, GBytes *frame, gboolean dialled_only)
{
    for (guint i = 0; i < links->open->len; i++) {
        cq_link_t *link = g_ptr_array_index(links->open, i);
        if (cq_link_dialled(link) || !dialled_only) {
            cq_link_send(link, frame);
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
    GBytes *frame = cq_codec_summary(summary, clock, at,
                                     follow != NULL ? CQ_TOPIC_COUNT : 0);
    /* A pair of processes with a connection each way hears it once. */
    broadcast(links, frame, TRUE);
    g_bytes_unref(frame);
}

void
cq_links_task(cq_links_t *links, const cq_task_news_t *news)
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
    const cq_task_news_t *rows =
        (const cq_task_news_t *)(const void *)links->tasks->data;
    GBytes *frame = cq_codec_tasks(host, rows, links->tasks->len);
    broadcast(links, frame, TRUE);
    g_bytes_unref(frame);
    g_array_set_size(links->tasks, 0);
}

void
cq_links_offer(cq_links_t *links)
{
    GBytes *bytes = pack_offer(links, NULL, 0);
    broadcast(links, bytes, FALSE);
    links->offered_us = cq_app_now_us(links->app);
    g_bytes_unref(bytes);
}
