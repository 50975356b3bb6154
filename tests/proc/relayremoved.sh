#!/bin/bash
# An upstream says that it is leaving and removes its entry while the store is
# out of reach. It gets no requests once the host has read both.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
host_h p1 p2
expect_ask "a call to the upstream that is chosen first" "200 from p?" /safe/ok
left=${ANSWER#200 from }
silence 1 reads=drop
wait_for_output "event=store_read_failed topic=upstreams" cat "$DIR/h.log"
put_upstream "$left" $((BASE + 19 + ${left#p})) p draining
drop keyed.servers "$left"
silence 0
wait_for_output "event=unlisted.*upstream=$left" cat "$DIR/h.log"
before=$(arrivals "$left")
for i in $(seq 12); do ask /safe/ok; done
expect "requests that reached the upstream that has left" "$(($(arrivals "$left") - before))" 0
