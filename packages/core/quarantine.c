#include "core/quarantine.h"

#include "core/answer.h"
#include "core/hedge.h"
#include "core/member.h"
#include "core/place.h"
#include "core/reach.h"
#include "core/retraction.h"
#include "core/suspect.h"
#include "core/table.h"

/* Crashes after which a part is blocked; more for one on which answers were
 * written a short time ago. */
#define CRASHES_TO_BLOCK 3
#define CRASHES_TO_BLOCK_ANSWERED 6
/* An answer has begun with this many events. An upstream may crash with the
 * first ones on their way. */
#define BEGUN_EVENTS 3
#define TRIALS_MAX 5
/* A kept connection that ends sooner than this after the sending was stale: a
 * request that reaches an upstream takes longer to crash it. */
#define STALE_CONN_US (2 * CQ_MS_US)
/* Reports that this process sends in a second; crashes of many upstreams at
 * once give one for each part of each request on them. Retractions don't count
 * against it: they take back what was said before, at most all crashes of the
 * table once. */
#define REPORTS_PER_S 256

/*
 * enforce_due: a part was blocked since the last call of enforce
 * reports_left: reports that may still be sent in the current second
 */
struct cq_quarantine {
    cq_suspects_t suspects;
    cq_retractions_t retractions;
    gboolean enforce_due;
    guint reports_left;
    gint64 reports_since_us;
};

static cq_suspects_t *
suspects_of(const cq_core_t *core)
{
    return &core->quarantine->suspects;
}

static gboolean
is_whole(const cq_request_t *request, guint64 id)
{
    return id == request->fingerprint;
}

/* Return: the blocked part of @request or the blocked request itself, or NULL.
 */
static cq_suspect_t *
blocked_part(const cq_core_t *core, const cq_request_t *request)
{
    for (guint i = 0; i < request->suspects_len; i++) {
        cq_suspect_t *part = cq_suspects_find(
            suspects_of(core), request->service->id, request->suspects[i]);
        if (part != NULL && cq_suspect_is_blocked(part, core->now_us) &&
            cq_suspect_concerns_team(part, request->team_id)) {
            return part;
        }
    }
    return NULL;
}

/* Return: crashes after which @part is blocked for the first time. */
static guint
crashes_to_block_first(const cq_core_t *core, const cq_suspect_t *part)
{
    /* Sound prompts share a part; nothing sound is the same request. */
    if (part->whole) {
        return CRASHES_TO_BLOCK;
    }
    return cq_suspects_was_answered(suspects_of(core), part)
               ? CRASHES_TO_BLOCK_ANSWERED
               : CRASHES_TO_BLOCK;
}

static guint
crashes_to_block(const cq_core_t *core, const cq_suspect_t *part)
{
    return part->blocks > 0 ? 1 : crashes_to_block_first(core, part);
}

static void
block(cq_core_t *core, cq_suspect_t *part, guint64 by_crash)
{
    part->blocked_us = core->now_us;
    part->blocked_by = by_crash;
    part->blocks++;
    part->trials = 0;
    cq_counters_add(&core->counters, CQ_N_PARTS_BLOCKED, 1);
    cq_ring_add(&core->ring, core->now_us, 0, 0, "part_blocked",
                "part=%" G_GINT64_MODIFIER "x crashes=%u times=%u", part->id,
                part->crashes_len, part->blocks);
}

static void
add_crash(cq_core_t *core, cq_suspect_t *part, const cq_crash_t *crash)
{
    gboolean blocked = cq_suspect_is_blocked(part, core->now_us);
    cq_suspect_add_crash(part, crash);
    if (blocked && cq_suspect_is_trial_crash(part, crash)) {
        part->trials = MIN(part->trials + 1, TRIALS_MAX);
    }
    if (!blocked && part->crashes_len >= crashes_to_block(core, part)) {
        block(core, part, crash->id);
        blocked = TRUE;
    }
    if (blocked) {
        /* Further teams may be concerned. */
        core->quarantine->enforce_due = TRUE;
        cq_suspects_explain(suspects_of(core), part);
    }
}

static void
send_report(cq_core_t *core, cq_part_report_kind_t kind,
            const cq_suspect_t *part, const cq_crash_t *crash)
{
    cq_action_t action = {.kind = CQ_AC_PART};
    action.part.kind = kind;
    action.part.service = part->service;
    action.part.part = part->id;
    action.part.whole = part->whole;
    if (crash != NULL) {
        action.part.team = crash->team;
        action.part.crash = crash->id;
        action.part.age_us =
            kind == CQ_PART_RETRACTED ? 0 : core->now_us - crash->at_us;
    }
    cq_actions_add(core->actions, &action);
}

static void
report(cq_core_t *core, cq_part_report_kind_t kind, const cq_suspect_t *part,
       const cq_crash_t *crash)
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
    send_report(core, kind, part, crash);
}

static cq_part_report_t
report_of_crash(const cq_core_t *core, const cq_suspect_t *part, guint i)
{
    return (cq_part_report_t){
        .kind = CQ_PART_CRASHED,
        .service = part->service,
        .part = part->id,
        .whole = part->whole,
        .team = part->crashes[i].team,
        .crash = part->crashes[i].id,
        .age_us = core->now_us - part->crashes[i].at_us,
    };
}

/* Writes the record of a blocked part, which hosts that start read, or deletes
 * it. */
static void
write_record(cq_core_t *core, const cq_suspect_t *part, gboolean blocked)
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
       const cq_crash_t *crash)
{
    cq_suspect_t *part = cq_suspects_find_or_add(
        suspects_of(core), request->service->id, id, is_whole(request, id));
    cq_crash_t *known =
        part != NULL ? cq_suspect_crash(part, crash->id) : NULL;
    if (known != NULL) {
        known->own = TRUE;
    }
    else if (part != NULL && cq_suspect_is_separate(part, crash)) {
        report(core, CQ_PART_CRASHED, part, crash);
        add_crash(core, part, crash);
        if (cq_suspect_is_blocked(part, core->now_us)) {
            write_record(core, part, TRUE);
        }
    }
}

/* Earlier parts are shared by more requests. If none has been answered yet,
 * the last one is blocked first, and explains the crashes. */
static void
accuse_parts(cq_core_t *core, const cq_request_t *request,
             const cq_crash_t *crash)
{
    for (guint i = request->suspects_len; i > 0; i--) {
        guint64 id = request->suspects[i - 1];
        if (is_whole(request, id)) {
            continue;
        }
        if (cq_suspects_is_explained(suspects_of(core), crash->id,
                                     core->now_us)) {
            return;
        }
        accuse(core, request, id, crash);
    }
}

/* An answer has begun on a part, so it is innocent of the crashes so far.
 * @part is NULL if it is no suspect. */
static void
note_answered(cq_core_t *core, const cq_suspect_t *part, guint64 service,
              guint64 id)
{
    if (part != NULL && part->blocked_us > 0) {
        cq_ring_add(&core->ring, core->now_us, 0, 0, "part_cleared",
                    "part=%" G_GINT64_MODIFIER "x", id);
    }
    if (part != NULL) {
        cq_suspects_remove(suspects_of(core), part);
    }
    cq_suspects_note_answered(suspects_of(core), service, id, core->now_us);
}

/* Takes @crash of @part back. */
static void
remove_crash(cq_core_t *core, cq_suspect_t *part, guint64 crash)
{
    gboolean blocked = part->blocked_us > 0;
    cq_suspect_remove_crash(part, crash, crashes_to_block_first(core, part));
    if (blocked && part->blocked_us == 0) {
        cq_ring_add(&core->ring, core->now_us, 0, 0, "part_unblocked",
                    "part=%" G_GINT64_MODIFIER "x crashes=%u", part->id,
                    part->crashes_len);
    }
}

/* Return: how many were taken back. */
static guint
retract_own(cq_core_t *core, cq_suspect_t *part, gint64 since_us)
{
    guint count = 0;
    guint i = 0;
    while (i < part->crashes_len) {
        cq_crash_t crash = part->crashes[i];
        if (!crash.own || crash.at_us < since_us) {
            i++;
            continue;
        }
        /* The last crash moves to this place. */
        remove_crash(core, part, crash.id);
        send_report(core, CQ_PART_RETRACTED, part, &crash);
        cq_part_report_t row = {
            .service = part->service,
            .part = part->id,
            .whole = part->whole,
            .team = crash.team,
            .crash = crash.id,
        };
        cq_retractions_note(&core->quarantine->retractions, &row,
                            core->now_us);
        count++;
    }
    return count;
}

/* Hosts that saw the same end of an upstream give it the same id, and those
 * that hear of it can't tell how many saw it. So all remove it, and one that
 * saw it itself and stands by it keeps it and says so again. */
static void
apply_retraction(cq_core_t *core, const cq_part_report_t *row)
{
    cq_suspect_t *part =
        cq_suspects_find(suspects_of(core), row->service, row->part);
    const cq_crash_t *crash =
        part != NULL ? cq_suspect_crash(part, row->crash) : NULL;
    if (crash != NULL && crash->own) {
        report(core, CQ_PART_CONFIRMED, part, crash);
        return;
    }
    gint64 at_us = core->now_us - row->age_us;
    cq_retractions_note(&core->quarantine->retractions, row, at_us);
    if (crash == NULL || crash->at_us > at_us) {
        return;
    }
    gboolean blocked = part->blocked_us > 0;
    remove_crash(core, part, row->crash);
    /* Any host may have written the record. */
    if (blocked && cq_member_is_first(core, part->key)) {
        write_record(core, part, part->blocked_us > 0);
    }
    if (part->crashes_len == 0) {
        cq_suspects_remove(suspects_of(core), part);
    }
}

cq_quarantine_t *
cq_quarantine_new(void)
{
    cq_quarantine_t *quarantine = g_new0(cq_quarantine_t, 1);
    cq_suspects_init(&quarantine->suspects);
    cq_retractions_init(&quarantine->retractions);
    return quarantine;
}

void
cq_quarantine_free(cq_quarantine_t *quarantine)
{
    cq_suspects_clear(&quarantine->suspects);
    cq_retractions_clear(&quarantine->retractions);
    g_free(quarantine);
}

gboolean
cq_quarantine_blocks(const cq_core_t *core, const cq_request_t *request)
{
    return !request->is_trial && blocked_part(core, request) != NULL;
}

cq_outcome_t
cq_quarantine_outcome(const cq_core_t *core, const cq_request_t *request)
{
    const cq_suspect_t *part = blocked_part(core, request);
    return part != NULL && part->whole ? CQ_OUTCOME_REQUEST_BLOCKED
                                       : CQ_OUTCOME_PART_BLOCKED;
}

gboolean
cq_quarantine_admits_trial(cq_core_t *core, const cq_request_t *request)
{
    cq_suspect_t *part = blocked_part(core, request);
    if (part == NULL || core->now_us < cq_suspect_trial_due_us(part) ||
        !cq_member_is_first(core, part->key)) {
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
    const cq_suspect_t *part = blocked_part(core, request);
    if (part == NULL) {
        return CQ_RETRY_AFTER_MIN_US;
    }
    gint64 due_us =
        MIN(cq_suspect_trial_due_us(part), cq_suspect_blocked_until_us(part));
    return MAX(due_us - core->now_us, CQ_RETRY_AFTER_MIN_US);
}

void
cq_quarantine_crashed(cq_core_t *core, const cq_request_t *request,
                      gboolean on_kept_conn)
{
    if (on_kept_conn && core->now_us - request->progress_us < STALE_CONN_US) {
        cq_table_log_event(core, request, "stale", "upstream=%s",
                           request->upstream->name);
        return;
    }
    const cq_upstream_t *upstream = request->upstream;
    gint64 events = request->forwarded - request->forwarded_at_start;
    if (events >= BEGUN_EVENTS || request->suspects_len == 0 ||
        cq_reach_is_cut(core)) {
        return;
    }
    cq_crash_t crash = {
        .id = cq_place_mix(upstream->id ^ cq_place_mix(upstream->incarnation)),
        .team = request->team_id,
        .at_us = core->now_us,
        .own = TRUE,
    };
    const cq_suspect_t *known = blocked_part(core, request);
    if (known != NULL) {
        accuse(core, request, known->id, &crash);
    }
    else {
        accuse_parts(core, request, &crash);
    }
    if (request->fingerprint != 0 &&
        (known == NULL || known->id != request->fingerprint)) {
        accuse(core, request, request->fingerprint, &crash);
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
    guint64 service = request->service->id;
    for (guint i = 0; i < request->suspects_len; i++) {
        guint64 id = request->suspects[i];
        const cq_suspect_t *part =
            cq_suspects_find(suspects_of(core), service, id);
        if (part != NULL) {
            report(core, CQ_PART_ANSWERED, part, NULL);
        }
        if (part != NULL && part->blocked_us > 0) {
            write_record(core, part, FALSE);
        }
        if (part != NULL || !is_whole(request, id)) {
            note_answered(core, part, service, id);
        }
    }
}

static void
apply_crash(cq_core_t *core, const cq_part_report_t *row)
{
    cq_crash_t crash = {
        .id = row->crash,
        .team = row->team,
        .at_us = core->now_us - row->age_us,
    };
    cq_retractions_t *retractions = &core->quarantine->retractions;
    if (row->kind == CQ_PART_CRASHED &&
        cq_retractions_hold(retractions, row, crash.at_us)) {
        return;
    }
    cq_retractions_forget(retractions, row);
    cq_suspect_t *part =
        cq_suspects_find(suspects_of(core), row->service, row->part);
    gboolean blocked =
        part != NULL && cq_suspect_is_blocked(part, core->now_us);
    if (!blocked && !row->whole &&
        cq_suspects_is_explained(suspects_of(core), crash.id, core->now_us)) {
        return;
    }
    part = cq_suspects_find_or_add(suspects_of(core), row->service, row->part,
                                   row->whole);
    if (part != NULL && cq_suspect_is_separate(part, &crash)) {
        add_crash(core, part, &crash);
    }
}

void
cq_quarantine_apply(cq_core_t *core, const cq_ev_parts_t *event)
{
    for (guint i = 0; i < event->len; i++) {
        const cq_part_report_t *row = &event->rows[i];
        switch (row->kind) {
        case CQ_PART_CRASHED:
        case CQ_PART_CONFIRMED:
            apply_crash(core, row);
            break;
        case CQ_PART_ANSWERED:
            note_answered(
                core,
                cq_suspects_find(suspects_of(core), row->service, row->part),
                row->service, row->part);
            break;
        case CQ_PART_RETRACTED:
            apply_retraction(core, row);
            break;
        }
    }
}

/* Appends the crashes of the parts that are blocked, or of the others. */
static void
list_crashes(const cq_core_t *core, gboolean blocked, GArray *reports)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, suspects_of(core)->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const cq_suspect_t *part = value;
        if (cq_suspect_is_blocked(part, core->now_us) != blocked) {
            continue;
        }
        for (guint i = 0; i < part->crashes_len; i++) {
            cq_part_report_t row = report_of_crash(core, part, i);
            if (reports->len < CQ_PART_REPORTS_MAX) {
                g_array_append_val(reports, row);
            }
        }
    }
}

void
cq_quarantine_list(const cq_core_t *core, GArray *reports)
{
    list_crashes(core, TRUE, reports);
    cq_retractions_list(&core->quarantine->retractions, core->now_us, reports);
    list_crashes(core, FALSE, reports);
}

void
cq_quarantine_retract(cq_core_t *core, gint64 since_us)
{
    guint crashes = 0;
    guint parts = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, suspects_of(core)->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        cq_suspect_t *part = value;
        gboolean blocked = part->blocked_us > 0;
        guint count = retract_own(core, part, since_us);
        if (count > 0 && blocked) {
            write_record(core, part, part->blocked_us > 0);
        }
        if (part->crashes_len == 0) {
            g_hash_table_iter_remove(&iter);
        }
        crashes += count;
        parts += count > 0;
    }
    if (crashes > 0) {
        cq_ring_add(&core->ring, core->now_us, 0, 0, "crashes_retracted",
                    "parts=%u crashes=%u", parts, crashes);
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
        gint64 before = cq_hedge_active(request)
                            ? request->standby.forwarded_at_start
                            : request->forwarded_at_start;
        gboolean runs = request->phase == CQ_PHASE_RUNNING ||
                        request->phase == CQ_PHASE_HANDED;
        gboolean writes = runs && request->forwarded > before;
        if (!writes && cq_quarantine_blocks(core, request)) {
            cq_answer_outcome(core, request,
                              cq_quarantine_outcome(core, request));
        }
    }
}

void
cq_quarantine_sweep(cq_core_t *core)
{
    cq_retractions_sweep(&core->quarantine->retractions, core->now_us);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, suspects_of(core)->parts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const cq_suspect_t *part = value;
        if (core->now_us > cq_suspect_expires_us(part)) {
            if (part->blocked_us > 0 && cq_member_is_first(core, part->key)) {
                write_record(core, part, FALSE);
            }
            g_hash_table_iter_remove(&iter);
        }
    }
}
