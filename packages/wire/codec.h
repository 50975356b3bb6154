/**
 * DOC: codec
 *
 * Turns the core's and the fold's types into frames and back.
 */
#ifndef CQ_CODEC_H
#define CQ_CODEC_H

#include "base/ring.h"
#include "config/record.h"
#include "core/event.h"
#include "wire/peer.pb-c.h"

G_BEGIN_DECLS

/** cq_codec_pack() - Return: @frame with its length in front; unref it */
GBytes *
cq_codec_pack(const Cq__Frame *frame);

/** cq_codec_encode_summary() - Return: a framed summary stamped with @clock,
 * with the offsets up to which the sender knows each of @topics_len topics */
GBytes *
cq_codec_encode_summary(const cq_summary_t *summary, cq_hlc_t clock,
                        const guint64 *topics_at, guint topics_len);

/** cq_codec_encode_tasks() - Return: framed news of @len works of @host */
GBytes *
cq_codec_encode_tasks(guint32 host, const cq_task_update_t *rows, guint len);

/** cq_codec_decode_tasks() - append the rows of @from to @rows, an array of
 * cq_task_update_t; FALSE when one breaks a limit */
gboolean
cq_codec_decode_tasks(const Cq__Tasks *from, GArray *rows);

/** cq_codec_encode_entry() - Return: a framed configuration entry */
GBytes *
cq_codec_encode_entry(const cq_config_entry_t *entry);

/** cq_codec_decode_summary() - copy @from; FALSE when it breaks a limit */
gboolean
cq_codec_decode_summary(const Cq__Summary *from, cq_summary_t *summary);

/** cq_codec_decode_entry() - copy @from; free entry->body; FALSE when it
 * breaks a limit or its hash is wrong */
gboolean
cq_codec_decode_entry(const Cq__Entry *from, cq_config_entry_t *entry);

G_END_DECLS

#endif
