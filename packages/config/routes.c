#include "config/routes.h"

#include <string.h>

#include "base/ident.h"

/* Limits where the configuration states none. */
#define HEAD_BYTES_MAX 16384
#define BODY_BYTES_MAX (4 * 1024 * 1024)
#define HEAD_TIMEOUT_US (3 * CQ_SECOND_US)
#define IDLE_TIMEOUT_US (15 * CQ_SECOND_US)

static void
free_route(gpointer data)
{
    cq_route_t *route = data;
    g_free(route->host);
    g_free(route->prefix);
    g_array_unref(route->targets);
    g_free(route);
}

static void
free_rules(gpointer data)
{
    cq_rules_unref(data);
}

static void
free_host_routes(gpointer data)
{
    g_ptr_array_unref(data);
}

cq_routes_t *
cq_routes_new(void)
{
    cq_routes_t *routes = g_new0(cq_routes_t, 1);
    routes->all = g_ptr_array_new_with_free_func(free_route);
    routes->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                            free_host_routes);
    routes->notes = g_ptr_array_new_with_free_func(g_free);
    routes->left_out = g_ptr_array_new_with_free_func(g_free);
    routes->team_by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    routes->rules = g_ptr_array_new_with_free_func(free_rules);
    routes->head_bytes_max = HEAD_BYTES_MAX;
    routes->body_bytes_max = BODY_BYTES_MAX;
    routes->head_timeout_us = HEAD_TIMEOUT_US;
    routes->idle_timeout_us = IDLE_TIMEOUT_US;
    return routes;
}

void
cq_routes_free(cq_routes_t *routes)
{
    g_hash_table_unref(routes->by_host);
    g_hash_table_unref(routes->team_by_key);
    g_ptr_array_unref(routes->notes);
    g_ptr_array_unref(routes->left_out);
    g_ptr_array_unref(routes->rules);
    g_ptr_array_unref(routes->all);
    g_free(routes);
}

cq_route_t *
cq_route_new(const char *host, const char *prefix)
{
    cq_route_t *route = g_new0(cq_route_t, 1);
    route->host = g_ascii_strdown(host, -1);
    route->prefix = g_strdup(prefix);
    char *name = g_strconcat(route->host, prefix, NULL);
    route->id = cq_ident_hash(name);
    g_free(name);
    route->targets = g_array_new(FALSE, TRUE, sizeof(cq_route_target_t));
    route->attempts_max = 1;
    return route;
}

void
cq_routes_add(cq_routes_t *routes, cq_route_t *route)
{
    g_ptr_array_add(routes->all, route);
    GPtrArray *host_routes = g_hash_table_lookup(routes->by_host, route->host);
    if (host_routes == NULL) {
        host_routes = g_ptr_array_new();
        g_hash_table_insert(routes->by_host, g_strdup(route->host),
                            host_routes);
    }
    g_ptr_array_add(host_routes, route);
}

static gint
longer_prefix_first(gconstpointer a, gconstpointer b)
{
    const cq_route_t *x = *(cq_route_t *const *)a;
    const cq_route_t *y = *(cq_route_t *const *)b;
    gsize x_len = strlen(x->prefix);
    gsize y_len = strlen(y->prefix);
    return x_len > y_len ? -1 : x_len < y_len;
}

void
cq_routes_sort(cq_routes_t *routes)
{
    GHashTableIter iter;
    gpointer host_routes;
    g_hash_table_iter_init(&iter, routes->by_host);
    while (g_hash_table_iter_next(&iter, NULL, &host_routes)) {
        g_ptr_array_sort(host_routes, longer_prefix_first);
    }
}

const cq_route_t *
cq_routes_find(const cq_routes_t *routes, const char *host, const char *target)
{
    char host_name[CQ_HOST_NAME_BYTES];
    gsize len = strcspn(host, ":");
    if (len >= sizeof host_name) {
        return NULL;
    }
    for (gsize i = 0; i < len; i++) {
        host_name[i] = g_ascii_tolower(host[i]);
    }
    host_name[len] = '\0';
    const GPtrArray *host_routes =
        g_hash_table_lookup(routes->by_host, host_name);
    gsize path_len = strcspn(target, "?#");
    for (guint i = 0; host_routes != NULL && i < host_routes->len; i++) {
        const cq_route_t *route = g_ptr_array_index(host_routes, i);
        gsize prefix_len = strlen(route->prefix);
        if (prefix_len <= path_len &&
            memcmp(route->prefix, target, prefix_len) == 0) {
            return route;
        }
    }
    return NULL;
}

const char *
cq_routes_team_by_key(const cq_routes_t *routes, const char *key)
{
    return g_hash_table_lookup(routes->team_by_key, key);
}

void
cq_routes_set_retries(const cq_routes_t *routes, gint64 burst, gint64 percent)
{
    for (guint i = 0; i < routes->rules->len; i++) {
        cq_rules_t *rules = g_ptr_array_index(routes->rules, i);
        rules->retry_burst = burst;
        rules->retry_shared = TRUE;
        rules->retry_percent = percent;
    }
}

const char *
cq_route_pick(const cq_route_t *route, double random)
{
    gint64 sum = 0;
    const cq_route_target_t *target = NULL;
    for (guint i = 0; i < route->targets->len; i++) {
        sum += g_array_index(route->targets, cq_route_target_t, i).weight;
    }
    double remaining = random * (double)sum;
    for (guint i = 0; i < route->targets->len; i++) {
        target = &g_array_index(route->targets, cq_route_target_t, i);
        remaining -= (double)target->weight;
        if (remaining < 0) {
            break;
        }
    }
    return target != NULL ? target->service : "";
}
