#!/bin/bash
# Prints requests a second and latency of one entry host, beside direct calls
# to the stand-in, in one run. It asserts nothing about time.
BUILD=${1:-build}
CALLS=${2:-3000}
. tests/proc/fleet.sh
start_fleet

measure() {
    local name=$1 url=$2 parallel
    for parallel in 1 16; do
        printf '%s parallel=%s ' "$name" $parallel
        "$BUILD/tests/standin" load --url "$url" --calls "$CALLS" --parallel $parallel ||
            fail "a call failed"
    done
}

measure direct "http://127.0.0.1:$P1/seats/1"
measure routed "http://127.0.0.1:$A/s/reservas/seats/1"
before=$(awk '{ print $14 + $15 }' /proc/$PID_a/stat)
sleep 10
after=$(awk '{ print $14 + $15 }' /proc/$PID_a/stat)
say "idle: $(((after - before) * 10)) ms of processor in 10 s, $(awk '/VmRSS/ { print $2 }' /proc/$PID_a/status) kB resident"
first=$(count $A control_bytes_total)
sleep 10
say "control: $((($(count $A control_bytes_total) - first) / 10)) bytes/s of payload"
