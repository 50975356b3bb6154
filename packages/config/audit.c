#include "config/audit.h"

#include <string.h>

static void
free_finding(gpointer data)
{
    cq_finding_t *finding = data;
    g_free(finding->place);
    g_free(finding->text);
    g_free(finding);
}

GPtrArray *
cq_audit_new(void)
{
    return g_ptr_array_new_with_free_func(free_finding);
}

const char *
cq_audit_kind_name(cq_finding_kind_t kind)
{
    static const char *const names[] = {
        [CQ_FINDING_UNREADABLE] = "unreadable",
        [CQ_FINDING_NEVER_MATCHES] = "never_matches",
        [CQ_FINDING_CONTRADICTION] = "contradiction",
        [CQ_FINDING_CHANGE] = "change",
    };
    return names[kind];
}

static void
add(GPtrArray *findings, cq_finding_kind_t kind, char *place,
    const char *format, ...) G_GNUC_PRINTF(4, 5);

/* Takes @place. */
static void
add(GPtrArray *findings, cq_finding_kind_t kind, char *place,
    const char *format, ...)
{
    va_list args;
    va_start(args, format);
    cq_finding_t *finding = g_new0(cq_finding_t, 1);
    finding->kind = kind;
    finding->place = place;
    finding->text = g_strdup_vprintf(format, args);
    va_end(args);
    g_ptr_array_add(findings, finding);
}

static char *
route_place(const cq_route_t *route)
{
    return g_strdup_printf("route %s%s", route->host, route->prefix);
}

static char *
service_place(const cq_rules_t *rules)
{
    return g_strdup_printf("service %s", rules->name);
}

/* Adds texts of the form "place: what". */
static void
add_texts(const GPtrArray *texts, cq_finding_kind_t kind, GPtrArray *findings)
{
    for (guint i = 0; i < texts->len; i++) {
        const char *text = g_ptr_array_index(texts, i);
        const char *colon = strstr(text, ": ");
        g_assert(colon != NULL);
        add(findings, kind, g_strndup(text, (gsize)(colon - text)), "%s",
            colon + 2);
    }
}

/* Return: a table of the routes by host and prefix; of two with the same ones
 * the first, which hosts use. */
static GHashTable *
index_routes(const cq_routes_t *routes)
{
    GHashTable *index =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (guint i = 0; i < routes->all->len; i++) {
        cq_route_t *route = g_ptr_array_index(routes->all, i);
        char *key = g_strconcat(route->host, route->prefix, NULL);
        if (g_hash_table_contains(index, key)) {
            g_free(key);
            continue;
        }
        g_hash_table_insert(index, key, route);
    }
    return index;
}

static GHashTable *
index_services(const cq_routes_t *routes)
{
    GHashTable *index = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < routes->rules->len; i++) {
        cq_rules_t *rules = g_ptr_array_index(routes->rules, i);
        g_hash_table_insert(index, rules->name, rules);
    }
    return index;
}

static const cq_route_t *
find_route(GHashTable *index, const cq_route_t *route)
{
    char *key = g_strconcat(route->host, route->prefix, NULL);
    const cq_route_t *found = g_hash_table_lookup(index, key);
    g_free(key);
    return found;
}

static void
check_match(GHashTable *index, const cq_route_t *route, GPtrArray *findings)
{
    if (find_route(index, route) != route) {
        add(findings, CQ_FINDING_NEVER_MATCHES, route_place(route),
            "an earlier route has the same host and prefix; remove one");
    }
    if (route->prefix[0] != '/' || strpbrk(route->prefix, "?#") != NULL) {
        add(findings, CQ_FINDING_NEVER_MATCHES, route_place(route),
            "no path begins so; write a prefix that begins with a slash and "
            "has no ? or #");
    }
    if (strchr(route->host, ':') != NULL) {
        add(findings, CQ_FINDING_NEVER_MATCHES, route_place(route),
            "hosts are compared without their port; leave it out");
    }
}

/* Time of the decode steps of one pass, in which a stream gets no event. */
static gint64
pass_us(const cq_rules_t *rules)
{
    const cq_engine_speed_t *speed = &rules->speed;
    return (gint64)(speed->step_us * (double)speed->steps_per_pass);
}

static void
check_route(GHashTable *services, GHashTable *used, const cq_route_t *route,
            GPtrArray *findings)
{
    if (route->target_us > route->timeout_us) {
        add(findings, CQ_FINDING_CONTRADICTION, route_place(route),
            "the target time of %" G_GINT64_FORMAT
            " ms is above the time limit of %" G_GINT64_FORMAT " ms; lower it",
            route->target_us / CQ_MS_US, route->timeout_us / CQ_MS_US);
    }
    for (guint i = 0; i < route->targets->len; i++) {
        const cq_route_target_t *target =
            &g_array_index(route->targets, cq_route_target_t, i);
        const cq_rules_t *rules =
            g_hash_table_lookup(services, target->service);
        if (rules == NULL) {
            add(findings, CQ_FINDING_CONTRADICTION, route_place(route),
                "service %s is not defined, so its requests are refused; "
                "define it or name another",
                target->service);
            continue;
        }
        g_hash_table_add(used, (gpointer)rules);
        gboolean too_tight = rules->kind == CQ_SERVICE_BATCH &&
                             route->gap_max_us > 0 &&
                             route->gap_max_us < pass_us(rules);
        if (too_tight) {
            add(findings, CQ_FINDING_CONTRADICTION, route_place(route),
                "the longest pause of %" G_GINT64_FORMAT
                " ms is below one pass of an engine of %s (%" G_GINT64_FORMAT
                " ms); raise it",
                route->gap_max_us / CQ_MS_US, rules->name,
                pass_us(rules) / CQ_MS_US);
        }
    }
}

static void
check_service(GHashTable *used, const cq_rules_t *rules, GPtrArray *findings)
{
    if (!g_hash_table_contains(used, rules)) {
        add(findings, CQ_FINDING_NEVER_MATCHES, service_place(rules),
            "no route names it; remove it, or add a route");
    }
    if (rules->cold_start_us > 0 && rules->cold_per_s <= 0) {
        add(findings, CQ_FINDING_CONTRADICTION, service_place(rules),
            "its upstreams are cold for %" G_GINT64_FORMAT
            " ms, and no rate is stated for that; state one above 0",
            rules->cold_start_us / CQ_MS_US);
    }
    if (rules->kind == CQ_SERVICE_BATCH && rules->speed.memory_tokens <= 0) {
        add(findings, CQ_FINDING_CONTRADICTION, service_place(rules),
            "its engines have no memory, so no prompt fits; state it");
    }
}

static void
check_limits(const cq_routes_t *routes, GPtrArray *findings)
{
    if (routes->head_bytes_max > routes->body_bytes_max) {
        add(findings, CQ_FINDING_CONTRADICTION, g_strdup("limits"),
            "heads of %zu bytes are taken, and bodies of %zu only; exchange "
            "them",
            routes->head_bytes_max, routes->body_bytes_max);
    }
    if (routes->head_timeout_us > routes->idle_timeout_us) {
        add(findings, CQ_FINDING_CONTRADICTION, g_strdup("limits"),
            "a connection is closed after %" G_GINT64_FORMAT
            " ms of rest, before a head may be late (%" G_GINT64_FORMAT
            " ms); raise the idle limit",
            routes->idle_timeout_us / CQ_MS_US,
            routes->head_timeout_us / CQ_MS_US);
    }
}

/* Return: set of the names of the teams that have a key. */
static GHashTable *
teams_with_keys(const cq_routes_t *routes)
{
    GHashTable *teams = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer team;
    g_hash_table_iter_init(&iter, routes->team_by_key);
    while (g_hash_table_iter_next(&iter, NULL, &team)) {
        g_hash_table_add(teams, team);
    }
    return teams;
}

static void
check_teams(const cq_routes_t *routes, GPtrArray *findings)
{
    if (routes->rules->len == 0) {
        return;
    }
    const cq_rules_t *rules = g_ptr_array_index(routes->rules, 0);
    GHashTable *teams = teams_with_keys(routes);
    for (guint i = 0; i < rules->teams->len; i++) {
        const char *name = g_array_index(rules->teams, cq_team_rule_t, i).name;
        if (name[0] != '\0' && !g_hash_table_contains(teams, name)) {
            add(findings, CQ_FINDING_NEVER_MATCHES,
                g_strdup_printf("team %s", name),
                "it has no key of its own, so no caller belongs to it; add "
                "one, or remove the team");
        }
    }
    g_hash_table_unref(teams);
}

void
cq_audit_routes(const cq_routes_t *routes, GPtrArray *findings)
{
    add_texts(routes->left_out, CQ_FINDING_UNREADABLE, findings);
    add_texts(routes->notes, CQ_FINDING_NEVER_MATCHES, findings);
    GHashTable *index = index_routes(routes);
    GHashTable *services = index_services(routes);
    GHashTable *used = g_hash_table_new(NULL, NULL);
    for (guint i = 0; i < routes->all->len; i++) {
        const cq_route_t *route = g_ptr_array_index(routes->all, i);
        check_match(index, route, findings);
        check_route(services, used, route, findings);
    }
    for (guint i = 0; i < routes->rules->len; i++) {
        check_service(used, g_ptr_array_index(routes->rules, i), findings);
    }
    check_teams(routes, findings);
    check_limits(routes, findings);
    g_hash_table_unref(used);
    g_hash_table_unref(services);
    g_hash_table_unref(index);
}

static gboolean
targets_equal(const cq_route_t *a, const cq_route_t *b)
{
    if (a->targets->len != b->targets->len) {
        return FALSE;
    }
    for (guint i = 0; i < a->targets->len; i++) {
        const cq_route_target_t *x =
            &g_array_index(a->targets, cq_route_target_t, i);
        const cq_route_target_t *y =
            &g_array_index(b->targets, cq_route_target_t, i);
        if (x->weight != y->weight || strcmp(x->service, y->service) != 0) {
            return FALSE;
        }
    }
    return TRUE;
}

static void
compare_routes(const cq_route_t *old, const cq_route_t *route,
               GPtrArray *findings)
{
    if (!targets_equal(old, route)) {
        add(findings, CQ_FINDING_CHANGE, route_place(route),
            "its requests go to other services, or in other shares");
    }
    if (old->timeout_us != route->timeout_us) {
        add(findings, CQ_FINDING_CHANGE, route_place(route),
            "its time limit is %" G_GINT64_FORMAT " ms for %" G_GINT64_FORMAT
            " ms%s",
            route->timeout_us / CQ_MS_US, old->timeout_us / CQ_MS_US,
            route->timeout_us < old->timeout_us
                ? ": longer requests end earlier"
                : "");
    }
    if (old->target_us != route->target_us ||
        old->gap_max_us != route->gap_max_us ||
        old->priority != route->priority) {
        add(findings, CQ_FINDING_CHANGE, route_place(route),
            "its target time, longest pause or priority differs");
    }
    if (old->retry_policy != route->retry_policy ||
        old->attempts_max != route->attempts_max) {
        add(findings, CQ_FINDING_CHANGE, route_place(route),
            "what may be repeated differs, or how often");
    }
    if (old->is_public != route->is_public) {
        add(findings, CQ_FINDING_CHANGE, route_place(route), "%s",
            route->is_public ? "callers need no key any more"
                             : "callers need a key from now on");
    }
}

static void
compare_all_routes(const cq_routes_t *old, const cq_routes_t *routes,
                   GPtrArray *findings)
{
    GHashTable *old_index = index_routes(old);
    GHashTable *index = index_routes(routes);
    for (guint i = 0; i < old->all->len; i++) {
        const cq_route_t *route = g_ptr_array_index(old->all, i);
        if (find_route(index, route) == NULL) {
            add(findings, CQ_FINDING_CHANGE, route_place(route),
                "removed: its requests go to a shorter prefix, or get 404");
        }
    }
    for (guint i = 0; i < routes->all->len; i++) {
        const cq_route_t *route = g_ptr_array_index(routes->all, i);
        const cq_route_t *before = find_route(old_index, route);
        if (before == NULL) {
            add(findings, CQ_FINDING_CHANGE, route_place(route), "added");
        }
        else if (find_route(index, route) == route) {
            compare_routes(before, route, findings);
        }
    }
    g_hash_table_unref(index);
    g_hash_table_unref(old_index);
}

static gboolean
speeds_equal(const cq_engine_speed_t *a, const cq_engine_speed_t *b)
{
    return a->slots == b->slots && a->memory_tokens == b->memory_tokens &&
           a->steps_per_pass == b->steps_per_pass &&
           a->step_us == b->step_us && a->stream_us == b->stream_us &&
           a->context_us == b->context_us &&
           a->prefill_token_us == b->prefill_token_us &&
           a->pair_us == b->pair_us && a->hop_us == b->hop_us;
}

static void
compare_services(const cq_routes_t *old, const cq_routes_t *routes,
                 GPtrArray *findings)
{
    GHashTable *old_index = index_services(old);
    GHashTable *index = index_services(routes);
    for (guint i = 0; i < old->rules->len; i++) {
        const cq_rules_t *rules = g_ptr_array_index(old->rules, i);
        if (!g_hash_table_contains(index, rules->name)) {
            add(findings, CQ_FINDING_CHANGE, service_place(rules),
                "removed: requests to it are refused");
        }
    }
    for (guint i = 0; i < routes->rules->len; i++) {
        const cq_rules_t *rules = g_ptr_array_index(routes->rules, i);
        const cq_rules_t *before = g_hash_table_lookup(old_index, rules->name);
        if (before == NULL) {
            add(findings, CQ_FINDING_CHANGE, service_place(rules), "added");
            continue;
        }
        gboolean same = before->kind == rules->kind &&
                        speeds_equal(&before->speed, &rules->speed) &&
                        before->cold_start_us == rules->cold_start_us &&
                        before->cold_per_s == rules->cold_per_s;
        if (!same) {
            add(findings, CQ_FINDING_CHANGE, service_place(rules),
                "the figures of its upstreams differ, by which requests are "
                "placed");
        }
    }
    g_hash_table_unref(index);
    g_hash_table_unref(old_index);
}

/* Keys are secrets, so they are counted and not shown. */
static void
compare_keys(const cq_routes_t *old, const cq_routes_t *routes,
             GPtrArray *findings)
{
    GHashTable *taken = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    gpointer key;
    gpointer team;
    g_hash_table_iter_init(&iter, old->team_by_key);
    while (g_hash_table_iter_next(&iter, &key, &team)) {
        const char *now = g_hash_table_lookup(routes->team_by_key, key);
        if (g_strcmp0(now, team) != 0) {
            guint count = GPOINTER_TO_UINT(g_hash_table_lookup(taken, team));
            g_hash_table_insert(taken, team, GUINT_TO_POINTER(count + 1));
        }
    }
    GList *names =
        g_list_sort(g_hash_table_get_keys(taken), (GCompareFunc)strcmp);
    for (const GList *item = names; item != NULL; item = item->next) {
        add(findings, CQ_FINDING_CHANGE,
            g_strdup_printf("team %s", (const char *)item->data),
            "%u of its keys are taken away: requests with them get 401",
            GPOINTER_TO_UINT(g_hash_table_lookup(taken, item->data)));
    }
    g_list_free(names);
    g_hash_table_unref(taken);
}

static void
compare_limits(const cq_routes_t *old, const cq_routes_t *routes,
               GPtrArray *findings)
{
    if (old->head_bytes_max != routes->head_bytes_max ||
        old->body_bytes_max != routes->body_bytes_max ||
        old->head_timeout_us != routes->head_timeout_us ||
        old->idle_timeout_us != routes->idle_timeout_us) {
        add(findings, CQ_FINDING_CHANGE, g_strdup("limits"),
            "what callers may send, or how long they may rest, differs");
    }
}

void
cq_audit_changes(const cq_routes_t *old, const cq_routes_t *routes,
                 GPtrArray *findings)
{
    if (routes->version <= old->version) {
        add(findings, CQ_FINDING_CONTRADICTION, g_strdup("version"),
            "%" G_GUINT64_FORMAT " isn't newer than %" G_GUINT64_FORMAT
            ", which is in force, so hosts ignore it; write a higher one",
            routes->version, old->version);
    }
    compare_all_routes(old, routes, findings);
    compare_services(old, routes, findings);
    compare_keys(old, routes, findings);
    compare_limits(old, routes, findings);
}
