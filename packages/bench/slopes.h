/**
 * DOC: slopes
 *
 * Time and memory of one core against the size of the fleet.
 */
#ifndef CQ_SLOPES_H
#define CQ_SLOPES_H

#include <glib.h>

G_BEGIN_DECLS

/** cq_slopes_print() - measure and print nanoseconds a decision, bytes, and
 * control bytes a second */
void
cq_slopes_print(void);

G_END_DECLS

#endif
