/**
 * DOC: fleet
 *
 * Stand-ins for the users' platform: its store, and upstreams that speak its
 * protocol. Each is one mode of one program.
 */
#ifndef STANDIN_FLEET_H
#define STANDIN_FLEET_H

#include "server.h"

/**
 * struct fleet_options_t - command line
 * @listen_addr: `ip:port`
 * @name: id of an upstream
 * @log: replica: file that gets a line for each arrival
 */
typedef struct {
    char *listen_addr;
    char *name;
    char *log;
} fleet_options_t;

/** fleet_store() - serve as the store; FALSE when the address is taken */
gboolean
fleet_store(const fleet_options_t *options);

/** fleet_wake() - call the address as many callers at once; Return: FALSE, so
 * that the program ends */
gboolean
fleet_wake(const fleet_options_t *options);

/** fleet_replica() - serve as an upstream; FALSE when the address is taken */
gboolean
fleet_replica(const fleet_options_t *options);

#endif
