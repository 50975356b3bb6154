#!/bin/bash
# Callers that read slowly: 2,000 with streams, and 24 with plain answers of
# 14 MiB. What a host holds for them must fit the smallest host, which has
# 160 MB, beside all else, and callers that keep up are served all the time.
BUILD=${1:-build}
TIMEOUT_MS=20000
. tests/proc/relaylib.sh
UPSTREAMS=10
STREAMS=2000
PLAIN_GROUPS=8
PLAIN_PER_GROUP=3
PEAK_MAX_KB=100000
# Time after which the last slow caller has connected and its answer is held.
WATCH_S=8
# The address sanitizer keeps freed memory, which would count as the host's.
export ASAN_OPTIONS="${ASAN_OPTIONS:-}:quarantine_size_mb=1"
fleetstandin store "$BASE"
wait_for_http "http://$STORE_ADDR/ok"
for i in $(seq $UPSTREAMS); do
    fleetstandin replica $((BASE + 20 + i)) --name p$i --log "$ARRIVALS_FILE"
    put keyed.servers p$i "{\"service\":\"p\",\"address\":\"127.0.0.1:$((BASE + 20 + i))\",\"zone\":\"a\",\"slots\":256,\"state\":\"ready\",\"born\":1}"
done
config 5 "$ROUTES"
# use_host NAME PORT: starts an entry host, which gets the requests that follow
use_host() {
    local i
    PORT=$2
    entry_with_store "$1" "$PORT"
    eval "PID=\$PID_$1"
    wait_for_http "http://127.0.0.1:$((PORT + 1))/readyz"
    for i in $(seq $UPSTREAMS); do wait_for_output "name=p$i" cat "$DIR/$1.log"; done
}
# peak: prints the largest resident memory that the host has had, in kB
peak() { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\) kB/\1/p' "/proc/$PID/status"; }
# slow_callers NAME COUNT PATH: starts callers that take 256 bytes in 200 ms
slow_callers() {
    "$BUILD/tests/fleetstandin" slow --listen "127.0.0.1:$PORT" --name "$1" \
        --kinds "$3" --count "$2" --every-ms 200 >>"$DIR/slow" 2>&1 &
    PIDS="$PIDS $!"
}
# watch WHAT: sends calls of a caller that keeps up for WATCH_S seconds, and
# notes what is wrong
watch() {
    local i served=0 calls=0
    for i in $(seq $((WATCH_S * 2))); do
        ask /safe/ok
        calls=$((calls + 1))
        case "$ANSWER" in "200 from "*) served=$((served + 1)) ;; esac
        sleep 0.5
    done
    say "$1: peak of $(peak) kB, $served of $calls calls beside them served"
    [ "$(peak)" -le $PEAK_MAX_KB ] || WRONG="$WRONG $1: $(peak) kB, wanted at most $PEAK_MAX_KB;"
    [ $served = $calls ] || WRONG="$WRONG $1: $served of $calls sound calls served;"
}
WRONG=""
use_host h $((BASE + 10))
for i in $(seq $PLAIN_GROUPS); do
    slow_callers plain$i $PLAIN_PER_GROUP /safe/big
    sleep 0.3
done
watch "plain answers"
kill $PID
use_host g $((BASE + 15))
slow_callers stream $STREAMS "/stream/a/x?n=1000&ms=500&bytes=32000"
watch "streams"
[ -z "$WRONG" ] || fail "$WRONG"
