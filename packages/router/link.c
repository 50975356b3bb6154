#include "router/link.h"

#include <string.h>

#include "http/sock.h"
#include "wire/frame.h"

#define CHALLENGE_BYTES 32
#define MAC_BYTES 32
/* A frame is dropped if more bytes than this would then be unsent. */
#define UNSENT_BYTES_MAX (2 * CQ_FRAME_BYTES_MAX)
/* Longest silence of a peer. If both sides have dialled, there are two
 * connections, and each side sends its heartbeats on the one that it dialled.
 * So a connection dialled by this side may bring no heartbeats; its limit is
 * longer and allows for the interval of offers. */
#define SILENCE_MAX_US                                                        \
    (3 * CQ_HEARTBEAT_INTERVAL_US + CQ_HEARTBEAT_INTERVAL_US / 4)
#define SILENCE_MAX_DIALLED_US (3 * CQ_OFFER_INTERVAL_US)
/* Longest time for a dialled connection to open. It takes a round trip, or
 * longer if the peer has a queue of connections to accept. */
#define DIAL_TIMEOUT_US CQ_SECOND_US

struct cq_link {
    cq_link_options_t options;
    cq_sock_t *sock;
    cq_frame_reader_t reader;
    guint8 challenge[CHALLENGE_BYTES];
    char addr[CQ_ADDR_BYTES];
    char zone[CQ_NAME_BYTES];
    gboolean hello_received;
    gboolean authenticated;
    gboolean closed;
    gint64 last_received_us;
    guint64 config_sent; /* version, or 0 */
    guint refs;
};

static void
unref(cq_link_t *link)
{
    if (--link->refs > 0) {
        return;
    }
    cq_frame_clear(&link->reader);
    g_free(link);
}

void
cq_link_close(cq_link_t *link)
{
    if (link->closed) {
        return;
    }
    link->closed = TRUE;
    cq_sock_close_when_written(link->sock);
    link->options.closed(link, link->options.data);
    unref(link);
}

static void
reject(cq_link_t *link, cq_counter_t counter)
{
    cq_app_count(link->options.app, counter, 1);
    cq_link_close(link);
}

static void
queue(cq_link_t *link, GBytes *frame)
{
    gsize len;
    const void *bytes = g_bytes_get_data(frame, &len);
    if (link->closed ||
        cq_sock_unwritten_bytes(link->sock) + len > UNSENT_BYTES_MAX) {
        return;
    }
    cq_app_count(link->options.app, CQ_N_PEER_FRAMES_OUT, 1);
    cq_app_count(link->options.app, CQ_N_PEER_BYTES_OUT, len);
    cq_app_count(link->options.app, CQ_N_CONTROL_BYTES, len);
    cq_sock_write(link->sock, bytes, len);
}

static void
queue_frame(cq_link_t *link, const Cq__Frame *frame)
{
    GBytes *bytes = cq_codec_pack(frame);
    queue(link, bytes);
    g_bytes_unref(bytes);
}

/* The MAC covers the role, so that a proof cannot be reflected to the side
 * that made it. */
static void
make_mac(const cq_link_t *link, gboolean dialler, const guint8 *challenge,
         guint8 mac[MAC_BYTES])
{
    const char *key = cq_app_settings(link->options.app)->peer_key;
    const char *role = dialler ? "dialler" : "listener";
    GHmac *hmac =
        g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)key, strlen(key));
    g_hmac_update(hmac, (const guchar *)role, (gssize)strlen(role));
    g_hmac_update(hmac, challenge, CHALLENGE_BYTES);
    gsize len = MAC_BYTES;
    g_hmac_get_digest(hmac, mac, &len);
    g_hmac_unref(hmac);
}

static void
handle_hello(cq_link_t *link, const Cq__Hello *hello)
{
    g_strlcpy(link->addr, hello->addr, sizeof link->addr);
    g_strlcpy(link->zone, hello->zone, sizeof link->zone);
    if (link->hello_received || hello->challenge.len != CHALLENGE_BYTES) {
        reject(link, CQ_N_PEER_FRAMES_BAD);
        return;
    }
    link->hello_received = TRUE;
    guint8 mac[MAC_BYTES];
    make_mac(link, cq_link_dialled(link), hello->challenge.data, mac);
    Cq__Proof proof = CQ__PROOF__INIT;
    proof.mac.data = mac;
    proof.mac.len = sizeof mac;
    Cq__Frame frame = CQ__FRAME__INIT;
    frame.kind_case = CQ__FRAME__KIND_PROOF;
    frame.proof = &proof;
    queue_frame(link, &frame);
}

static gboolean
same_mac(const guint8 *a, const guint8 *b)
{
    guint8 difference = 0;
    for (int i = 0; i < MAC_BYTES; i++) {
        difference |= a[i] ^ b[i];
    }
    return difference == 0;
}

static void
handle_proof(cq_link_t *link, const Cq__Proof *proof)
{
    guint8 mac[MAC_BYTES];
    make_mac(link, !cq_link_dialled(link), link->challenge, mac);
    if (proof->mac.len != MAC_BYTES || !same_mac(mac, proof->mac.data)) {
        reject(link, CQ_N_PEERS_REJECTED);
        return;
    }
    link->authenticated = TRUE;
    link->options.authenticated(link, link->addr, link->options.data);
}

static void
handle_frame(cq_link_t *link, const Cq__Frame *frame)
{
    switch (frame->kind_case) {
    case CQ__FRAME__KIND_HELLO:
        handle_hello(link, frame->hello);
        return;
    case CQ__FRAME__KIND_PROOF:
        handle_proof(link, frame->proof);
        return;
    default:
        break;
    }
    if (!link->authenticated) {
        reject(link, CQ_N_PEERS_REJECTED);
        return;
    }
    link->options.received(link, frame, link->options.data);
}

static void
handle_payload(cq_link_t *link, GBytes *payload)
{
    gsize len;
    const guint8 *data = g_bytes_get_data(payload, &len);
    cq_app_count(link->options.app, CQ_N_PEER_FRAMES_IN, 1);
    cq_app_count(link->options.app, CQ_N_PEER_BYTES_IN, len);
    cq_app_count(link->options.app, CQ_N_CONTROL_BYTES, len);
    if (!link->authenticated && len > CQ_FRAME_UNPROVED_BYTES_MAX) {
        reject(link, CQ_N_PEER_FRAMES_TOO_LONG);
        return;
    }
    Cq__Frame *frame = cq__frame__unpack(NULL, len, data);
    if (frame == NULL) {
        reject(link, CQ_N_PEER_FRAMES_BAD);
        return;
    }
    handle_frame(link, frame);
    cq__frame__free_unpacked(frame, NULL);
}

static void
parse_frames(cq_link_t *link)
{
    while (!link->closed) {
        GBytes *payload = NULL;
        switch (cq_frame_next(&link->reader, &payload)) {
        case CQ_FRAME_NONE:
            return;
        case CQ_FRAME_TOO_LONG:
            reject(link, CQ_N_PEER_FRAMES_TOO_LONG);
            return;
        case CQ_FRAME_READY:
            handle_payload(link, payload);
            g_bytes_unref(payload);
            break;
        }
    }
}

static void
on_received(void *data, const char *bytes, gsize len)
{
    cq_link_t *link = data;
    link->refs++;
    link->last_received_us = cq_app_now_us(link->options.app);
    cq_frame_push(&link->reader, bytes, len);
    parse_frames(link);
    unref(link);
}

static void
on_ended(void *data, cq_sock_end_t how)
{
    (void)how;
    cq_link_close(data);
}

static void
send_hello(cq_link_t *link)
{
    for (guint i = 0; i < CHALLENGE_BYTES; i++) {
        link->challenge[i] = (guint8)g_random_int();
    }
    Cq__Hello hello = CQ__HELLO__INIT;
    hello.host = (char *)cq_app_settings(link->options.app)->host;
    hello.addr = (char *)cq_app_settings(link->options.app)->peers;
    hello.zone = (char *)cq_app_settings(link->options.app)->zone;
    hello.challenge.data = link->challenge;
    hello.challenge.len = CHALLENGE_BYTES;
    Cq__Frame frame = CQ__FRAME__INIT;
    frame.kind_case = CQ__FRAME__KIND_HELLO;
    frame.hello = &hello;
    queue_frame(link, &frame);
}

cq_link_t *
cq_link_new(const cq_link_options_t *options)
{
    cq_link_t *link = g_new0(cq_link_t, 1);
    link->options = *options;
    link->refs = 1;
    link->last_received_us = cq_app_now_us(options->app);
    cq_frame_init(&link->reader);
    cq_sock_ops_t ops = {
        .received = on_received,
        .ended = on_ended,
        .data = link,
    };
    link->sock = options->dial != NULL ? cq_sock_connect(options->dial, &ops)
                                       : cq_sock_from_fd(options->fd, &ops);
    send_hello(link);
    return link;
}

void
cq_link_send(cq_link_t *link, GBytes *frame)
{
    if (link->authenticated) {
        queue(link, frame);
    }
}

gboolean
cq_link_dialled(const cq_link_t *link)
{
    return link->options.dial != NULL;
}

gsize
cq_link_unsent_bytes(const cq_link_t *link)
{
    return link->closed ? 0 : cq_sock_unwritten_bytes(link->sock);
}

guint64
cq_link_config_sent(const cq_link_t *link)
{
    return link->config_sent;
}

void
cq_link_note_config(cq_link_t *link, guint64 version)
{
    link->config_sent = version;
}

const char *
cq_link_zone(const cq_link_t *link)
{
    return link->zone;
}

gboolean
cq_link_authenticated(const cq_link_t *link)
{
    return link->authenticated;
}

void
cq_link_check_timeouts(cq_link_t *link, gint64 now_us)
{
    gint64 silent_us = now_us - link->last_received_us;
    gboolean incomplete =
        cq_frame_partial(&link->reader) || !link->authenticated;
    /* Peers send at regular intervals, so a silent connection is lost. */
    gint64 silence_max_us =
        cq_link_dialled(link) ? SILENCE_MAX_DIALLED_US : SILENCE_MAX_US;
    silence_max_us =
        incomplete ? MIN(silence_max_us, CQ_FRAME_TIMEOUT_US) : silence_max_us;
    if (!cq_sock_is_open(link->sock)) {
        silence_max_us = DIAL_TIMEOUT_US;
    }
    if (silent_us > silence_max_us) {
        reject(link, incomplete ? CQ_N_PEER_FRAMES_STALLED
                                : CQ_N_SILENT_CONNECTIONS);
    }
}
