#!/bin/bash
# A planned stop in calm, while long calls and streams arrive on kept and new
# connections: what can end before the limit of the stop is served, and what
# may not is refused as not run. Nothing is cut.
BUILD=${1:-build}
. tests/proc/relaylib.sh
trap '' PIPE
NOTICE_MS=1500
LIMIT_MS=3500
TIMEOUT_MS=20000
LONG_MS=2400
SENT_AFTER_MS=1250
ROUTES="$(route /unsafe/ unsafe false true),$(route /once/stream/ streaming false true),$(route /open/ safe false true)"
LONG_STREAM="/once/stream/ok?n=12&ms=$((LONG_MS / 12))"

# long_calls NAME COUNT: so many long calls and streams of either kind at once;
# status and exit code of each go to NAME.got
long_calls() {
    local i calls=""
    for i in $(seq "$2"); do
        curl -s -m 10 -o "$DIR/$1.$i" -w 'call %{http_code} %{exitcode}\n' -X POST -H "Host: fleet.example" \
            -H "Cuminquay-Attempt-Id: $1-call-$i" "http://127.0.0.1:$PORT/unsafe/slow?ms=$LONG_MS" >>"$DIR/$1.got" &
        calls="$calls $!"
        curl -s -m 10 -o /dev/null -w 'stream %{http_code} %{exitcode}\n' -H "Host: fleet.example" \
            -H "Cuminquay-Attempt-Id: $1-stream-$i" "http://127.0.0.1:$PORT$LONG_STREAM" >>"$DIR/$1.got" &
        calls="$calls $!"
    done
    wait $calls
}

two_replicas
host_h p1 p2
for i in 1 2; do long_calls "before$i" 8; done
expect "long calls before the stop" "$(sort "$DIR"/before*.got | uniq -c | tr -s ' \n' ' ')" " 16 call 200 0 16 stream 200 0 "

# A caller's connection that is kept and has carried a whole answer.
exec 5<>"/dev/tcp/127.0.0.1/$PORT"
for i in $(seq 20); do
    printf 'GET /open/ok HTTP/1.1\r\nHost: fleet.example\r\nCuminquay-Attempt-Id: k%s\r\n\r\n' "$i" >&5
    while read -r -t 5 -u 5 line && [ "${line%$'\r'}" != "" ]; do :; done
    read -r -t 5 -u 5 -N 7 line
done
expect "an answer before the stop" "$line" "from p?"

long_calls running 2 &
running=$!
sleep 0.3
kill -TERM "$PID_h"
long_calls early 2 &
early=$!
sleep "$(printf '%d.%03d' $((SENT_AFTER_MS / 1000)) $((SENT_AFTER_MS % 1000)))"
long_calls late 3 &
late=$!
printf 'POST /unsafe/slow?ms=%s HTTP/1.1\r\nHost: fleet.example\r\nContent-Length: 0\r\nCuminquay-Attempt-Id: late-kept\r\n\r\n' "$LONG_MS" >&5
expect_ask "a short call late in the notice" "200 from p?" /open/ok
kept=$(timeout 5 cat <&5 | tr -d '\r')
wait $running $early $late
wait "$PID_h"
expect "the exit status" "$?" 0
expect "calls that ran when the stop began" "$(sort "$DIR/running.got" | uniq -c | tr -s ' \n' ' ')" " 2 call 200 0 2 stream 200 0 "
expect "calls that end before its limit" "$(sort "$DIR/early.got" | uniq -c | tr -s ' \n' ' ')" " 2 call 200 0 2 stream 200 0 "
expect "calls that may outlast it" "$(sort "$DIR/late.got" | uniq -c | tr -s ' \n' ' ')" " 3 call 503 0 3 stream 503 0 "
expect "their refusal" "$(cat "$DIR/late.1")" '*"draining"*"ran":"no"*'
expect "a call on a kept connection that may outlast it" "$kept" $'HTTP/1.1 503 *Retry-After: *Connection: close*"ran":"no"*'
expect "runs of what was refused" "$(grep -c 'attempt=late' "$ARRIVALS_FILE")" 0
