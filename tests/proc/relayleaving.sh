#!/bin/bash
# Upstreams that say in their answers that they are leaving, or that they want
# no requests for some time.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
host_h p1 p2
expect_ask "both upstreams ask for a pause" "503 *\"no\"*" /safe/pause
wait_for_output "event=paused.*upstream=p1 for_ms=2500" cat "$DIR/h.log"
wait_for_output "event=paused.*upstream=p2 for_ms=2500" cat "$DIR/h.log"
before=$(wc -l <"$ARRIVALS_FILE")
sleep 0.5
for i in 1 2 3 4; do ask /safe/ok -m 0.3; done
expect "requests that reached them in the pause" "$(($(wc -l <"$ARRIVALS_FILE") - before))" 0
sleep 2
expect_ask "a call after the pause" "200 from p?" /safe/ok
expect_ask "an answer of an upstream that is leaving" "200 from p?" /safe/leave
left=${ANSWER#200 from }
wait_for_output "event=leaving.*upstream=$left" cat "$DIR/h.log"
before=$(arrivals "$left")
for i in $(seq 12); do
    expect_ask "a call to the other upstream, $i" "200 from p?" /safe/ok
done
# Its entry still says that it is ready.
put_upstream "$left" $((BASE + 19 + ${left#p})) p ready
sleep 0.5
for i in $(seq 6); do ask /safe/ok; done
expect "requests that reached the one that is leaving" "$(($(arrivals "$left") - before))" 0
