/**
 * DOC: scn
 *
 * Runs scenario files: one command a line, optionally after `at TIME`, which
 * first advances the virtual time. `#` begins a comment. Examples of all
 * commands:
 *
 *   world zones 3 hosts 4 engines 6 plains 3 seed 1
 *   at 2s ask r1 host 0 hold 7 timeout 8s
 *   at 2s ask r2 host 1 prompt 2000 answer 20
 *   at 2s ask r3 host 1 check | call
 *   at 2s ask r4 host 1 prompt 2000 output 20 (sends no limit)
 *   at 3s kill|start host 1        at 3s freeze host 2 for 30s
 *   at 3s drain host 1 notice 1s limit 20s
 *   at 3s kill|start|leave upstream plain-0
 *   at 3s freeze upstream plain-0 for 2s
 *   at 3s silence host 0 upstream engine-1
 *   at 3s cut|join zone 0 zone 1|platform
 *   at 3s log down|up|truncate N   at 3s list down|up
 *   at 3s lose append answer       at 3s delay orders 20s
 *   at 3s publish modelo base 1 id b replicas 3
 *     (replicas of the model "big")
 *   at 9s ask r5 host 0 prompt 2000 answer 5 model big
 *   at 9s expect loaded big 3      at 9s expect loads 3 at most 2
 *   at 9s expect old 1 refused 1   (orders with a stale fencing number)
 *   at 3s publish reservas base 1 id a
 *   at 9s expect request r1 code done ran yes
 *   at 9s expect open r2           at 9s expect runs 7 1
 *   at 9s expect ran r1 0          at 9s expect held 0
 *   at 9s expect version host 0 reservas 2
 *   at 9s expect id host 0 reservas a
 *   at 9s expect stopped|running host 1
 *   at 9s note arrivals plain-0    then: expect no more arrivals plain-0
 *
 * `ask` sends a request: `hold N` sets idempotency key N, `check` makes a
 * plain call that may be repeated, `call` one that may not. `output N` is the
 * length of the answer; `answer N` also sends N as the limit on the answer.
 * `leave` marks an upstream as leaving; `silence` makes open connections
 * deliver nothing. `log truncate N` keeps the first N records. After
 * `lose append answer` the next append takes effect, but its reply is lost.
 * `delay orders` adds to the network delay of orders. For `drain` see
 * cq_sim_drain_host().
 *
 * `expect open` holds while there is no answer. `runs KEY N` and `ran REQUEST
 * N` compare how often a plain call ran, `held` the reserved KV memory in
 * tokens. `loaded MODEL N` compares how many engines have a model; `loads N at
 * most M` holds if N model loads were started so far, and at most M ran at the
 * same time.
 *
 * The output is the event log of all hosts, in order of time, with the result
 * of each `expect`.
 */
#ifndef CQ_SCN_H
#define CQ_SCN_H

#include "base/error.h"

G_BEGIN_DECLS

/**
 * cq_scn_run() - run a scenario
 * @text: the scenario
 * @file: its file name, for messages
 * @output: the event log is appended to it
 * @error: set to CQ_ERROR_SYNTAX with the line number, or to CQ_ERROR_VALUE
 *   if a name is unknown or an expectation failed
 *
 * Return: whether the scenario is valid and all expectations held.
 */
gboolean
cq_scn_run(const char *text, const char *file, GString *output,
           cq_error_t *error);

G_END_DECLS

#endif
