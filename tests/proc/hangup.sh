#!/bin/bash
# A caller that hangs up cancels its work at the engine, before its first
# token and in the middle of its answer; a slow caller gets every token; an
# engine that fails or dies is replaced, and the answer goes on.
BUILD=${1:-build}
. tests/proc/fleet.sh
STEP_MS=20 start_fleet

curl -sN -m 0.5 -H "$MODEL" "http://127.0.0.1:$A/v1/completions" \
    -d '{"model":"cupos-1","prompt":"#gone x","max_tokens":500,"stream":true}' >"$DIR/part"
grep -q "gone:3" "$DIR/part" || fail "the stream had not begun"
wait_until '"cancelled":1' eval "counters $E1; counters $E2"
say "cancelled in the middle"

{
    printf '{"model":"cupos-1","max_tokens":8,"prompt":"#long '
    head -c 800000 /dev/zero | tr '\0' 'x'
    printf '"}'
} >"$DIR/long.json"
curl -s -m 1 -H "$MODEL" --data-binary "@$DIR/long.json" "http://127.0.0.1:$A/v1/completions"
wait_until '^2$' eval "(counters $E1; counters $E2) | tr ',' '\n' | awk -F: '/cancelled/ { n += \$2 } END { print n }'"
say "cancelled before the first token"

slow=$(curl -sN -m 60 --limit-rate 20000 -H "$MODEL" "http://127.0.0.1:$A/v1/completions" \
    -d '{"model":"cupos-1","prompt":"#slow x","max_tokens":300,"stream":true}')
case "$slow" in *"slow:299 "*"data: [DONE]"*) say "the slow caller has every token" ;; *) fail "the slow caller lacks tokens" ;; esac
# An engine's own fault, or its death in the middle, is not the answer.
fault $E1 error_next=1
fault $E2 error_next=1
for i in 1 2 3 4; do whole "e$i" 5 "$(prompt $A "e$i" 5)" || fail "an engine's 500 was passed on"; done
fault $E1 "die_at=3&die_next=1"
fault $E2 "die_at=3&die_next=1"
for i in 1 2 3 4; do whole "d$i" 9 "$(prompt $A "d$i" 9)" || fail "an answer was cut by an engine's death"; done
say "engines' faults are mended"

# Connections to upstreams do not pile up.
"$BUILD/tests/standin" load --url "http://127.0.0.1:$A/s/reservas/seats/1" --calls 400 --parallel 8 >/dev/null ||
    fail "a call failed"
files=$(ls /proc/$PID_a/fd | wc -l)
[ "$files" -lt 100 ] || fail "$files files are open after 400 calls"
say "connections are closed"
[ "$(count $A requests_open)" = 0 ] || fail "requests are still open"
