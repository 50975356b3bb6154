/**
 * DOC: ident
 *
 * Identifiers. A request's id holds the host and the incarnation that took
 * it in, so that anyone who meets the id can tell its owner.
 */
#ifndef CQ_IDENT_H
#define CQ_IDENT_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_idempotency_key_t - hash of an idempotency key within its service
 * and team
 * @hi: upper half; both halves 0 means no key
 * @lo: lower half
 */
typedef struct {
    guint64 hi;
    guint64 lo;
} cq_idempotency_key_t;

/** cq_ident_hash() - Return: FNV-1a 64-bit hash of @text (RFC draft
 * eastlake-fnv) */
guint64
cq_ident_hash(const char *text);

/** cq_ident_host() - Return: the 24-bit id of host @name */
guint32
cq_ident_host(const char *name);

/**
 * cq_ident_request() - make a request id
 * @host: 24-bit host id
 * @incarnation: the process's incarnation, its low 16 bits are kept
 * @n: the process's request number, its low 24 bits are kept
 *
 * Return: the id, never 0.
 */
guint64
cq_ident_request(guint32 host, guint64 incarnation, guint64 n);

/** cq_ident_owner() - Return: the host id within request id @request */
guint32
cq_ident_owner(guint64 request);

/** cq_ident_key() - Return: the SHA-256 based hash of an idempotency key */
cq_idempotency_key_t
cq_ident_key(const char *service, const char *team, const char *key);

G_END_DECLS

#endif
