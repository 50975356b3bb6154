#!/bin/bash
# 69 hosts in three zones form cells. Three crashes of upstreams under one part
# of prompts, seen by hosts of different zones, block it at every host within
# 2 s; so do three under one call to a plain service.
BUILD=${1:-build}
. tests/proc/relaylib.sh
HOSTS_PER_ZONE=23
port_of() { echo $((BASE + 100 + 5 * $1)); }
SEEDS="\"127.0.0.1:$(($(port_of 0) + 2))\", \"127.0.0.1:$(($(port_of 1) + 2))\""
crashing_replicas 6
n=0
for zone in a b c; do
    for i in $(seq $HOSTS_PER_ZONE); do
        entry_with_store h$n "$(port_of $n)" $zone
        n=$((n + 1))
    done
done
for i in $(seq 0 $((n - 1))); do wait_for_http "http://127.0.0.1:$(($(port_of $i) + 1))/readyz"; done
for i in $(seq 0 $((n - 1))); do wait_for_output "event=cells .*divided=yes" cat "$DIR/h$i.log"; done
sleep 3
for i in 1 30 60; do
    PORT=$(port_of $i)
    ask "/once/stream/ok?n=6" -H "Cuminquay-Prefix-Hash: 5c1e07a2:40,$POISON:20,e$i:900"
    sleep 0.2
done
say "$(grep -c crashes "$ARRIVALS_FILE") crashes"
sleep 2
unaware=0
for i in $(seq 0 $((n - 1))); do
    grep -q "event=part_blocked.*part=$POISON" "$DIR/h$i.log" || unaware=$((unaware + 1))
done
expect "hosts that don't block the part" "$unaware" 0
# The same for one call to a plain service.
for i in 2 31 61; do
    PORT=$(port_of $i)
    ask /unsafe/ok --data-binary $POISON_BODY
    sleep 0.2
done
sleep 2
unaware=0
for i in $(seq 0 $((n - 1))); do
    [ "$(grep -c "event=part_blocked" "$DIR/h$i.log")" -ge 2 ] || unaware=$((unaware + 1))
done
expect "hosts that don't block the call" "$unaware" 0
