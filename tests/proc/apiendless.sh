#!/bin/bash
# Upstreams that send, to a host with its own interface, bytes without end: a
# plain answer, an event of a stream, and a very long load report. The host cuts
# them off in bounded memory, and no caller gets a complete answer.
BUILD=${1:-build}
. tests/proc/fleet.sh
PLAIN_CALLERS=32
STREAMS=8
# Half of the memory of the smallest host, 260 MB.
PLAIN_GROWTH_MAX_KB=130000
GROWTH_MAX_KB=30000
REPORT_BYTES=60000000
# The address sanitizer keeps freed memory, which would count as the host's.
export ASAN_OPTIONS="${ASAN_OPTIONS:-}:quarantine_size_mb=1"
STEP_MS=20 start_fleet
# use_host NAME ZONE PORT: starts an entry host, which gets the requests that
# follow: it has no memory to reuse, and avoids no upstream yet
use_host() {
    PORT=$3
    SEEDS="\"127.0.0.1:$((PORT_A + 2))\"" entry "$1" "$2" "$PORT"
    eval "PID=\$PID_$1"
    wait_for_http "http://127.0.0.1:$((PORT + 1))/readyz"
    wait_for_output "upstreams=$4" "$BUILD/cuminquayctl" status --at 127.0.0.1:$((PORT + 1))
}
# memory: prints the resident memory of the host in kB
memory() { sed -n 's/^VmRSS:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$PID/status"; }
# watch_memory TENTHS: GROWN gets by how much the host's memory grows in that
# time, at its peak, in kB
watch_memory() {
    local i now before peak
    before=$(memory)
    peak=$before
    for i in $(seq "$1"); do
        now=$(memory)
        [ "$now" -le "$peak" ] || peak=$now
        sleep 0.1
    done
    GROWN=$((peak - before))
}
# ask_at_once CALLERS CURL-OPTION...: sends the request that often at once, and
# watches the host's memory meanwhile
ask_at_once() {
    local i callers="" count=$1
    shift
    : >"$DIR/statuses"
    for i in $(seq "$count"); do
        curl -s -m 5 -o /dev/null -w '%{http_code} %{exitcode}\n' "$@" >>"$DIR/statuses" &
        callers="$callers $!"
    done
    watch_memory 40
    wait $callers
}
# is_closed PORT...: has the host no open connection to these ports?
is_closed() {
    local port
    for port in "$@"; do
        ! tail -qn +2 /proc/net/tcp | awk -v to="$(printf '0100007F:%04X' "$port")" \
            '$3 == to && $4 == "01" { found = 1 } END { exit !found }' || return 1
    done
}
# wait_closed PORT...: waits until the host has closed its connections to them
wait_closed() {
    local i
    for i in $(seq 40); do
        is_closed "$@" && return 0
        sleep 0.1
    done
    fail "a connection to an upstream that sends without end stays open"
}
PORT_R1=$((BASE + 42)) PORT_R2=$((BASE + 43))
for port in $PORT_R1 $PORT_R2; do
    "$BUILD/tests/fleetstandin" replica --listen "127.0.0.1:$port" --name "p$port" --log "$DIR/arrivals" 2>>"$DIR/standin.log" &
    PIDS="$PIDS $!"
    add_host_row "p$port" $port valle-a reservas true
done
post_host_list
use_host c valle-a $((BASE + 50)) 6
for port in $PORT_ENGINE1 $PORT_ENGINE2; do fault $port endless_next=100; done
ask_at_once $STREAMS -N -H "$AUTH_MODEL" "http://127.0.0.1:$PORT/v1/completions" \
    -d '{"model":"cupos-1","prompt":"#e x","max_tokens":50,"stream":true}'
if grep -q '^200 0$' "$DIR/statuses"; then fail "a stream without an end was complete"; fi
[ "$GROWN" -le $GROWTH_MAX_KB ] || fail "$STREAMS streams took $GROWN kB, wanted at most $GROWTH_MAX_KB"
say "the memory of streams is bounded: $GROWN kB more"

head -c $REPORT_BYTES /dev/zero | tr '\0' ' ' >"$DIR/report"
use_host d valle-b $((BASE + 60)) 6
for port in $PORT_ENGINE1 $PORT_ENGINE2; do curl -s -o /dev/null -X POST --data-binary "@$DIR/report" "http://127.0.0.1:$port/report"; done
watch_memory 40
[ "$GROWN" -le $GROWTH_MAX_KB ] || fail "load reports took $GROWN kB, wanted at most $GROWTH_MAX_KB"
say "the memory of load reports is bounded: $GROWN kB more"
for port in $PORT_ENGINE1 $PORT_ENGINE2; do curl -s -o /dev/null -X POST -d '' "http://127.0.0.1:$port/report"; done

# Only the upstreams that send without end are left.
HOST_ROWS=""
add_host_row a $((PORT_A + 2)) valle-a ""
add_host_row b $((PORT_B + 2)) valle-b ""
for port in $PORT_R1 $PORT_R2; do add_host_row "p$port" $port valle-a reservas; done
post_host_list
use_host e valle-a $((BASE + 70)) 2
ask_at_once $PLAIN_CALLERS -H "$AUTH_SEATS" "http://127.0.0.1:$PORT/s/reservas/seats/endless"
if grep -q '^200 0$' "$DIR/statuses"; then fail "a plain answer without an end was complete"; fi
[ "$GROWN" -le $PLAIN_GROWTH_MAX_KB ] || fail "$PLAIN_CALLERS plain answers took $GROWN kB, wanted at most $PLAIN_GROWTH_MAX_KB"
wait_closed $PORT_R1 $PORT_R2
say "the memory of plain answers is bounded: $GROWN kB more"
