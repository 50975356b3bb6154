/* The commands status, drain, timeline and explain. */
#include <stdio.h>
#include <string.h>

#include "base/limits.h"
#include "config/json.h"
#include "ctl/commands.h"
#include "ctl/net.h"

/* An event of a process's timeline. wall_us and logical are its time on the
 * process's hybrid logical clock. */
typedef struct {
    gint64 wall_us;
    gint64 logical;
    char *host;
    char *request;
    gint64 attempt;
    char *kind;
    char *fields;
} event_t;

static gboolean
require_addresses(const cq_ctl_options_t *options, const char *command)
{
    if (options->operator_addrs != NULL &&
        options->operator_addrs[0] != NULL) {
        return TRUE;
    }
    fprintf(stderr,
            "cuminquayctl: %s: give --at ADDRESS for each process, its "
            "operator port\n",
            command);
    return FALSE;
}

/* Calls every process and prints the answers. A failed call doesn't stop the
 * others; the exit code is that of the first failure. */
static int
call_processes(const cq_ctl_options_t *options, const char *method,
               const char *path)
{
    int code = CQ_EXIT_DONE;
    for (guint i = 0; options->operator_addrs[i] != NULL; i++) {
        cq_error_t error = {0};
        char *text = cq_net_call(method, options->operator_addrs[i], path,
                                 NULL, &error);
        if (text == NULL) {
            int failure = cq_ctl_fail(&error);
            code = code == CQ_EXIT_DONE ? failure : code;
            continue;
        }
        printf("%s%s", text, g_str_has_suffix(text, "\n") ? "" : "\n");
        g_free(text);
    }
    return code;
}

static void
print_status(JsonObject *object)
{
    printf("host=%s zone=%s draining=%s",
           json_object_get_string_member(object, "host"),
           json_object_get_string_member(object, "zone"),
           json_object_get_boolean_member(object, "draining") ? "yes" : "no");
    static const char *const counts[] = {
        "requests_open", "requests_queued", "reservations_open",
        "upstreams",     "peers_heard",     "services"};
    for (guint i = 0; i < G_N_ELEMENTS(counts); i++) {
        printf(" %s=%" G_GINT64_FORMAT, counts[i],
               json_object_get_int_member(object, counts[i]));
    }
    printf("\n");
}

int
cq_ctl_status(const cq_ctl_options_t *options)
{
    if (!require_addresses(options, "status")) {
        return CQ_EXIT_USAGE;
    }
    if (options->json) {
        return call_processes(options, "GET", "/status");
    }
    int code = CQ_EXIT_DONE;
    for (guint i = 0; options->operator_addrs[i] != NULL; i++) {
        cq_error_t error = {0};
        char *text = cq_net_call("GET", options->operator_addrs[i], "/status",
                                 NULL, &error);
        if (text == NULL) {
            int failure = cq_ctl_fail(&error);
            code = code == CQ_EXIT_DONE ? failure : code;
            continue;
        }
        JsonParser *parser = json_parser_new();
        JsonObject *status =
            cq_json_parse_object(parser, text, strlen(text), &error);
        if (status != NULL) {
            print_status(status);
        }
        else {
            code = cq_ctl_fail(&error);
        }
        g_object_unref(parser);
        g_free(text);
    }
    return code;
}

int
cq_ctl_drain(const cq_ctl_options_t *options)
{
    if (!require_addresses(options, "drain")) {
        return CQ_EXIT_USAGE;
    }
    return call_processes(options, "POST", "/drain");
}

static void
free_event(gpointer data)
{
    event_t *event = data;
    g_free(event->host);
    g_free(event->request);
    g_free(event->kind);
    g_free(event->fields);
    g_free(event);
}

static void
add_events(GPtrArray *events, const char *text)
{
    JsonParser *parser = json_parser_new();
    cq_error_t error = {0};
    JsonNode *root = cq_json_parse(parser, text, strlen(text), &error);
    if (root == NULL || !JSON_NODE_HOLDS_ARRAY(root)) {
        cq_error_set(&error, CQ_ERROR_SYNTAX,
                     "the timeline is no array; ask a process of this "
                     "version");
        cq_ctl_fail(&error);
        g_object_unref(parser);
        return;
    }
    JsonArray *rows = json_node_get_array(root);
    for (guint i = 0; i < json_array_get_length(rows); i++) {
        JsonObject *row = cq_json_element(rows, i);
        if (row == NULL) {
            continue;
        }
        event_t *event = g_new0(event_t, 1);
        event->wall_us =
            json_object_get_int_member_with_default(row, "wall_us", 0);
        event->logical =
            json_object_get_int_member_with_default(row, "logical", 0);
        event->attempt =
            json_object_get_int_member_with_default(row, "attempt", 0);
        event->host = g_strdup(cq_json_text(row, "host"));
        event->request = g_strdup(cq_json_text(row, "request"));
        event->kind = g_strdup(cq_json_text(row, "kind"));
        event->fields = g_strdup(cq_json_text(row, "fields"));
        g_ptr_array_add(events, event);
    }
    g_object_unref(parser);
}

/* Orders events by time; the host's name decides between equal times. */
static gint
compare_time(gconstpointer a, gconstpointer b)
{
    const event_t *left = *(event_t *const *)a;
    const event_t *right = *(event_t *const *)b;
    if (left->wall_us != right->wall_us) {
        return left->wall_us < right->wall_us ? -1 : 1;
    }
    if (left->logical != right->logical) {
        return left->logical < right->logical ? -1 : 1;
    }
    return strcmp(left->host, right->host);
}

/* Prints an event; its time is in seconds after the first event. */
static void
print_event(const event_t *event, gint64 start_us)
{
    double seconds = (double)(event->wall_us - start_us) / 1e6;
    printf("%10.6f %-10s %s/%" G_GINT64_FORMAT " %-12s %s\n", seconds,
           event->host, event->request, event->attempt, event->kind,
           event->fields);
}

static int
print_events(const cq_ctl_options_t *options, const char *path)
{
    GPtrArray *events = g_ptr_array_new_with_free_func(free_event);
    int code = CQ_EXIT_DONE;
    for (guint i = 0; options->operator_addrs[i] != NULL; i++) {
        cq_error_t error = {0};
        char *text =
            cq_net_call("GET", options->operator_addrs[i], path, NULL, &error);
        if (text == NULL) {
            int failure = cq_ctl_fail(&error);
            code = code == CQ_EXIT_DONE ? failure : code;
            continue;
        }
        add_events(events, text);
        g_free(text);
    }
    g_ptr_array_sort(events, compare_time);
    for (guint i = 0; i < events->len; i++) {
        const event_t *earliest = g_ptr_array_index(events, 0);
        print_event(g_ptr_array_index(events, i), earliest->wall_us);
    }
    g_ptr_array_unref(events);
    return code;
}

int
cq_ctl_timeline(const cq_ctl_options_t *options)
{
    if (!require_addresses(options, "timeline")) {
        return CQ_EXIT_USAGE;
    }
    if (options->json) {
        return call_processes(options, "GET", "/timeline");
    }
    return print_events(options, "/timeline");
}

int
cq_ctl_explain(const cq_ctl_options_t *options)
{
    const char *id = options->args[0];
    if (id == NULL || !require_addresses(options, "explain")) {
        fprintf(stderr, "cuminquayctl: explain: give --at ADDRESS and the "
                        "X-Request-Id of the answer\n");
        return CQ_EXIT_USAGE;
    }
    guint64 request_id;
    if (!g_ascii_string_to_unsigned(id, 16, 1, G_MAXUINT64, &request_id,
                                    NULL)) {
        fprintf(stderr,
                "cuminquayctl: explain: found %s; write the 16 "
                "hexadecimal digits of X-Request-Id\n",
                id);
        return CQ_EXIT_USAGE;
    }
    char path[64];
    g_snprintf(path, sizeof path,
               "/timeline?request=%016" G_GINT64_MODIFIER "x", request_id);
    return print_events(options, path);
}
