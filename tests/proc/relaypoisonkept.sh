#!/bin/bash
# A part of prompts that crashes upstreams stays blocked when all hosts are
# killed and start again together.
BUILD=${1:-build}
. tests/proc/relaylib.sh
crashing_replicas 6
hosts_a_and_b p6
# poison PORT: sends a request with the part to the host
poison() {
    PORT=$1
    ask "/stream/ok?n=6" -H "Cuminquay-Prefix-Hash: 5c1e07a2:40,$POISON:20,e$REQUEST_NUMBER:900"
}
for i in 1 2 3 4; do
    poison "$PORT_A"
    poison "$PORT_B"
    sleep 0.1
done
wait_for_output "event=part_blocked.*part=$POISON" cat "$DIR/a.log"
wait_for_output "event=part_blocked.*part=$POISON" cat "$DIR/b.log"
expect "a request with the part" "$ANSWER" '503 *"prompt_part_blocked"*"no"*'
kill -KILL "$PID_a" "$PID_b"
sleep 2
before=$(grep -c "parts=.*$POISON" "$ARRIVALS_FILE")
: >"$DIR/a.log"
: >"$DIR/b.log"
hosts_a_and_b p6
for i in 1 2 3 4; do
    poison "$PORT_A"
    poison "$PORT_B"
done
expect "requests with the part that reach an upstream after the restart" "$(($(grep -c "parts=.*$POISON" "$ARRIVALS_FILE") - before))" 0
PORT=$PORT_A
expect_ask "a request without it" "200 *" "/stream/ok?n=2" -H "Cuminquay-Prefix-Hash: 5c1e07a2:40,e1:900"
