/**
 * DOC: scnstate
 *
 * The scenario runner's state and its parser. Private to the package.
 *
 * Except for cq_scn_has_word(), functions that return gboolean return FALSE
 * to end the scenario, after setting the error. A failed expectation sets the
 * error but returns TRUE, so that the scenario goes on.
 */
#ifndef CQ_SCNSTATE_H
#define CQ_SCNSTATE_H

#include "base/error.h"
#include "bench/sim.h"

#define CQ_SCN_NAME_BYTES 32

/**
 * struct cq_scn_request_t - a request of the scenario
 * @name: its name in the scenario
 * @model: model that it names, or ""
 * @id: its id, 0 if the host was down
 * @answered: it has its final answer, @answer
 * @lost: its entry host died or was down
 * @tokens: tokens received
 * @expected_tokens: tokens of the complete answer
 */
typedef struct {
    char name[CQ_SCN_NAME_BYTES];
    char model[CQ_SCN_NAME_BYTES];
    guint64 id;
    gboolean answered;
    gboolean lost;
    cq_ac_answer_t answer;
    gint64 tokens;
    gint64 expected_tokens;
} cq_scn_request_t;

/**
 * struct cq_scn_t - a running scenario
 * @file: its file name, for messages
 * @sim: the deployment; NULL until the `world` line
 * @requests: cq_scn_request_t by tag; owned
 * @events_read: by host: events of its log that are in @output
 * @noted_arrivals: by upstream: arrivals at its latest `note`
 * @hosts: number of hosts
 * @upstreams: number of upstreams
 */
typedef struct {
    const char *file;
    GScanner *scanner;
    GString *output;
    cq_error_t *error;
    cq_sim_t *sim;
    GPtrArray *requests;
    guint64 events_read[CQ_SIM_HOSTS_MAX];
    guint64 noted_arrivals[CQ_SIM_UPSTREAMS_MAX];
    guint hosts;
    guint upstreams;
} cq_scn_t;

/**
 * struct cq_scn_command_t - a command's name and its function
 */
typedef struct {
    const char *name;
    gboolean (*run)(cq_scn_t *scn);
} cq_scn_command_t;

/** cq_scn_fail() - set the error to @what with file and line; Return: FALSE */
gboolean
cq_scn_fail(cq_scn_t *scn, cq_error_kind_t kind, const char *what);

/** cq_scn_word() - read the next word of the line */
gboolean
cq_scn_word(cq_scn_t *scn, char word[CQ_SCN_NAME_BYTES]);

/** cq_scn_literal() - read the next word, which must be @expected */
gboolean
cq_scn_literal(cq_scn_t *scn, const char *expected);

/** cq_scn_number() - read an integer that is not negative */
gboolean
cq_scn_number(cq_scn_t *scn, guint64 *number);

/** cq_scn_time() - read a time in s or ms */
gboolean
cq_scn_time(cq_scn_t *scn, gint64 *us);

/** cq_scn_host() - read the index of a host */
gboolean
cq_scn_host(cq_scn_t *scn, guint *host);

/** cq_scn_upstream() - read the name of an upstream; @upstream is set to its
 * index */
gboolean
cq_scn_upstream(cq_scn_t *scn, guint *upstream);

/** cq_scn_zone() - read `zone N` or `platform`; @zone is set as for
 * cq_sim_cut(). Returns FALSE without an error if N is too high */
gboolean
cq_scn_zone(cq_scn_t *scn, guint *zone);

/** cq_scn_has_word() - Return: whether the line has another word */
gboolean
cq_scn_has_word(cq_scn_t *scn);

/** cq_scn_append_events() - append the hosts' new log events to the output */
void
cq_scn_append_events(cq_scn_t *scn);

/** cq_scn_dispatch() - read a word and run the command of that name */
gboolean
cq_scn_dispatch(cq_scn_t *scn, const cq_scn_command_t *commands, guint len);

/** cq_scn_command() - read and run a command */
gboolean
cq_scn_command(cq_scn_t *scn);

/** cq_scn_expect() - read an expectation and compare it with the state */
gboolean
cq_scn_expect(cq_scn_t *scn);

#endif
