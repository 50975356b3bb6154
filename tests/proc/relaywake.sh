#!/bin/bash
# 500 callers connect within one second: none of them waits over 50 ms for its
# connection, and all are answered.
BUILD=${1:-build}
. tests/proc/relaylib.sh
PORT=$((BASE + 10))
two_replicas
relay h "$PORT"
wait_for "http://127.0.0.1:$((PORT + 1))/readyz"
wait_until "name=p2" cat "$DIR/h.log"
OUT=$("$BUILD/tests/fleetstandin" wake --listen 127.0.0.1:$PORT)
say "$OUT"
expect "answers" "$OUT" "*opened=500 answered=500 *"
slowest=$(printf '%s' "$OUT" | sed 's/.*slowest_ms=//')
[ "$slowest" -le 50 ] || fail "a caller waited $slowest ms for its connection"
say "no connection waited over 50 ms"
