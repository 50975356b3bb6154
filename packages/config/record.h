/**
 * DOC: record
 *
 * The records that the system keeps in the platform's log, as JSON.
 */
#ifndef CQ_RECORD_H
#define CQ_RECORD_H

#include "base/claim.h"
#include "base/error.h"
#include "base/lease.h"
#include "base/limits.h"

G_BEGIN_DECLS

/** enum cq_record_kind_t - which member of the union is set */
typedef enum {
    CQ_RECORD_CONFIG,
    CQ_RECORD_CLAIM,
    CQ_RECORD_CHECKPOINT,
    CQ_RECORD_LEASE,
} cq_record_kind_t;

/**
 * struct cq_config_entry_t - one version of one service
 * @service: the service
 * @base: version that it replaces
 * @version: its version, @base + 1
 * @hash: hexadecimal SHA-256 of @body
 * @id: unique id of the publication
 * @body: the service file's text; owned
 */
typedef struct {
    char service[CQ_NAME_BYTES];
    guint64 base;
    guint64 version;
    char hash[CQ_TOKEN_HASH_BYTES * 2 + 1];
    char id[CQ_NAME_BYTES];
    char *body;
} cq_config_entry_t;

/**
 * struct cq_record_t - one record
 * @kind: which member is set
 * @config: CONFIG
 * @claim: CLAIM
 * @lease: LEASE
 * @checkpoint: CHECKPOINT: array of cq_config_entry_t
 */
typedef struct {
    cq_record_kind_t kind;
    cq_config_entry_t config;
    cq_claim_t claim;
    cq_lease_t lease;
    GArray *checkpoint;
} cq_record_t;

/** cq_record_hash() - write the hash of @body to @hash */
void
cq_record_hash(const char *body, char hash[CQ_TOKEN_HASH_BYTES * 2 + 1]);

/** cq_record_entries_new() - Return: an empty array of cq_config_entry_t that
 * frees the bodies of its rows */
GArray *
cq_record_entries_new(void);

/** cq_record_encode() - Return: @record as JSON; free with g_free() */
char *
cq_record_encode(const cq_record_t *record);

/**
 * cq_record_decode() - read a record
 * @text: JSON
 * @record: gets it; clear with cq_record_clear()
 * @error: gets CQ_ERROR_SYNTAX, CQ_ERROR_KEY or CQ_ERROR_VALUE
 *
 * Return: whether the record is well formed and its hash is right.
 */
gboolean
cq_record_decode(const char *text, cq_record_t *record, cq_error_t *error);

/** cq_record_clear() - free what @record holds */
void
cq_record_clear(cq_record_t *record);

G_END_DECLS

#endif
