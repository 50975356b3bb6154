#!/bin/bash
# Of five hosts two read the upstreams for the others. Both are killed and start
# again, and meanwhile an upstream's entry is removed. The others learn within
# 3 s that it is gone, as do those that started.
BUILD=${1:-build}
. tests/proc/relaylib.sh
NAMES="a b c d e"
port_of() { echo $((BASE + 30 + 5 * $(printf '%d' "'$1") - 5 * 97)); }
SEEDS="\"127.0.0.1:$(($(port_of a) + 2))\", \"127.0.0.1:$(($(port_of b) + 2))\", \"127.0.0.1:$(($(port_of c) + 2))\""
two_replicas
for i in 1 2 3; do replica x$i $((BASE + 22 + i)) p; done
# Upstreams write to their entries from time to time.
(
    while sleep 0.6; do
        put_upstream p1 $((BASE + 20)) p ready
        put_upstream p2 $((BASE + 21)) p ready
    done
) &
PIDS="$PIDS $!"
for name in $NAMES; do entry_with_store $name "$(port_of $name)"; done
for name in $NAMES; do
    wait_for_http "http://127.0.0.1:$(($(port_of $name) + 1))/readyz"
    wait_for_output "name=x3" cat "$DIR/$name.log"
done
sleep 3
# reader NAME: does the host read the upstreams for the others?
reader() { [ "$(grep -o "event=store_reader .*role=[a-z_]*" "$DIR/$1.log" | tail -1 | sed 's/.*role=//')" = for_peers ]; }
for round in 1 2 3; do
    READERS="" OTHERS=""
    for name in $NAMES; do
        if reader $name; then READERS="$READERS $name"; else OTHERS="$OTHERS $name"; fi
    done
    [ "$(echo $READERS | wc -w)" = 2 ] || fail "readers:$READERS, wanted two"
    for name in $READERS; do eval "kill -KILL \$PID_$name"; done
    sleep 0.15
    drop keyed.servers x$round
    sleep 0.35
    for name in $READERS; do start_host $name; done
    sleep 2.5
    for name in $OTHERS; do
        grep -q "event=unlisted.*upstream=x$round" "$DIR/$name.log" || fail "round $round: $name does not know that x$round is gone"
    done
    say "round $round: the hosts that went on know that the upstream is gone"
    sleep 3
done
