#!/bin/bash
# Upstreams that send an event of a stream, or a plain answer without a length,
# that never ends: the host cuts them off in bounded memory, and no caller gets a
# complete answer.
BUILD=${1:-build}
. tests/proc/relaylib.sh
PORT=$((BASE + 10))
CALLERS=8
GROWTH_MAX_KB=30000
# Half of the memory of the smallest host, 260 MB.
PLAIN_GROWTH_MAX_KB=130000
PLAIN_CALLERS=32
# The address sanitizer keeps freed memory, which would count as the host's.
export ASAN_OPTIONS="${ASAN_OPTIONS:-}:quarantine_size_mb=1"
two_replicas
# use_host NAME PORT: starts an entry host, which gets the requests that follow
use_host() {
    PORT=$2
    entry_with_store "$1" "$PORT"
    eval "PID=\$PID_$1"
    wait_for_http "http://127.0.0.1:$((PORT + 1))/readyz"
    wait_for_output "name=p2" cat "$DIR/$1.log"
}
# memory: prints the resident memory of the host in kB
memory() { sed -n 's/^VmRSS:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$PID/status"; }
# ask_at_once CALLERS PATH: sends the request that often at once, the last one a
# second later, when answers have broken off at every upstream; GROWN gets by how
# much the host's memory grew meanwhile, in kB
ask_at_once() {
    local before now peak i callers=""
    before=$(memory)
    peak=$before
    : >"$DIR/statuses"
    for i in $(seq "$1"); do
        [ "$i" != "$1" ] || sleep 1
        curl -s -m 5 -o /dev/null -w '%{http_code} %{exitcode}\n' \
            -H "Host: fleet.example" -H "$CREDENTIAL" -H "Cuminquay-Attempt-Id: $1-$i" \
            "http://127.0.0.1:$PORT$2" >>"$DIR/statuses" &
        callers="$callers $!"
    done
    for i in $(seq 30); do
        now=$(memory)
        [ "$now" -le "$peak" ] || peak=$now
        sleep 0.1
    done
    wait $callers
    GROWN=$((peak - before))
}
use_host h "$PORT"
ask_at_once $CALLERS "/stream/a/stream/endless?n=6&ms=2"
expect "streams that began" "$(grep -c '^200' "$DIR/statuses")" $CALLERS
expect "complete answers" "$(grep -c '^200 0$' "$DIR/statuses")" 0
[ "$GROWN" -le $GROWTH_MAX_KB ] || fail "$CALLERS streams took $GROWN kB, wanted at most $GROWTH_MAX_KB"
say "their memory is bounded: $GROWN kB more"
# Another host: it has no memory to reuse, and avoids no upstream yet.
use_host g $((PORT + 5))
ask_at_once $PLAIN_CALLERS /safe/endless
expect "complete plain answers" "$(grep -c '^200 0$' "$DIR/statuses")" 0
[ "$GROWN" -le $PLAIN_GROWTH_MAX_KB ] || fail "$PLAIN_CALLERS plain answers took $GROWN kB, wanted at most $PLAIN_GROWTH_MAX_KB"
say "the memory of plain answers is bounded: $GROWN kB more"
