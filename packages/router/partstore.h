/**
 * DOC: partstore
 *
 * Records of blocked parts of prompts in the platform's store, beside the
 * entries of the entry hosts, which every host reads when it starts. So a part
 * stays blocked when all hosts restart together.
 */
#ifndef CQ_PARTSTORE_H
#define CQ_PARTSTORE_H

#include "platform/store.h"
#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_partstore cq_partstore_t;

/** cq_partstore_new() - Return: the records in @store, which is borrowed */
cq_partstore_t *
cq_partstore_new(cq_app_t *app, cq_store_t *store);

/** cq_partstore_free() - stop writing and free */
void
cq_partstore_free(cq_partstore_t *partstore);

/** cq_partstore_write() - write @record, or delete it if it has no crashes;
 * repeated until the store answers */
void
cq_partstore_write(cq_partstore_t *partstore, const cq_part_record_t *record);

/** cq_partstore_resume() - repeat the call in progress, if any; to be called
 * after the store client was reset */
void
cq_partstore_resume(cq_partstore_t *partstore);

/** cq_partstore_owns() - Return: whether @key is that of a record of a part */
gboolean
cq_partstore_owns(const char *key);

/** cq_partstore_apply() - tell the core what a record that was read says;
 * Return: FALSE and @error if it is invalid */
gboolean
cq_partstore_apply(cq_partstore_t *partstore, const cq_store_record_t *record,
                   cq_error_t *error);

G_END_DECLS

#endif
