#include "core/quarantine.h"

#include "core/answer.h"
#include "core/place.h"
#include "core/table.h"

/* Crashes after which a part is blocked; more for one on which answers were
 * written a short time ago. */
#define CRASHES_TO_BLOCK 3
#define CRASHES_TO_BLOCK_ANSWERED 6
/* Connections that end within this time of each other count as one crash: a
 * fault of the network breaks those of many upstreams at once. */
#define CRASH_SPACING_US (20 * CQ_MS_US)
/* An answer has begun with this many events. An upstream may crash with the
 * first ones on their way. */
#define BEGUN_EVENTS 3
/* How long an answer on a part counts; it is forgotten within twice this time.
 */
#define ANSWERED_KEEP_US (60 * CQ_SECOND_US)
#define ANSWERED_PARTS_MAX 4096
/* How long a suspect is remembered after its last crash. */
#define SUSPECT_KEEP_US (60 * CQ_SECOND_US)
/* How long a part is blocked after its last crash, at first and at most; it
 * doubles each time that it is blocked again. */
#define BLOCK_MIN_US (600 * CQ_SECOND_US)
#define BLOCK_DOUBLINGS_MAX 6
/* One host sends one request with a blocked part after this time without a
 * crash, which is multiplied by TRIAL_FACTOR after each one that crashed. */
#define TRIAL_DELAY_US (30 * CQ_SECOND_US)
#define TRIAL_FACTOR 4
#define TRIALS_MAX 5
/* A crash this long after a part was blocked was that of a trial; earlier ones
 * were on their way when it was blocked. */
#define TRIAL_CRASH_AFTER_US (10 * CQ_SECOND_US)
#define PARTS_MAX 2048
/* Reports that this process sends in a second; crashes of many upstreams at
 * once give one for each part of each request on them. */
#define REPORTS_PER_S 256

typedef struct {
    guint64 id;
    guint64 team;
    gint64 at_us;
} crash_t;

/*
 * A part under suspicion.
 * blocked_us: when it was blocked last, or 0
 * blocks: how often it was blocked
 * trials: trials that have crashed since it was blocked
 * trial_us: when this host last sent a trial, or 0
 */
typedef struct {
    guint64 key;
    guint64 service;
    guint64 id;
    crash_t crashes[CQ_PART_CRASHES_MAX];
    guint crashes_len;
    gint64 blocked_us;
    guint blocks;
    guint trials;
    gint64 trial_us;
} part_t;

/*
 * parts: key to part_t
 * answered: keys of parts with recent answers: the newer and the older half
 * enforce_due: a part was blocked since the last call of enforce
 * reports_left: reports that may still be sent in the current second
 */
struct cq_quarantine {
    GHashTable *parts;
    GHashTable *answered[2];
    gint64 answered_since_us;
    gboolean enforce_due;
    guint reports_left;
    gint64 reports_since_us;
};

static GHashTable *
new_key_set(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static guint64
service_id(const cq_request_t *request)
{
    return cq_ident_hash(request->service->name);
}

static guint64
team_id(const cq_request_t *request)
{
    const GArray *teams = request->service->rules->teams;
    const cq_team_rule_t *team =
        &g_array_index(teams, cq_team_rule_t, (guint)request->team);
    return cq_ident_hash(team->name);
}

static guint64
key_of(guint64 service, guint64 id)
{
    return cq_place_mix(id ^ cq_place_mix(service));
}

static part_t *
find(const cq_core_t *core, guint64 service, guint64 id)
{
    guint64 key = key_of(service, id);
    return g_hash_table_lookup(core->quarantine->parts, &key);
}

static gint64
last_crash_us(const part_t *part)
{
    gint64 last_us = 0;
    for (guint i = 0; i < part->crashes_len; i++) {
        last_us = MAX(last_us, part->crashes[i].at_us);
    }
    return last_us;
}

static gint64
blocked_until_us(const part_t *part)
{
    guint doublings = MIN(part->blocks, BLOCK_DOUBLINGS_MAX + 1) - 1;
    return last_crash_us(part) + (BLOCK_MIN_US << doublings);
}

static gboolean
is_blocked(const cq_core_t *core, const part_t *part)
{
    return part->blocked_us > 0 && core->now_us < blocked_until_us(part);
}

/* Whether crashes under requests of @team or of several teams accuse it. */
static gboolean
concerns_team(const part_t *part, guint64 team)
{
    for (guint i = 0; i < part->crashes_len; i++) {
        guint64 accuser = part->crashes[i].team;
        if (accuser == team || accuser != part->crashes[0].team) {
            return TRUE;
        }
    }
    return FALSE;
}

/* Return: the blocked part of @request, or NULL. */
static part_t *
blocked_part(const cq_core_t *core, const cq_request_t *request)
{
    for (guint i = 0; i < request->parts.len; i++) {
        part_t *part = find(core, service_id(request), request->parts.ids[i]);
        if (part != NULL && is_blocked(core, part) &&
            concerns_team(part, team_id(request))) {
            return part;
        }
    }
    return NULL;
}

static gboolean
was_answered(const cq_quarantine_t *quarantine, guint64 key)
{
    return g_hash_table_contains(quarantine->answered[0], &key) ||
           g_hash_table_contains(quarantine->answered[1], &key);
}

static void
note_answered(cq_core_t *core, guint64 key)
{
    cq_quarantine_t *quarantine = core->quarantine;
    GHashTable *newer = quarantine->answered[0];
    if (core->now_us - quarantine->answered_since_us > ANSWERED_KEEP_US ||
        g_hash_table_size(newer) >= ANSWERED_PARTS_MAX) {
        g_hash_table_unref(quarantine->answered[1]);
        quarantine->answered[1] = newer;
        quarantine->answered[0] = new_key_set();
        quarantine->answered_since_us = core->now_us;
    }
    if (!g_hash_table_contains(quarantine->answered[0], &key)) {
        g_hash_table_add(quarantine->answered[0], g_memdup2(&key, sizeof key));
    }
}

static guint
crashes_to_block(const cq_core_t *core, const part_t *part)
{
    if (part->blocks > 0) {
        return 1;
    }
    return was_answered(core->quarantine, part->key)
               ? CRASHES_TO_BLOCK_ANSWERED
               : CRASHES_TO_BLOCK;
}

/* Removes the unblocked part whose last crash is the longest ago. */
static void
make_room(cq_core_t *core)
{
    GHashTable *parts = core->quarantine->parts;
    const part_t *oldest = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const part_t *part = value;
        gboolean older =
            oldest == NULL || last_crash_us(part) < last_crash_us(oldest);
        if (part->blocked_us == 0 && older) {
            oldest = part;
        }
    }
    if (oldest != NULL) {
        g_hash_table_remove(parts, &oldest->key);
    }
}

/* Return: the part, which is added if there is room. */
static part_t *
find_or_add(cq_core_t *core, guint64 service, guint64 id)
{
    GHashTable *parts = core->quarantine->parts;
    part_t *part = find(core, service, id);
    if (part != NULL) {
        return part;
    }
    if (g_hash_table_size(parts) >= PARTS_MAX) {
        make_room(core);
    }
    if (g_hash_table_size(parts) >= PARTS_MAX) {
        return NULL;
    }
    part = g_new0(part_t, 1);
    part->key = key_of(service, id);
    part->service = service;
    part->id = id;
    g_hash_table_insert(parts, &part->key, part);
    return part;
}

static gboolean
has_crash(const part_t *part, guint64 crash)
{
    for (guint i = 0; i < part->crashes_len; i++) {
        if (part->crashes[i].id == crash) {
            return TRUE;
        }
    }
    return FALSE;
}

static void
remove_crash(part_t *part, guint64 crash)
{
    for (guint i = 0; i < part->crashes_len; i++) {
        if (part->crashes[i].id == crash) {
            part->crashes[i] = part->crashes[--part->crashes_len];
            return;
        }
    }
}

/* Whether a blocked part explains the crash. */
static gboolean
is_explained(const cq_core_t *core, guint64 crash)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->quarantine->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (is_blocked(core, value) && has_crash(value, crash)) {
            return TRUE;
        }
    }
    return FALSE;
}

/* The crashes of @cause, which is blocked, no longer count against others. */
static void
explain_crashes(cq_core_t *core, const part_t *cause)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->quarantine->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        part_t *part = value;
        if (part->blocked_us > 0) {
            continue;
        }
        for (guint i = 0; i < cause->crashes_len; i++) {
            remove_crash(part, cause->crashes[i].id);
        }
        if (part->crashes_len == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Return: whether it counts as another crash than those that are known. */
static gboolean
is_separate(const part_t *part, const crash_t *crash)
{
    for (guint i = 0; i < part->crashes_len; i++) {
        gint64 apart_us = ABS(part->crashes[i].at_us - crash->at_us);
        if (part->crashes[i].id == crash->id || apart_us < CRASH_SPACING_US) {
            return FALSE;
        }
    }
    return TRUE;
}

static void
block(cq_core_t *core, part_t *part)
{
    part->blocked_us = core->now_us;
    part->blocks++;
    part->trials = 0;
    core->quarantine->enforce_due = TRUE;
    cq_counters_add(&core->counters, CQ_N_PARTS_BLOCKED, 1);
    cq_ring_add(&core->ring, core->now_us, 0, 0, "part_blocked",
                "part=%" G_GINT64_MODIFIER "x crashes=%u times=%u", part->id,
                part->crashes_len, part->blocks);
}

/* The newest crashes are kept. */
static void
store_crash(part_t *part, const crash_t *crash)
{
    guint slot = part->crashes_len;
    if (slot < CQ_PART_CRASHES_MAX) {
        part->crashes_len++;
    }
    else {
        slot = 0;
        for (guint i = 1; i < CQ_PART_CRASHES_MAX; i++) {
            if (part->crashes[i].at_us < part->crashes[slot].at_us) {
                slot = i;
            }
        }
    }
    part->crashes[slot] = *crash;
}

static void
add_crash(cq_core_t *core, part_t *part, const crash_t *crash)
{
    gboolean blocked = is_blocked(core, part);
    store_crash(part, crash);
    if (blocked && crash->at_us - part->blocked_us > TRIAL_CRASH_AFTER_US) {
        part->trials = MIN(part->trials + 1, TRIALS_MAX);
    }
    if (!blocked && part->crashes_len >= crashes_to_block(core, part)) {
        block(core, part);
        blocked = TRUE;
    }
    if (blocked) {
        /* Further teams may be concerned. */
        core->quarantine->enforce_due = TRUE;
        explain_crashes(core, part);
    }
}

static void
report(cq_core_t *core, cq_part_report_kind_t kind, const part_t *part,
       const crash_t *crash)
{
    cq_quarantine_t *quarantine = core->quarantine;
    if (core->now_us - quarantine->reports_since_us >= CQ_SECOND_US) {
        quarantine->reports_since_us = core->now_us;
        quarantine->reports_left = REPORTS_PER_S;
    }
    if (quarantine->reports_left == 0) {
        return;
    }
    quarantine->reports_left--;
    cq_action_t action = {.kind = CQ_AC_PART};
    action.part.kind = kind;
    action.part.service = part->service;
    action.part.part = part->id;
    if (crash != NULL) {
        action.part.team = crash->team;
        action.part.crash = crash->id;
    }
    cq_actions_add(core->actions, &action);
}

static cq_part_report_t
report_of_crash(const cq_core_t *core, const part_t *part, guint i)
{
    return (cq_part_report_t){
        .kind = CQ_PART_CRASHED,
        .service = part->service,
        .part = part->id,
        .team = part->crashes[i].team,
        .crash = part->crashes[i].id,
        .age_us = core->now_us - part->crashes[i].at_us,
    };
}

/* Writes the record of a blocked part, which hosts that start read, or deletes
 * it. */
static void
write_record(cq_core_t *core, const part_t *part, gboolean blocked)
{
    cq_action_t action = {.kind = CQ_AC_PART_RECORD};
    cq_part_record_t *record = &action.part_record;
    record->service = part->service;
    record->part = part->id;
    for (guint i = 0; blocked && i < part->crashes_len; i++) {
        record->crashes[record->len++] = report_of_crash(core, part, i);
    }
    cq_actions_add(core->actions, &action);
}

static void
accuse(cq_core_t *core, const cq_request_t *request, guint64 id,
       const crash_t *crash)
{
    part_t *part = find_or_add(core, service_id(request), id);
    if (part != NULL && is_separate(part, crash)) {
        report(core, CQ_PART_CRASHED, part, crash);
        add_crash(core, part, crash);
        if (is_blocked(core, part)) {
            write_record(core, part, TRUE);
        }
    }
}

/* A part on which an answer has begun is innocent of the crashes so far. */
static void
clear_part(cq_core_t *core, part_t *part)
{
    if (part == NULL) {
        return;
    }
    if (part->blocked_us > 0) {
        cq_ring_add(&core->ring, core->now_us, 0, 0, "part_cleared",
                    "part=%" G_GINT64_MODIFIER "x", part->id);
    }
    g_hash_table_remove(core->quarantine->parts, &part->key);
}

/* Whether this host is the one that sends trials of @part. All hosts order the
 * hosts that they know by the same hash. */
static gboolean
sends_trials(const cq_core_t *core, const part_t *part)
{
    guint64 own_rank = cq_place_mix(core->host ^ part->key);
    GHashTableIter iter;
    gpointer host;
    g_hash_table_iter_init(&iter, core->peer_by_host);
    while (g_hash_table_iter_next(&iter, &host, NULL)) {
        if (cq_place_mix(GPOINTER_TO_UINT(host) ^ part->key) < own_rank) {
            return FALSE;
        }
    }
    return TRUE;
}

static gint64
trial_due_us(const part_t *part)
{
    gint64 delay_us = TRIAL_DELAY_US;
    for (guint i = 0; i < part->trials; i++) {
        delay_us *= TRIAL_FACTOR;
    }
    return MAX(last_crash_us(part), part->trial_us) + delay_us;
}

cq_quarantine_t *
cq_quarantine_new(void)
{
    cq_quarantine_t *quarantine = g_new0(cq_quarantine_t, 1);
    quarantine->parts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    quarantine->answered[0] = new_key_set();
    quarantine->answered[1] = new_key_set();
    return quarantine;
}

void
cq_quarantine_free(cq_quarantine_t *quarantine)
{
    g_hash_table_unref(quarantine->parts);
    g_hash_table_unref(quarantine->answered[0]);
    g_hash_table_unref(quarantine->answered[1]);
    g_free(quarantine);
}

gboolean
cq_quarantine_blocks(const cq_core_t *core, const cq_request_t *request)
{
    return !request->is_trial && blocked_part(core, request) != NULL;
}

gboolean
cq_quarantine_admits_trial(cq_core_t *core, const cq_request_t *request)
{
    part_t *part = blocked_part(core, request);
    if (part == NULL || core->now_us < trial_due_us(part) ||
        !sends_trials(core, part)) {
        return FALSE;
    }
    part->trial_us = core->now_us;
    cq_table_log_event(core, request, "part_trial",
                       "part=%" G_GINT64_MODIFIER "x trials=%u", part->id,
                       part->trials);
    return TRUE;
}

gint64
cq_quarantine_retry_after_us(const cq_core_t *core,
                             const cq_request_t *request)
{
    const part_t *part = blocked_part(core, request);
    if (part == NULL) {
        return CQ_RETRY_AFTER_MIN_US;
    }
    gint64 due_us = MIN(trial_due_us(part), blocked_until_us(part));
    return MAX(due_us - core->now_us, CQ_RETRY_AFTER_MIN_US);
}

void
cq_quarantine_crashed(cq_core_t *core, const cq_request_t *request)
{
    const cq_upstream_t *upstream = request->upstream;
    gint64 events = request->forwarded - request->forwarded_at_start;
    if (events >= BEGUN_EVENTS || request->parts.len == 0) {
        return;
    }
    crash_t crash = {
        .id = cq_place_mix(upstream->id ^ cq_place_mix(upstream->incarnation)),
        .team = team_id(request),
        .at_us = core->now_us,
    };
    part_t *known = blocked_part(core, request);
    if (known != NULL) {
        accuse(core, request, known->id, &crash);
        return;
    }
    /* Earlier parts are shared by more requests. If none has been answered
     * yet, the last one is blocked first, and explains the crashes. */
    for (guint i = request->parts.len; i > 0; i--) {
        if (is_explained(core, crash.id)) {
            return;
        }
        accuse(core, request, request->parts.ids[i - 1], &crash);
    }
}

void
cq_quarantine_progress(cq_core_t *core, const cq_request_t *request,
                       gint64 events, gboolean done)
{
    gint64 after = request->forwarded - request->forwarded_at_start;
    gboolean begins = after >= BEGUN_EVENTS && after - events < BEGUN_EVENTS;
    if (!begins && !(done && after < BEGUN_EVENTS)) {
        return;
    }
    for (guint i = 0; i < request->parts.len; i++) {
        guint64 id = request->parts.ids[i];
        part_t *part = find(core, service_id(request), id);
        if (part != NULL) {
            report(core, CQ_PART_ANSWERED, part, NULL);
            if (part->blocked_us > 0) {
                write_record(core, part, FALSE);
            }
        }
        clear_part(core, part);
        note_answered(core, key_of(service_id(request), id));
    }
}

static void
apply_crash(cq_core_t *core, const cq_part_report_t *row)
{
    crash_t crash = {
        .id = row->crash,
        .team = row->team,
        .at_us = core->now_us - row->age_us,
    };
    part_t *part = find(core, row->service, row->part);
    gboolean blocked = part != NULL && is_blocked(core, part);
    if (!blocked && is_explained(core, crash.id)) {
        return;
    }
    part = find_or_add(core, row->service, row->part);
    if (part != NULL && is_separate(part, &crash)) {
        add_crash(core, part, &crash);
    }
}

void
cq_quarantine_apply(cq_core_t *core, const cq_ev_parts_t *event)
{
    for (guint i = 0; i < event->len; i++) {
        const cq_part_report_t *row = &event->rows[i];
        if (row->kind == CQ_PART_ANSWERED) {
            clear_part(core, find(core, row->service, row->part));
            note_answered(core, key_of(row->service, row->part));
            continue;
        }
        apply_crash(core, row);
    }
}

void
cq_quarantine_list(const cq_core_t *core, GArray *reports)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->quarantine->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const part_t *part = value;
        for (guint i = 0; i < part->crashes_len; i++) {
            cq_part_report_t row = report_of_crash(core, part, i);
            if (reports->len < CQ_PART_REPORTS_MAX) {
                g_array_append_val(reports, row);
            }
        }
    }
}

void
cq_quarantine_enforce(cq_core_t *core)
{
    if (!core->quarantine->enforce_due) {
        return;
    }
    core->quarantine->enforce_due = FALSE;
    cq_list_t *link = core->requests.next;
    while (link != &core->requests) {
        cq_request_t *request = CQ_ENTRY(link, cq_request_t, link);
        link = link->next;
        /* An answer that is being written shows that its parts are sound. */
        gboolean writes = request->upstream != NULL &&
                          request->forwarded > request->forwarded_at_start;
        if (!writes && cq_quarantine_blocks(core, request)) {
            cq_answer_outcome(core, request, CQ_OUTCOME_PART_BLOCKED);
        }
    }
}

void
cq_quarantine_sweep(cq_core_t *core)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->quarantine->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const part_t *part = value;
        gint64 keep_us = part->blocked_us > 0
                             ? 2 * blocked_until_us(part) - last_crash_us(part)
                             : last_crash_us(part) + SUSPECT_KEEP_US;
        if (core->now_us > keep_us) {
            if (part->blocked_us > 0 && sends_trials(core, part)) {
                write_record(core, part, FALSE);
            }
            g_hash_table_iter_remove(&iter);
        }
    }
}
