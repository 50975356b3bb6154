#!/bin/bash
# SIGTERM while a caller is still reading its answer, and while the body of a
# request is still arriving. The first gets its whole answer; the second an
# answer or a refusal.
BUILD=${1:-build}
. tests/proc/relaylib.sh
# A write to a connection that is closed fails instead.
trap '' PIPE
ROUTES="$ROUTES,$(route /open/unsafe/ unsafe false true)"
two_replicas
host_h p1 p2
exec 5<>"/dev/tcp/127.0.0.1/$PORT"
printf 'POST /open/unsafe/ok HTTP/1.1\r\nHost: fleet.example\r\nCuminquay-Attempt-Id: k1\r\nContent-Length: 8\r\n\r\nhalf' >&5
curl -s -m 15 --limit-rate 4M -H "Host: fleet.example" "http://127.0.0.1:$PORT/open/big" -o "$DIR/big" -w '%{http_code} %{size_download} %{exitcode}' >"$DIR/got" &
reader=$!
sleep 0.3
kill -TERM "$PID_h"
sleep 0.6
printf 'half' >&5 2>/dev/null
read -r -t 5 -u 5 first || first="no answer"
expect "a request whose body arrives after the notice" "$first" "HTTP/1.1 [25]0[03] *"
wait $reader
expect "an answer that its caller reads slowly" "$(cat "$DIR/got")" "200 14680064 0"
wait "$PID_h"
expect "the exit status" "$?" 0

# A body that never ends does not keep the host beyond the limit of its stop.
PORT=$((BASE + 15))
LIMIT_MS=1000 entry_with_store g "$PORT"
wait_for_http "http://127.0.0.1:$((PORT + 1))/readyz"
exec 6<>"/dev/tcp/127.0.0.1/$PORT"
printf 'POST /open/unsafe/ok HTTP/1.1\r\nHost: fleet.example\r\nContent-Length: 8\r\n\r\nhalf' >&6
curl -s -m 8 -o /dev/null -H "Host: fleet.example" "http://127.0.0.1:$PORT/open/hang" &
sleep 0.3
stopped_ms=$(date +%s%3N)
kill -TERM "$PID_g"
wait "$PID_g"
expect "the exit status" "$?" 0
took_ms=$(($(date +%s%3N) - stopped_ms))
[ "$took_ms" -lt 2000 ] || fail "the stop took $took_ms ms, wanted its limit of 1 s and less than 1 s more"
say "the stop ended within a second of its limit"
