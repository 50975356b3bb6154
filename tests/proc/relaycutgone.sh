#!/bin/bash
# An upstream whose entry was removed is used after a cut: hosts are without the
# store for 5.6 to 7.1 s, so that their reads are in different phases as it ends.
# An upstream whose entry is removed 0.5 s after that gets no requests from 3 s
# after it on; entries that lapsed in the outage, and are back 1.5 s after it,
# have been served all the time.
BUILD=${1:-build}
. tests/proc/relaylib.sh
now_ms() { date +%s%3N; }
two_replicas
CUTS="6.6 7.1 5.6 6.1"
for i in 1 2 3 4; do replica x$i $((BASE + 24 + i)) p; done
hosts_a_and_b x4
sleep 2
"$BUILD/tests/fleetstandin" callers --listen "127.0.0.1:$PORT_A,127.0.0.1:$PORT_B" --name c \
    --log "$DIR/callers.log" --kinds /safe/ok --every-ms 25 --for-ms 70000 &
PIDS="$PIDS $!"
round=0
for cut in $CUTS; do
    round=$((round + 1))
    put_upstream p1 $((BASE + 20)) p ready
    sleep 0.9
    silence 1 reads=drop
    sleep $cut
    silence 0
    healed=$(now_ms)
    sleep 0.5
    drop keyed.servers x$round
    sleep 5
    late=$(grep "^x$round " "$ARRIVALS_FILE" | sed 's/.*at_ms=\([0-9]*\).*/\1/' | awk -v limit=$((healed + 3050)) '$1 > limit' | wc -l)
    expect "requests that reached x$round later than 3 s after the outage" "$late" 0
done
refused() { grep -c -E "result=(refused|failed)" "$DIR/callers.log"; }
before=$(refused)
silence 1 reads=drop
sleep 4
drop keyed.servers p1
drop keyed.servers p2
drop keyed.servers x4
silence 0
sleep 1.5
put_upstream p1 $((BASE + 20)) p ready
put_upstream p2 $((BASE + 21)) p ready
sleep 1
expect "callers refused while the entries were missing" "$(($(refused) - before))" 0
grep -qh "event=unlisted.*lapsed=perhaps" "$DIR"/{a,b}.log || fail "no entry counted as lapsed"
say "entries that lapsed are logged as such"
