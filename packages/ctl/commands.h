/**
 * DOC: commands
 *
 * The operator's commands. Each gets its parsed options and returns an exit
 * code: CQ_EXIT_DONE, CQ_EXIT_REFUSED, CQ_EXIT_USAGE or CQ_EXIT_UNREACHABLE.
 */
#ifndef CQ_COMMANDS_H
#define CQ_COMMANDS_H

#include <glib.h>

#include "base/error.h"

G_BEGIN_DECLS

/**
 * struct cq_ctl_options_t - options of every command
 * @log: address of the platform's log
 * @at: NULL-terminated operator addresses of processes
 * @json: print JSON
 * @args: NULL-terminated words after the command
 */
typedef struct {
    char *log;
    char **at;
    gboolean json;
    char **args;
} cq_ctl_options_t;

/** cq_ctl_check() - check service files */
int
cq_ctl_check(const cq_ctl_options_t *options);

/** cq_ctl_publish() - put service files in force, all or none */
int
cq_ctl_publish(const cq_ctl_options_t *options);

/** cq_ctl_config() - `show` the configuration in force, or its `history` */
int
cq_ctl_config(const cq_ctl_options_t *options);

/** cq_ctl_status() - print the state of processes */
int
cq_ctl_status(const cq_ctl_options_t *options);

/** cq_ctl_drain() - begin a planned stop */
int
cq_ctl_drain(const cq_ctl_options_t *options);

/** cq_ctl_timeline() - print the events of all processes in order */
int
cq_ctl_timeline(const cq_ctl_options_t *options);

/** cq_ctl_explain() - tell one request's story */
int
cq_ctl_explain(const cq_ctl_options_t *options);

/** cq_ctl_fail() - print @error; Return: its exit code */
int
cq_ctl_fail(const cq_error_t *error);

G_END_DECLS

#endif
