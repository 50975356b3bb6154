/**
 * DOC: scn
 *
 * Scenarios in a small language of lines. A line is a command; `at TIME`
 * before it waits for that moment. `#` begins a comment.
 *
 *   world zones 3 hosts 4 engines 6 plains 3 seed 1
 *   at 2s ask r1 host 0 hold 7 timeout 8s
 *   at 2s ask r2 host 1 prompt 2000 answer 20
 *   at 2s ask r3 host 1 check | call
 *   at 2s ask r4 host 1 prompt 2000 output 20 (the caller does not say 20)
 *   at 3s kill|start host 1        at 3s freeze host 2 for 30s
 *   at 3s drain host 1 notice 1s limit 20s
 *   at 3s kill|start|leave upstream plain-0
 *   at 3s freeze upstream plain-0 for 2s
 *   at 3s silence host 0 upstream engine-1
 *   at 3s cut|join zone 0 zone 1|platform
 *   at 3s log down|up|truncate N   at 3s list down|up
 *   at 3s lose append answer       at 3s delay orders 20s
 *   at 3s publish modelo base 1 id b replicas 3 (of the model "big")
 *   at 9s ask r5 host 0 prompt 2000 answer 5 model big
 *   at 9s expect loaded big 3      at 9s expect loads 3 at most 2
 *   at 9s expect old 1 refused 1   (orders with an old fencing number)
 *   at 3s publish reservas base 1 id a
 *   at 9s expect request r1 code done ran yes
 *   at 9s expect open r2           at 9s expect runs 7 1
 *   at 9s expect ran r1 0          at 9s expect held 0
 *   at 9s expect version host 0 reservas 2
 *   at 9s expect arrivals plain-0 3
 *   at 9s expect id host 0 reservas a
 *   at 9s expect stopped|running host 1
 *   at 9s note arrivals plain-0    then: expect no more arrivals plain-0
 *
 * The output is the time line of all hosts and what was expected.
 */
#ifndef CQ_SCN_H
#define CQ_SCN_H

#include "base/error.h"

G_BEGIN_DECLS

/**
 * cq_scn_run() - run a scenario
 * @text: the scenario
 * @file: its name, for messages
 * @output: gets the time line
 * @error: gets CQ_ERROR_SYNTAX with the line, or CQ_ERROR_VALUE when an
 *   expectation failed
 *
 * Return: whether every expectation held.
 */
gboolean
cq_scn_run(const char *text, const char *file, GString *output,
           cq_error_t *error);

G_END_DECLS

#endif
