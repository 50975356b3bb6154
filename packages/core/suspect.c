#include "core/suspect.h"

#include "core/place.h"

/* Connections that end within this time of each other count as one crash: a
 * fault of the network breaks those of many upstreams at once. */
#define CRASH_SPACING_US (20 * CQ_MS_US)
/* How long an answer on a part counts; it is forgotten within twice this time.
 */
#define ANSWERED_KEEP_US (60 * CQ_SECOND_US)
#define ANSWERED_PARTS_MAX 4096
/* How long a part that was never blocked is remembered after its last crash.
 */
#define SUSPECT_KEEP_US (60 * CQ_SECOND_US)
/* How long a part is blocked after its last crash, at first and at most; it
 * doubles each time that it is blocked again. */
#define BLOCK_MIN_US (600 * CQ_SECOND_US)
#define BLOCK_DOUBLINGS_MAX 6
/* Time without a crash before a trial, which is multiplied by TRIAL_FACTOR
 * after each trial that crashed. */
#define TRIAL_DELAY_US (30 * CQ_SECOND_US)
#define TRIAL_FACTOR 4
#define PARTS_MAX 2048
/* A crash this long after a part was blocked was that of a trial; earlier ones
 * were on their way when it was blocked. */
#define TRIAL_CRASH_AFTER_US (10 * CQ_SECOND_US)

static GHashTable *
new_key_set(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static guint64
key_of(guint64 service, guint64 id)
{
    return cq_place_mix(id ^ cq_place_mix(service));
}

static void
remove_crash(cq_suspect_t *suspect, guint64 crash)
{
    for (guint i = 0; i < suspect->crashes_len; i++) {
        if (suspect->crashes[i].id == crash) {
            suspect->crashes[i] = suspect->crashes[--suspect->crashes_len];
            return;
        }
    }
}

/* Whether @suspect is forgotten before @other: a caller that sends many
 * requests which crash once each must not hide one that crashes again and
 * again. */
static gboolean
goes_first(const cq_suspect_t *suspect, const cq_suspect_t *other)
{
    if (suspect->crashes_len != other->crashes_len) {
        return suspect->crashes_len < other->crashes_len;
    }
    return cq_suspect_last_crash_us(suspect) < cq_suspect_last_crash_us(other);
}

/* Removes one of those that were never blocked. */
static void
make_room(cq_suspects_t *suspects)
{
    const cq_suspect_t *first = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, suspects->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const cq_suspect_t *suspect = value;
        if (suspect->blocked_us == 0 &&
            (first == NULL || goes_first(suspect, first))) {
            first = suspect;
        }
    }
    if (first != NULL) {
        cq_suspects_remove(suspects, first);
    }
}

void
cq_suspects_init(cq_suspects_t *suspects)
{
    suspects->parts =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    suspects->answered[0] = new_key_set();
    suspects->answered[1] = new_key_set();
}

void
cq_suspects_clear(cq_suspects_t *suspects)
{
    g_hash_table_unref(suspects->parts);
    g_hash_table_unref(suspects->answered[0]);
    g_hash_table_unref(suspects->answered[1]);
}

cq_suspect_t *
cq_suspects_find(const cq_suspects_t *suspects, guint64 service, guint64 id)
{
    guint64 key = key_of(service, id);
    return g_hash_table_lookup(suspects->parts, &key);
}

cq_suspect_t *
cq_suspects_find_or_add(cq_suspects_t *suspects, guint64 service, guint64 id,
                        gboolean whole)
{
    cq_suspect_t *suspect = cq_suspects_find(suspects, service, id);
    if (suspect != NULL) {
        return suspect;
    }
    if (g_hash_table_size(suspects->parts) >= PARTS_MAX) {
        make_room(suspects);
    }
    if (g_hash_table_size(suspects->parts) >= PARTS_MAX) {
        return NULL;
    }
    suspect = g_new0(cq_suspect_t, 1);
    suspect->key = key_of(service, id);
    suspect->service = service;
    suspect->id = id;
    suspect->whole = whole;
    g_hash_table_insert(suspects->parts, &suspect->key, suspect);
    return suspect;
}

void
cq_suspects_remove(cq_suspects_t *suspects, const cq_suspect_t *suspect)
{
    g_hash_table_remove(suspects->parts, &suspect->key);
}

void
cq_suspects_note_answered(cq_suspects_t *suspects, guint64 service, guint64 id,
                          gint64 now_us)
{
    guint64 key = key_of(service, id);
    GHashTable *newer = suspects->answered[0];
    if (now_us - suspects->answered_since_us > ANSWERED_KEEP_US ||
        g_hash_table_size(newer) >= ANSWERED_PARTS_MAX) {
        g_hash_table_unref(suspects->answered[1]);
        suspects->answered[1] = newer;
        suspects->answered[0] = new_key_set();
        suspects->answered_since_us = now_us;
    }
    if (!g_hash_table_contains(suspects->answered[0], &key)) {
        g_hash_table_add(suspects->answered[0], g_memdup2(&key, sizeof key));
    }
}

gboolean
cq_suspects_was_answered(const cq_suspects_t *suspects,
                         const cq_suspect_t *suspect)
{
    return g_hash_table_contains(suspects->answered[0], &suspect->key) ||
           g_hash_table_contains(suspects->answered[1], &suspect->key);
}

gboolean
cq_suspects_is_explained(const cq_suspects_t *suspects, guint64 crash,
                         gint64 now_us)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, suspects->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (cq_suspect_is_blocked(value, now_us) &&
            cq_suspect_crash(value, crash) != NULL) {
            return TRUE;
        }
    }
    return FALSE;
}

void
cq_suspects_explain(cq_suspects_t *suspects, const cq_suspect_t *cause)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, suspects->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        cq_suspect_t *suspect = value;
        if (suspect->blocked_us > 0 || suspect->whole) {
            continue;
        }
        for (guint i = 0; i < cause->crashes_len; i++) {
            remove_crash(suspect, cause->crashes[i].id);
        }
        if (suspect->crashes_len == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

gboolean
cq_suspect_is_separate(const cq_suspect_t *suspect, const cq_crash_t *crash)
{
    for (guint i = 0; i < suspect->crashes_len; i++) {
        const cq_crash_t *known = &suspect->crashes[i];
        gint64 apart_us = ABS(known->at_us - crash->at_us);
        if (known->id == crash->id || apart_us < CRASH_SPACING_US) {
            return FALSE;
        }
    }
    return TRUE;
}

void
cq_suspect_add_crash(cq_suspect_t *suspect, const cq_crash_t *crash)
{
    guint slot = suspect->crashes_len;
    if (slot < CQ_PART_CRASHES_MAX) {
        suspect->crashes_len++;
    }
    else {
        slot = 0;
        for (guint i = 1; i < CQ_PART_CRASHES_MAX; i++) {
            if (suspect->crashes[i].at_us < suspect->crashes[slot].at_us) {
                slot = i;
            }
        }
    }
    suspect->crashes[slot] = *crash;
}

cq_crash_t *
cq_suspect_crash(cq_suspect_t *suspect, guint64 crash)
{
    for (guint i = 0; i < suspect->crashes_len; i++) {
        if (suspect->crashes[i].id == crash) {
            return &suspect->crashes[i];
        }
    }
    return NULL;
}

void
cq_suspect_remove_crash(cq_suspect_t *suspect, guint64 crash,
                        guint crashes_to_block)
{
    const cq_crash_t *known = cq_suspect_crash(suspect, crash);
    if (known == NULL) {
        return;
    }
    cq_crash_t removed = *known;
    remove_crash(suspect, crash);
    if (suspect->blocked_us == 0) {
        return;
    }
    if (cq_suspect_is_trial_crash(suspect, &removed) && suspect->trials > 0) {
        suspect->trials--;
    }
    gint64 last_us = cq_suspect_last_crash_us(suspect);
    if (suspect->crashes_len < crashes_to_block) {
        suspect->blocked_us = 0;
        suspect->blocked_by = 0;
        suspect->blocks = 0;
        suspect->trials = 0;
        suspect->trial_us = 0;
    }
    else if (suspect->blocked_by == crash && suspect->blocks > 1 &&
             last_us <= removed.at_us) {
        /* The block before this one ended without it. */
        suspect->blocked_us = last_us;
        suspect->blocked_by = 0;
        suspect->blocks--;
    }
}

gboolean
cq_suspect_is_trial_crash(const cq_suspect_t *suspect, const cq_crash_t *crash)
{
    return crash->at_us - suspect->blocked_us > TRIAL_CRASH_AFTER_US;
}

gboolean
cq_suspect_concerns_team(const cq_suspect_t *suspect, guint64 team)
{
    for (guint i = 0; i < suspect->crashes_len; i++) {
        guint64 accuser = suspect->crashes[i].team;
        if (accuser == team || accuser != suspect->crashes[0].team) {
            return TRUE;
        }
    }
    return FALSE;
}

gint64
cq_suspect_last_crash_us(const cq_suspect_t *suspect)
{
    gint64 last_us = G_MININT64 / 2;
    for (guint i = 0; i < suspect->crashes_len; i++) {
        last_us = MAX(last_us, suspect->crashes[i].at_us);
    }
    return last_us;
}

gint64
cq_suspect_blocked_until_us(const cq_suspect_t *suspect)
{
    gint64 block_us = BLOCK_MIN_US;
    for (guint i = 1; i < MIN(suspect->blocks, BLOCK_DOUBLINGS_MAX + 1); i++) {
        block_us *= 2;
    }
    return cq_suspect_last_crash_us(suspect) + block_us;
}

gboolean
cq_suspect_is_blocked(const cq_suspect_t *suspect, gint64 now_us)
{
    return suspect->blocked_us > 0 &&
           now_us < cq_suspect_blocked_until_us(suspect);
}

gint64
cq_suspect_trial_due_us(const cq_suspect_t *suspect)
{
    gint64 delay_us = TRIAL_DELAY_US;
    for (guint i = 0; i < suspect->trials; i++) {
        delay_us *= TRIAL_FACTOR;
    }
    return MAX(cq_suspect_last_crash_us(suspect), suspect->trial_us) +
           delay_us;
}

gint64
cq_suspect_expires_us(const cq_suspect_t *suspect)
{
    gint64 last_us = cq_suspect_last_crash_us(suspect);
    if (suspect->blocked_us == 0) {
        return last_us + SUSPECT_KEEP_US;
    }
    gint64 until_us = cq_suspect_blocked_until_us(suspect);
    return until_us + (until_us - last_us);
}
