#!/bin/bash
# A prompt above one engine's memory is held by both engines together; a
# killed process leaves no memory held after the repair interval.
BUILD=${1:-build}
. tests/proc/fleet.sh
start_fleet

{
    printf '{"model":"cupos-1","max_tokens":4,"prompt":"#giant '
    head -c 2400000 /dev/zero | tr '\0' 'x'
    printf '"}'
} >"$DIR/giant.json"

# held: memory that both engines hold
held() { (counters $E1; counters $E2) | grep -o '"held":[0-9]*' | awk -F: '{ n += $2 } END { print n }'; }

curl -s -m 60 -H "$MODEL" --data-binary "@$DIR/giant.json" "http://127.0.0.1:$A/v1/completions" >"$DIR/answer" &
call=$!
wait_until '^6' held
say "held while it runs: $(held) tokens"
wait $call
whole giant 4 "$(cat "$DIR/answer")" || fail "not whole: $(cat "$DIR/answer")"
wait_until '^0$' held
say "nothing is held after it"

curl -s -m 60 -H "$MODEL" --data-binary "@$DIR/giant.json" "http://127.0.0.1:$A/v1/completions" >/dev/null &
wait_until '^6' held
kill -KILL $PID_a
say "killed while $(held) tokens are held"
ROWS=""
row b $((B + 2)) valle-b ""
row engine-1 $E1 valle-a modelo-cupos
row engine-2 $E2 valle-b modelo-cupos
row plain-1 $P1 valle-a reservas
row plain-2 $P2 valle-b reservas
send_rows
fault $BASE down=1
for i in $(seq 30); do
    [ "$(held)" = 0 ] && break
    sleep 1
done
[ "$(held)" = 0 ] || fail "$(held) tokens are held for good"
say "nothing is held for good"
