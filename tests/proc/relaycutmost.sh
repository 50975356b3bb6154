#!/bin/bash
# Two of four hosts are cut from all upstreams by resets, as connections are
# used, while all callers send the same body. The two hosts that no cut touches
# serve it all the while, the cut ones at least two thirds as often from 3 s after
# the cut on.
BUILD=${1:-build}
. tests/proc/cutlib.sh
CUT_MS=12000
cut_fleet 4 a b
callers most "+/safe/slow?ms=200,+/unsafe/slow?ms=200" 50 $((2000 + CUT_MS + 7000)) --body "the same"
sleep 2
began=$(now_ms)
cut reset_used 1 2
sleep $((CUT_MS / 1000))
ended=$(now_ms)
heal 1 2
wait $CALLERS_PID
expect_served "before the cut" most $((began - 2000)) $((began - 200)) $HOST_NUMBERS
expect_served "from the cut on" most "$began" "$ended" 3 4
expect_share "h1 and h2 cut" most $((began + SETTLE_MS)) $((ended - WAIT_MS)) "1 2" "3 4"
expect_served "after its end" most $((ended + SETTLE_MS)) $((ended + 7000)) $HOST_NUMBERS
expect_once most
say "$(cat "$DIR"/h*.log | grep -c event=part_blocked) times a request was blocked"
end_notes
