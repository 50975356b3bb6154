#!/bin/bash
# Upstreams stop in the middle of their answer's head and close, or reset. No
# caller gets a success, at a host that sends the request itself or at one that
# is cut off and passes it on to a peer; on kept connections neither.
BUILD=${1:-build}
. tests/proc/cutlib.sh
cut_fleet 2 a
cut silent 1

# settle: until host 1 passes requests on
settle() {
    local i
    PORT=$(port_of 1)
    for i in $(seq 100); do
        ask /safe/ok -m 2 && [ "${ANSWER%% *}" = 200 ] && grep -q event=sent_on "$DIR/h1.log" && return
        sleep 0.1
    done
    fail "host 1 passes no requests on: $ANSWER"
}

# tear HOST PATH METHOD: a whole answer and a torn one on one connection
tear() {
    local got
    REQUEST_NUMBER=$((REQUEST_NUMBER + 1))
    got=$(curl -s -m 8 -o /dev/null -w '%{http_code}/%{size_download}/%{exitcode} ' -H "Host: fleet.example" -H "$CREDENTIAL" \
        -H "Cuminquay-Attempt-Id: w$REQUEST_NUMBER" -H "Cuminquay-Deadline-Ms: 2000" "http://127.0.0.1:$(port_of "$1")/safe/ok?$REQUEST_NUMBER" \
        --next -s -m 8 -o /dev/null -w '%{http_code} %{exitcode}' -X "$3" -H "Host: fleet.example" -H "$CREDENTIAL" \
        -H "Cuminquay-Attempt-Id: t$REQUEST_NUMBER" -H "Cuminquay-Deadline-Ms: 2000" "http://127.0.0.1:$(port_of "$1")$2")
    printf 'h%s id=t%s %s %s %s\n' "$1" "$REQUEST_NUMBER" "$3" "$2" "$got" >>"$DIR/torn"
}

settle
for at in 0 9 17 40 70 95; do
    for form in length chunked neither interim; do
        for host in 1 2; do
            tear $host "/safe/tearhead?at=$at&form=$form" GET
            tear $host "/unsafe/tearhead?at=$at&form=$form&reset=1" POST
            tear $host "/stream/tearhead?at=$at&form=$form" GET
            tear $host "/once/stream/tearhead?at=$at&form=$form" GET
        done
        [ $((REQUEST_NUMBER % 3)) != 0 ] || sleep 0.1
    done
done
for host in 1 2; do
    say "h$host: $(grep "^h$host " "$DIR/torn" | awk '{n[$(NF - 1)]++} END {for (k in n) printf "%s=%d ", k, n[k]}')"
done
expect "successes" "$(awk '$(NF - 1) ~ /^2/ || $(NF - 1) == "000"' "$DIR/torn" | head -3)" ""
# 502 says that it may have run; a refusal is true only if nothing arrived.
awk '$(NF - 1) == 503 || $(NF - 1) == 429 {sub("id=", "", $2); print $2}' "$DIR/torn" | sort >"$DIR/refused"
grep -E ' /(unsafe|once)/' "$ARRIVALS_FILE" | sed 's/.*attempt=\([^ ]*\) .*/\1/' | sort -u >"$DIR/arrived"
expect "refused though they had run" "$(comm -12 "$DIR/refused" "$DIR/arrived" | head -3)" ""
for host in 1 2; do
    torn=$(grep "^h$host " "$DIR/torn" | grep -c " 502 ")
    [ "$torn" -ge 20 ] || fail "h$host: $torn answers of 502, wanted at least 20"
done
sent_on=$(grep -c event=sent_on "$DIR/h1.log")
[ "$sent_on" -ge 40 ] || fail "$sent_on requests passed on, wanted at least 40"
say "$sent_on requests passed on"
