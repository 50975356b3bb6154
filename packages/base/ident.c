#include "ident.h"

#include <string.h>

#define FNV_OFFSET G_GUINT64_CONSTANT(0xcbf29ce484222325)
#define FNV_PRIME G_GUINT64_CONSTANT(0x100000001b3)
/* Widths of the fields of a request id. */
#define NUMBER_BITS 24
#define INCARNATION_BITS 16
#define HOST_BITS 24

guint64
cq_ident_hash(const char *text)
{
    guint64 hash = FNV_OFFSET;
    for (; *text != '\0'; text++) {
        hash ^= (guchar)*text;
        hash *= FNV_PRIME;
    }
    return hash;
}

guint32
cq_ident_host(const char *name)
{
    guint64 hash = cq_ident_hash(name);
    guint32 folded = (guint32)(hash ^ (hash >> HOST_BITS));
    return (folded & ((1U << HOST_BITS) - 1)) | 1U;
}

guint64
cq_ident_request(guint32 host, guint64 incarnation, guint64 n)
{
    guint64 id = host;
    id = id << INCARNATION_BITS | (incarnation & 0xffff);
    return id << NUMBER_BITS | (n & 0xffffff);
}

guint32
cq_ident_owner(guint64 request)
{
    return (guint32)(request >> (INCARNATION_BITS + NUMBER_BITS));
}

cq_idempotency_key_t
cq_ident_key(const char *service, const char *team, const char *key)
{
    GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
    g_checksum_update(sum, (const guchar *)service,
                      (gssize)strlen(service) + 1);
    g_checksum_update(sum, (const guchar *)team, (gssize)strlen(team) + 1);
    g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key) + 1);
    guint8 digest[32];
    gsize len = sizeof digest;
    g_checksum_get_digest(sum, digest, &len);
    g_checksum_free(sum);
    cq_idempotency_key_t result;
    memcpy(&result.hi, digest, sizeof result.hi);
    memcpy(&result.lo, digest + sizeof result.hi, sizeof result.lo);
    return result;
}

/* The length keeps the end of one field and the start of the next apart. */
static void
update_field(GHmac *hmac, const void *bytes, gsize len)
{
    guint64 length = GUINT64_TO_LE((guint64)len);
    g_hmac_update(hmac, (const guchar *)&length, sizeof length);
    g_hmac_update(hmac, bytes, (gssize)len);
}

static void
update_text(GHmac *hmac, const char *text)
{
    const char *given = text != NULL ? text : "";
    update_field(hmac, given, strlen(given));
}

guint64
cq_ident_fingerprint(const char *secret, const cq_request_content_t *content)
{
    GHmac *hmac =
        g_hmac_new(G_CHECKSUM_SHA256, (const guchar *)secret, strlen(secret));
    update_text(hmac, content->team);
    update_text(hmac, content->method);
    update_text(hmac, content->host);
    update_text(hmac, content->target);
    update_field(hmac, content->body != NULL ? content->body : (guint8 *)"",
                 content->body_len);
    guint8 digest[32];
    gsize len = sizeof digest;
    g_hmac_get_digest(hmac, digest, &len);
    g_hmac_unref(hmac);
    guint64 fingerprint = 0;
    for (guint i = 0; i < sizeof fingerprint; i++) {
        fingerprint = fingerprint << 8 | digest[i];
    }
    return MAX(fingerprint, 1);
}
