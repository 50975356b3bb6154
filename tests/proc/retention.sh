#!/bin/bash
# The log keeps 200 records only, and many more are written: checkpoints keep
# the configuration in it, so that an operator and a host that start late find
# it there, without peers.
BUILD=${1:-build}
. tests/proc/fleet.sh
RETAIN=200
start_fleet

for i in $(seq 220); do hold $A "r$i" >/dev/null; done
first=$(curl -s "http://$LOG/bounds" | sed 's/.*"first":\([0-9]*\).*/\1/')
[ "$first" -gt 100 ] || fail "no record has expired: first is $first"
say "the log begins at $first"
"$BUILD/cuminquayctl" config --log "$LOG" show >"$DIR/shown"
grep -q "reservas version 1" "$DIR/shown" || fail "the log has lost the configuration"
say "the log still has the configuration"

# Alone: the host list names no peer, and no seed is set.
kill -TERM $PID_a $PID_b
wait $PID_a $PID_b
ROWS=""
row plain-1 $P1 valle-a reservas
send_rows
entry c valle-a $((BASE + 50))
wait_until "peers_heard=0 services=2" "$BUILD/cuminquayctl" status --at 127.0.0.1:$((BASE + 51))
say "a host that starts late has it"
