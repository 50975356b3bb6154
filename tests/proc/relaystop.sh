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
