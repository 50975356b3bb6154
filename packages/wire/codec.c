#include "wire/codec.h"

#include <string.h>

#include "wire/frame.h"

/* Reports are forgotten long before they reach this age. */
#define REPORT_AGE_MAX_US (30 * 24 * 3600 * CQ_SECOND_US)

GBytes *
cq_codec_pack(const Cq__Frame *frame)
{
    gsize len = cq__frame__get_packed_size(frame);
    guint8 *bytes = g_malloc(len);
    cq__frame__pack(frame, bytes);
    GBytes *framed = cq_frame_wrap(bytes, len);
    g_free(bytes);
    return framed;
}

static void
encode_share(Cq__Share *to, cq_share_t *share)
{
    cq__share__init(to);
    to->upstream = share->upstream;
    to->n_placed_us = G_N_ELEMENTS(share->placed_us);
    to->placed_us = (uint64_t *)share->placed_us;
    to->streams = (guint32)share->streams;
    to->kv_tokens = (guint64)share->kv_tokens;
}

static void
encode_rate(Cq__Rate *to, const cq_rate_row_t *row)
{
    cq__rate__init(to);
    to->upstream = row->upstream;
    to->incarnation = row->incarnation;
    to->version = row->version;
    to->limited = row->limited;
    to->per_s = row->per_s;
}

GBytes *
cq_codec_encode_summary(const cq_summary_t *summary, cq_hlc_t clock,
                        const cq_topics_known_t *known)
{
    cq_summary_t copy = *summary;
    Cq__Share shares[CQ_UPSTREAM_SUBSET_MAX];
    Cq__Share *share_ptrs[CQ_UPSTREAM_SUBSET_MAX];
    Cq__Leaving leaving[G_N_ELEMENTS(copy.leaving)];
    Cq__Leaving *leaving_ptrs[G_N_ELEMENTS(copy.leaving)];
    for (guint i = 0; i < copy.shares_len; i++) {
        encode_share(&shares[i], &copy.shares[i]);
        share_ptrs[i] = &shares[i];
    }
    for (guint i = 0; i < copy.leaving_len; i++) {
        cq__leaving__init(&leaving[i]);
        leaving[i].upstream = copy.leaving[i].upstream;
        leaving[i].incarnation = copy.leaving[i].incarnation;
        leaving_ptrs[i] = &leaving[i];
    }
    Cq__Rate rates[CQ_SUMMARY_RATES_MAX];
    Cq__Rate *rate_ptrs[CQ_SUMMARY_RATES_MAX];
    for (guint i = 0; i < copy.rates_len; i++) {
        encode_rate(&rates[i], &copy.rates[i]);
        rate_ptrs[i] = &rates[i];
    }
    Cq__Summary message = CQ__SUMMARY__INIT;
    message.host = copy.host;
    message.incarnation = copy.incarnation;
    message.draining = copy.draining;
    message.cut_off = copy.cut_off;
    message.n_shares = copy.shares_len;
    message.shares = share_ptrs;
    message.n_leaving = copy.leaving_len;
    message.leaving = leaving_ptrs;
    message.n_rates = copy.rates_len;
    message.rates = rate_ptrs;
    message.clock_us = clock.wall_us;
    message.clock_logical = clock.logical;
    if (known != NULL) {
        message.n_topics_at = known->len;
        message.topics_at = (uint64_t *)known->offsets;
        message.n_topics_age_ms = known->len;
        message.topics_age_ms = (uint64_t *)known->ages_ms;
        message.store_era = known->era;
        message.config_version = known->config_version + 1;
    }
    Cq__Frame frame = CQ__FRAME__INIT;
    frame.kind_case = CQ__FRAME__KIND_SUMMARY;
    frame.summary = &message;
    return cq_codec_pack(&frame);
}

static void
encode_task(Cq__Task *to, const cq_task_update_t *update)
{
    cq__task__init(to);
    to->kind = (guint32)update->kind;
    to->request = update->request;
    to->tokens = (guint64)update->tokens;
    to->part_us = (guint64)update->part_us;
    to->gap_us = (guint64)update->gap_max_us;
    to->age_us = update->age_us;
    to->wait_us = (guint64)update->wait_us;
    to->writing = update->decoding;
    to->n_engines = update->engines_len;
    to->engines = (uint64_t *)update->engines;
}

GBytes *
cq_codec_encode_tasks(guint32 host, const cq_task_update_t *rows, guint len)
{
    Cq__Task *tasks = g_new(Cq__Task, len);
    Cq__Task **task_ptrs = g_new(Cq__Task *, len);
    for (guint i = 0; i < len; i++) {
        encode_task(&tasks[i], &rows[i]);
        task_ptrs[i] = &tasks[i];
    }
    Cq__Tasks message = CQ__TASKS__INIT;
    message.host = host;
    message.n_rows = len;
    message.rows = task_ptrs;
    Cq__Frame frame = CQ__FRAME__INIT;
    frame.kind_case = CQ__FRAME__KIND_TASKS;
    frame.tasks = &message;
    GBytes *bytes = cq_codec_pack(&frame);
    g_free(task_ptrs);
    g_free(tasks);
    return bytes;
}

static gboolean
decode_task(const Cq__Task *from, cq_task_update_t *update)
{
    *update = (cq_task_update_t){
        .kind = (cq_task_kind_t)from->kind,
        .request = from->request,
        .tokens = (gint64)from->tokens,
        .part_us = (gint64)from->part_us,
        .gap_max_us = (gint64)from->gap_us,
        .age_us = from->age_us,
        .wait_us = (gint64)from->wait_us,
        .decoding = from->writing,
    };
    if (from->kind > CQ_TASK_ENDED || from->n_engines > CQ_PREFILL_GROUP_MAX ||
        update->tokens < 0 || update->part_us < 0 || update->gap_max_us < 0 ||
        update->wait_us < 0) {
        return FALSE;
    }
    for (gsize i = 0; i < from->n_engines; i++) {
        update->engines[i] = from->engines[i];
    }
    update->engines_len = (guint)from->n_engines;
    return TRUE;
}

gboolean
cq_codec_decode_tasks(const Cq__Tasks *from, GArray *rows)
{
    for (gsize i = 0; i < from->n_rows; i++) {
        cq_task_update_t update;
        if (!decode_task(from->rows[i], &update)) {
            return FALSE;
        }
        g_array_append_val(rows, update);
    }
    return TRUE;
}

GBytes *
cq_codec_encode_entry(const cq_config_entry_t *entry)
{
    Cq__Entry message = CQ__ENTRY__INIT;
    message.service = (char *)entry->service;
    message.replaces = entry->base;
    message.version = entry->version;
    message.hash = (char *)entry->hash;
    message.id = (char *)entry->id;
    message.body = entry->body;
    Cq__Frame frame = CQ__FRAME__INIT;
    frame.kind_case = CQ__FRAME__KIND_ENTRY;
    frame.entry = &message;
    return cq_codec_pack(&frame);
}

static gboolean
decode_share(const Cq__Share *from, cq_share_t *share)
{
    if (from->n_placed_us != G_N_ELEMENTS(share->placed_us)) {
        return FALSE;
    }
    share->upstream = from->upstream;
    share->streams = from->streams;
    share->kv_tokens = (gint64)from->kv_tokens;
    memcpy(share->placed_us, from->placed_us, sizeof share->placed_us);
    return share->kv_tokens >= 0;
}

static gboolean
decode_rate(const Cq__Rate *from, cq_rate_row_t *row)
{
    *row = (cq_rate_row_t){
        .upstream = from->upstream,
        .incarnation = from->incarnation,
        .version = from->version,
        .limited = from->limited,
        .per_s = from->per_s,
    };
    /* The comparison is false for NaN. */
    return row->per_s >= 0 && row->per_s <= CQ_RATE_PER_S_MAX;
}

gboolean
cq_codec_decode_summary(const Cq__Summary *from, cq_summary_t *summary)
{
    *summary = (cq_summary_t){
        .host = from->host,
        .incarnation = from->incarnation,
        .draining = from->draining,
        .cut_off = from->cut_off,
    };
    if (from->n_shares > G_N_ELEMENTS(summary->shares) ||
        from->n_leaving > G_N_ELEMENTS(summary->leaving) ||
        from->n_rates > G_N_ELEMENTS(summary->rates)) {
        return FALSE;
    }
    for (gsize i = 0; i < from->n_rates; i++) {
        if (!decode_rate(from->rates[i], &summary->rates[i])) {
            return FALSE;
        }
    }
    summary->rates_len = (guint)from->n_rates;
    for (gsize i = 0; i < from->n_shares; i++) {
        if (!decode_share(from->shares[i], &summary->shares[i])) {
            return FALSE;
        }
    }
    for (gsize i = 0; i < from->n_leaving; i++) {
        summary->leaving[i].upstream = from->leaving[i]->upstream;
        summary->leaving[i].incarnation = from->leaving[i]->incarnation;
    }
    summary->shares_len = (guint)from->n_shares;
    summary->leaving_len = (guint)from->n_leaving;
    return TRUE;
}

gboolean
cq_codec_decode_entry(const Cq__Entry *from, cq_config_entry_t *entry)
{
    *entry = (cq_config_entry_t){
        .base = from->replaces,
        .version = from->version,
    };
    gsize service_len =
        g_strlcpy(entry->service, from->service, sizeof entry->service);
    gsize hash_len = g_strlcpy(entry->hash, from->hash, sizeof entry->hash);
    gsize id_len = g_strlcpy(entry->id, from->id, sizeof entry->id);
    if (service_len >= sizeof entry->service ||
        hash_len >= sizeof entry->hash || id_len >= sizeof entry->id) {
        return FALSE;
    }
    char expected[sizeof entry->hash];
    cq_record_hash(from->body, expected);
    if (strcmp(expected, entry->hash) != 0) {
        return FALSE;
    }
    entry->body = g_strdup(from->body);
    return TRUE;
}

static void
encode_report(Cq__PartReport *to, const cq_part_report_t *report)
{
    cq__part_report__init(to);
    to->kind = (guint32)report->kind;
    to->service = report->service;
    to->part = report->part;
    to->whole = report->whole;
    to->team = report->team;
    to->crash = report->crash;
    to->age_us = (guint64)report->age_us;
}

/* Return: the same number for kinds that were added together. */
static guint
generation_of(cq_part_report_kind_t kind)
{
    switch (kind) {
    case CQ_PART_CRASHED:
    case CQ_PART_ANSWERED:
        return 0;
    case CQ_PART_RETRACTED:
    case CQ_PART_CONFIRMED:
        return 1;
    }
    g_assert_not_reached();
}

static GBytes *
pack_reports(const cq_part_report_t *rows, guint len)
{
    Cq__PartReport *reports = g_new(Cq__PartReport, len);
    Cq__PartReport **report_ptrs = g_new(Cq__PartReport *, len);
    for (guint i = 0; i < len; i++) {
        encode_report(&reports[i], &rows[i]);
        report_ptrs[i] = &reports[i];
    }
    Cq__PartReports message = CQ__PART_REPORTS__INIT;
    message.n_rows = len;
    message.rows = report_ptrs;
    Cq__Frame frame = CQ__FRAME__INIT;
    frame.kind_case = CQ__FRAME__KIND_PARTS;
    frame.parts = &message;
    GBytes *bytes = cq_codec_pack(&frame);
    g_free(report_ptrs);
    g_free(reports);
    return bytes;
}

GPtrArray *
cq_codec_encode_parts(const cq_part_report_t *rows, guint len)
{
    g_assert(len <= CQ_PART_REPORTS_MAX);
    GPtrArray *frames =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
    guint first = 0;
    for (guint i = 1; i <= len; i++) {
        if (i == len ||
            generation_of(rows[i].kind) != generation_of(rows[first].kind)) {
            g_ptr_array_add(frames, pack_reports(&rows[first], i - first));
            first = i;
        }
    }
    return frames;
}

char *
cq_codec_format_part_record(const cq_part_record_t *record, gint64 unix_us)
{
    Cq__PartReport reports[CQ_PART_CRASHES_MAX];
    Cq__PartReport *report_ptrs[CQ_PART_CRASHES_MAX];
    for (guint i = 0; i < record->len; i++) {
        encode_report(&reports[i], &record->crashes[i]);
        report_ptrs[i] = &reports[i];
    }
    Cq__PartReports message = CQ__PART_REPORTS__INIT;
    message.n_rows = record->len;
    message.rows = report_ptrs;
    message.unix_us = (guint64)unix_us;
    gsize len = cq__part_reports__get_packed_size(&message);
    guint8 *bytes = g_malloc(len);
    cq__part_reports__pack(&message, bytes);
    char *text = g_base64_encode(bytes, len);
    g_free(bytes);
    return text;
}

gboolean
cq_codec_parse_part_record(const char *text, gsize text_len, gint64 unix_us,
                           GArray *rows)
{
    char *copy = g_strndup(text, text_len);
    gsize len;
    guchar *bytes = g_base64_decode(copy, &len);
    Cq__PartReports *message = cq__part_reports__unpack(NULL, len, bytes);
    gboolean valid = message != NULL && message->n_rows > 0 &&
                     cq_codec_decode_parts(message, rows);
    if (valid) {
        /* Clocks of hosts differ: a record is never from the future. */
        guint64 now_us = (guint64)MAX(unix_us, 0);
        guint64 passed_us = now_us - MIN(message->unix_us, now_us);
        passed_us = MIN(passed_us, REPORT_AGE_MAX_US);
        for (guint i = 0; i < rows->len; i++) {
            g_array_index(rows, cq_part_report_t, i).age_us +=
                (gint64)passed_us;
        }
    }
    if (message != NULL) {
        cq__part_reports__free_unpacked(message, NULL);
    }
    g_free(bytes);
    g_free(copy);
    return valid;
}

gboolean
cq_codec_decode_parts(const Cq__PartReports *from, GArray *rows)
{
    if (from->n_rows > CQ_PART_REPORTS_MAX) {
        return FALSE;
    }
    for (gsize i = 0; i < from->n_rows; i++) {
        const Cq__PartReport *report = from->rows[i];
        if (report->kind > CQ_PART_CONFIRMED ||
            report->age_us > REPORT_AGE_MAX_US) {
            return FALSE;
        }
        cq_part_report_t row = {
            .kind = (cq_part_report_kind_t)report->kind,
            .service = report->service,
            .part = report->part,
            .whole = report->whole,
            .team = report->team,
            .crash = report->crash,
            .age_us = (gint64)report->age_us,
        };
        g_array_append_val(rows, row);
    }
    return TRUE;
}
