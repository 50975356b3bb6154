#include "router/emptying.h"

#include <string.h>

#include "platform/records.h"

void
cq_emptying_init(cq_emptying_t *emptying, cq_app_t *app, cq_topicmap_t *map)
{
    emptying->app = app;
    emptying->map = map;
    emptying->zones =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
cq_emptying_clear(cq_emptying_t *emptying)
{
    g_hash_table_unref(emptying->zones);
}

gboolean
cq_emptying_owns(const char *key)
{
    return cq_records_emptied_zone(key) != NULL;
}

static gboolean
is_zone_name(const char *name)
{
    gsize len = strlen(name);
    for (gsize i = 0; i < len; i++) {
        if (g_ascii_iscntrl(name[i])) {
            return FALSE;
        }
    }
    return len > 0 && len < CQ_NAME_BYTES;
}

/* What is visited: the zones found, and the map that logs odd records. */
typedef struct {
    cq_topicmap_t *map;
    GHashTable *zones;
} found_t;

static void
add_zone(cq_topic_t topic, const cq_store_record_t *record, void *data)
{
    (void)topic;
    found_t *found = data;
    const char *zone = cq_records_emptied_zone(record->key);
    if (zone == NULL) {
        return;
    }
    if (!is_zone_name(zone)) {
        cq_error_t error = {0};
        cq_error_set(&error, CQ_ERROR_VALUE,
                     "the zone has no name of 1 to %d bytes without control "
                     "characters; name one",
                     CQ_NAME_BYTES - 1);
        cq_topicmap_log_invalid(found->map, record, &error);
        return;
    }
    cq_topicmap_note_valid(found->map, record->key);
    g_hash_table_add(found->zones, g_strdup(zone));
}

/* Posts an event for each zone of @zones that @other lacks. */
static void
post_missing(const cq_emptying_t *emptying, GHashTable *zones,
             GHashTable *other, gboolean emptied)
{
    GList *names =
        g_list_sort(g_hash_table_get_keys(zones), (GCompareFunc)strcmp);
    for (const GList *item = names; item != NULL; item = item->next) {
        const char *zone = item->data;
        if (g_hash_table_contains(other, zone)) {
            continue;
        }
        cq_event_t event = {.kind = CQ_EV_EMPTIED};
        g_strlcpy(event.emptied.zone, zone, sizeof event.emptied.zone);
        event.emptied.emptied = emptied;
        cq_app_post(emptying->app, &event);
    }
    g_list_free(names);
}

void
cq_emptying_update(cq_emptying_t *emptying)
{
    found_t found = {
        .map = emptying->map,
        .zones = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    cq_topicmap_visit_held(emptying->map, add_zone, &found);
    GHashTable *old = emptying->zones;
    emptying->zones = found.zones;
    post_missing(emptying, found.zones, old, TRUE);
    post_missing(emptying, old, found.zones, FALSE);
    g_hash_table_unref(old);
}
