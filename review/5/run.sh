#!/bin/bash
# A zone's hosts are cut off from the store for 6.6 s, silently. Just
# after the cut a replica leaves without having reported it; the store confirms
# at once that its entry is gone. The hosts read that entry's end, and then go
# on sending to the replica for two seconds more.
# Up to six rounds, each with another replica. A replica writes to its entry 0.9 s
# before each cut, so that the rounds are alike.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
DRAIN_MS=2000      # drain_ms
STABLE_MS=3000     # stable_window_ms
CUT_MS=6600        # for_s of node_cut
LEAVES_MS=500      # from the end of the cut to the end of the entry
SERVES_ON_MS=5500  # the replica goes on serving: drain_ms and a little longer
MARGIN_MS=50       # for the ways from the host to the replica and its log
ROUNDS=6
HOSTS="a1 a2"
port_of() { case $1 in a1) echo $((BASE + 50)) ;; a2) echo $((BASE + 55)) ;; esac; }
PROXY=127.0.0.1:$((BASE + 1))
SEEDS="\"127.0.0.1:$(($(port_of a1) + 2))\", \"127.0.0.1:$(($(port_of a2) + 2))\""

fleetstandin store "$BASE"
wait_for_http "http://$STORE_ADDR/ok"
target/review/cutting_proxy "$PROXY" "$STORE_ADDR" "$DIR/cut" &
PIDS="$PIDS $!"
for name in p1 p2; do replica $name $((BASE + 19 + ${name#p})) p; done
for round in $(seq $ROUNDS); do replica x$round $((BASE + 24 + round)) p; done
config 5 "$ROUTES"
for name in $HOSTS; do edge "$name" a "$(port_of "$name")" "$PROXY"; done
for name in $HOSTS; do
    wait_for_http "http://127.0.0.1:$(($(port_of "$name") + 1))/readyz"
    wait_for_output "name=x$ROUNDS" cat "$DIR/$name.log"
done
sleep 2
target/tests/fleetstandin callers --listen "127.0.0.1:$(port_of a1),127.0.0.1:$(port_of a2)" \
    --name c --log "$DIR/callers.log" --kinds /safe/ok,/unsafe/ok --every-ms 25 --for-ms 110000 &
PIDS="$PIDS $!"
sleep 1

BROKEN=0
for round in $(seq $ROUNDS); do
    put_upstream p1 $((BASE + 20)) p ready
    sleep 0.9
    [ "$TROUBLE" = 0 ] || touch "$DIR/cut"
    CUT=$(now_ms)
    note "round $round: the hosts are cut off from the store (TROUBLE=$TROUBLE)"
    sleep_until $((CUT + CUT_MS))
    rm -f "$DIR/cut"
    HEALED=$(now_ms)
    sleep_until $((HEALED + LEAVES_MS))
    drop keyed.servers x$round
    REMOVED=$(now_ms)
    note "round $round: the cut ended $((REMOVED - HEALED)) ms ago; the entry of x$round is removed"
    sleep_until $((REMOVED + SERVES_ON_MS))
    eval "kill -KILL \$PID_$((BASE + 24 + round))"
    # The machines are in touch again, and drain_ms has passed.
    limit=$((HEALED + STABLE_MS))
    [ $limit -gt $((REMOVED + DRAIN_MS)) ] || limit=$((REMOVED + DRAIN_MS))
    limit=$((limit + MARGIN_MS))
    grep "^x$round " "$ARRIVALS_FILE" | sed 's/.*attempt=\([^ ]*\).*at_ms=\([0-9]*\).*/\2 \1/' |
        awk -v limit=$limit '$1 > limit' >"$DIR/late"
    late=$(wc -l <"$DIR/late")
    while read -r at attempt; do
        grep -h "^id=$attempt " "$DIR/callers.log" |
            sed "s/^/reached x$round $((at - REMOVED)) ms after its removal, $((at - HEALED)) ms after the cut: /" >>"$RECORD"
    done <"$DIR/late"
    for name in $HOSTS; do
        at=$(grep "event=unlisted.*upstream=x$round" "$DIR/$name.log" | tail -1 | sed 's/^time_us=\([0-9]*\)[0-9]\{3\} .*/\1/')
        note "round $round: $name learned $((${at:-0} - REMOVED)) ms after its removal that x$round is gone"
    done
    note "round $round: requests that reached x$round too late: $late"
    BROKEN=$((BROKEN + late))
    [ "$late" = 0 ] || break
done
[ "$(grep -c "result=served" "$DIR/callers.log")" -gt 50 ] || fail "too few requests were served"
[ $BROKEN = 0 ]
