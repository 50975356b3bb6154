/* The commands check --fleet and diff: a fleet's configuration before it is
 * sent to the platform's store. */
#include <stdio.h>
#include <string.h>

#include "base/limits.h"
#include "config/audit.h"
#include "ctl/commands.h"
#include "ctl/net.h"
#include "platform/records.h"
#include "platform/store.h"

static cq_routes_t *
parse(const char *text, gsize len, const char *name, cq_error_t *error)
{
    cq_error_t cause = {0};
    cq_routes_t *routes = cq_records_check_routes(text, len, &cause);
    if (routes == NULL) {
        cq_error_set(error, cause.kind, "%s: %s", name, cause.text);
    }
    return routes;
}

static cq_routes_t *
read_file(const char *name, cq_error_t *error)
{
    GError *cause = NULL;
    char *text = NULL;
    gsize len = 0;
    if (!g_file_get_contents(name, &text, &len, &cause)) {
        cq_error_set(error, CQ_ERROR_FILE, "%s; give a readable file",
                     cause->message);
        g_clear_error(&cause);
        return NULL;
    }
    cq_routes_t *routes = NULL;
    if (len > CQ_JSON_BYTES_MAX) {
        cq_error_set(error, CQ_ERROR_LIMIT,
                     "%s: has %zu bytes; write at most %d", name, len,
                     CQ_JSON_BYTES_MAX);
    }
    else {
        routes = parse(text, len, name, error);
    }
    g_free(text);
    return routes;
}

/* Return: the value of the configuration's record on @page, or NULL; @after
 * gets the last key, to be freed. */
static GBytes *
find_config(const cq_store_page_t *page, char **after)
{
    g_clear_pointer(after, g_free);
    for (guint i = 0; i < page->records->len; i++) {
        const cq_store_record_t *record =
            &g_array_index(page->records, cq_store_record_t, i);
        if (cq_records_is_routes_key(record->key)) {
            return g_bytes_ref(record->value);
        }
        g_free(*after);
        *after = g_strdup(record->key);
    }
    return NULL;
}

/* Return: the record of the configuration in the store, or NULL and @error. */
static GBytes *
read_store(const char *addr, cq_error_t *error)
{
    GBytes *config = NULL;
    char *after = NULL;
    cq_store_page_t page = {.more = TRUE};
    while (config == NULL && page.more && error->kind == CQ_ERROR_NONE) {
        char *path = cq_store_newest_path(CQ_TOPIC_CONFIG, after);
        char *text = cq_net_call("GET", addr, path, NULL, error);
        g_free(path);
        page = (cq_store_page_t){0};
        page.records = g_array_new(FALSE, FALSE, sizeof(cq_store_record_t));
        g_array_set_clear_func(page.records, cq_store_record_clear);
        if (text != NULL &&
            !cq_store_parse_newest(text, strlen(text), &page)) {
            cq_error_set(error, CQ_ERROR_SYNTAX,
                         "%s: no answer of a store; give the store's address",
                         addr);
        }
        config = find_config(&page, &after);
        g_array_unref(page.records);
        g_free(text);
    }
    g_free(after);
    if (config == NULL) {
        cq_error_set(error, CQ_ERROR_REFUSED,
                     "%s: has no configuration; check without it", addr);
    }
    return config;
}

static cq_routes_t *
read_in_force(const char *addr, cq_error_t *error)
{
    GBytes *config = read_store(addr, error);
    if (config == NULL) {
        return NULL;
    }
    gsize len = 0;
    const char *text = g_bytes_get_data(config, &len);
    cq_routes_t *routes = parse(text, len, addr, error);
    g_bytes_unref(config);
    return routes;
}

static void
print_json(const char *file, const cq_finding_t *finding)
{
    JsonObject *object = json_object_new();
    json_object_set_string_member(object, "file", file);
    json_object_set_string_member(object, "kind",
                                  cq_audit_kind_name(finding->kind));
    json_object_set_string_member(object, "place", finding->place);
    json_object_set_string_member(object, "text", finding->text);
    JsonNode *node = json_node_init_object(json_node_alloc(), object);
    char *text = json_to_string(node, FALSE);
    printf("%s\n", text);
    g_free(text);
    json_node_unref(node);
    json_object_unref(object);
}

/* Return: whether one of them is more than a change. */
static gboolean
print_findings(const cq_ctl_options_t *options, const char *file,
               const GPtrArray *findings)
{
    gboolean any_wrong = FALSE;
    for (guint i = 0; i < findings->len; i++) {
        const cq_finding_t *finding = g_ptr_array_index(findings, i);
        any_wrong |= finding->kind != CQ_FINDING_CHANGE;
        if (options->json) {
            print_json(file, finding);
        }
        else {
            printf("%s: %s: %s: %s\n", file, cq_audit_kind_name(finding->kind),
                   finding->place, finding->text);
        }
    }
    return any_wrong;
}

static int
check_file(const cq_ctl_options_t *options, const char *file,
           const cq_routes_t *in_force)
{
    cq_error_t error = {0};
    cq_routes_t *routes = read_file(file, &error);
    if (routes == NULL) {
        cq_ctl_fail(&error);
        return CQ_EXIT_USAGE;
    }
    GPtrArray *findings = cq_audit_new();
    cq_audit_routes(routes, findings);
    if (in_force != NULL) {
        cq_audit_changes(in_force, routes, findings);
    }
    gboolean any_wrong = print_findings(options, file, findings);
    if (!any_wrong && !options->json) {
        printf("%s: valid, version %" G_GUINT64_FORMAT "\n", file,
               routes->version);
    }
    g_ptr_array_unref(findings);
    cq_routes_free(routes);
    return any_wrong ? CQ_EXIT_REFUSED : CQ_EXIT_DONE;
}

int
cq_ctl_check_fleet(const cq_ctl_options_t *options)
{
    cq_error_t error = {0};
    cq_routes_t *in_force = NULL;
    if (options->args[0] == NULL) {
        fprintf(stderr, "cuminquayctl: no files; give FILE...\n");
        return CQ_EXIT_USAGE;
    }
    if (options->store_addr != NULL) {
        in_force = read_in_force(options->store_addr, &error);
        if (in_force == NULL) {
            return cq_ctl_fail(&error);
        }
    }
    int code = CQ_EXIT_DONE;
    for (char **file = options->args; *file != NULL; file++) {
        int file_code = check_file(options, *file, in_force);
        code = MAX(code, file_code);
    }
    if (in_force != NULL) {
        cq_routes_free(in_force);
    }
    return code;
}

int
cq_ctl_diff(const cq_ctl_options_t *options)
{
    if (options->store_addr == NULL) {
        fprintf(stderr,
                "cuminquayctl: diff: no store; give --store ADDRESS\n");
        return CQ_EXIT_USAGE;
    }
    return cq_ctl_check_fleet(options);
}
