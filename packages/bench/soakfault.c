/* The faults of a randomised run. */
#include "bench/soakstate.h"

#define FREEZE_MAX_S 12

static void
on_start_host(void *world, void *data, guint64 host)
{
    cq_soak_t *soak = data;
    if (cq_sim_core(world, (guint)host) == NULL) {
        cq_sim_start_host(world, (guint)host);
        soak->versions[host] = 0;
    }
}

void
cq_soak_kill_host(cq_soak_t *soak, guint host, gint64 down_us)
{
    cq_sim_kill_host(soak->sim, host);
    soak->stopping_us[host] = 0;
    soak->thawed_us[host] = 0;
    cq_heap_add(cq_sim_heap(soak->sim), cq_soak_now(soak) + down_us,
                on_start_host, soak, host);
}

static void
on_start_upstream(void *world, void *data, guint64 index)
{
    (void)data;
    cq_sim_start_upstream(world, (guint)index);
}

static void
on_kill_upstream(void *world, void *data, guint64 index)
{
    cq_soak_t *soak = data;
    cq_sim_kill_upstream(world, (guint)index);
    cq_heap_add(cq_sim_heap(world), cq_soak_now(soak) + CQ_SECOND_US,
                on_start_upstream, soak, index);
}

static void
on_join(void *world, void *data, guint64 pair)
{
    (void)data;
    cq_sim_cut(world, (guint)(pair / 100), (guint)(pair % 100), FALSE);
}

static void
on_platform_up(void *world, void *data, guint64 number)
{
    (void)data;
    (void)number;
    cq_sim_log_down(world, FALSE);
    cq_sim_list_down(world, FALSE);
}

static gint64
some_us(cq_soak_t *soak, gint32 most_s)
{
    return g_rand_int_range(soak->rand, 100, most_s * 1000) * CQ_MS_US;
}

static void
fault_kill_host(cq_soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_HOSTS);
    if (cq_sim_core(soak->sim, host) != NULL) {
        cq_soak_kill_host(soak, host, some_us(soak, 5));
    }
}

static void
fault_freeze_host(cq_soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_HOSTS);
    gint64 us = some_us(soak, FREEZE_MAX_S);
    if (soak->thawed_us[host] > cq_soak_now(soak)) {
        return;
    }
    cq_sim_freeze_host(soak->sim, host, us);
    soak->thawed_us[host] = cq_soak_now(soak) + us;
}

static void
fault_kill_upstream(cq_soak_t *soak)
{
    guint index = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_UPSTREAMS);
    cq_sim_kill_upstream(soak->sim, index);
    cq_heap_add(cq_sim_heap(soak->sim), cq_soak_now(soak) + some_us(soak, 6),
                on_start_upstream, soak, index);
}

static void
fault_freeze_upstream(cq_soak_t *soak)
{
    guint index = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_UPSTREAMS);
    cq_sim_freeze_upstream(soak->sim, index, some_us(soak, 6));
}

static void
fault_leave(cq_soak_t *soak)
{
    guint index = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_UPSTREAMS);
    cq_sim_leave_upstream(soak->sim, index);
    cq_heap_add(cq_sim_heap(soak->sim), cq_soak_now(soak) + 8 * CQ_SECOND_US,
                on_kill_upstream, soak, index);
}

static void
fault_silence(cq_soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_HOSTS);
    guint index = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_UPSTREAMS);
    cq_sim_silence(soak->sim, host, index);
}

static void
fault_cut(cq_soak_t *soak)
{
    guint a = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_ZONES);
    guint b = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_ZONES + 1);
    b = b == CQ_SOAK_ZONES ? CQ_SIM_PLATFORM : b;
    if (a != b) {
        cq_sim_cut(soak->sim, a, b, TRUE);
        cq_heap_add(cq_sim_heap(soak->sim),
                    cq_soak_now(soak) + some_us(soak, 10), on_join, soak,
                    a * 100 + b);
    }
}

static void
fault_log(cq_soak_t *soak)
{
    cq_sim_log_down(soak->sim, TRUE);
    cq_heap_add(cq_sim_heap(soak->sim), cq_soak_now(soak) + some_us(soak, 6),
                on_platform_up, soak, 0);
}

static void
fault_lose_append(cq_soak_t *soak)
{
    cq_sim_lose_appends(soak->sim, (guint)g_rand_int_range(soak->rand, 1, 4));
}

static void
fault_list(cq_soak_t *soak)
{
    cq_sim_list_down(soak->sim, TRUE);
    cq_heap_add(cq_sim_heap(soak->sim), cq_soak_now(soak) + some_us(soak, 8),
                on_platform_up, soak, 0);
}

/* Two operators race: both publish on the version that they saw. */
static void
fault_publish(cq_soak_t *soak)
{
    guint host = (guint)g_rand_int_range(soak->rand, 0, CQ_SOAK_HOSTS);
    cq_fold_t *fold = cq_sim_fold(soak->sim, host);
    const cq_config_entry_t *held =
        fold != NULL ? cq_fold_get(fold, "reservas") : NULL;
    guint64 base = held != NULL ? held->version : 0;
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
    if (cq_sim_core(soak->sim, host) != NULL && soak->stopping_us[host] == 0) {
        cq_sim_drain_host(soak->sim, host, CQ_SECOND_US, 50 * CQ_SECOND_US);
        soak->stopping_us[host] = cq_soak_now(soak);
    }
}

/* The upstream's answer to an older attempt, once more. */
static void
fault_crossed(cq_soak_t *soak)
{
    if (soak->asks->len == 0) {
        return;
    }
    guint tag =
        (guint)g_rand_int_range(soak->rand, 0, (gint32)soak->asks->len);
    const cq_soak_ask_t *ask = cq_soak_ask(soak, tag);
    cq_core_t *core = cq_sim_core(soak->sim, ask->ask.host);
    gboolean thawed = soak->thawed_us[ask->ask.host] <= cq_soak_now(soak);
    if (core == NULL || ask->id == 0 || !thawed) {
        return;
    }
    cq_event_t event = {.kind = CQ_EV_DONE};
    event.attempt.request = ask->id;
    event.attempt.attempt = 77;
    event.attempt.status = 200;
    cq_actions_t actions;
    cq_actions_init(&actions);
    cq_core_step(core, cq_soak_now(soak), &event, &actions);
    if (actions.items->len > 0) {
        cq_soak_broken(soak, "a crossed answer had an effect");
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
    {"leave", fault_leave},
    {"silence", fault_silence},
    {"cut", fault_cut},
    {"log", fault_log},
    {"lose_append", fault_lose_append},
    {"list", fault_list},
    {"publish", fault_publish},
    {"drain", fault_drain},
    {"crossed", fault_crossed},
};

const char *
cq_soak_inject(cq_soak_t *soak)
{
    guint which = (guint)g_rand_int_range(soak->rand, 0, G_N_ELEMENTS(faults));
    faults[which].inject(soak);
    soak->report->faults++;
    return faults[which].name;
}
