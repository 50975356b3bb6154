/* The link between entry hosts and the platform's store, which can be cut off
 * silently. While the file CUT_FILE exists, nothing is carried:
 *
 *   - of a channel that was open before the cut, bytes are held up, and carried
 *     after it if both ends still have the channel open;
 *   - the opening packet of a channel that is opened meanwhile is lost, and the
 *     next try of the sender's TCP would come a second later: such a channel
 *     carries nothing before that second has passed and the cut has healed.
 *
 * usage: cutting_proxy IP:PORT STORE_IP:PORT CUT_FILE */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CHANNELS_MAX 256
#define BUFFER_BYTES 65536
#define POLL_MS 5
#define OPENING_PACKET_AGAIN_MS 1000

/* host: descriptor of the entry host's side, -1: unused
 * store: of the store's side, -1: not yet opened
 * opens_ms: when the opening packet is sent next */
typedef struct {
    int host;
    int store;
    long opens_ms;
} channel_t;

static channel_t channels[CHANNELS_MAX];
static struct sockaddr_in store_address;

static long
now_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static struct sockaddr_in
address(const char *text)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    char ip[64];
    const char *colon = strrchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof ip) {
        fprintf(stderr, "cutting_proxy: %s is no IP:PORT\n", text);
        exit(2);
    }
    snprintf(ip, sizeof ip, "%.*s", (int)(colon - text), text);
    inet_pton(AF_INET, ip, &to.sin_addr);
    to.sin_port = htons((unsigned short)atoi(colon + 1));
    return to;
}

static void
close_channel(channel_t *channel)
{
    close(channel->host);
    if (channel->store >= 0) {
        close(channel->store);
    }
    channel->host = -1;
    channel->store = -1;
}

/* Carries what has arrived. Return: 0 when the sender has ended. */
static int
carry(int from, int to)
{
    char bytes[BUFFER_BYTES];
    ssize_t n = recv(from, bytes, sizeof bytes, 0);
    for (ssize_t sent = 0; n > 0 && sent < n;) {
        ssize_t more = send(to, bytes + sent, (size_t)(n - sent), MSG_NOSIGNAL);
        if (more <= 0) {
            return 0;
        }
        sent += more;
    }
    return n > 0;
}

static void
open_channel(channel_t *channel, int cut)
{
    if (channel->store >= 0 || now_ms() < channel->opens_ms) {
        return;
    }
    if (cut) {
        channel->opens_ms = now_ms() + OPENING_PACKET_AGAIN_MS;
        return;
    }
    channel->store = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(channel->store, (const struct sockaddr *)&store_address,
                sizeof store_address) != 0) {
        close_channel(channel);
    }
}

static void
accept_channel(int listener, int cut)
{
    int host = accept(listener, NULL, NULL);
    for (int i = 0; host >= 0 && i < CHANNELS_MAX; i++) {
        if (channels[i].host < 0) {
            channels[i] = (channel_t){.host = host, .store = -1};
            open_channel(&channels[i], cut);
            return;
        }
    }
    if (host >= 0) {
        close(host);
    }
}

int
main(int argc, char **argv)
{
    if (argc != 4) {
        fprintf(stderr,
                "usage: cutting_proxy IP:PORT STORE_IP:PORT CUT_FILE\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    struct sockaddr_in own = address(argv[1]);
    store_address = address(argv[2]);
    int on = 1;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(listener, (struct sockaddr *)&own, sizeof own) != 0 ||
        listen(listener, 64) != 0) {
        fprintf(stderr, "cutting_proxy: %s: %s\n", argv[1], strerror(errno));
        return 2;
    }
    for (int i = 0; i < CHANNELS_MAX; i++) {
        channels[i].host = -1;
        channels[i].store = -1;
    }
    for (;;) {
        int cut = access(argv[3], F_OK) == 0;
        struct pollfd fds[1 + 2 * CHANNELS_MAX];
        fds[0] = (struct pollfd){.fd = listener, .events = POLLIN};
        for (int i = 0; i < CHANNELS_MAX; i++) {
            channel_t *channel = &channels[i];
            if (channel->host >= 0) {
                open_channel(channel, cut);
            }
            int carries = channel->host >= 0 && channel->store >= 0 && !cut;
            /* Without events, only the end of a channel is reported. */
            fds[1 + 2 * i] = (struct pollfd){
                .fd = channel->host, .events = carries ? POLLIN : 0};
            fds[2 + 2 * i] = (struct pollfd){
                .fd = carries ? channel->store : -1, .events = POLLIN};
        }
        if (poll(fds, 1 + 2 * CHANNELS_MAX, POLL_MS) < 0) {
            continue;
        }
        for (int i = 0; i < CHANNELS_MAX; i++) {
            channel_t *channel = &channels[i];
            if (channel->host >= 0 && fds[1 + 2 * i].revents != 0 &&
                ((fds[1 + 2 * i].revents & POLLIN) == 0 ||
                 !carry(channel->host, channel->store))) {
                close_channel(channel);
            }
            if (channel->host >= 0 && fds[2 + 2 * i].revents != 0 &&
                !carry(channel->store, channel->host)) {
                close_channel(channel);
            }
        }
        if (fds[0].revents != 0) {
            accept_channel(listener, cut);
        }
    }
}
