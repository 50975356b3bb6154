#!/bin/bash
# Five hosts in a zone; two of them read the replicas' entries for the others.
# Both are killed and are back after half a second; in that time a replica's
# entry is removed. The hosts that nobody touched go on sending to it.
# Up to four rounds, each with another replica; the first broken one ends it.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
DRAIN_MS=3000       # drain_ms of cumbre-flota-grown
SERVES_ON_S=8       # how long the replica goes on serving after its removal
RESTART_S=0.5       # the platform starts a killed process again
ROUNDS=4
NAMES="a b c d e"
port_of() { echo $((BASE + 40 + 5 * $(printf '%d' "'$1") - 5 * 97)); }
SEEDS="\"127.0.0.1:$(($(port_of a) + 2))\", \"127.0.0.1:$(($(port_of b) + 2))\", \"127.0.0.1:$(($(port_of c) + 2))\""

fleetstandin store "$BASE"
wait_for_http "http://$STORE_ADDR/ok"
STAY="p1 p2 p3"
replica p1 $((BASE + 20)) p
replica p2 $((BASE + 21)) p
replica p3 $((BASE + 22)) p
for round in $(seq $ROUNDS); do replica x$round $((BASE + 22 + round)) p; done
# The replicas that stay write to their entries every heartbeat_ms.
(
    while sleep 1.2; do
        put_upstream p1 $((BASE + 20)) p ready
        put_upstream p2 $((BASE + 21)) p ready
        put_upstream p3 $((BASE + 22)) p ready
    done
) &
PIDS="$PIDS $!"
config 5 "$ROUTES"
for name in $NAMES; do edge "$name" a "$(port_of "$name")"; done
for name in $NAMES; do
    wait_for_http "http://127.0.0.1:$(($(port_of "$name") + 1))/readyz"
    wait_for_output "name=x$ROUNDS" cat "$DIR/$name.log"
done
sleep 4
role() { grep -o "event=store_reader .*role=[a-z_]*" "$DIR/$1.log" | tail -1 | sed 's/.*role=//'; }
READERS="" OTHERS="" TARGETS=""
for name in $NAMES; do
    if [ "$(role "$name")" = for_peers ]; then
        READERS="$READERS $name"
    else
        OTHERS="$OTHERS $name"
        TARGETS="$TARGETS,127.0.0.1:$(port_of "$name")"
    fi
done
[ "$(echo $READERS | wc -w)" = 2 ] || fail "readers:$READERS, wanted two"
note "readers:$READERS; the others, which are not touched and get all requests:$OTHERS"
target/tests/fleetstandin callers --listen "${TARGETS#,}" --name c --log "$DIR/callers.log" \
    --kinds /safe/ok,/unsafe/ok --every-ms 60 --for-ms $((ROUNDS * (SERVES_ON_S + 5) * 1000)) &
PIDS="$PIDS $!"
sleep 1

BROKEN=0
for round in $(seq $ROUNDS); do
    if [ "$TROUBLE" != 0 ]; then
        for name in $READERS; do eval "kill -KILL \$PID_$name"; done
        note "round $round: killed$READERS"
    fi
    sleep 0.15
    drop keyed.servers x$round
    REMOVED=$(now_ms)
    note "round $round: the entry of x$round is removed; x$round goes on serving"
    if [ "$TROUBLE" != 0 ]; then
        sleep "$(awk "BEGIN { print $RESTART_S - 0.15 }")"
        for name in $READERS; do start_host "$name"; done
        note "round $round: started$READERS"
    fi
    sleep_until $((REMOVED + SERVES_ON_S * 1000))
    eval "kill -KILL \$PID_$((BASE + 22 + round))"
    late=$(grep "^x$round " "$ARRIVALS_FILE" | sed 's/.*attempt=\([^ ]*\).*at_ms=\([0-9]*\).*/\2 \1/' |
        awk -v limit=$((REMOVED + DRAIN_MS)) '$1 > limit' | tee "$DIR/late" | wc -l)
    while read -r at attempt; do
        grep -h "^id=$attempt " "$DIR/callers.log" | sed "s/^/reached x$round $((at - REMOVED)) ms after its removal: /" >>"$RECORD"
    done <"$DIR/late"
    served=$(grep -c "result=served" "$DIR/callers.log")
    note "round $round: requests that reached x$round later than $DRAIN_MS ms after its removal: $late (served so far: $served)"
    for name in $OTHERS; do
        note "round $round: $name $(grep -q "event=unlisted.*upstream=x$round" "$DIR/$name.log" && echo learned || echo "never learned") that x$round is gone"
    done
    BROKEN=$((BROKEN + late))
    [ $BROKEN = 0 ] || break
    sleep 3
done
[ "$served" -gt 50 ] || fail "too few requests were served"
[ $BROKEN = 0 ]
