/**
 * DOC: net
 *
 * Blocking HTTP calls of the operator's command, and the log as a fold.
 */
#ifndef CQ_NET_H
#define CQ_NET_H

#include <glib.h>
#include <json-glib/json-glib.h>

#include "base/error.h"
#include "config/fold.h"

G_BEGIN_DECLS

/**
 * cq_net_call() - call and wait
 * @method: HTTP method
 * @addr: `ip:port`
 * @path: path and query
 * @body: JSON body, or NULL
 * @error: gets CQ_ERROR_UNREACHABLE or CQ_ERROR_REFUSED
 *
 * Return: the answer's body, or NULL; free with g_free().
 */
char *
cq_net_call(const char *method, const char *addr, const char *path,
            const char *body, cq_error_t *error);

/** typedef cq_net_record_t - hears of each configuration record in the log */
typedef void (*cq_net_record_t)(gint64 offset, const cq_config_entry_t *entry,
                                cq_fold_result_t result, void *data);

/**
 * cq_net_fold() - read the log from @from to its end into @fold
 * @addr: address of the log
 * @from: the first offset to read; gets the next one
 * @fold: the fold
 * @heard: called for each configuration record, or NULL
 * @data: for @heard
 * @error: gets CQ_ERROR_UNREACHABLE, CQ_ERROR_REFUSED or CQ_ERROR_SYNTAX
 *
 * Return: whether the end was reached.
 */
gboolean
cq_net_fold(const char *addr, gint64 *from, cq_fold_t *fold,
            cq_net_record_t heard, void *data, cq_error_t *error);

G_END_DECLS

#endif
