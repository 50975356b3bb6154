#!/bin/bash
# Two of four hosts are cut from all upstreams by resets, one connection after
# the other, while all callers send the same body and each answer takes 1.5 s.
# The two hosts that no cut touches serve it all the while, the cut ones at least
# two thirds as often from 3 s after the cut on.
BUILD=${1:-build}
. tests/proc/cutlib.sh
CUT_MS=12000
ROUND_MS=2000
cut_fleet 4 a b
kinds="+/unsafe/slow?ms=1500"
for i in $(seq 11); do kinds="$kinds,+/unsafe/slow?ms=1500"; done
callers most "$kinds" $ROUND_MS $((3 * ROUND_MS + CUT_MS + 8000)) --body "the same"
sleep $((3 * ROUND_MS / 1000)).1
began=$(now_ms)
cut "reset&spread_ms=25" 1 2
sleep $((CUT_MS / 1000))
ended=$(now_ms)
heal 1 2
wait $CALLERS_PID
# A request that was in flight when the cut began is not counted here.
expect_served "before the cut" most $((began - 3 * ROUND_MS)) $((began - ROUND_MS)) $HOST_NUMBERS
expect_served "from the cut on" most "$began" "$ended" 3 4
expect_share "h1 and h2 cut" most $((began + SETTLE_MS)) $((ended - WAIT_MS)) "1 2" "3 4"
expect_served "after its end" most $((ended + SETTLE_MS)) $((ended + 8000)) $HOST_NUMBERS
expect_once most
say "$(cat "$DIR"/h*.log | grep -c event=part_blocked) times a request was blocked"
end_notes
