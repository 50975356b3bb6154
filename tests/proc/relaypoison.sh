#!/bin/bash
# One part of a prompt crashes every upstream that begins to answer on it. Two
# hosts get such requests, four a second, no two alike, beside sound requests of
# the same team with the same first part. Later than 3 s after the fifth crash
# at most three of the former reach an upstream, and from 6 s after it at least
# half of the latter are answered at the first attempt.
BUILD=${1:-build}
. tests/proc/relaylib.sh
crashing_replicas 8
hosts_a_and_b p8
# send KIND NUMBER PARTS PORT: sends a stream request in the background, and
# writes its kind, the time and the answer's status to the file of answers
send() {
    {
        at=$(date +%s%3N)
        status=$(curl -s -m 3 -o "$DIR/out.$1$2" -w '%{http_code}' -H "Host: fleet.example" -H "$CREDENTIAL" \
            -H "Cuminquay-Attempt-Id: $1$2" -H "Cuminquay-Deadline-Ms: 3000" -H "Cuminquay-Prefix-Hash: $3" \
            "http://127.0.0.1:$4/stream/ok?n=6" || echo cut)
        echo "$1 at_ms=$at status=$status" >>"$DIR/answers"
    } &
}
first=5c1e07a2
for i in $(seq 110); do
    port=$PORT_A
    [ $((i % 2)) = 0 ] || port=$PORT_B
    send sound $i "$first:40,$(printf 'aa%02x' $((i % 5))):30,$(printf 'f%06x' $i):900" $port
    if [ "$i" -gt 20 ] && [ $((i % 3)) = 0 ]; then
        port=$PORT_A
        [ $((i % 2)) = 0 ] || port=$PORT_B
        send poison $i "$first:40,$POISON:20,$(printf 'e%06x' $i):$((900 + i))" $port
    fi
    sleep 0.08
done
sleep 2
# at_ms LINE...: prints the times in these lines
at_ms() { sed 's/.*at_ms=\([0-9]*\).*/\1/'; }
crashes=$(grep crashes "$ARRIVALS_FILE" | at_ms | sort -n)
fifth=$(echo "$crashes" | sed -n 5p)
say "$(grep -c crashes "$ARRIVALS_FILE") crashes, $(grep -c "parts=$first:40,$POISON" "$ARRIVALS_FILE") arrivals with the part, $(grep -c ^poison "$DIR/answers") sent"
if [ -n "$fifth" ]; then
    late=$(grep "parts=$first:40,$POISON" "$ARRIVALS_FILE" | at_ms | awk -v t=$((fifth + 3000)) '$1 > t' | wc -l)
    [ "$late" -le 3 ] || fail "$late requests with the part reached an upstream later than 3 s after the fifth crash, wanted at most 3"
fi
from=${fifth:-$(echo "$crashes" | tail -1)}
# The share of sound requests that were answered, in percent.
answered=$(grep ^sound "$DIR/answers" | sed 's/.*at_ms=\([0-9]*\) status=\(.*\)/\1 \2/' | awk -v t=$((from + 6000)) '$1 > t {n++; ok += $2 == 200} END {print (n >= 10 ? int(100 * ok / n) : 0)}')
[ "$answered" -ge 50 ] || fail "$answered percent of the sound requests were answered, wanted at least 50"
say "requests with the part are kept from the upstreams; $answered percent of the sound ones are answered"
