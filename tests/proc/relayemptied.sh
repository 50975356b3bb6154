#!/bin/bash
# Operators empty zone b and take it back, beside a lost answer, a restart of
# the host, a store that is out of reach, one that comes back older, and one
# that forgets its history. While it is emptied nothing reaches its upstreams.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
put keyed.servers p2 "{\"service\":\"p\",\"address\":\"127.0.0.1:$((BASE + 21))\",\"zone\":\"b\",\"slots\":16,\"state\":\"ready\",\"born\":1}"
PORT_A=$((BASE + 10)) PORT_B=$((BASE + 15))
SEEDS="\"127.0.0.1:$((PORT_A + 2))\", \"127.0.0.1:$((PORT_B + 2))\""
entry_with_store h "$PORT_A" a
entry_with_store i "$PORT_B" b
for name in h i; do for upstream in p1 p2; do wait_for_output "name=$upstream" cat "$DIR/$name.log"; done; done
for port in $PORT_A $PORT_B; do wait_for_http "http://127.0.0.1:$((port + 1))/readyz"; done

# asks: sends a request to each host eight times
asks() {
    local k
    for k in $(seq 8); do
        for PORT in $PORT_A $PORT_B; do ask /safe/ok; done
    done
}
# expect_used WHAT NAME PATTERN: sends requests; PATTERN is for how many of
# them reach the upstream
expect_used() {
    local before
    before=$(arrivals "$2")
    asks
    expect "$1" "$(($(arrivals "$2") - before))" "$3"
}
# known YES_OR_NO COUNT HOST: waits until the host has logged that often that
# zone b is emptied, or no longer
known() {
    local i
    for i in $(seq 50); do
        [ "$(grep -c "event=zone_emptied.*zone=b emptied=$1" "$DIR/$3.log")" -ge "$2" ] && return 0
        sleep 0.1
    done
    fail "$3 doesn't know after 5 s that zone b is emptied: $1"
}

expect_used "the upstream of zone b, before" p2 "[1-9]*"
put keyed.op evacuate/b '{}'
known yes 1 h && known yes 1 i
expect_used "requests that reach an emptied zone" p2 0

kill -KILL "$PID_h"
sleep 0.2
start_host h
known yes 2 h
wait_for_http "http://127.0.0.1:$((PORT_A + 1))/readyz"
expect_used "the same after a restart" p2 0

silence 1 reads=drop
sleep 1
kill -KILL "$PID_h"
sleep 0.2
start_host h
known yes 3 h
wait_for_http "http://127.0.0.1:$((PORT_A + 1))/readyz"
expect_used "a host that starts while the store doesn't answer" p2 0
drop keyed.op evacuate/b
silence 0
known no 1 h && known no 1 i
expect_used "the zone is used again" p2 "[1-9]*"

put keyed.op evacuate/b 'any text'
put keyed.op evacuate/ '{}'
known yes 4 h && known yes 2 i
expect_used "requests that reach it when it is emptied again" p2 0
ask /safe/ok
put keyed.op evacuate/a '{}'
sleep 1
ask /safe/ok
expect "all zones are emptied" "$ANSWER" "503 *"
drop keyed.op evacuate/a
drop keyed.op evacuate/b
known no 2 h && known no 2 i
expect_used "both zones are used again" p2 "[1-9]*"
grep -q "event=record_ignored.*key=evacuate/ " "$DIR/h.log" || fail "a record without a zone isn't logged"
say "a record without a zone is ignored with a line in the log"
