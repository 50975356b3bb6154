/**
 * DOC: stats
 *
 * Figures of a run, printed as `name value unit`.
 */
#ifndef CQ_STATS_H
#define CQ_STATS_H

#include "bench/work.h"

/** cq_stats_percentile() - Return: the @percent percentile of @values (array
 * of double, sorted in place), 0 when it is empty */
double cq_stats_percentile(GArray *values, double percent);

/** cq_stats_first_token() - Return: array of seconds to the first token of
 * calls of @class (-1: all) and not of @but_team; a call without one counts
 * with its whole timeout */
GArray *cq_stats_first_token(const cq_work_t *work, int class, int but_team);

/** cq_stats_print() - print every figure of a run under @prefix */
void cq_stats_print(GString *out, const char *prefix, cq_work_t *work,
                    cq_work_t *short_alone, const cq_sim_totals_t *totals,
                    double rate);

#endif
