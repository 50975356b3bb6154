/* A replica of a plain service that runs requests in threads. It logs a line of
 * JSON when it begins to run a request, and ends at once if the request's body
 * is the text of its last argument.
 *
 *   fast_replica PORT ID LOG WORK_MS [CRASH_BODY]
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
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

#define BUFFER_BYTES 65536
#define FIELD_BYTES 128

static const char *id;
static const char *crash_body;
static FILE *log_file;
static int work_ms;
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;

static double
now_s(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

/* Copies the value of the field @name in @head, which ends in a zero byte. */
static void
copy_field(const char *head, const char *name, char *to)
{
    size_t name_len = strlen(name);
    to[0] = '\0';
    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line + 2, "\r\n")) {
        if (strncasecmp(line + 2, name, name_len) == 0 &&
            line[2 + name_len] == ':') {
            const char *value = line + 2 + name_len + 1;
            value += strspn(value, " ");
            size_t len = strcspn(value, "\r");
            snprintf(to, FIELD_BYTES, "%.*s", (int)len, value);
            return;
        }
    }
}

static void
write_line(const char *event, const char *attempt, const char *body)
{
    pthread_mutex_lock(&log_lock);
    fprintf(log_file,
            "{\"event\":\"%s\",\"id\":\"%s\",\"attempt\":\"%s\","
            "\"body\":\"%.40s\",\"at\":%.6f}\n",
            event, id, attempt, body, now_s());
    fflush(log_file);
    pthread_mutex_unlock(&log_lock);
}

static void
answer(int fd, int status, const char *attempt, const char *more,
       const char *text)
{
    char out[1024];
    int len = snprintf(out, sizeof out,
                       "HTTP/1.1 %d X\r\nCuminquay-Attempt-Id: %s\r\n%s"
                       "Content-Length: %zu\r\n\r\n%s",
                       status, attempt, more, strlen(text), text);
    if (send(fd, out, (size_t)len, MSG_NOSIGNAL) < 0) {
        return;
    }
}

static void
serve(int fd, const char *head, const char *body)
{
    char attempt[FIELD_BYTES];
    char expected[FIELD_BYTES];
    char seal[FIELD_BYTES];
    copy_field(head, "Cuminquay-Attempt-Id", attempt);
    copy_field(head, "Cuminquay-Expect-Replica", expected);
    if (expected[0] != '\0' && strcmp(expected, id) != 0) {
        answer(fd, 421, attempt, "Cuminquay-Not-Executed: 1\r\n", "");
        return;
    }
    write_line("run", attempt, body);
    if (crash_body != NULL && strcmp(body, crash_body) == 0) {
        write_line("crash", attempt, body);
        _exit(1);
    }
    usleep((useconds_t)work_ms * 1000);
    snprintf(seal, sizeof seal, "Cuminquay-Replica-Seal: seal-of-%s\r\n", id);
    answer(fd, 200, attempt, seal, "done");
}

static void *
run_channel(void *data)
{
    int fd = (int)(long)data;
    char *buffer = calloc(1, BUFFER_BYTES + 1);
    size_t len = 0;
    for (;;) {
        char *end = strstr(buffer, "\r\n\r\n");
        if (end != NULL) {
            char length[FIELD_BYTES];
            copy_field(buffer, "Content-Length", length);
            size_t head_len = (size_t)(end - buffer) + 4;
            size_t body_len = (size_t)atoi(length);
            if (len >= head_len + body_len) {
                char *body = strndup(buffer + head_len, body_len);
                end[2] = '\0';
                serve(fd, buffer, body);
                free(body);
                len -= head_len + body_len;
                memmove(buffer, buffer + head_len + body_len, len);
                buffer[len] = '\0';
                continue;
            }
        }
        ssize_t n = recv(fd, buffer + len, BUFFER_BYTES - len, 0);
        if (n <= 0) {
            break;
        }
        len += (size_t)n;
        buffer[len] = '\0';
    }
    close(fd);
    free(buffer);
    return NULL;
}

int
main(int argc, char **argv)
{
    if (argc < 5) {
        return 2;
    }
    id = argv[2];
    log_file = fopen(argv[3], "a");
    work_ms = atoi(argv[4]);
    crash_body = argc > 5 ? argv[5] : NULL;
    signal(SIGPIPE, SIG_IGN);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    struct sockaddr_in addr = {.sin_family = AF_INET,
                               .sin_port = htons((uint16_t)atoi(argv[1]))};
    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (log_file == NULL ||
        bind(listener, (struct sockaddr *)&addr, sizeof addr) != 0 ||
        listen(listener, 512) != 0) {
        return 1;
    }
    for (;;) {
        int fd = accept(listener, NULL, NULL);
        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        pthread_t thread;
        if (pthread_create(&thread, NULL, run_channel, (void *)(long)fd) !=
            0) {
            close(fd);
            continue;
        }
        pthread_detach(thread);
    }
}
