/**
 * DOC: ident
 *
 * Identifiers. A request's id contains the host and the incarnation of the
 * process that accepted it, so that any process can find its owner. The
 * incarnation is a number that distinguishes the successive processes of a
 * host.
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
 * @incarnation: the process's incarnation; only its low 16 bits are used
 * @n: number of the request in its process; only its low 24 bits are used
 *
 * Return: the id, never 0.
 */
guint64
cq_ident_request(guint32 host, guint64 incarnation, guint64 n);

/** cq_ident_owner() - Return: id of the host that accepted the request with id
 * @request */
guint32
cq_ident_owner(guint64 request);

/**
 * struct cq_request_content_t - what makes two requests the same one, sent
 * again; all borrowed
 * @team: the team that it is charged to
 * @method: HTTP method
 * @host: host name, or NULL
 * @target: path and query
 * @body: the body
 * @body_len: its length in bytes
 */
typedef struct {
    const char *team;
    const char *method;
    const char *host;
    const char *target;
    const guint8 *body;
    gsize body_len;
} cq_request_content_t;

/** cq_ident_fingerprint() - Return: a keyed hash of @content, never 0. Without
 * @secret nobody can make a request with the fingerprint of another one. */
guint64
cq_ident_fingerprint(const char *secret, const cq_request_content_t *content);

/** cq_ident_key() - Return: the hash, from SHA-256, of the idempotency key
 * @key of @team for @service */
cq_idempotency_key_t
cq_ident_key(const char *service, const char *team, const char *key);

G_END_DECLS

#endif
