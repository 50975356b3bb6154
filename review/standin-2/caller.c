/* Callers for the scripts in review/6 and on: --count requests, one each
 * --every-ms, each on a thread and a channel of its own.
 *
 *   caller --port PORT --id PREFIX --path PATH --record FILE [--method GET]
 *          [--count 1] [--every-ms 0] [--limit-ms 10000] [--warm PATH]
 *          [--window BYTES] [--sip BYTES] [--sip-ms 0] [--pause-ms 0]
 *          [--prompt TOKENS,TOKENS]
 *
 * --warm: a request that is sent first on the same channel
 * --window: size of the receive buffer, set before the channel is opened
 * --sip, --sip-ms: reads this many bytes of the answer at most, then waits
 * --pause-ms: stops reading once for this time, after the first bytes
 * --limit-ms: the caller's time limit, after which it closes the channel
 * --prompt: tokens of the prompt and of the answer; the prompt is the caller's
 *
 * The record gets a line for each request: status, how it ended (whole, short:
 * closed or reset within the answer, none: closed or reset without a byte of
 * it, over: the time limit), bytes, and the time that it took. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define ANSWER_BYTES (16 * 1024 * 1024)

static int port, count = 1, every_ms, window, sip_ms, pause_ms;
static int limit_ms = 10000;
static size_t sip = 65536;
static const char *prefix, *path, *warm, *prompt, *method = "GET";
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static long long
now_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

static void
sleep_ms(int ms)
{
    struct timespec time = {ms / 1000, (ms % 1000) * 1000000L};
    nanosleep(&time, NULL);
}

/* Whether @answer, terminated by a zero, is complete. */
static int
is_whole(const char *answer, size_t len)
{
    const char *body = strstr(answer, "\r\n\r\n");
    if (body == NULL) {
        return 0;
    }
    body += 4;
    const char *field = strcasestr(answer, "\r\nContent-Length:");
    if (field != NULL && field < body) {
        return len - (size_t)(body - answer) >=
               (size_t)atol(field + strlen("\r\nContent-Length:"));
    }
    return len >= 7 && memcmp(answer + len - 7, "\r\n0\r\n\r\n", 7) == 0;
}

typedef struct {
    const char *end;
    int status;
    size_t bytes;
    int error;
} result_t;

/* Sends a request on @fd and reads its answer. */
static result_t
ask(int fd, const char *verb, const char *target, const char *id, int slowly)
{
    char *answer = malloc(ANSWER_BYTES + 1);
    char parts[256] = "";
    result_t result = {.end = "none"};
    long long until_ms = now_ms() + limit_ms;
    if (prompt != NULL) {
        snprintf(parts, sizeof parts,
                 "Cuminquay-Model: m\r\nCuminquay-Token-Count: %s\r\n"
                 "Cuminquay-Prefix-Hash: 5c1e07a2:40,%llx:%d\r\n",
                 prompt, (unsigned long long)now_ms() * 1000 + (unsigned)fd,
                 atoi(prompt) - 40);
    }
    int len = snprintf(answer, ANSWER_BYTES,
                       "%s %s HTTP/1.1\r\nHost: fleet.example\r\n"
                       "Cuminquay-Attempt-Id: %s\r\n"
                       "Cuminquay-Credential: key-of-team-one\r\n"
                       "Cuminquay-Deadline-Ms: %d\r\n%s%s\r\n",
                       verb, target, id, limit_ms, parts,
                       strcmp(verb, "POST") == 0 ? "Content-Length: 0\r\n"
                                                 : "");
    if (send(fd, answer, (size_t)len, MSG_NOSIGNAL) != len) {
        result.error = errno;
        free(answer);
        return result;
    }
    int paused = 0;
    for (;;) {
        struct pollfd ready = {.fd = fd, .events = POLLIN};
        long long left_ms = until_ms - now_ms();
        if (left_ms <= 0 || poll(&ready, 1, (int)left_ms) == 0) {
            result.end = "over";
            break;
        }
        size_t room = ANSWER_BYTES - result.bytes;
        ssize_t n = recv(fd, answer + result.bytes,
                         slowly && sip < room ? sip : room, 0);
        if (n <= 0) {
            result.error = n < 0 ? errno : 0;
            result.end = result.bytes > 0 ? "short" : "none";
            break;
        }
        result.bytes += (size_t)n;
        answer[result.bytes] = '\0';
        if (is_whole(answer, result.bytes)) {
            result.end = "whole";
            break;
        }
        if (slowly && sip_ms > 0) {
            sleep_ms(sip_ms);
        }
        if (slowly && pause_ms > 0 && !paused) {
            paused = 1;
            sleep_ms(pause_ms);
        }
    }
    answer[result.bytes] = '\0';
    sscanf(answer, "HTTP/1.1 %d", &result.status);
    free(answer);
    return result;
}

static void
note(const char *id, const char *target, long long sent_ms, result_t result)
{
    pthread_mutex_lock(&record_lock);
    fprintf(record,
            "%lld caller id=%s sent_ms=%lld path=%s status=%d end=%s "
            "bytes=%zu took_ms=%lld error=%s\n",
            now_ms(), id, sent_ms, target, result.status, result.end,
            result.bytes, now_ms() - sent_ms,
            result.error != 0 ? strerrorname_np(result.error) : "-");
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

static void *
call(void *data)
{
    int number = (int)(long)data;
    char id[128];
    struct sockaddr_in to = {.sin_family = AF_INET,
                             .sin_port = htons((unsigned short)port)};
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    if (window > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    long long sent_ms = now_ms();
    result_t result = {.end = "none"};
    snprintf(id, sizeof id, "%s%d", prefix, number);
    if (connect(fd, (struct sockaddr *)&to, sizeof to) != 0) {
        result.error = errno;
        note(id, path, sent_ms, result);
        close(fd);
        return NULL;
    }
    if (warm != NULL) {
        char warm_id[160];
        snprintf(warm_id, sizeof warm_id, "%s-first", id);
        result = ask(fd, "GET", warm, warm_id, 0);
        note(warm_id, warm, sent_ms, result);
    }
    sent_ms = now_ms();
    result = ask(fd, method, path, id, 1);
    note(id, path, sent_ms, result);
    close(fd);
    return NULL;
}

int
main(int argc, char **argv)
{
    for (int i = 1; i + 1 < argc; i += 2) {
        const char *value = argv[i + 1];
        const struct {
            const char *name;
            int *number;
            const char **text;
        } options[] = {
            {"--port", &port, NULL},         {"--count", &count, NULL},
            {"--every-ms", &every_ms, NULL}, {"--window", &window, NULL},
            {"--sip-ms", &sip_ms, NULL},     {"--pause-ms", &pause_ms, NULL},
            {"--limit-ms", &limit_ms, NULL}, {"--id", NULL, &prefix},
            {"--path", NULL, &path},         {"--warm", NULL, &warm},
            {"--prompt", NULL, &prompt},     {"--method", NULL, &method},
        };
        for (size_t k = 0; k < sizeof options / sizeof options[0]; k++) {
            if (strcmp(argv[i], options[k].name) != 0) {
                continue;
            }
            if (options[k].number != NULL) {
                *options[k].number = atoi(value);
            }
            else {
                *options[k].text = value;
            }
        }
        if (strcmp(argv[i], "--sip") == 0) {
            sip = (size_t)atol(value);
        }
        if (strcmp(argv[i], "--record") == 0) {
            record = fopen(value, "a");
        }
    }
    if (port == 0 || prefix == NULL || path == NULL || record == NULL) {
        fprintf(stderr, "caller: give --port, --id, --path and --record\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    pthread_t *threads = calloc((size_t)count, sizeof *threads);
    for (int i = 0; i < count; i++) {
        if (pthread_create(&threads[i], NULL, call, (void *)(long)i) != 0) {
            return 2;
        }
        if (every_ms > 0) {
            sleep_ms(every_ms);
        }
    }
    for (int i = 0; i < count; i++) {
        pthread_join(threads[i], NULL);
    }
    return 0;
}
