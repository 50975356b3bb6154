/**
 * DOC: tasksync
 *
 * Exchange of placed requests (tasks) between the hosts that place on the same
 * engines. In cells these are the hosts of a zone; a task on an engine of
 * another zone is sent to this host's peers there, which forward it to the
 * other hosts of their zone. Also passes on offers of idle engines.
 */
#ifndef CQ_TASKSYNC_H
#define CQ_TASKSYNC_H

#include "router/links.h"

G_BEGIN_DECLS

typedef struct cq_tasksync cq_tasksync_t;

/** cq_tasksync_new() - Return: an exchange over @links, which is borrowed */
cq_tasksync_t *
cq_tasksync_new(cq_app_t *app, cq_links_t *links);

/** cq_tasksync_free() - free */
void
cq_tasksync_free(cq_tasksync_t *sync);

/** cq_tasksync_queue() - queue a copy of @update for the peers */
void
cq_tasksync_queue(cq_tasksync_t *sync, const cq_task_update_t *update);

/** cq_tasksync_flush() - send what is queued, in one frame a peer */
void
cq_tasksync_flush(cq_tasksync_t *sync);

/** cq_tasksync_send_spare() - send an offer to the peers of its zone, or a
 * request for offers to the peers of all other zones */
void
cq_tasksync_send_spare(cq_tasksync_t *sync, const cq_spare_t *spare);

/** cq_tasksync_receive() - apply a peer's tasks, and forward them to the hosts
 * of this zone if they concern its engines; @zone is the zone of the peer from
 * which they came. Return: FALSE if a value is out of range */
gboolean
cq_tasksync_receive(cq_tasksync_t *sync, const Cq__Tasks *message,
                    const char *zone);

/** cq_tasksync_receive_spare() - apply an offer, or a request for offers, of a
 * peer in @zone; Return: FALSE if it has too many engines */
gboolean
cq_tasksync_receive_spare(cq_tasksync_t *sync, const Cq__Spare *message,
                          const char *zone);

G_END_DECLS

#endif
