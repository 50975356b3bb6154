/**
 * DOC: reachstate
 *
 * What this process knows of its reach: whether it and other zones can be
 * reached. Private to the package.
 */
#ifndef CQ_REACHSTATE_H
#define CQ_REACHSTATE_H

#include <glib.h>

/**
 * struct cq_zone_t - another availability zone
 * @failed_us: when one of its upstreams last could not be reached, or 0
 * @failed_upstream: id of that upstream
 * @accuser: id of the engine that said so, or 0 if this host saw it itself
 * @suspect_until_us: its upstreams get no work before then
 */
typedef struct {
    gint64 failed_us;
    guint64 failed_upstream;
    guint64 accuser;
    gint64 suspect_until_us;
} cq_zone_t;

/** CQ_REACH_FAILED_MAX - failures that are remembered to find a cut */
#define CQ_REACH_FAILED_MAX 8

/**
 * struct cq_reach_t - whether this host can open connections to upstreams
 * @rand: chooses upstreams and peers; apart from the core's, so that the
 *   number of probes changes no other choice
 * @failed: upstreams at which an attempt failed since a connection last opened
 * @failed_len: number of @failed
 * @opened: a connection has opened since the last one was tried
 * @probed_us: when a connection was last tried to see whether it opens
 * @probes_out: such connections without a result
 * @cut_since_us: when the failures of the current cut began, or 0
 */
typedef struct {
    GRand *rand;
    struct {
        guint64 upstream;
        gint64 at_us;
    } failed[CQ_REACH_FAILED_MAX];
    guint failed_len;
    gboolean opened;
    gint64 probed_us;
    guint probes_out;
    gint64 cut_since_us;
} cq_reach_t;

#endif
