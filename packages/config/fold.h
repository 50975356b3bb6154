/**
 * DOC: fold
 *
 * The one rule by which every process turns the log's records into the
 * configuration in force. A publication counts only if its base is the
 * service's version at that point of the log, so of two racing operators
 * the first wins, and a record that stands twice counts once. Versions only
 * grow, whatever the log does.
 */
#ifndef CQ_FOLD_H
#define CQ_FOLD_H

#include "base/rules.h"
#include "config/record.h"

G_BEGIN_DECLS

typedef struct cq_fold cq_fold_t;

/** enum cq_fold_result_t - what became of a publication */
typedef enum {
    CQ_FOLD_APPLIED,
    CQ_FOLD_DUPLICATE, /* this publication is in force already */
    CQ_FOLD_CONFLICT,  /* its base is not the version in force */
    CQ_FOLD_INVALID,   /* its body is not a right service file */
} cq_fold_result_t;

/** typedef cq_fold_applied_t - hears of rules that came into force */
typedef void (*cq_fold_applied_t)(cq_rules_t *rules, void *data);

/** cq_fold_new() - Return: a fold without services; @applied may be NULL */
cq_fold_t *
cq_fold_new(cq_fold_applied_t applied, void *data);

/** cq_fold_free() - free @fold */
void
cq_fold_free(cq_fold_t *fold);

/** cq_fold_apply() - take a publication, in log order */
cq_fold_result_t
cq_fold_apply(cq_fold_t *fold, const cq_config_entry_t *entry);

/**
 * cq_fold_merge() - take one service's state from a checkpoint or a peer
 * @fold: the fold
 * @entry: the state
 *
 * A higher version wins; two different bodies of one version, which only a
 * log that lost records can bring, are settled by the greater hash.
 *
 * Return: whether it came into force.
 */
gboolean
cq_fold_merge(cq_fold_t *fold, const cq_config_entry_t *entry);

/** cq_fold_merge_all() - merge every service of the record @checkpoint */
void
cq_fold_merge_all(cq_fold_t *fold, const cq_record_t *checkpoint);

/** cq_fold_get() - Return: the entry in force of @service, or NULL */
const cq_config_entry_t *
cq_fold_get(const cq_fold_t *fold, const char *service);

/** cq_fold_checkpoint() - Return: a record of all services; clear it */
cq_record_t
cq_fold_checkpoint(const cq_fold_t *fold);

/** cq_fold_digest() - Return: a hash of every version in force; equal for
 * equal configurations */
guint64
cq_fold_digest(const cq_fold_t *fold);

/** cq_fold_size() - Return: number of services */
guint
cq_fold_size(const cq_fold_t *fold);

G_END_DECLS

#endif
