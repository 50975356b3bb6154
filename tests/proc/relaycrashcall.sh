#!/bin/bash
# One call to a plain service crashes every upstream that runs it, and comes
# again and again, at two hosts, with the same path, team and body. Later than
# 3 s after the third crash at most three of these reach an upstream, and from
# 6 s after it at least nine in ten of the calls with other bodies are answered.
BUILD=${1:-build}
. tests/proc/relaylib.sh
crashing_replicas 8
hosts_a_and_b p8
# send KIND NUMBER BODY PORT: sends a call in the background, and writes its
# kind, the time and the answer's status to the file of answers
send() {
    {
        at=$(date +%s%3N)
        status=$(curl -s -m 3 -o /dev/null -w '%{http_code}' -H "Host: fleet.example" -H "$CREDENTIAL" \
            -H "Cuminquay-Attempt-Id: $1$2" -H "Cuminquay-Deadline-Ms: 3000" --data-binary "$3" \
            "http://127.0.0.1:$4/safe/ok" || echo cut)
        echo "$1 at_ms=$at status=$status" >>"$DIR/answers"
    } &
}
for i in $(seq 250); do
    port=$PORT_A
    [ $((i % 2)) = 0 ] || port=$PORT_B
    if [ $((i % 3)) = 0 ]; then
        send poison $i $POISON_BODY $port
    else
        send sound $i "sound $((i % 7))" $port
    fi
    sleep 0.035
done
sleep 2
# at_ms LINE...: prints the times in these lines
at_ms() { sed 's/.*at_ms=\([0-9]*\).*/\1/'; }
third=$(grep crashes "$ARRIVALS_FILE" | at_ms | sort -n | sed -n 3p)
say "$(grep -c crashes "$ARRIVALS_FILE") crashes, $(grep -c "attempt=poison" "$ARRIVALS_FILE") arrivals, $(grep -c ^poison "$DIR/answers") sent"
[ -n "$third" ] || fail "fewer than three crashes"
late=$(grep "attempt=poison" "$ARRIVALS_FILE" | at_ms | awk -v t=$((third + 3000)) '$1 > t' | wc -l)
[ "$late" -le 3 ] || fail "the call reached an upstream $late times later than 3 s after the third crash, wanted at most 3"
# The share of sound calls that were answered, in percent.
answered=$(grep ^sound "$DIR/answers" | sed 's/.*at_ms=\([0-9]*\) status=\(.*\)/\1 \2/' | awk -v t=$((third + 6000)) '$1 > t {n++; ok += $2 == 200} END {print (n >= 10 ? int(100 * ok / n) : 0)}')
[ "$answered" -ge 90 ] || fail "$answered percent of the sound calls were answered, wanted at least 90"
say "the call is kept from the upstreams; $answered percent of the sound ones are answered"
