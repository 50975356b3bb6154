#!/bin/bash
# Four hosts in two zones; one of them is cut from all upstreams, in three ways.
# From 3 s after a cut began, callers' first tries are served there at least two
# thirds as often as at the others; from 3 s after its end, they are served
# everywhere.
BUILD=${1:-build}
. tests/proc/cutlib.sh
CUT_MS=12000
cut_fleet 4 a b
i=0
for how in silent reset refuse_new; do
    i=$((i + 1))
    callers $how "$EACH_KIND" 200 $((2000 + CUT_MS + 6000))
    sleep 2
    began=$(now_ms)
    cut $how $i
    sleep $((CUT_MS / 1000))
    ended=$(now_ms)
    heal $i
    wait $CALLERS_PID
    others=$(for h in $HOST_NUMBERS; do [ "$h" = $i ] || echo "$h"; done)
    expect_served "$how, before the cut" $how $((began - 2000)) $((began - 200)) $HOST_NUMBERS
    expect_share "$how, h$i cut" $how $((began + SETTLE_MS)) $((ended - WAIT_MS)) "$i" "$others"
    expect_served "$how, after its end" $how $((ended + SETTLE_MS)) $((ended + 6000)) $HOST_NUMBERS
    expect_once $how
done
end_notes
