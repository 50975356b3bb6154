#include "core/table.h"

#include <string.h>

#include "core/task.h"

static guint
key_hash(gconstpointer key)
{
    const cq_idempotency_key_t *k = key;
    return (guint)(k->hi ^ k->lo);
}

static gboolean
key_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, sizeof(cq_idempotency_key_t)) == 0;
}

static void
free_upstream(gpointer data)
{
    cq_upstream_t *upstream = data;
    g_hash_table_unref(upstream->cached_prefixes);
    g_ptr_array_unref(upstream->tasks);
    g_free(upstream);
}

static void
free_peer(gpointer data)
{
    cq_peer_t *peer = data;
    g_hash_table_unref(peer->shares);
    g_free(peer);
}

static void
free_service(gpointer data)
{
    cq_service_t *service = data;
    if (service->rules != NULL) {
        cq_rules_unref(service->rules);
    }
    g_ptr_array_unref(service->local);
    g_ptr_array_unref(service->remote);
    g_ptr_array_unref(service->guests);
    g_ptr_array_unref(service->flows);
    g_array_unref(service->usage);
    g_free(service);
}

void
cq_table_init(cq_core_t *core)
{
    cq_list_init(&core->requests);
    core->request_by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    core->upstream_by_id = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                                 NULL, free_upstream);
    core->service_by_name = g_hash_table_new(g_str_hash, g_str_equal);
    core->runs =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    core->services = g_ptr_array_new_with_free_func(free_service);
    core->peer_by_host =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_peer);
    core->peers = g_array_new(FALSE, FALSE, sizeof(cq_host_row_t));
    core->cell_hosts = 1;
    core->emptied_zones =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    core->cell_zones =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    core->offers_wanted =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    core->follows_log = TRUE;
    core->entry_hosts =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    core->zones =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    core->tasks =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    core->claims = g_hash_table_new_full(key_hash, key_equal, NULL, g_free);
}

void
cq_table_clear(cq_core_t *core)
{
    g_hash_table_unref(core->claims);
    g_hash_table_unref(core->tasks);
    g_hash_table_unref(core->entry_hosts);
    g_hash_table_unref(core->zones);
    g_hash_table_unref(core->emptied_zones);
    g_hash_table_unref(core->cell_zones);
    g_hash_table_unref(core->offers_wanted);
    g_array_unref(core->peers);
    g_hash_table_unref(core->peer_by_host);
    g_hash_table_unref(core->service_by_name);
    g_hash_table_unref(core->runs);
    g_hash_table_unref(core->request_by_id);
    g_hash_table_unref(core->upstream_by_id);
    g_ptr_array_unref(core->services);
}

cq_request_t *
cq_table_request(const cq_core_t *core, guint64 id)
{
    return g_hash_table_lookup(core->request_by_id, &id);
}

cq_upstream_t *
cq_table_upstream(const cq_core_t *core, guint64 id)
{
    return g_hash_table_lookup(core->upstream_by_id, &id);
}

cq_service_t *
cq_table_service(const cq_core_t *core, const char *name)
{
    return g_hash_table_lookup(core->service_by_name, name);
}

cq_peer_t *
cq_table_peer(const cq_core_t *core, guint32 host)
{
    return g_hash_table_lookup(core->peer_by_host, GUINT_TO_POINTER(host));
}

cq_request_t *
cq_table_add_request(cq_core_t *core, guint64 id)
{
    cq_request_t *request = g_new0(cq_request_t, 1);
    request->id = id;
    cq_list_init(&request->link);
    cq_list_init(&request->queue_link);
    cq_list_append(&core->requests, &request->link);
    g_hash_table_insert(core->request_by_id, &request->id, request);
    return request;
}

void
cq_table_drop_request(cq_core_t *core, cq_request_t *request)
{
    g_assert(cq_list_empty(&request->queue_link));
    cq_list_remove(&request->link);
    g_hash_table_remove(core->request_by_id, &request->id);
}

cq_service_t *
cq_table_ensure_service(cq_core_t *core, const char *name)
{
    cq_service_t *service = cq_table_service(core, name);
    if (service != NULL) {
        return service;
    }
    service = g_new0(cq_service_t, 1);
    g_strlcpy(service->name, name, sizeof service->name);
    service->id = cq_ident_hash(service->name);
    cq_list_init(&service->upstreams);
    service->local = g_ptr_array_new();
    service->remote = g_ptr_array_new();
    service->guests = g_ptr_array_new();
    service->flows = g_ptr_array_new_with_free_func(g_free);
    service->usage = g_array_new(FALSE, TRUE, sizeof(cq_usage_t));
    service->retry_tokens = CQ_RETRY_BURST;
    service->output_tokens_high = CQ_OUTPUT_TOKENS_DEFAULT;
    for (int i = 0; i < CQ_CLASSES; i++) {
        cq_list_init(&service->class_queues[i].active_flows);
    }
    g_ptr_array_add(core->services, service);
    g_hash_table_insert(core->service_by_name, service->name, service);
    return service;
}

cq_upstream_t *
cq_table_add_upstream(cq_core_t *core, cq_service_t *service, const char *name)
{
    cq_upstream_t *upstream = g_new0(cq_upstream_t, 1);
    upstream->id = cq_ident_hash(name);
    g_strlcpy(upstream->name, name, sizeof upstream->name);
    upstream->service = service;
    upstream->cached_prefixes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    upstream->tasks = g_ptr_array_new();
    cq_list_init(&upstream->link);
    cq_list_append(&service->upstreams, &upstream->link);
    service->candidates_stale = TRUE;
    g_hash_table_insert(core->upstream_by_id, &upstream->id, upstream);
    return upstream;
}

void
cq_table_move_upstream(cq_upstream_t *upstream, cq_service_t *service)
{
    upstream->service->candidates_stale = TRUE;
    cq_list_remove(&upstream->link);
    upstream->service = service;
    service->candidates_stale = TRUE;
    cq_list_append(&service->upstreams, &upstream->link);
}

void
cq_table_drop_upstream(cq_core_t *core, cq_upstream_t *upstream)
{
    g_assert(upstream->own_streams == 0);
    upstream->service->candidates_stale = TRUE;
    cq_list_remove(&upstream->link);
    g_hash_table_remove(core->upstream_by_id, &upstream->id);
}

cq_peer_t *
cq_table_ensure_peer(cq_core_t *core, guint32 host)
{
    cq_peer_t *peer = cq_table_peer(core, host);
    if (peer != NULL) {
        return peer;
    }
    peer = g_new0(cq_peer_t, 1);
    peer->host = host;
    peer->shares =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    g_hash_table_insert(core->peer_by_host, GUINT_TO_POINTER(host), peer);
    return peer;
}
