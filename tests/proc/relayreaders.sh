#!/bin/bash
# Of five entry hosts in a zone two read the upstreams for the others. A new
# record reaches every host within 0.5 s. When both readers are stopped with
# SIGSTOP, the others get new records within 3 s; readers that are killed are
# replaced.
BUILD=${1:-build}
. tests/proc/relaylib.sh
NAMES="a b c d e"
port_of() { echo $((BASE + 30 + 5 * $(printf '%d' "'$1") - 5 * 97)); }
SEEDS="\"127.0.0.1:$(($(port_of a) + 2))\", \"127.0.0.1:$(($(port_of b) + 2))\""
two_replicas
for name in $NAMES; do entry_with_store $name "$(port_of $name)"; done
for name in $NAMES; do wait_for_http "http://127.0.0.1:$(($(port_of $name) + 1))/readyz"; done
for name in $NAMES; do wait_for_output "name=p2" cat "$DIR/$name.log"; done
# reader NAME: does the host read the upstreams for the others?
reader() { [ "$(grep -o "event=store_reader .*role=[a-z_]*" "$DIR/$1.log" | tail -1 | sed 's/.*role=//')" = for_peers ]; }
# all_left NAMES UPSTREAM: waits until all these hosts know that it is leaving
all_left() {
    for name in $1; do
        wait_for_output "event=leaving.*upstream=$2" cat "$DIR/$name.log"
    done
}
sleep 7
before=$(reads keyed.servers)
for i in 1 2 3 4 5 6 7 8; do
    put_upstream q$i $((BASE + 22)) q ready
    sleep 0.5
done
n=$(($(reads keyed.servers) - before))
[ "$n" -le 26 ] || fail "the upstreams were read $n times, wanted at most 13 times by each of two hosts"
say "two hosts read the upstreams for five"
READERS=""
OTHERS=""
for name in $NAMES; do
    if reader $name; then READERS="$READERS $name"; else OTHERS="$OTHERS $name"; fi
done
[ "$(echo $READERS | wc -w)" = 2 ] || fail "readers:$READERS, wanted two"
put_upstream p1 $((BASE + 20)) p draining
sleep 0.5
for name in $NAMES; do
    grep -q "event=leaving.*upstream=p1" "$DIR/$name.log" || fail "$name did not log the leaving upstream within 0.5 s"
done
say "a new record reaches every host within 0.5 s"
for name in $READERS; do eval "kill -STOP \$PID_$name"; done
put_upstream p2 $((BASE + 21)) p draining
sleep 3
for name in $OTHERS; do
    grep -q "event=leaving.*upstream=p2" "$DIR/$name.log" || fail "$name did not log the leaving upstream within 3 s"
done
say "without the readers the others read the store"
for name in $READERS; do eval "kill -CONT \$PID_$name"; done
all_left "$READERS" p2
say "the readers catch up"
for name in $READERS; do eval "kill -KILL \$PID_$name"; done
replica p3 $((BASE + 22)) p
sleep 3
for name in $OTHERS; do
    grep -q "event=upstream.*name=p3" "$DIR/$name.log" || fail "$name does not know the new upstream"
done
n=0
for name in $OTHERS; do ! reader $name || n=$((n + 1)); done
[ $n = 2 ] || fail "$n of the other hosts became readers, wanted two"
say "other hosts replace readers that were killed"
