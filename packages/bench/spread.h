/**
 * DOC: spread
 *
 * How long a published configuration takes to reach all hosts, and how many
 * reads of the log that costs.
 */
#ifndef CQ_SPREAD_H
#define CQ_SPREAD_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_spread_t - one measurement; the caller sets the first three
 * members
 * @hosts: number of entry hosts
 * @zones: number of availability zones
 * @cut_zone: index of a zone that cannot reach the platform, or -1
 * @propagation_s: longest time in seconds from a publication until all hosts
 *   have it; -1 if that takes over a minute
 * @reads_per_s: reads of the log per second, by all hosts together
 */
typedef struct {
    guint hosts;
    guint zones;
    int cut_zone;
    double propagation_s;
    double reads_per_s;
} cq_spread_t;

/** cq_spread_run() - run the measurement and fill in the last two members */
void
cq_spread_run(cq_spread_t *spread);

/** cq_spread_print() - run the measurement at several sizes and print the
 * results */
void
cq_spread_print(void);

G_END_DECLS

#endif
