#!/bin/bash
# All hosts are cut from all upstreams for 5 s, in three ways, while all callers
# send the same body; connections that were silent are reset at its end. From 3 s after the end of the cut they are served at every
# host: what a cut did to the connections is no crash under this request.
BUILD=${1:-build}
. tests/proc/cutlib.sh
CUT_MS=5000
cut_fleet 4 a b
for how in silent reset reset_used; do
    callers $how "+/safe/slow?ms=200,+/unsafe/slow?ms=200" 50 $((2000 + CUT_MS + 7000)) --body "the same $how"
    sleep 2
    began=$(now_ms)
    for i in $HOST_NUMBERS; do
        cut $how "$i"
        sleep 0.05
    done
    sleep $((CUT_MS / 1000))
    for i in $HOST_NUMBERS; do
        HEAL_RESETS=1 heal "$i"
        sleep 0.05
    done
    ended=$(now_ms)
    wait $CALLERS_PID
    expect_served "$how, before the cut" $how $((began - 2000)) $((began - 200)) $HOST_NUMBERS
    say "$how, during the cut"
    summary $how "$began" "$ended"
    expect_served "$how, after its end" $how $((ended + SETTLE_MS)) $((ended + 7000)) $HOST_NUMBERS
    expect_once $how
    say "$how: $(cat "$DIR"/h*.log | grep -c event=part_blocked) times a request was blocked"
done
end_notes
