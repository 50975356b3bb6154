/* A proxy between entry hosts and the platform's store, for one HTTP/1.1 call
 * at a time on each channel. While the file LOSE_FILE exists, an answer of the
 * store to a call whose request line contains TEXT is lost: it is not passed
 * on, and the channel stays open but returns nothing further. Every answer is
 * counted; the counts are written to COUNT_FILE after each of them:
 *
 *   answers=N lost=N       while LOSE_FILE existed
 *
 * usage: losing_proxy IP:PORT STORE_IP:PORT TEXT LOSE_FILE COUNT_FILE */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CHANNELS_MAX 256
#define LINE_BYTES 512
#define BUFFER_BYTES 65536

/* host: descriptor of the entry host's side, -1: unused
 * line: the request line of the call that is under way
 * answering: bytes of its answer have been passed on
 * dead: an answer was lost; nothing is passed on any more */
typedef struct {
    int host;
    int store;
    char line[LINE_BYTES];
    int answering;
    int dead;
} channel_t;

static channel_t channels[CHANNELS_MAX];

static struct sockaddr_in
address(const char *text)
{
    struct sockaddr_in to = {.sin_family = AF_INET};
    char ip[64];
    const char *colon = strrchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof ip) {
        fprintf(stderr, "losing_proxy: %s is no IP:PORT\n", text);
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
    close(channel->store);
    channel->host = -1;
}

static int
write_all(int fd, const char *bytes, ssize_t len)
{
    while (len > 0) {
        ssize_t n = send(fd, bytes, (size_t)len, MSG_NOSIGNAL);
        if (n <= 0) {
            return -1;
        }
        bytes += n;
        len -= n;
    }
    return 0;
}

static void
accept_channel(int listener, const struct sockaddr_in *store)
{
    int host = accept(listener, NULL, NULL);
    for (int i = 0; host >= 0 && i < CHANNELS_MAX; i++) {
        channel_t *channel = &channels[i];
        if (channel->host >= 0) {
            continue;
        }
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        if (connect(fd, (const struct sockaddr *)store, sizeof *store) != 0) {
            close(fd);
            close(host);
            return;
        }
        *channel = (channel_t){.host = host, .store = fd};
        return;
    }
    if (host >= 0) {
        close(host);
    }
}

/* A call begins with its request line, as a channel carries one at a time. */
static void
pass_call(channel_t *channel)
{
    char bytes[BUFFER_BYTES];
    ssize_t n = recv(channel->host, bytes, sizeof bytes, 0);
    if (n <= 0) {
        close_channel(channel);
        return;
    }
    if (channel->dead) {
        return;
    }
    if (channel->answering || channel->line[0] == '\0') {
        const char *end = memchr(bytes, '\r', (size_t)n);
        int len = end != NULL ? (int)(end - bytes) : (int)n;
        snprintf(channel->line, sizeof channel->line, "%.*s", len, bytes);
        channel->answering = 0;
    }
    if (write_all(channel->store, bytes, n) != 0) {
        close_channel(channel);
    }
}

static void
pass_answer(channel_t *channel, const char *text, const char *lose_file,
            const char *count_file)
{
    static int answers;
    static int lost;
    char bytes[BUFFER_BYTES];
    ssize_t n = recv(channel->store, bytes, sizeof bytes, 0);
    if (n <= 0) {
        close_channel(channel);
        return;
    }
    int losing = access(lose_file, F_OK) == 0;
    if (!channel->answering && losing) {
        answers++;
        if (strstr(channel->line, text) != NULL) {
            lost++;
            channel->dead = 1;
        }
        FILE *out = fopen(count_file, "w");
        if (out != NULL) {
            fprintf(out, "answers=%d lost=%d\n", answers, lost);
            fclose(out);
        }
    }
    channel->answering = 1;
    if (!channel->dead && write_all(channel->host, bytes, n) != 0) {
        close_channel(channel);
    }
}

int
main(int argc, char **argv)
{
    if (argc != 6) {
        fprintf(stderr, "usage: losing_proxy IP:PORT STORE_IP:PORT TEXT "
                        "LOSE_FILE COUNT_FILE\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    struct sockaddr_in own = address(argv[1]);
    struct sockaddr_in store = address(argv[2]);
    int on = 1;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(listener, (struct sockaddr *)&own, sizeof own) != 0 ||
        listen(listener, 64) != 0) {
        fprintf(stderr, "losing_proxy: %s: %s\n", argv[1], strerror(errno));
        return 2;
    }
    for (int i = 0; i < CHANNELS_MAX; i++) {
        channels[i].host = -1;
    }
    for (;;) {
        struct pollfd fds[1 + 2 * CHANNELS_MAX];
        fds[0] = (struct pollfd){.fd = listener, .events = POLLIN};
        for (int i = 0; i < CHANNELS_MAX; i++) {
            int open = channels[i].host >= 0;
            fds[1 + 2 * i] = (struct pollfd){
                .fd = open ? channels[i].host : -1, .events = POLLIN};
            fds[2 + 2 * i] = (struct pollfd){
                .fd = open ? channels[i].store : -1, .events = POLLIN};
        }
        if (poll(fds, 1 + 2 * CHANNELS_MAX, -1) < 0) {
            continue;
        }
        for (int i = 0; i < CHANNELS_MAX; i++) {
            if (channels[i].host >= 0 && fds[1 + 2 * i].revents != 0) {
                pass_call(&channels[i]);
            }
            if (channels[i].host >= 0 && fds[2 + 2 * i].revents != 0) {
                pass_answer(&channels[i], argv[3], argv[4], argv[5]);
            }
        }
        if (fds[0].revents != 0) {
            accept_channel(listener, &store);
        }
    }
}
