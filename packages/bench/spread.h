/**
 * DOC: spread
 *
 * How fast a publication is in force everywhere, and what the log is asked
 * for it.
 */
#ifndef CQ_SPREAD_H
#define CQ_SPREAD_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_spread_t - one measurement
 * @hosts: entry hosts, set before
 * @zones: availability zones, set before
 * @cut_zone: a zone that is cut off from the platform, -1 for none, set
 *   before
 * @everywhere_s: from the publication until the last host has it, or -1
 * @reads_per_s: reads of the log by all hosts together
 */
typedef struct {
    guint hosts;
    guint zones;
    int cut_zone;
    double everywhere_s;
    double reads_per_s;
} cq_spread_t;

/** cq_spread_run() - make the measurement */
void
cq_spread_run(cq_spread_t *spread);

/** cq_spread_print() - measure at several sizes and print */
void
cq_spread_print(void);

G_END_DECLS

#endif
