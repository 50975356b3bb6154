#!/bin/bash
# A read is lost in an outage of the store. An upstream that says that it is
# leaving 2.5 s after the store is back is known to be leaving within 2 s.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
hosts_a_and_b p2
# failed NAME: has a read of the upstreams failed?
failed() { grep "event=store_read_failed" "$DIR/$1.log" | grep -q "topic=upstreams"; }
sleep 1
silence 1
for i in $(seq 100); do
    failed a && failed b && break
    sleep 0.1
done
failed a && failed b || fail "no host noticed that the store is silent"
# The next read starts within the outage.
sleep 0.5
silence 0
sleep 2.5
put_upstream p1 $((BASE + 20)) p draining
sleep 2
for name in a b; do
    grep -q "event=leaving.*upstream=p1" "$DIR/$name.log" || fail "$name does not know the leaving upstream 2 s after its notice"
done
say "both hosts know the leaving upstream 2 s after its notice"
