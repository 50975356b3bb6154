#include "router/memory.h"

#include "base/list.h"
#include "platform/reserve.h"

/* Shorter than the time in which an engine must be free again after a request
 * has ended, so that no memory stays when this process dies. */
#define HOLD_MS 3000
#define RENEW_MS 1000
#define RELEASE_AGAIN_MS 500
/* An order without an answer is carried out within so long, or never. */
#define LATE_MS 13000
#define TICKET_BYTES 40

/* A reservation at one engine. */
typedef struct {
    cq_list_t link;
    cq_memory_t *memory;
    guint64 request;
    guint64 upstream;
    char addr[CQ_ADDR_BYTES];
    char ticket[TICKET_BYTES];
    gint64 tokens;
    gboolean told;      /* the core knows the outcome */
    gboolean releasing; /* not wanted any more */
    gboolean doubtful;  /* an order got no answer */
    gint64 released_us;
    guint unanswered; /* orders on their way */
    guint timer;
} hold_t;

struct cq_memory {
    cq_memory_ops_t ops;
    cq_client_t *client;
    cq_list_t holds;
    guint serial;
};

static void
renew(hold_t *hold);
static void
release(hold_t *hold);

static void
forget(hold_t *hold)
{
    if (hold->timer != 0) {
        g_source_remove(hold->timer);
    }
    cq_list_remove(&hold->link);
    g_free(hold);
}

static void
tell(hold_t *hold, gboolean granted)
{
    if (hold->told) {
        return;
    }
    hold->told = TRUE;
    cq_event_t event = {
        .kind = CQ_EV_RESERVED,
        .reserved = {.request = hold->request,
                     .upstream = hold->upstream,
                     .granted = granted},
    };
    hold->memory->ops.post(&event, hold->memory->ops.data);
}

static gboolean
on_again(gpointer data)
{
    hold_t *hold = data;
    hold->timer = 0;
    if (hold->releasing) {
        release(hold);
    }
    else {
        renew(hold);
    }
    return G_SOURCE_REMOVE;
}

static void
again(hold_t *hold, guint ms)
{
    if (hold->timer == 0) {
        hold->timer = g_timeout_add(ms, on_again, hold);
    }
}

static void
on_reserved(cq_reserve_outcome_t outcome, void *data)
{
    hold_t *hold = data;
    hold->unanswered--;
    if (outcome == CQ_RESERVE_UNKNOWN) {
        hold->doubtful = TRUE;
    }
    if (hold->releasing) {
        return;
    }
    again(hold, RENEW_MS);
    tell(hold, outcome == CQ_RESERVE_DONE);
}

static void
on_released(cq_reserve_outcome_t outcome, void *data)
{
    hold_t *hold = data;
    hold->unanswered--;
    gint64 passed_us = g_get_monotonic_time() - hold->released_us;
    gboolean late = passed_us > LATE_MS * CQ_MS_US;
    gboolean answered = outcome != CQ_RESERVE_UNKNOWN;
    gboolean certain = answered && !hold->doubtful;
    if ((certain || late) && hold->unanswered == 0) {
        forget(hold);
        return;
    }
    hold->doubtful = hold->doubtful || !answered;
    gboolean wait = answered && hold->unanswered == 0;
    again(hold, wait ? HOLD_MS : RELEASE_AGAIN_MS);
}

static cq_reserve_call_t
order_of(hold_t *hold, cq_reserve_done_t done)
{
    cq_reserve_call_t order = {
        .addr = hold->addr,
        .id = hold->ticket,
        .tokens = hold->tokens,
        .hold_ms = HOLD_MS,
        .done = done,
        .data = hold,
    };
    return order;
}

static void
renew(hold_t *hold)
{
    cq_reserve_call_t order = order_of(hold, on_reserved);
    hold->unanswered++;
    cq_reserve_memory(hold->memory->client, &order);
}

static void
release(hold_t *hold)
{
    cq_reserve_call_t order = order_of(hold, on_released);
    hold->unanswered++;
    cq_reserve_release(hold->memory->client, &order);
}

static hold_t *
find(const cq_memory_t *memory, guint64 request, guint64 upstream)
{
    cq_list_t *link = memory->holds.next;
    for (; link != &memory->holds; link = link->next) {
        hold_t *hold = CQ_ENTRY(link, hold_t, link);
        if (hold->request == request && hold->upstream == upstream &&
            !hold->releasing) {
            return hold;
        }
    }
    return NULL;
}

cq_memory_t *
cq_memory_new(const cq_memory_ops_t *ops)
{
    cq_memory_t *memory = g_new0(cq_memory_t, 1);
    memory->ops = *ops;
    memory->client = cq_client_new();
    cq_list_init(&memory->holds);
    return memory;
}

void
cq_memory_free(cq_memory_t *memory)
{
    cq_client_free(memory->client);
    while (!cq_list_empty(&memory->holds)) {
        forget(CQ_ENTRY(memory->holds.next, hold_t, link));
    }
    g_free(memory);
}

void
cq_memory_reserve(cq_memory_t *memory, const cq_ac_memory_t *order,
                  const cq_upstream_view_t *upstream)
{
    hold_t *hold = g_new0(hold_t, 1);
    hold->memory = memory;
    hold->request = order->request;
    hold->upstream = order->upstream;
    hold->tokens = order->tokens;
    g_strlcpy(hold->addr, upstream->addr, sizeof hold->addr);
    /* Never used twice, so that a late order can't meet a later try. */
    g_snprintf(hold->ticket, sizeof hold->ticket,
               "%016" G_GINT64_MODIFIER "x-%u", order->request,
               ++memory->serial);
    cq_list_init(&hold->link);
    cq_list_append(&memory->holds, &hold->link);
    renew(hold);
}

void
cq_memory_release(cq_memory_t *memory, const cq_ac_memory_t *order)
{
    hold_t *hold = find(memory, order->request, order->upstream);
    if (hold == NULL) {
        return;
    }
    hold->releasing = TRUE;
    hold->released_us = g_get_monotonic_time();
    if (hold->timer != 0) {
        g_source_remove(hold->timer);
        hold->timer = 0;
    }
    release(hold);
}

const char *
cq_memory_ticket(const cq_memory_t *memory, guint64 request, guint64 upstream)
{
    const hold_t *hold = find(memory, request, upstream);
    return hold != NULL ? hold->ticket : NULL;
}

guint
cq_memory_open(const cq_memory_t *memory)
{
    guint count = 0;
    const cq_list_t *link = memory->holds.next;
    for (; link != &memory->holds; link = link->next) {
        count++;
    }
    return count;
}
