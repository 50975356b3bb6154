#!/bin/bash
# The log keeps only the newest 200 records and more are written. Checkpoints
# must keep the configuration in the log, so that cuminquayctl and an entry
# host that starts later find it there without peers.
BUILD=${1:-build}
. tests/proc/fleet.sh
RETAIN=200
start_fleet

for i in $(seq 220); do hold $PORT_A "r$i" >/dev/null; done
first=$(curl -s "http://$LOG_ADDR/bounds" | sed 's/.*"first":\([0-9]*\).*/\1/')
[ "$first" -gt 100 ] || fail "no record has expired, or too few: the first is $first, wanted over 100"
say "the first record that the log keeps is $first"
"$BUILD/cuminquayctl" config --log "$LOG_ADDR" show >"$DIR/shown"
grep -q "reservas version 1" "$DIR/shown" || fail "the log has lost the configuration"
say "the configuration is still in the log"

# Start a host without peers: the host list names none, and no seed is set.
kill -TERM $PID_a $PID_b
wait $PID_a $PID_b
HOST_ROWS=""
add_host_row plain-1 $PORT_PLAIN1 valle-a reservas
post_host_list
entry c valle-a $((BASE + 50))
wait_for_output "peers_heard=0 services=2" "$BUILD/cuminquayctl" status --at 127.0.0.1:$((BASE + 51))
say "a host that starts late has the configuration"
