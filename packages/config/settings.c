#include "config/settings.h"

#include <string.h>

#include "config/schema.h"

#define OFFSET(member) offsetof(cq_settings_t, member)
#define SIZE(member) sizeof(((cq_settings_t *)NULL)->member)
/* Defaults, and the upper limit of retries.burst. */
#define DRAIN_NOTICE_MS 2000
#define DRAIN_LIMIT_MS 60000
#define RETRY_BURST_MAX 1000000
#define RETRY_PERCENT 20
/* Keeps whole percentages whole: 0.29 * 100 is just below 29. */
#define PERCENT_EPSILON 1e-6

static const char *const level_names[] = {"debug", "info", "warn", "error",
                                          NULL};

static const cq_field_t fields[] = {
    {"host", "name", CQ_FIELD_NAME, OFFSET(host), SIZE(host), 0, 0, TRUE,
     NULL},
    {"host", "zone", CQ_FIELD_NAME, OFFSET(zone), SIZE(zone), 0, 0, TRUE,
     NULL},
    {"host", "seed", CQ_FIELD_INTEGER, OFFSET(seed), 0, 0, G_MAXINT32, FALSE,
     NULL},
    {"listen", "callers", CQ_FIELD_ADDRESS, OFFSET(callers), SIZE(callers), 0,
     0, TRUE, NULL},
    {"listen", "operators", CQ_FIELD_ADDRESS, OFFSET(operators),
     SIZE(operators), 0, 0, TRUE, NULL},
    {"listen", "peers", CQ_FIELD_ADDRESS, OFFSET(peers), SIZE(peers), 0, 0,
     TRUE, NULL},
    {"peers", "seeds", CQ_FIELD_ADDRESS, OFFSET(seeds), CQ_ADDR_BYTES, 0, 0,
     FALSE, NULL},
    {"peers", "key", CQ_FIELD_TEXT, OFFSET(peer_key), SIZE(peer_key), 0, 0,
     FALSE, NULL},
    {"platform", "log", CQ_FIELD_ADDRESS, OFFSET(log), SIZE(log), 0, 0, TRUE,
     NULL},
    {"platform", "hosts", CQ_FIELD_ADDRESS, OFFSET(hosts), SIZE(hosts), 0, 0,
     TRUE, NULL},
    {"platform", "store", CQ_FIELD_ADDRESS, OFFSET(store), SIZE(store), 0, 0,
     FALSE, NULL},
    {"retries", "burst", CQ_FIELD_COUNT, OFFSET(retry_burst), 0, 0,
     RETRY_BURST_MAX, FALSE, NULL},
    {"retries", "share", CQ_FIELD_TEXT, OFFSET(retry_share), SIZE(retry_share),
     0, 0, FALSE, NULL},
    {"drain", "notice_ms", CQ_FIELD_INTEGER, OFFSET(notice_ms), 0, 0,
     CQ_TIMEOUT_MAX_MS, FALSE, NULL},
    {"drain", "limit_ms", CQ_FIELD_INTEGER, OFFSET(limit_ms), 0, 1,
     CQ_TIMEOUT_MAX_MS, FALSE, NULL},
    {"upstreams", "find_pace", CQ_FIELD_BOOLEAN, OFFSET(find_pace), 0, 0, 0,
     FALSE, NULL},
    {"log", "level", CQ_FIELD_CHOICE, OFFSET(log_level), 0, 0, 0, FALSE,
     level_names},
};

static gboolean
add_seed(cq_settings_t *settings, const cq_field_t *field,
         const cq_toml_item_t *item, const char *file, cq_error_t *error)
{
    if (settings->seeds_len == CQ_SEEDS_MAX) {
        return cq_error_set(error, CQ_ERROR_LIMIT,
                            "%s:%u: peers.seeds: more than %d; list fewer",
                            file, item->line, CQ_SEEDS_MAX);
    }
    char *to = settings->seeds[settings->seeds_len];
    cq_field_t element = *field;
    element.offset = 0;
    if (!cq_schema_store(&element, item, file, to, error)) {
        return FALSE;
    }
    for (guint i = 0; i < settings->seeds_len; i++) {
        if (strcmp(settings->seeds[i], to) == 0) {
            return cq_error_set(error, CQ_ERROR_VALUE,
                                "%s:%u: peers.seeds: duplicate host %s; "
                                "list each peer once",
                                file, item->line, to);
        }
    }
    settings->seeds_len++;
    return TRUE;
}

static gboolean
store_item(cq_settings_t *settings, const cq_toml_item_t *item,
           const char *file, cq_error_t *error)
{
    const cq_field_t *field =
        cq_schema_find(fields, G_N_ELEMENTS(fields), item, file, error);
    if (field == NULL) {
        return FALSE;
    }
    if (field->offset == OFFSET(seeds)) {
        return add_seed(settings, field, item, file, error);
    }
    if (item->element >= 0) {
        return cq_error_set(error, CQ_ERROR_VALUE,
                            "%s:%u: %s.%s: found an array; write one value",
                            file, item->line, item->section, item->key);
    }
    return cq_schema_store(field, item, file, settings, error);
}

static gboolean
parse_retry_share(cq_settings_t *settings, const char *file, cq_error_t *error)
{
    if (settings->retry_share[0] == '\0') {
        return TRUE;
    }
    char *end = NULL;
    double share = g_ascii_strtod(settings->retry_share, &end);
    if (*end != '\0' || !(share >= 0 && share <= 1)) {
        return cq_error_set(error, CQ_ERROR_VALUE,
                            "%s:1: retries.share: found %s; write a number "
                            "from 0 to 1 in quotes",
                            file, settings->retry_share);
    }
    settings->retry_percent = (gint64)(share * 100 + PERCENT_EPSILON);
    return TRUE;
}

static gboolean
check_settings(const cq_settings_t *settings, const char *file,
               cq_error_t *error)
{
    const char *const addresses[] = {settings->callers, settings->operators,
                                     settings->peers};
    for (guint i = 1; i < G_N_ELEMENTS(addresses); i++) {
        for (guint k = 0; k < i; k++) {
            if (strcmp(addresses[i], addresses[k]) == 0) {
                return cq_error_set(error, CQ_ERROR_VALUE,
                                    "%s:1: listen: duplicate address %s; "
                                    "give each listener its own port",
                                    file, addresses[i]);
            }
        }
    }
    gsize key_len = strlen(settings->peer_key);
    if (key_len > 0 && key_len < CQ_PEER_KEY_BYTES_MIN) {
        return cq_error_set(error, CQ_ERROR_VALUE,
                            "%s:1: peers.key: has %zu bytes; write at least "
                            "%d",
                            file, key_len, CQ_PEER_KEY_BYTES_MIN);
    }
    if (key_len == 0 && !g_str_has_prefix(settings->peers, "127.")) {
        return cq_error_set(error, CQ_ERROR_KEY,
                            "%s:1: peers.key: missing; without it "
                            "listen.peers must be a 127.x address, found %s",
                            file, settings->peers);
    }
    if (settings->limit_ms < settings->notice_ms) {
        return cq_error_set(error, CQ_ERROR_VALUE,
                            "%s:1: drain.limit_ms: found %" G_GINT64_FORMAT
                            "; write at least notice_ms (%" G_GINT64_FORMAT
                            ")",
                            file, settings->limit_ms, settings->notice_ms);
    }
    return TRUE;
}

static gboolean
store_items(const GArray *items, const char *file, cq_settings_t *settings,
            cq_error_t *error)
{
    for (guint i = 0; i < items->len; i++) {
        const cq_toml_item_t *item = &g_array_index(items, cq_toml_item_t, i);
        if (!store_item(settings, item, file, error)) {
            return FALSE;
        }
    }
    /* The last section, [platform], has no required keys if platform.store is
     * set: the store replaces the log and the host list. */
    static const char *const sections[] = {"host", "listen", "platform"};
    guint len = G_N_ELEMENTS(sections) - (settings->store[0] != '\0');
    for (guint i = 0; i < len; i++) {
        if (!cq_schema_required(fields, G_N_ELEMENTS(fields), items,
                                sections[i], 0, file, error)) {
            return FALSE;
        }
    }
    return parse_retry_share(settings, file, error) &&
           check_settings(settings, file, error);
}

gboolean
cq_settings_parse(const char *text, const char *file, cq_settings_t *settings,
                  cq_error_t *error)
{
    *settings = (cq_settings_t){
        .notice_ms = DRAIN_NOTICE_MS,
        .limit_ms = DRAIN_LIMIT_MS,
        .log_level = 1,
        .retry_burst = CQ_RETRY_BURST,
        .retry_percent = RETRY_PERCENT,
    };
    GArray *items = g_array_new(FALSE, TRUE, sizeof(cq_toml_item_t));
    gboolean valid = cq_toml_parse(text, file, items, error);
    valid = valid && store_items(items, file, settings, error);
    g_array_unref(items);
    return valid;
}

void
cq_settings_reload(cq_settings_t *settings, const cq_settings_t *changed)
{
    memcpy(settings->seeds, changed->seeds, sizeof settings->seeds);
    settings->seeds_len = changed->seeds_len;
    settings->notice_ms = changed->notice_ms;
    settings->limit_ms = changed->limit_ms;
    settings->retry_burst = changed->retry_burst;
    settings->retry_percent = changed->retry_percent;
    settings->log_level = changed->log_level;
}

const char *
cq_settings_level_name(int level)
{
    return level_names[level];
}
