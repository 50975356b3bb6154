/**
 * DOC: registration
 *
 * This host's own entry in the platform's store, by which other entry hosts
 * find it.
 */
#ifndef CQ_REGISTRATION_H
#define CQ_REGISTRATION_H

#include "platform/store.h"
#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_registration cq_registration_t;

/** cq_registration_new() - Return: a registration that has started to write
 * the entry with @store, which is borrowed */
cq_registration_t *
cq_registration_new(cq_app_t *app, cq_store_t *store);

/** cq_registration_free() - stop writing and free */
void
cq_registration_free(cq_registration_t *registration);

/** cq_registration_remove() - delete the entry */
void
cq_registration_remove(cq_registration_t *registration);

/** cq_registration_renew() - write the entry again, which the store may have
 * lost */
void
cq_registration_renew(cq_registration_t *registration);

/** cq_registration_resume() - repeat the call in progress, if any; to be
 * called after the store client was reset */
void
cq_registration_resume(cq_registration_t *registration);

G_END_DECLS

#endif
