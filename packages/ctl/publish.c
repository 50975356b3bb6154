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
} file_t;

static void
free_file(gpointer data)
{
    file_t *file = data;
    g_free(file->text);
    cq_rules_unref(file->rules);
    g_free(file);
}

static gboolean
read_text(const char *name, char **text, cq_error_t *error)
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

static file_t *
read_file(const char *name, cq_error_t *error)
{
    char *text;
    if (!read_text(name, &text, error)) {
        return NULL;
    }
    cq_rules_t *rules = cq_service_parse(text, name, error);
    if (rules == NULL) {
        g_free(text);
        return NULL;
    }
    file_t *file = g_new0(file_t, 1);
    file->text = text;
    file->rules = rules;
    return file;
}

static gboolean
duplicate(const GPtrArray *files, const file_t *file)
{
    for (guint i = 0; i < files->len; i++) {
        const file_t *other = g_ptr_array_index(files, i);
        if (strcmp(other->rules->name, file->rules->name) == 0) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Reads every file and reports every fault; NULL when one is wrong. */
static GPtrArray *
read_files(char **names)
{
    GPtrArray *files = g_ptr_array_new_with_free_func(free_file);
    gboolean good = TRUE;
    for (guint i = 0; names[i] != NULL; i++) {
        cq_error_t error = {0};
        file_t *file = read_file(names[i], &error);
        if (file != NULL && duplicate(files, file)) {
            cq_error_set(&error, CQ_ERROR_VALUE,
                         "%s:1: service.name: duplicate %s; give one file a "
                         "service",
                         names[i], file->rules->name);
        }
        if (error.kind != CQ_ERROR_NONE) {
            fprintf(stderr, "cuminquayctl: %s\n", error.text);
            good = FALSE;
        }
        if (file != NULL) {
            g_ptr_array_add(files, file);
        }
    }
    if (!good) {
        g_ptr_array_unref(files);
        return NULL;
    }
    return files;
}

int
cq_ctl_check(const cq_ctl_options_t *options)
{
    if (options->args[0] == NULL) {
        fprintf(stderr, "cuminquayctl: check: no files; give FILE...\n");
        return CQ_EXIT_USAGE;
    }
    GPtrArray *files = read_files(options->args);
    if (files == NULL) {
        return CQ_EXIT_USAGE;
    }
    for (guint i = 0; i < files->len; i++) {
        const file_t *file = g_ptr_array_index(files, i);
        printf("%s: right\n", file->rules->name);
    }
    g_ptr_array_unref(files);
    return CQ_EXIT_DONE;
}

typedef struct {
    const char *id;
    gboolean seen;
    cq_fold_result_t result;
} wanted_t;

static void
on_record(gint64 offset, const cq_config_entry_t *entry,
          cq_fold_result_t result, void *data)
{
    (void)offset;
    wanted_t *wanted = data;
    if (strcmp(entry->id, wanted->id) == 0 && !wanted->seen) {
        wanted->seen = TRUE;
        wanted->result = result;
    }
}

static char *
append_body(const char *record)
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
fill_entry(cq_config_entry_t *entry, const file_t *file, guint64 base)
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

/* An append whose answer is lost may have taken effect, so the log itself
 * is asked what became of the record. */
static gboolean
append_and_read_back(const char *log, const cq_config_entry_t *entry,
                     gint64 *from, cq_fold_t *fold, wanted_t *wanted,
                     cq_error_t *error)
{
    cq_record_t record = {.kind = CQ_RECORD_CONFIG, .config = *entry};
    char *text = cq_record_encode(&record);
    char *body = append_body(text);
    cq_error_t append_error = {0};
    char *answer = cq_net_call("POST", log, "/append", body, &append_error);
    g_free(answer);
    g_free(body);
    g_free(text);
    if (!cq_net_fold(log, from, fold, on_record, wanted, error)) {
        return FALSE;
    }
    if (!wanted->seen) {
        return cq_error_set(error, CQ_ERROR_UNREACHABLE,
                            "%s: not in the log (%s); run publish again",
                            entry->service, append_error.text);
    }
    return TRUE;
}

static int
report(const cq_config_entry_t *entry, const cq_fold_t *fold,
       const wanted_t *wanted)
{
    if (wanted->result == CQ_FOLD_APPLIED) {
        printf("%s: version %" G_GUINT64_FORMAT " is published\n",
               entry->service, entry->version);
        return CQ_EXIT_DONE;
    }
    const cq_config_entry_t *held = cq_fold_get(fold, entry->service);
    fprintf(stderr,
            "cuminquayctl: %s: another operator published version "
            "%" G_GUINT64_FORMAT
            " first; read it with config show and publish "
            "again\n",
            entry->service, held != NULL ? held->version : 0);
    return CQ_EXIT_REFUSED;
}

static int
publish_one(const char *log, const file_t *file, gint64 *from, cq_fold_t *fold)
{
    const cq_config_entry_t *held = cq_fold_get(fold, file->rules->name);
    cq_config_entry_t entry = {0};
    fill_entry(&entry, file, held != NULL ? held->version : 0);
    if (held != NULL && strcmp(held->hash, entry.hash) == 0) {
        printf("%s: version %" G_GUINT64_FORMAT " is in force already\n",
               entry.service, held->version);
        return CQ_EXIT_DONE;
    }
    wanted_t wanted = {.id = entry.id};
    cq_error_t error = {0};
    if (!append_and_read_back(log, &entry, from, fold, &wanted, &error)) {
        return cq_ctl_fail(&error);
    }
    return report(&entry, fold, &wanted);
}

int
cq_ctl_publish(const cq_ctl_options_t *options)
{
    if (options->log == NULL || options->args[0] == NULL) {
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
    if (!cq_net_fold(options->log, &from, fold, NULL, NULL, &error)) {
        code = cq_ctl_fail(&error);
    }
    for (guint i = 0; i < files->len && code == CQ_EXIT_DONE; i++) {
        code = publish_one(options->log, g_ptr_array_index(files, i), &from,
                           fold);
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
print_history(gint64 offset, const cq_config_entry_t *entry,
              cq_fold_result_t result, void *data)
{
    (void)data;
    printf("offset=%" G_GINT64_FORMAT " service=%s version=%" G_GUINT64_FORMAT
           " id=%s result=%s\n",
           offset, entry->service, entry->version, entry->id,
           result_text(result));
}

static void
print_state(const cq_fold_t *fold, gboolean json)
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
    const char *what = options->args[0];
    gboolean show = what != NULL && strcmp(what, "show") == 0;
    gboolean history = what != NULL && strcmp(what, "history") == 0;
    if (options->log == NULL || (!show && !history)) {
        fprintf(stderr, "cuminquayctl: config: give --log ADDRESS and show "
                        "or history\n");
        return CQ_EXIT_USAGE;
    }
    cq_fold_t *fold = cq_fold_new(NULL, NULL);
    gint64 from = 0;
    cq_error_t error = {0};
    int code = CQ_EXIT_DONE;
    cq_net_record_t heard = history ? print_history : NULL;
    if (!cq_net_fold(options->log, &from, fold, heard, NULL, &error)) {
        code = cq_ctl_fail(&error);
    }
    else if (show) {
        print_state(fold, options->json);
    }
    cq_fold_free(fold);
    return code;
}
