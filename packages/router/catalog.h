/**
 * DOC: catalog
 *
 * What this host knows from the records of the platform's store, and tells the
 * core: the configuration, the upstreams, the entry hosts and the blocked
 * parts of prompts.
 */
#ifndef CQ_CATALOG_H
#define CQ_CATALOG_H

#include "config/routes.h"
#include "router/partstore.h"
#include "router/topicmap.h"

G_BEGIN_DECLS

typedef struct cq_catalog cq_catalog_t;

/** cq_catalog_new() - Return: an empty catalog; @partstore is borrowed */
cq_catalog_t *
cq_catalog_new(cq_app_t *app, cq_partstore_t *partstore);

/** cq_catalog_free() - free the catalog */
void
cq_catalog_free(cq_catalog_t *catalog);

/** cq_catalog_has_routes() - Return: whether a configuration is known */
gboolean
cq_catalog_has_routes(const cq_catalog_t *catalog);

/** cq_catalog_config() - Return: the record of the configuration in force, or
 * NULL; its offset may be of an earlier era of the store */
const cq_store_record_t *
cq_catalog_config(const cq_catalog_t *catalog);

/** cq_catalog_config_version() - Return: the version of the configuration in
 * force, or 0 */
guint64
cq_catalog_config_version(const cq_catalog_t *catalog);

/** cq_catalog_apply_config() - apply the configuration that is in force at a
 * peer; no effect unless it is newer than the one in force here */
void
cq_catalog_apply_config(cq_catalog_t *catalog,
                        const cq_store_record_t *record);

/** cq_catalog_apply() - apply a record of @topic, from the store or a peer; no
 * effect if a newer record of the same key is known */
void
cq_catalog_apply(cq_catalog_t *catalog, cq_topic_t topic,
                 const cq_store_record_t *record, cq_record_source_t source);

/** cq_catalog_apply_claim() - a peer has sent records of @topic, which have
 * been applied; Return: whether the topic is now known up to the claim's end
 */
gboolean
cq_catalog_apply_claim(cq_catalog_t *catalog, cq_topic_t topic,
                       const cq_topicmap_claim_t *claim);

/** cq_catalog_map() - Return: the records of @topic */
cq_topicmap_t *
cq_catalog_map(const cq_catalog_t *catalog, cq_topic_t topic);

/** cq_catalog_post() - tell the core of upstreams and hosts that have changed;
 * those that are missing may have lapsed in an outage of the store, and count
 * as present until @lapsed_until_us, or 0 */
void
cq_catalog_post(cq_catalog_t *catalog, gint64 lapsed_until_us);

/** cq_catalog_end_snapshot() - drop the keys that were not seen in a complete
 * snapshot */
void
cq_catalog_end_snapshot(cq_catalog_t *catalog, cq_topic_t topic);

/** cq_catalog_begin_era() - the store has come back from an older copy */
void
cq_catalog_begin_era(cq_catalog_t *catalog);

/** cq_catalog_end_era() - upstreams and hosts have had time to write again:
 * take what the store has, and tell the core */
void
cq_catalog_end_era(cq_catalog_t *catalog);

G_END_DECLS

#endif
