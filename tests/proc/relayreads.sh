#!/bin/bash
# Hosts wait for news of the store instead of asking again and again, and hear
# of them at once; a host that stood still asks again.
BUILD=${1:-build}
. tests/proc/relaylib.sh
A=$((BASE + 10)) B=$((BASE + 15))
SEEDS="\"127.0.0.1:$((A + 2))\", \"127.0.0.1:$((B + 2))\""
two_replicas
relay a "$A"
relay b "$B"
wait_for "http://127.0.0.1:$((A + 1))/readyz"
wait_for "http://127.0.0.1:$((B + 1))/readyz"
wait_until "name=p2" cat "$DIR/b.log"
reads() { curl -sf "http://$STORE/reads?topic=$1"; }
sleep 1
for topic in keyed.op keyed.servers; do
    before=$(reads $topic)
    sleep 4
    n=$(($(reads $topic) - before))
    [ "$n" -le 2 ] || fail "$topic was read $n times in 4 s by two hosts"
done
say "two hosts without news read each topic once in 5 s"
announce p1 $((BASE + 20)) p draining
sleep 0.5
for name in a b; do
    grep -q "event=leaving.*upstream=p1" "$DIR/$name.log" || fail "$name did not hear at once"
done
say "news are heard at once"
before=$(reads keyed.servers)
kill -STOP "$PID_b"
sleep 1.5
kill -CONT "$PID_b"
wait_for "http://127.0.0.1:$((B + 1))/readyz"
[ "$(reads keyed.servers)" -gt "$before" ] || fail "a host that stood still did not ask again"
say "a host that stood still asks again"
