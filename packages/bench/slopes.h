/**
 * DOC: slopes
 *
 * CPU time and memory of one scheduling core at several deployment sizes.
 */
#ifndef CQ_SLOPES_H
#define CQ_SLOPES_H

#include <glib.h>

G_BEGIN_DECLS

/** cq_slopes_print() - measure and print CPU nanoseconds per decision, token
 * and tick, bytes of memory, and sizes of summary messages */
void
cq_slopes_print(void);

G_END_DECLS

#endif
