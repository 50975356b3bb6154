/**
 * DOC: codec
 *
 * Encodes the messages between serving processes into protobuf frames, and
 * decodes and checks them.
 */
#ifndef CQ_CODEC_H
#define CQ_CODEC_H

#include "base/ring.h"
#include "config/record.h"
#include "core/event.h"
#include "wire/peer.pb-c.h"

G_BEGIN_DECLS

/** cq_codec_pack() - Return: the length of the encoded @frame, then @frame
 * encoded; unref it */
GBytes *
cq_codec_pack(const Cq__Frame *frame);

/**
 * struct cq_topics_known_t - what a process knows of the platform's store
 * @offsets: for each topic, the offset up to which it knows the records
 * @ages_ms: for each topic, the age of its last read in ms plus 1, or 0 if it
 *   does not read the topic
 * @len: number of topics
 * @era: era of the store to which the offsets belong, or 0 if not known
 * @config_version: version of the configuration in force, or 0
 */
typedef struct {
    const guint64 *offsets;
    const guint64 *ages_ms;
    guint len;
    guint64 era;
    guint64 config_version;
} cq_topics_known_t;

/** cq_codec_encode_summary() - Return: a framed summary stamped with @clock;
 * @known is NULL in a process that does not use the store; unref it */
GBytes *
cq_codec_encode_summary(const cq_summary_t *summary, cq_hlc_t clock,
                        const cq_topics_known_t *known);

/** cq_codec_encode_tasks() - Return: a frame with @len task updates of @host;
 * unref it */
GBytes *
cq_codec_encode_tasks(guint32 host, const cq_task_update_t *rows, guint len);

/** cq_codec_decode_tasks() - append the task updates in @from to @rows, an
 * array of cq_task_update_t; Return: FALSE if a value is out of range */
gboolean
cq_codec_decode_tasks(const Cq__Tasks *from, GArray *rows);

/** cq_codec_encode_entry() - Return: a framed configuration entry; unref it */
GBytes *
cq_codec_encode_entry(const cq_config_entry_t *entry);

/** cq_codec_encode_parts() - Return: frames (GBytes) with @len reports on
 * parts of prompts, at most CQ_PART_REPORTS_MAX, in their order. A kind of
 * report that was added later never shares a frame with earlier kinds, as a
 * host that doesn't know it rejects the whole frame. Unref the array */
GPtrArray *
cq_codec_encode_parts(const cq_part_report_t *rows, guint len);

/** cq_codec_format_part_record() - Return: @record as text, written at
 * @unix_us of the wall clock; free with g_free() */
char *
cq_codec_format_part_record(const cq_part_record_t *record, gint64 unix_us);

/** cq_codec_parse_part_record() - append the crashes of the record in @text,
 * which is read at @unix_us of the wall clock, to the empty array @rows of
 * cq_part_report_t; Return: FALSE when it is invalid */
gboolean
cq_codec_parse_part_record(const char *text, gsize text_len, gint64 unix_us,
                           GArray *rows);

/** cq_codec_decode_parts() - append the reports of @from to @rows, an array of
 * cq_part_report_t; Return: FALSE when one is invalid */
gboolean
cq_codec_decode_parts(const Cq__PartReports *from, GArray *rows);

/** cq_codec_decode_summary() - copy @from to @summary; Return: FALSE if a
 * value is out of range */
gboolean
cq_codec_decode_summary(const Cq__Summary *from, cq_summary_t *summary);

/** cq_codec_decode_entry() - copy @from to @entry, whose body is freed with
 * g_free(); Return: FALSE if a string is too long or the hash is wrong */
gboolean
cq_codec_decode_entry(const Cq__Entry *from, cq_config_entry_t *entry);

G_END_DECLS

#endif
