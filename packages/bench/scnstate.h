/**
 * DOC: scnstate
 *
 * The scenario runner's state and its reading of words. Private to the
 * package.
 */
#ifndef CQ_SCNSTATE_H
#define CQ_SCNSTATE_H

#include "base/error.h"
#include "bench/sim.h"

#define CQ_SCN_NAME_BYTES 32

/**
 * struct cq_scn_named_t - a request of the scenario
 * @wanted: tokens of a whole answer
 */
typedef struct {
    char name[CQ_SCN_NAME_BYTES];
    char model[CQ_SCN_NAME_BYTES];
    guint64 id;
    gboolean answered;
    gboolean lost;
    cq_ac_answer_t answer;
    gint64 tokens;
    gint64 wanted;
} cq_scn_named_t;

/**
 * struct cq_scn_t - a running scenario
 * @read: by host: events of its time line already in @output
 * @noted: by upstream: arrivals at the last note
 */
typedef struct {
    const char *file;
    GScanner *scanner;
    GString *output;
    cq_error_t *error;
    cq_sim_t *sim;
    GPtrArray *requests;
    guint64 read[CQ_SIM_HOSTS_MAX];
    guint64 noted[CQ_SIM_UPSTREAMS_MAX];
    guint hosts;
    guint upstreams;
} cq_scn_t;

/**
 * struct cq_scn_command_t - a word and what it does
 */
typedef struct {
    const char *name;
    gboolean (*run)(cq_scn_t *scn);
} cq_scn_command_t;

/** cq_scn_fail() - record an error with file and line; Return: FALSE */
gboolean
cq_scn_fail(cq_scn_t *scn, cq_error_kind_t kind, const char *what);

/** cq_scn_word() - read the next word of the line */
gboolean
cq_scn_word(cq_scn_t *scn, char word[CQ_SCN_NAME_BYTES]);

/** cq_scn_skip() - read the word @expected */
gboolean
cq_scn_skip(cq_scn_t *scn, const char *expected);

/** cq_scn_number() - read a whole number */
gboolean
cq_scn_number(cq_scn_t *scn, guint64 *number);

/** cq_scn_time() - read a time with its unit */
gboolean
cq_scn_time(cq_scn_t *scn, gint64 *us);

/** cq_scn_host() - read the number of a host */
gboolean
cq_scn_host(cq_scn_t *scn, guint *host);

/** cq_scn_upstream() - read the name of an upstream */
gboolean
cq_scn_upstream(cq_scn_t *scn, guint *upstream);

/** cq_scn_zone() - read `zone N` or `platform` */
gboolean
cq_scn_zone(cq_scn_t *scn, guint *zone);

/** cq_scn_more() - Return: whether the line has another word */
gboolean
cq_scn_more(cq_scn_t *scn);

/** cq_scn_harvest() - append the hosts' new events to the output */
void
cq_scn_harvest(cq_scn_t *scn);

/** cq_scn_dispatch() - read a word and run its command */
gboolean
cq_scn_dispatch(cq_scn_t *scn, const cq_scn_command_t *commands, guint len);

/** cq_scn_command() - run the command that the line names */
gboolean
cq_scn_command(cq_scn_t *scn);

/** cq_scn_expect() - read what is expected and compare */
gboolean
cq_scn_expect(cq_scn_t *scn);

#endif
