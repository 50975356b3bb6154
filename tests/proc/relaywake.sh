#!/bin/bash
# 500 callers connect within one second: each must be connected within 50 ms
# and get an answer.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
host_h p2
ANSWER=$("$BUILD/tests/fleetstandin" wake --listen 127.0.0.1:$PORT)
say "$ANSWER"
expect "answers to 500 callers" "$ANSWER" "*opened=500 answered=500 *"
slowest=$(printf '%s' "$ANSWER" | sed 's/.*slowest_ms=//')
[ "$slowest" -le 50 ] || fail "a connection took $slowest ms, wanted at most 50"
say "no connection took over 50 ms"
