#!/bin/bash
# Engines report their load and cache with texts that are nested deeply, or
# have members of another type or numbers out of range. Entry hosts keep
# running, log the first unreadable report in a row, and serve.
BUILD=${1:-build}
. tests/proc/fleet.sh
start_fleet

# report TEXT: both engines give this text as each report, or again their own
report() {
    local port
    for port in $PORT_ENGINE1 $PORT_ENGINE2; do
        printf '%s' "$1" | curl -sf -X POST --data-binary @- "http://127.0.0.1:$port/report" >/dev/null || fail "the engine at $port did not take the report"
    done
}
# check_serving WHAT: fails unless both hosts run and serve
check_serving() {
    local port
    sleep 2
    for port in $PORT_A $PORT_B; do
        is_whole_answer fine 3 "$(prompt $port fine 3)" || fail "an incomplete answer at $port after $1"
    done
    kill -0 $PID_a && kill -0 $PID_b || fail "a process has exited after $1"
    say "ok $1"
}

report "$(head -c 100000 /dev/zero | sed 's/\x00/[/g')"
check_serving "deep nesting"
for name in a b; do
    lines=$(grep -c 'event=report_ignored .*nested deeper than' "$DIR/$name.log")
    [ "$lines" -ge 1 ] && [ "$lines" -le 2 ] || fail "$name logged $lines lines, wanted one for each engine"
done
say "ok one line for each engine"
report '{"models":[5,null,{}],"loading":7,"holdings":[7,[],{"request":5,"tokens":"x"}],"events":[7,{"prefix":5}],"next":"x"}'
check_serving "members of another type"
report '{"models":{},"loading":[],"holdings":{},"events":{},"next":[]}'
check_serving "members that are no arrays"
for number in 18446744073709551615 9223372036854775807 -9223372036854775808 -1 1e400 1.5; do
    report "{\"age_ms\":$number,\"running\":$number,\"waiting\":$number,\"prefill_tokens\":$number,\"kv_tokens\":$number,\"holdings\":[{\"request\":\"ff\",\"tokens\":$number}],\"events\":[],\"next\":$number}"
    check_serving "the number $number"
done
report ""
check_serving "their own reports"
