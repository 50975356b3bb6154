#!/bin/bash
# A caller that disconnects has its request cancelled at the engine, before the
# first token and in the middle of the answer. A slow caller gets every token.
# When an engine fails or closes the connection, another one continues the
# answer.
BUILD=${1:-build}
. tests/proc/fleet.sh
STEP_MS=20 start_fleet

curl -sN -m 0.5 -H "$AUTH_MODEL" "http://127.0.0.1:$PORT_A/v1/completions" \
    -d '{"model":"cupos-1","prompt":"#gone x","max_tokens":500,"stream":true}' >"$DIR/part"
grep -q "gone:3" "$DIR/part" || fail "the stream did not reach its fourth token before the caller left"
wait_for_output '"cancelled":1' eval "counters $PORT_ENGINE1; counters $PORT_ENGINE2"
say "cancelled in the middle of the answer"

{
    printf '{"model":"cupos-1","max_tokens":8,"prompt":"#long '
    head -c 800000 /dev/zero | tr '\0' 'x'
    printf '"}'
} >"$DIR/long.json"
curl -s -m 1 -H "$AUTH_MODEL" --data-binary "@$DIR/long.json" "http://127.0.0.1:$PORT_A/v1/completions"
wait_for_output '^2$' eval "(counters $PORT_ENGINE1; counters $PORT_ENGINE2) | tr ',' '\n' | awk -F: '/cancelled/ { n += \$2 } END { print n }'"
say "cancelled before the first token"

slow=$(curl -sN -m 60 --limit-rate 20000 -H "$AUTH_MODEL" "http://127.0.0.1:$PORT_A/v1/completions" \
    -d '{"model":"cupos-1","prompt":"#slow x","max_tokens":300,"stream":true}')
case "$slow" in *"slow:299 "*"data: [DONE]"*) say "the slow caller got every token" ;; *) fail "tokens are missing in the answer to the slow caller" ;; esac
# An engine's error answer, or its disconnect in the middle of an answer, is
# not passed on to the caller.
fault $PORT_ENGINE1 error_next=1
fault $PORT_ENGINE2 error_next=1
for i in 1 2 3 4; do is_whole_answer "e$i" 5 "$(prompt $PORT_A "e$i" 5)" || fail "an engine's 500 was passed on, or the answer to e$i is incomplete"; done
fault $PORT_ENGINE1 "die_at=3&die_next=1"
fault $PORT_ENGINE2 "die_at=3&die_next=1"
for i in 1 2 3 4; do is_whole_answer "d$i" 9 "$(prompt $PORT_A "d$i" 9)" || fail "the answer to d$i is incomplete after an engine closed the connection"; done
say "answers were complete in spite of the engines' faults"

# Connections to upstreams are reused or closed, not leaked.
"$BUILD/tests/standin" load --url "http://127.0.0.1:$PORT_A/s/reservas/seats/1" --calls 400 --parallel 8 >/dev/null ||
    fail "a call failed"
files=$(ls /proc/$PID_a/fd | wc -l)
[ "$files" -lt 100 ] || fail "$files open file descriptors after 400 calls, wanted fewer than 100"
say "connections to upstreams are not leaked"
[ "$(count $PORT_A requests_open)" = 0 ] || fail "the entry host still counts open requests"
