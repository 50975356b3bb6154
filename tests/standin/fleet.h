/**
 * DOC: fleet
 *
 * Test program `fleetstandin`: small replacements for the store of the users'
 * platform and for an upstream that speaks the platform's own protocol, and
 * callers that all connect within one second. The first argument selects the
 * mode.
 */
#ifndef STANDIN_FLEET_H
#define STANDIN_FLEET_H

#include "server.h"

/**
 * struct fleet_options_t - command line
 * @listen_addr: `ip:port` to serve at; in mode wake, to connect to
 * @name: replica: id of the upstream
 * @log: replica: file that gets a line for each request received
 * @crash_part: replica: id of a part; the program exits when it begins to
 *   write a stream on a prompt in which this is not the last part
 * @crash_body: replica: body of the requests under which the program exits
 */
typedef struct {
    char *listen_addr;
    char *name;
    char *log;
    char *crash_part;
    char *crash_body;
} fleet_options_t;

/** fleet_store() - serve as the store; Return: FALSE when it can't listen */
gboolean
fleet_store(const fleet_options_t *options);

/** fleet_connect_burst() - make many connections within one second and print
 * the longest connect time; Return: FALSE, so that the program ends */
gboolean
fleet_connect_burst(const fleet_options_t *options);

/** fleet_replica() - serve as an upstream; Return: FALSE when it can't listen
 * or open its log */
gboolean
fleet_replica(const fleet_options_t *options);

#endif
