#!/bin/bash
# Prints requests per second and latency of calls through an entry host and,
# for comparison, of direct calls to the test service; then the CPU time,
# memory and control traffic of an idle host. The script checks no time
# limits.
BUILD=${1:-build}
CALLS=${2:-3000}
. tests/proc/fleet.sh
start_fleet

# measure NAME URL: prints the figures for 1 and for 16 calls at a time
measure() {
    local name=$1 url=$2 parallel
    for parallel in 1 16; do
        printf '%s parallel=%s ' "$name" $parallel
        "$BUILD/tests/standin" load --url "$url" --calls "$CALLS" --parallel $parallel ||
            fail "a call failed"
    done
}

measure direct "http://127.0.0.1:$PORT_PLAIN1/seats/1"
measure routed "http://127.0.0.1:$PORT_A/s/reservas/seats/1"
before=$(awk '{ print $14 + $15 }' /proc/$PID_a/stat)
sleep 10
after=$(awk '{ print $14 + $15 }' /proc/$PID_a/stat)
say "idle: $(((after - before) * 10)) ms of CPU time in 10 s, $(awk '/VmRSS/ { print $2 }' /proc/$PID_a/status) kB resident"
first=$(count $PORT_A control_bytes_total)
sleep 10
say "control: $((($(count $PORT_A control_bytes_total) - first) / 10)) bytes/s of payload"
