#include "bench/heap.h"

typedef struct {
    gint64 at_us;
    guint64 sequence;
    cq_heap_callback_t callback;
    void *data;
    guint64 number;
} item_t;

static item_t *
item_at(cq_heap_t *heap, guint i)
{
    return &g_array_index(heap->items, item_t, i);
}

static gboolean
before(const item_t *a, const item_t *b)
{
    if (a->at_us != b->at_us) {
        return a->at_us < b->at_us;
    }
    return a->sequence < b->sequence;
}

static void
swap(item_t *a, item_t *b)
{
    item_t saved = *a;
    *a = *b;
    *b = saved;
}

static void
sift_up(cq_heap_t *heap, guint i)
{
    while (i > 0 && before(item_at(heap, i), item_at(heap, (i - 1) / 2))) {
        swap(item_at(heap, i), item_at(heap, (i - 1) / 2));
        i = (i - 1) / 2;
    }
}

static void
sift_down(cq_heap_t *heap, guint i)
{
    for (;;) {
        guint least = i;
        for (guint child = 2 * i + 1; child <= 2 * i + 2; child++) {
            if (child < heap->items->len &&
                before(item_at(heap, child), item_at(heap, least))) {
                least = child;
            }
        }
        if (least == i) {
            return;
        }
        swap(item_at(heap, i), item_at(heap, least));
        i = least;
    }
}

void
cq_heap_init(cq_heap_t *heap)
{
    *heap = (cq_heap_t){0};
    heap->items = g_array_new(FALSE, FALSE, sizeof(item_t));
}

void
cq_heap_clear(cq_heap_t *heap)
{
    g_array_unref(heap->items);
}

void
cq_heap_add(cq_heap_t *heap, gint64 at_us, cq_heap_callback_t callback,
            void *data, guint64 number)
{
    item_t item = {
        .at_us = MAX(at_us, heap->now_us),
        .sequence = heap->added++,
        .callback = callback,
        .data = data,
        .number = number,
    };
    g_array_append_val(heap->items, item);
    sift_up(heap, heap->items->len - 1);
}

gboolean
cq_heap_step(cq_heap_t *heap, gint64 until_us, void *context)
{
    if (heap->items->len == 0 || item_at(heap, 0)->at_us > until_us) {
        return FALSE;
    }
    item_t item = *item_at(heap, 0);
    *item_at(heap, 0) = *item_at(heap, heap->items->len - 1);
    g_array_set_size(heap->items, heap->items->len - 1);
    sift_down(heap, 0);
    heap->now_us = item.at_us;
    item.callback(context, item.data, item.number);
    return TRUE;
}
