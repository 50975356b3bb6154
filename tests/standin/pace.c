#include "pace.h"

#define TICK_MS 20

/* A body that isn't written completely. */
typedef struct {
    standin_conn_t *conn;
    GBytes *bytes;
    gsize written;
} body_t;

struct standin_pace {
    guint bytes_per_s; /* 0: no limit */
    GList *bodies;
    guint64 written;
    guint timer;
};

static void
drop_body(standin_pace_t *pace, GList *at)
{
    body_t *body = at->data;
    pace->bodies = g_list_delete_link(pace->bodies, at);
    standin_unref(body->conn);
    g_bytes_unref(body->bytes);
    g_free(body);
}

/* Return: whether the body is complete, or its connection closed. */
static gboolean
write_some(standin_pace_t *pace, body_t *body, gsize max)
{
    gsize len;
    const char *bytes = g_bytes_get_data(body->bytes, &len);
    gsize some = MIN(max, len - body->written);
    if (!standin_is_open(body->conn)) {
        return TRUE;
    }
    standin_write(body->conn, bytes + body->written, some);
    body->written += some;
    pace->written += some;
    return body->written == len;
}

static gboolean
on_tick(gpointer data)
{
    standin_pace_t *pace = data;
    guint len = g_list_length(pace->bodies);
    gsize share = G_MAXSSIZE;
    if (pace->bytes_per_s > 0 && len > 0) {
        share = 1 + (gsize)pace->bytes_per_s * TICK_MS / 1000 / len;
    }
    GList *at = pace->bodies;
    while (at != NULL) {
        GList *next = at->next;
        if (write_some(pace, at->data, share)) {
            drop_body(pace, at);
        }
        at = next;
    }
    return G_SOURCE_CONTINUE;
}

standin_pace_t *
standin_pace_new(void)
{
    standin_pace_t *pace = g_new0(standin_pace_t, 1);
    pace->timer = g_timeout_add(TICK_MS, on_tick, pace);
    return pace;
}

void
standin_pace_set(standin_pace_t *pace, guint bytes_per_s)
{
    pace->bytes_per_s = bytes_per_s;
}

void
standin_pace_write(standin_pace_t *pace, standin_conn_t *conn,
                   const void *body, gsize len)
{
    if (pace->bytes_per_s == 0) {
        standin_write(conn, body, len);
        pace->written += len;
        return;
    }
    body_t *waiting = g_new0(body_t, 1);
    waiting->conn = standin_ref(conn);
    waiting->bytes = g_bytes_new(body, len);
    pace->bodies = g_list_append(pace->bodies, waiting);
}

guint64
standin_pace_written(const standin_pace_t *pace)
{
    return pace->written;
}
