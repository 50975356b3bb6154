#!/bin/bash
# The configuration lowers the idle timeout while callers' connections are idle.
# A caller may use its connection for as long as the timeout that it knew when
# the connection became idle allows.
BUILD=${1:-build}
. tests/proc/relaylib.sh
# A write to a connection that is closed fails instead.
trap '' PIPE
two_replicas
host_h p1 p2
# send_kept FD: sends a request on a connection that stays open
send_kept() { printf 'GET /open/ok HTTP/1.1\r\nHost: fleet.example\r\nCuminquay-Attempt-Id: k%s\r\n\r\n' $RANDOM >&"$1" 2>/dev/null; }
# answer_on FD: prints the first line of the answer on the connection
answer_on() {
    local line first
    read -r -t 3 -u "$1" first || first="no answer"
    while read -r -t 3 -u "$1" line && [ "$line" != $'\r' ]; do :; done
    read -r -t 3 -N 7 -u "$1" line
    say "${first%$'\r'}"
}
exec 5<>"/dev/tcp/127.0.0.1/$PORT" 6<>"/dev/tcp/127.0.0.1/$PORT"
send_kept 5
expect "the first request" "$(answer_on 5)" "HTTP/1.1 200 OK"
IDLE_MS=400 config 9 "$ROUTES"
wait_for_output "version=9" cat "$DIR/h.log"
sleep 1
send_kept 5
expect "a request 1 s after its connection became idle under 3 s" "$(answer_on 5)" "HTTP/1.1 200 OK"
sleep 1
send_kept 5
expect "a request 1 s later, before callers know of the lower timeout" "$(answer_on 5)" "HTTP/1.1 200 OK"
send_kept 6
expect "a first request 2 s after the connection was opened under 3 s" "$(answer_on 6)" "HTTP/1.1 200 OK"
sleep 2.2
send_kept 6
expect "a request 2.2 s later, after a notice of 4 s" "$(answer_on 6)" "HTTP/1.1 200 OK"
sleep 1
expect "a connection idle for 1 s under 0.4 s is closed" "$(timeout 2 cat <&6; echo "$?")" 0
