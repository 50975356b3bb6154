/**
 * DOC: net
 *
 * Blocking HTTP calls of cuminquayctl, and the configuration in force as
 * computed from the records of the platform's log.
 */
#ifndef CQ_NET_H
#define CQ_NET_H

#include <glib.h>
#include <json-glib/json-glib.h>

#include "base/error.h"
#include "config/fold.h"

G_BEGIN_DECLS

/**
 * cq_net_call() - make an HTTP call and wait for the answer, at most 5 s
 * @method: HTTP method
 * @addr: `ip:port`
 * @path: path and query
 * @body: JSON body, or NULL
 * @error: gets CQ_ERROR_UNREACHABLE, CQ_ERROR_REFUSED (a status other than
 * 200) or CQ_ERROR_VALUE (@addr is no address)
 *
 * Return: the answer's body, to be freed with g_free(), or NULL.
 */
char *
cq_net_call(const char *method, const char *addr, const char *path,
            const char *body, cq_error_t *error);

/** typedef cq_net_record_callback_t - called for each configuration record of
 * the log, in order; @result is the outcome of applying @entry */
typedef void (*cq_net_record_callback_t)(gint64 offset,
                                         const cq_config_entry_t *entry,
                                         cq_fold_result_t result, void *data);

/**
 * cq_net_read_log() - apply the log's records from @from to its end to @fold
 * @addr: address of the log
 * @from: the first offset to read; gets the offset after the last record read
 * @fold: the configuration to update
 * @on_record: called for each configuration record, or NULL
 * @data: passed to @on_record
 * @error: gets CQ_ERROR_SYNTAX when an answer is no page of the log, or an
 * error of cq_net_call()
 *
 * Return: whether the end was reached.
 */
gboolean
cq_net_read_log(const char *addr, gint64 *from, cq_fold_t *fold,
                cq_net_record_callback_t on_record, void *data,
                cq_error_t *error);

G_END_DECLS

#endif
