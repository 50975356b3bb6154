#!/bin/bash
# Upstreams that write an earlier refusal once more where the answer to the next
# request is expected, and then run and answer that request: a refusal that
# isn't this request's own is not believed, so no caller is told that a request
# that runs did not run, and a request that may run once runs once.
BUILD=${1:-build}
. tests/proc/relaylib.sh
two_replicas
host_h p1 p2
# keep_connections: starts the upstreams' records anew, so that none is avoided,
# and leaves a kept connection at each
keep_connections() {
    local i born
    BORN=$((${BORN:-1} + 1))
    put_upstream p1 $((BASE + 20)) p ready $BORN
    put_upstream p2 $((BASE + 21)) p ready $BORN
    sleep 0.3
    for i in 1 2 3 4 5 6 7 8; do ask /safe/ok; done
}
# expect_no_promise WHAT: fails if the last caller was told that its request did
# not run
expect_no_promise() {
    case "$ANSWER" in
    503* | 429* | 408* | 421* | *'"no"'*) fail "$1: a request that ran got '$ANSWER'" ;;
    esac
    say "$1: ${ANSWER:0:60}"
}
for form in other bare; do
    for method in GET POST; do
        keep_connections
        ask "/safe/late?form=$form" -X $method
        expect_no_promise "$method that may be repeated, $form"
        keep_connections
        ask "/stream/a/stream/late?form=$form&n=3" -X $method
        expect_no_promise "stream that may be resumed, $method, $form"
    done
done
for method in GET POST; do
    keep_connections
    ask "/unsafe/late?form=other" -X $method
    expect_no_promise "$method that may run once"
    expect "its runs" "$(arrived)" 1
    keep_connections
    ask "/once/stream/late?form=other" -X $method
    expect_no_promise "stream that may run once, $method"
    expect "its runs" "$(arrived)" 1
done
keep_connections
for i in $(seq 10); do
    expect_ask "a refusal behind an answer, $i" "200 from p?" /safe/extrarefusal
    expect_ask "the call after it, $i" "200 from p?" /safe/ok
    expect "its runs" "$(arrived)" 1
done
# A caller of an open route that sends no id.
keep_connections
for i in $(seq 6); do
    expect "a call without an id, $i" "$(curl -s -m 5 -H "Host: fleet.example" "http://127.0.0.1:$PORT/open/ok")" "from p?"
done
for status in 408 429 503; do
    keep_connections
    expect_ask "a $status that doesn't say that the call did not run" "502 *unknown*" "/unsafe/claim?status=$status"
    expect "its runs" "$(arrived)" 1
done
keep_connections
expect_ask "a refusal with the id of the call" "503 *\"no\"*" /unsafe/refuse
expect "it is sent to both upstreams" "$(arrived)" 2
