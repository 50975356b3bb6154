/**
 * DOC: fold
 *
 * The configuration in force, as a fold over the log: every process applies
 * the log's records in order with these functions, and so gets the same
 * result. A publication is applied only if its base is the service's version
 * at that point of the log. So if two operators publish at the same time, the
 * publication that is first in the log wins, and a record that is in the log
 * twice is applied once. A service's version never decreases, whatever records
 * the log loses or repeats.
 */
#ifndef CQ_FOLD_H
#define CQ_FOLD_H

#include "base/rules.h"
#include "config/record.h"

G_BEGIN_DECLS

typedef struct cq_fold cq_fold_t;

/** enum cq_fold_result_t - result of applying a publication */
typedef enum {
    CQ_FOLD_APPLIED,   /* it is now in force */
    CQ_FOLD_DUPLICATE, /* it was in force already */
    CQ_FOLD_CONFLICT,  /* its base is not the version in force */
    CQ_FOLD_INVALID,   /* its body is not a valid service file */
} cq_fold_result_t;

/** typedef cq_fold_applied_t - called with rules that came into force; ref
 * them to keep them */
typedef void (*cq_fold_applied_t)(cq_rules_t *rules, void *data);

/** cq_fold_new() - Return: a fold without services; @applied may be NULL and
 * gets @data */
cq_fold_t *
cq_fold_new(cq_fold_applied_t applied, void *data);

/** cq_fold_free() - free @fold */
void
cq_fold_free(cq_fold_t *fold);

/** cq_fold_apply() - apply a publication; call in log order */
cq_fold_result_t
cq_fold_apply(cq_fold_t *fold, const cq_config_entry_t *entry);

/**
 * cq_fold_merge() - apply one service's entry from a checkpoint or a peer
 * @fold: the fold
 * @entry: the entry
 *
 * A higher version wins. If there are two different bodies of one version,
 * which happens only after the log has lost records, the body with the greater
 * hash wins.
 *
 * Return: whether @entry came into force.
 */
gboolean
cq_fold_merge(cq_fold_t *fold, const cq_config_entry_t *entry);

/** cq_fold_merge_all() - merge every entry of the record @checkpoint */
void
cq_fold_merge_all(cq_fold_t *fold, const cq_record_t *checkpoint);

/** cq_fold_get() - Return: entry in force of @service, borrowed, or NULL */
const cq_config_entry_t *
cq_fold_get(const cq_fold_t *fold, const char *service);

/** cq_fold_checkpoint() - Return: a checkpoint record of all services; free it
 * with cq_record_clear */
cq_record_t
cq_fold_checkpoint(const cq_fold_t *fold);

/** cq_fold_digest() - Return: a hash over the versions in force of all
 * services; equal for equal configurations */
guint64
cq_fold_digest(const cq_fold_t *fold);

/** cq_fold_size() - Return: number of services */
guint
cq_fold_size(const cq_fold_t *fold);

G_END_DECLS

#endif
