#!/bin/bash
# Calls with long bodies while the upstreams have stopped: the host keeps a
# bounded sum of bodies, and refuses the other calls with 503, not run, and a
# time after which there is room.
BUILD=${1:-build}
. tests/proc/relaylib.sh
CALLS=60
CALL_BYTES=$((4 * 1024 * 1024))
BODY_BYTES=$((8 * 1024 * 1024))
GROWTH_MAX_KB=$((64 * 1024))
# The address sanitizer keeps freed memory, which would count as the host's.
export ASAN_OPTIONS="${ASAN_OPTIONS:-}:quarantine_size_mb=1"
two_replicas
host_h p1 p2
eval "PID=\$PID_h UPSTREAMS=\"\$PID_$((BASE + 20)) \$PID_$((BASE + 21))\""
head -c $CALL_BYTES /dev/zero >"$DIR/long"
# memory: prints the resident memory of the host in kB
memory() { sed -n 's/^VmRSS:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$PID/status"; }
kill -STOP $UPSTREAMS
trap 'kill -CONT $UPSTREAMS; stop_all' EXIT
before=$(memory) peak=0 callers=""
for i in $(seq $CALLS); do
    curl -s -m 8 -o "$DIR/answer.$i" -w '%{http_code} %header{retry-after}\n' -X POST --data-binary "@$DIR/long" \
        -H "Host: fleet.example" -H "$CREDENTIAL" -H "Expect:" -H "Cuminquay-Attempt-Id: c$i" \
        "http://127.0.0.1:$PORT/unsafe/ok" >"$DIR/status.$i" &
    callers="$callers $!"
    [ $((i % 12)) != 0 ] || sleep 0.2
done
for i in $(seq 20); do
    now=$(memory)
    [ "$now" -le "$peak" ] || peak=$now
    sleep 0.05
done
wait $callers
now=$(memory)
[ "$now" -le "$peak" ] || peak=$now
grown=$((peak - before))
refused=$(grep -l bodies_full "$DIR"/answer.* | wc -l)
say "$refused of $CALLS calls refused, $grown kB more"
[ $grown -le $GROWTH_MAX_KB ] || fail "$CALLS calls took $grown kB, wanted at most $GROWTH_MAX_KB"
[ "$refused" -gt 0 ] && [ "$refused" -lt $((CALLS - 2)) ] || fail "$refused of $CALLS calls were refused for want of room"
for i in $(seq $CALLS); do
    grep -q bodies_full "$DIR/answer.$i" || continue
    expect "the answer to call $i" "$(cat "$DIR/status.$i") $(cat "$DIR/answer.$i")" '503 [0-9]*"ran":"no"*'
    # Until the calls that have room are over, at 4 s.
    awk '$2 < 0.2 || $2 > 4 {exit 1}' "$DIR/status.$i" || fail "call $i may come back after $(cat "$DIR/status.$i") s"
done
kill -CONT $UPSTREAMS
sleep 0.5
expect_ask "a long call afterwards" "200 from p?" /unsafe/ok -X POST --data-binary "@$DIR/long" -H Expect:
