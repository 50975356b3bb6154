/* A replica of a service without `engine`, as the users' pages tell it: it runs
 * SLOTS requests at once, queues QUEUE more, and turns the others away with 503
 * and Cuminquay-Not-Executed. Every request is answered by a stream of EVENTS
 * events, one each GAP_MS; with Last-Event-Id, by what comes after that event.
 * A request whose channel is closed is dropped.
 *
 * While the file SHED_FILE exists, PERCENT of the requests are turned away too
 * (a grey replica that sheds).
 *
 * A line in LOG for each request that arrives, is turned away, runs and ends:
 *
 *   NAME attempt=ID last=ID|- at_ms=TIME what=arrives|sheds|runs|done|dropped|421
 *
 * Its weights have the version VERSION: a request that carries another one in
 * Cuminquay-Expect-Version gets 421, as does one for another replica.
 *
 * usage: stream_replica IP:PORT NAME LOG SLOTS QUEUE EVENTS GAP_MS SHED_FILE
 *        PERCENT VERSION */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
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

#define HEAD_BYTES 16384
#define FIELD_BYTES 128
#define WAIT_POLL_MS 5

static const char *name;
static FILE *log_file;
static int slots;
static int queue_max;
static int events;
static int gap_ms;
static const char *shed_file;
static int shed_percent;
static const char *version;

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static int running;
static int waiting;
static int shed_share;

static void
note(const char *attempt, const char *last, const char *what)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    pthread_mutex_lock(&mutex);
    fprintf(log_file, "%s attempt=%s last=%s at_ms=%lld what=%s\n", name,
            attempt, last,
            (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000, what);
    fflush(log_file);
    pthread_mutex_unlock(&mutex);
}

static void
sleep_ms(int ms)
{
    struct timespec pause = {ms / 1000, (ms % 1000) * 1000000L};
    nanosleep(&pause, NULL);
}

static int
is_closed(int fd)
{
    char byte;
    ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

static int
send_text(int fd, const char *text)
{
    size_t len = strlen(text);
    while (len > 0) {
        ssize_t n = send(fd, text, len, MSG_NOSIGNAL);
        if (n <= 0) {
            return 0;
        }
        text += n;
        len -= (size_t)n;
    }
    return 1;
}

/* Copies the field's value from the head, or "-". */
static void
get_field(const char *head, const char *field, char value[FIELD_BYTES])
{
    size_t field_len = strlen(field);
    snprintf(value, FIELD_BYTES, "-");
    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line + 2, "\r\n")) {
        if (strncasecmp(line + 2, field, field_len) == 0 &&
            line[2 + field_len] == ':') {
            const char *text = line + 2 + field_len + 1;
            text += strspn(text, " ");
            snprintf(value, FIELD_BYTES, "%.*s", (int)strcspn(text, "\r"),
                     text);
            return;
        }
    }
}

/* Return: 0 when the request is to be turned away. */
static int
enter_queue(void)
{
    int enters = 1;
    pthread_mutex_lock(&mutex);
    if (access(shed_file, F_OK) == 0) {
        shed_share += shed_percent;
        if (shed_share >= 100) {
            shed_share -= 100;
            enters = 0;
        }
    }
    if (running >= slots && waiting >= queue_max) {
        enters = 0;
    }
    waiting += enters;
    pthread_mutex_unlock(&mutex);
    return enters;
}

static int
take_slot(void)
{
    pthread_mutex_lock(&mutex);
    int taken = running < slots;
    running += taken;
    waiting -= taken;
    pthread_mutex_unlock(&mutex);
    return taken;
}

static void
leave(int *count)
{
    pthread_mutex_lock(&mutex);
    (*count)--;
    pthread_mutex_unlock(&mutex);
}

/* Return: whether the whole stream was written. */
static int
write_stream(int fd, const char *attempt, int next)
{
    char text[512];
    snprintf(text, sizeof text,
             "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
             "Cuminquay-Attempt-Id: %s\r\nCuminquay-Replica-Seal: s\r\n"
             "Cuminquay-Weight-Versions: %s\r\n"
             "Transfer-Encoding: chunked\r\n\r\n",
             attempt, version);
    if (!send_text(fd, text)) {
        return 0;
    }
    for (; next <= events; next++) {
        sleep_ms(gap_ms);
        char event[64];
        int len = snprintf(event, sizeof event, "id: %d\ndata: x\n\n", next);
        snprintf(text, sizeof text, "%x\r\n%s\r\n", len, event);
        if (is_closed(fd) || !send_text(fd, text)) {
            return 0;
        }
    }
    return send_text(fd, "0\r\n\r\n");
}

/* Return: whether the channel stays open. */
static int
answer(int fd, const char *head)
{
    char attempt[FIELD_BYTES];
    char last[FIELD_BYTES];
    char expected[FIELD_BYTES];
    char wanted[FIELD_BYTES];
    char text[512];
    get_field(head, "Cuminquay-Attempt-Id", attempt);
    get_field(head, "Last-Event-Id", last);
    get_field(head, "Cuminquay-Expect-Replica", expected);
    get_field(head, "Cuminquay-Expect-Version", wanted);
    note(attempt, last, "arrives");
    int misdirected =
        (strcmp(expected, "-") != 0 && strcmp(expected, name) != 0) ||
        (strcmp(wanted, "-") != 0 && strcmp(wanted, version) != 0);
    if (misdirected || !enter_queue()) {
        note(attempt, last, misdirected ? "421" : "sheds");
        snprintf(text, sizeof text,
                 "HTTP/1.1 %s\r\nCuminquay-Attempt-Id: %s\r\n"
                 "Cuminquay-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                 misdirected ? "421 Misdirected" : "503 Full", attempt);
        return send_text(fd, text);
    }
    while (!take_slot()) {
        sleep_ms(WAIT_POLL_MS);
        if (is_closed(fd)) {
            leave(&waiting);
            note(attempt, last, "dropped");
            return 0;
        }
    }
    note(attempt, last, "runs");
    int whole =
        write_stream(fd, attempt, strcmp(last, "-") == 0 ? 1 : atoi(last) + 1);
    leave(&running);
    note(attempt, last, whole ? "done" : "dropped");
    return whole;
}

static void *
serve(void *data)
{
    int fd = (int)(long)data;
    char head[HEAD_BYTES + 1];
    int stays = 1;
    while (stays) {
        size_t len = 0;
        head[0] = '\0';
        while (strstr(head, "\r\n\r\n") == NULL && len < HEAD_BYTES) {
            ssize_t n = recv(fd, head + len, HEAD_BYTES - len, 0);
            if (n <= 0) {
                close(fd);
                return NULL;
            }
            len += (size_t)n;
            head[len] = '\0';
        }
        char length[FIELD_BYTES];
        get_field(head, "Content-Length", length);
        char *body = strstr(head, "\r\n\r\n");
        if (body == NULL) {
            break;
        }
        long left = atol(length) - (long)(len - (size_t)(body + 4 - head));
        while (left > 0) {
            char bytes[4096];
            ssize_t n = recv(fd, bytes,
                             left < (long)sizeof bytes ? (size_t)left
                                                       : sizeof bytes,
                             0);
            if (n <= 0) {
                close(fd);
                return NULL;
            }
            left -= n;
        }
        stays = answer(fd, head);
    }
    close(fd);
    return NULL;
}

int
main(int argc, char **argv)
{
    struct sockaddr_in own = {.sin_family = AF_INET};
    if (argc != 11) {
        fprintf(stderr, "usage: stream_replica IP:PORT NAME LOG SLOTS QUEUE "
                        "EVENTS GAP_MS SHED_FILE PERCENT VERSION\n");
        return 2;
    }
    name = argv[2];
    log_file = fopen(argv[3], "a");
    slots = atoi(argv[4]);
    queue_max = atoi(argv[5]);
    events = atoi(argv[6]);
    gap_ms = atoi(argv[7]);
    shed_file = argv[8];
    shed_percent = atoi(argv[9]);
    version = argv[10];
    signal(SIGPIPE, SIG_IGN);
    char *colon = strrchr(argv[1], ':');
    if (log_file == NULL || colon == NULL) {
        return 2;
    }
    *colon = '\0';
    inet_pton(AF_INET, argv[1], &own.sin_addr);
    own.sin_port = htons((unsigned short)atoi(colon + 1));
    int on = 1;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(listener, (struct sockaddr *)&own, sizeof own) != 0 ||
        listen(listener, 128) != 0) {
        fprintf(stderr, "stream_replica: %s\n", strerror(errno));
        return 2;
    }
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        pthread_t thread;
        pthread_create(&thread, NULL, serve, (void *)(long)fd);
        pthread_detach(thread);
    }
}
