/**
 * DOC: fleet
 *
 * Test program `fleetstandin`: small replacements for the store of the users'
 * platform and for an upstream that speaks the platform's own protocol, the
 * links between an entry host and its upstreams, which can be cut, and
 * callers. The first argument selects the mode.
 */
#ifndef STANDIN_FLEET_H
#define STANDIN_FLEET_H

#include "server.h"

/**
 * struct fleet_options_t - command line
 * @listen_addr: `ip:port` to serve at; in mode wake, to connect to; callers:
 *   `ip:port` of each entry host, separated by commas
 * @name: replica: id of the upstream; links: IP address at which the host
 *   reaches the upstreams; callers: what attempt ids begin with
 * @log: replica: file that gets a line for each request received; callers: for
 *   each request sent
 * @crash_part: replica: id of a part; the program exits when it begins to
 *   write a stream on a prompt in which this is not the last part
 * @crash_body: replica: body of the requests under which the program exits
 * @also: store: further addresses to serve at, separated by commas; upstreams
 *   have their IP address in the records there
 * @ports: links: ports of the upstreams, separated by commas
 * @kinds: callers: paths of the requests sent at the same moment to each host,
 *   separated by commas; `+` before a path means POST
 * @body: callers: body of the POST requests; NULL: each has its own
 * @key: callers: key of the requests; NULL: that of the tests' configuration
 * @field: callers: a header line that each request has; NULL: none
 * @every_ms: callers: time between two such moments; slow: between two reads
 * of a caller, 0: it reads nothing
 * @count: slow: number of callers
 * @for_ms: callers: time after which no more are sent
 */
typedef struct {
    char *listen_addr;
    char *name;
    char *log;
    char *crash_part;
    char *crash_body;
    char *also;
    char *ports;
    char *kinds;
    char *body;
    char *key;
    char *field;
    int every_ms;
    int count;
    int for_ms;
} fleet_options_t;

/** fleet_store() - serve as the store; Return: FALSE when it can't listen */
gboolean
fleet_store(const fleet_options_t *options);

/** fleet_connect_burst() - make many connections within one second and print
 * the longest connect time; Return: FALSE, so that the program ends */
gboolean
fleet_connect_burst(const fleet_options_t *options);

/** fleet_links() - forward an entry host's connections to upstreams, until
 * they are cut; Return: FALSE when it can't listen */
gboolean
fleet_links(const fleet_options_t *options);

/** fleet_callers() - send requests to entry hosts at a constant rate, one try
 * each; Return: FALSE, so that the program ends */
gboolean
fleet_callers(const fleet_options_t *options);

/** fleet_slow_callers() - send many requests and read the answers slowly;
 * Return: FALSE when the address is invalid */
gboolean
fleet_slow_callers(const fleet_options_t *options);

/** fleet_replica() - serve as an upstream; Return: FALSE when it can't listen
 * or open its log */
gboolean
fleet_replica(const fleet_options_t *options);

#endif
