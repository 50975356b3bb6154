/**
 * DOC: soak
 *
 * Randomised runs: faults of every kind, several at a time, are injected while
 * callers send requests; the invariants are checked throughout the run.
 */
#ifndef CQ_SOAK_H
#define CQ_SOAK_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_soak_options_t - parameters of a run
 * @seed: seed of every random draw
 * @steps: number of requests that callers send
 * @verbose: print each fault to standard output
 */
typedef struct {
    guint32 seed;
    guint steps;
    gboolean verbose;
} cq_soak_options_t;

/**
 * struct cq_soak_report_t - results of a run
 * @violation: the first violated invariant, or ""
 * @sent: requests sent
 * @done: requests that completed
 * @refused: requests answered with ran=no
 * @unknown: requests answered with ran=unknown
 * @faults: faults injected
 * @core_steps: steps of all cores
 */
typedef struct {
    char violation[256];
    guint sent;
    guint done;
    guint refused;
    guint unknown;
    guint faults;
    guint64 core_steps;
} cq_soak_report_t;

/** cq_soak_run() - execute a run; Return: whether all invariants held */
gboolean
cq_soak_run(const cq_soak_options_t *options, cq_soak_report_t *report);

G_END_DECLS

#endif
