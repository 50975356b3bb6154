/**
 * DOC: suspect
 *
 * The table of parts of prompts, and of whole requests by their fingerprints,
 * that crashes of upstreams accuse, and of parts on which answers were written
 * a short time ago. Both are bounded, since callers choose what they send.
 */
#ifndef CQ_SUSPECT_H
#define CQ_SUSPECT_H

#include <glib.h>

#include "base/limits.h"

G_BEGIN_DECLS

/**
 * struct cq_crash_t - a crash of an upstream
 * @id: hash of the upstream and its incarnation
 * @team: hash of the name of the team whose request it broke
 * @at_us: when
 * @own: this host saw it too, and hasn't taken that back
 */
typedef struct {
    guint64 id;
    guint64 team;
    gint64 at_us;
    gboolean own;
} cq_crash_t;

/**
 * struct cq_suspect_t - a part, or a whole request, that crashes accuse
 * @key: hash of @service and @id
 * @service: hash of the service's name
 * @id: the part's id, or the request's fingerprint
 * @whole: it is a whole request
 * @crashes: the newest of them
 * @crashes_len: number of @crashes
 * @blocked_us: when it was blocked last, or 0
 * @blocked_by: the crash that blocked it last
 * @blocks: how often it was blocked
 * @trials: trials that have crashed since it was blocked
 * @trial_us: when this host last sent a trial, or 0
 */
typedef struct {
    guint64 key;
    guint64 service;
    guint64 id;
    gboolean whole;
    cq_crash_t crashes[CQ_PART_CRASHES_MAX];
    guint crashes_len;
    gint64 blocked_us;
    guint64 blocked_by;
    guint blocks;
    guint trials;
    gint64 trial_us;
} cq_suspect_t;

/**
 * struct cq_suspects_t - the table
 * @parts: key to cq_suspect_t*
 * @answered: keys of parts with recent answers: the newer and the older ones
 * @answered_since_us: when the newer set was begun
 */
typedef struct {
    GHashTable *parts;
    GHashTable *answered[2];
    gint64 answered_since_us;
} cq_suspects_t;

/** cq_suspects_init() - make @suspects empty */
void
cq_suspects_init(cq_suspects_t *suspects);

/** cq_suspects_clear() - free what @suspects holds */
void
cq_suspects_clear(cq_suspects_t *suspects);

/** cq_suspects_find() - Return: the suspect, or NULL */
cq_suspect_t *
cq_suspects_find(const cq_suspects_t *suspects, guint64 service, guint64 id);

/** cq_suspects_find_or_add() - Return: the suspect, which is added if it is
 * new; NULL if the table is full of blocked ones */
cq_suspect_t *
cq_suspects_find_or_add(cq_suspects_t *suspects, guint64 service, guint64 id,
                        gboolean whole);

/** cq_suspects_remove() - remove and free @suspect */
void
cq_suspects_remove(cq_suspects_t *suspects, const cq_suspect_t *suspect);

/** cq_suspects_note_answered() - note that an answer on the part has begun */
void
cq_suspects_note_answered(cq_suspects_t *suspects, guint64 service, guint64 id,
                          gint64 now_us);

/** cq_suspects_was_answered() - Return: whether an answer on @suspect began a
 * short time ago */
gboolean
cq_suspects_was_answered(const cq_suspects_t *suspects,
                         const cq_suspect_t *suspect);

/** cq_suspects_is_explained() - Return: whether a blocked part or request is
 * the cause of @crash, which then counts against no other part */
gboolean
cq_suspects_is_explained(const cq_suspects_t *suspects, guint64 crash,
                         gint64 now_us);

/** cq_suspects_explain() - no longer count the crashes of @cause, which is
 * blocked, against parts that are not. Whole requests keep theirs: of two that
 * were on the same upstreams, each may be the cause */
void
cq_suspects_explain(cq_suspects_t *suspects, const cq_suspect_t *cause);

/** cq_suspect_is_separate() - Return: whether @crash counts as another one
 * than those that are known */
gboolean
cq_suspect_is_separate(const cq_suspect_t *suspect, const cq_crash_t *crash);

/** cq_suspect_add_crash() - add @crash, in place of the oldest one if there is
 * no room */
void
cq_suspect_add_crash(cq_suspect_t *suspect, const cq_crash_t *crash);

/** cq_suspect_crash() - Return: the crash of @suspect with this id, or NULL */
cq_crash_t *
cq_suspect_crash(cq_suspect_t *suspect, guint64 crash);

/** cq_suspect_remove_crash() - remove the crash with this id, if it is known.
 * A suspect that was blocked only because of it, with fewer than
 * @crashes_to_block left, is as if it had not been blocked */
void
cq_suspect_remove_crash(cq_suspect_t *suspect, guint64 crash,
                        guint crashes_to_block);

/** cq_suspect_is_trial_crash() - Return: whether @crash was that of a trial of
 * @suspect, which is blocked */
gboolean
cq_suspect_is_trial_crash(const cq_suspect_t *suspect,
                          const cq_crash_t *crash);

/** cq_suspect_concerns_team() - Return: whether requests of @team, or of
 * several teams, accuse @suspect */
gboolean
cq_suspect_concerns_team(const cq_suspect_t *suspect, guint64 team);

/** cq_suspect_last_crash_us() - Return: when the newest crash was */
gint64
cq_suspect_last_crash_us(const cq_suspect_t *suspect);

/** cq_suspect_blocked_until_us() - Return: when the block of @suspect, which
 * was blocked, ends */
gint64
cq_suspect_blocked_until_us(const cq_suspect_t *suspect);

/** cq_suspect_is_blocked() - Return: whether @suspect is blocked at @now_us */
gboolean
cq_suspect_is_blocked(const cq_suspect_t *suspect, gint64 now_us);

/** cq_suspect_trial_due_us() - Return: when the next trial of @suspect, which
 * is blocked, may be sent */
gint64
cq_suspect_trial_due_us(const cq_suspect_t *suspect);

/** cq_suspect_expires_us() - Return: when @suspect is forgotten */
gint64
cq_suspect_expires_us(const cq_suspect_t *suspect);

G_END_DECLS

#endif
