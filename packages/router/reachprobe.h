/**
 * DOC: reachprobe
 *
 * Sees whether connections to upstreams open: carries out the core's REACH and
 * reports REACHED. Nothing is sent over such a connection.
 */
#ifndef CQ_REACHPROBE_H
#define CQ_REACHPROBE_H

#include "core/action.h"

G_BEGIN_DECLS

typedef struct cq_reachprobe cq_reachprobe_t;

/**
 * struct cq_reachprobe_ops_t - receiver of events
 * @post: called with each event
 * @data: passed to @post
 */
typedef struct {
    void (*post)(const cq_event_t *event, void *data);
    void *data;
} cq_reachprobe_ops_t;

/** cq_reachprobe_new() - Return: a prober without connections; @ops is copied
 */
cq_reachprobe_t *
cq_reachprobe_new(const cq_reachprobe_ops_t *ops);

/** cq_reachprobe_free() - abort every connection, report nothing more, and
 * free */
void
cq_reachprobe_free(cq_reachprobe_t *reachprobe);

/**
 * cq_reachprobe_open() - open a connection and close it again. Reported as not
 *   opened at once without an address, and if CQ_REACH_PROBES_MAX connections
 *   are being opened.
 * @reachprobe: the prober
 * @reach: the upstream and the time limit
 * @addr: the upstream's address, or NULL if it isn't known
 */
void
cq_reachprobe_open(cq_reachprobe_t *reachprobe, const cq_ac_reach_t *reach,
                   const char *addr);

G_END_DECLS

#endif
