/**
 * DOC: lease
 *
 * A lease record, as the platform's log holds it.
 */
#ifndef CQ_BASE_LEASE_H
#define CQ_BASE_LEASE_H

#include <glib.h>

G_BEGIN_DECLS

/** enum cq_lease_verb_t - what a lease record does */
typedef enum {
    CQ_LEASE_TAKE,    /* counts when @fence is the lease in force */
    CQ_LEASE_RENEW,   /* the holder goes on */
    CQ_LEASE_RELEASE, /* the holder gives it up */
} cq_lease_verb_t;

/**
 * struct cq_lease_t - one lease record
 * @verb: what it does
 * @host: host id of the writer
 * @incarnation: its incarnation
 * @fence: fencing number of the lease that it replaces, renews or releases;
 *   0: there was none
 * @sent_us: the writer's own clock when it wrote the record, in microseconds
 */
typedef struct {
    cq_lease_verb_t verb;
    guint32 host;
    guint64 incarnation;
    guint64 fence;
    gint64 sent_us;
} cq_lease_t;

G_END_DECLS

#endif
