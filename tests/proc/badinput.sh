#!/bin/bash
# Bad input on the wire: each gets a clear answer or a closed connection with
# a counter; the process lives on and other callers are unaffected.
BUILD=${1:-build}
. tests/proc/fleet.sh
start_fleet

# expect STATUS CODE CURL-ARGUMENT...
expect() {
    local status=$1 code=$2 got
    shift 2
    got=$(curl -s -m 20 -w ' %{http_code}' "$@")
    case "$got" in *"$code"*" $status") say "ok $status $code" ;;
    *) fail "wanted $status $code, got ${got:0:300}" ;;
    esac
}

# fine: other callers still get whole answers
fine() { whole fine 3 "$(prompt $A fine 3)" || fail "other callers suffer after $1"; }

URL=http://127.0.0.1:$A
head -c 17825792 /dev/zero | tr '\0' 'x' >"$DIR/big"
head -c 200000 /dev/zero | tr '\0' 'h' >"$DIR/header"

expect 400 invalid_body -H "$MODEL" -d '{"model":' $URL/v1/completions
expect 400 invalid_body -H "$MODEL" -d '[]' $URL/v1/completions
expect 400 invalid_body -H "$MODEL" -d '{"model":"cupos-1"}' $URL/v1/completions
expect 400 invalid_body -H "$MODEL" -d '{"model":"cupos-1","messages":[7]}' $URL/v1/chat/completions
expect 400 invalid_body -H "$MODEL" -d '{"model":"cupos-1","prompt":"x","max_tokens":-1}' $URL/v1/completions
expect 404 unknown_model -H "$MODEL" -d '{"model":"none","prompt":"x"}' $URL/v1/completions
expect 404 unknown_service -H "$SEATS" $URL/s/none/seats
expect 401 unknown_team -H "Authorization: Bearer wrong" $URL/s/reservas/seats
expect 401 unknown_team -H "X-Team: despacho" $URL/s/reservas/seats
expect 405 bad_method -H "$MODEL" $URL/v1/completions
expect 404 unknown_path $URL/else
expect 400 bad_timeout -H "$SEATS" -H "X-Request-Timeout-Ms: soon" $URL/s/reservas/seats
expect 400 bad_key -H "$SEATS" -H "Idempotency-Key: $(head -c 300 "$DIR/header")" -X POST -d '{}' $URL/s/reservas/holds
expect 413 body_too_long -H "$MODEL" -H "Expect:" --data-binary "@$DIR/big" $URL/v1/completions
expect 413 body_too_long -H "$MODEL" -H "Expect:" -H "Transfer-Encoding: chunked" --data-binary "@$DIR/big" $URL/v1/completions
fine "bad calls"

got=$(curl -s -m 20 -o /dev/null -w '%{http_code}' -H "X-Long: $(head -c 120000 "$DIR/header")" $URL/v1/completions)
case "$got" in 000 | 4??) say "ok over-long header: $got" ;; *) fail "over-long header: $got" ;; esac
fine "an over-long header"

# A frame longer than the limit, half a frame and silence, and one that is no
# message at all, on the peer port.
exec 5<>/dev/tcp/127.0.0.1/$((A + 2))
printf '\177\377\377\377' >&5
wait_until '^1$' count $A peer_frames_too_long_total
exec 5>&-
exec 6<>/dev/tcp/127.0.0.1/$((A + 2))
printf '\0\0\0\3\377\377\377' >&6
wait_until '^1$' count $A peer_frames_bad_total
exec 6>&-
exec 7<>/dev/tcp/127.0.0.1/$((A + 2))
printf '\0\0\1\0half' >&7
wait_until '^1$' count $A peer_frames_stalled_total
exec 7>&-
say "ok frames"
fine "bad frames"

# A peer with another key is turned away.
sed "s/a key only for this trial/another key of the same length/; s/name = \"a\"/name = \"c\"/; s/127.0.0.1:$A\"/127.0.0.1:$((BASE + 50))\"/; s/127.0.0.1:$((A + 1))\"/127.0.0.1:$((BASE + 51))\"/; s/127.0.0.1:$((A + 2))\"/127.0.0.1:$((BASE + 52))\"/" "$DIR/a.toml" >"$DIR/c.toml"
"$BUILD/cuminquay" --settings "$DIR/c.toml" >>"$DIR/c.log" 2>&1 &
PIDS="$PIDS $!"
wait_until '^[1-9]' count $A peers_rejected_total
say "ok a peer without the key"
fine "a peer without the key"
kill -0 $PID_a || fail "the process is gone"
say "the process lives on"
