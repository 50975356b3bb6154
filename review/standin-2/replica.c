/* A replica for the scripts in review/6 and on: one thread a connection.
 *
 *   replica --port PORT --name ID --record FILE [--trouble FILE]
 *
 * The last part of a path of the form NxBxG asks for an event stream of N
 * events of B bytes, one each G ms; it goes on behind Last-Event-Id. Any other
 * path is answered with 800 bytes, or with N bytes if its last part is
 * bytes-N. A request that expects another replica gets 421. While the file
 * --trouble exists, the body of a stream is bytes that are no event (empty
 * lines) in small chunks, without end, until the caller closes.
 *
 * The record gets a line for each request that runs and for each end. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_BYTES 65536
#define PLAIN_BYTES 800
#define BLOCK_CHUNKS 8192

static const char *name;
static const char *trouble_file;
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
note(const char *what, const char *attempt, const char *path)
{
    pthread_mutex_lock(&record_lock);
    fprintf(record, "%lld replica %s %s attempt=%s path=%s\n", now_ms(), name,
            what, attempt, path);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

static int
send_all(int fd, const char *bytes, size_t len)
{
    while (len > 0) {
        ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n <= 0) {
            return 0;
        }
        bytes += n;
        len -= (size_t)n;
    }
    return 1;
}

/* Copies the value of the field @field of @head to @to, or "". */
static void
get_field(const char *head, const char *field, char *to, size_t size)
{
    size_t len = strlen(field);
    to[0] = '\0';
    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line, "\r\n")) {
        line += 2;
        if (strncasecmp(line, field, len) == 0 && line[len] == ':') {
            const char *value = line + len + 1 + strspn(line + len + 1, " ");
            snprintf(to, size, "%.*s", (int)strcspn(value, "\r"), value);
            return;
        }
    }
}

static int
endless(int fd)
{
    static const char chunk[] = "2\r\n\n\n\r\n";
    size_t len = strlen(chunk);
    char *block = malloc(BLOCK_CHUNKS * len);
    for (int i = 0; i < BLOCK_CHUNKS; i++) {
        memcpy(block + (size_t)i * len, chunk, len);
    }
    while (send_all(fd, block, BLOCK_CHUNKS * len)) {
    }
    free(block);
    return 0;
}

static int
send_stream(int fd, int from, int events, int bytes, int gap_ms)
{
    char *event = malloc((size_t)bytes + 64);
    char *chunk = malloc((size_t)bytes + 128);
    int ok = 1;
    for (int i = from; ok && i <= events; i++) {
        int len = sprintf(event, "id: %d\ndata: ", i);
        while (len < bytes - 2) {
            event[len++] = 'w';
        }
        event[len++] = '\n';
        event[len++] = '\n';
        event[len] = '\0';
        int chunk_len = sprintf(chunk, "%x\r\n%s\r\n", len, event);
        ok = send_all(fd, chunk, (size_t)chunk_len);
        usleep((useconds_t)gap_ms * 1000);
    }
    free(event);
    free(chunk);
    return ok && send_all(fd, "0\r\n\r\n", 5);
}

/* Return: whether the connection goes on. */
static int
answer(int fd, const char *head, const char *path)
{
    char attempt[128], expected[128], last[32], out[2048];
    int events, bytes, gap_ms;
    get_field(head, "Cuminquay-Attempt-Id", attempt, sizeof attempt);
    get_field(head, "Cuminquay-Expect-Replica", expected, sizeof expected);
    get_field(head, "Last-Event-Id", last, sizeof last);
    if (strncmp(path, "/v1/", 4) == 0) {
        const char *ok = "HTTP/1.1 200 OK\r\nContent-Type: application/json"
                         "\r\nContent-Length: 2\r\n\r\n{}";
        return send_all(fd, ok, strlen(ok));
    }
    if (expected[0] != '\0' && strcmp(expected, name) != 0) {
        int len = sprintf(out,
                          "HTTP/1.1 421 Misdirected Request\r\n"
                          "Cuminquay-Replica-Id: %s\r\n"
                          "Content-Length: 0\r\n\r\n",
                          name);
        return send_all(fd, out, (size_t)len);
    }
    note("runs", attempt, path);
    int len = sprintf(out,
                      "HTTP/1.1 200 OK\r\nCuminquay-Attempt-Id: %s\r\n"
                      "Cuminquay-Replica-Seal: %s.%s\r\n",
                      attempt, name, attempt);
    const char *slash = strrchr(path, '/');
    int ok;
    if (slash != NULL &&
        sscanf(slash, "/%dx%dx%d", &events, &bytes, &gap_ms) == 3) {
        len += sprintf(out + len, "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n");
        ok = send_all(fd, out, (size_t)len);
        if (ok && trouble_file != NULL && access(trouble_file, F_OK) == 0) {
            note("is_in_trouble", attempt, path);
            ok = endless(fd);
        }
        else if (ok) {
            ok = send_stream(fd, atoi(last) + 1, events, bytes, gap_ms);
        }
    }
    else {
        size_t body = PLAIN_BYTES;
        if (slash != NULL && strncmp(slash, "/bytes-", 7) == 0) {
            body = (size_t)atol(slash + 7);
        }
        len += sprintf(out + len, "Content-Length: %zu\r\n\r\n", body);
        char *bytes_sent = malloc(body);
        memset(bytes_sent, 'y', body);
        ok = send_all(fd, out, (size_t)len) && send_all(fd, bytes_sent, body);
        free(bytes_sent);
    }
    note(ok ? "has_sent_all" : "was_cut_off", attempt, path);
    return ok;
}

static void *
serve(void *data)
{
    int fd = (int)(long)data;
    char *head = malloc(HEAD_BYTES + 1);
    size_t len = 0;
    for (;;) {
        head[len] = '\0';
        char *end = strstr(head, "\r\n\r\n");
        char path[1024], number[32];
        if (end != NULL) {
            char first = end[2];
            end[2] = '\0';
            get_field(head, "Content-Length", number, sizeof number);
            size_t body = (size_t)atol(number);
            size_t used = (size_t)(end - head) + 4;
            int valid = sscanf(head, "%*15s %1023s", path) == 1;
            size_t have = len - used < body ? len - used : body;
            char byte;
            while (have < body && recv(fd, &byte, 1, 0) == 1) {
                have++;
            }
            if (!valid || have < body || !answer(fd, head, path)) {
                break;
            }
            end[2] = first;
            len = len > used + body ? len - used - body : 0;
            memmove(head, head + used + body, len);
            continue;
        }
        ssize_t n = recv(fd, head + len, HEAD_BYTES - len, 0);
        if (n <= 0) {
            break;
        }
        len += (size_t)n;
    }
    free(head);
    close(fd);
    return NULL;
}

int
main(int argc, char **argv)
{
    int port = 0;
    for (int i = 1; i + 1 < argc; i += 2) {
        if (strcmp(argv[i], "--port") == 0) {
            port = atoi(argv[i + 1]);
        }
        else if (strcmp(argv[i], "--name") == 0) {
            name = argv[i + 1];
        }
        else if (strcmp(argv[i], "--record") == 0) {
            record = fopen(argv[i + 1], "a");
        }
        else if (strcmp(argv[i], "--trouble") == 0) {
            trouble_file = argv[i + 1];
        }
    }
    if (port == 0 || name == NULL || record == NULL) {
        fprintf(stderr, "replica: give --port, --name and --record\n");
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_port = htons((unsigned short)port)};
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int on = 1;
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (bind(listener, (struct sockaddr *)&at, sizeof at) != 0 ||
        listen(listener, 256) != 0) {
        perror("replica");
        return 2;
    }
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        pthread_t thread;
        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (pthread_create(&thread, NULL, serve, (void *)(long)fd) == 0) {
            pthread_detach(thread);
        }
        else {
            close(fd);
        }
    }
}
