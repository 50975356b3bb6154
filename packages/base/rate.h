/**
 * DOC: rate
 *
 * The rate limit that an upstream names: the requests a second that it takes
 * from all hosts together.
 */
#ifndef CQ_RATE_H
#define CQ_RATE_H

#include <glib.h>

G_BEGIN_DECLS

/** enum cq_rate_kind_t - what an answer says of the rate limit of its upstream
 */
typedef enum {
    CQ_RATE_UNSTATED,  /* it isn't the upstream's own, or can't be read */
    CQ_RATE_LIMITED,   /* the upstream names a limit */
    CQ_RATE_UNLIMITED, /* it is the upstream's own and names none */
} cq_rate_kind_t;

/**
 * struct cq_rate_statement_t - a statement of an upstream on its rate limit
 * @kind: what it states
 * @per_s: LIMITED: requests a second, at least 0
 */
typedef struct {
    cq_rate_kind_t kind;
    double per_s;
} cq_rate_statement_t;

G_END_DECLS

#endif
