#!/bin/bash
# Scripts that run beside each other on one machine have ports of their own,
# and none that somebody else listens at.
BUILD=${1:-build}
. tests/lib.sh
export BUILD
# draw NAME: in the background, starts a script that draws its ports with the
# same seed as the others, and writes the first one to NAME.base
draw() {
    env -u BASE bash -c 'RANDOM=7; . tests/lib.sh; echo "$BASE" >"$0"; sleep 100 & PIDS=$!; wait' "$DIR/$1.base" &
    PIDS="$PIDS $!"
    eval "PID_$1=$!"
    wait_for_output . cat "$DIR/$1.base"
    eval "BASE_$1=$(cat "$DIR/$1.base")"
}
# apart PORT PORT: are these at least a range apart?
apart() { [ $(($1 - $2)) -ge "${PORTS_A_RANGE:-500}" ] || [ $(($2 - $1)) -ge "${PORTS_A_RANGE:-500}" ]; }

draw one
draw two
apart "$BASE_one" "$BASE_two" || fail "two scripts beside each other have the ports from $BASE_one and from $BASE_two on"
apart "$BASE_one" "$BASE" && apart "$BASE_two" "$BASE" || fail "a script has ports of this one, $BASE: $BASE_one, $BASE_two"
kill -TERM "$PID_one"
wait "$PID_one" 2>/dev/null
draw three
[ "$BASE_three" = "$BASE_one" ] || fail "the ports from $BASE_one on are free, the next script has $BASE_three"
kill -TERM "$PID_three"
wait "$PID_three" 2>/dev/null
# Somebody without a lock listens there.
fleetstandin=$BUILD/tests/fleetstandin
"$fleetstandin" store --listen "127.0.0.1:$((BASE_one + 57))" 2>/dev/null &
PIDS="$PIDS $!"
wait_for_http "http://127.0.0.1:$((BASE_one + 57))/ok"
draw four
apart "$BASE_four" "$BASE_one" || fail "a script has the ports from $BASE_four on, and somebody listens at $((BASE_one + 57))"
say "each script has ports of its own"
