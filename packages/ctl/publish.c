/* The commands check, publish and config. */
#include <stdio.h>
#include <string.h>

#include "base/limits.h"
#include "config/service.h"
#include "ctl/commands.h"
#include "ctl/net.h"

typedef struct {
    char *text;
    cq_rules_t *rules;
} service_file_t;

static void
free_file(gpointer data)
{
    service_file_t *file = data;
    g_free(file->text);
    cq_rules_unref(file->rules);
    g_free(file);
}

static gboolean
read_limited(const char *name, char **text, cq_error_t *error)
{
    GError *cause = NULL;
    gsize len = 0;
    if (!g_file_get_contents(name, text, &len, &cause)) {
        cq_error_set(error, CQ_ERROR_FILE, "%s; give a readable file",
                     cause->message);
        g_clear_error(&cause);
        return FALSE;
    }
    if (len > CQ_SERVICE_FILE_BYTES_MAX) {
        g_free(*text);
        return cq_error_set(error, CQ_ERROR_LIMIT,
                            "%s: has %zu bytes; write at most %d", name, len,
                            CQ_SERVICE_FILE_BYTES_MAX);
    }
    return TRUE;
}

static service_file_t *
read_file(const char *name, cq_error_t *error)
{
    char *text;
    if (!read_limited(name, &text, error)) {
        return NULL;
    }
    cq_rules_t *rules = cq_service_parse(text, name, error);
    if (rules == NULL) {
        g_free(text);
        return NULL;
    }
    service_file_t *file = g_new0(service_file_t, 1);
    file->text = text;
    file->rules = rules;
    return file;
}

static gboolean
contains_service(const GPtrArray *files, const service_file_t *file)
{
    for (guint i = 0; i < files->len; i++) {
        const service_file_t *other = g_ptr_array_index(files, i);
        if (strcmp(other->rules->name, file->rules->name) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Reads all files and prints the error of each invalid one. Return: the files,
 * or NULL when one is invalid. */
static GPtrArray *
read_files(char **names)
{
    GPtrArray *files = g_ptr_array_new_with_free_func(free_file);
    gboolean all_valid = TRUE;
    for (guint i = 0; names[i] != NULL; i++) {
        cq_error_t error = {0};
        service_file_t *file = read_file(names[i], &error);
        if (file != NULL && contains_service(files, file)) {
            cq_error_set(&error, CQ_ERROR_VALUE,
                         "%s:1: service.name: duplicate %s; give one file for "
                         "each service",
                         names[i], file->rules->name);
        }
        if (error.kind != CQ_ERROR_NONE) {
            fprintf(stderr, "cuminquayctl: %s\n", error.text);
            all_valid = FALSE;
        }
        if (file != NULL) {
            g_ptr_array_add(files, file);
        }
    }
    if (!all_valid) {
        g_ptr_array_unref(files);
        return NULL;
    }
    return files;
}

int
cq_ctl_check(const cq_ctl_options_t *options)
{
    if (options->fleet) {
        return cq_ctl_check_fleet(options);
    }
    if (options->args[0] == NULL) {
        fprintf(stderr, "cuminquayctl: check: no files; give FILE...\n");
        return CQ_EXIT_USAGE;
    }
    GPtrArray *files = read_files(options->args);
    if (files == NULL) {
        return CQ_EXIT_USAGE;
    }
    for (guint i = 0; i < files->len; i++) {
        const service_file_t *file = g_ptr_array_index(files, i);
        printf("%s: valid\n", file->rules->name);
    }
    g_ptr_array_unref(files);
    return CQ_EXIT_DONE;
}

/* A publication to find in the log, and what became of it. */
typedef struct {
    const char *id; /* id of the publication */
    gboolean seen;  /* found in the log */
    cq_fold_result_t result;
} publication_t;

static void
on_record(gint64 offset, const cq_config_entry_t *entry,
          cq_fold_result_t result, void *data)
{
    (void)offset;
    publication_t *publication = data;
    if (strcmp(entry->id, publication->id) == 0 && !publication->seen) {
        publication->seen = TRUE;
        publication->result = result;
    }
}

static char *
encode_append(const char *record)
{
    JsonBuilder *builder = json_builder_new();
    json_builder_begin_object(builder);
    json_builder_set_member_name(builder, "records");
    json_builder_begin_array(builder);
    json_builder_add_string_value(builder, record);
    json_builder_end_array(builder);
    json_builder_end_object(builder);
    JsonNode *root = json_builder_get_root(builder);
    char *text = json_to_string(root, FALSE);
    json_node_unref(root);
    g_object_unref(builder);
    return text;
}

static void
fill_entry(cq_config_entry_t *entry, const service_file_t *file, guint64 base)
{
    g_strlcpy(entry->service, file->rules->name, sizeof entry->service);
    entry->base = base;
    entry->version = base + 1;
    cq_record_hash(file->text, entry->hash);
    char *id = g_uuid_string_random();
    g_strlcpy(entry->id, id, sizeof entry->id);
    g_free(id);
    entry->body = file->text;
}

/* Appends @entry to the log, then reads the log to learn whether it was
 * applied: when the answer to the append is lost, the append may still have
 * taken effect. */
static gboolean
append_and_confirm(const char *log_addr, const cq_config_entry_t *entry,
                   gint64 *from, cq_fold_t *fold, publication_t *publication,
                   cq_error_t *error)
{
    cq_record_t record = {.kind = CQ_RECORD_CONFIG, .config = *entry};
    char *text = cq_record_encode(&record);
    char *body = encode_append(text);
    cq_error_t append_error = {0};
    char *answer =
        cq_net_call("POST", log_addr, "/append", body, &append_error);
    g_free(answer);
    g_free(body);
    g_free(text);
    if (!cq_net_read_log(log_addr, from, fold, on_record, publication,
                         error)) {
        return FALSE;
    }
    if (!publication->seen) {
        return cq_error_set(error, CQ_ERROR_UNREACHABLE,
                            "%s: not in the log (%s); run publish again",
                            entry->service, append_error.text);
    }
    return TRUE;
}

static int
report_result(const cq_config_entry_t *entry, const cq_fold_t *fold,
              const publication_t *publication)
{
    if (publication->result == CQ_FOLD_APPLIED) {
        printf("%s: version %" G_GUINT64_FORMAT " is published\n",
               entry->service, entry->version);
        return CQ_EXIT_DONE;
    }
    const cq_config_entry_t *current = cq_fold_get(fold, entry->service);
    fprintf(stderr,
            "cuminquayctl: %s: another operator published version "
            "%" G_GUINT64_FORMAT
            " first; read it with config show and publish "
            "again\n",
            entry->service, current != NULL ? current->version : 0);
    return CQ_EXIT_REFUSED;
}

static int
publish_one(const char *log_addr, const service_file_t *file, gint64 *from,
            cq_fold_t *fold)
{
    const cq_config_entry_t *current = cq_fold_get(fold, file->rules->name);
    cq_config_entry_t entry = {0};
    fill_entry(&entry, file, current != NULL ? current->version : 0);
    if (current != NULL && strcmp(current->hash, entry.hash) == 0) {
        printf("%s: version %" G_GUINT64_FORMAT " is in force already\n",
               entry.service, current->version);
        return CQ_EXIT_DONE;
    }
    publication_t publication = {.id = entry.id};
    cq_error_t error = {0};
    if (!append_and_confirm(log_addr, &entry, from, fold, &publication,
                            &error)) {
        return cq_ctl_fail(&error);
    }
    return report_result(&entry, fold, &publication);
}

int
cq_ctl_publish(const cq_ctl_options_t *options)
{
    if (options->log_addr == NULL || options->args[0] == NULL) {
        fprintf(stderr, "cuminquayctl: publish: give --log ADDRESS FILE...\n");
        return CQ_EXIT_USAGE;
    }
    GPtrArray *files = read_files(options->args);
    if (files == NULL) {
        return CQ_EXIT_USAGE;
    }
    cq_fold_t *fold = cq_fold_new(NULL, NULL);
    gint64 from = 0;
    cq_error_t error = {0};
    int code = CQ_EXIT_DONE;
    if (!cq_net_read_log(options->log_addr, &from, fold, NULL, NULL, &error)) {
        code = cq_ctl_fail(&error);
    }
    for (guint i = 0; i < files->len && code == CQ_EXIT_DONE; i++) {
        code = publish_one(options->log_addr, g_ptr_array_index(files, i),
                           &from, fold);
    }
    cq_fold_free(fold);
    g_ptr_array_unref(files);
    return code;
}

static const char *
result_text(cq_fold_result_t result)
{
    switch (result) {
    case CQ_FOLD_APPLIED:
        return "applied";
    case CQ_FOLD_DUPLICATE:
        return "repeated";
    case CQ_FOLD_CONFLICT:
        return "lost";
    case CQ_FOLD_INVALID:
        return "invalid";
    }
    return "unknown";
}

static void
print_history_entry(gint64 offset, const cq_config_entry_t *entry,
                    cq_fold_result_t result, void *data)
{
    (void)data;
    printf("offset=%" G_GINT64_FORMAT " service=%s version=%" G_GUINT64_FORMAT
           " id=%s result=%s\n",
           offset, entry->service, entry->version, entry->id,
           result_text(result));
}

static void
print_current_config(const cq_fold_t *fold, gboolean json)
{
    cq_record_t record = cq_fold_checkpoint(fold);
    if (json) {
        char *text = cq_record_encode(&record);
        printf("%s\n", text);
        g_free(text);
    }
    for (guint i = 0; !json && i < record.checkpoint->len; i++) {
        const cq_config_entry_t *entry =
            &g_array_index(record.checkpoint, cq_config_entry_t, i);
        printf("# %s version %" G_GUINT64_FORMAT "\n%s\n", entry->service,
               entry->version, entry->body);
    }
    cq_record_clear(&record);
}

int
cq_ctl_config(const cq_ctl_options_t *options)
{
    const char *subcommand = options->args[0];
    gboolean show = subcommand != NULL && strcmp(subcommand, "show") == 0;
    gboolean history =
        subcommand != NULL && strcmp(subcommand, "history") == 0;
    if (options->log_addr == NULL || (!show && !history)) {
        fprintf(stderr, "cuminquayctl: config: give --log ADDRESS and show "
                        "or history\n");
        return CQ_EXIT_USAGE;
    }
    cq_fold_t *fold = cq_fold_new(NULL, NULL);
    gint64 from = 0;
    cq_error_t error = {0};
    int code = CQ_EXIT_DONE;
    cq_net_record_callback_t on_entry = history ? print_history_entry : NULL;
    if (!cq_net_read_log(options->log_addr, &from, fold, on_entry, NULL,
                         &error)) {
        code = cq_ctl_fail(&error);
    }
    else if (show) {
        print_current_config(fold, options->json);
    }
    cq_fold_free(fold);
    return code;
}
