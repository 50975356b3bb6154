/**
 * DOC: audit
 *
 * What an operator should know of a fleet's configuration before it is sent:
 * entries that can never match, limits that contradict each other, and what
 * differs from another version. It looks at the configuration as a host has
 * read it, so that both judge by the same rules.
 */
#ifndef CQ_AUDIT_H
#define CQ_AUDIT_H

#include "config/routes.h"

G_BEGIN_DECLS

/** enum cq_finding_kind_t - what a finding says */
typedef enum {
    CQ_FINDING_UNREADABLE,    /* hosts leave it out */
    CQ_FINDING_NEVER_MATCHES, /* it holds, and no request ever uses it */
    CQ_FINDING_CONTRADICTION, /* two limits can't both be kept */
    CQ_FINDING_CHANGE,        /* it differs from the other version */
} cq_finding_kind_t;

/**
 * struct cq_finding_t - one finding
 * @kind: what it says
 * @place: where, by index or by name
 * @text: what was found, and what to write or what it means for callers
 */
typedef struct {
    cq_finding_kind_t kind;
    char *place;
    char *text;
} cq_finding_t;

/** cq_audit_new() - Return: an empty list of cq_finding_t*, which frees them;
 * unref with g_ptr_array_unref() */
GPtrArray *
cq_audit_new(void);

/** cq_audit_kind_name() - Return: the name of @kind */
const char *
cq_audit_kind_name(cq_finding_kind_t kind);

/** cq_audit_routes() - add to @findings what is wrong with @routes by itself
 */
void
cq_audit_routes(const cq_routes_t *routes, GPtrArray *findings);

/** cq_audit_changes() - add to @findings what differs between the version in
 * force, @old, and @routes */
void
cq_audit_changes(const cq_routes_t *old, const cq_routes_t *routes,
                 GPtrArray *findings);

G_END_DECLS

#endif
