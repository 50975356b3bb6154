#!/bin/bash
# Invalid input from callers and peers: each is answered with its error code,
# or its connection is closed and counted. The process keeps running and other
# callers still get complete answers.
BUILD=${1:-build}
. tests/proc/fleet.sh
start_fleet

# expect STATUS CODE CURL-ARGUMENT...: fails unless the answer has this status
# and its body contains CODE
expect() {
    local status=$1 code=$2 got
    shift 2
    got=$(curl -s -m 20 -w ' %{http_code}' "$@")
    case "$got" in *"$code"*" $status") say "ok $status $code" ;;
    *) fail "wanted $status $code, got ${got:0:300}" ;;
    esac
}

# check_other_callers INPUT: fails unless a caller still gets a complete answer
check_other_callers() { is_whole_answer fine 3 "$(prompt $PORT_A fine 3)" || fail "another caller got an incomplete answer after $1"; }

URL=http://127.0.0.1:$PORT_A
head -c 17825792 /dev/zero | tr '\0' 'x' >"$DIR/big"
head -c 200000 /dev/zero | tr '\0' 'h' >"$DIR/header"

expect 400 invalid_body -H "$AUTH_MODEL" -d '{"model":' $URL/v1/completions
expect 400 invalid_body -H "$AUTH_MODEL" -d '' $URL/v1/completions
expect 400 invalid_body -H "$AUTH_MODEL" -d '[]' $URL/v1/completions
expect 400 invalid_body -H "$AUTH_MODEL" -d '{"model":"cupos-1"}' $URL/v1/completions
expect 400 invalid_body -H "$AUTH_MODEL" -d '{"model":"cupos-1","messages":[7]}' $URL/v1/chat/completions
expect 400 invalid_body -H "$AUTH_MODEL" -d '{"model":"cupos-1","prompt":"x","max_tokens":-1}' $URL/v1/completions
expect 404 unknown_model -H "$AUTH_MODEL" -d '{"model":"none","prompt":"x"}' $URL/v1/completions
expect 404 unknown_service -H "$AUTH_SEATS" $URL/s/none/seats
expect 401 unknown_team -H "Authorization: Bearer wrong" $URL/s/reservas/seats
expect 401 unknown_team -H "X-Team: despacho" $URL/s/reservas/seats
expect 405 bad_method -H "$AUTH_MODEL" $URL/v1/completions
expect 404 unknown_path $URL/else
expect 400 bad_timeout -H "$AUTH_SEATS" -H "X-Request-Timeout-Ms: soon" $URL/s/reservas/seats
expect 400 bad_key -H "$AUTH_SEATS" -H "Idempotency-Key: $(head -c 300 "$DIR/header")" -X POST -d '{}' $URL/s/reservas/holds
expect 413 body_too_long -H "$AUTH_MODEL" -H "Expect:" --data-binary "@$DIR/big" $URL/v1/completions
expect 413 body_too_long -H "$AUTH_MODEL" -H "Expect:" -H "Transfer-Encoding: chunked" --data-binary "@$DIR/big" $URL/v1/completions
head -c 1000000 "$DIR/big" | tr 'x' '[' >"$DIR/nested"
expect 400 "nested deeper than" -H "$AUTH_MODEL" -H "Expect:" --data-binary "@$DIR/nested" $URL/v1/completions
expect 400 "nested deeper than" -H "$AUTH_MODEL" -H "Expect:" --data-binary "@$DIR/nested" $URL/v1/chat/completions
check_other_callers "bad calls"

got=$(curl -s -m 20 -o /dev/null -w '%{http_code}' -H "X-Long: $(head -c 120000 "$DIR/header")" $URL/v1/completions)
case "$got" in 000 | 4??) say "ok over-long header: $got" ;; *) fail "over-long header: $got" ;; esac
check_other_callers "an over-long header"

# On the port for peers: a frame above the length limit, one that is too long
# for a peer that has not proved itself, a frame that is not a valid message,
# and the first half of a frame with nothing after it.
exec 5<>/dev/tcp/127.0.0.1/$((PORT_A + 2))
printf '\177\377\377\377' >&5
wait_for_output '^1$' count $PORT_A peer_frames_too_long_total
exec 5>&-
exec 5<>/dev/tcp/127.0.0.1/$((PORT_A + 2))
{ printf '\0\0\10\0' && head -c 2048 /dev/zero | sed 's/\x00/z/g'; } >&5
wait_for_output '^2$' count $PORT_A peer_frames_too_long_total
exec 5>&-
exec 6<>/dev/tcp/127.0.0.1/$((PORT_A + 2))
printf '\0\0\0\3\377\377\377' >&6
wait_for_output '^1$' count $PORT_A peer_frames_bad_total
exec 6>&-
exec 7<>/dev/tcp/127.0.0.1/$((PORT_A + 2))
printf '\0\0\1\0half' >&7
wait_for_output '^1$' count $PORT_A peer_frames_stalled_total
exec 7>&-
say "ok frames"
check_other_callers "bad frames"

# A peer with another key is rejected.
sed "s/a key only for this trial/another key of the same length/; s/name = \"a\"/name = \"c\"/; s/127.0.0.1:$PORT_A\"/127.0.0.1:$((BASE + 50))\"/; s/127.0.0.1:$((PORT_A + 1))\"/127.0.0.1:$((BASE + 51))\"/; s/127.0.0.1:$((PORT_A + 2))\"/127.0.0.1:$((BASE + 52))\"/" "$DIR/a.toml" >"$DIR/c.toml"
"$BUILD/cuminquay" --settings "$DIR/c.toml" >>"$DIR/c.log" 2>&1 &
PIDS="$PIDS $!"
wait_for_output '^[1-9]' count $PORT_A peers_rejected_total
say "ok a peer without the key"
check_other_callers "a peer without the key"
kill -0 $PID_a || fail "the process has exited"
say "the process still runs"
