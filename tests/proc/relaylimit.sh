#!/bin/bash
# One of three upstreams names a rate limit in its answers. Four hosts get 40
# requests a second. From 3 s after it first names its limit, no 4 s bring it
# more than 1.5 times what the limit allows, and 5 more.
BUILD=${1:-build}
. tests/proc/relaylib.sh
LIMIT_PER_S=1.7
ALLOWED_IN_4_S=15
fleetstandin store "$BASE"
wait_for_http "http://$STORE_ADDR/ok"
for i in 1 2 3; do replica p$i $((BASE + 20 + i)) p; done
config 5 "$ROUTES"
port_of() { echo $((BASE + 30 + 5 * $1)); }
SEEDS="\"127.0.0.1:$(($(port_of 0) + 2))\", \"127.0.0.1:$(($(port_of 1) + 2))\""
for i in 0 1 2 3; do entry_with_store h$i "$(port_of $i)"; done
for i in 0 1 2 3; do
    wait_for_http "http://127.0.0.1:$(($(port_of $i) + 1))/readyz"
    wait_for_output "name=p3" cat "$DIR/h$i.log"
done
sleep 1
# send_for SECONDS: sends 40 requests a second to the hosts in turn
send_for() {
    local i
    for i in $(seq $(($1 * 40))); do
        REQUEST_NUMBER=$((REQUEST_NUMBER + 1))
        curl -s -m 3 -o /dev/null -w '%{http_code}\n' -H "Host: fleet.example" -H "$CREDENTIAL" \
            -H "Cuminquay-Attempt-Id: a$REQUEST_NUMBER" -H "Cuminquay-Deadline-Ms: 3000" \
            "http://127.0.0.1:$(port_of $((i % 4)))/safe/ok" >>"$DIR/answers" &
        sleep 0.022
    done
}
send_for 3
curl -sf -X POST "http://127.0.0.1:$((BASE + 21))/limit?per_s=$LIMIT_PER_S"
named_ms=$(date +%s%3N)
send_for 12
wait_for_output "event=limited .*upstream=p1 per_s=1.70" cat "$DIR/h0.log" "$DIR/h1.log" "$DIR/h2.log" "$DIR/h3.log"
sleep 1
# worst_4_s: prints the most requests that p1 received within 4 s
worst_4_s() {
    grep "^p1 " "$ARRIVALS_FILE" | sed 's/.*at_ms=\([0-9]*\).*/\1/' | sort -n |
        awk -v from=$((named_ms + 3000)) -v first=0 -v n=0 '$1 >= from {
            at[n++] = $1
            while (at[first] <= $1 - 4000) first++
            if (n - first > most) most = n - first
        } END { print most + 0 }'
}
most=$(worst_4_s)
[ "$most" -le "$ALLOWED_IN_4_S" ] || fail "the upstream got $most requests in 4 s, allowed $ALLOWED_IN_4_S"
[ "$most" -ge 1 ] || fail "the upstream got no request any more"
expect "answers other than 200" "$(grep -vc '^200' "$DIR/answers")" 0
say "the upstream got at most $most requests in 4 s; all requests were answered"
