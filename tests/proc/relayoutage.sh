#!/bin/bash
# A read is lost in an outage of the store. An upstream that says that it is
# leaving 2.5 s after the store is back is known to be leaving within 2 s.
BUILD=${1:-build}
. tests/proc/relaylib.sh
PORT_A=$((BASE + 10)) PORT_B=$((BASE + 15))
SEEDS="\"127.0.0.1:$((PORT_A + 2))\", \"127.0.0.1:$((PORT_B + 2))\""
two_replicas
entry_with_store a "$PORT_A"
entry_with_store b "$PORT_B"
for name in a b; do wait_for_output "name=p2" cat "$DIR/$name.log"; done
# silence on|off: makes the store ignore calls, or answer them again
silence() { curl -sf "http://$STORE_ADDR/silence?on=$([ "$1" = on ] && echo 1 || echo 0)" >/dev/null; }
# failed NAME: has a read of the upstreams failed?
failed() { grep "event=store_read_failed" "$DIR/$1.log" | grep -q "topic=upstreams"; }
sleep 1
silence on
for i in $(seq 100); do
    failed a && failed b && break
    sleep 0.1
done
failed a && failed b || fail "no host noticed that the store is silent"
# The next read starts within the outage.
sleep 0.5
silence off
sleep 2.5
put_upstream p1 $((BASE + 20)) p draining
sleep 2
for name in a b; do
    grep -q "event=leaving.*upstream=p1" "$DIR/$name.log" || fail "$name does not know the leaving upstream 2 s after its notice"
done
say "both hosts know the leaving upstream 2 s after its notice"
