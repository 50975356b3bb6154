#!/bin/bash
# Entry hosts use long polls to read the store: without new records they read no
# more often than lost answers have to show, and a new record reaches them within
# 0.5 s. A host that was stopped with SIGSTOP for 1.5 s reads again when it
# continues.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
hosts_a_and_b p2
sleep 1
# expect_reads TOPIC MAX: fails if the two hosts read the topic more often in 4 s
expect_reads() {
    local before n
    before=$(reads "$1")
    sleep 4
    n=$(($(reads "$1") - before))
    [ "$n" -le "$2" ] || fail "two hosts read $1 $n times in 4 s, wanted at most $2"
}
expect_reads keyed.hosts 2
# A read that waits for much longer than 1.2 s could be lost for longer than a
# notice or a new configuration may take: 4 reads by each host, and one under way.
expect_reads keyed.op 10
expect_reads keyed.servers 10
say "without new records, two hosts read each topic no more often than they must"
put_upstream p1 $((BASE + 20)) p draining
sleep 0.5
for name in a b; do
    grep -q "event=leaving.*upstream=p1" "$DIR/$name.log" || fail "$name did not log the leaving upstream within 0.5 s"
done
say "both hosts got the new record within 0.5 s"
before=$(reads keyed.servers)
kill -STOP "$PID_b"
sleep 1.5
kill -CONT "$PID_b"
wait_for_http "http://127.0.0.1:$((PORT_B + 1))/readyz"
[ "$(reads keyed.servers)" -gt "$before" ] || fail "a host that was stopped for 1.5 s did not ask the store again"
say "a host that was stopped for 1.5 s reads again"
