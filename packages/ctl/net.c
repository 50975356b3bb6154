#include "ctl/net.h"

#include <libsoup/soup.h>
#include <string.h>

#include "config/json.h"

#define CALL_TIMEOUT_S 5

static char *
read_answer(SoupMessage *message, GBytes *bytes, const char *addr,
            cq_error_t *error)
{
    guint status = soup_message_get_status(message);
    gsize len;
    const char *data = g_bytes_get_data(bytes, &len);
    char *text = g_strndup(data != NULL ? data : "", len);
    if (status == 200) {
        return text;
    }
    cq_error_set(error, CQ_ERROR_REFUSED, "%s answered %u: %s", addr, status,
                 text);
    g_free(text);
    return NULL;
}

char *
cq_net_call(const char *method, const char *addr, const char *path,
            const char *body, cq_error_t *error)
{
    char *url = g_strdup_printf("http://%s%s", addr, path);
    SoupMessage *message = soup_message_new(method, url);
    g_free(url);
    if (message == NULL) {
        cq_error_set(error, CQ_ERROR_VALUE,
                     "%s is not an address; write ip:port", addr);
        return NULL;
    }
    if (body != NULL) {
        GBytes *bytes = g_bytes_new(body, strlen(body));
        soup_message_set_request_body_from_bytes(message, "application/json",
                                                 bytes);
        g_bytes_unref(bytes);
    }
    SoupSession *session =
        soup_session_new_with_options("timeout", CALL_TIMEOUT_S, NULL);
    GError *cause = NULL;
    GBytes *bytes = soup_session_send_and_read(session, message, NULL, &cause);
    char *text = NULL;
    if (bytes == NULL) {
        cq_error_set(error, CQ_ERROR_UNREACHABLE,
                     "%s does not answer (%s); check the address and that "
                     "the process runs",
                     addr, cause->message);
        g_clear_error(&cause);
    }
    else {
        text = read_answer(message, bytes, addr, error);
        g_bytes_unref(bytes);
    }
    g_object_unref(message);
    g_object_unref(session);
    return text;
}

/* Applies one record of the log to @fold; skips a record that it can't decode
 * or that is neither a configuration nor a checkpoint. */
static void
apply_record(gint64 offset, const char *data, cq_fold_t *fold,
             cq_net_record_callback_t on_record, void *user_data)
{
    cq_record_t record;
    cq_error_t decode_error = {0};
    if (!cq_record_decode(data, &record, &decode_error)) {
        return;
    }
    if (record.kind == CQ_RECORD_CONFIG) {
        cq_fold_result_t result = cq_fold_apply(fold, &record.config);
        if (on_record != NULL) {
            on_record(offset, &record.config, result, user_data);
        }
    }
    if (record.kind == CQ_RECORD_CHECKPOINT) {
        cq_fold_merge_all(fold, &record);
    }
    cq_record_clear(&record);
}

/* Applies one page of the log to @fold. @from gets the offset after the page's
 * last record, @end the log's end. Return: whether the page was well formed.
 */
static gboolean
apply_page(const char *text, gint64 *from, gint64 *end, cq_fold_t *fold,
           cq_net_record_callback_t on_record, void *data, cq_error_t *cause)
{
    JsonParser *parser = json_parser_new();
    JsonObject *page = cq_json_parse_object(parser, text, strlen(text), cause);
    if (page != NULL) {
        *end = json_object_get_int_member_with_default(page, "end", 0);
        gint64 first =
            json_object_get_int_member_with_default(page, "first", 0);
        *from = MAX(*from, first);
        JsonArray *records = cq_json_array(page, "records");
        guint len = records != NULL ? json_array_get_length(records) : 0;
        for (guint i = 0; i < len; i++) {
            JsonObject *row = cq_json_element(records, i);
            if (row == NULL) {
                continue;
            }
            gint64 offset =
                json_object_get_int_member_with_default(row, "offset", *from);
            apply_record(offset, cq_json_text(row, "data"), fold, on_record,
                         data);
            *from = offset + 1;
        }
    }
    g_object_unref(parser);
    return page != NULL;
}

gboolean
cq_net_read_log(const char *addr, gint64 *from, cq_fold_t *fold,
                cq_net_record_callback_t on_record, void *data,
                cq_error_t *error)
{
    gint64 end = 0;
    do {
        char path[128];
        g_snprintf(path, sizeof path,
                   "/read?from=%" G_GINT64_FORMAT "&wait_ms=0", *from);
        char *text = cq_net_call("GET", addr, path, NULL, error);
        if (text == NULL) {
            return FALSE;
        }
        cq_error_t cause = {0};
        gboolean well_formed =
            apply_page(text, from, &end, fold, on_record, data, &cause);
        g_free(text);
        if (!well_formed) {
            return cq_error_set(error, CQ_ERROR_SYNTAX,
                                "%s: the answer is no page of the log (%s); "
                                "check --log",
                                addr, cause.text);
        }
    } while (*from < end);
    return TRUE;
}
