#!/bin/bash
# The store comes back from an older copy: what was written since is gone, and
# its offsets are given out again. Hosts learn what is written then, keep what
# they know of upstreams that have left, and write their own entries again.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
replica p3 $((BASE + 22)) p
hosts_a_and_b p3
PORT=$PORT_A
restore() { curl -sf "http://$STORE_ADDR/restore?topic=$1&len=$2" >/dev/null; }
# newest TOPIC: prints the newest records of the topic
newest() { curl -sf "http://$STORE_ADDR/v1/log-newest?topic=$1&part=0"; }
expect_ask "a call" "200 from p?" /safe/ok
left=${ANSWER#200 from }
# Each of these is written behind what the copy has.
for i in 1 2 3; do
    for k in 1 2 3; do put_upstream p$k $((BASE + 19 + k)) p ready; done
done
put_upstream "$left" $((BASE + 19 + ${left#p})) p draining
drop keyed.servers "$left"
config 6 "$ROUTES"
for name in a b; do
    wait_for_output "event=unlisted.*upstream=$left" cat "$DIR/$name.log"
    wait_for_output "event=config version=6" cat "$DIR/$name.log"
done
sleep 2.5
restore keyed.servers 3
restore keyed.hosts 0
restore keyed.op 1
before=$(arrivals "$left")
for i in $(seq 10); do
    ask /safe/ok
    sleep 0.1
done
expect "requests that reached the upstream that has left" "$(($(arrivals "$left") - before))" 0
# The operator and the upstreams write again.
drop keyed.servers "$left"
other=p1
[ "$left" != p1 ] || other=p2
put_upstream $other $((BASE + 19 + ${other#p})) p draining
config 7 "$ROUTES,$(route /added/ safe false false)"
sleep 2
for name in a b; do
    grep -q "event=leaving.*upstream=$other" "$DIR/$name.log" || fail "$name does not know the leaving upstream 2 s after its notice"
    grep -q "event=config version=7" "$DIR/$name.log" || fail "$name does not have the configuration 2 s after it was written"
done
say "what was written after the store came back is known"
newest keyed.hosts >"$DIR/hosts"
for name in a b; do grep -q "\"key\":\"$name\"" "$DIR/hosts" || fail "$name has not written its entry again"; done
say "the hosts have written their entries again"
sleep 4
for i in $(seq 10); do ask /safe/ok; done
expect "requests that reached the upstream that has left, later" "$(($(arrivals "$left") - before))" 0
expect_ask "a call on the route that was added" "200 from p?" /added/ok
# A lower era than the one known is believed when the store goes on naming it.
curl -sf "http://$STORE_ADDR/era?to=1" >/dev/null
config 8 "$ROUTES"
for name in a b; do wait_for_output "event=config version=8" cat "$DIR/$name.log"; done
say "a store whose era went back is followed again"
