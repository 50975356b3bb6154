#!/bin/bash
# A deletion is lost at hosts of this version when the readers of their zone
# restart as an older version: of five hosts two read the upstreams for the
# others, and both are killed while an upstream's entry is removed. The older
# version then says that it has all records, without that deletion. The hosts
# that went on still learn within 3 s that the upstream is gone.
BUILD=${1:-build}
# The last landed version that doesn't ask whether it has the deletions.
OLD=${OLD:-72adfd5}
. tests/proc/upgradelib.sh
NAMES="a b c d e"
port_of() { echo $((BASE + 30 + 5 * $(printf '%d' "'$1") - 5 * 97)); }
SEEDS="\"127.0.0.1:$(($(port_of a) + 2))\", \"127.0.0.1:$(($(port_of b) + 2))\", \"127.0.0.1:$(($(port_of c) + 2))\""
# Programs as which the readers start again, one round after the other.
ROUNDS=${ROUNDS:-"old,old old,old old,new new,old"}
program_of() { if [ "$1" = old ]; then echo "$OLD_PROGRAM"; else echo "$NEW_PROGRAM"; fi; }
build_old
two_replicas
round=0
for programs in $ROUNDS; do
    round=$((round + 1))
    fleetstandin replica $((BASE + 22 + round)) --name x$round --log "$ARRIVALS_FILE"
    put_upstream x$round $((BASE + 22 + round)) p ready
done
last=$round
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
    wait_for_output "name=x$last" cat "$DIR/$name.log"
done
sleep 3
# reader NAME: does the host read the upstreams for the others?
reader() { [ "$(grep -o "event=store_reader .*role=[a-z_]*" "$DIR/$1.log" | tail -1 | sed 's/.*role=//')" = for_peers ]; }
READERS="" OTHERS=""
for name in $NAMES; do
    if reader $name; then READERS="$READERS $name"; else OTHERS="$OTHERS $name"; fi
done
[ "$(echo $READERS | wc -w)" = 2 ] || fail "readers:$READERS, wanted two"
read -r first second <<<"$READERS"
round=0
for programs in $ROUNDS; do
    round=$((round + 1))
    for name in $READERS; do eval "kill -KILL \$PID_$name"; done
    sleep 0.15
    drop keyed.servers x$round
    sleep 0.35
    HOST_PROGRAM=$(program_of "${programs%,*}") start_host "$first"
    HOST_PROGRAM=$(program_of "${programs#*,}") start_host "$second"
    sleep 2.5
    for name in $OTHERS; do
        grep -q "event=unlisted.*upstream=x$round" "$DIR/$name.log" || note "round $round, readers as $programs: $name does not know that x$round is gone"
    done
    say "round $round, readers as $programs: looked at$OTHERS"
    sleep 3
done
end_notes
