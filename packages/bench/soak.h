/**
 * DOC: soak
 *
 * Randomised runs: every kind of fault, several at once, while callers ask,
 * and the promises checked throughout.
 */
#ifndef CQ_SOAK_H
#define CQ_SOAK_H

#include <glib.h>

G_BEGIN_DECLS

/**
 * struct cq_soak_options_t - one run
 * @seed: of everything random
 * @steps: requests that callers send
 * @verbose: print each fault
 */
typedef struct {
    guint32 seed;
    guint steps;
    gboolean verbose;
} cq_soak_options_t;

/**
 * struct cq_soak_report_t - what a run saw
 * @broken: the first broken promise, or ""
 * @asked: requests sent
 * @done: answered whole
 * @refused: answered with ran=no
 * @unknown: answered with ran=unknown
 * @faults: faults injected
 * @core_steps: steps of the cores
 */
typedef struct {
    char broken[256];
    guint asked;
    guint done;
    guint refused;
    guint unknown;
    guint faults;
    guint64 core_steps;
} cq_soak_report_t;

/** cq_soak_run() - make one run; Return: whether every promise held */
gboolean
cq_soak_run(const cq_soak_options_t *options, cq_soak_report_t *report);

G_END_DECLS

#endif
