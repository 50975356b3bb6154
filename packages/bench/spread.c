#include "bench/spread.h"

#include <stdio.h>

#include "bench/sim.h"

/* Virtual time before the first publication. */
#define SETTLE_US (12 * CQ_SECOND_US)
/* Resolution of the measurement. */
#define POLL_US (50 * CQ_MS_US)
#define LIMIT_US (60 * CQ_SECOND_US)
#define PUBLICATIONS 5
/* 6,800 publications a day. */
#define PUBLICATION_PERIOD_US (12700 * CQ_MS_US)

static const char rules_text[] =
    "[service]\nname = \"reservas\"\nkind = \"plain\"\nauth = \"none\"\n"
    "[[team]]\nname = \"t\"\n";

static void
on_answered(cq_sim_t *sim, guint64 tag, const cq_ac_answer_t *answer,
            void *data)
{
    (void)sim;
    (void)tag;
    (void)answer;
    (void)data;
}

static gboolean
all_hosts_have(cq_sim_t *sim, guint hosts, guint64 version)
{
    for (guint i = 0; i < hosts; i++) {
        const cq_config_entry_t *entry =
            cq_fold_get(cq_sim_fold(sim, i), "reservas");
        if (entry == NULL || entry->version < version) {
            return FALSE;
        }
    }
    return TRUE;
}

/* Publishes version @base + 1. Returns the seconds until all hosts have it, or
 * -1 if that takes over LIMIT_US. */
static double
measure_publication(cq_sim_t *sim, guint hosts, guint64 base)
{
    gint64 start_us = cq_sim_heap(sim)->now_us;
    char id[32];
    g_snprintf(id, sizeof id, "p-%" G_GUINT64_FORMAT, base);
    char *body = g_strdup_printf("%s# %s\n", rules_text, id);
    cq_sim_publish(sim, "reservas", body, base, id);
    g_free(body);
    while (!all_hosts_have(sim, hosts, base + 1)) {
        gint64 now_us = cq_sim_heap(sim)->now_us;
        if (now_us - start_us > LIMIT_US) {
            return -1;
        }
        cq_sim_run(sim, now_us + POLL_US);
    }
    return (double)(cq_sim_heap(sim)->now_us - start_us) / 1e6;
}

void
cq_spread_run(cq_spread_t *spread)
{
    const char *const rules[] = {rules_text, NULL};
    cq_sim_options_t options = {
        .zones = spread->zones,
        .hosts = spread->hosts,
        .plain_upstreams = 1,
        .policy = CQ_POLICY_COST,
        .seed = 1,
        .report_lag_us = CQ_SECOND_US,
        .list_lag_us = CQ_SECOND_US,
        .rules = rules,
        .answered = on_answered,
    };
    cq_sim_t *sim = cq_sim_new(&options);
    cq_sim_run(sim, SETTLE_US);
    if (spread->cut_zone >= 0) {
        cq_sim_cut(sim, (guint)spread->cut_zone, CQ_SIM_PLATFORM, TRUE);
    }
    guint64 start_reads = cq_sim_totals(sim).log_reads;
    gint64 start_us = cq_sim_heap(sim)->now_us;
    spread->propagation_s = 0;
    for (guint64 base = 1; base <= PUBLICATIONS; base++) {
        double elapsed_s = measure_publication(sim, spread->hosts, base);
        if (elapsed_s < 0 || spread->propagation_s < 0) {
            spread->propagation_s = -1;
            break;
        }
        spread->propagation_s = MAX(spread->propagation_s, elapsed_s);
        cq_sim_run(sim, cq_sim_heap(sim)->now_us + PUBLICATION_PERIOD_US);
    }
    double measured_s = (double)(cq_sim_heap(sim)->now_us - start_us) / 1e6;
    spread->reads_per_s =
        (double)(cq_sim_totals(sim).log_reads - start_reads) / measured_s;
    cq_sim_free(sim);
}

void
cq_spread_print(void)
{
    static const cq_spread_t sizes[] = {
        {.hosts = 4, .zones = 3, .cut_zone = -1},
        {.hosts = 33, .zones = 3, .cut_zone = -1},
        {.hosts = 330, .zones = 10, .cut_zone = -1},
        {.hosts = 330, .zones = 10, .cut_zone = 4},
    };
    for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
        cq_spread_t spread = sizes[i];
        cq_spread_run(&spread);
        const char *cut = spread.cut_zone >= 0 ? "zone_cut" : "joined";
        printf("spread.config_everywhere.%u_hosts.%s %.3g s\n", spread.hosts,
               cut, spread.propagation_s);
        printf("spread.log_reads.%u_hosts.%s %.3g reads/s\n", spread.hosts,
               cut, spread.reads_per_s);
    }
}
