/**
 * DOC: lease
 *
 * A lease record in the platform's log. The fleet has one lease; only
 * its holder orders engines to load models.
 */
#ifndef CQ_BASE_LEASE_H
#define CQ_BASE_LEASE_H

#include <glib.h>

G_BEGIN_DECLS

/** enum cq_lease_verb_t - what a lease record does */
typedef enum {
    CQ_LEASE_TAKE,    /* takes the lease if @fence is still current */
    CQ_LEASE_RENEW,   /* the holder extends the lease */
    CQ_LEASE_RELEASE, /* the holder ends the lease */
} cq_lease_verb_t;

/**
 * struct cq_lease_t - one lease record
 * @verb: what it does
 * @host: host id of the writer
 * @incarnation: the writer's incarnation
 * @fence: fencing number of the lease that is replaced, renewed or released;
 *   0: none
 * @sent_us: time on the writer's clock when it sent the record
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
