#!/bin/bash
# The answers to the reads that wait for the configuration are lost at all hosts
# of a zone, and no others. A configuration that is written then is in force
# everywhere within 2 s, also at a host that leaves reading to its peers.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
SEEDS="\"127.0.0.1:$((BASE + 12))\", \"127.0.0.1:$((BASE + 17))\", \"127.0.0.1:$((BASE + 32))\""
NAMES="a b c"
port_of() { case $1 in a) echo $((BASE + 10)) ;; b) echo $((BASE + 15)) ;; c) echo $((BASE + 30)) ;; esac; }
for name in $NAMES; do entry_with_store $name "$(port_of $name)"; done
for name in $NAMES; do
    wait_for_http "http://127.0.0.1:$(($(port_of $name) + 1))/readyz"
    wait_for_output "event=config version=5" cat "$DIR/$name.log"
done
wait_for_output "event=store_reader role=none" cat "$DIR"/{a,b,c}.log
sleep 2
lose() { curl -sf "http://$STORE_ADDR/lose?topic=keyed.op&on=$1" >/dev/null; }
for version in 6 7 8; do
    lose 1
    config $version "$ROUTES"
    lose 0
    sleep 2
    for name in $NAMES; do
        grep -q "event=config version=$version" "$DIR/$name.log" || fail "$name does not have version $version 2 s after it was written"
    done
    say "version $version is in force 2 s after it was written"
done
grep -qh "event=store_answer_lost topic=config" "$DIR"/{a,b,c}.log || fail "no line of the lost answers"
say "the hosts log that answers were lost"
before=$(reads keyed.op)
sleep 5
made=$(($(reads keyed.op) - before))
say "reads of the configuration by three hosts in 5 s: $made"
[ $made -le 16 ] || fail "the hosts read the configuration $made times in 5 s, wanted at most 16"
