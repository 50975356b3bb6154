#!/bin/bash
# A call that crashes upstreams stays blocked when all hosts are killed and
# start again together.
BUILD=${1:-build}
. tests/proc/relaylib.sh
crashing_replicas 6
hosts_a_and_b p6
# poison PORT: sends the call to the host
poison() {
    PORT=$1
    ask /safe/ok --data-binary $POISON_BODY
}
# poison_arrivals: prints how often the call has reached an upstream
poison_arrivals() { grep -c "/safe/ok .*body=${#POISON_BODY}\$" "$ARRIVALS_FILE"; }
for i in 1 2 3 4; do
    poison "$PORT_A"
    poison "$PORT_B"
    sleep 0.1
done
wait_for_output "event=part_blocked" cat "$DIR/a.log"
wait_for_output "event=part_blocked" cat "$DIR/b.log"
expect "the call" "$ANSWER" '503 *"request_blocked"*"no"*'
kill -KILL "$PID_a" "$PID_b"
sleep 2
before=$(poison_arrivals)
[ "$before" -ge 3 ] || fail "the call reached an upstream $before times before the restart"
: >"$DIR/a.log"
: >"$DIR/b.log"
hosts_a_and_b p6
for i in 1 2 3 4; do
    poison "$PORT_A"
    poison "$PORT_B"
done
expect "how often it reaches an upstream after the restart" "$(($(poison_arrivals) - before))" 0
PORT=$PORT_A
expect_ask "another call" "200 *" /safe/ok --data-binary sound
