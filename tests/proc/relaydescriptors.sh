#!/bin/bash
# More callers connect than the host has descriptors for: it refuses the new
# connections, says so once, goes on with the others, and blames no upstream.
BUILD=${1:-build}
. tests/proc/relaylib.sh
DESCRIPTORS=100
CALLERS=130
two_replicas
ulimit -Sn $DESCRIPTORS
host_h p1 p2
ulimit -Sn "$(ulimit -Hn)"
eval "PID=\$PID_h"
# Callers that connect and send the beginning of a request.
for i in $(seq $CALLERS); do
    exec {fd}<>"/dev/tcp/127.0.0.1/$PORT" && printf 'GET' >&"$fd"
    FDS="$FDS $fd"
done 2>/dev/null
sleep 0.7
kill -0 "$PID" || fail "the host has ended"
expect "lines that say that descriptors are short" "$(grep -c event=descriptors_short "$DIR/h.log")" 1
refused=$(sed -n 's/.*event=descriptors_short .*refused=\([0-9]*\).*/\1/p' "$DIR/h.log")
[ "$refused" -ge $((CALLERS - DESCRIPTORS)) ] || fail "$refused connections refused, wanted at least $((CALLERS - DESCRIPTORS))"
expect "an operator's question" "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((PORT + 1))/readyz")" 200
for fd in $FDS; do exec {fd}>&-; done
wait_for_output event=descriptors_enough cat "$DIR/h.log"
expect_ask "a call after it" "200 from p?" /safe/ok
expect "attempts that failed, and cuts" "$(grep -c 'event=cut_off\|event=failed' "$DIR/h.log")" 0
total=$(curl -s "http://127.0.0.1:$((PORT + 1))/metrics" | sed -n 's/^cuminquay_no_descriptor_total //p')
[ "$total" -ge "$refused" ] || fail "$total are counted, $refused in the log"
