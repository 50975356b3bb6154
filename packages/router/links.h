/**
 * DOC: links
 *
 * Connections to and from the other serving processes: exchanges summaries and
 * tasks for the core, records of the platform's store, and configuration. Each
 * side offers its versions of the configuration and requests newer ones.
 */
#ifndef CQ_LINKS_H
#define CQ_LINKS_H

#include "router/app.h"
#include "wire/codec.h"

G_BEGIN_DECLS

typedef struct cq_links cq_links_t;

/** cq_links_new() - Return: a set of peer connections that does not listen yet
 */
cq_links_t *
cq_links_new(cq_app_t *app);

/** cq_links_listen() - listen on @addr, `ip:port`; Return: FALSE and @error on
 * failure */
gboolean
cq_links_listen(cq_links_t *links, const char *addr, cq_error_t *error);

/** cq_links_free() - close every connection and free */
void
cq_links_free(cq_links_t *links);

/** cq_links_dial() - connect to the process at @addr, and reconnect whenever
 * the connection is lost */
void
cq_links_dial(cq_links_t *links, const char *addr);

/** cq_links_peer_count() - Return: number of peers that this process is
 * connected to or tries to reach */
guint
cq_links_peer_count(const cq_links_t *links);

/** cq_links_all_connected() - Return: whether every peer is connected and
 * authenticated */
gboolean
cq_links_all_connected(const cq_links_t *links);

/** enum cq_links_scope_t - which peers get a frame */
typedef enum {
    CQ_LINKS_ALL,
    CQ_LINKS_IN_ZONE,
    CQ_LINKS_OUTSIDE_ZONE,
} cq_links_scope_t;

/** cq_links_send_frame() - send @frame to the peers in @scope; @zone is the
 * zone of IN_ZONE and OUTSIDE_ZONE */
void
cq_links_send_frame(cq_links_t *links, cq_links_scope_t scope,
                    const char *zone, GBytes *frame);

/** cq_links_send_action() - send what a SUMMARY, TASK, PART or SPARE action
 * says; tasks and parts are queued until cq_links_flush() */
void
cq_links_send_action(cq_links_t *links, const cq_action_t *action);

/** cq_links_flush() - send the queued tasks and reports on parts */
void
cq_links_flush(cq_links_t *links);

/** cq_links_send_offer() - send every peer a digest of the configuration in
 * force; a peer whose digest differs then requests the list of versions */
void
cq_links_send_offer(cq_links_t *links);

G_END_DECLS

#endif
