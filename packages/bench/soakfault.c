/* The faults of a randomised run. */
#include "bench/soakstate.h"

#define FREEZE_MAX_S 12

static void
on_start_host(void *context, void *data, guint64 host)
{
    cq_soak_t *soak = data;
    if (cq_sim_core(context, (guint)host) == NULL) {
        cq_sim_start_host(context, (guint)host);
        soak->highest_versions[host] = 0;
    }
}

void
cq_soak_kill_host(cq_soak_t *soak, guint host, gint64 down_us)
{
    cq_sim_kill_host(soak->sim, host);
    soak->draining_since_us[host] = 0;
    soak->frozen_until_us[host] = 0;
    cq_heap_add(cq_sim_heap(soak->sim), cq_soak_now(soak) + down_us,
                on_start_host, soak, host);
}

static void
on_start_upstream(void *context, void *data, guint64 index)
{
    (void)data;
    cq_sim_start_upstream(context, (guint)index);
}

static void
on_kill_upstream(void *context, void *data, guint64 index)
{
    cq_soak_t *soak = data;
    cq_sim_kill_upstream(context, (guint)index);
    cq_heap_add(cq_sim_heap(context), cq_soak_now(soak) + CQ_SECOND_US,
                on_start_upstream, soak, index);
}

static void
on_network_restored(void *context, void *data, guint64 zone_pair)
{
    (void)data;
    cq_sim_cut(context, (guint)(zone_pair / 100), (guint)(zone_pair % 100),
               FALSE);
}

static void
on_platform_up(void *context, void *data, guint64 number)
{
    (void)data;
    (void)number;
    cq_sim_set_log_down(context, FALSE);
    cq_sim_set_list_down(context, FALSE);
}

static gint64
random_us(cq_soak_t *soak, gint32 max_s)
{
    return g_rand_int_range(soak->rand, 100, max_s * 1000) * CQ_MS_US;
}

static void
fault_kill_host(cq_soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_HOSTS);
    if (cq_sim_core(soak->sim, host) != NULL) {
        cq_soak_kill_host(soak, host, random_us(soak, 5));
    }
}

static void
fault_freeze_host(cq_soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_HOSTS);
    gint64 us = random_us(soak, FREEZE_MAX_S);
    if (soak->frozen_until_us[host] > cq_soak_now(soak)) {
        return;
    }
    cq_sim_freeze_host(soak->sim, host, us);
    soak->frozen_until_us[host] = cq_soak_now(soak) + us;
}

static void
fault_kill_upstream(cq_soak_t *soak)
{
    guint index = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_UPSTREAMS);
    cq_sim_kill_upstream(soak->sim, index);
    cq_heap_add(cq_sim_heap(soak->sim), cq_soak_now(soak) + random_us(soak, 6),
                on_start_upstream, soak, index);
}

static void
fault_freeze_upstream(cq_soak_t *soak)
{
    guint index = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_UPSTREAMS);
    cq_sim_freeze_upstream(soak->sim, index, random_us(soak, 6));
}

static void
fault_upstream_leaves(cq_soak_t *soak)
{
    guint index = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_UPSTREAMS);
    cq_sim_leave_upstream(soak->sim, index);
    cq_heap_add(cq_sim_heap(soak->sim), cq_soak_now(soak) + 8 * CQ_SECOND_US,
                on_kill_upstream, soak, index);
}

static void
fault_silence_connections(cq_soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_HOSTS);
    guint index = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_UPSTREAMS);
    cq_sim_silence_connections(soak->sim, host, index);
}

static void
fault_cut_network(cq_soak_t *soak)
{
    guint a = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_ZONES);
    guint b = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_ZONES + 1);
    b = b == CQ_SOAK_ZONES ? CQ_SIM_PLATFORM : b;
    if (a != b) {
        cq_sim_cut(soak->sim, a, b, TRUE);
        cq_heap_add(cq_sim_heap(soak->sim),
                    cq_soak_now(soak) + random_us(soak, 10),
                    on_network_restored, soak, a * 100 + b);
    }
}

static void
fault_log_down(cq_soak_t *soak)
{
    cq_sim_set_log_down(soak->sim, TRUE);
    cq_heap_add(cq_sim_heap(soak->sim), cq_soak_now(soak) + random_us(soak, 6),
                on_platform_up, soak, 0);
}

static void
fault_lose_append(cq_soak_t *soak)
{
    cq_sim_lose_append_replies(soak->sim,
                               (guint)g_rand_int_range(soak->rand, 1, 4));
}

static void
fault_host_list_down(cq_soak_t *soak)
{
    cq_sim_set_list_down(soak->sim, TRUE);
    cq_heap_add(cq_sim_heap(soak->sim), cq_soak_now(soak) + random_us(soak, 8),
                on_platform_up, soak, 0);
}

/* Two operators race: both publish on top of the version that one host has
 * applied. */
static void
fault_publish(cq_soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_HOSTS);
    cq_fold_t *fold = cq_sim_fold(soak->sim, host);
    const cq_config_entry_t *entry =
        fold != NULL ? cq_fold_get(fold, "reservas") : NULL;
    guint64 base = entry != NULL ? entry->version : 0;
    for (int i = 0; i < 2; i++) {
        char id[32];
        g_snprintf(id, sizeof id, "p-%u", soak->published++);
        char *body = g_strdup_printf("%s# %s\n", cq_soak_rules()[1], id);
        cq_sim_publish(soak->sim, "reservas", body, base, id);
        g_free(body);
    }
}

static void
fault_drain(cq_soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_HOSTS);
    if (cq_sim_core(soak->sim, host) != NULL &&
        soak->draining_since_us[host] == 0) {
        cq_sim_drain_host(soak->sim, host, CQ_SECOND_US, 50 * CQ_SECOND_US);
        soak->draining_since_us[host] = cq_soak_now(soak);
    }
}

/* Posts an answer from attempt 77, which no request has; the core must ignore
 * it. */
static void
fault_stale_answer(cq_soak_t *soak)
{
    if (soak->requests->len == 0) {
        return;
    }
    guint tag =
        (guint)g_rand_int_range(soak->rand, 0, (gint32)soak->requests->len);
    const cq_soak_request_t *request = cq_soak_request(soak, tag);
    cq_core_t *core = cq_sim_core(soak->sim, request->spec.host);
    gboolean running =
        soak->frozen_until_us[request->spec.host] <= cq_soak_now(soak);
    if (core == NULL || request->id == 0 || !running) {
        return;
    }
    cq_event_t event = {.kind = CQ_EV_DONE};
    event.attempt.request = request->id;
    event.attempt.attempt = 77;
    event.attempt.status = 200;
    cq_actions_t actions;
    cq_actions_init(&actions);
    cq_core_step(core, cq_soak_now(soak), &event, &actions);
    if (actions.items->len > 0) {
        cq_soak_violation(
            soak, "the core acted on the answer to an unknown attempt (fault "
                  "crossed)");
    }
    cq_actions_clear(&actions);
}

typedef struct {
    const char *name;
    void (*inject)(cq_soak_t *soak);
} fault_t;

static const fault_t faults[] = {
    {"kill_host", fault_kill_host},
    {"freeze_host", fault_freeze_host},
    {"kill_upstream", fault_kill_upstream},
    {"freeze_upstream", fault_freeze_upstream},
    {"leave", fault_upstream_leaves},
    {"silence", fault_silence_connections},
    {"cut", fault_cut_network},
    {"log", fault_log_down},
    {"lose_append", fault_lose_append},
    {"list", fault_host_list_down},
    {"publish", fault_publish},
    {"drain", fault_drain},
    {"crossed", fault_stale_answer},
};

const char *
cq_soak_inject(cq_soak_t *soak)
{
    guint chosen =
        (guint)g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(faults));
    faults[chosen].inject(soak);
    soak->report->faults++;
    return faults[chosen].name;
}
