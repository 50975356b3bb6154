#!/bin/bash
# Upstreams that send an event of a stream without an end: the host cuts them
# off in bounded memory, and no caller gets a complete answer.
BUILD=${1:-build}
. tests/proc/relaylib.sh
PORT=$((BASE + 10))
CALLERS=8
GROWTH_MAX_KB=30000
two_replicas
entry_with_store h "$PORT"
wait_for_http "http://127.0.0.1:$((PORT + 1))/readyz"
wait_for_output "name=p2" cat "$DIR/h.log"
# memory: prints the resident memory of the host in kB
memory() { sed -n 's/^VmRSS:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$PID_h/status"; }
before=$(memory)
peak=$before
: >"$DIR/statuses"
callers=""
for i in $(seq $CALLERS); do
    curl -s -m 5 -o /dev/null -w '%{http_code} %{exitcode}\n' \
        -H "Host: fleet.example" -H "$CREDENTIAL" -H "Cuminquay-Attempt-Id: s$i" \
        "http://127.0.0.1:$PORT/stream/a/stream/endless?n=6&ms=2" >>"$DIR/statuses" &
    callers="$callers $!"
done
for i in $(seq 20); do
    now=$(memory)
    [ "$now" -le "$peak" ] || peak=$now
    sleep 0.1
done
wait $callers
expect "streams that began" "$(grep -c '^200' "$DIR/statuses")" $CALLERS
expect "complete answers" "$(grep -c '^200 0$' "$DIR/statuses")" 0
grown=$((peak - before))
[ "$grown" -le $GROWTH_MAX_KB ] || fail "$CALLERS streams took $grown kB, wanted at most $GROWTH_MAX_KB"
say "their memory is bounded"
