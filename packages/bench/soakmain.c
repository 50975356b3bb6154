/* Runs the soak test with COUNT seeds, the first of which is SEED, and STEPS
 * requests each. Arguments: SEED STEPS COUNT, all optional. */
#include <stdio.h>

#include "bench/soak.h"

#define THREADS 4

typedef struct {
    cq_soak_options_t options;
    cq_soak_report_t report;
    gboolean ok;
} job_t;

static void
run_job(gpointer data, gpointer unused)
{
    (void)unused;
    job_t *job = data;
    job->ok = cq_soak_run(&job->options, &job->report);
}

static guint
numeric_argument(int argc, char **argv, int i, guint fallback)
{
    if (argc <= i) {
        return fallback;
    }
    return (guint)g_ascii_strtoull(argv[i], NULL, 10);
}

/* Returns whether the run passed. */
static gboolean
print_if_failed(const job_t *job)
{
    const cq_soak_report_t *report = &job->report;
    if (!job->ok) {
        printf("seed %u: %s\n  replay: make soak SEED=%u STEPS=%u\n",
               job->options.seed, report->violation, job->options.seed,
               job->options.steps);
    }
    return job->ok;
}

int
main(int argc, char **argv)
{
    guint seed = numeric_argument(argc, argv, 1, 1);
    guint steps = numeric_argument(argc, argv, 2, 1000);
    guint count = numeric_argument(argc, argv, 3, 1);
    GThreadPool *pool = g_thread_pool_new(run_job, NULL, THREADS, FALSE, NULL);
    job_t *jobs = g_new0(job_t, count);
    for (guint i = 0; i < count; i++) {
        jobs[i].options.seed = seed + i;
        jobs[i].options.steps = steps;
        jobs[i].options.verbose = count == 1;
        g_thread_pool_push(pool, &jobs[i], NULL);
    }
    g_thread_pool_free(pool, FALSE, TRUE);
    guint failed = 0;
    cq_soak_report_t sum = {0};
    for (guint i = 0; i < count; i++) {
        failed += !print_if_failed(&jobs[i]);
        sum.sent += jobs[i].report.sent;
        sum.done += jobs[i].report.done;
        sum.refused += jobs[i].report.refused;
        sum.unknown += jobs[i].report.unknown;
        sum.faults += jobs[i].report.faults;
        sum.core_steps += jobs[i].report.core_steps;
    }
    printf("%u seeds, %u requests, %u done, %u not run, %u unknown, %u "
           "faults, %" G_GUINT64_FORMAT " steps\n",
           count, sum.sent, sum.done, sum.refused, sum.unknown, sum.faults,
           sum.core_steps);
    printf("%u passed, %u failed\n", count - failed, failed);
    g_free(jobs);
    return failed > 0;
}
