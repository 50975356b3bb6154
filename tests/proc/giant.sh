#!/bin/bash
# A prompt that needs more KV-cache memory than one engine has is served with
# memory of both engines. When the entry host is killed while such a request
# runs, the memory that it reserved must be released within 30 s, also during a
# log outage.
BUILD=${1:-build}
. tests/proc/fleet.sh
start_fleet

{
    printf '{"model":"cupos-1","max_tokens":4,"prompt":"#giant '
    head -c 2400000 /dev/zero | tr '\0' 'x'
    printf '"}'
} >"$DIR/giant.json"

# held: prints how many tokens of memory are reserved on both engines
# together
held() { (counters $PORT_ENGINE1; counters $PORT_ENGINE2) | grep -o '"held":[0-9]*' | awk -F: '{ n += $2 } END { print n }'; }

curl -s -m 60 -H "$AUTH_MODEL" --data-binary "@$DIR/giant.json" "http://127.0.0.1:$PORT_A/v1/completions" >"$DIR/answer" &
call=$!
wait_for_output '^6' held
say "reserved while the request runs: $(held) tokens are held"
wait $call
is_whole_answer giant 4 "$(cat "$DIR/answer")" || fail "the answer is incomplete: $(cat "$DIR/answer")"
wait_for_output '^0$' held
say "no memory is held after the answer"

curl -s -m 60 -H "$AUTH_MODEL" --data-binary "@$DIR/giant.json" "http://127.0.0.1:$PORT_A/v1/completions" >/dev/null &
wait_for_output '^6' held
kill -KILL $PID_a
say "entry host a killed while $(held) tokens are held"
HOST_ROWS=""
add_host_row b $((PORT_B + 2)) valle-b ""
add_host_row engine-1 $PORT_ENGINE1 valle-a modelo-cupos
add_host_row engine-2 $PORT_ENGINE2 valle-b modelo-cupos
add_host_row plain-1 $PORT_PLAIN1 valle-a reservas
add_host_row plain-2 $PORT_PLAIN2 valle-b reservas
post_host_list
fault $BASE down=1
for i in $(seq 30); do
    [ "$(held)" = 0 ] && break
    sleep 1
done
[ "$(held)" = 0 ] || fail "$(held) tokens are still held after 30 s"
say "after the kill, no memory is held for good"
