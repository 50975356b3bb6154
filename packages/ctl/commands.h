/**
 * DOC: commands
 *
 * The commands of cuminquayctl, the operator's command-line tool. Each gets
 * the parsed options, prints its result to standard output and errors to
 * standard error, and returns the exit code: CQ_EXIT_DONE, CQ_EXIT_REFUSED,
 * CQ_EXIT_USAGE or CQ_EXIT_UNREACHABLE.
 */
#ifndef CQ_COMMANDS_H
#define CQ_COMMANDS_H

#include <glib.h>

#include "base/error.h"

G_BEGIN_DECLS

/**
 * struct cq_ctl_options_t - options of every command
 * @log_addr: `ip:port` of the platform's log, or NULL
 * @store_addr: `ip:port` of the platform's store, or NULL
 * @fleet: the files are configurations of a fleet
 * @operator_addrs: NULL-terminated operator addresses (`ip:port`) of
 * processes, or NULL
 * @json: print JSON
 * @args: NULL-terminated arguments after the command's name
 */
typedef struct {
    char *log_addr;
    char *store_addr;
    gboolean fleet;
    char **operator_addrs;
    gboolean json;
    char **args;
} cq_ctl_options_t;

/**
 * cq_ctl_check_fleet() - check configurations of a fleet before they are sent
 * @options: @args are the names of the files; with @store_addr each is
 *   compared with the version in force there
 *
 * Return: CQ_EXIT_REFUSED if there is a finding other than a change,
 * CQ_EXIT_USAGE if hosts can't use a file at all.
 */
int
cq_ctl_check_fleet(const cq_ctl_options_t *options);

/** cq_ctl_diff() - the same, with the version in force */
int
cq_ctl_diff(const cq_ctl_options_t *options);

/** cq_ctl_check() - check service files without publishing them, or
 * configurations of a fleet if @fleet is set */
int
cq_ctl_check(const cq_ctl_options_t *options);

/**
 * cq_ctl_publish() - append service files to the log as new versions
 * @options: @log_addr is the log, @args are the names of the files
 *
 * Publishes nothing when a file is invalid. Publishes the files in order and
 * stops at the first that fails; the earlier ones stay published. Skips a
 * file whose text is already in force.
 *
 * Return: the exit code.
 */
int
cq_ctl_publish(const cq_ctl_options_t *options);

/** cq_ctl_config() - print the configuration in force (`show`) or every
 * configuration record in the log (`history`) */
int
cq_ctl_config(const cq_ctl_options_t *options);

/** cq_ctl_status() - print the status of each process in @options */
int
cq_ctl_status(const cq_ctl_options_t *options);

/** cq_ctl_drain() - begin a planned stop of each process in @options */
int
cq_ctl_drain(const cq_ctl_options_t *options);

/** cq_ctl_timeline() - print the recent events of all processes in @options,
 * in order of time */
int
cq_ctl_timeline(const cq_ctl_options_t *options);

/** cq_ctl_explain() - print the events of one request, in order of time */
int
cq_ctl_explain(const cq_ctl_options_t *options);

/** cq_ctl_fail() - print @error to standard error; Return: its exit code */
int
cq_ctl_fail(const cq_error_t *error);

G_END_DECLS

#endif
