/* Callers that ask for streams, each on a channel of its own that it keeps: it
 * sends a request, reads the answer to its end, waits THINK_MS, and sends the
 * next one on the same channel. It opens a new channel only when the old one
 * was closed. A caller honours Retry-After by waiting that long.
 *
 * A line in LOG for each request:
 *
 *   id=ID port=PORT nth=N at_ms=TIME result=RESULT ms=MS events=N
 *
 * nth: how many requests the channel has carried, this one included.
 * RESULT: `served` for a whole answer of status 200, the status of another whole
 * answer, `cut` for a channel that ended in the middle of an answer, `unread`
 * for one that ended without any, `refused` for one that couldn't be opened.
 *
 * usage: stream_callers IP:PORT[,IP:PORT...] NAME LOG USERS THINK_MS FOR_MS */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define USERS_MAX 128
#define HOSTS_MAX 8
#define ANSWER_BYTES (64 * 1024)
#define DEADLINE_MS 8000

static struct sockaddr_in hosts[HOSTS_MAX];
static int hosts_len;
static const char *name;
static FILE *log_file;
static int think_ms;
static long long end_ms;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static int sent;

static long long
clock_ms(clockid_t clock)
{
    struct timespec now;
    clock_gettime(clock, &now);
    return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void
sleep_ms(long ms)
{
    struct timespec pause = {ms / 1000, (ms % 1000) * 1000000L};
    nanosleep(&pause, NULL);
}

static int
ends_with(const char *text, size_t len, const char *end)
{
    size_t end_len = strlen(end);
    return len >= end_len && memcmp(text + len - end_len, end, end_len) == 0;
}

/* Whether the answer is whole; status gets its status, 0: not yet known. */
static int
is_whole(const char *text, size_t len, int *status)
{
    const char *body = strstr(text, "\r\n\r\n");
    *status = body != NULL ? atoi(text + strlen("HTTP/1.1 ")) : 0;
    if (body == NULL) {
        return 0;
    }
    const char *length = strstr(text, "Content-Length: ");
    if (length != NULL && length < body) {
        return (size_t)(text + len - body) >=
               4 + (size_t)atol(length + strlen("Content-Length: "));
    }
    return ends_with(text, len, "\r\n0\r\n\r\n");
}

static int
count_events(const char *text)
{
    int count = 0;
    for (const char *at = strstr(text, "id: "); at != NULL;
         at = strstr(at + 1, "id: ")) {
        count++;
    }
    return count;
}

static int
open_channel(const struct sockaddr_in *host)
{
    int on = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    if (connect(fd, (const struct sockaddr *)host, sizeof *host) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/* Sends a request on the channel and reads the answer. Return: milliseconds to
 * wait before the next request; *fd is -1 if the channel has ended. */
static long
ask(int *fd, const struct sockaddr_in *host, int nth, char *answer)
{
    char request[512];
    char result[16] = "refused";
    size_t len = 0;
    int status = 0;
    int whole = 0;
    pthread_mutex_lock(&mutex);
    int number = ++sent;
    pthread_mutex_unlock(&mutex);
    long long at_ms = clock_ms(CLOCK_REALTIME);
    long long from_ms = clock_ms(CLOCK_MONOTONIC);
    snprintf(request, sizeof request,
             "GET /stream/a HTTP/1.1\r\nHost: fleet.example\r\n"
             "Cuminquay-Credential: secret-1\r\n"
             "Cuminquay-Attempt-Id: %s%d\r\n"
             "Cuminquay-Deadline-Ms: %d\r\n\r\n",
             name, number, DEADLINE_MS);
    answer[0] = '\0';
    if (*fd >= 0 &&
        send(*fd, request, strlen(request), MSG_NOSIGNAL) > 0) {
        while (!whole && len < ANSWER_BYTES) {
            ssize_t n = recv(*fd, answer + len, ANSWER_BYTES - len, 0);
            if (n <= 0) {
                break;
            }
            len += (size_t)n;
            answer[len] = '\0';
            whole = is_whole(answer, len, &status);
        }
        snprintf(result, sizeof result, "%s", len > 0 ? "cut" : "unread");
    }
    if (whole && status == 200) {
        snprintf(result, sizeof result, "served");
    }
    else if (whole) {
        snprintf(result, sizeof result, "%d", status);
    }
    pthread_mutex_lock(&mutex);
    fprintf(log_file,
            "id=%s%d port=%d nth=%d at_ms=%lld result=%s ms=%lld events=%d\n",
            name, number, ntohs(host->sin_port), nth, at_ms, result,
            clock_ms(CLOCK_MONOTONIC) - from_ms, count_events(answer));
    fflush(log_file);
    pthread_mutex_unlock(&mutex);
    if (*fd >= 0 && (!whole || strstr(answer, "Connection: close") != NULL)) {
        close(*fd);
        *fd = -1;
    }
    const char *later = strstr(answer, "Retry-After: ");
    return later != NULL ? (long)(1000 * atof(later + strlen("Retry-After: ")))
                         : 0;
}

static void *
run_user(void *data)
{
    long user = (long)data;
    const struct sockaddr_in *host = &hosts[user % hosts_len];
    char *answer = malloc(ANSWER_BYTES + 1);
    int fd = -1;
    int nth = 0;
    sleep_ms(think_ms * user / USERS_MAX);
    while (clock_ms(CLOCK_MONOTONIC) < end_ms) {
        if (fd < 0) {
            fd = open_channel(host);
            nth = 0;
        }
        long wait_ms = ask(&fd, host, ++nth, answer);
        sleep_ms(wait_ms > think_ms ? wait_ms : think_ms);
    }
    if (fd >= 0) {
        close(fd);
    }
    free(answer);
    return NULL;
}

int
main(int argc, char **argv)
{
    if (argc != 7) {
        fprintf(stderr, "usage: stream_callers IP:PORT[,...] NAME LOG USERS "
                        "THINK_MS FOR_MS\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    for (char *addr = strtok(argv[1], ","); addr != NULL && hosts_len < HOSTS_MAX;
         addr = strtok(NULL, ",")) {
        char *colon = strrchr(addr, ':');
        if (colon == NULL) {
            return 2;
        }
        *colon = '\0';
        hosts[hosts_len].sin_family = AF_INET;
        inet_pton(AF_INET, addr, &hosts[hosts_len].sin_addr);
        hosts[hosts_len++].sin_port = htons((unsigned short)atoi(colon + 1));
    }
    name = argv[2];
    log_file = fopen(argv[3], "a");
    int users = atoi(argv[4]);
    think_ms = atoi(argv[5]);
    end_ms = clock_ms(CLOCK_MONOTONIC) + atol(argv[6]);
    pthread_t threads[USERS_MAX];
    if (log_file == NULL || hosts_len == 0 || users > USERS_MAX) {
        return 2;
    }
    for (long i = 0; i < users; i++) {
        pthread_create(&threads[i], NULL, run_user, (void *)i);
    }
    for (int i = 0; i < users; i++) {
        pthread_join(threads[i], NULL);
    }
    return 0;
}
