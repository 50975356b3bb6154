/**
 * DOC: links
 *
 * TCP connections to and from other serving processes: summaries for the
 * core, and configuration from whoever is further.
 */
#ifndef CQ_LINKS_H
#define CQ_LINKS_H

#include "router/app.h"

G_BEGIN_DECLS

typedef struct cq_links cq_links_t;

/** cq_links_new() - Return: links that do not listen yet */
cq_links_t *
cq_links_new(cq_app_t *app);

/** cq_links_listen() - listen on @addr; FALSE and @error when it fails */
gboolean
cq_links_listen(cq_links_t *links, const char *addr, cq_error_t *error);

/** cq_links_free() - close every connection and free */
void
cq_links_free(cq_links_t *links);

/** cq_links_dial() - keep a connection to the process at @addr */
void
cq_links_dial(cq_links_t *links, const char *addr);

/** cq_links_sought() - Return: peers that this process is linked with or tries
 * to reach */
guint
cq_links_sought(const cq_links_t *links);

/** cq_links_settled() - Return: whether each peer to keep a connection to is
 * connected and proved */
gboolean
cq_links_settled(const cq_links_t *links);

/** cq_links_summary() - send @summary to every peer */
void
cq_links_summary(cq_links_t *links, const cq_summary_t *summary);

/** cq_links_task() - gather @news for every peer */
void
cq_links_task(cq_links_t *links, const cq_task_update_t *news);

/** cq_links_flush() - send what cq_links_task() has gathered */
void
cq_links_flush(cq_links_t *links);

/** cq_links_offer() - tell every peer a digest of what is in force here, so
 * that those who differ ask for more */
void
cq_links_offer(cq_links_t *links);

G_END_DECLS

#endif
