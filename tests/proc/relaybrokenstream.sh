#!/bin/bash
# Streams that break off, and upstreams that answer their resumption with
# something else: nothing of that reaches the caller, the stream is reset at
# once, and one that can be resumed is.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
host_h p1 p2
# An upstream isn't avoided after its restart.
restart_upstreams() {
    BORN=$((${BORN:-1} + 1))
    put_upstream p1 $((BASE + 20)) p ready $BORN
    put_upstream p2 $((BASE + 21)) p ready $BORN
    sleep 0.3
}
# A stream that can't go on ends well before its time limit of 3 s, and before
# callers give it up, after a gap of 2 s.
AT_ONCE_MS=1000
# stream PATH [CURL OPTION...]: STATUS gets the HTTP and curl's exit status, 0
# for a complete answer, MS the time, IDS the ids of its events, OTHER what is
# no event with an id
stream() {
    local path=$1 out
    shift
    REQUEST_NUMBER=$((REQUEST_NUMBER + 1))
    : >"$DIR/body"
    out=$(curl -s -m 8 -o "$DIR/body" -w '%{http_code} %{exitcode} %{time_total}' \
        -H "Host: fleet.example" -H "$CREDENTIAL" -H "Cuminquay-Deadline-Ms: ${LEFT_MS:-3000}" \
        -H "Cuminquay-Attempt-Id: a$REQUEST_NUMBER" "$@" "http://127.0.0.1:$PORT$path")
    STATUS=${out% *}
    MS=$(awk -v s="${out##* }" 'BEGIN { printf "%d", s * 1000 }')
    IDS=$(sed -n 's/^id: //p' "$DIR/body" | tr '\n' ' ')
    OTHER=$(grep -av '^id: [0-9]*$' "$DIR/body" | grep -av '^data: x$' | tr -d '\n')
}
# expect_broken WHAT PATH [CURL OPTION...]: the stream has its first three
# events and nothing else, and is broken off at once
expect_broken() {
    local what=$1
    shift
    stream "$@"
    expect "$what: status" "$STATUS" "200 [!0]*"
    expect "$what: events" "$IDS" "1 2 3 "
    expect "$what: other text" "$OTHER" ""
    [ "$MS" -lt $AT_ONCE_MS ] || fail "$what: it took $MS ms, wanted less than $AT_ONCE_MS"
}
# expect_whole WHAT PATH [CURL OPTION...]: the stream is complete
expect_whole() {
    local what=$1
    shift
    stream "$@"
    expect "$what: status" "$STATUS" "200 0"
    expect "$what: events" "$IDS" "1 2 3 4 5 6 "
    expect "$what: other text" "$OTHER" ""
}
for version in 1.1 1.0; do
    for with in 404 500 503 204 304 refused moved chunked unsealed old; do
        restart_upstreams
        case $with in
        old) wanted="1 2 3 4 " ;;
        *) wanted="1 2 3 " ;;
        esac
        what="HTTP/$version, resumption answered by $with"
        stream "/stream/a/stream/thenanswer?n=6&with=$with" --http$version
        expect "$what: status" "$STATUS" "200 [!0]*"
        expect "$what: events" "$IDS" "$wanted"
        expect "$what: other text" "$OTHER" ""
        [ "$MS" -lt $AT_ONCE_MS ] || fail "$what: it took $MS ms, wanted less than $AT_ONCE_MS"
    done
    restart_upstreams
    expect_whole "HTTP/$version, resumed after an interim answer" "/stream/a/stream/thenanswer?n=6&with=interim" --http$version
    restart_upstreams
    expect_whole "HTTP/$version, resumed" '/stream/a/stream/tear?n=6' --http$version
    restart_upstreams
    expect_broken "HTTP/$version, broken off twice" '/stream/a/stream/tearagain?n=6' --http$version
    restart_upstreams
    stream '/stream/a/stream/noid?n=6' --http$version
    expect "HTTP/$version, without ids: status" "$STATUS" "200 [!0]*"
    expect "HTTP/$version, without ids: events" "$(grep -c '^data: error$' "$DIR/body")" 3
    expect "HTTP/$version, without ids: attempts" "$(arrived)" 1
done

# Both upstreams break streams off, so that each is avoided for some time.
# Whatever of the next streams has begun goes on at an upstream that is usable
# again, or ends; none is held to its time limit.
TIME_LIMIT_MS=3000
restart_upstreams
for i in $(seq 8); do
    stream '/stream/a/stream/tearagain?n=6'
    case "$STATUS" in
    "200 0") fail "both break off, $i: a complete answer" ;;
    esac
    say "both break off, $i: $STATUS after $MS ms"
    [ "$MS" -lt $TIME_LIMIT_MS ] || fail "both break off, $i: held to the time limit, $MS ms"
done
for i in 1 2 3; do
    expect_whole "a stream that breaks off once, after these, $i" '/stream/a/stream/tear?n=6'
    say "after $MS ms"
done

# One upstream is left. A stream goes on there after the second for which the
# upstream is avoided; with less time left it ends at once.
restart_upstreams
put_upstream p2 $((BASE + 21)) p draining $BORN
wait_for_output "event=leaving.*upstream=p2" cat "$DIR/h.log"
expect_whole "resumed at the only upstream" '/stream/a/stream/tear?n=6'
[ "$MS" -lt 2000 ] || fail "it took $MS ms, wanted less than 2000"
BORN=$((BORN + 1))
put_upstream p1 $((BASE + 20)) p ready $BORN
sleep 0.3
LEFT_MS=900 expect_broken "with 0.9 s left" "/stream/a/stream/tear?n=6"
[ "$MS" -lt 800 ] || fail "it took $MS ms, wanted less than 800"
